package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// registry simulates a discovery service that serves calls one by one. A call that has waited longer than its
// timeout fails, but the service still works on it, because it does not learn of the timeout.
type registry struct {
	each, timeout time.Duration
	free          time.Duration // when all calls so far are worked off
}

// call returns when a call that arrives now ends, and whether it is answered.
func (r *registry) call(now time.Duration) (time.Duration, bool) {
	r.free = max(r.free, now) + r.each
	if r.free-now > r.timeout {
		return now + r.timeout, false
	}
	return r.free, true
}

// TestCallsToDiscoveryAreSpread: copies that lose their subscriptions at the same time all have new ones within a few
// times what discovery needs for one call of each. If all called at once, or retried without backoff, discovery
// would work on calls that have failed already and answer none in time.
func TestCallsToDiscoveryAreSpread(t *testing.T) {
	for _, c := range []struct {
		copies int
		each   time.Duration
	}{{2, 50 * msec}, {12, 150 * msec}, {40, 150 * msec}, {40, 200 * msec}, {80, 150 * msec}, {150, 50 * msec}} {
		t.Run(fmt.Sprintf("%d copies, %v a call", c.copies, c.each), func(t *testing.T) {
			type event struct {
				at     time.Duration
				copy   int
				failed bool // the call did; else the copy calls
			}
			var events []event
			copies := make([]*Balancer, c.copies)
			plan := func(i int, now time.Duration, acts []Action) {
				for _, a := range acts {
					switch a := a.(type) {
					case Wake:
						if a.Token == "list" {
							events = append(events, event{at: a.At, copy: i})
						}
					case Subscribe:
						t.Fatal("it called without a wait")
					}
				}
			}
			for i := range copies {
				s := testSettings()
				s.AskDiscovery, s.Balancers, s.Index = true, c.copies, i
				b, err := New(s, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				b.Handle(0, ServerList{Full: true, Servers: servers(10)})
				copies[i] = b
				plan(i, 0, b.Handle(0, ListFailed{}))
			}
			discovery := registry{each: c.each, timeout: 2 * time.Second}
			answered := 0
			var last time.Duration
			for len(events) > 0 {
				slices.SortStableFunc(events, func(x, y event) int { return int(x.at - y.at) })
				e := events[0]
				events = events[1:]
				if e.failed {
					plan(e.copy, e.at, copies[e.copy].Handle(e.at, ListFailed{}))
					continue
				}
				called := false
				for _, a := range copies[e.copy].Handle(e.at, Timer{Token: "list"}) {
					_, is := a.(Subscribe)
					called = called || is
				}
				if !called {
					t.Fatalf("copy %d did not call at %v", e.copy, e.at)
				}
				if at, ok := discovery.call(e.at); ok {
					answered, last = answered+1, max(last, at)
					copies[e.copy].Handle(at, ServerList{})
				} else {
					events = append(events, event{at: at, copy: e.copy, failed: true})
				}
				if e.at > time.Minute {
					t.Fatalf("%d of %d answered in a minute", answered, c.copies)
				}
			}
			all := time.Duration(c.copies) * c.each
			if last > 3*all+2*discovery.timeout {
				t.Errorf("the last was answered after %v; one call of each takes %v", last, all)
			}
		})
	}
}

// TestUntoldServers: after ToldAfter without discovery, only servers that have accepted a call of this copy since are
// drawn, even if no server is left.
func TestUntoldServers(t *testing.T) {
	const told = 6 * time.Second
	b := newBalancer(t, func(s *Settings) { s.AskDiscovery, s.ToldAfter = true, told })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	n := 0
	ask := func(now time.Duration) []Send {
		n++
		return sends(b.Handle(now, Request{ID: fmt.Sprint(n), Class: "get", Deadline: now + time.Second}))
	}
	attempts := map[string]int{}
	end := func(now time.Duration, s Send, how Ending) []Action {
		attempts[s.ID]++
		return b.Handle(now, Outcome{
			ID:      s.ID,
			Attempt: attempts[s.ID] - 1,
			Server:  s.Server,
			Ending:  how,
			Ended:   how == Success,
		})
	}
	// Empty updates show that the list is unchanged.
	for now := time.Duration(0); now < 20*time.Second; now += 2 * time.Second {
		b.Handle(now, ServerList{})
		s := ask(now + 1900*msec)
		if len(s) != 1 {
			t.Fatalf("no server drawn at %v", now)
		}
		end(now+1910*msec, s[0], Success)
	}
	last := 18 * time.Second // the last heartbeat
	b.Handle(last+2500*msec, ListFailed{})
	taken := map[string]time.Duration{}
	for now := last + 3*time.Second; now < last+told; now += 100 * msec {
		s := ask(now)
		if len(s) == 0 {
			t.Fatalf("no server drawn at %v", now)
		}
		for at := now + 10*msec; len(s) > 0; at += 10 * msec { // every call gets its end
			how := Overloaded // but for two these turn calls away: they may be draining
			if s[0].Server == "s00" || s[0].Server == "s01" {
				how, taken[s[0].Server] = Success, now
			}
			s = append(s[1:], sends(end(at, s[0], how))...)
		}
	}
	if len(taken) != 2 {
		t.Fatalf("of the two that take calls %v had some", taken)
	}
	for now := last + told + 100*msec; now < last+told+5*time.Second; now += 100 * msec {
		for _, s := range ask(now) {
			at, took := taken[s.Server]
			if !took || now > at+told/2 {
				t.Fatalf("at %v a request goes to %s, that took one last at %v", now, s.Server, at)
			}
			end(now+1*msec, s, Success)
			taken[s.Server] = now
		}
	}
	// After the same silence again no server is known to be there, until discovery sends an update.
	now := last + 30*time.Second
	if s := ask(now); len(s) != 0 {
		t.Fatalf("a request goes to %s of which nothing is known", s[0].Server)
	}
	if s := sends(b.Handle(now+msec, ServerList{Servers: servers(4)})); len(s) != 1 {
		t.Fatalf("discovery is heard, and the held request is sent %d times", len(s))
	}
}

// TestGarbledNews: after a garbled answer, which concerns this copy alone, it subscribes again soon, with a backoff if
// that repeats.
func TestGarbledNews(t *testing.T) {
	wait := func(b *Balancer, now time.Duration, e ListFailed) time.Duration {
		for _, a := range b.Handle(now, e) {
			if w, is := a.(Wake); is && w.Token == "list" {
				return w.At - now
			}
		}
		t.Fatal("no call is planned")
		return 0
	}
	var longest [8]time.Duration
	var lost time.Duration
	for seed := range uint64(200) {
		s := testSettings()
		s.AskDiscovery, s.Balancers = true, 40
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		lost = max(lost, wait(b, 0, ListFailed{}))
		b.Handle(0, ServerList{})
		for i := range longest {
			longest[i] = max(longest[i], wait(b, time.Second, ListFailed{Garbled: true}))
		}
	}
	if longest[0] > 250*msec || lost < 7*time.Second || lost > 10*time.Second {
		t.Errorf("waits up to %v after garbled news and %v after a loss", longest[0], lost)
	}
	for i := range longest[1:] {
		if longest[i+1] < longest[i] && longest[i] < 7*time.Second || longest[i+1] > 10*time.Second {
			t.Errorf("waits after %d failures up to %v", i+1, longest)
		}
	}
}

// TestOverlongCallIsPassedOver: a server with few own calls, one of which is overlong, gets no other while there are other
// servers, even if it answers some: calls of other copies probably wait there, too. If every server has many own
// calls, some are always overlong and prove nothing.
func TestOverlongCallIsPassedOver(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(6)})
	n := 0
	ask := func(now time.Duration) Send {
		n++
		l := sends(b.Handle(now, Request{ID: fmt.Sprint(n), Class: "get", Deadline: now + time.Minute}))
		if len(l) != 1 {
			t.Fatalf("%d sends at %v", len(l), now)
		}
		return l[0]
	}
	end := func(now time.Duration, s Send) {
		b.Handle(now, Outcome{ID: s.ID, Server: s.Server, Latency: 100 * msec, Ended: true})
	}
	var out []Send // five at a time, each for 100 ms
	now := time.Duration(0)
	step := func() Send {
		now += 20 * msec
		if len(out) == 5 {
			end(now, out[0])
			out = out[1:]
		}
		s := ask(now)
		out = append(out, s)
		return s
	}
	for range 500 {
		step()
	}
	stuck := out[len(out)-1] // this one stays
	out = out[:len(out)-1]
	at := now
	drawn := 0
	for now < at+10*time.Second {
		if s := step(); s.Server == stuck.Server && now > at+time.Second {
			t.Fatalf("%v after it took a call that it has not answered, %s gets another", now-at, s.Server)
		} else if s.Server == stuck.Server {
			drawn++
		}
	}
	if drawn == 0 {
		t.Error("it was drawn by none while its call was young: the test shows nothing")
	}
	end(now, stuck) // answered at last: it is drawn again
	for range 500 {
		if step().Server == stuck.Server {
			return
		}
	}
	t.Errorf("%s is never drawn again", stuck.Server)
}
