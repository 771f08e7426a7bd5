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

// The times of the search: early in the window, near its end, and past it.
var searchTimes = []TimeBounds{
	exactTime("2026-06-01 22:10:00 +1000"), exactTime("2026-06-02 01:29:45 +1000"), exactTime("2026-06-02 02:00:00 +1000"),
}

// What may be seen of the machine: it serves, it is cordoned and empty, or it does not answer.
var searchObservations = []Observation{
	{Reachable: true, Ready: true, Warm: true, ServerRequests: 1},
	{Reachable: true, Cordoned: true, CallersMoved: true, KeysHandedOver: true},
	{},
}

// orderState is one state of the search.
type orderState struct {
	table    OrderTable
	inFlight []OrderChange  // proposed, and not applied
	seen     [2]Observation // by either of two members that take themselves for the leader
	time     int            // of searchTimes
	left     int            // mishaps and calls of operators that may still come
	history  string
}

func (s orderState) order() Order { return s.table.Orders[0] }

// key is the same of states from which the same may follow.
func (s orderState) key() string {
	o := s.order()
	key := fmt.Sprint(o.Step, o.Position, o.Aborting, o.MaintenanceDone, s.time, s.left, s.seen, o.MaintenanceSince.Earliest.Unix())
	for _, c := range s.inFlight {
		key += fmt.Sprint(c.Step, c.ExpectedRevision == o.Revision, c.Abort, c.MaintenanceDone)
	}
	return key
}

// orderSearch visits all states that may follow from a first one.
type orderSearch struct {
	t       *testing.T
	view    View
	visited map[string]bool
	queue   []orderState
	applied int
}

func (q *orderSearch) add(s orderState, note string) {
	s.history += " " + note
	if key := s.key(); !q.visited[key] && (!testkit.Race || len(q.visited) < 3_000) {
		q.visited[key] = true
		q.queue = append(q.queue, s)
	}
}

// visit adds the states that follow from one.
func (q *orderSearch) visit(s orderState) {
	for member := range s.seen {
		q.decide(s, member)
		q.observe(s, member)
	}
	for n := range s.inFlight {
		q.deliver(s, n)
	}
	if s.left > 0 {
		next := s
		next.left--
		q.apply(next, OrderChange{OrderID: "o", Abort: true, Text: "aborted by bo"}, "abort")
		q.apply(next, OrderChange{OrderID: "o", MaintenanceDone: true, Text: "done, says bo"}, "back")
	}
	if s.time+1 < len(searchTimes) {
		next := s
		next.time++
		q.add(next, "later")
	}
}

func (q *orderSearch) decide(s orderState, member int) {
	o := s.order()
	change, ok, waitsFor := o.Next(q.view, s.seen[member], searchTimes[s.time])
	if !ok && waitsFor == "" && !o.Step.IsFinished() {
		q.t.Fatalf("%s: it waits for nothing", s.history)
	}
	if o.Step.IsCordoned() && s.time > 0 && (!ok || change.Step != StepReturning) {
		q.t.Fatalf("%s: held past the window's end", s.history)
	}
	if ok && len(s.inFlight) < 2 {
		next := s
		next.inFlight = append(slices.Clone(s.inFlight), change)
		q.add(next, fmt.Sprint("decide", member, change.Step))
	}
}

func (q *orderSearch) observe(s orderState, member int) {
	for _, seen := range searchObservations {
		if seen == s.seen[member] || s.left == 0 {
			continue
		}
		next := s
		next.seen[member] = seen
		if member == 1 {
			next.left--
		}
		q.add(next, "see")
	}
}

// deliver has a change in flight applied, applied while it comes once more later, or lost.
func (q *orderSearch) deliver(s orderState, n int) {
	change := s.inFlight[n]
	without := s
	without.inFlight = slices.Delete(slices.Clone(s.inFlight), n, n+1)
	q.apply(without, change, "take "+string(change.Step))
	if s.left == 0 {
		return
	}
	again := s
	again.left--
	q.apply(again, change, "take once more "+string(change.Step))
	without.left--
	q.add(without, "lose")
}

