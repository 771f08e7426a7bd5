package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// frame is a frame from a line's home, in the order in which they were said.
type frame struct {
	kind     byte // i: items, b: it binds, a: answer to an asking, t: the whole table
	received int  // i, t: the set among the items
	active   int  // b, a, t: the set that binds
	agreed   int  // a: the one that is agreed on
	index    uint64
	askedAt  int // a, t: when it was asked for
}

// sidecarModel is a line in the search.
type sidecarModel struct {
	state    SidecarState
	received int // the set among its items
	queue    []frame
	ready    bool // it has had its first table
	violated bool // it goes by a set that it held only half, or that never bound
}

// rolloutModel is the whole of the search: sets are numbered from 0, and so are seconds.
type rolloutModel struct {
	rollout    Rollout
	agreed     int
	index      uint64 // entries so far
	activated  []int  // which set each entry had bind, by its number; -1: none
	agreedAt   int    // the leader knows it
	now        int
	replacedAt int // when the set before the one that binds ceased to
	sidecars   []sidecarModel
	frameLost  bool // a frame was
	trail      string
}

func setName(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

const lastSecond = 9 // seconds, and 3 sets

// successors are all that may happen next. plant is an error: "early" binds at once, "arrival" has the fence run from an answer's
// arrival, "half" takes what binds whether it is held or not, "table" has a line that starts go by what it holds.
func (f rolloutModel) successors(plant string) (l []rolloutModel) {
	add := func(name string, g rolloutModel) {
		g.trail += " " + name
		l = append(l, g)
	}
	editSidecar := func(g *rolloutModel, i int) *sidecarModel {
		g.sidecars = slices.Clone(g.sidecars)
		g.sidecars[i].queue = slices.Clone(g.sidecars[i].queue)
		return &g.sidecars[i]
	}
	if f.now < lastSecond {
		g := f
		g.now++
		add("tick", g)
	}
	if f.agreed < 2 {
		g := f
		g.agreed++
		g.index++
		g.rollout = g.rollout.Agree(setName(g.agreed), g.index)
		g.activated = append(slices.Clone(f.activated), -1)
		g.agreedAt = g.now
		for i := range g.sidecars {
			if s := editSidecar(&g, i); s.ready {
				s.queue = append(s.queue, frame{kind: 'i', received: g.agreed})
			}
		}
		add("change", g)
	}
	var seen []SidecarReport
	for _, s := range f.sidecars {
		seen = append(seen, SidecarReport{Received: s.state.Received})
	}
	// Where the leader may not hear of a line, it only waits longer.
	ok, _ := f.rollout.CanActivate(seen, time.Duration(f.now-f.agreedAt)*time.Second)
	if ok || plant == "early" && f.rollout.IsPending() {
		g := f
		g.index++
		var did bool
		g.rollout, did = g.rollout.Activate(setName(g.agreed), g.index)
		if did {
			g.activated = append(slices.Clone(f.activated), g.agreed)
			g.replacedAt = g.now
			for i := range g.sidecars {
				if s := editSidecar(&g, i); s.ready {
					s.queue = append(s.queue, frame{kind: 'b', active: g.agreed, index: g.index})
				}
			}
			add("bind", g)
		}
	}
	if f.rollout.IsPending() && f.agreedAt < f.now { // another leader, which begins to wait anew
		g := f
		g.agreedAt = g.now
		add("lead", g)
	}
	binds := 0
	for _, b := range f.activated {
		if b >= 0 {
			binds = b
		}
	}
	for i, s := range f.sidecars {
		if len(s.queue) < 3 {
			g := f
			x := editSidecar(&g, i)
			if s.ready && !slices.ContainsFunc(s.queue, func(m frame) bool { return m.kind == 'a' }) {
				x.queue = append(x.queue, frame{kind: 'a', active: binds, agreed: f.agreed, index: f.rollout.ActiveIndex, askedAt: f.now})
				add(fmt.Sprint("ask", i), g)
			}
			g = f
			x = editSidecar(&g, i)
			if !s.ready || s.state.Active != f.rollout.Active || s.state.Received != f.rollout.Agreed { // another home, or it asks anew
				x.queue = []frame{{kind: 't', received: f.agreed, active: binds, index: f.rollout.ActiveIndex, askedAt: f.now}}
				add(fmt.Sprint("table", i), g)
			}
		}
		if s.ready && len(f.trail) < 40 { // it starts again, and has forgotten all
			g := f
			editSidecar(&g, i).restart()
			add(fmt.Sprint("start", i), g)
		}
		if len(s.queue) == 0 {
			continue
		}
		if !f.frameLost && s.queue[0].kind != 't' { // a frame that it could not read
			g := f
			g.frameLost = true
			x := editSidecar(&g, i)
			x.queue = x.queue[1:]
			add(fmt.Sprint("lost", i), g)
		}
		g := f
		x := editSidecar(&g, i)
		m := x.queue[0]
		x.queue = x.queue[1:]
		asked := time.Duration(m.askedAt) * time.Second
		if plant == "arrival" {
			asked = time.Duration(f.now) * time.Second
		}
		switch m.kind {
		case 'i':
			x.received = max(x.received, m.received)
			x.state = x.state.Receive(setName(x.received))
		case 'b':
			if plant == "half" {
				x.state.Active, x.state.ActiveIndex = setName(m.active), max(m.index, x.state.ActiveIndex)
				x.violated = x.violated || x.received != m.active
				break
			}
			var take bool
			was := x.state
			if x.state, take, _ = x.state.Activate(setName(m.active), m.index); take {
				x.violated = x.violated || x.received != m.active || m.index < was.ActiveIndex
			}
		case 'a':
			agreed := setName(m.agreed)
			if plant == "half" {
				agreed = x.state.Received
			}
			x.state, _ = x.state.Confirm(setName(m.active), m.index, agreed, asked)
		case 't':
			x.received = max(x.received, m.received)
			x.state = x.state.Receive(setName(x.received))
			if plant == "table" {
				m.active = x.received
			}
			x.state = x.state.Restore(setName(m.active), m.index, asked)
			x.ready = true
		}
		add(fmt.Sprintf("%c%d", m.kind, i), g)
	}
	return l
}

func (s *sidecarModel) restart() { *s = sidecarModel{} }

// violation is what is wrong; "": nothing.
func (f rolloutModel) violation() string {
	for i, s := range f.sidecars {
		if !s.ready || s.state.IsFenced(time.Duration(f.now)*time.Second) {
			continue
		}
		switch {
		case s.violated:
			return fmt.Sprintf("line %d goes by a set that it does not hold, or back", i)
		case s.state.ActiveIndex > 0 && (int(s.state.ActiveIndex) > len(f.activated) || setName(max(0, f.activated[s.state.ActiveIndex-1])) != s.state.Active):
			return fmt.Sprintf("line %d goes by %q, which never bound by entry %d", i, s.state.Active, s.state.ActiveIndex)
		case s.state.ActiveIndex == 0 && s.state.Active != "":
			return fmt.Sprintf("line %d goes by %q, and nothing binds", i, s.state.Active)
		case s.state.HasPolicies && s.state.Active != f.rollout.Active && time.Duration(f.now-f.replacedAt)*time.Second > FenceTimeout:
			return fmt.Sprintf("line %d goes by %q, and %q has bound for %d s", i, s.state.Active, f.rollout.Active, f.now-f.replacedAt)
		case f.rollout.ActiveIndex > 0 && s.received < slices.Max(f.activated) && f.now == f.replacedAt:
			return fmt.Sprintf("line %d does not hold what has just bound, and is not fenced", i)
		}
	}
	return ""
}

func (f rolloutModel) key() string {
	f.trail = ""
	return fmt.Sprint(f)
}

// Two lines, three sets, a leader that may change, lines that start again and homes that change: all orders of what is told,
// asked and answered, with time in between. Nothing binds that a line does not hold or that never bound, no line goes back,
// and none goes by a set that has been over for longer than the fence. Each planted error is found.
func TestRolloutEveryInterleaving(t *testing.T) {
	search := func(plant string, lines, most int) (states int, breach, trail string) {
		seen := map[string]bool{}
		for list := []rolloutModel{{sidecars: make([]sidecarModel, lines)}}; len(list) > 0 && len(seen) < most; list = list[1:] {
			f := list[0]
			k := f.key()
			if seen[k] {
				continue
			}
			seen[k] = true
			if b := f.violation(); b != "" {
				return len(seen), b, f.trail
			}
			list = append(list, f.successors(plant)...)
		}
		return len(seen), "", ""
	}
	for _, x := range [][2]int{{1, 60_000}, {2, 30_000}} {
		lines, most := x[0], x[1]
		states, breach, trail := search("", lines, most)
		assert.Equal(t, breach, "", trail)
		t.Logf("%d lines, %d states", lines, states)
	}
	for _, plant := range []string{"early", "half", "table", "arrival"} {
		states, breach, trail := search(plant, 1, 300_000)
		assert.Assert(t, breach != "", "%s is not found in %d states", plant, states)
		t.Logf("%s, after %d states: %s:%s", plant, states, breach, trail)
	}
}
