package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Slow start: 12 copies send to 6 servers, one of which is new, at three quarters of the capacity. The load that all
// send to it in any FallFor must stay below FallMultiple times its capacity at that time.
func TestColdServerIsNotPushedOver(t *testing.T) {
	set := testSettings()
	set.Tier = 1
	const copies, capacity = 12, 50.0 // a warm server's calls a second
	list := servers(6)
	list[2].StartedAt = time.Second
	var bs []*Balancer
	for i := range copies {
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, ServerList{Full: true, Servers: list})
		bs = append(bs, b)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	var cold []time.Duration
	for i := 0; i < int(0.75*6*capacity*12); i++ {
		now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
		b, id := bs[rng.IntN(copies)], fmt.Sprint(i)
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			if s.Server == list[2].ID {
				cold = append(cold, now)
			}
			b.Handle(now+20*msec, Outcome{ID: id, Server: s.Server, Ending: Success, Ended: true})
		}
	}
	if len(cold) < 20 {
		t.Fatalf("the cold server got only %d calls", len(cold))
	}
	for i := range cold {
		n := 0
		for _, at := range cold[i:] {
			if at < cold[i]+set.FallFor {
				n++
			}
		}
		grown := float64(cold[i]-time.Second) / float64(set.WarmAfter)
		limit := set.FallMultiple * capacity * min(1, set.ColdFrom+(1-set.ColdFrom)*grown) * set.FallFor.Seconds()
		if float64(n) > limit {
			t.Fatalf("%d calls in %v from %v, limit %.0f", n, set.FallFor, cold[i], limit)
		}
	}
}
