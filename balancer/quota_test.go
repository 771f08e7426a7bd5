package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func quotas(t testing.TB) *Balancer {
	b := newBalancer(t, func(s *Settings) {
		s.Balancers, s.OverShare = 2, 0.2
		s.Tenants = []Tenant{{"calm", 20}, {"flood", 20}}
	})
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	return b
}

// A tenant's requests beyond its quota are shed before the others' requests, whichever came first.
func TestQuotaIsServedFirst(t *testing.T) {
	b := quotas(t)
	served, asked := map[string]int{}, map[string]int{}
	who := map[string]string{}
	var open []Send
	take := func(acts []Action) { open = append(open, sends(acts)...) }
	for i := range 4000 {
		now := time.Duration(i) * 5 * msec
		for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+350*msec <= now {
			s := open[0]
			open = open[1:]
			served[who[s.ID]]++
			take(b.Handle(now, Outcome{ID: s.ID, Server: s.Server, Ending: Success, Ended: true}))
		}
		name := "flood"
		if i%25 == 0 { // 8 a second, of the 10 that are this copy's
			name = "calm"
		}
		id := fmt.Sprint(i)
		who[id] = name
		asked[name]++
		take(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec, Tenant: name}))
	}
	if got := float64(served["calm"]) / float64(asked["calm"]); got < 0.95 {
		t.Errorf("of the calm tenant's requests %.2f were served", got)
	}
	if got := float64(served["flood"]) / float64(asked["flood"]); got > 0.5 || got < 0.03 {
		t.Errorf("of the flood %.2f was served: the test's load is no overload, or nothing of it was let in", got)
	}
}

// Of two tenants within their quotas the one served less goes first, because of WorstTenantWeight alone.
func TestWorstTenantGoesFirst(t *testing.T) {
	for _, weight := range []float64{0, 0.3} {
		b := quotas(t)
		b.settings.WorstTenantWeight = weight
		well, badly := b.quotas["calm"], b.quotas["flood"]
		well.servedCounts, badly.servedCounts = servedCounts{20, 18}, servedCounts{20, 10}
		value := func(q *quota) float64 { return b.value(&request{class: b.classes["get"], quota: q}) }
		if first := value(badly) > value(well); first != (weight > 0) {
			t.Errorf("weight %v: the worst served goes first: %v", weight, first)
		}
	}
}

// While answers show no overload the window grows much faster than by windowIncrease alone; the window of a copy with one or
// two calls grows only by that.
func TestWindowGrowsByHeadroom(t *testing.T) {
	gain := func(copies int, window float64, n int) float64 {
		b := newBalancer(t, func(s *Settings) { s.Balancers = copies })
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		b.window, b.samples, b.meanLatencyRatio, b.now = window, 1000, 0.1, 50*msec // a tenth of the aim, as ever
		b.meanLogRatio, b.baselineLogRatio = math.Log(0.1), math.Log(0.1)
		r := &request{class: b.classes["get"], attempts: []*attempt{{}}}
		for range n {
			b.inFlight = int(b.window) + 1
			b.adjustWindow(r, Outcome{Ending: Success})
		}
		return b.window - window
	}
	if got := gain(1, 40, 100); got < 3*100*windowIncrease {
		t.Errorf("a window of 40 gained %.2f by 100 answers", got)
	}
	if got := gain(100, 1, 20); got > 1.5*20*windowIncrease {
		t.Errorf("a window of 1 gained %.2f by 20 answers", got)
	}
}

// Whatever the arrivals, no period has more requests within a quota than its rate and its burst allow, and a tenant
// that keeps to its rate is never over it.
func TestQuotaProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := quotas(t)
		const rate = 10.0 // this copy's half
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
		b = quotas(t)
		for i := range 50 {
			id := fmt.Sprint(i)
			b.Handle(time.Duration(i)*100*msec, Request{
				ID:       id,
				Class:    "get",
				Deadline: time.Minute,
				Tenant:   "flood",
			})
			if b.requests[id].overQuota {
				r.Fatalf("request %d of a steady tenant is over its quota", i)
			}
		}
	})
}

// A hung server's few calls do not count as an overload, though they raise the arithmetic mean as much as one.
func TestHungServerIsNoCrowd(t *testing.T) {
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
	// Both have a mean of about 90 ms where it was 50.
	if hung, crowd := window(450*msec, 10), window(90*msec, 1); hung <= 60 || crowd > 61 {
		t.Errorf("window from 60: one of ten calls hangs %.1f, want growth; all slower %.1f, want none", hung, crowd)
	}
}

// Unevenness by chance does not shrink the window, or shedding would sustain itself.
func TestChanceIsNoReasonToBeLean(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	c := b.classes["get"]
	var worst float64
	for i := range 20000 {
		s := b.ready[i%10]
		took := float64(100*msec) * math.Exp(0.8*b.rng.NormFloat64())
		b.recordLatency(s, &request{class: c}, took)
		c.mean = float64(100*msec) * math.Exp(0.32)
		s.ejectedUntil, s.ejectionLevel = 0, 0
		if i > 2000 {
			worst += max(0, b.slownessVariance()-b.chanceVariance()) / 18000
		}
	}
	if worst > 0.03 {
		t.Errorf("servers that are alike are %.3f more uneven than chance", worst)
	}
	for range 40 {
		for k, s := range b.ready {
			b.recordLatency(s, &request{class: c}, c.mean*(1+2*float64(k%2)))
			s.ejectedUntil, s.ejectionLevel = 0, 0
		}
	}
	if got := b.slownessVariance() - b.chanceVariance(); got < 0.1 {
		t.Errorf("half the servers three times as slow: %.3f more uneven than chance", got)
	}
}
