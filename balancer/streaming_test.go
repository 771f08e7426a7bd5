package balancer

import (
	"slices"
	"testing"
	"time"
)

// newStreamBalancer returns a Balancer with one idempotent class with a long deadline, and the time now.
func newStreamBalancer(t *testing.T) (*Balancer, time.Duration) {
	t.Helper()
	b, err := New(Settings{
		Classes: []Class{{
			Name:     "x",
			Effect:   Idempotent,
			Aim:      time.Second,
			Deadline: 10 * time.Second,
			Worth:    1,
		}},
		Balancers:   1,
		MaxAttempts: 3,
		Tick:        time.Millisecond,
		MayCancel:   true,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	b.Handle(now, ServerList{Full: true, Servers: []Server{{ID: "a"}, {ID: "b"}}})
	return b, now
}

// A request whose body was partly sent can't be retried, even if its class is idempotent.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for _, consumed := range []bool{false, true} {
		b, now := newStreamBalancer(t)
		s := sends(b.Handle(now, Request{ID: "r", Class: "x", Deadline: now + 5*time.Second}))
		actions := b.Handle(now+1, Outcome{ID: "r", Server: s[0].Server, Ending: Unreachable, Consumed: consumed})
		rejected := slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(Reject); return ok })
		if len(sends(actions)) > 0 == consumed || rejected != consumed {
			t.Errorf("consumed %v: got actions %v", consumed, actions)
		}
	}
}

// A streamed answer of which only the transfer remains is not a call in flight, does not make its server unresponsive, and
// its duration is not a latency. A streamed answer that the server still produces counts as a call until its end.
func TestTransferDoesNotCountAsCall(t *testing.T) {
	for _, transfer := range []bool{true, false} {
		b, now := newStreamBalancer(t)
		id := func(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }
		const requests = 200
		served := 0
		for i := range requests {
			now += 20 * time.Millisecond
			if s := sends(b.Handle(now, Request{
				ID:       id(i),
				Class:    "x",
				Deadline: now + 5*time.Second,
			})); len(s) > 0 {
				b.Handle(now+10*time.Millisecond, Started{ID: id(i), Transfer: transfer})
				served++
			}
		}
		v := b.Estimates(2)
		if transfer && (served != requests || v.InFlight != 0 || v.Servers[0].Ejected || v.Servers[0].OldestMS > 0) {
			t.Errorf("%d of %d requests served, estimates %+v", served, requests, v)
		}
		if !transfer && v.InFlight != served {
			t.Errorf("%d streams count as %d calls", served, v.InFlight)
		}
		mean := v.Classes[0].MeanMS
		for i := range requests {
			b.Handle(now+time.Minute, Outcome{ID: id(i), Ending: Success, Ended: true})
		}
		if v := b.Estimates(2); transfer && (v.InFlight != 0 || v.Classes[0].MeanMS > max(mean, 10) || v.Requests != 0) {
			t.Errorf("after all outcomes: estimates %+v", v)
		}
	}
}
