package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// frame is what a sidecar's member tells it; frames come in the order in which they were sent.
type frame struct {
	kind     byte   // one of the kinds below
	received int    // items, table: the set among the items
	active   int    // activation, answer, table
	agreed   int    // answer
	index    uint64 // activation, answer, table: of the entry that activated the set
	askedAt  int    // answer, table: when the sidecar asked
}

// Kinds of frames.
const (
	itemsFrame      = 'i' // changed items
	activationFrame = 'b' // a set is active
	answerFrame     = 'a' // to whether the set is still active
	tableFrame      = 't' // all items, and the active set
)

// sidecarModel is a sidecar in the search.
type sidecarModel struct {
	state    SidecarState
	received int // the set among its items
	queue    []frame
	ready    bool // it has had its first table
	violated bool // it goes by a set that it received only in part, or that was never active
}

// rolloutModel is a state of the search. Sets are numbered from 0, and time is in seconds.
type rolloutModel struct {
	rollout    Rollout
	agreed     int
	index      uint64 // log entries so far
	activated  []int  // by entry: the set that it activated; -1: none
	agreedAt   int    // since when the leader knows of the agreed set
	now        int
	replacedAt int // when the set before the active one ceased to be so
	sidecars   []sidecarModel
	frameLost  bool
	trail      string
}

// Bounds of the search.
const (
	lastSecond    = 9
	lastSet       = 2
	maxQueue      = 3
	maxStartTrail = 40 // sidecars start again only in trails shorter than that
)

// mutation is an error put into the model, which the search must find.
type mutation string

const (
	noMutation       mutation = ""
	activateAtOnce   mutation = "early"   // without waiting for sidecars
	fenceFromArrival mutation = "arrival" // the fence runs from an answer's arrival
	adoptAnySet      mutation = "half"    // a sidecar goes by what is active whether it has received it or not
	startWithItems   mutation = "table"   // a sidecar that starts goes by the items that it has
)

