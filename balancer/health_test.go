package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that fails fast has few calls in flight; without ejection it would win every pick.
func TestFastErrorsAreEjected(t *testing.T) {
	for _, e := range []Ending{Failure, Unreachable, Broken} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		got := traffic(b, 600, "get", func(s string) Ending {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("ending %d: the bad server got %d of 300 first tries", e, got["s03"])
		}
	}
}

// When all servers fail equally, the fault is in the tier below: no server may be excluded from calls.
func TestFailuresEverywhereEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	got := traffic(b, 800, "get", func(string) Ending { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used", len(got))
	}
}

// A hung machine shows no other sign than an old unanswered call while others answer.
func TestSilentServerIsPassedOver(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Server == "s03" {
				stuck++
			} else {
				settle(b, now+10*msec, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the silent server holds %d calls", stuck)
	}
}

// The first probe after an ejection must not be a request that can't be retried.
func TestTrialIsNeverUnsafe(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	s := b.servers["s03"]
	s.ejectionLevel, s.ejectedUntil = 1, 0
	if got := traffic(b, 400, "pay", func(string) Ending { return Success }); got["s03"] != 0 {
		t.Errorf("a server on trial got %d unsafe requests", got["s03"])
	}
	if got := traffic(b, 400, "get", func(string) Ending { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// An unanswered call is a sign of silence once calls sent later were answered elsewhere, not before.
func TestSilenceNeedsAnswersElsewhere(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	stuck := b.servers[sends(b.Handle(0, Request{ID: "old", Class: "get", Deadline: time.Minute}))[0].Server]
	b.Handle(5*time.Second, Timer{Token: "x"})
	if b.isUnresponsive(stuck) {
		t.Error("silent although nothing was answered anywhere")
	}
	now := 5 * time.Second
	s := sends(b.Handle(now, Request{ID: "new", Class: "get", Deadline: now + time.Minute}))[0]
	settle(b, now+10*msec, "new", s, Success)
	if s.Server != stuck.ID && !b.isExcluded(stuck, &request{class: b.classes["get"]}) || b.isUnresponsive(b.servers[s.Server]) && s.Server != stuck.ID {
		t.Error("the wrong server is taken for silent")
	}
}

// In overload every server is needed: the more is shed, the fewer may be excluded for their health.
func TestSheddingLeavesMoreServersIn(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		b := newBalancer(t, nil)
		b.Handle(msec, ServerList{Full: true, Servers: servers(20)})
		for _, s := range b.ready[:10] {
			s.ejectedUntil = time.Minute
		}
		b.shedShare = c.shed
		out := len(b.excluded(&request{class: b.classes["get"]}))
		if out != c.want {
			t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
		}
	}
}
