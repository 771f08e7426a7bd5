package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// pickLessLoaded prefers fewer calls, resolves ties as documented, and draws uniformly within a group.
func TestPickLessLoaded(t *testing.T) {
	group := func(calls ...int) []*server {
		var l []*server
		for i, c := range calls {
			l = append(l, &server{Server: Server{ID: fmt.Sprint(i, c)}, calls: c})
		}
		return l
	}
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*server) float64 {
		got := 0
		for range n {
			s := b.pickLessLoaded(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*server
		want        float64
	}{
		{"fewer left", group(1), group(2), 1},
		{"fewer right", group(2), group(1), 0},
		{"zero beats one", group(1), group(0), 0},
		{"zero left beats one", group(0), group(1), 1},
		{"nonzero tie goes left", group(3), group(3), 1},
		{"zero tie by group sizes", group(0, 0, 0), group(0), 0.75},
		{"left empty", nil, group(1), 0},
		{"right empty", group(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.pickLessLoaded(nil, nil) != nil {
		t.Error("got a server from empty groups")
	}
	left, count := group(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pickLessLoaded(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("a server of four got a share of %.3f of uniform draws", got)
		}
	}
}

// Servers are drawn in proportion to their sizes if these are capacities, and uniformly if they mean nothing or depend on
// an outdated load.
func TestDrawsFollowRegisteredSizes(t *testing.T) {
	for kind, want := range map[Sizes]float64{SizesNominal: 3, SizesRough: 3, SizesUnknown: 1, SizesLive: 1} {
		b := newBalancer(t, func(s *Settings) { s.Sizes = kind })
		list := servers(8)
		for i := range list {
			list[i].Size = []float64{1, 3}[i%2]
		}
		b.Handle(0, ServerList{Full: true, Servers: list})
		got, large, small := sendTraffic(b, 8000, "get", func(string) Ending { return Success }), 0, 0
		for i, s := range list {
			if i%2 == 1 {
				large += got[s.ID]
			} else {
				small += got[s.ID]
			}
		}
		if ratio := float64(large) / float64(small); ratio < 0.75*want || ratio > 1.25*want {
			t.Errorf("Sizes %d: ratio of attempts at large to small servers %.2f, want %.0f", kind, ratio, want)
		}
	}
}

// A server that is half as fast as its peers is drawn less often, but not ejected. A server that was slow only with
// requests that are expensive according to their cost hints does not count as slow.
func TestDrawsFollowMeasuredSpeed(t *testing.T) {
	for _, costFactor := range []time.Duration{0, 16} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		got, n, now := 0, 0, time.Duration(0)
		for i := range 4000 {
			id, cost := fmt.Sprint(i), 10*msec
			if costFactor > 0 && i%40 < 4 {
				cost *= costFactor
			}
			now += time.Second
			for _, s := range sends(b.Handle(now, Request{
				ID:       id,
				Class:    "get",
				Deadline: now + time.Second,
				Cost:     cost,
			})) {
				took := 100 * msec
				if s.Server == "s03" && (costFactor == 0 || cost > 10*msec) {
					took *= 2
				}
				if n++; s.Server == "s03" {
					got++
				}
				endAttempt(b, now+took, id, s, Success)
			}
		}
		share := float64(got) / float64(n)
		if costFactor == 0 && (share > 0.14 || share < 0.03) || costFactor > 0 && share < 0.2 {
			t.Errorf("cost factor %d: the slow server got a share of %.3f of the attempts", costFactor, share)
		}
	}
}

// A small server is slower without being unhealthy: its size already reduces its draws, so its slowness must not.
func TestSmallServersDoNotCountAsSlow(t *testing.T) {
	for kind, slow := range map[Sizes]bool{SizesNominal: false, SizesUnknown: true} {
		b := newBalancer(t, func(s *Settings) { s.Sizes = kind })
		list := servers(4)
		for i := range list {
			list[i].Size = []float64{1, 3}[i/2]
		}
		b.Handle(0, ServerList{Full: true, Servers: list})
		for i := range 400 {
			now, id := time.Duration(i)*time.Second, fmt.Sprint(i)
			for _, s := range sends(b.Handle(now, Request{
				ID:       id,
				Class:    "get",
				Deadline: now + time.Second,
			})) {
				endAttempt(b, now+time.Duration(120/b.servers[s.Server].Size)*msec, id, s, Success)
			}
		}
		if got := max(b.servers["s00"].slowness, b.servers["s01"].slowness); got > 0.3 != slow {
			t.Errorf("Sizes %d: slowness of the small servers %.2f", kind, got)
		}
	}
}

// During a deployment all servers of a replica's subset may be in slow start. While the list has other servers the replica
// uses those, or all replicas with the same subset would overload it together.
func TestWarmServersAreUsedBeforeColdSubset(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.ColdFrom = 100, 0 })
	list := servers(40)
	b.Handle(time.Minute, ServerList{Full: true, Servers: list})
	cold := map[string]bool{}
	for _, s := range b.subset {
		cold[s.ID] = true
	}
	for i := range list {
		if cold[list[i].ID] {
			list[i].StartedAt = time.Minute
		}
	}
	b.Handle(time.Minute, ServerList{Full: true, Servers: list})
	for i := range 20 {
		for _, s := range sends(b.Handle(time.Minute+time.Duration(i)*msec, Request{
			ID:       fmt.Sprint(i),
			Class:    "get",
			Deadline: 2 * time.Minute,
		})) {
			if cold[s.Server] {
				t.Fatalf("request %d went to a server that started %d ms ago", i, i)
			}
		}
	}
}

// A server with more calls than the subset's mean, and at least two, is skipped while there are others. A single call never
// excludes a server, because pickLessLoaded compares the numbers of calls.
func TestCrowdedServersAreSkipped(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(6)})
	for _, test := range []struct{ calls, eligible [6]int }{
		{[6]int{2, 1, 0, 0, 1, 0}, [6]int{0, 1, 1, 1, 1, 1}},
		{[6]int{3, 2, 2, 1, 2, 3}, [6]int{0, 1, 1, 1, 1, 0}},
		{[6]int{1, 1, 1, 1, 1, 1}, [6]int{1, 1, 1, 1, 1, 1}},
	} {
		b.inFlight = 0
		for i, s := range b.ready {
			s.calls = test.calls[i]
			b.inFlight += s.calls
		}
		var eligible [6]int
		for _, s := range b.eligible(&request{class: b.classes["get"]}) {
			for i := range b.ready {
				if b.ready[i] == s {
					eligible[i] = 1
				}
			}
		}
		if eligible != test.eligible {
			t.Errorf("calls %v: eligible %v, want %v", test.calls, eligible, test.eligible)
		}
	}
}

