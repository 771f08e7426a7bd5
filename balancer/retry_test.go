package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The retries of each tier multiply the load of the next one, so they stay within a budget that successes refill up to a
// limit.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	sendTraffic(b, 2000, "get", func(string) Ending { return Success })
	retries := 0
	for i := range 200 {
		now, id := b.now+20*msec, fmt.Sprint("failing", i)
		l := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		for k := 0; len(l) > 0; k++ {
			l = sends(b.Handle(now+msec, Outcome{ID: id, Attempt: k, Server: l[0].Server, Ending: Failure}))
			retries += len(l)
		}
	}
	if retries < 5 || retries > maxRetryTokens {
		t.Errorf("%d retries of 200 failed requests, want 5 to %d", retries, maxRetryTokens)
	}
}

// A keyed request that may have run is not retried once its servers may no longer deduplicate its key.
func TestKeyedRequestIsNotRetriedAfterItsWindow(t *testing.T) {
	for _, tc := range []struct {
		failedAt time.Duration
		want     int
	}{{300 * msec, 1}, {899 * msec, 0}, {1000 * msec, 0}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(8)})
		s := sends(b.Handle(0, Request{ID: "k", Class: "post", Deadline: 1500 * msec}))[0]
		if got := len(sends(endAttempt(b, tc.failedAt, "k", s, Failure))); got != tc.want {
			t.Errorf("failed after %v: %d retries, want %d", tc.failedAt, got, tc.want)
		}
	}
}
