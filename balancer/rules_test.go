package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// checker observes the events passed to one Balancer and its actions, and records every violation of a rule. It
// shares no code with the module.
type checker struct {
	set    Settings
	slack  time.Duration
	state  map[string]ServerState
	cells  map[string]int
	zones  map[string]string
	reqs   map[string]*tracked
	broken []string
}

type tracked struct {
	class    Class
	deadline time.Duration
	ended    bool
	tries    []*tracking
}

type tracking struct {
	server string
	at     time.Duration
	over   bool
	ending Ending
}

func newChecker(set Settings) *checker {
	return &checker{
		set: set, slack: 20 * msec, state: map[string]ServerState{}, cells: map[string]int{},
		zones: map[string]string{}, reqs: map[string]*tracked{},
	}
}

func (c *checker) fault(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (t *tracking) mayHaveRun() bool {
	return !t.over || (t.ending != Overloaded && t.ending != Unreachable && t.ending != NeverSent)
}

func (c *checker) event(now time.Duration, e Event) {
	switch e := e.(type) {
	case ServerList:
		if e.Full {
			for id := range c.state {
				c.state[id] = Gone
			}
		}
		for _, s := range e.Servers {
			c.state[s.ID], c.cells[s.ID], c.zones[s.ID] = s.State, s.Cell, s.Zone
		}
	case Request:
		if c.reqs[e.ID] == nil {
			cl := Class{Effect: NonIdempotent}
			for _, k := range c.set.Classes {
				if k.Name == e.Class {
					cl = k
				}
			}
			c.reqs[e.ID] = &tracked{class: cl, deadline: e.Deadline}
		}
	case Outcome:
		if r := c.reqs[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.tries) {
			t := r.tries[e.Attempt]
			if !t.over {
				t.over, t.ending = true, e.Ending
				r.ended = r.ended || e.Ended
			}
		}
	case ClientGone:
		if r := c.reqs[e.ID]; r != nil {
			r.ended = true
		}
	}
	for id, r := range c.reqs {
		if !r.ended && now > r.deadline+c.slack {
			c.fault("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

func (c *checker) actions(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.send(now, a)
		case Reject:
			if r := c.final(a.ID); r != nil {
				for _, t := range r.tries {
					loose := r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll
					if t.mayHaveRun() && !loose {
						c.fault("rule 2: %s refused though it may have run", a.ID)
					}
				}
			}
		case Fail:
			c.final(a.ID)
		case Cancel:
			if r := c.reqs[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.tries) {
				c.fault("cancel of an attempt never made")
			}
			if !c.set.MayCancel {
				c.fault("cancel is not allowed")
			}
		}
	}
}

func (c *checker) final(id string) *tracked {
	r := c.reqs[id]
	if r == nil || r.ended {
		c.fault("rule 1: final answer for %s, which is over or unknown", id)
		return nil
	}
	r.ended = true
	return r
}

func (c *checker) send(now time.Duration, a Send) {
	r := c.reqs[a.ID]
	if r == nil || r.ended {
		c.fault("rule 1: sent %s, which is over or unknown", a.ID)
		return
	}
	state, known := c.state[a.Server]
	if !known || state != Ready {
		c.fault("rule 3: sent to %s, which drains, is gone or unknown", a.Server)
	}
	if len(r.tries) >= c.set.MaxAttempts {
		c.fault("more than %d attempts", c.set.MaxAttempts)
	}
	for _, t := range r.tries {
		if !t.over && !c.set.SecondCopies {
			c.fault("second copy of %s", a.ID)
		}
		if !t.mayHaveRun() {
			continue
		}
		switch r.class.Effect {
		case NonIdempotent:
			c.fault("rule 2: unsafe %s sent again", a.ID)
		case IdempotentByKey:
			if now > t.at+r.class.Window {
				c.fault("rule 2: %s sent again outside its window", a.ID)
			}
			if r.class.Scope != ScopeAll && c.zones[t.server] != c.zones[a.Server] ||
				r.class.Scope == ScopeCell && c.cells[t.server] != c.cells[a.Server] {
				c.fault("rule 2: %s sent again outside its scope", a.ID)
			}
		case Idempotent: // may run any number of times
		}
	}
	r.tries = append(r.tries, &tracking{server: a.Server, at: now})
}

// TestCheckerCanFail passes to the checker, for each rule, a trace that violates it.
func TestCheckerCanFail(t *testing.T) {
	list := ServerList{Full: true, Servers: []Server{{ID: "a", Cell: 0}, {ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := Outcome{ID: "r", Attempt: 0, Ending: TimedOut}
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 1: r has no answer", []any{list, req("get"), 2 * time.Second, Timer{}}},
		{"rule 1: final answer", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is over", []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Server: "a"}}},
		{"rule 2: unsafe", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "a"}}},
		{"rule 2: r refused", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{
			list, req("post"),
			Send{ID: "r", Server: "a"},
			950 * msec, timedOut,
			Send{ID: "r", Server: "a"},
		}},
		{"outside its scope", []any{list, req("post"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "b"}}},
		{"rule 3", []any{list, req("get"), Send{ID: "r", Server: "c"}}},
		{"never made", []any{list, req("get"), Cancel{ID: "r", Attempt: 0}}},
	} {
		c := newChecker(testSettings())
		var now time.Duration
		for _, s := range tc.steps {
			switch s := s.(type) {
			case time.Duration:
				now = s
			case Event:
				c.event(now, s)
			case Action:
				c.actions(now, []Action{s})
			}
		}
		if !strings.Contains(strings.Join(c.broken, "\n"), tc.want) {
			t.Errorf("want %q among %q", tc.want, c.broken)
		}
	}
}

// run passes random events, valid and unusual ones, to a Balancer, and returns all its actions.
func run(t testing.TB, set Settings, seed uint64, steps int, c *checker) (log []string, b *Balancer) {
	rng := rand.New(rand.NewPCG(seed, 1))
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	type pending struct {
		id      string
		n       int
		server  string
		due     time.Duration
		timeout bool
	}
	var out []pending
	var timers []Wake
	var ids []string
	fleet := servers(8)
	now := time.Duration(0)
	give := func(e Event) {
		if c != nil {
			c.event(now, e)
		}
		acts := b.Handle(now, e)
		if c != nil {
			c.actions(now, acts)
		}
		for _, a := range acts {
			log = append(log, fmt.Sprintf("%v %T%v", now, a, a))
			switch a := a.(type) {
			case Send:
				n := 0
				for _, p := range out {
					if p.id == a.ID && p.n >= n {
						n = p.n + 1
					}
				}
				if r := b.requests[a.ID]; r != nil {
					n = len(r.attempts) - 1
				}
				took := time.Duration(rng.ExpFloat64() * float64(120*msec))
				p := pending{a.ID, n, a.Server, now + took, false}
				if rng.IntN(8) == 0 || took > a.Timeout {
					p.due, p.timeout = now+a.Timeout, true
				}
				out = append(out, p)
			case Wake:
				timers = append(timers, a)
			}
		}
	}
	give(ServerList{Full: true, Cached: true, Servers: fleet})
	ended := map[string]bool{}
	for i := range steps {
		now += 2 * msec
		for k := 0; k < len(timers); k++ {
			if w := timers[k]; w.At <= now {
				timers = append(timers[:k], timers[k+1:]...)
				k--
				give(Timer{Token: w.Token})
				if rng.IntN(20) == 0 {
					give(Timer{Token: w.Token})
				}
			}
		}
		for k := 0; k < len(out); k++ {
			p := out[k]
			if p.due > now {
				continue
			}
			out = append(out[:k], out[k+1:]...)
			k--
			e := Outcome{ID: p.id, Attempt: p.n, Server: p.server, Ending: Success}
			switch {
			case p.timeout:
				e.Ending = TimedOut
			case rng.IntN(3) == 0:
				e.Ending = Ending(1 + rng.IntN(int(NeverSent)))
			}
			if r := b.requests[p.id]; e.Ending == Success || r == nil || r.answered {
				ended[p.id] = true
			}
			e.Ended = ended[p.id]
			give(e)
			if rng.IntN(10) == 0 {
				give(e)
			}
			if rng.IntN(30) == 0 {
				give(ClientGone{ID: p.id})
				ended[p.id] = true
			}
		}
		if i < steps*3/4 && rng.IntN(3) == 0 {
			id := fmt.Sprint("r", i)
			class := []string{"get", "post", "pay", "odd"}[rng.IntN(4)]
			ids = append(ids, id)
			give(Request{ID: id, Class: class, Deadline: now + time.Duration(1+rng.IntN(1500))*msec})
		}
		if rng.IntN(60) == 0 {
			s := &fleet[rng.IntN(len(fleet))]
			s.State = ServerState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				s.State, s.StartedAt = Ready, now
			}
			switch rng.IntN(4) {
			case 0:
				var l []Server
				for _, s := range fleet {
					if s.State != Gone {
						l = append(l, s)
					}
				}
				give(ServerList{Full: true, Servers: l})
			case 1:
				give(ListFailed{})
				give(ServerList{Servers: []Server{*s}})
			default:
				give(ServerList{Servers: []Server{*s}})
			}
		}
		if rng.IntN(40) == 0 {
			give(Outcome{ID: "nobody", Attempt: 3, Ending: Success})
			give(Timer{Token: "r:nobody"})
			give(Timer{Token: "x"})
			give(ClientGone{ID: "nobody"})
		}
		if rng.IntN(50) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			give(ClientGone{ID: id})
			ended[id] = true
		}
	}
	return log, b
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := testSettings()
		set.Tier = int(seed % 2)
		set.SecondCopies = seed%3 != 0
		set.AskDiscovery = seed%4 == 0
		c := newChecker(set)
		log, b := run(t, set, seed, 6000, c)
		for i, s := range c.broken {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.queue) > 0 || b.inFlight != 0 {
			t.Errorf("seed %d: %d requests, %d held and %d calls are left over", seed, len(b.requests),
				len(b.queue), b.inFlight)
		}
		for id, s := range b.servers {
			if !s.listed || s.calls != 0 || len(s.openAttempts) != 0 {
				t.Errorf("seed %d: server %s is left over", seed, id)
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, _ := run(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a neighbour in the process changes nothing
	other.Handle(0, ServerList{Full: true, Servers: servers(3)})
	b, _ := run(t, testSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed gave other actions")
	}
}

// Slow start: 12 copies send to 6 servers, one of which is new, at three quarters of the capacity. The load that all
// send to it in any FallFor must stay below FallMultiple times its capacity at that time.
func TestColdServerIsNotPushedOver(t *testing.T) {
	set := testSettings()
	set.Tier = 1
	const copies, capacity = 12, 50.0 // a warm server's calls a second
	list := servers(6)
	list[2].StartedAt = time.Second
	var bs []*Balancer
	for i := range copies {
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, ServerList{Full: true, Servers: list})
		bs = append(bs, b)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	var cold []time.Duration
	for i := 0; i < int(0.75*6*capacity*12); i++ {
		now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
		b, id := bs[rng.IntN(copies)], fmt.Sprint(i)
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			if s.Server == list[2].ID {
				cold = append(cold, now)
			}
			b.Handle(now+20*msec, Outcome{ID: id, Server: s.Server, Ending: Success, Ended: true})
		}
	}
	if len(cold) < 20 {
		t.Fatalf("the cold server got only %d calls", len(cold))
	}
	for i := range cold {
		n := 0
		for _, at := range cold[i:] {
			if at < cold[i]+set.FallFor {
				n++
			}
		}
		grown := float64(cold[i]-time.Second) / float64(set.WarmAfter)
		limit := set.FallMultiple * capacity * min(1, set.ColdFrom+(1-set.ColdFrom)*grown) * set.FallFor.Seconds()
		if float64(n) > limit {
			t.Fatalf("%d calls in %v from %v, limit %.0f", n, set.FallFor, cold[i], limit)
		}
	}
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := testSettings()
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, fleet := time.Duration(0), servers(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				fleet[int(x/7)%4].State = ServerState(x % 3)
				b.Handle(now, ServerList{Full: x%2 == 0, Servers: fleet[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[x%3].Name, Deadline: now + time.Duration(x)*msec})
			case 3:
				b.Handle(now, Outcome{ID: id, Attempt: int(x%4) - 1, Ending: Ending(x % 9), Ended: x%2 == 0})
			case 4:
				b.Handle(now, Timer{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientGone{ID: id})
			case 6:
				b.Handle(now, Started{ID: id, Attempt: i % 3})
			}
			now += time.Duration(x) * msec / 4
		}
	})
}
