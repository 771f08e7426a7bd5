package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranegrade/balancer"
)

// serversOf returns ready servers s0, s1, ... in the given zones.
func serversOf(zones ...string) []balancer.Server {
	var servers []balancer.Server
	for i, zone := range zones {
		servers = append(servers, balancer.Server{ID: fmt.Sprint("s", i), Zone: zone})
	}
	return servers
}

// newModule returns a Module around a real decision module, as in a node.
func newModule(t testing.TB, config Config, limits ...Limit) (*Module, *Accounting) {
	t.Helper()
	next, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{
			{Name: "read", Effect: balancer.Idempotent, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1},
			{
				Name: "alert-send", Effect: balancer.IdempotentByKey, Scope: balancer.ScopeAll, Window: 10 * time.Second,
				Aim: time.Second, Deadline: 2 * time.Second, Worth: 3,
			},
		},
		MaxAttempts: 3, Tick: time.Millisecond, MaxRetryAfter: time.Second,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	accounting := NewAccounting(limits)
	return NewModule(next, "p", config, accounting, 1), accounting
}

// sent returns the last Send among the actions, and whether there is a Reject among them.
func sent(actions []balancer.Action) (send balancer.Send, rejected bool) {
	for _, action := range actions {
		switch a := action.(type) {
		case balancer.Send:
			send = a
		case balancer.Reject:
			rejected = true
		}
	}
	return send, rejected
}

// When the home zone has failed and the budget is exhausted, further requests are rejected at once, except those of exempt
// classes. The account shows the requests that crossed.
func TestExhaustedBudgetRejectsAllButExemptClasses(t *testing.T) {
	m, accounting := newModule(t, Config{Home: "a"}, Limit{Pair: Pair{"a", "b"}, RequestsHour: 2, ExemptClasses: []string{"alert-send"}})
	now := 1000 * time.Hour
	m.Handle(now, balancer.ServerList{Full: true, Servers: serversOf("a", "b", "b")})
	request := func(class string) (balancer.Send, bool) {
		now += ms
		return sent(m.Handle(now, balancer.Request{ID: now.String(), Class: class, Deadline: now + 2*time.Second, Tenant: "acme", Size: 10}))
	}
	succeed := func(s balancer.Send) {
		m.Handle(now, balancer.Outcome{ID: s.ID, Server: s.Server, Ending: balancer.Success, Ended: true, Wrote: true, Out: 10, In: 20})
	}
	send, _ := request("read")
	if send.Server != "s0" {
		t.Fatalf("the request goes to %s, want the home server s0", send.Server)
	}
	succeed(send)
	m.Handle(now, balancer.ServerList{Servers: []balancer.Server{{ID: "s0", Zone: "a", State: balancer.Gone}}})
	for range 2 {
		send, rejected := request("read")
		if rejected || send.Server == "s0" {
			t.Fatalf("%+v rejected: %v", send, rejected)
		}
		succeed(send)
	}
	if send, rejected := request("read"); !rejected {
		t.Errorf("a request beyond the budget goes to %s", send.Server)
	}
	send, rejected := request("alert-send")
	if rejected {
		t.Error("a request of the exempt class is rejected")
	}
	succeed(send)
	var crossed Traffic
	for _, row := range accounting.Rows() {
		if row.Pair.From != row.Pair.To {
			crossed.add(row.Traffic)
		}
	}
	if crossed != (Traffic{3, 30, 60}) {
		t.Errorf("traffic between zones: %+v", crossed)
	}
	if len(m.openRequests) != 0 {
		t.Errorf("%d finished requests are still stored", len(m.openRequests))
	}
}

