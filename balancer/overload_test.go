package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A fifth of four servers rounds to none: without a minimum of one, every selection would prefer a server that fails fast.
func TestOneOfAFewServersMayBeExcluded(t *testing.T) {
	for _, n := range []int{2, 3, 4} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(n)})
		got := sendTraffic(b, 600, "get", func(s string) Ending {
			if s == "s01" {
				return Failure
			}
			return Success
		})
		if got["s01"] > 20 {
			t.Errorf("%d servers: the failing one got %d of 300 first attempts", n, got["s01"])
		}
	}
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	if b.maxExcluded() != 0 {
		t.Error("the only server may be excluded")
	}
}

// refuseCalls sends n requests at once to the only server, which refuses all of them after the time took.
func refuseCalls(b *Balancer, n int, took time.Duration) (now time.Duration) {
	now = b.now + time.Second
	var sent []Send
	for i := range n {
		sent = append(sent, sends(b.Handle(now, Request{
			ID:       fmt.Sprint("refused", now, i),
			Class:    "pay",
			Deadline: now + time.Minute,
		}))...)
	}
	now += took
	for _, s := range sent {
		b.Handle(now, Outcome{ID: s.ID, Server: s.Server, Ending: Overloaded})
		b.Handle(now, ClientGone{ID: s.ID})
	}
	return now
}

// The call limit of a server that refused calls rises while it accepts calls at the limit. Refusals at the same moment
// count once. After a quick refusal of its only call the limit is 0, because a server that looks idle would be selected.
func TestCallLimitRecovers(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 1; s.MaxAttempts = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	now := refuseCalls(b, 3, 400*msec)
	s := b.servers["s00"]
	if s.refusals != 1 {
		t.Errorf("three refusals at the same moment count %d times", s.refusals)
	}
	if s.callLimit < 1 {
		t.Errorf("call limit %d after a slow refusal", s.callLimit)
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
		t.Errorf("call limit %d after five accepted calls", s.callLimit)
	}

	b = newBalancer(t, func(s *Settings) { s.Balancers = 1; s.MaxAttempts = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	refuseCalls(b, 1, msec)
	if s := b.servers["s00"]; s.callLimit != 0 {
		t.Errorf("call limit %d after a quick refusal of the only call, want 0", s.callLimit)
	}
}

// countAdmitted sends n requests at once and returns how many the balancer admits.
func countAdmitted(b *Balancer, n int) (count int) {
	for i := range n {
		count += len(sends(b.Handle(b.now, Request{
			ID:       fmt.Sprint("admitted", b.now, i),
			Class:    "get",
			Deadline: b.now + time.Minute,
		})))
	}
	return count
}

// The number of admitted calls follows the share of the servers' capacity that may be used.
func TestWindowFollowsUsableServers(t *testing.T) {
	oneReplica := func(s *Settings) { s.Balancers = 1 }
	full := ServerList{Full: true, Servers: servers(4)}
	cases := map[string]struct {
		change func(b *Balancer)
		least  int
		most   int
	}{
		"all usable": {
			change: func(*Balancer) {},
			least:  20,
			most:   20,
		},
		"shorter list": {
			change: func(b *Balancer) { b.Handle(1, ServerList{Full: true, Servers: servers(1)}) },
			least:  5,
			most:   5,
		},
		"one ejected": {
			change: func(b *Balancer) { b.servers["s02"].ejectedUntil = time.Hour },
			least:  15,
			most:   15,
		},
		"all ejected": {
			change: func(b *Balancer) {
				for _, s := range b.servers {
					s.ejectedUntil = time.Hour
				}
			},
			least: 15,
			most:  15,
		},
		"one in slow start": {
			change: func(b *Balancer) {
				l := servers(4)
				l[0].StartedAt = 4 * time.Second
				b.Handle(9*time.Second, ServerList{Full: true, Servers: l}) // half of WarmAfter has passed: a share of 0.6
			},
			least: 17,
			most:  18,
		},
		// It refused a call while it had two, so it keeps two, and the other three have five each.
		"one with a call limit": {
			change: func(b *Balancer) { b.servers["s02"].callLimit, b.servers["s02"].callLimitUntil = 2, time.Hour },
			least:  17,
			most:   17,
		},
		"one with a call limit of 0": {
			change: func(b *Balancer) { b.servers["s02"].callLimit, b.servers["s02"].callLimitUntil = 0, time.Hour },
			least:  15,
			most:   15,
		},
		"most calls abandoned": {
			change: func(b *Balancer) { b.abandonedShare, b.window = 0.9, 2 },
			least:  2,
			most:   2,
		},
	}
	for name, c := range cases {
		b := newBalancer(t, oneReplica)
		b.Handle(0, full)
		c.change(b)
		b.usableComputedAt = -1
		if got := countAdmitted(b, 60); got < c.least || got > c.most {
			t.Errorf("%s: %d calls admitted, want %d to %d", name, got, c.least, c.most)
		}
	}
}

// Calls at a draining server do not count against the window, because they are no load on the other servers.
func TestCallsAtDrainingServersDoNotCount(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(2)})
	if got := countAdmitted(b, 40); got != 10 {
		t.Fatalf("%d calls admitted, want 10", got)
	}
	l := servers(2)
	l[0].State = Draining
	b.Handle(time.Second, ServerList{Servers: l[:1]})
	draining := b.servers["s00"].calls
	if excess := float64(b.inFlight) - b.admittedCalls(); int(excess) != draining || draining == 0 {
		t.Errorf("%v calls do not count, want the %d at the draining server", excess, draining)
	}
}

