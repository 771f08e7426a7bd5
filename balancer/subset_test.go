package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// After a Fleet event a replica has the subset, shares and limits that it would have if it had started with these values. It
// keeps its learned state.
func TestFleetKeepsLearnedState(t *testing.T) {
	list := func(n int) (l []Server) {
		for i := range n {
			l = append(l, Server{ID: fmt.Sprintf("s-%02d", i), State: Ready, Size: 1})
		}
		return l
	}
	newReplica := func(replicas, index int) *Balancer {
		b := newBalancer(t, func(s *Settings) {
			s.Balancers, s.Index, s.Tenants, s.OverShare = replicas, index, []Tenant{{"acme", 100}}, 0.2
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
	b := newReplica(50, 49)
	b.servers["s-07"].samples = 9
	window := b.window / b.fairServers()
	b.Handle(2*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: 20})
	want := newReplica(10, 3)
	if got, want := fmt.Sprint(ids(b)), fmt.Sprint(ids(want)); got != want {
		t.Errorf("subset %v, want that of a new replica: %v", got, want)
	}
	if got := b.window / b.fairServers(); math.Abs(got-window) > 1e-9 {
		t.Errorf("window per server %v, want %v as before", got, window)
	}
	if b.servers["s-07"].samples != 9 {
		t.Error("the learned state was lost")
	}
	q := b.quotas["acme"]
	if q.rate != 5 || q.available > q.burst {
		t.Errorf("a twentieth of a quota of 100: rate %v, %v tokens, burst %v", q.rate, q.available, q.burst)
	}
	// Without a share no tokens accrue, and saved ones are discarded.
	b.Handle(3*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: math.Inf(1)})
	b.Handle(13*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: math.Inf(1)})
	if q.refill(14 * time.Second); q.available != 0 {
		t.Errorf("without a share a tenant has %v tokens, want 0", q.available)
	}
	if got := b.slowStartLimit(0.5); got != 1 {
		t.Errorf("slow start limit of %v calls without a share, want the minimum of 1", got)
	}
	// Tokens do not accrue afterwards for the time without a share.
	b.Handle(20*time.Second, Fleet{Balancers: 10, Index: 3, Divisor: 10})
	if q.refill(20 * time.Second); q.available > 1e-9 {
		t.Errorf("%v tokens right after a time without a share, want 0", q.available)
	}
	if q.refill(21 * time.Second); q.available < 9.9 || q.available > 10.1 {
		t.Errorf("%v tokens a second later, want 10", q.available)
	}
}

// With many replicas the subsets together cover the servers about evenly. Each subset spans the cells and has servers of
// both groups. A list that is not longer than a subset is used completely.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const replicas, listLength = 300, 90
	list := servers(listLength)
	for i := range list {
		list[i].Cell = i / 6
	}
	users := map[string]int{} // number of replicas with the server in their subset, by server
	for index := range replicas {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = replicas, index })
		b.Handle(0, ServerList{Full: true, Servers: list})
		right, cells := 0, map[int]int{}
		for _, s := range b.subset {
			users[s.ID]++
			cells[s.Cell]++
			if s.inRightGroup {
				right++
			}
		}
		if len(b.subset) != minSubset || right != len(b.subset)/2 {
			t.Fatalf("subset of replica %d has %d servers, %d of them in the right group", index, len(b.subset), right)
		}
		for cell, n := range cells {
			if n > 2 {
				t.Errorf("subset of replica %d has %d servers of cell %d, want at most 2", index, n, cell)
			}
		}
	}
	for _, s := range list {
		mean := float64(replicas*minSubset) / listLength
		if n := float64(users[s.ID]); n < 0.8*mean || n > 1.2*mean {
			t.Errorf("server %s is in the subsets of %.0f replicas, mean %.0f", s.ID, n, mean)
		}
	}
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = replicas, 7 })
	b.Handle(0, ServerList{Full: true, Servers: list[:minSubset]})
	if len(b.subset) != minSubset {
		t.Errorf("subset of %d servers of a list with %d, want all", len(b.subset), minSubset)
	}
}