func setName(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// editSidecar is a sidecar of a copy of the model, with a queue of its own.
func (m *rolloutModel) editSidecar(i int) *sidecarModel {
	m.sidecars = slices.Clone(m.sidecars)
	m.sidecars[i].queue = slices.Clone(m.sidecars[i].queue)
	return &m.sidecars[i]
}

// broadcast sends a frame to all sidecars that have had their first table.
func (m *rolloutModel) broadcast(f frame) {
	for i := range m.sidecars {
		if s := m.editSidecar(i); s.ready {
			s.queue = append(s.queue, f)
		}
	}
}

// activeSet is the set that the latest activation is of.
func (m rolloutModel) activeSet() int {
	active := 0
	for _, set := range m.activated {
		if set >= 0 {
			active = set
		}
	}
	return active
}

// successors are all that may happen next.
func (m rolloutModel) successors(mutated mutation) (next []rolloutModel) {
	add := func(name string, successor rolloutModel, possible bool) {
		if possible {
			successor.trail += " " + name
			next = append(next, successor)
		}
	}
	tick := m
	tick.now++
	add("tick", tick, m.now < lastSecond)
	changed, ok := m.change()
	add("change", changed, ok)
	activated, ok := m.activate(mutated)
	add("bind", activated, ok)
	elected := m // another leader, which begins to wait again
	elected.agreedAt = m.now
	add("lead", elected, m.rollout.IsPending() && m.agreedAt < m.now)
	for i := range m.sidecars {
		asked, ok := m.ask(i)
		add(fmt.Sprint("ask", i), asked, ok)
		given, ok := m.giveTable(i)
		add(fmt.Sprint("table", i), given, ok)
		restarted := m // it has forgotten all
		*restarted.editSidecar(i) = sidecarModel{}
		add(fmt.Sprint("start", i), restarted, m.sidecars[i].ready && len(m.trail) < maxStartTrail)
		lost, ok := m.lose(i)
		add(fmt.Sprint("lost", i), lost, ok)
		if queue := m.sidecars[i].queue; len(queue) > 0 {
			add(fmt.Sprintf("%c%d", queue[0].kind, i), m.deliver(i, mutated), true)
		}
	}
	return next
}

// change has another set agreed on.
func (m rolloutModel) change() (rolloutModel, bool) {
	if m.agreed == lastSet {
		return m, false
	}
	m.agreed++
	m.index++
	m.rollout = m.rollout.Agree(setName(m.agreed), m.index)
	m.activated = append(slices.Clone(m.activated), -1)
	m.agreedAt = m.now
	m.broadcast(frame{kind: itemsFrame, received: m.agreed})
	return m, true
}

// activate has the agreed set activated. The leader knows what each sidecar has received: where it may not hear of one, it only
// waits longer.
func (m rolloutModel) activate(mutated mutation) (rolloutModel, bool) {
	var reports []SidecarReport
	for _, s := range m.sidecars {
		reports = append(reports, SidecarReport{Received: s.state.Received})
	}
	ok, _ := m.rollout.CanActivate(reports, seconds(m.now-m.agreedAt))
	if !ok && (mutated != activateAtOnce || !m.rollout.IsPending()) {
		return m, false
	}
	m.index++
	var activated bool
	m.rollout, activated = m.rollout.Activate(setName(m.agreed), m.index)
	if !activated {
		return m, false
	}
	m.activated = append(slices.Clone(m.activated), m.agreed)
	m.replacedAt = m.now
	m.broadcast(frame{kind: activationFrame, active: m.agreed, index: m.index})
	return m, true
}

// ask has a sidecar ask whether its set is still active.
func (m rolloutModel) ask(i int) (rolloutModel, bool) {
	s := m.editSidecar(i)
	answering := slices.ContainsFunc(s.queue, func(f frame) bool { return f.kind == answerFrame })
	if len(s.queue) >= maxQueue || !s.ready || answering {
		return m, false
	}
	s.queue = append(s.queue, frame{kind: answerFrame, active: m.activeSet(), agreed: m.agreed, index: m.rollout.ActiveIndex, askedAt: m.now})
	return m, true
}

// giveTable has a sidecar read all items, from another member or once more.
func (m rolloutModel) giveTable(i int) (rolloutModel, bool) {
	s := m.editSidecar(i)
	current := s.ready && s.state.Active == m.rollout.Active && s.state.Received == m.rollout.Agreed
	if len(s.queue) >= maxQueue || current {
		return m, false
	}
	s.queue = []frame{{kind: tableFrame, received: m.agreed, active: m.activeSet(), index: m.rollout.ActiveIndex, askedAt: m.now}}
	return m, true
}

// lose has a sidecar fail to read a frame, once.
func (m rolloutModel) lose(i int) (rolloutModel, bool) {
	s := m.editSidecar(i)
	if len(s.queue) == 0 || m.frameLost || s.queue[0].kind == tableFrame {
		return m, false
	}
	m.frameLost = true
	s.queue = s.queue[1:]
	return m, true
}

// deliver has a sidecar take the first frame of its queue.
func (m rolloutModel) deliver(i int, mutated mutation) rolloutModel {
	s := m.editSidecar(i)
	f := s.queue[0]
	s.queue = s.queue[1:]
	asked := seconds(f.askedAt)
	if mutated == fenceFromArrival {
		asked = seconds(m.now)
	}
	switch f.kind {
	case itemsFrame:
		s.receive(f.received)
	case activationFrame:
		s.activate(f, mutated)
	case answerFrame:
		agreed := setName(f.agreed)
		if mutated == adoptAnySet {
			agreed = s.state.Received
		}
		s.state, _ = s.state.Confirm(setName(f.active), f.index, agreed, asked)
	case tableFrame:
		s.receive(f.received)
		if mutated == startWithItems {
			f.active = s.received
		}
		s.state = s.state.Restore(setName(f.active), f.index, asked)
		s.ready = true
	}
	return m
}

func (s *sidecarModel) receive(set int) {
	s.received = max(s.received, set)
	s.state = s.state.Receive(setName(s.received))
}

func (s *sidecarModel) activate(f frame, mutated mutation) {
	if mutated == adoptAnySet {
		s.state.Active, s.state.ActiveIndex = setName(f.active), max(f.index, s.state.ActiveIndex)
		s.violated = s.violated || s.received != f.active
		return
	}
	before := s.state
	var adopted bool
	if s.state, adopted, _ = s.state.Activate(setName(f.active), f.index); adopted {
		s.violated = s.violated || s.received != f.active || f.index < before.ActiveIndex
	}
}

// violation is what is wrong; "" means nothing.
func (m rolloutModel) violation() string {
	for i, s := range m.sidecars {
		if !s.ready || s.state.IsFenced(seconds(m.now)) {
			continue
		}
		index := int(s.state.ActiveIndex)
		switch {
		case s.violated:
			return fmt.Sprintf("sidecar %d goes by a set that it has not received, or back", i)
		case index > 0 && (index > len(m.activated) || setName(max(0, m.activated[index-1])) != s.state.Active):
			return fmt.Sprintf("sidecar %d goes by %q, which entry %d never activated", i, s.state.Active, index)
		case index == 0 && s.state.Active != "":
			return fmt.Sprintf("sidecar %d goes by %q, and nothing is active", i, s.state.Active)
		case s.state.HasPolicies && s.state.Active != m.rollout.Active && seconds(m.now-m.replacedAt) > FenceTimeout:
			return fmt.Sprintf("sidecar %d goes by %q, and %q has been active for %d s", i, s.state.Active, m.rollout.Active, m.now-m.replacedAt)
		case m.rollout.ActiveIndex > 0 && s.received < slices.Max(m.activated) && m.now == m.replacedAt:
			return fmt.Sprintf("sidecar %d has not received what has just become active, and is not fenced", i)
		}
	}
	return ""
}

func (m rolloutModel) key() string {
	m.trail = ""
	return fmt.Sprint(m)
}

// searchRollout visits states until one is wrong, or so many were visited.
func searchRollout(mutated mutation, sidecars, maxStates int) (states int, violation, trail string) {
	visited := map[string]bool{}
	first := rolloutModel{sidecars: make([]sidecarModel, sidecars)}
	for queue := []rolloutModel{first}; len(queue) > 0 && len(visited) < maxStates; queue = queue[1:] {
		m := queue[0]
		key := m.key()
		if visited[key] {
			continue
		}
		visited[key] = true
		if v := m.violation(); v != "" {
			return len(visited), v, m.trail
		}
		queue = append(queue, m.successors(mutated)...)
	}
	return len(visited), "", ""
}

// Three sets, a leader that may change, sidecars that start again and follow other members: all orders of what is told, asked
// and answered, with time in between. No sidecar goes by a set that it has not received or that was never active, none goes
// back, and none goes by a set that was replaced for longer than the fence time-out.
func TestRolloutEveryInterleaving(t *testing.T) {
	for _, x := range []struct {
		name                string
		sidecars, maxStates int
	}{{"one sidecar", 1, 60_000}, {"two sidecars", 2, 30_000}} {
		t.Run(x.name, func(t *testing.T) {
			states, violation, trail := searchRollout(noMutation, x.sidecars, x.maxStates)
			assert.Equal(t, violation, "", trail)
			t.Logf("%d states", states)
		})
	}
}

// The search finds each error that is put into the model.
func TestRolloutSearchFindsMutations(t *testing.T) {
	for _, mutated := range []mutation{activateAtOnce, adoptAnySet, startWithItems, fenceFromArrival} {
		t.Run(string(mutated), func(t *testing.T) {
			states, violation, trail := searchRollout(mutated, 1, 300_000)
			assert.Assert(t, violation != "", "not found in %d states", states)
			t.Logf("after %d states: %s:%s", states, violation, trail)
		})
	}
}
