package balancer

import (
	"slices"
	"testing"
	"time"
)

func longBalancer(t *testing.T) (*Balancer, time.Duration) {
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
func TestSpentIsNotSentAgain(t *testing.T) {
	for _, spent := range []bool{false, true} {
		b, now := longBalancer(t)
		s := sends(b.Handle(now, Request{ID: "r", Class: "x", Deadline: now + 5*time.Second}))
		again := b.Handle(now+1, Outcome{ID: "r", Server: s[0].Server, Ending: Unreachable, Consumed: spent})
		refused := slices.ContainsFunc(again, func(a Action) bool { _, is := a.(Reject); return is })
		if len(sends(again)) > 0 == spent || refused != spent {
			t.Errorf("spent %v: %v", spent, again)
		}
	}
}

// A streamed answer that is only transferred is not a call in flight, does not make its server silent, and its duration is
// not a latency. A streamed answer that the server works on until its end counts as a call until then.
func TestTransferIsNoCall(t *testing.T) {
	for _, transfer := range []bool{true, false} {
		b, now := longBalancer(t)
		id := func(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }
		const many = 200
		served := 0
		for i := range many {
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
		if transfer && (served != many || v.InFlight != 0 || v.Servers[0].Ejected || v.Servers[0].OldestMS > 0) {
			t.Errorf("%d of %d served, %+v", served, many, v)
		}
		if !transfer && v.InFlight != served {
			t.Errorf("%d streams count as %d calls", served, v.InFlight)
		}
		mean := v.Classes[0].MeanMS
		for i := range many {
			b.Handle(now+time.Minute, Outcome{ID: id(i), Ending: Success, Ended: true})
		}
		if v := b.Estimates(2); transfer && (v.InFlight != 0 || v.Classes[0].MeanMS > max(mean, 10) || v.Requests != 0) {
			t.Errorf("in the end %+v", v)
		}
	}
}
