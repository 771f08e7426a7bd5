package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// checker observes the events passed to one Balancer and its actions, and records every violation of a rule. It
// shares no code with the Balancer. Rule 1: a request gets exactly one final answer, in time. Rule 2: a request that may
// have run is retried, or its client told to retry, only if its class allows it. Rule 3: only ready servers get attempts.
type checker struct {
	settings   Settings
	slack      time.Duration
	state      map[string]ServerState
	cells      map[string]int
	zones      map[string]string
	requests   map[string]*trackedRequest
	violations []string
}

// trackedRequest is a request that the checker has seen.
type trackedRequest struct {
	class    Class
	deadline time.Duration
	ended    bool
	attempts []*trackedAttempt
}

// trackedAttempt is an attempt of a trackedRequest.
type trackedAttempt struct {
	server   string
	sentAt   time.Duration
	hasEnded bool
	ending   Ending
}

func newChecker(settings Settings) *checker {
	return &checker{
		settings: settings,
		slack:    20 * msec,
		state:    map[string]ServerState{},
		cells:    map[string]int{},
		zones:    map[string]string{},
		requests: map[string]*trackedRequest{},
	}
}

// violation records a violation.
func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (t *trackedAttempt) mayHaveRun() bool {
	return !t.hasEnded || (t.ending != Overloaded && t.ending != Unreachable && t.ending != NeverSent)
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
		if c.requests[e.ID] == nil {
			cl := Class{Effect: NonIdempotent}
			for _, k := range c.settings.Classes {
				if k.Name == e.Class {
					cl = k
				}
			}
			c.requests[e.ID] = &trackedRequest{class: cl, deadline: e.Deadline}
		}
	case Outcome:
		if r := c.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			t := r.attempts[e.Attempt]
			if !t.hasEnded {
				t.hasEnded, t.ending = true, e.Ending
				r.ended = r.ended || e.Ended
			}
		}
	case ClientGone:
		if r := c.requests[e.ID]; r != nil {
			r.ended = true
		}
	}
	for id, r := range c.requests {
		if !r.ended && now > r.deadline+c.slack {
			c.violation("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

func (c *checker) actions(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.send(now, a)
		case Reject:
			if r := c.final(a.ID); r != nil {
				for _, t := range r.attempts {
					retryIsSafe := r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll
					if t.mayHaveRun() && !retryIsSafe {
						c.violation("rule 2: %s was rejected although it may have run", a.ID)
					}
				}
			}
		case Fail:
			c.final(a.ID)
		case Cancel:
			if r := c.requests[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
				c.violation("cancel of an attempt that was never sent")
			}
			if !c.settings.MayCancel {
				c.violation("cancel although the settings do not allow it")
			}
		}
	}
}

func (c *checker) final(id string) *trackedRequest {
	r := c.requests[id]
	if r == nil || r.ended {
		c.violation("rule 1: final answer for %s, which has ended or is unknown", id)
		return nil
	}
	r.ended = true
	return r
}

func (c *checker) send(now time.Duration, a Send) {
	r := c.requests[a.ID]
	if r == nil || r.ended {
		c.violation("rule 1: sent %s, which has ended or is unknown", a.ID)
		return
	}
	state, ok := c.state[a.Server]
	if !ok || state != Ready {
		c.violation("rule 3: sent to %s, which is draining, gone or unknown", a.Server)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.violation("more than %d attempts", c.settings.MaxAttempts)
	}
	for _, t := range r.attempts {
		if !t.hasEnded && !c.settings.SecondCopies {
			c.violation("second copy of %s", a.ID)
		}
		if !t.mayHaveRun() {
			continue
		}
		switch r.class.Effect {
		case NonIdempotent:
			c.violation("rule 2: non-idempotent %s was retried", a.ID)
		case IdempotentByKey:
			if now > t.sentAt+r.class.Window {
				c.violation("rule 2: %s was retried after its window", a.ID)
			}
			if r.class.Scope != ScopeAll && c.zones[t.server] != c.zones[a.Server] ||
				r.class.Scope == ScopeCell && c.cells[t.server] != c.cells[a.Server] {
				c.violation("rule 2: %s was retried outside its scope", a.ID)
			}
		case Idempotent: // may run any number of times
		}
	}
	r.attempts = append(r.attempts, &trackedAttempt{server: a.Server, sentAt: now})
}

// For each rule the checker reports a sequence of events and actions that violates it.
func TestCheckerDetectsViolations(t *testing.T) {
	list := ServerList{Full: true, Servers: []Server{{ID: "a", Cell: 0}, {ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := Outcome{ID: "r", Attempt: 0, Ending: TimedOut}
	for _, test := range []struct {
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
			want:  "rule 1: sent r, which has ended",
			steps: []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Server: "a"}},
		},
		{
			want:  "rule 2: non-idempotent",
			steps: []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "a"}},
		},
		{
			want:  "rule 2: r was rejected",
			steps: []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Reject{ID: "r"}},
		},
		{
			want: "after its window",
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
			want:  "never sent",
			steps: []any{list, req("get"), Cancel{ID: "r", Attempt: 0}},
		},
	} {
		c := newChecker(testSettings())
		var now time.Duration
		for _, s := range test.steps {
			switch s := s.(type) {
			case time.Duration:
				now = s
			case Event:
				c.event(now, s)
			case Action:
				c.actions(now, []Action{s})
			}
		}
		if !strings.Contains(strings.Join(c.violations, "\n"), test.want) {
			t.Errorf("got violations %q, want one with %q", c.violations, test.want)
		}
	}
}
