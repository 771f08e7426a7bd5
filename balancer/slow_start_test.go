package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Slow start: 12 replicas send to 6 servers, one of which is new, at three quarters of the capacity. The number of calls
// that the new server gets in any period of FallFor stays below FallMultiple times its capacity at that time.
func TestSlowStartServerIsNotOverloaded(t *testing.T) {
	set := testSettings()
	set.Tier = 1
	const replicas, capacity = 12, 50.0 // capacity is that of a warm server, in calls a second
	list := servers(6)
	list[2].StartedAt = time.Second
	var balancers []*Balancer
	for i := range replicas {
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, ServerList{Full: true, Servers: list})
		balancers = append(balancers, b)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	var coldCalls []time.Duration // times of the calls to the new server
	for i := 0; i < int(0.75*6*capacity*12); i++ {
		now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
		b, id := balancers[rng.IntN(replicas)], fmt.Sprint(i)
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			if s.Server == list[2].ID {
				coldCalls = append(coldCalls, now)
			}
			b.Handle(now+20*msec, Outcome{ID: id, Server: s.Server, Ending: Success, Ended: true})
		}
	}
	if len(coldCalls) < 20 {
		t.Fatalf("the new server got only %d calls", len(coldCalls))
	}
	for i := range coldCalls {
		n := 0
		for _, at := range coldCalls[i:] {
			if at < coldCalls[i]+set.FallFor {
				n++
			}
		}
		progress := float64(coldCalls[i]-time.Second) / float64(set.WarmAfter)
		limit := set.FallMultiple * capacity * min(1, set.ColdFrom+(1-set.ColdFrom)*progress) * set.FallFor.Seconds()
		if float64(n) > limit {
			t.Fatalf("%d calls in %v from %v, limit %.0f", n, set.FallFor, coldCalls[i], limit)
		}
	}
}
