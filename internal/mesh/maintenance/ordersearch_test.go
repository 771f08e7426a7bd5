package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// searchTimes are the times that the search visits: early in the window, near its end, and after it.
var searchTimes = []TimeBounds{
	exactTime("2026-06-01 22:10:00 +1000"), exactTime("2026-06-02 01:29:45 +1000"), exactTime("2026-06-02 02:00:00 +1000"),
}

// searchObservations are what the leader may observe: the machine serves, it is cordoned and idle, or it does not answer.
var searchObservations = []Observation{
	{Reachable: true, Ready: true, Warm: true, ServerRequests: 1},
	{Reachable: true, Cordoned: true, CallersMoved: true, KeysHandedOver: true},
	{},
}

// orderState is one state of the search.
type orderState struct {
	table           OrderTable
	inFlight        []OrderChange  // proposed and not applied yet
	observed        [2]Observation // by each of two members that both consider themselves the leader
	timeIndex       int            // in searchTimes
	remainingFaults int            // how many faults and operators' requests may still occur
	history         string         // how the state was reached, for failure messages
}

func (s orderState) order() Order { return s.table.Orders[0] }

// key returns the same for states that have equivalent successors.
func (s orderState) key() string {
	o := s.order()
	key := fmt.Sprint(o.Step, o.Position, o.Aborting, o.MaintenanceDone, s.timeIndex, s.remainingFaults, s.observed, o.MaintenanceSince.Earliest.Unix())
	for _, c := range s.inFlight {
		key += fmt.Sprint(c.Step, c.ExpectedRevision == o.Revision, c.Abort, c.MaintenanceDone)
	}
	return key
}

// maxStatesWithRace limits the search under the race detector.
const maxStatesWithRace = 3_000

// orderSearch visits all states that are reachable from the first one, breadth first.
type orderSearch struct {
	t       *testing.T
	view    View
	visited map[string]bool
	queue   []orderState
	applied int // changes
}

func (q *orderSearch) add(s orderState, note string) {
	s.history += " " + note
	if key := s.key(); !q.visited[key] && (!testkit.Race || len(q.visited) < maxStatesWithRace) {
		q.visited[key] = true
		q.queue = append(q.queue, s)
	}
}

// visit adds the successors of a state.
func (q *orderSearch) visit(s orderState) {
	for member := range s.observed {
		q.decide(s, member)
		q.observe(s, member)
	}
	for n := range s.inFlight {
		q.deliver(s, n)
	}
	if s.remainingFaults > 0 {
		next := s
		next.remainingFaults--
		q.apply(next, OrderChange{OrderID: "o", Abort: true, Text: "aborted by bo"}, "abort")
		q.apply(next, OrderChange{OrderID: "o", MaintenanceDone: true, Text: "done, says bo"}, "maintenance done")
	}
	if s.timeIndex+1 < len(searchTimes) {
		next := s
		next.timeIndex++
		q.add(next, "advance the time")
	}
}

// decide has a member decide and propose the next change.
func (q *orderSearch) decide(s orderState, member int) {
	o := s.order()
	change, ok, waitsFor := o.Next(q.view, s.observed[member], searchTimes[s.timeIndex])
	if !ok && waitsFor == "" && !o.Step.IsFinished() {
		q.t.Fatalf("%s: the order neither changes nor says what it waits for", s.history)
	}
	if o.Step.IsCordoned() && s.timeIndex > 0 && (!ok || change.Step != StepReturning) {
		q.t.Fatalf("%s: the machine is not returned near or after its window's end", s.history)
	}
	if ok && len(s.inFlight) < 2 {
		next := s
		next.inFlight = append(slices.Clone(s.inFlight), change)
		q.add(next, fmt.Sprint("decide", member, change.Step))
	}
}

// observe has a member observe the machine. Each new observation of the second member counts as a fault.
func (q *orderSearch) observe(s orderState, member int) {
	for _, observation := range searchObservations {
		if observation == s.observed[member] || s.remainingFaults == 0 {
			continue
		}
		next := s
		next.observed[member] = observation
		if member == 1 {
			next.remainingFaults--
		}
		q.add(next, fmt.Sprint("observe", member))
	}
}

// deliver has a proposed change applied, applied and delivered again later, or lost.
func (q *orderSearch) deliver(s orderState, n int) {
	change := s.inFlight[n]
	without := s
	without.inFlight = slices.Delete(slices.Clone(s.inFlight), n, n+1)
	q.apply(without, change, "apply "+string(change.Step))
	if s.remainingFaults == 0 {
		return
	}
	duplicated := s
	duplicated.remainingFaults--
	q.apply(duplicated, change, "apply and deliver again "+string(change.Step))
	without.remainingFaults--
	q.add(without, "lose "+string(change.Step))
}

