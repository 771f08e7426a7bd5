package balancer

import (
	"testing"
	"time"
)

// Hosts round times, so timers may fire slightly early: a queued request is answered in time nevertheless.
func TestQueuedRequestIsAnsweredWithEarlyTimers(t *testing.T) {
	b := newBalancer(t, nil)
	actions := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next Wake
		for _, a := range actions {
			switch a := a.(type) {
			case Wake:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither a Reject nor a Wake", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		actions = b.Handle(now, Timer{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// Most of the aim has passed for a client retry, so while the window is nearly full first tries are sent before it.
func TestFirstTriesGoBeforeClientRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	b.window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "retry", Class: "get", Deadline: time.Second, ClientRetry: true})
	b.classes["get"].LateShare = 0.5
	b.inFlight = int(minCallsPerServer*b.fairServers()) + 2
	b.window = float64(b.inFlight) // the next answer makes room for one call
	next := sends(endAttempt(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent, want the first try", next)
	}
}

// A client retry that is not marked as one is recognized by a shorter timeout than other tries have.
func TestShortDeadlineMarksClientRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "retry", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.arrived != 0 {
		t.Errorf("a first try counts as a client retry: %+v", r)
	}
	// The retry's aim of 500 ms ended 100 ms before it arrived: without a server it is still queued.
	r := b.requests["retry"]
	if r == nil || !r.clientRetry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the client retry was not recognized: %+v", r)
	}
}

// A rejected client gets a short RetryAfter: after a long one most of its aim would have passed.
func TestRejectHasShortRetryAfter(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, ServerList{Full: true, Servers: servers(2)})
	b.window, b.inFlight = 1, minWindow
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, Timer{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].Aim / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("the request was not rejected")
}
