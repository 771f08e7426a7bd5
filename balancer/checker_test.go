package balancer

import (
	"fmt"
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
		set:   set,
		slack: 20 * msec,
		state: map[string]ServerState{},
		cells: map[string]int{},
		zones: map[string]string{},
		reqs:  map[string]*tracked{},
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
		{
			want:  "rule 1: r has no answer",
			steps: []any{list, req("get"), 2 * time.Second, Timer{}},
		},
		{
			want:  "rule 1: final answer",
			steps: []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}},
		},
		{
			want:  "rule 1: sent r, which is over",
			steps: []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Server: "a"}},
		},
		{
			want:  "rule 2: unsafe",
			steps: []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "a"}},
		},
		{
			want:  "rule 2: r refused",
			steps: []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Reject{ID: "r"}},
		},
		{
			want: "outside its window",
			steps: []any{
				list, req("post"),
				Send{ID: "r", Server: "a"},
				950 * msec, timedOut,
				Send{ID: "r", Server: "a"},
			},
		},
		{
			want:  "outside its scope",
			steps: []any{list, req("post"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "b"}},
		},
		{
			want:  "rule 3",
			steps: []any{list, req("get"), Send{ID: "r", Server: "c"}},
		},
		{
			want:  "never made",
			steps: []any{list, req("get"), Cancel{ID: "r", Attempt: 0}},
		},
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
