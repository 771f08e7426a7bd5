package fleet

import (
	"time"

	"cranegrade/internal/fleet/membership"
)

// Role is what this node is in a pool at a moment.
type Role struct {
	membership.Position
	membership.Share
	Divisor int // what the pool's quotas are divided by; of Share's the members without the pool are not counted
	At      time.Duration
}

// publish applies what is due to the view and the roster, and publishes the roles that follow from them to the pools. The caller holds
// f.mu.
func (f *Fleet) publish(now time.Duration) {
	if f.closed {
		return // Close has published the last roles
	}
	f.view.Advance(now)
	f.share = f.roster.Share(now)
	for id, p := range f.pools {
		role := f.role(now, id, f.share)
		if mutations.publishedRole != nil {
			role = mutations.publishedRole(now, p.role.Load(), role)
		}
		p.role.Store(role)
		evenShare := 0.0
		if role.IsValid(now) {
			evenShare = 1 / float64(role.Divisor)
		}
		p.publishQuotas(now, f.loans, evenShare)
	}
}

// role derives this node's role in a pool from the view and a share. The caller holds f.mu.
func (f *Fleet) role(now time.Duration, pool uint32, share membership.Share) *Role {
	role := &Role{Position: f.view.Position(pool), Share: share, At: now}
	if !f.view.IsSettled() || role.Established < 1 {
		// No other member has been seen for long enough. The position is a guess, which spreads members that have just started.
		nodes := max(f.config.Nodes, 1)
		role.Established = nodes
		role.Index = int(membership.NameID(f.config.Name) % uint64(nodes))
	}
	role.Divisor = max(1, share.Divisor-f.countedWithoutPool(pool, share))
	if mutations.role != nil {
		mutations.role(role)
	}
	return role
}

// countedWithoutPool returns how many of the members that a share counts do not serve the pool, and so use nothing of its quotas. A member
// that the view does not know may serve it.
func (f *Fleet) countedWithoutPool(pool uint32, share membership.Share) (count int) {
	for _, m := range f.view.Members() {
		if share.Counts(m.Name) && f.view.Compare(&m, pool) == membership.PoolNotServed {
			count++
		}
	}
	return count
}

// updateDemand records what the tenants of a pool would use at this node, as shares of their quotas.
func (f *Fleet) updateDemand(p *Pool, demands map[string]float64) {
	quotaIDs := p.quotaIDs()
	f.mu.Lock()
	defer f.mu.Unlock()
	for tenant, share := range demands {
		if share < minDemand {
			share = 0
		}
		f.loans.SetDemand(quotaIDs[tenant], share)
	}
}

// minDemand is the least share of a quota that counts as demand.
const minDemand = 0.002
