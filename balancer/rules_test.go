package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// run passes random events, valid and unusual ones, to a Balancer, and returns all its actions.
func run(t testing.TB, set Settings, seed uint64, steps int, c *checker) (log []string, b *Balancer) {
	rng := rand.New(rand.NewPCG(seed, 1))
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	type pending struct {
		id      string
		n       int
		server  string
		due     time.Duration
		timeout bool
	}
	var out []pending
	var timers []Wake
	var ids []string
	fleet := servers(8)
	now := time.Duration(0)
	give := func(e Event) {
		if c != nil {
			c.event(now, e)
		}
		acts := b.Handle(now, e)
		if c != nil {
			c.actions(now, acts)
		}
		for _, a := range acts {
			log = append(log, fmt.Sprintf("%v %T%v", now, a, a))
			switch a := a.(type) {
			case Send:
				n := 0
				for _, p := range out {
					if p.id == a.ID && p.n >= n {
						n = p.n + 1
					}
				}
				if r := b.requests[a.ID]; r != nil {
					n = len(r.attempts) - 1
				}
				took := time.Duration(rng.ExpFloat64() * float64(120*msec))
				p := pending{a.ID, n, a.Server, now + took, false}
				if rng.IntN(8) == 0 || took > a.Timeout {
					p.due, p.timeout = now+a.Timeout, true
				}
				out = append(out, p)
			case Wake:
				timers = append(timers, a)
			}
		}
	}
	give(ServerList{Full: true, Cached: true, Servers: fleet})
	ended := map[string]bool{}
	for i := range steps {
		now += 2 * msec
		for k := 0; k < len(timers); k++ {
			if w := timers[k]; w.At <= now {
				timers = append(timers[:k], timers[k+1:]...)
				k--
				give(Timer{Token: w.Token})
				if rng.IntN(20) == 0 {
					give(Timer{Token: w.Token})
				}
			}
		}
		for k := 0; k < len(out); k++ {
			p := out[k]
			if p.due > now {
				continue
			}
			out = append(out[:k], out[k+1:]...)
			k--
			e := Outcome{ID: p.id, Attempt: p.n, Server: p.server, Ending: Success}
			switch {
			case p.timeout:
				e.Ending = TimedOut
			case rng.IntN(3) == 0:
				e.Ending = Ending(1 + rng.IntN(int(NeverSent)))
			}
			if r := b.requests[p.id]; e.Ending == Success || r == nil || r.answered {
				ended[p.id] = true
			}
			e.Ended = ended[p.id]
			give(e)
			if rng.IntN(10) == 0 {
				give(e)
			}
			if rng.IntN(30) == 0 {
				give(ClientGone{ID: p.id})
				ended[p.id] = true
			}
		}
		if i < steps*3/4 && rng.IntN(3) == 0 {
			id := fmt.Sprint("r", i)
			class := []string{"get", "post", "pay", "odd"}[rng.IntN(4)]
			ids = append(ids, id)
			give(Request{ID: id, Class: class, Deadline: now + time.Duration(1+rng.IntN(1500))*msec})
		}
		if rng.IntN(60) == 0 {
			s := &fleet[rng.IntN(len(fleet))]
			s.State = ServerState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				s.State, s.StartedAt = Ready, now
			}
			switch rng.IntN(4) {
			case 0:
				var l []Server
				for _, s := range fleet {
					if s.State != Gone {
						l = append(l, s)
					}
				}
				give(ServerList{Full: true, Servers: l})
			case 1:
				give(ListFailed{})
				give(ServerList{Servers: []Server{*s}})
			default:
				give(ServerList{Servers: []Server{*s}})
			}
		}
		if rng.IntN(40) == 0 {
			give(Outcome{ID: "nobody", Attempt: 3, Ending: Success})
			give(Timer{Token: "r:nobody"})
			give(Timer{Token: "x"})
			give(ClientGone{ID: "nobody"})
		}
		if rng.IntN(50) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			give(ClientGone{ID: id})
			ended[id] = true
		}
	}
	return log, b
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := testSettings()
		set.Tier = int(seed % 2)
		set.SecondCopies = seed%3 != 0
		set.AskDiscovery = seed%4 == 0
		c := newChecker(set)
		log, b := run(t, set, seed, 6000, c)
		for i, s := range c.broken {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.queue) > 0 || b.inFlight != 0 {
			t.Errorf("seed %d: %d requests, %d held and %d calls are left over", seed, len(b.requests),
				len(b.queue), b.inFlight)
		}
		for id, s := range b.servers {
			if !s.listed || s.calls != 0 || len(s.waitingAttempts) != 0 {
				t.Errorf("seed %d: server %s is left over", seed, id)
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, _ := run(t, testSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a neighbour in the process changes nothing
	other.Handle(0, ServerList{Full: true, Servers: servers(3)})
	b, _ := run(t, testSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed gave other actions")
	}
}
