package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A thousand copies with one call each are an overload: with many more copies than servers, a copy has less than one
// call in flight on average, though two may be sent at once after a pause. A call that timed out counts as well,
// because the server may still work on it.
func TestManyCopiesKeepUnderOneCallEach(t *testing.T) {
	for _, end := range []Ending{Success, TimedOut} {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.MaxAttempts = 100, 1 })
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		const took, gap, n = 300 * msec, 25 * msec, 1200
		type call struct {
			Send
			at time.Duration
		}
		var open []call
		var out time.Duration // time that calls were out
		most := 0
		for i := range n {
			now := time.Duration(i) * gap
			for len(open) > 0 && open[0].at+took <= now {
				s := open[0]
				open = open[1:]
				for _, s := range sends(settle(b, now, s.ID, s.Send, end)) {
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
			out += time.Duration(len(open)) * gap
			most = max(most, len(open))
		}
		mean := float64(out) / float64(n*gap)
		if limit := minCallsPerServer * b.fairServers(); mean > 0.9 || mean < 0.25*limit || most < 2 {
			t.Errorf("ending %d: %.2f calls out on the average, %d at most, window floor %.2f", end, mean, most, limit)
		}
	}
}

// Calls sent under a large window leave no pacing debt when the fleet shrinks and the window with it: in incident
// i587823 the copies rejected nearly all requests for five seconds.
func TestNothingIsOwedFromAWideWindow(t *testing.T) {
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
			settle(b, now+msec, s.ID, s, Failure) // quicker than the mean that a send owes
		}
	}
	b.window = 1
	now := b.now + 100*msec
	if len(sends(b.Handle(now, Request{ID: "next", Class: "get", Deadline: now + time.Second}))) != 1 {
		t.Errorf("a copy at rest holds a request until %v", b.pausedUntil()-now)
	}
}
