package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A fifth of four servers rounds to none: without a minimum of one, a server that fails fast would win every pick.
func TestShortListRulesOneOut(t *testing.T) {
	for _, n := range []int{2, 3, 4} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(n)})
		got := traffic(b, 600, "get", func(s string) Ending {
			if s == "s01" {
				return Failure
			}
			return Success
		})
		if got["s01"] > 20 {
			t.Errorf("of %d: the bad server got %d of 300 first tries", n, got["s01"])
		}
	}
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	if b.maxExcluded() != 0 {
		t.Error("the only server may be ruled out")
	}
}

// turnAway sends n requests at once to the only server, which refuses all of them after took.
func turnAway(b *Balancer, n int, took time.Duration) (now time.Duration) {
	now = b.now + time.Second
	var l []Send
	for i := range n {
		l = append(l, sends(b.Handle(now, Request{
			ID:       fmt.Sprint("away", now, i),
			Class:    "pay",
			Deadline: now + time.Minute,
		}))...)
	}
	now += took
	for _, s := range l {
		b.Handle(now, Outcome{ID: s.ID, Server: s.Server, Ending: Overloaded})
		b.Handle(now, ClientGone{ID: s.ID})
	}
	return now
}

func TestLackOfRoomHeals(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 1; s.MaxAttempts = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	now := turnAway(b, 3, 400*msec)
	s := b.servers["s00"]
	if s.refusals != 1 {
		t.Errorf("three refusals of one moment count %d times", s.refusals)
	}
	if s.callLimit < 1 {
		t.Errorf("room for %d after a slow refusal", s.callLimit)
	}
	s.callLimit, s.callLimitUntil = 1, now+time.Hour
	for i := range 5 {
		id := fmt.Sprint("ok", i)
		for _, x := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			now += 100 * msec
			b.Handle(now, Outcome{ID: x.ID, Server: x.Server, Ending: Success, Ended: true})
		}
	}
	if s.callLimit < 2 {
		t.Errorf("room for %d after five calls that it took", s.callLimit)
	}

	b = newBalancer(t, func(s *Settings) { s.Balancers = 1; s.MaxAttempts = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	turnAway(b, 1, msec)
	if s := b.servers["s00"]; s.callLimit != 0 {
		t.Errorf("room for %d at a server that is quick to refuse its only call, and wins picks by that", s.callLimit)
	}
}

// out returns how many calls a balancer admits at once.
func out(b *Balancer, n int) (count int) {
	for i := range n {
		count += len(sends(b.Handle(b.now, Request{
			ID:       fmt.Sprint("out", b.now, i),
			Class:    "get",
			Deadline: b.now + time.Minute,
		})))
	}
	return count
}

func TestWindowFollowsTheServers(t *testing.T) {
	one := func(s *Settings) { s.Balancers = 1 }
	full := ServerList{Full: true, Servers: servers(4)}
	cases := map[string]struct {
		change func(b *Balancer)
		least  int
		most   int
	}{
		"all": {
			change: func(*Balancer) {},
			least:  20,
			most:   20,
		},
		"shrunk list": {
			change: func(b *Balancer) { b.Handle(1, ServerList{Full: true, Servers: servers(1)}) },
			least:  5,
			most:   5,
		},
		"one out": {
			change: func(b *Balancer) { b.servers["s02"].ejectedUntil = time.Hour },
			least:  15,
			most:   15,
		},
		"all out": {
			change: func(b *Balancer) {
				for _, s := range b.servers {
					s.ejectedUntil = time.Hour
				}
			},
			least: 15,
			most:  15,
		},
		"one cold": {
			change: func(b *Balancer) {
				l := servers(4)
				l[0].StartedAt = 4 * time.Second
				b.Handle(9*time.Second, ServerList{Full: true, Servers: l}) // half warm: 0.6
			},
			least: 17,
			most:  18,
		},
		// It turned one away with two calls out, so the others get no more for it: three parts and two calls.
		"one full": {
			change: func(b *Balancer) { b.servers["s02"].callLimit, b.servers["s02"].callLimitUntil = 2, time.Hour },
			least:  17,
			most:   17,
		},
		"one with no room": {
			change: func(b *Balancer) { b.servers["s02"].callLimit, b.servers["s02"].callLimitUntil = 0, time.Hour },
			least:  15,
			most:   15,
		},
		"in vain": {
			change: func(b *Balancer) { b.abandonedShare, b.window = 0.9, 2 },
			least:  2,
			most:   2,
		},
	}
	for name, c := range cases {
		b := newBalancer(t, one)
		b.Handle(0, full)
		c.change(b)
		b.usableComputedAt = -1
		if got := out(b, 60); got < c.least || got > c.most {
			t.Errorf("%s: %d calls out, want %d to %d", name, got, c.least, c.most)
		}
	}
}

// Calls at a draining server do not count as load on the other servers.
func TestDrainedCallsLeaveTheWindow(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(2)})
	if got := out(b, 40); got != 10 {
		t.Fatalf("%d calls out", got)
	}
	l := servers(2)
	l[0].State = Draining
	b.Handle(time.Second, ServerList{Servers: l[:1]})
	at := b.servers["s00"].calls
	if free := float64(b.inFlight) - b.admittedCalls(); int(free) != at || at == 0 {
		t.Errorf("%v calls left the window, %d are at the server that drains", free, at)
	}
}

