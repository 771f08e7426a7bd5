package fleet

import (
	"time"

	"cranegrade/internal/fleet/membership"
)

// Role is this node's position and share in a pool at a point in time.
type Role struct {
	membership.Position
	membership.Share
	Divisor   int           // divides the pool's quotas: Share.Divisor without the members that do not serve the pool
	DerivedAt time.Duration // time of the view and share that the role follows from
}

// publish advances the view and the share to time now, and publishes the resulting roles and shares of quotas to the pools. The caller
// holds f.mu.
func (f *Fleet) publish(now time.Duration) {
	if f.closed {
		return // Close has published the final roles
	}
	f.view.Advance(now)
	f.share = f.roster.Share(now)
	for id, p := range f.pools {
		role := f.deriveRole(now, id, f.share)
		if mutationHooks.replaceRole != nil {
			role = mutationHooks.replaceRole(now, p.role.Load(), role)
		}
		p.role.Store(role)
		evenShare := 0.0
		if role.IsValid(now) {
			evenShare = 1 / float64(role.Divisor)
		}
		p.publishQuotas(now, f.loans, evenShare)
	}
}

// deriveRole derives this node's role in a pool from the view and a share. The caller holds f.mu.
func (f *Fleet) deriveRole(now time.Duration, pool uint32, share membership.Share) *Role {
	role := &Role{Position: f.view.Position(pool), Share: share, DerivedAt: now}
	if !f.view.IsSettled() || role.Established < 1 {
		// No other member has been alive for long enough. An index from the name's hash spreads members that have just started.
		nodes := max(f.config.Nodes, 1)
		role.Established = nodes
		role.Index = int(membership.NameID(f.config.Name) % uint64(nodes))
	}
	role.Divisor = max(1, share.Divisor-f.countedWithoutPool(pool, share))
	if mutationHooks.alterRole != nil {
		mutationHooks.alterRole(role)
	}
	return role
}

// countedWithoutPool returns how many of the members that a share counts do not serve the pool, and so use none of its quotas. A member
// that is not in the view is assumed to serve it.
func (f *Fleet) countedWithoutPool(pool uint32, share membership.Share) (count int) {
	for _, m := range f.view.Members() {
		if share.Counts(m.Name) && f.view.Compare(&m, pool) == membership.PoolNotServed {
			count++
		}
	}
	return count
}

// updateDemand records the demands of a pool's tenants on this node, as fractions of their quotas.
func (f *Fleet) updateDemand(p *Pool, demands map[string]float64) {
	quotaIDs := p.quotaIDs()
	f.mu.Lock()
	defer f.mu.Unlock()
	for tenant, share := range demands {
		if share < minDemandShare {
			share = 0
		}
		f.loans.SetDemand(quotaIDs[tenant], share)
	}
}

// minDemandShare is the smallest fraction of a quota that counts as demand; less is reported as none.
const minDemandShare = 0.002