// A server whose calls do not end does not keep another one idle: calls beyond its share do not count against the window.
func TestExcessCallsAtOneServerDoNotCount(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	b.window = 20
	if got := countAdmitted(b, 40); got != 20 {
		t.Fatalf("%d calls admitted, want 20", got)
	}
	b.window = 5
	b.Handle(time.Second, ServerList{Servers: []Server{{ID: "new", State: Ready}}})
	countAdmitted(b, 40)
	if got := b.servers["new"].calls; got < 3 || got > 5 {
		t.Errorf("the new server has %d calls, want 3 to 5 of a window of 10 beside a server with 20 calls", got)
	}
}

// The baseline is the lowest mean latency of the servers where it was measured: after half of them leave it soon adapts
// to the others. While the list is unchanged, an overload hardly raises it.
func TestBaselineAdaptsToChangedList(t *testing.T) {
	baseline := func(left int) float64 {
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
	if same, half := baseline(8), baseline(4); same > 0.12 || half < 0.17 {
		t.Errorf("baseline of 0.1 at latencies of 0.2: %.3f with the same list, %.3f with half of it", same, half)
	}
}

// The limit on calls at a server in slow start is divided among the replicas, but at least 1.
func TestSlowStartLimitIsDividedAmongReplicas(t *testing.T) {
	for replicas, want := range map[int]float64{1: 3, 2: 1, 1000: 1} {
		b := newBalancer(t, func(s *Settings) { s.Balancers = replicas })
		if got := b.slowStartLimit(0.6); got != want {
			t.Errorf("%d replicas: limit of %v calls, want %v", replicas, got, want)
		}
	}
}

// The count of abandoned calls decays with the mean latency as its time constant.
func TestAbandonedCallsDecay(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	b.now = time.Second
	b.updateAbandoned(10, float64(time.Second))
	if b.admittedCalls() != 10 {
		t.Errorf("%v calls count, want 10", b.admittedCalls())
	}
	b.now += time.Second
	if got := b.admittedCalls(); got < 3 || got > 4 {
		t.Errorf("%v calls count after one mean latency, want 3.7", got)
	}
}

// StartCalls raises the initial window above initialCallsPerServer.
func TestStartCallsSetInitialWindow(t *testing.T) {
	for startCalls, want := range map[int]int{0: 20, 3: 20, 12: 48} {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.StartCalls = 1, startCalls })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		if got := countAdmitted(b, 100); got != want {
			t.Errorf("StartCalls %d: %d calls admitted, want %d", startCalls, got, want)
		}
	}
}

// Estimates lists at most the given number of servers, those with the most calls.
func TestEstimates(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(5)})
	countAdmitted(b, 3)
	v := b.Estimates(2)
	if v.InFlight != 3 || v.Ready != 5 || len(v.Servers) != 2 || v.Servers[0].Calls == 0 || len(v.Classes) != 4 {
		t.Errorf("%+v", v)
	}
	if b.Estimates(0).Servers != nil {
		t.Error("Estimates(0) lists servers")
	}
}

// Invented tenant names use bounded memory, and a tenant that keeps sending is not dropped.
func TestTenantCountsAreBounded(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.TenantWeight = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(2)})
	for i := range 20_000 {
		for j, name := range []string{"steady", fmt.Sprint("invented ", i)} {
			id := fmt.Sprint("t", i, j)
			b.Handle(b.now+msec, Request{ID: id, Class: "get", Deadline: b.now + time.Second, Tenant: name})
			b.Handle(b.now, ClientGone{ID: id})
		}
	}
	if n := len(b.tenants.byName); n > maxTenants || b.tenants.byName["steady"] == nil {
		t.Errorf("%d tenants are counted, want at most %d; the steady one: %v", n, maxTenants, b.tenants.byName["steady"])
	}
	if b.tenants.scale > 1e101 {
		t.Errorf("the scale of the counts is %v, want a rescaling above 1e100", b.tenants.scale)
	}
}

// A single error answer does not eject a server: it often comes from a deeper tier, and one server can be a quarter of the
// capacity. A timeout, a broken connection or a run of errors ejects it.
func TestSingleErrorEjectsNoServer(t *testing.T) {
	for _, c := range []struct {
		ending  Ending
		times   int
		ejected bool
	}{{Failure, 1, false}, {Failure, 2, true}, {TimedOut, 1, true}, {Broken, 1, true}} {
		b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		s, r := b.ready[0], &request{class: b.classes["get"]}
		for range c.times {
			b.recordOutcome(&attempt{request: r, server: s}, Outcome{Ending: c.ending})
		}
		if got := b.now < s.ejectedUntil; got != c.ejected {
			t.Errorf("%d outcomes with ending %v: ejected %v, want %v", c.times, c.ending, got, c.ejected)
		}
	}
}
