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