// A request that fails in the home zone is retried in another zone and spends its reservation. One that succeeds in the home
// zone returns it.
func TestRetryInAnotherZoneSpendsItsReservation(t *testing.T) {
	m, accounting := newModule(t, Config{Home: "a"}, Limit{Pair: Pair{"a", "b"}, RequestsHour: 100})
	now := 1000 * time.Hour
	remaining := func() int64 { return accounting.Remaining(now)[Pair{"a", "b"}].RequestsHour }
	m.Handle(now, balancer.ServerList{Full: true, Servers: serversOf("a", "b")})
	send, _ := sent(m.Handle(now, balancer.Request{ID: "1", Class: "read", Deadline: now + 2*time.Second}))
	if send.Server != "s0" {
		t.Fatalf("the first attempt goes to %s", send.Server)
	}
	if n := remaining(); n != 99 {
		t.Errorf("%d requests remain while one may cross", n)
	}
	send, _ = sent(m.Handle(now+ms, balancer.Outcome{ID: "1", Attempt: 0, Server: "s0", Ending: balancer.Unreachable}))
	if send.Server != "s1" {
		t.Fatalf("the retry goes to %q", send.Server)
	}
	m.Handle(now+2*ms, balancer.Outcome{ID: "1", Attempt: 1, Server: "s1", Ending: balancer.Success, Ended: true, Wrote: true})
	if n := remaining(); n != 99 {
		t.Errorf("%d requests remain after one crossed", n)
	}
	send, _ = sent(m.Handle(now+3*ms, balancer.Request{ID: "2", Class: "read", Deadline: now + 2*time.Second}))
	m.Handle(now+4*ms, balancer.Outcome{ID: "2", Server: send.Server, Ending: balancer.Success, Ended: true, Wrote: true})
	if n := remaining(); n != 99 {
		t.Errorf("%d requests remain after one that stayed", n)
	}
}

// Traffic of a proxy that uses a node in another zone is accounted under the proxy's zone. A zone name that does not exist
// counts as the home zone.
func TestTrafficIsAccountedByTheClientsZone(t *testing.T) {
	m, accounting := newModule(t, Config{Home: "a"})
	now := 1000 * time.Hour
	m.Handle(now, balancer.ServerList{Full: true, Servers: serversOf("a", "b")})
	for i, from := range []string{"b", "made up"} {
		send, _ := sent(m.Handle(now, balancer.Request{ID: from, Class: "read", Deadline: now + time.Second, From: from}))
		if want := []string{"s1", "s0"}[i]; send.Server != want {
			t.Errorf("from %s to %s", from, send.Server)
		}
		m.Handle(now+ms, balancer.Outcome{ID: from, Server: send.Server, Ending: balancer.Success, Ended: true, Wrote: true})
	}
	if got := fmt.Sprint(accounting.Rows()); got != "[{{41 a > a p read } {1 0 0}} {{41 b > b p read } {1 0 0}}]" {
		t.Errorf("rows %s", got)
	}
}

// randomTraffic drives a Module with random events, and independently counts the traffic written.
type randomTraffic struct {
	module   *Module
	random   *rand.Rand
	now      time.Duration
	inFlight []sentAttempt
	attempts map[string]int // of each request
	written  Traffic
}

type sentAttempt struct {
	id, server string
	number     int
}

func (r *randomTraffic) handle(event balancer.Event) {
	for _, action := range r.module.Handle(r.now, event) {
		if send, ok := action.(balancer.Send); ok {
			r.inFlight = append(r.inFlight, sentAttempt{send.ID, send.Server, r.attempts[send.ID]})
			r.attempts[send.ID]++
		}
	}
}

// step makes the i-th event: a request, a server list update, a client disconnect, or the end of an attempt.
func (r *randomTraffic) step(i int) {
	random := r.random
	r.now += time.Duration(random.IntN(20)) * ms
	switch kind := random.IntN(20); {
	case kind < 9:
		class := []string{"read", "alert-send"}[random.IntN(2)]
		r.handle(balancer.Request{ID: fmt.Sprint(i), Class: class, Deadline: r.now + time.Second, Size: 5})
	case kind == 9:
		server := balancer.Server{
			ID: fmt.Sprint("s", random.IntN(6)), Zone: []string{"a", "b", "c", ""}[random.IntN(4)], State: balancer.ServerState(random.IntN(3)),
		}
		r.handle(balancer.ServerList{Servers: []balancer.Server{server}})
	case kind == 10:
		r.handle(balancer.ClientGone{ID: fmt.Sprint(random.IntN(i + 1))})
	case len(r.inFlight) > 0:
		j := random.IntN(len(r.inFlight))
		attempt := r.inFlight[j]
		r.inFlight = append(r.inFlight[:j], r.inFlight[j+1:]...)
		r.end(attempt, balancer.Ending(random.IntN(8)))
	}
}

