package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that fails fast has few calls in flight, so without ejection every selection would prefer it.
func TestFastFailingServerIsEjected(t *testing.T) {
	for _, e := range []Ending{Failure, Unreachable, Broken} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		got := sendTraffic(b, 600, "get", func(s string) Ending {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("ending %d: the failing server got %d of 300 first attempts", e, got["s03"])
		}
	}
}

// If all servers fail equally, the fault is in a deeper tier, so nearly all of them must stay in use.
func TestFailuresAtAllServersEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	got := sendTraffic(b, 800, "get", func(string) Ending { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still in use", len(got))
	}
}

// A hung machine shows no other sign than an old unanswered call while other servers answer.
func TestUnresponsiveServerIsSkipped(t *testing.T) {
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
				endAttempt(b, now+10*msec, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the unresponsive server got %d calls", stuck)
	}
}

// The first probe after an ejection is never a request that can't be retried.
func TestProbeIsNeverNonIdempotent(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	s := b.servers["s03"]
	s.ejectionLevel, s.ejectedUntil = 1, 0
	if got := sendTraffic(b, 400, "pay", func(string) Ending { return Success }); got["s03"] != 0 {
		t.Errorf("a server that has to be probed got %d non-idempotent requests", got["s03"])
	}
	if got := sendTraffic(b, 400, "get", func(string) Ending { return Success }); got["s03"] == 0 {
		t.Error("the server was never probed")
	}
}

// An unanswered call shows an unresponsive server only after calls that were sent later were answered elsewhere.
func TestUnresponsiveNeedsAnswersElsewhere(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	stuck := b.servers[sends(b.Handle(0, Request{ID: "old", Class: "get", Deadline: time.Minute}))[0].Server]
	b.Handle(5*time.Second, Timer{Token: "x"})
	if b.isUnresponsive(stuck) {
		t.Error("the server counts as unresponsive although no call was answered anywhere")
	}
	now := 5 * time.Second
	s := sends(b.Handle(now, Request{ID: "new", Class: "get", Deadline: now + time.Minute}))[0]
	endAttempt(b, now+10*msec, "new", s, Success)
	if s.Server != stuck.ID && !b.isExcluded(stuck, &request{class: b.classes["get"]}) || b.isUnresponsive(b.servers[s.Server]) && s.Server != stuck.ID {
		t.Error("the wrong server counts as unresponsive")
	}
}

// In overload every server is needed: the more is shed, the fewer may be excluded for their health.
func TestSheddingReducesExclusions(t *testing.T) {
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
		excluded := len(b.excluded(&request{class: b.classes["get"]}))
		if excluded != c.want {
			t.Errorf("shed share %.1f: %d servers excluded, want %d", c.shed, excluded, c.want)
		}
	}
}
