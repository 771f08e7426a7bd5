package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// frame is a message from a control-plane member to a sidecar. Frames arrive in the order in which they were sent.
type frame struct {
	kind        byte   // one of the kinds below; they determine which fields are set
	received    int    // items, table: the set that the items form
	active      int    // activation, answer, table: the active set
	agreed      int    // answer: the agreed set
	index       uint64 // activation, answer, table: the log entry that activated the set
	requestedAt int    // answer, table: when the sidecar sent the request
}

// Kinds of frames.
const (
	itemsFrame      = 'i' // changed items
	activationFrame = 'b' // a set was activated
	answerFrame     = 'a' // answer to a request for confirmation of the active set
	tableFrame      = 't' // answer to a request for all items and the active set
)

// sidecarModel is a sidecar in the search. The zero value is one that has just started.
type sidecarModel struct {
	state    SidecarState
	received int     // the set that its items form
	queue    []frame // sent to it and not delivered yet
	ready    bool    // it has received its first table
	violated bool    // it adopted a set that it has not received, or an older one
}

// rolloutModel is a state of the search. Sets are numbered from 0, and time is in seconds.
type rolloutModel struct {
	rollout    Rollout
	agreed     int
	index      uint64 // of the latest log entry
	activated  []int  // by log entry: the set that it activated, or noSet
	agreedAt   int    // when the leader learned of the agreed set
	now        int
	replacedAt int // when the active set replaced the former one
	sidecars   []sidecarModel
	frameLost  bool   // one frame was lost; no more are
	trail      string // the steps that led to the state, for failure messages
}

// noSet stands for a log entry that did not activate a set.
const noSet = -1

// Limits of the search.
const (
	lastSecond    = 9
	lastSet       = 2
	maxQueue      = 3
	maxStartTrail = 40 // sidecars restart only while the trail has fewer bytes, which depends on the names of the steps
)

// mutation is a fault injected into the model, which the search must find.
type mutation string

const (
	noMutation       mutation = ""
	activateAtOnce   mutation = "early"   // the leader does not wait for sidecars
	fenceFromArrival mutation = "arrival" // FenceTimeout is counted from the arrival of an answer instead of its request
	adoptAnySet      mutation = "half"    // a sidecar adopts the active set even if it has not received it
	startWithItems   mutation = "table"   // a sidecar that starts takes the set that its items form for the active one
)

// setName returns the fingerprint of a set.
func setName(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// editSidecar returns a sidecar of the model that may be changed: it first clones what copies of the model share.
func (m *rolloutModel) editSidecar(i int) *sidecarModel {
	m.sidecars = slices.Clone(m.sidecars)
	m.sidecars[i].queue = slices.Clone(m.sidecars[i].queue)
	return &m.sidecars[i]
}

// broadcast sends a frame to all sidecars that have received their first table.
func (m *rolloutModel) broadcast(f frame) {
	for i := range m.sidecars {
		if s := m.editSidecar(i); s.ready {
			s.queue = append(s.queue, f)
		}
	}
}

// activeSet returns the set that was activated last, or 0 if there is none.
func (m rolloutModel) activeSet() int {
	active := 0
	for _, set := range m.activated {
		if set != noSet {
			active = set
		}
	}
	return active
}

// successors returns the states after each step that is possible next.
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
	elected := m // a new leader waits for the sidecars from the beginning
	elected.agreedAt = m.now
	add("lead", elected, m.rollout.IsPending() && m.agreedAt < m.now)
	for i := range m.sidecars {
		asked, ok := m.ask(i)
		add(fmt.Sprint("ask", i), asked, ok)
		requested, ok := m.requestTable(i)
		add(fmt.Sprint("table", i), requested, ok)
		restarted := m // without its former state
		*restarted.editSidecar(i) = sidecarModel{}
		add(fmt.Sprint("start", i), restarted, m.sidecars[i].ready && len(m.trail) < maxStartTrail)
		lost, ok := m.lose(i)
		add(fmt.Sprint("lose", i), lost, ok)
		if queue := m.sidecars[i].queue; len(queue) > 0 {
			add(fmt.Sprintf("%c%d", queue[0].kind, i), m.deliver(i, mutated), true)
		}
	}
	return next
}

// change makes another set the agreed one.
func (m rolloutModel) change() (rolloutModel, bool) {
	if m.agreed == lastSet {
		return m, false
	}
	m.agreed++
	m.index++
	m.rollout = m.rollout.Agree(setName(m.agreed), m.index)
	m.activated = append(slices.Clone(m.activated), noSet)
	m.agreedAt = m.now
	m.broadcast(frame{kind: itemsFrame, received: m.agreed})
	return m, true
}