func (r *randomTraffic) end(attempt sentAttempt, ending balancer.Ending) {
	wrote := ending != balancer.Unreachable && ending != balancer.NeverSent
	if wrote {
		r.written.add(Traffic{Requests: 1, Out: 5, In: 7})
	}
	r.handle(balancer.Outcome{
		ID: attempt.id, Attempt: attempt.number, Server: attempt.server, Ending: ending, Out: 5, In: 7,
		Wrote: wrote, Ended: ending == balancer.Success,
	})
}

// drain times out all attempts, and disconnects the clients of requests that are waiting for a server.
func (r *randomTraffic) drain() {
	for r.now += 10 * time.Second; len(r.inFlight) > 0; r.inFlight = r.inFlight[1:] {
		r.end(r.inFlight[0], balancer.TimedOut)
	}
	for id := range r.module.openRequests {
		r.handle(balancer.ClientGone{ID: id})
	}
}

// After any sequence of events no finished request is stored, no budget has a reservation left, and the account equals the
// traffic written.
func TestModuleForgetsFinishedRequests(t *testing.T) {
	for seed := range uint64(30) {
		m, accounting := newModule(t, Config{Home: "a"}, Limit{Pair: Pair{"a", "b"}, RequestsDay: 50}, Limit{Pair: Pair{"a", "c"}, BytesDay: 1 << 20})
		traffic := &randomTraffic{module: m, random: rand.New(rand.NewPCG(seed, 3)), now: 1000 * time.Hour, attempts: map[string]int{}}
		traffic.handle(balancer.ServerList{Full: true, Servers: serversOf("a", "a", "b", "b", "c", "")})
		for i := range 2000 {
			traffic.step(i)
		}
		traffic.drain()
		if len(m.openRequests) != 0 {
			t.Fatalf("seed %d: %d finished requests are still stored", seed, len(m.openRequests))
		}
		total := Aggregate(accounting.Rows(), func(Key) Key { return Key{} })
		if len(total) != 1 || total[0].Traffic != traffic.written {
			t.Fatalf("seed %d: accounted %+v, written %+v", seed, total, traffic.written)
		}
		for pair, budget := range accounting.budgets {
			if budget.reserved != [periodCount]amount{} {
				t.Fatalf("seed %d: %v has %+v reserved", seed, pair, budget.reserved)
			}
			if pair.To == "b" && budget.spent[day].requests > 50 {
				t.Fatalf("seed %d: %d requests crossed", seed, budget.spent[day].requests)
			}
		}
	}
}

// BenchmarkModuleHandle measures a request through a Module and its decision module, or with 0 zones the latter alone.
func BenchmarkModuleHandle(b *testing.B) {
	for _, zones := range []int{0, 3, 12} {
		b.Run(fmt.Sprint(zones, " zones"), func(b *testing.B) {
			m, _ := newModule(b, Config{Home: "z0"}, Limit{Pair: Pair{"z0", "z1"}, RequestsDay: 1 << 40})
			var servers []balancer.Server
			for i := range 60 {
				servers = append(servers, balancer.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%max(1, zones))})
			}
			var module DecisionModule = m
			if zones == 0 {
				module = m.next
			}
			module.Handle(0, balancer.ServerList{Full: true, Servers: servers})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * ms
				id := fmt.Sprint(i)
				send, _ := sent(module.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + time.Second}))
				module.Handle(now+ms/2, balancer.Outcome{ID: id, Server: send.Server, Ending: balancer.Success, Ended: true, Wrote: true})
			}
		})
	}
}
