package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"cranegrade/internal/fleet/membership"
)

// Status returns this node's current view of the fleet.
func (f *Fleet) Status() Status {
	health := f.gossipHealth()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := BootTime()
	s := Status{
		Name:    f.config.Name,
		Run:     formatIncarnation(f.incarnation),
		At:      time.Now(),
		Open:    f.gossip != nil,
		LeaseMS: milliseconds(f.config.Lease),
		Nodes:   f.config.Nodes,
		Roll:    fmt.Sprintf("%016x", f.roster.Hash()),
		Health:  health,
		Sent:    f.bytesSent.Load(),
		Got:     f.bytesReceived.Load(),
		Bad:     f.malformedMessages,
	}
	members := f.view.Members()
	s.Members = f.memberStatuses(now, members)
	for _, p := range f.pools {
		s.Pools = append(s.Pools, f.poolStatus(now, p, members))
	}
	slices.SortFunc(s.Pools, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	changes, ignored := f.view.Changes()
	s.Ignored = ignored
	for _, c := range changes {
		s.Changes = append(s.Changes, ChangeStatus{
			AgoMS: milliseconds(now - c.At),
			Name:  c.Name,
			What:  string(c.Kind),
			Why:   c.Reason,
		})
	}
	for _, stall := range f.stalls {
		reason := fmt.Sprintf("for %v", stall.Duration.Round(time.Millisecond))
		s.Stalls = append(s.Stalls, ChangeStatus{
			AgoMS: milliseconds(now - stall.EndedAt),
			What:  "did not run",
			Why:   reason,
		})
	}
	return s
}

// gossipHealth returns memberlist's local health score, 0 while the gossip is not open. The caller must not hold f.mu.
func (f *Fleet) gossipHealth() int {
	f.mu.Lock()
	gossip := f.gossip
	f.mu.Unlock()
	if gossip == nil {
		return 0
	}
	return gossip.GetHealthScore()
}

// memberStatuses merges the members of the view and the roster, sorted by name. The caller holds f.mu.
func (f *Fleet) memberStatuses(now time.Duration, members []membership.Member) (statuses []MemberStatus) {
	byName := map[string]*MemberStatus{}
	status := func(name string) *MemberStatus {
		s := byName[name]
		if s == nil {
			s = &MemberStatus{Name: name, State: "unknown"}
			byName[name] = s
		}
		return s
	}
	for _, m := range members {
		s := status(m.Name)
		s.Run = formatIncarnation(m.Incarnation)
		s.Addr = m.Addr
		s.Zone = m.Zone
		s.State = m.State.String()
		s.SinceMS = milliseconds(now - m.Since)
		s.Counts = m.Established
		s.Flaps = m.Flaps
		if m.DuplicateIncarnation != 0 {
			s.Twin = formatIncarnation(m.DuplicateIncarnation)
		}
	}
	for name, incarnation := range f.roster.Duplicates() {
		status(name).Twin = formatIncarnation(incarnation)
	}
	for _, m := range f.roster.Members(now) {
		s := status(m.Name)
		s.Seated = m.Voter
		s.Gone = m.Removed
		s.Out = m.Failed
		s.Same = m.SameRoster
		s.HeardMS = milliseconds(m.SinceHeard)
	}
	for _, s := range byName {
		statuses = append(statuses, *s)
	}
	slices.SortFunc(statuses, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

// maxStatusValidity caps the remaining validity of a share in a status: the share of a fleet of one node never expires.
const maxStatusValidity = 1000 * time.Hour

// poolStatus returns the status of a pool: the role that its module currently applies. The caller holds f.mu.
func (f *Fleet) poolStatus(now time.Duration, p *Pool, members []membership.Member) PoolStatus {
	role, divisor := p.Role(now)
	module := p.moduleState.Load()
	s := PoolStatus{
		Pool:     p.name,
		Index:    role.Index,
		Seen:     role.Seen,
		Agreed:   role.Established,
		Divisor:  role.Divisor,
		Standing: !math.IsInf(divisor, 1),
		Granted:  role.Granted,
		Wanted:   role.Wanted,
		Of100:    100 / divisor,
		Why:      role.Reason,
		Order:    role.Order,
		Subset:   module.Subset,
		Moving:   module.SubsetMoving,
	}
	for _, e := range module.Ejections {
		s.Aside = append(s.Aside, AsideStatus{Server: e.Server, ForMS: milliseconds(max(0, e.Until-now)), By: e.Reporters})
	}
	s.Quotas = f.quotaStatuses(now, p, divisor)
	if s.Standing {
		s.UntilMS = milliseconds(min(role.Until-now, maxStatusValidity))
	} else if s.Why == "" {
		s.Why = "what it stood on is too old"
	}
	for _, m := range members {
		if c := f.view.Compare(&m, p.id); c != membership.Compatible && m.State == membership.Alive {
			if s.Differ == nil {
				s.Differ = map[string]string{}
			}
			s.Differ[m.Name] = c.String()
		}
	}
	return s
}

// quotaStatuses returns this node's shares of a pool's quotas, sorted by tenant. The caller holds f.mu.
func (f *Fleet) quotaStatuses(now time.Duration, p *Pool, divisor float64) (statuses []QuotaStatus) {
	shares := p.quotaShares(now)
	for tenant, id := range p.quotaIDs() {
		s := QuotaStatus{Tenant: tenant, Part: 1 / divisor, Lent: f.loans.Lent(now, id), Borrowed: f.loans.Borrowed(now, id)}
		if share, ok := shares.ByTenant[tenant]; ok && !math.IsInf(divisor, 1) {
			s.Part = share
		}
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(a, b QuotaStatus) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return statuses
}

// formatIncarnation formats an incarnation in hexadecimal, as in a status.
func formatIncarnation(incarnation uint64) string { return fmt.Sprintf("%x", incarnation) }

// milliseconds converts a duration to the milliseconds of a status.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
