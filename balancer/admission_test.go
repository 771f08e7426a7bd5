package balancer

import (
	"fmt"
	"testing"
	"time"
)

// In overload the window must shrink, but never below its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		start, now := b.window, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * msec
			open = append(open, sends(b.Handle(now, Request{
				ID:       fmt.Sprint(i),
				Class:    "get",
				Deadline: now + time.Second,
			}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+tc.took <= now {
				s := open[0]
				open = append(open[1:], sends(settle(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.window > start; grew != tc.grow && tc.grow || b.window < minCallsPerServer*b.fairServers() {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.window, start)
		}
		if !tc.grow && b.window > minCallsPerServer*b.fairServers()+1 {
			t.Errorf("late answers left the window at %.1f", b.window)
		}
	}
}

// Overload is judged against the lowest mean latency: an answer at half the aim is normal if it always took that
// long, and a sign of overload if it took an eighth before.
func TestWindowJudgesLatencyByQuietTimes(t *testing.T) {
	window := func(before, after time.Duration) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, ServerList{Full: true, Servers: servers(4)})
		b.window = 40
		r := &request{class: b.classes["get"], attempts: []*attempt{{}}}
		for i := range 400 {
			b.now, b.inFlight = before, 40
			if i >= 300 {
				b.now = after
			}
			if b.adjustWindow(r, Outcome{Ending: Success}); i == 300 {
				b.window = 40
			}
		}
		return b.window
	}
	if slow, crowded := window(250*msec, 250*msec), window(60*msec, 250*msec); slow <= 40 || crowded >= 40 {
		t.Errorf("window from 40: slow work %.1f, want growth; crowded %.1f, want shrinking", slow, crowded)
	}
}

// Servers that are far slower than others are overloaded, so the window gets smaller while much is shed. Equal
// servers are merely busy, and a smaller window would leave them partly idle.
func TestWindowIsLeanerWhenServersDiffer(t *testing.T) {
	window := func(spread float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
		b.window, b.meanLatencyRatio = 100, 0.4
		r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
		for i := range 50 {
			b.shedShare = 0.8
			for k, s := range b.ready {
				s.samples, s.slowness = 5, spread*float64(k%2)
			}
			b.now, b.inFlight = 200*msec, int(b.window)
			if b.adjustWindow(r, Outcome{Ending: Success}); b.meanLatencyRatio < 0.39 {
				t.Fatalf("fill fell to %.2f at answer %d", b.meanLatencyRatio, i)
			}
		}
		return b.window
	}
	if alike, apart := window(0), window(1); alike <= 100 || apart >= 100 {
		t.Errorf("window from 100: alike %.1f, want growth; apart %.1f, want shrinking", alike, apart)
	}
}