func (q *orderSearch) apply(s orderState, c OrderChange, note string) {
	next, err := s.table.Apply(c, searchTimes[s.time])
	if err == nil {
		q.applied++
		q.checkApplied(s, c, next.Orders[0])
		s.table = next
	}
	q.add(s, note)
}

// checkApplied sees that steps follow one another as they must, and that none is made twice.
func (q *orderSearch) checkApplied(s orderState, c OrderChange, after Order) {
	before := s.order()
	if c.ExpectedRevision != 0 && c.ExpectedRevision != before.Revision {
		q.t.Fatalf("%s: a change after %d was made at %d", s.history, c.ExpectedRevision, before.Revision)
	}
	mayBe := map[Step][]Step{
		StepInMaintenance: {StepMovingCallers, StepInMaintenance},
		StepMovingCallers: {StepDraining, StepMovingCallers},
	}
	if allowed, restricted := mayBe[after.Step]; restricted && !slices.Contains(allowed, before.Step) {
		q.t.Fatalf("%s: %s after %s", s.history, after.Step, before.Step)
	}
	if after.Revision != before.Revision+1 || len(after.Events) != len(before.Events)+1 {
		q.t.Fatalf("%s: %d after %d", s.history, after.Revision, before.Revision)
	}
}

func placedOrder(t *testing.T) OrderTable {
	t.Helper()
	table, err := OrderTable{}.Place(Order{ID: "o", Machines: []string{"l0", "l1"}, PlacedBy: "ana", Duration: time.Minute}, searchTimes[0])
	assert.NilError(t, err)
	return table
}

// All orders of what befalls an order: two members that each take themselves for the leader decide and propose, their changes
// come late, twice or never; an operator aborts or says that the maintenance is done; the machine stops answering and comes
// back; the window comes to its end. Steps follow one another as they must, none is made twice, and what is cordoned past the
// window's end is let in again by the next decision.
func TestOrderEveryInterleaving(t *testing.T) {
	search := orderSearch{t: t, view: testView(), visited: map[string]bool{}}
	first := searchObservations[0]
	search.add(orderState{table: placedOrder(t), seen: [2]Observation{first, first}, left: 2}, "")
	ended := 0
	for len(search.queue) > 0 {
		s := search.queue[0]
		search.queue = search.queue[1:]
		if s.order().Step.IsFinished() {
			ended++
		}
		search.visit(s)
	}
	if ended == 0 || search.applied == 0 {
		t.Fatal("nothing came to an end")
	}
	t.Logf("%d states", len(search.visited))
}

// Given time and a machine that does as it is told, an order comes to its end.
func TestOrderComesToItsEnd(t *testing.T) {
	table, now := placedOrder(t), searchTimes[0]
	var steps []string
	for n := 0; !table.Orders[0].Step.IsFinished(); n++ {
		assert.Assert(t, n < 100)
		o := table.Orders[0]
		seen := Observation{Reachable: true, Ready: true, Warm: true}
		if o.Step.IsCordoned() {
			seen = searchObservations[1]
		}
		if change, ok, _ := o.Next(testView(), seen, now); ok {
			var err error
			table, err = table.Apply(change, now)
			assert.NilError(t, err)
			steps = append(steps, string(table.Orders[0].Step))
		}
		now = TimeBounds{now.Earliest.Add(10 * time.Second), now.Latest.Add(10 * time.Second)}
	}
	assert.Equal(t, strings.Join(steps, " "), "draining leading out returning waiting draining leading out returning done")
}

// An order placed again under its id is the same one; another one is refused.
func TestPlaceTwice(t *testing.T) {
	table := placedOrder(t)
	_, err := table.Place(Order{ID: "o", Machines: []string{"l2"}, PlacedBy: "ana"}, searchTimes[0])
	assert.Assert(t, errors.Is(err, ErrInvalidOrder))
	same, err := table.Place(Order{ID: "o", Machines: []string{"l0", "l1"}, PlacedBy: "ana"}, searchTimes[0])
	assert.Assert(t, err == nil && len(same.Orders) == 1)
}
