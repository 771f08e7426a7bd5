package testcluster

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/history"
	"cranegrade/internal/testfleet"
)

// repeatRounds is the number of rounds, each with eight changes in flight at once.
const repeatRounds = 6

// Two operators have four changes each in flight, which give every version two contents. One member's answers are lost, and the leader is
// killed, partitioned or loses its connections. Each change is retried at other members until it is acknowledged or rejected, and then
// repeated once more. One content of each version is acknowledged; the repetition of an accepted change is acknowledged, or its result
// is unknown.
func TestRepeatedChangesKeepOneContent(t *testing.T) {
	runParallel(t)
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders")
	seen, operators := newObserver(), []*Operator{m.Operator(0), m.Operator(1)}
	seen.recordInitialRoutes()
	stop := seen.watchLeaders(m.Members...)
	for round := range repeatRounds {
		deaf := m.Members[round%3]
		for _, by := range operators {
			relay.Set(testfleet.Link{Cut: true}, by.PathTo(deaf).Reverse())
		}
		changes := competingRouteChanges(round, operators)
		under := seen.sendAll(changes, m.Members, round)
		lead := m.awaitLeader(t)
		restore := m.injectLeaderFault(t, relay, lead, round)
		under.Wait()
		restore()
		relay.Heal()
		again := seen.sendAll(changes, m.Members, round+1)
		again.Wait()
		seen.assertOneContent(t, changes)
		for _, x := range m.Members {
			seen.awaitFetched(t, operators[0], x)
		}
	}
	stop()
	seen.check(t)
	m.assertNoViolations(t)
}

// operatorChange is a change and its operator.
type operatorChange struct {
	routeChange
	operator *Operator
}

// competingRouteChanges returns the changes of a round: of four routes the same version by each operator, with different contents.
func competingRouteChanges(round int, operators []*Operator) (l []operatorChange) {
	for n := range 4 {
		for i, by := range operators {
			content := fmt.Sprintf("/by-%d-%d-%d/", i, n, round)
			l = append(l, operatorChange{newRouteChange(fmt.Sprintf("%d-%d-%d", i, n, round), fmt.Sprint("race-", n), round+2, content), by})
		}
	}
	return l
}

// sendAll sends all changes at once, each to the members in turn until it is acknowledged or rejected.
func (o *observer) sendAll(changes []operatorChange, at []*Machine, first int) *sync.WaitGroup {
	var all sync.WaitGroup
	for n, x := range changes {
		all.Go(func() {
			for try := first + n; try < first+n+3*len(at); try++ {
				if outcome, _ := o.send(x.operator, at[try%len(at)], x.routeChange); outcome != history.Unknown {
					return
				}
			}
		})
	}
	return &all
}

// injectLeaderFault injects the leader's fault of a round, and returns a function that heals it.
func (m *Cluster) injectLeaderFault(t *testing.T, relay *testfleet.Relay, lead *Machine, round int) (restore func()) {
	t.Helper()
	switch round % 3 {
	case 0:
		lead.Kill()
		m.awaitLeader(t, m.membersExcept(lead)...)
		return func() { assert.NilError(t, lead.Start()) }
	case 1:
		relay.Set(testfleet.Link{Cut: true}, pathsBetween(lead, m.membersExcept(lead)...)...)
		m.awaitLeader(t, m.membersExcept(lead)...)
	case 2:
		for _, x := range m.membersExcept(lead) {
			relay.Reset(lead.PathTo(x))
		}
	}
	return func() {}
}

// assertOneContent checks that each route's version was acknowledged for one operator, whose change was never rejected.
func (o *observer) assertOneContent(t *testing.T, changes []operatorChange) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := map[string]map[history.Outcome]int{} // by change
	for _, c := range o.history.Changes {
		if outcomes[c.ChangeID] == nil {
			outcomes[c.ChangeID] = map[history.Outcome]int{}
		}
		outcomes[c.ChangeID][c.Outcome]++
	}
	for n := 0; n < len(changes); n += 2 {
		one, other := outcomes[changes[n].name], outcomes[changes[n+1].name]
		assert.Assert(t, (one[history.Acknowledged] > 0) != (other[history.Acknowledged] > 0),
			"%s %v, %s %v", changes[n].name, one, changes[n+1].name, other)
		for _, x := range []map[history.Outcome]int{one, other} {
			assert.Assert(t, x[history.Acknowledged] == 0 || x[history.Refused] == 0, "acknowledged and refused: %v", x)
		}
	}
}
