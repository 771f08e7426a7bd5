package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"cranegrade/balancer"
)

// Reference is what many services run with: the server with fewer own calls of two drawn, one try, and
// a fixed limit of calls out that refuses what is over it at once. It is a yardstick, not a product.
type Reference struct {
	Limit   int // calls out at a time for each server; 0: no limit
	rng     *rand.Rand
	servers []string
	calls   map[string]int
	out     int
	open    map[string]bool
}

// NewReference returns one.
func NewReference(limit int, seed uint64) *Reference {
	return &Reference{Limit: limit, rng: rand.New(rand.NewPCG(seed, 0x4ef)), calls: map[string]int{}, open: map[string]bool{}}
}

// Handle is the Decider's.
func (r *Reference) Handle(_ time.Duration, e balancer.Event) []balancer.Action {
	switch e := e.(type) {
	case balancer.ServerList:
		for _, s := range e.Servers {
			if !slices.Contains(r.servers, s.ID) {
				r.servers = append(r.servers, s.ID)
			}
		}
	case balancer.Request:
		if r.Limit > 0 && r.out >= r.Limit*len(r.servers) || len(r.servers) == 0 {
			return []balancer.Action{balancer.Reject{ID: e.ID, RetryAfter: 100 * time.Millisecond}}
		}
		x, y := r.servers[r.rng.IntN(len(r.servers))], r.servers[r.rng.IntN(len(r.servers))]
		if r.calls[y] < r.calls[x] {
			x = y
		}
		r.calls[x]++
		r.out++
		r.open[e.ID] = true
		return []balancer.Action{balancer.Send{ID: e.ID, Server: x}}
	case balancer.Outcome:
		r.calls[e.Server]--
		r.out--
		open := r.open[e.ID]
		delete(r.open, e.ID)
		if open && !e.Ended {
			return []balancer.Action{balancer.Fail{ID: e.ID}}
		}
	case balancer.ClientGone:
		delete(r.open, e.ID)
	}
	return nil
}