// activate activates the agreed set. The leader of the model knows what each sidecar has received. A leader that misses some
// reports only waits longer, so the search leaves that out.
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

// ask makes a sidecar request confirmation of the active set.
func (m rolloutModel) ask(i int) (rolloutModel, bool) {
	s := m.editSidecar(i)
	answerPending := slices.ContainsFunc(s.queue, func(f frame) bool { return f.kind == answerFrame })
	if len(s.queue) >= maxQueue || !s.ready || answerPending {
		return m, false
	}
	s.queue = append(s.queue, frame{kind: answerFrame, active: m.activeSet(), agreed: m.agreed, index: m.rollout.ActiveIndex, requestedAt: m.now})
	return m, true
}

// requestTable makes a sidecar read all items, from another member or again, if its sets are not current.
func (m rolloutModel) requestTable(i int) (rolloutModel, bool) {
	s := m.editSidecar(i)
	current := s.ready && s.state.Active == m.rollout.Active && s.state.Received == m.rollout.Agreed
	if len(s.queue) >= maxQueue || current {
		return m, false
	}
	s.queue = []frame{{kind: tableFrame, received: m.agreed, active: m.activeSet(), index: m.rollout.ActiveIndex, requestedAt: m.now}}
	return m, true
}

// lose drops the first frame of a sidecar's queue, unless one was lost before or it is a table.
func (m rolloutModel) lose(i int) (rolloutModel, bool) {
	s := m.editSidecar(i)
	if len(s.queue) == 0 || m.frameLost || s.queue[0].kind == tableFrame {
		return m, false
	}
	m.frameLost = true
	s.queue = s.queue[1:]
	return m, true
}

// deliver makes a sidecar process the first frame of its queue.
func (m rolloutModel) deliver(i int, mutated mutation) rolloutModel {
	s := m.editSidecar(i)
	f := s.queue[0]
	s.queue = s.queue[1:]
	requestedAt := seconds(f.requestedAt)
	if mutated == fenceFromArrival {
		requestedAt = seconds(m.now)
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
		s.state, _ = s.state.Confirm(setName(f.active), f.index, agreed, requestedAt)
	case tableFrame:
		s.receive(f.received)
		if mutated == startWithItems {
			f.active = s.received
		}
		s.state = s.state.Restore(setName(f.active), f.index, requestedAt)
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

// violation returns which invariant the state violates, or "" if none.
func (m rolloutModel) violation() string {
	for i, s := range m.sidecars {
		if !s.ready || s.state.IsFenced(seconds(m.now)) {
			continue
		}
		index := int(s.state.ActiveIndex)
		switch {
		case s.violated:
			return fmt.Sprintf("sidecar %d adopted a set that it has not received, or an older one", i)
		case index > 0 && (index > len(m.activated) || setName(max(0, m.activated[index-1])) != s.state.Active):
			return fmt.Sprintf("sidecar %d uses set %q, which log entry %d did not activate", i, s.state.Active, index)
		case index == 0 && s.state.Active != "":
			return fmt.Sprintf("sidecar %d uses set %q although no set was activated", i, s.state.Active)
		case s.state.HasPolicies && s.state.Active != m.rollout.Active && seconds(m.now-m.replacedAt) > FenceTimeout:
			return fmt.Sprintf("sidecar %d still uses set %q although %q has been active for %d s", i, s.state.Active, m.rollout.Active, m.now-m.replacedAt)
		case m.rollout.ActiveIndex > 0 && s.received < slices.Max(m.activated) && m.now == m.replacedAt:
			return fmt.Sprintf("sidecar %d is not fenced although it has not received the set that was just activated", i)
		}
	}
	return ""
}

// key identifies a state, whatever steps led to it.
func (m rolloutModel) key() string {
	m.trail = ""
	return fmt.Sprint(m)
}

// searchRollout visits states, breadth first, until one violates an invariant or maxStates were visited.
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

// Searches the interleavings of a rollout: sets change, the leader changes, sidecars restart and read from other members, and
// frames are delivered late or lost. No sidecar may use a set that it has not received or that was never active, return to an
// older set, or use a replaced set for longer than FenceTimeout.
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

// The search finds each fault that is injected into the model.
func TestRolloutSearchFindsMutations(t *testing.T) {
	for _, mutated := range []mutation{activateAtOnce, adoptAnySet, startWithItems, fenceFromArrival} {
		t.Run(string(mutated), func(t *testing.T) {
			states, violation, trail := searchRollout(mutated, 1, 300_000)
			assert.Assert(t, violation != "", "not found in %d states", states)
			t.Logf("after %d states: %s:%s", states, violation, trail)
		})
	}
}
