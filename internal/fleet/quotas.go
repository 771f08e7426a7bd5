package fleet

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"cranegrade/internal/fleet/shares"
)

// QuotaShares are this node's shares of the quotas of a pool's tenants. They are not changed once they are published: the same pointer
// means the same shares.
type QuotaShares struct {
	ByTenant map[string]float64 // 0 to 1; if nil, every share is what the divisor says
	Until    time.Duration      // when the first borrowed share ends if no message comes
	Then     *QuotaShares       // the shares from Until on; if nil, these go on
}

// noQuotaShares is in force until shares are published.
var noQuotaShares = &QuotaShares{}

// noEnd is the Until of shares that do not end by themselves.
const noEnd = time.Duration(1 << 62)

// quotaShares returns the shares at a time.
func (p *Pool) quotaShares(now time.Duration) *QuotaShares {
	published := p.quotas.Load()
	switch {
	case published == nil:
		return noQuotaShares
	case now >= published.Until && published.Then != nil:
		return published.Then
	}
	return published
}

// setTenants sets the tenants of the pool that have quotas.
func (p *Pool) setTenants(tenants []string) {
	quotas := make(map[string]shares.QuotaID, len(tenants))
	for _, tenant := range tenants {
		quotas[tenant] = quotaID(p.id, tenant)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tenantQuotas = quotas
}

// quotaID is the hash by which members name a tenant's quota in a pool.
func quotaID(pool uint32, tenant string) shares.QuotaID {
	h := fnv.New32a()
	h.Write(binary.LittleEndian.AppendUint32(nil, pool))
	h.Write([]byte(tenant))
	return shares.QuotaID(h.Sum32())
}

// quotaIDs returns the quotas by tenant. The caller must not change the map.
func (p *Pool) quotaIDs() map[string]shares.QuotaID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tenantQuotas
}

// publishQuotas publishes the shares that a loan table gives. evenShare is this node's part in the pool's divisor, or 0 if its share is not
// valid. Shares that are nearly the same are not published, so that not every renewed loan causes an event for the decision module.
func (p *Pool) publishQuotas(now time.Duration, loans *shares.LoanTable, evenShare float64) {
	quotaIDs := p.quotaIDs()
	if len(quotaIDs) == 0 {
		return
	}
	next := &QuotaShares{
		ByTenant: map[string]float64{},
		Until:    noEnd,
		Then:     &QuotaShares{ByTenant: map[string]float64{}, Until: noEnd},
	}
	for tenant, id := range quotaIDs {
		share, until := loans.Share(now, id, evenShare)
		next.ByTenant[tenant] = share
		next.Until = min(next.Until, until)
		next.Then.ByTenant[tenant] = max(0, evenShare-loans.Lent(now, id))
	}
	current := p.quotaShares(now)
	if current != noQuotaShares && now < next.Until && current.Until == next.Until && areSimilar(current.ByTenant, next.ByTenant) {
		return
	}
	p.quotas.Store(next)
}

// Shares may be less than what is in force by roundingTolerance, and more by ignoredGain, without being published.
const (
	roundingTolerance = 1e-9
	ignoredGain       = 0.01
)

// areSimilar reports whether the shares in force may stay although the next ones are due.
func areSimilar(current, next map[string]float64) bool {
	if len(current) != len(next) {
		return false
	}
	for tenant, share := range next {
		now, known := current[tenant]
		if !known || share < now-roundingTolerance || share > now+ignoredGain {
			return false
		}
	}
	return true
}
