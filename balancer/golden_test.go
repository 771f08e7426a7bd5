package balancer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update", false, "rewrite testdata/golden.json")

const (
	goldenFile   = "testdata/golden.json"
	goldenSeeds  = 100
	goldenEvents = 1500
)

// goldenRun passes random events to one balancer and hashes its actions. Only values are hashed, so that renames in
// the code do not change the golden file.
type goldenRun struct {
	b       *Balancer
	random  *rand.Rand
	hash    hash.Hash
	now     time.Duration
	next    int
	pending []goldenAttempt
	wakes   []Wake
	counts  [6]int // number of actions by kind, to detect runs that exercise nothing
}

// goldenAttempt is an attempt without an Outcome so far.
type goldenAttempt struct {
	id, server string
	number     int
	sentAt     time.Duration
}

func newGoldenRun(t *testing.T, seed uint64) *goldenRun {
	t.Helper()
	g := &goldenRun{random: rand.New(rand.NewPCG(seed, 0x901d)), hash: sha256.New(), now: time.Second}
	g.b = newBalancer(t, func(s *Settings) {
		s.Balancers = []int{1, 3, 50}[g.random.IntN(3)]
		s.Index = g.random.IntN(s.Balancers)
		s.Tier = g.random.IntN(2)
		s.MayCancel = g.random.IntN(2) == 0
		s.Spares = g.random.IntN(3)
		s.Sizes = Sizes(g.random.IntN(4))
		s.AskDiscovery = g.random.IntN(2) == 0
		s.TenantWeight = float64(g.random.IntN(2))
		s.Tenants, s.OverShare, s.WorstTenantWeight = []Tenant{{"acme", 20}, {"bolt", 5}}, 0.2, 0.5
	})
	return g
}

// handle passes an event to the balancer and records each action.
func (g *goldenRun) handle(e Event) {
	for _, a := range g.b.Handle(g.now, e) {
		switch a := a.(type) {
		case Send:
			g.counts[0]++
			fmt.Fprintln(g.hash, 0, a.ID, a.Server, int64(a.Timeout), a.Spares)
			number := 0
			for _, p := range g.pending {
				if p.id == a.ID {
					number = max(number, p.number+1)
				}
			}
			if r := g.b.requests[a.ID]; r != nil {
				number = len(r.attempts) - 1
			}
			g.pending = append(g.pending, goldenAttempt{a.ID, a.Server, number, g.now})
		case Cancel:
			g.counts[1]++
			fmt.Fprintln(g.hash, 1, a.ID, a.Attempt)
		case Reject:
			g.counts[2]++
			fmt.Fprintln(g.hash, 2, a.ID, int64(a.RetryAfter))
		case Fail:
			g.counts[3]++
			fmt.Fprintln(g.hash, 3, a.ID)
		case Wake:
			g.counts[4]++
			fmt.Fprintln(g.hash, 4, int64(a.At), a.Token)
			g.wakes = append(g.wakes, a)
		case Subscribe:
			g.counts[5]++
			fmt.Fprintln(g.hash, 5)
		}
	}
}

// step advances the time a little and passes one event.
func (g *goldenRun) step() {
	g.now += time.Duration(g.random.Int64N(int64(8 * time.Millisecond)))
	g.timers()
	switch x := g.random.IntN(100); {
	case x < 45:
		g.request()
	case x < 88:
		g.outcome()
	case x < 91:
		g.list()
	case x < 93 && len(g.pending) > 0:
		g.handle(ClientGone{g.pending[g.random.IntN(len(g.pending))].id})
	case x < 95 && len(g.pending) > 0:
		p := g.pending[g.random.IntN(len(g.pending))]
		g.handle(Started{ID: p.id, Attempt: p.number, Transfer: g.random.IntN(2) == 0})
	case x < 96:
		g.handle(Fleet{
			Balancers:   1 + g.random.IntN(20),
			Index:       0,
			Divisor:     1 + float64(g.random.IntN(20)),
			Whole:       g.random.IntN(2) == 0,
			ServerCalls: float64(g.random.IntN(12)),
		})
	case x < 97:
		g.handle(PeerReports{[]Exclusion{{ID: g.server(), Until: g.now + time.Duration(g.random.IntN(500))*time.Millisecond}}})
	case x < 98:
		g.handle(ListFailed{Garbled: g.random.IntN(2) == 0})
	}
}

