package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fakeDiscovery simulates a discovery service that serves calls one by one. A call that has waited longer than its
// timeout fails, but the service still processes it, because it does not notice the timeout.
type fakeDiscovery struct {
	serviceTime, timeout time.Duration
	idleAt               time.Duration // when all calls so far have been processed
}

// call returns when a call that arrives now ends, and whether it is answered.
func (d *fakeDiscovery) call(now time.Duration) (time.Duration, bool) {
	d.idleAt = max(d.idleAt, now) + d.serviceTime
	if d.idleAt-now > d.timeout {
		return now + d.timeout, false
	}
	return d.idleAt, true
}

// Replicas that lose their subscriptions at the same time all get new ones within a small multiple of the time that
// discovery needs for one call from each. If all called at once, or retried without backoff, discovery would process calls
// that have timed out already and answer none in time.
func TestSubscribeCallsAreSpread(t *testing.T) {
	for _, c := range []struct {
		replicas    int
		serviceTime time.Duration
	}{{2, 50 * msec}, {12, 150 * msec}, {40, 150 * msec}, {40, 200 * msec}, {80, 150 * msec}, {150, 50 * msec}} {
		t.Run(fmt.Sprintf("%d replicas, %v per call", c.replicas, c.serviceTime), func(t *testing.T) {
			type event struct {
				at      time.Duration
				replica int
				failed  bool // the call failed; otherwise it is time for a call
			}
			var events []event
			replicas := make([]*Balancer, c.replicas)
			schedule := func(i int, now time.Duration, actions []Action) {
				for _, a := range actions {
					switch a := a.(type) {
					case Wake:
						if a.Token == "list" {
							events = append(events, event{at: a.At, replica: i})
						}
					case Subscribe:
						t.Fatal("Subscribe without a delay")
					}
				}
			}
			for i := range replicas {
				s := testSettings()
				s.AskDiscovery, s.Balancers, s.Index = true, c.replicas, i
				b, err := New(s, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				b.Handle(0, ServerList{Full: true, Servers: servers(10)})
				replicas[i] = b
				schedule(i, 0, b.Handle(0, ListFailed{}))
			}
			discovery := fakeDiscovery{serviceTime: c.serviceTime, timeout: 2 * time.Second}
			answered := 0
			var last time.Duration
			for len(events) > 0 {
				slices.SortStableFunc(events, func(x, y event) int { return int(x.at - y.at) })
				e := events[0]
				events = events[1:]
				if e.failed {
					schedule(e.replica, e.at, replicas[e.replica].Handle(e.at, ListFailed{}))
					continue
				}
				called := false
				for _, a := range replicas[e.replica].Handle(e.at, Timer{Token: "list"}) {
					_, ok := a.(Subscribe)
					called = called || ok
				}
				if !called {
					t.Fatalf("no Subscribe by replica %d at %v", e.replica, e.at)
				}
				if at, ok := discovery.call(e.at); ok {
					answered, last = answered+1, max(last, at)
					replicas[e.replica].Handle(at, ServerList{})
				} else {
					events = append(events, event{at: at, replica: e.replica, failed: true})
				}
				if e.at > time.Minute {
					t.Fatalf("%d of %d replicas were answered within a minute", answered, c.replicas)
				}
			}
			all := time.Duration(c.replicas) * c.serviceTime
			if last > 3*all+2*discovery.timeout {
				t.Errorf("the last replica was answered after %v; one call from each takes %v", last, all)
			}
		})
	}
}

// After ToldAfter without an update from discovery, only servers that have recently accepted a call of this replica get
// requests, even if that leaves no server.
func TestOnlyAcceptingServersAreUsedWithoutDiscovery(t *testing.T) {
	const toldAfter = 6 * time.Second
	b := newBalancer(t, func(s *Settings) { s.AskDiscovery, s.ToldAfter = true, toldAfter })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	n := 0
	request := func(now time.Duration) []Send {
		n++
		return sends(b.Handle(now, Request{ID: fmt.Sprint(n), Class: "get", Deadline: now + time.Second}))
	}
	attempts := map[string]int{}
	end := func(now time.Duration, s Send, ending Ending) []Action {
		attempts[s.ID]++
		return b.Handle(now, Outcome{
			ID:      s.ID,
			Attempt: attempts[s.ID] - 1,
			Server:  s.Server,
			Ending:  ending,
			Ended:   ending == Success,
		})
	}
	// Empty updates show that the list is unchanged.
	for now := time.Duration(0); now < 20*time.Second; now += 2 * time.Second {
		b.Handle(now, ServerList{})
		s := request(now + 1900*msec)
		if len(s) != 1 {
			t.Fatalf("no server was selected at %v", now)
		}
		end(now+1910*msec, s[0], Success)
	}
	last := 18 * time.Second // the last heartbeat
	b.Handle(last+2500*msec, ListFailed{})
	acceptedAt := map[string]time.Duration{}
	for now := last + 3*time.Second; now < last+toldAfter; now += 100 * msec {
		s := request(now)
		if len(s) == 0 {
			t.Fatalf("no server was selected at %v", now)
		}
		for at := now + 10*msec; len(s) > 0; at += 10 * msec { // until no attempt is in flight
			ending := Overloaded // two servers accept calls, the others refuse them as draining ones do
			if s[0].Server == "s00" || s[0].Server == "s01" {
				ending, acceptedAt[s[0].Server] = Success, now
			}
			s = append(s[1:], sends(end(at, s[0], ending))...)
		}
	}
	if len(acceptedAt) != 2 {
		t.Fatalf("accepted calls by server: %v, want calls at both accepting servers", acceptedAt)
	}
	for now := last + toldAfter + 100*msec; now < last+toldAfter+5*time.Second; now += 100 * msec {
		for _, s := range request(now) {
			at, ok := acceptedAt[s.Server]
			if !ok || now > at+toldAfter/2 {
				t.Fatalf("at %v a request was sent to %s, which last accepted one at %v", now, s.Server, at)
			}
			end(now+1*msec, s, Success)
			acceptedAt[s.Server] = now
		}
	}
	// Without calls or updates for that time no server gets requests, until discovery sends an update.
	now := last + 30*time.Second
	if s := request(now); len(s) != 0 {
		t.Fatalf("a request was sent to %s, which may be gone", s[0].Server)
	}
	if s := sends(b.Handle(now+msec, ServerList{Servers: servers(4)})); len(s) != 1 {
		t.Fatalf("after an update the queued request was sent %d times, want once", len(s))
	}
}

// After a malformed answer, which concerns this replica alone, it subscribes again soon, with a backoff if that repeats.
func TestMalformedAnswerIsFollowedByEarlySubscribe(t *testing.T) {
	delay := func(b *Balancer, now time.Duration, e ListFailed) time.Duration {
		for _, a := range b.Handle(now, e) {
			if w, ok := a.(Wake); ok && w.Token == "list" {
				return w.At - now
			}
		}
		t.Fatal("no Subscribe is scheduled")
		return 0
	}
	var longest [8]time.Duration
	var longestAfterLoss time.Duration
	for seed := range uint64(200) {
		s := testSettings()
		s.AskDiscovery, s.Balancers = true, 40
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		longestAfterLoss = max(longestAfterLoss, delay(b, 0, ListFailed{}))
		b.Handle(0, ServerList{})
		for i := range longest {
			longest[i] = max(longest[i], delay(b, time.Second, ListFailed{Garbled: true}))
		}
	}
	if longest[0] > 250*msec || longestAfterLoss < 7*time.Second || longestAfterLoss > 10*time.Second {
		t.Errorf("delays of up to %v after a malformed answer and %v after a lost subscription", longest[0], longestAfterLoss)
	}
	for i := range longest[1:] {
		if longest[i+1] < longest[i] && longest[i] < 7*time.Second || longest[i+1] > 10*time.Second {
			t.Errorf("the longest delays after each failure are %v: wrong after index %d", longest, i)
		}
	}
}

// A server with few calls, one of which waits far longer than usual, gets no other call while there are other servers, even
// if it answers some: calls of other replicas probably wait there, too. If every server has many calls, some always wait
// long and prove nothing.
func TestServerWithOutlierCallIsSkipped(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(6)})
	n := 0
	request := func(now time.Duration) Send {
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
	var inFlight []Send // five calls at a time, each for 100 ms
	now := time.Duration(0)
	step := func() Send {
		now += 20 * msec
		if len(inFlight) == 5 {
			end(now, inFlight[0])
			inFlight = inFlight[1:]
		}
		s := request(now)
		inFlight = append(inFlight, s)
		return s
	}
	for range 500 {
		step()
	}
	stuck := inFlight[len(inFlight)-1] // not answered until the end of the test
	inFlight = inFlight[:len(inFlight)-1]
	stuckAt := now
	otherCalls := 0 // at the server of the unanswered call
	for now < stuckAt+10*time.Second {
		if s := step(); s.Server == stuck.Server && now > stuckAt+time.Second {
			t.Fatalf("%s gets another call %v after one that it has not answered", s.Server, now-stuckAt)
		} else if s.Server == stuck.Server {
			otherCalls++
		}
	}
	if otherCalls == 0 {
		t.Error("the server got no other call soon after the unanswered one: the test proves nothing")
	}
	end(now, stuck) // the answer comes, so the server is used again
	for range 500 {
		if step().Server == stuck.Server {
			return
		}
	}
	t.Errorf("%s gets no calls after its answer", stuck.Server)
}
