package fleet

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"cranegrade/internal/fleet/shares"
)

// QuotaShares are this node's shares of the quotas of a pool's tenants. They are immutable once published, so equal pointers mean equal
// shares.
type QuotaShares struct {
	ByTenant    map[string]float64 // 0 to 1; nil: every share is 1/divisor
	Until       time.Duration      // when the first borrowed part expires unless its loan is renewed
	AfterExpiry *QuotaShares       // the shares from Until on; nil: these stay in force
}

// emptyQuotaShares are in force until shares are published.
var emptyQuotaShares = &QuotaShares{}

// noExpiry is the Until of shares that do not expire.
const noExpiry = time.Duration(1 << 62)

// quotaShares returns the shares that are in force at time now.
func (p *Pool) quotaShares(now time.Duration) *QuotaShares {
	published := p.quotas.Load()
	switch {
	case published == nil:
		return emptyQuotaShares
	case now >= published.Until && published.AfterExpiry != nil:
		return published.AfterExpiry
	}
	return published
}

// setTenants replaces the list of the pool's tenants with quotas.
func (p *Pool) setTenants(tenants []string) {
	quotas := make(map[string]shares.QuotaID, len(tenants))
	for _, tenant := range tenants {
		quotas[tenant] = quotaID(p.id, tenant)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tenantQuotas = quotas
}

// quotaID returns the hash that identifies a tenant's quota in a pool in messages between members.
func quotaID(pool uint32, tenant string) shares.QuotaID {
	h := fnv.New32a()
	h.Write(binary.LittleEndian.AppendUint32(nil, pool))
	h.Write([]byte(tenant))
	return shares.QuotaID(h.Sum32())
}

// quotaIDs returns the IDs of the quotas by tenant. The caller must not modify the map.
func (p *Pool) quotaIDs() map[string]shares.QuotaID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tenantQuotas
}

// publishQuotas publishes the shares that follow from a loan table. evenShare is 1/divisor of the pool, or 0 if this node's share is not
// valid. Shares that are similar to those in force are not published, so that the decision module does not get an event for every
// renewed loan.
func (p *Pool) publishQuotas(now time.Duration, loans *shares.LoanTable, evenShare float64) {
	quotaIDs := p.quotaIDs()
	if len(quotaIDs) == 0 {
		return
	}
	next := &QuotaShares{
		ByTenant:    map[string]float64{},
		Until:       noExpiry,
		AfterExpiry: &QuotaShares{ByTenant: map[string]float64{}, Until: noExpiry},
	}
	for tenant, id := range quotaIDs {
		share, until := loans.Share(now, id, evenShare)
		next.ByTenant[tenant] = share
		next.Until = min(next.Until, until)
		next.AfterExpiry.ByTenant[tenant] = max(0, evenShare-loans.Lent(now, id))
	}
	current := p.quotaShares(now)
	if current != emptyQuotaShares && now < next.Until && current.Until == next.Until && areSimilar(current.ByTenant, next.ByTenant) {
		return
	}
	p.quotas.Store(next)
}

// Changes of a share that are not published. The share in force must not exceed the actual one, so only increases have a margin.
const (
	roundingTolerance = 1e-9 // of a decrease
	ignoredIncrease   = 0.01 // in fractions of the quota
)

// areSimilar reports whether the shares in force can stay instead of being replaced by the next ones.
func areSimilar(current, next map[string]float64) bool {
	if len(current) != len(next) {
		return false
	}
	for tenant, share := range next {
		inForce, known := current[tenant]
		if !known || share < inForce-roundingTolerance || share > inForce+ignoredIncrease {
			return false
		}
	}
	return true
}
