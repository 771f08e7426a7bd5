package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// runRandomEvents passes random events, valid and invalid ones, to a Balancer, and to a checker if c is not nil. It
// returns a text for each action, and the Balancer.
func runRandomEvents(t testing.TB, set Settings, seed uint64, steps int, c *checker) (log []string, b *Balancer) {
	rng := rand.New(rand.NewPCG(seed, 1))
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	type pendingAttempt struct {
		id       string
		number   int
		server   string
		endsAt   time.Duration
		timesOut bool
	}
	var pending []pendingAttempt
	var timers []Wake
	var ids []string
	list := servers(8)
	now := time.Duration(0)
	handle := func(e Event) {
		if c != nil {
			c.event(now, e)
		}
		actions := b.Handle(now, e)
		if c != nil {
			c.actions(now, actions)
		}
		for _, a := range actions {
			log = append(log, fmt.Sprintf("%v %T%v", now, a, a))
			switch a := a.(type) {
			case Send:
				number := 0
				for _, p := range pending {
					if p.id == a.ID && p.number >= number {
						number = p.number + 1
					}
				}
				if r := b.requests[a.ID]; r != nil {
					number = len(r.attempts) - 1
				}
				took := time.Duration(rng.ExpFloat64() * float64(120*msec))
				p := pendingAttempt{a.ID, number, a.Server, now + took, false}
				if rng.IntN(8) == 0 || took > a.Timeout {
					p.endsAt, p.timesOut = now+a.Timeout, true
				}
				pending = append(pending, p)
			case Wake:
				timers = append(timers, a)
			}
		}
	}
	handle(ServerList{Full: true, Cached: true, Servers: list})
	ended := map[string]bool{}
	for i := range steps {
		now += 2 * msec
		for k := 0; k < len(timers); k++ {
			if w := timers[k]; w.At <= now {
				timers = append(timers[:k], timers[k+1:]...)
				k--
				handle(Timer{Token: w.Token})
				if rng.IntN(20) == 0 {
					handle(Timer{Token: w.Token})
				}
			}
		}
		for k := 0; k < len(pending); k++ {
			p := pending[k]
			if p.endsAt > now {
				continue
			}
			pending = append(pending[:k], pending[k+1:]...)
			k--
			e := Outcome{ID: p.id, Attempt: p.number, Server: p.server, Ending: Success}
			switch {
			case p.timesOut:
				e.Ending = TimedOut
			case rng.IntN(3) == 0:
				e.Ending = Ending(1 + rng.IntN(int(NeverSent)))
			}
			if r := b.requests[p.id]; e.Ending == Success || r == nil || r.answered {
				ended[p.id] = true
			}
			e.Ended = ended[p.id]
			handle(e)
			if rng.IntN(10) == 0 {
				handle(e)
			}
			if rng.IntN(30) == 0 {
				handle(ClientGone{ID: p.id})
				ended[p.id] = true
			}
		}
		if i < steps*3/4 && rng.IntN(3) == 0 {
			id := fmt.Sprint("r", i)
			class := []string{"get", "post", "pay", "odd"}[rng.IntN(4)]
			ids = append(ids, id)
			handle(Request{ID: id, Class: class, Deadline: now + time.Duration(1+rng.IntN(1500))*msec})
		}
		if rng.IntN(60) == 0 {
			s := &list[rng.IntN(len(list))]
			s.State = ServerState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				s.State, s.StartedAt = Ready, now
			}
			switch rng.IntN(4) {
			case 0:
				var remaining []Server
				for _, s := range list {
					if s.State != Gone {
						remaining = append(remaining, s)
					}
				}
				handle(ServerList{Full: true, Servers: remaining})
			case 1:
				handle(ListFailed{})
				handle(ServerList{Servers: []Server{*s}})
			default:
				handle(ServerList{Servers: []Server{*s}})
			}
		}
		if rng.IntN(40) == 0 {
			handle(Outcome{ID: "nobody", Attempt: 3, Ending: Success})
			handle(Timer{Token: "r:nobody"})
			handle(Timer{Token: "x"})
			handle(ClientGone{ID: "nobody"})
		}
		if rng.IntN(50) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			handle(ClientGone{ID: id})
			ended[id] = true
		}
	}
	return log, b
}

// On random events the Balancer violates no rule of the checker, and keeps no state of requests that have ended or of
// servers that are gone.
func TestRandomEventsViolateNoRule(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := testSettings()
		set.Tier = int(seed % 2)
		set.SecondCopies = seed%3 != 0
		set.AskDiscovery = seed%4 == 0
		c := newChecker(set)
		log, b := runRandomEvents(t, set, seed, 6000, c)
		for i, s := range c.violations {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.queue) > 0 || b.inFlight != 0 {
			t.Errorf("seed %d: %d requests, %d queued ones and %d calls remain", seed, len(b.requests),
				len(b.queue), b.inFlight)
		}
		for id, s := range b.servers {
			if !s.listed || s.calls != 0 || len(s.waitingAttempts) != 0 {
				t.Errorf("seed %d: server %s is gone or has calls in the end", seed, id)
			}
		}
	}
}

// The actions depend only on the events and the seed, not on other Balancers in the process.
func TestSameEventsSameActions(t *testing.T) {
	a, _ := runRandomEvents(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // another Balancer in the process
	other.Handle(0, ServerList{Full: true, Servers: servers(3)})
	b, _ := runRandomEvents(t, testSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed led to different actions")
	}
}
