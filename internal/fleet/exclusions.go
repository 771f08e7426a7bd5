package fleet

import (
	"slices"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/outlier"
)

// updateExclusions processes the digests received from other members, and notifies the decision module of changes in the servers that this
// member avoids because of them.
func (m *Module) updateExclusions(now, bootTime time.Duration) []balancer.Action {
	for _, d := range m.pool.drainInbox() {
		m.detector.Receive(bootTime, d.from, membership.NameID(d.from), d.incarnation, d.digest)
	}
	ejections := m.detector.Ejections(bootTime, func(server string) []uint64 { return m.membersByServer[server] })
	m.pool.moduleState.Store(&ModuleState{Ejections: ejections, Subset: m.subset, SubsetMoving: m.transition.InProgress()})
	exclusions := toExclusions(ejections, now-bootTime)
	changes := exclusionChanges(now, m.exclusions, exclusions)
	m.exclusions = exclusions
	if len(changes) == 0 {
		return nil
	}
	return m.decider.Handle(now, balancer.PeerReports{Exclusions: changes})
}

// toExclusions converts ejections to exclusions in the engine's time, which is the fleet's time plus offset.
func toExclusions(ejections []outlier.Ejection, offset time.Duration) (exclusions []balancer.Exclusion) {
	for _, e := range ejections {
		exclusions = append(exclusions, balancer.Exclusion{ID: e.Server, StartedAt: e.StartedAt, Until: e.Until + offset})
	}
	return exclusions
}

// isSameServer reports whether two exclusions concern the same server and the same start of it.
func isSameServer(a, b balancer.Exclusion) bool { return a.ID == b.ID && a.StartedAt == b.StartedAt }

// exclusionChanges returns the exclusions that are new or whose end has changed, and the lifted ones, with their end set to now.
func exclusionChanges(now time.Duration, before, after []balancer.Exclusion) (changes []balancer.Exclusion) {
	for _, a := range after {
		i := slices.IndexFunc(before, func(b balancer.Exclusion) bool { return isSameServer(a, b) })
		// Smaller differences are ignored: the offset between the two clocks varies slightly from call to call.
		if i < 0 || (before[i].Until-a.Until).Abs() > checkInterval {
			changes = append(changes, a)
		}
	}
	for _, b := range before {
		if b.Until > now && !slices.ContainsFunc(after, func(a balancer.Exclusion) bool { return isSameServer(a, b) }) {
			changes = append(changes, balancer.Exclusion{ID: b.ID, StartedAt: b.StartedAt, Until: now})
		}
	}
	return changes
}
