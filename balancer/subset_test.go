package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// After a Fleet event a copy has the subset, shares and limits that it would have had with these values from the start. What
// it has learned stays.
func TestFleet(t *testing.T) {
	list := func(n int) (l []Server) {
		for i := range n {
			l = append(l, Server{ID: fmt.Sprintf("s-%02d", i), State: Ready, Size: 1})
		}
		return l
	}
	make := func(copies, index int) *Balancer {
		b := newBalancer(t, func(s *Settings) {
			s.Balancers, s.Index, s.Tenants, s.OverShare = copies, index, []Tenant{{"acme", 100}}, 0.2
		})
		b.Handle(time.Second, ServerList{Full: true, Servers: list(60)})
		return b
	}
	ids := func(b *Balancer) (l []string) {
		for _, s := range b.subset {
			l = append(l, s.ID)
		}
		return l
	}
	b := make(50, 49)
	b.servers["s-07"].samples = 9
	window := b.window / b.fairServers()
	b.Handle(2*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: 20})
	want := make(10, 3)
	if got, want := fmt.Sprint(ids(b)), fmt.Sprint(ids(want)); got != want {
		t.Errorf("draws from %v, a copy that started there from %v", got, want)
	}
	if got := b.window / b.fairServers(); math.Abs(got-window) > 1e-9 {
		t.Errorf("admits %v a server, %v before", got, window)
	}
	if b.servers["s-07"].samples != 9 {
		t.Error("what was learned is gone")
	}
	q := b.quotas["acme"]
	if q.rate != 5 || q.available > q.burst {
		t.Errorf("a quota of 100 over 20 is %v with room for %v of %v", q.rate, q.available, q.burst)
	}
	// Without a share no tokens accrue, and saved ones can't be used.
	b.Handle(3*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: math.Inf(1)})
	b.Handle(13*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: math.Inf(1)})
	if q.refill(14 * time.Second); q.available != 0 {
		t.Errorf("with no share a tenant has room for %v", q.available)
	}
	if got := b.slowStartLimit(0.5); got != 1 {
		t.Errorf("a cold server gets %v calls at a time of a copy with no share, 1 is the least", got)
	}
	// Tokens do not accrue afterwards for the time without a share.
	b.Handle(20*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: 10})
	if q.refill(20 * time.Second); q.available > 1e-9 {
		t.Errorf("room for %v at once after a time without a share", q.available)
	}
	if q.refill(21 * time.Second); q.available < 9.9 || q.available > 10.1 {
		t.Errorf("room for %v a second later", q.available)
	}
}

// At full size the subsets of all copies must cover the servers about evenly, span the cells and have servers of
// both groups. A list that is not longer than a subset is used completely.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	const copies, fleet = 300, 90
	list := servers(fleet)
	for i := range list {
		list[i].Cell = i / 6
	}
	drawn := map[string]int{}
	for me := range copies {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = copies, me })
		b.Handle(0, ServerList{Full: true, Servers: list})
		right, cells := 0, map[int]int{}
		for _, s := range b.subset {
			drawn[s.ID]++
			cells[s.Cell]++
			if s.inRightGroup {
				right++
			}
		}
		if len(b.subset) != minSubset || right != len(b.subset)/2 {
			t.Fatalf("copy %d draws from %d servers, %d of them right", me, len(b.subset), right)
		}
		for cell, n := range cells {
			if n > 2 {
				t.Errorf("copy %d has %d servers of pod %d", me, n, cell)
			}
		}
	}
	for _, s := range list {
		mean := float64(copies*minSubset) / fleet
		if n := float64(drawn[s.ID]); n < 0.8*mean || n > 1.2*mean {
			t.Errorf("server %s is drawn from by %.0f copies, mean %.0f", s.ID, n, mean)
		}
	}
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = copies, 7 })
	b.Handle(0, ServerList{Full: true, Servers: list[:minSubset]})
	if len(b.subset) != minSubset {
		t.Errorf("a list of a subset's length is cut to %d", len(b.subset))
	}
}
