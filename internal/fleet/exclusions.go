package fleet

import (
	"slices"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/outlier"
)

// updateExclusions processes the digests of other members, and passes on to the decision module which servers this member avoids because
// of them, if that has changed.
func (m *Module) updateExclusions(now, bootTime time.Duration) []balancer.Action {
	for _, d := range m.pool.takeInbox() {
		m.detector.Receive(bootTime, d.from, membership.NameID(d.from), d.incarnation, d.digest)
	}
	ejections := m.detector.Ejections(bootTime, func(server string) []uint64 { return m.drawnBy[server] })
	m.pool.moduleState.Store(&ModuleState{Ejections: ejections, Subset: m.subset, SubsetMoving: m.transition.InProgress()})
	exclusions := exclusionsOf(ejections, now-bootTime)
	changes := exclusionChanges(now, m.exclusions, exclusions)
	m.exclusions = exclusions
	if len(changes) == 0 {
		return nil
	}
	return m.decider.Handle(now, balancer.PeerReports{Exclusions: changes})
}

// exclusionsOf converts ejections to the engine's time, which is the fleet's and offset.
func exclusionsOf(ejections []outlier.Ejection, offset time.Duration) (exclusions []balancer.Exclusion) {
	for _, e := range ejections {
		exclusions = append(exclusions, balancer.Exclusion{ID: e.Server, StartedAt: e.StartedAt, Until: e.Until + offset})
	}
	return exclusions
}

// isSameServer reports whether two exclusions are of the same start of a server.
func isSameServer(a, b balancer.Exclusion) bool { return a.ID == b.ID && a.StartedAt == b.StartedAt }

// exclusionChanges returns the exclusions that are new or end at another time, and those that have been lifted, which end now.
func exclusionChanges(now time.Duration, before, after []balancer.Exclusion) (changes []balancer.Exclusion) {
	for _, a := range after {
		i := slices.IndexFunc(before, func(b balancer.Exclusion) bool { return isSameServer(a, b) })
		// The offset of the two clocks varies a little from call to call.
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
