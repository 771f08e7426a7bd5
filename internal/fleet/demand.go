package fleet

import (
	"time"

	"cranegrade/balancer"
)

// tenantDemand measures what a tenant demands of this node.
type tenantDemand struct {
	quota    float64 // of all nodes together, in requests a second
	requests int     // since the last measurement
	rate     float64 // requests a second, the mean of the latest measurement and the rate before
}

const (
	// demandInterval is the time between two measurements of demand.
	demandInterval = 250 * time.Millisecond
	// maxDemandInterval is the longest time that a rate is computed over: after a pause the rate must not fall to nothing at once.
	maxDemandInterval = 10 * demandInterval
)

// tenantDemands returns a measurement for each tenant that has a quota.
func tenantDemands(settings balancer.Settings) map[string]*tenantDemand {
	demands := make(map[string]*tenantDemand, len(settings.Tenants))
	for _, t := range settings.Tenants {
		if t.Quota > 0 {
			demands[t.Name] = &tenantDemand{quota: t.Quota}
		}
	}
	return demands
}

// reportDemand reports to the fleet what tenants would use here, as shares of their quotas, if a measurement is due.
func (m *Module) reportDemand(bootTime time.Duration) {
	if len(m.demands) == 0 || bootTime < m.measuredAt+demandInterval {
		return
	}
	seconds := min(bootTime-m.measuredAt, maxDemandInterval).Seconds()
	m.measuredAt = bootTime
	shares := make(map[string]float64, len(m.demands))
	for tenant, d := range m.demands {
		d.rate = (d.rate + float64(d.requests)/seconds) / 2
		d.requests = 0
		shares[tenant] = d.rate / d.quota
	}
	m.pool.reportDemand(shares)
}
