package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newQuotaBalancer returns one of two replicas, with a quota for each of two tenants.
func newQuotaBalancer(t testing.TB) *Balancer {
	b := newBalancer(t, func(s *Settings) {
		s.Balancers, s.OverShare = 2, 0.2
		s.Tenants = []Tenant{{"calm", 20}, {"flood", 20}}
	})
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	return b
}

// A tenant's requests beyond its quota are shed before other requests, whichever arrived first.
func TestRequestsWithinQuotaAreServedFirst(t *testing.T) {
	b := newQuotaBalancer(t)
	served, requested := map[string]int{}, map[string]int{}
	tenantOf := map[string]string{}
	var open []Send
	collect := func(actions []Action) { open = append(open, sends(actions)...) }
	for i := range 4000 {
		now := time.Duration(i) * 5 * msec
		for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+350*msec <= now {
			s := open[0]
			open = open[1:]
			served[tenantOf[s.ID]]++
			collect(b.Handle(now, Outcome{ID: s.ID, Server: s.Server, Ending: Success, Ended: true}))
		}
		name := "flood"
		if i%25 == 0 { // 8 a second, below this replica's share of the quota, 10 a second
			name = "calm"
		}
		id := fmt.Sprint(i)
		tenantOf[id] = name
		requested[name]++
		collect(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec, Tenant: name}))
	}
	if got := float64(served["calm"]) / float64(requested["calm"]); got < 0.95 {
		t.Errorf("a share of %.2f of the requests within the quota was served", got)
	}
	if got := float64(served["flood"]) / float64(requested["flood"]); got > 0.5 || got < 0.03 {
		t.Errorf("a share of %.2f of the flooding tenant's requests was served: no overload, or none was admitted", got)
	}
}

// Of two tenants within their quotas the one that was served less has priority, only because of WorstTenantWeight.
func TestWorstServedTenantGoesFirst(t *testing.T) {
	for _, weight := range []float64{0, 0.3} {
		b := newQuotaBalancer(t)
		b.settings.WorstTenantWeight = weight
		best, worst := b.quotas["calm"], b.quotas["flood"]
		best.servedCounts, worst.servedCounts = servedCounts{20, 18}, servedCounts{20, 10}
		value := func(q *quota) float64 { return b.value(&request{class: b.classes["get"], quota: q}) }
		if first := value(worst) > value(best); first != (weight > 0) {
			t.Errorf("weight %v: the worst served tenant has priority: %v", weight, first)
		}
	}
}

// While answers show no overload the window grows much faster than by windowIncrease alone, but the window of a replica
// with one or two calls grows only by that.
func TestWindowGrowsByHeadroom(t *testing.T) {
	gain := func(copies int, window float64, n int) float64 {
		b := newBalancer(t, func(s *Settings) { s.Balancers = copies })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		b.window, b.samples, b.meanLatencyRatio, b.now = window, 1000, 0.1, 50*msec // a tenth of the aim, like the baseline
		b.meanLogRatio, b.baselineLogRatio = math.Log(0.1), math.Log(0.1)
		r := &request{class: b.classes["get"], attempts: []*attempt{{}}}
		for range n {
			b.inFlight = int(b.window) + 1
			b.adjustWindow(r, Outcome{Ending: Success})
		}
		return b.window - window
	}
	if got := gain(1, 40, 100); got < 3*100*windowIncrease {
		t.Errorf("a window of 40 grew by %.2f with 100 answers", got)
	}
	if got := gain(100, 1, 20); got > 1.5*20*windowIncrease {
		t.Errorf("a window of 1 grew by %.2f with 20 answers", got)
	}
}

// For any arrival times, no period has more requests within a quota than its rate and its burst allow, and a tenant
// that stays below its rate never exceeds its quota.
func TestQuotaBoundsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newQuotaBalancer(t)
		const rate = 10.0 // this replica's half of the quota
		var within []time.Duration
		now := time.Duration(0)
		gaps := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 120).Draw(r, "gaps")
		for i, g := range gaps {
			now += time.Duration(g) * msec
			id := fmt.Sprint(i)
			b.Handle(now, Request{
				ID:          id,
				Class:       "get",
				Deadline:    now + time.Minute,
				Tenant:      "flood",
				ClientRetry: g%7 == 0,
			})
			if x := b.requests[id]; x.overQuota == false && !x.clientRetry {
				within = append(within, now)
			}
		}
		for i := range within {
			for j := i; j < len(within); j++ {
				span := (within[j] - within[i]).Seconds()
				if n := float64(j - i + 1); n > math.Floor(rate*quotaBurstSeconds+rate*span)+1 {
					r.Fatalf("%v requests within the quota in %.3f s", n, span)
				}
			}
		}
		b = newQuotaBalancer(t)
		for i := range 50 {
			id := fmt.Sprint(i)
			b.Handle(time.Duration(i)*100*msec, Request{
				ID:       id,
				Class:    "get",
				Deadline: time.Minute,
				Tenant:   "flood",
			})
			if b.requests[id].overQuota {
				r.Fatalf("request %d of a tenant at its rate exceeds the quota", i)
			}
		}
	})
}

// The few calls at an unresponsive server do not count as an overload, though they raise the arithmetic mean as much.
func TestUnresponsiveServerIsNoOverload(t *testing.T) {
	window := func(slow time.Duration, every int) float64 {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(20)})
		r := &request{class: b.classes["get"], attempts: []*attempt{{}}}
		for i := range 600 {
			b.now, b.inFlight, b.window = 50*msec, 60, max(b.window, 60)
			if i >= 200 && i%every == 0 {
				b.now = slow
			}
			b.shedShare = 0.5
			b.adjustWindow(r, Outcome{Ending: Success})
		}
		return b.window
	}
	// In both cases the mean is about 90 ms, after a baseline of 50 ms.
	if unresponsive, overloaded := window(450*msec, 10), window(90*msec, 1); unresponsive <= 60 || overloaded > 61 {
		t.Errorf("window of 60 changed to %.1f with one of ten calls slow, want growth; to %.1f with all slower, want none",
			unresponsive, overloaded)
	}
}

// Slowness variance that chance explains does not shrink the window, or shedding would cause more shedding.
func TestChanceVarianceDoesNotShrinkWindow(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	c := b.classes["get"]
	var excess float64
	for i := range 20000 {
		s := b.ready[i%10]
		took := float64(100*msec) * math.Exp(0.8*b.rng.NormFloat64())
		b.recordLatency(s, &request{class: c}, took)
		c.mean = float64(100*msec) * math.Exp(0.32)
		s.ejectedUntil, s.ejectionLevel = 0, 0
		if i > 2000 {
			excess += max(0, b.slownessVariance()-b.chanceVariance()) / 18000
		}
	}
	if excess > 0.03 {
		t.Errorf("equal servers: variance exceeds that by chance by %.3f", excess)
	}
	for range 40 {
		for k, s := range b.ready {
			b.recordLatency(s, &request{class: c}, c.mean*(1+2*float64(k%2)))
			s.ejectedUntil, s.ejectionLevel = 0, 0
		}
	}
	if got := b.slownessVariance() - b.chanceVariance(); got < 0.1 {
		t.Errorf("half the servers three times as slow: variance exceeds that by chance by %.3f", got)
	}
}