// apply applies a change, which may be rejected.
func (q *orderSearch) apply(s orderState, c OrderChange, note string) {
	next, err := s.table.Apply(c, searchTimes[s.timeIndex])
	if err == nil {
		q.applied++
		q.checkApplied(s, c, next.Orders[0])
		s.table = next
	}
	q.add(s, note)
}

// checkApplied checks that a step follows only the steps that it may follow, and that each change is applied once.
func (q *orderSearch) checkApplied(s orderState, c OrderChange, after Order) {
	before := s.order()
	if c.ExpectedRevision != 0 && c.ExpectedRevision != before.Revision {
		q.t.Fatalf("%s: a change of revision %d was applied to revision %d", s.history, c.ExpectedRevision, before.Revision)
	}
	predecessors := map[Step][]Step{
		StepInMaintenance: {StepMovingCallers, StepInMaintenance},
		StepMovingCallers: {StepDraining, StepMovingCallers},
	}
	if allowed, restricted := predecessors[after.Step]; restricted && !slices.Contains(allowed, before.Step) {
		q.t.Fatalf("%s: step %s follows %s", s.history, after.Step, before.Step)
	}
	if after.Revision != before.Revision+1 || len(after.Events) != len(before.Events)+1 {
		q.t.Fatalf("%s: revision %d follows %d, or the change added no event", s.history, after.Revision, before.Revision)
	}
}

func placedOrder(t *testing.T) OrderTable {
	t.Helper()
	table, err := OrderTable{}.Place(Order{ID: "o", Machines: []string{"l0", "l1"}, PlacedBy: "ana", Duration: time.Minute}, searchTimes[0])
	assert.NilError(t, err)
	return table
}

// Searches all interleavings of what may happen to an order: two members that both consider themselves the leader propose
// changes, which arrive late, twice or never; an operator aborts the order or reports that the maintenance is done; the
// machine stops answering and comes back; the window ends. Each step must be allowed after the one before it, each change
// must be applied at most once, and the next decision on a machine that is cordoned near or after its window's end must be to return it.
func TestOrderEveryInterleaving(t *testing.T) {
	search := orderSearch{t: t, view: testView(), visited: map[string]bool{}}
	first := searchObservations[0]
	search.add(orderState{table: placedOrder(t), observed: [2]Observation{first, first}, remainingFaults: 2}, "")
	finished := 0
	for len(search.queue) > 0 {
		s := search.queue[0]
		search.queue = search.queue[1:]
		if s.order().Step.IsFinished() {
			finished++
		}
		search.visit(s)
	}
	if finished == 0 || search.applied == 0 {
		t.Fatal("no order finished, or no change was applied")
	}
	t.Logf("%d states", len(search.visited))
}

// An order completes if its machines follow each step.
func TestOrderCompletes(t *testing.T) {
	table, now := placedOrder(t), searchTimes[0]
	var steps []string
	for n := 0; !table.Orders[0].Step.IsFinished(); n++ {
		assert.Assert(t, n < 100, "the order does not complete")
		o := table.Orders[0]
		observed := Observation{Reachable: true, Ready: true, Warm: true}
		if o.Step.IsCordoned() {
			observed = searchObservations[1]
		}
		if change, ok, _ := o.Next(testView(), observed, now); ok {
			var err error
			table, err = table.Apply(change, now)
			assert.NilError(t, err)
			steps = append(steps, string(table.Orders[0].Step))
		}
		now = TimeBounds{now.Earliest.Add(10 * time.Second), now.Latest.Add(10 * time.Second)}
	}
	assert.Equal(t, strings.Join(steps, " "), "draining leading out returning waiting draining leading out returning done")
}

// Placing the same order again changes nothing. A different order with the same ID is rejected.
func TestPlaceIsIdempotent(t *testing.T) {
	table := placedOrder(t)
	_, err := table.Place(Order{ID: "o", Machines: []string{"l2"}, PlacedBy: "ana"}, searchTimes[0])
	assert.Assert(t, errors.Is(err, ErrInvalidOrder))
	same, err := table.Place(Order{ID: "o", Machines: []string{"l0", "l1"}, PlacedBy: "ana"}, searchTimes[0])
	assert.Assert(t, err == nil && len(same.Orders) == 1)
}
