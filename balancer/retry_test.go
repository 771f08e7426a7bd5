package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The retries of each tier multiply the load of the next one: they are earned by successes, and the budget is
// bounded.
func TestRetriesKeepWithinTheirBudget(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	traffic(b, 2000, "get", func(string) Ending { return Success })
	again := 0
	for i := range 200 {
		now, id := b.now+20*msec, fmt.Sprint("bad", i)
		l := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		for k := 0; len(l) > 0; k++ {
			l = sends(b.Handle(now+msec, Outcome{ID: id, Attempt: k, Server: l[0].Server, Ending: Failure}))
			again += len(l)
		}
	}
	if again < 5 || again > maxRetryTokens {
		t.Errorf("%d further attempts for 200 failed requests, want %d at the most", again, maxRetryTokens)
	}
}

// A keyed request that may have run is not retried after its servers may have forgotten the key.
func TestKeyedRequestStaysWithinItsWindow(t *testing.T) {
	for _, tc := range []struct {
		at   time.Duration
		want int
	}{{300 * msec, 1}, {899 * msec, 0}, {1000 * msec, 0}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(8)})
		s := sends(b.Handle(0, Request{ID: "k", Class: "post", Deadline: 1500 * msec}))[0]
		if got := len(sends(settle(b, tc.at, "k", s, Failure))); got != tc.want {
			t.Errorf("failed after %v: sent again %d times, want %d", tc.at, got, tc.want)
		}
	}
}
