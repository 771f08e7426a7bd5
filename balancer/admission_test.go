package balancer

import (
	"fmt"
	"testing"
	"time"
)

// While answers are late the window shrinks, but never below its minimum; while they are quick it grows.
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
				open = append(open[1:], sends(endAttempt(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.window > start; grew != tc.grow && tc.grow || b.window < minCallsPerServer*b.fairServers() {
			t.Errorf("answers after %v changed the window from %.1f to %.1f", tc.took, start, b.window)
		}
		if !tc.grow && b.window > minCallsPerServer*b.fairServers()+1 {
			t.Errorf("after late answers the window is %.1f, want its minimum", b.window)
		}
	}
}

// Overload is measured relative to the lowest mean latency: latencies of half the aim are normal if they were never
// lower, and a sign of overload if they were an eighth of the aim before.
func TestWindowComparesLatencyWithBaseline(t *testing.T) {
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
	if slow, overloaded := window(250*msec, 250*msec), window(60*msec, 250*msec); slow <= 40 || overloaded >= 40 {
		t.Errorf("window of 40 changed to %.1f by slow work, want growth; to %.1f by overload, want shrinking", slow, overloaded)
	}
}

// If some servers are far slower than others they are overloaded, so the window shrinks while much is shed. Servers that
// are equally slow are merely busy, and a smaller window would leave them partly idle.
func TestWindowShrinksWhenServersDifferUnderShedding(t *testing.T) {
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
				t.Fatalf("the mean latency ratio fell to %.2f at answer %d", b.meanLatencyRatio, i)
			}
		}
		return b.window
	}
	if equal, unequal := window(0), window(1); equal <= 100 || unequal >= 100 {
		t.Errorf("window of 100 changed to %.1f with equal servers, want growth; to %.1f with unequal ones, want shrinking",
			equal, unequal)
	}
}
