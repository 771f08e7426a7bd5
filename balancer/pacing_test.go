package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A thousand replicas with one call each are an overload: with many more replicas than servers, a replica has less than
// one call in flight on average, though it may send two at once after a pause. A call that timed out counts as well,
// because the server may still work on it.
func TestManyReplicasAverageUnderOneCallEach(t *testing.T) {
	for _, ending := range []Ending{Success, TimedOut} {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.MaxAttempts = 100, 1 })
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		const took, gap, n = 300 * msec, 25 * msec, 1200
		type call struct {
			Send
			sentAt time.Duration
		}
		var open []call
		var inFlight time.Duration // sum of the times that calls were in flight
		most := 0
		for i := range n {
			now := time.Duration(i) * gap
			for len(open) > 0 && open[0].sentAt+took <= now {
				s := open[0]
				open = open[1:]
				for _, s := range sends(endAttempt(b, now, s.ID, s.Send, ending)) {
					open = append(open, call{s, now})
				}
			}
			for _, s := range sends(b.Handle(now, Request{
				ID:       fmt.Sprint(i),
				Class:    "get",
				Deadline: now + time.Second,
			})) {
				open = append(open, call{s, now})
			}
			inFlight += time.Duration(len(open)) * gap
			most = max(most, len(open))
		}
		mean := float64(inFlight) / float64(n*gap)
		if limit := minCallsPerServer * b.fairServers(); mean > 0.9 || mean < 0.25*limit || most < 2 {
			t.Errorf("ending %d: %.2f calls in flight on average, %d at most; minimum window %.2f", ending, mean, most, limit)
		}
	}
}

// Calls sent while the window was large leave no pacing debt when the number of servers, and so the window, shrinks: in
// incident i587823 such debt made the replicas reject nearly all requests for five seconds.
func TestLargeWindowLeavesNoPacingDebt(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	for i := range 400 {
		now := time.Duration(i) * 5 * msec
		b.window = 3
		for _, s := range sends(b.Handle(now, Request{
			ID:       fmt.Sprint(i),
			Class:    "get",
			Deadline: now + time.Second,
		})) {
			endAttempt(b, now+msec, s.ID, s, Failure) // sooner than the mean latency, which a send adds to the debt
		}
	}
	b.window = 1
	now := b.now + 100*msec
	if len(sends(b.Handle(now, Request{ID: "next", Class: "get", Deadline: now + time.Second}))) != 1 {
		t.Errorf("a replica without calls queues a request for %v", b.pausedUntil()-now)
	}
}