// Servers whose connections are used up by other replicas refuse quickly. A server that refused gets no more calls than it
// had then, even if many others refuse, too, and is probed again later.
func TestRefusingServerGetsNoMoreCalls(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	now, id := msec, 0
	full := map[string]bool{
		"s00": true,
		"s02": true,
		"s03": true,
		"s05": true,
		"s06": true,
		"s08": true,
	}
	refused := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			attempts := sends(b.Handle(now, Request{
				ID:       fmt.Sprint(id),
				Class:    "get",
				Deadline: now + time.Second,
			}))
			for number := 0; len(attempts) > 0; number++ {
				ending := Success
				if full[attempts[0].Server] {
					ending = Unreachable
					count++
				}
				now += 2 * msec
				attempts = sends(b.Handle(now, Outcome{
					ID:      fmt.Sprint(id),
					Attempt: number,
					Server:  attempts[0].Server,
					Ending:  ending,
					Ended:   ending == Success,
				}))
			}
		}
		return count
	}
	first := refused(20)
	if first < 5 {
		t.Fatalf("only %d refusals, want at least 5", first)
	}
	if got := refused(20); got > first/2 {
		t.Errorf("%d refusals after the first %d: full servers still get calls", got, first)
	}
	now += time.Minute
	if refused(20) == 0 {
		t.Error("full servers were not probed after a minute")
	}
}
