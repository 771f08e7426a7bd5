package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranegrade/balancer"
)

// listed are servers by zone, as the list tells them.
func listed(zones ...string) (l []balancer.Server) {
	for i, z := range zones {
		l = append(l, balancer.Server{ID: fmt.Sprint("s", i), Zone: z})
	}
	return l
}

func newModule(t testing.TB, cfg Config, limits ...Limit) (*Module, *Book) {
	t.Helper()
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{
			{Name: "read", Effect: balancer.Idempotent, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1},
			{Name: "alert-send", Effect: balancer.IdempotentByKey, Scope: balancer.ScopeAll, Window: 10 * time.Second, Aim: time.Second, Deadline: 2 * time.Second, Worth: 3},
		},
		MaxAttempts: 3, Tick: time.Millisecond, MaxRetryAfter: time.Second,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	book := NewBook(limits)
	return NewModule(b, "p", cfg, book, 1), book
}

func send(acts []balancer.Action) (s balancer.Send, refused bool) {
	for _, a := range acts {
		switch a := a.(type) {
		case balancer.Send:
			s = a
		case balancer.Reject:
			refused = true
		}
	}
	return s, refused
}

// The home zone fails with the budget used up: requests are refused at once, but for the class that may go on, and
// what went is what is accounted.
func TestHomeFailsWithoutBudget(t *testing.T) {
	m, book := newModule(t, Config{Home: "a"}, Limit{Pair: Pair{"a", "b"}, RequestsHour: 2, Beyond: []string{"alert-send"}})
	now := 1000 * hourLong
	m.Handle(now, balancer.ServerList{Full: true, Servers: listed("a", "b", "b")})
	ask := func(class string) (balancer.Send, bool) {
		now += ms
		return send(m.Handle(now, balancer.Request{ID: now.String(), Class: class, Deadline: now + 2*time.Second, Tenant: "acme", Size: 10}))
	}
	end := func(s balancer.Send, how balancer.Ending) {
		m.Handle(now, balancer.Outcome{ID: s.ID, Server: s.Server, Ending: how, Ended: how == balancer.Success, Wrote: how == balancer.Success, Out: 10, In: 20})
	}
	s, _ := ask("read")
	if s.Server != "s0" {
		t.Fatalf("goes to %s, not home", s.Server)
	}
	end(s, balancer.Success)
	m.Handle(now, balancer.ServerList{Servers: []balancer.Server{{ID: "s0", Zone: "a", State: balancer.Gone}}})
	for range 2 {
		s, refused := ask("read")
		if refused || s.Server == "s0" {
			t.Fatalf("%+v refused: %v", s, refused)
		}
		end(s, balancer.Success)
	}
	if s, refused := ask("read"); !refused {
		t.Errorf("beyond the budget it goes to %s", s.Server)
	}
	s, refused := ask("alert-send")
	if refused {
		t.Error("an alert is refused")
	}
	end(s, balancer.Success)
	var across Traffic
	for _, r := range book.Rows() {
		if r.Pair.From != r.Pair.To {
			across.Requests += r.Requests
			across.Out += r.Out
			across.In += r.In
		}
	}
	if across != (Traffic{3, 30, 60}) {
		t.Errorf("across %+v", across)
	}
	if len(m.open) != 0 {
		t.Errorf("%d requests are kept", len(m.open))
	}
}

// A request that fails at home is tried in another zone, and pays for it.
func TestRetryCrosses(t *testing.T) {
	m, book := newModule(t, Config{Home: "a"}, Limit{Pair: Pair{"a", "b"}, RequestsHour: 100})
	now := 1000 * hourLong
	m.Handle(now, balancer.ServerList{Full: true, Servers: listed("a", "b")})
	s, _ := send(m.Handle(now, balancer.Request{ID: "1", Class: "read", Deadline: now + 2*time.Second}))
	if s.Server != "s0" {
		t.Fatalf("goes to %s", s.Server)
	}
	if r := book.Remaining(now)[Pair{"a", "b"}][0][hour]; r != 99 {
		t.Errorf("%d requests left while one may cross", r)
	}
	s, _ = send(m.Handle(now+ms, balancer.Outcome{ID: "1", Attempt: 0, Server: "s0", Ending: balancer.Unreachable}))
	if s.Server != "s1" {
		t.Fatalf("the next attempt goes to %q", s.Server)
	}
	m.Handle(now+2*ms, balancer.Outcome{ID: "1", Attempt: 1, Server: "s1", Ending: balancer.Success, Ended: true, Wrote: true})
	if r := book.Remaining(now)[Pair{"a", "b"}][0][hour]; r != 99 {
		t.Errorf("%d requests left after one crossed", r)
	}
	// A request that ends at home gives back what it did not need.
	s, _ = send(m.Handle(now+3*ms, balancer.Request{ID: "2", Class: "read", Deadline: now + 2*time.Second}))
	m.Handle(now+4*ms, balancer.Outcome{ID: "2", Server: s.Server, Ending: balancer.Success, Ended: true, Wrote: true})
	if r := book.Remaining(now)[Pair{"a", "b"}][0][hour]; r != 99 {
		t.Errorf("%d requests left after one that stayed", r)
	}
}