// A server whose calls do not end does not keep another one idle: its calls beyond its share do not fill the window.
func TestCrowdAtOneIsNoLoadOnOthers(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	b.window = 20
	if got := out(b, 40); got != 20 {
		t.Fatalf("%d calls out", got)
	}
	b.window = 5
	b.Handle(time.Second, ServerList{Servers: []Server{{ID: "new", State: Ready}}})
	out(b, 40)
	if got := b.servers["new"].calls; got < 3 || got > 5 {
		t.Errorf("the new server, of two with a window of 10, has %d calls beside one with 20", got)
	}
}

// The lowest mean latency refers to the servers where it was measured: after half of them leave it soon adapts to the
// others. While the list is unchanged, an overload does not change it.
func TestLeastLatencyLeavesWithItsServers(t *testing.T) {
	bare := func(left int) float64 {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(8)})
		b.now, b.meanLogRatio, b.baselineLogRatio, b.samples = 100*msec, math.Log(0.1), math.Log(0.1), 1000
		b.Handle(b.now, ServerList{Full: true, Servers: servers(left)})
		r := &request{class: b.classes["get"], attempts: []*attempt{{sent: b.now - b.classes["get"].Aim/5}}}
		for range 200 {
			b.adjustWindow(r, Outcome{Ending: Success})
		}
		return math.Exp(b.baselineLogRatio)
	}
	if same, half := bare(8), bare(4); same > 0.12 || half < 0.17 {
		t.Errorf("least latency of 0.1, now 0.2: %.3f with the list as it was, %.3f with half of it", same, half)
	}
}

func TestColdRoomIsSharedByCopies(t *testing.T) {
	for copies, want := range map[int]float64{1: 3, 2: 1, 1000: 1} {
		b := newBalancer(t, func(s *Settings) { s.Balancers = copies })
		if got := b.slowStartLimit(0.6); got != want {
			t.Errorf("%d copies: %v calls, want %v", copies, got, want)
		}
	}
}

// Abandoned calls count for about as long as an answer takes.
func TestGhostsFade(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	b.now = time.Second
	b.updateAbandoned(10, float64(time.Second))
	if b.admittedCalls() != 10 {
		t.Errorf("%v admitted", b.admittedCalls())
	}
	b.now += time.Second
	if got := b.admittedCalls(); got < 3 || got > 4 {
		t.Errorf("%v admitted a mean answer later, want 3.7", got)
	}
}

func TestStartCalls(t *testing.T) {
	for told, want := range map[int]int{0: 20, 3: 20, 12: 48} {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.StartCalls = 1, told })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		if got := out(b, 100); got != want {
			t.Errorf("start_calls %d: %d calls out, want %d", told, got, want)
		}
	}
}

func TestBeliefs(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(5)})
	out(b, 3)
	v := b.Estimates(2)
	if v.InFlight != 3 || v.Ready != 5 || len(v.Servers) != 2 || v.Servers[0].Calls == 0 || len(v.Classes) != 4 {
		t.Errorf("%+v", v)
	}
	if b.Estimates(0).Servers != nil {
		t.Error("servers told unasked")
	}
}

// Invented tenant names cost bounded memory, and tenants that keep sending are not dropped.
func TestTenantsAreBounded(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.TenantWeight = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(2)})
	for i := range 20_000 {
		for j, name := range []string{"steady", fmt.Sprint("made up ", i)} {
			id := fmt.Sprint("t", i, j)
			b.Handle(b.now+msec, Request{ID: id, Class: "get", Deadline: b.now + time.Second, Tenant: name})
			b.Handle(b.now, ClientGone{ID: id})
		}
	}
	if n := len(b.tenants.byName); n > maxTenants || b.tenants.byName["steady"] == nil {
		t.Errorf("%d tenants, steady %v", n, b.tenants.byName["steady"])
	}
	if b.tenants.scale > 1e101 {
		t.Errorf("scale %v", b.tenants.scale)
	}
}

// A single error answer often comes from the tier below, and one server can be a quarter of the capacity, so it does not
// eject the server. A timeout or a run of errors does.
func TestOneErrorEjectsNobody(t *testing.T) {
	for _, c := range []struct {
		end  Ending
		runs int
		out  bool
	}{{Failure, 1, false}, {Failure, 2, true}, {TimedOut, 1, true}, {Broken, 1, true}} {
		b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		s, r := b.ready[0], &request{class: b.classes["get"]}
		for range c.runs {
			b.recordOutcome(&attempt{request: r, server: s}, Outcome{Ending: c.end})
		}
		if got := b.now < s.ejectedUntil; got != c.out {
			t.Errorf("%d endings of kind %v: out %v, want %v", c.runs, c.end, got, c.out)
		}
	}
}
