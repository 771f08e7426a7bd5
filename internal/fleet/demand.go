package fleet

import (
	"time"

	"cranegrade/balancer"
)

// tenantDemand measures the rate of a tenant's requests to this node.
type tenantDemand struct {
	quota    float64 // of all nodes together, in requests per second
	requests int     // since the last measurement
	rate     float64 // requests per second: the mean of the latest measurement and the previous rate
}

const (
	// demandInterval is the time between two measurements of demand.
	demandInterval = 250 * time.Millisecond
	// maxDemandInterval bounds the time over which a rate is computed, so that a pause does not reduce the rate to almost zero at once.
	maxDemandInterval = 10 * demandInterval
)

// tenantDemands returns a tenantDemand for each tenant with a quota.
func tenantDemands(settings balancer.Settings) map[string]*tenantDemand {
	demands := make(map[string]*tenantDemand, len(settings.Tenants))
	for _, t := range settings.Tenants {
		if t.Quota > 0 {
			demands[t.Name] = &tenantDemand{quota: t.Quota}
		}
	}
	return demands
}

// reportDemand measures the tenants' demands every demandInterval, and reports them to the fleet as fractions of the tenants' quotas.
func (m *Module) reportDemand(bootTime time.Duration) {
	if len(m.demands) == 0 || bootTime < m.demandMeasuredAt+demandInterval {
		return
	}
	seconds := min(bootTime-m.demandMeasuredAt, maxDemandInterval).Seconds()
	m.demandMeasuredAt = bootTime
	shares := make(map[string]float64, len(m.demands))
	for tenant, d := range m.demands {
		d.rate = (d.rate + float64(d.requests)/seconds) / 2
		d.requests = 0
		shares[tenant] = d.rate / d.quota
	}
	m.pool.reportDemand(shares)
}