// Proxies of one zone that ask an instance of another are accounted by their own; a zone that is made up is not.
func TestCallersZone(t *testing.T) {
	m, book := newModule(t, Config{Home: "a"})
	now := 1000 * hourLong
	m.Handle(now, balancer.ServerList{Full: true, Servers: listed("a", "b")})
	for i, from := range []string{"b", "made up"} {
		s, _ := send(m.Handle(now, balancer.Request{ID: from, Class: "read", Deadline: now + time.Second, From: from}))
		if want := []string{"s1", "s0"}[i]; s.Server != want {
			t.Errorf("from %s to %s", from, s.Server)
		}
		m.Handle(now+ms, balancer.Outcome{ID: from, Server: s.Server, Ending: balancer.Success, Ended: true, Wrote: true})
	}
	if got := fmt.Sprint(book.Rows()); got != "[{{41 a > a p read } {1 0 0}} {{41 b > b p read } {1 0 0}}]" {
		t.Errorf("rows %s", got)
	}
}

// TestModuleKeepsNothing: after any course of events nothing is left of requests that are over, budgets have no
// reservation left, and what is accounted is what was written.
func TestModuleKeepsNothing(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m, book := newModule(t, Config{Home: "a"}, Limit{Pair: Pair{"a", "b"}, RequestsDay: 50}, Limit{Pair: Pair{"a", "c"}, BytesDay: 1 << 20})
		now := 1000 * hourLong
		m.Handle(now, balancer.ServerList{Full: true, Servers: listed("a", "a", "b", "b", "c", "")})
		type out struct {
			id, server string
			n          int
		}
		var open []out
		tries := map[string]int{}
		var wrote Traffic
		carry := func(acts []balancer.Action) {
			for _, a := range acts {
				if s, is := a.(balancer.Send); is {
					open = append(open, out{s.ID, s.Server, tries[s.ID]})
					tries[s.ID]++
				}
			}
		}
		for i := range 2000 {
			now += time.Duration(rng.IntN(20)) * ms
			switch x := rng.IntN(20); {
			case x < 9:
				carry(m.Handle(now, balancer.Request{ID: fmt.Sprint(i), Class: []string{"read", "alert-send"}[rng.IntN(2)], Deadline: now + time.Second, Size: 5}))
			case x == 9:
				s := balancer.Server{ID: fmt.Sprint("s", rng.IntN(6)), Zone: []string{"a", "b", "c", ""}[rng.IntN(4)], State: balancer.ServerState(rng.IntN(3))}
				carry(m.Handle(now, balancer.ServerList{Servers: []balancer.Server{s}}))
			case x == 10:
				carry(m.Handle(now, balancer.ClientGone{ID: fmt.Sprint(rng.IntN(i + 1))}))
			case len(open) > 0:
				j := rng.IntN(len(open))
				o := open[j]
				open = append(open[:j], open[j+1:]...)
				e := balancer.Outcome{ID: o.id, Attempt: o.n, Server: o.server, Ending: balancer.Ending(rng.IntN(8)), Out: 5, In: 7}
				e.Wrote = e.Ending != balancer.Unreachable && e.Ending != balancer.NeverSent
				e.Ended = e.Ending == balancer.Success
				if e.Wrote {
					wrote.Requests, wrote.Out, wrote.In = wrote.Requests+1, wrote.Out+5, wrote.In+7
				}
				carry(m.Handle(now, e))
			}
		}
		for now += 10 * time.Second; len(open) > 0; open = open[1:] {
			o := open[0]
			wrote.Requests, wrote.Out, wrote.In = wrote.Requests+1, wrote.Out+5, wrote.In+7
			carry(m.Handle(now, balancer.Outcome{ID: o.id, Attempt: o.n, Server: o.server, Ending: balancer.TimedOut, Wrote: true, Out: 5, In: 7}))
		}
		for id := range m.open { // held for want of a server until their callers left
			carry(m.Handle(now, balancer.ClientGone{ID: id}))
		}
		if len(m.open) != 0 {
			t.Fatalf("seed %d: %d requests are kept", seed, len(m.open))
		}
		total := Sum(book.Rows(), func(Key) Key { return Key{} })
		if len(total) != 1 || total[0].Traffic != wrote {
			t.Fatalf("seed %d: accounted %+v, written %+v", seed, total, wrote)
		}
		for p, b := range book.budgets {
			if b.reservedRe != [2]int64{} || b.reservedBy != [2]int64{} {
				t.Fatalf("seed %d: %v has %v and %v reserved", seed, p, b.reservedRe, b.reservedBy)
			}
			if p.To == "b" && b.requests[day] > 50 {
				t.Fatalf("seed %d: %d requests crossed", seed, b.requests[day])
			}
		}
	}
}

// BenchmarkChoose is a request's way through the module round the module, against without it.
func BenchmarkChoose(b *testing.B) {
	for _, zones := range []int{0, 3, 12} {
		b.Run(fmt.Sprint(zones, " zones"), func(b *testing.B) {
			m, _ := newModule(b, Config{Home: "z0"}, Limit{Pair: Pair{"z0", "z1"}, RequestsDay: 1 << 40})
			var l []balancer.Server
			for i := range 60 {
				l = append(l, balancer.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%max(1, zones))})
			}
			var h Decider = m
			if zones == 0 {
				h = m.next
			}
			h.Handle(0, balancer.ServerList{Full: true, Servers: l})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * ms
				id := fmt.Sprint(i)
				s, _ := send(h.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + time.Second}))
				h.Handle(now+ms/2, balancer.Outcome{ID: id, Server: s.Server, Ending: balancer.Success, Ended: true, Wrote: true})
			}
		})
	}
}