func (g *goldenRun) server() string { return fmt.Sprintf("s-%02d", g.random.IntN(24)) }

// timers passes the Timer events that are due.
func (g *goldenRun) timers() {
	left := g.wakes[:0:0]
	due := g.wakes
	g.wakes = nil
	for _, w := range due {
		if w.At <= g.now {
			g.handle(Timer{w.Token})
		} else {
			left = append(left, w)
		}
	}
	g.wakes = append(left, g.wakes...)
}

func (g *goldenRun) request() {
	g.next++
	classes := g.b.classList
	r := Request{
		ID:          fmt.Sprint("r", g.next),
		Class:       classes[g.random.IntN(len(classes))].Name,
		Deadline:    g.now + time.Duration(100+g.random.IntN(1500))*time.Millisecond,
		ClientRetry: g.random.IntN(5) == 0,
		Cost:        time.Duration(g.random.IntN(20)) * time.Millisecond,
		Tenant:      []string{"", "acme", "bolt", "else"}[g.random.IntN(4)],
	}
	if g.random.IntN(20) == 0 {
		r.Candidates = []string{g.server(), g.server(), g.server()}
	}
	if g.random.IntN(20) == 0 {
		r.Places = []Place{{"za", 0}, {"zb", 0}}[:g.random.IntN(3)]
	}
	g.handle(r)
}

// outcome ends an attempt in flight, preferably the oldest.
func (g *goldenRun) outcome() {
	if len(g.pending) == 0 {
		return
	}
	i := min(g.random.IntN(len(g.pending)), g.random.IntN(len(g.pending)))
	p := g.pending[i]
	g.pending = append(g.pending[:i], g.pending[i+1:]...)
	ending := Success
	if x := g.random.IntN(100); x < 25 {
		ending = Ending(g.random.IntN(int(NeverSent) + 1))
	}
	g.handle(Outcome{
		ID:       p.id,
		Attempt:  p.number,
		Server:   p.server,
		Ending:   ending,
		Latency:  g.now - p.sentAt,
		Ended:    ending == Success || g.random.IntN(10) == 0,
		Consumed: g.random.IntN(12) == 0,
	})
}

// list passes an update of some servers, or the complete list.
func (g *goldenRun) list() {
	e := ServerList{
		Full:     g.random.IntN(4) == 0,
		Cached:   g.random.IntN(10) == 0,
		Operator: g.random.IntN(10) == 0,
	}
	n := g.random.IntN(4)
	if e.Full {
		n = 4 + g.random.IntN(20)
	}
	for k := range n {
		s := Server{
			ID:   g.server(),
			Zone: []string{"za", "zb"}[g.random.IntN(2)],
			Cell: g.random.IntN(3),
			Size: float64(g.random.IntN(3)),
		}
		if e.Full {
			s.ID = fmt.Sprintf("s-%02d", k)
		} else {
			s.State = []ServerState{Ready, Ready, Draining, Gone}[g.random.IntN(4)]
		}
		if g.random.IntN(3) == 0 {
			s.StartedAt = g.now - time.Duration(g.random.IntN(3000))*time.Millisecond
		}
		e.Servers = append(e.Servers, s)
	}
	g.handle(e)
}

// The decisions match the golden file exactly: the actions, their order and the selected servers.
func TestDecisionsMatchGoldenFile(t *testing.T) {
	got := map[string]string{}
	var counts [6]int
	for seed := range uint64(goldenSeeds) {
		g := newGoldenRun(t, seed)
		g.handle(ServerList{Full: true, Servers: servers(12)})
		for range goldenEvents {
			g.step()
		}
		got[fmt.Sprintf("%03d", seed)] = hex.EncodeToString(g.hash.Sum(nil)[:12])
		for i, n := range g.counts {
			counts[i] += n
		}
	}
	for kind, n := range counts {
		if n < goldenSeeds {
			t.Errorf("only %d actions of kind %d in all runs, want at least %d", n, kind, goldenSeeds)
		}
	}
	if *updateGolden {
		text, err := json.MarshalIndent(got, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenFile, append(text, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]string
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	if len(want) != goldenSeeds {
		t.Fatalf("the golden file has %d seeds, want %d", len(want), goldenSeeds)
	}
	for seed, h := range want {
		if got[seed] != h {
			t.Errorf("seed %s: hash %s, want %s", seed, got[seed], h)
		}
	}
}
