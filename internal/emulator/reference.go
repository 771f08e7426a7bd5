package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"cranegrade/balancer"
)

// Reference is a simple decision module to compare with: it sends each request once, to the one with fewer calls of its own
// among two random servers, and rejects what exceeds a fixed limit of calls in flight.
type Reference struct {
	limit    int // calls in flight for each server; 0 for no limit
	random   *rand.Rand
	servers  []string
	calls    map[string]int // in flight, by server
	inFlight int
	open     map[string]bool // requests whose client waits
}

// referenceStream is the second half of the seed of a Reference's generator, which keeps its draws apart from those of others.
const referenceStream = 0x4ef

// referenceRetryAfter is after how long a rejected client may come again.
const referenceRetryAfter = 100 * time.Millisecond

// NewReference returns a Reference with a limit of calls in flight for each server, where 0 means no limit.
func NewReference(limit int, seed uint64) *Reference {
	return &Reference{
		limit:  limit,
		random: rand.New(rand.NewPCG(seed, referenceStream)),
		calls:  map[string]int{},
		open:   map[string]bool{},
	}
}

// Handle implements DecisionModule.
func (r *Reference) Handle(_ time.Duration, event balancer.Event) []balancer.Action {
	switch e := event.(type) {
	case balancer.ServerList:
		for _, server := range e.Servers {
			if !slices.Contains(r.servers, server.ID) {
				r.servers = append(r.servers, server.ID)
			}
		}
	case balancer.Request:
		return []balancer.Action{r.decide(e)}
	case balancer.Outcome:
		r.calls[e.Server]--
		r.inFlight--
		waiting := r.open[e.ID]
		delete(r.open, e.ID)
		if waiting && !e.Ended {
			return []balancer.Action{balancer.Fail{ID: e.ID}}
		}
	case balancer.ClientGone:
		delete(r.open, e.ID)
	}
	return nil
}

// decide sends a request to a server that has room, or rejects it.
func (r *Reference) decide(request balancer.Request) balancer.Action {
	if r.limit > 0 && r.inFlight >= r.limit*len(r.servers) || len(r.servers) == 0 {
		return balancer.Reject{ID: request.ID, RetryAfter: referenceRetryAfter}
	}
	picked := r.servers[r.random.IntN(len(r.servers))]
	other := r.servers[r.random.IntN(len(r.servers))]
	if r.calls[other] < r.calls[picked] {
		picked = other
	}
	r.calls[picked]++
	r.inFlight++
	r.open[request.ID] = true
	return balancer.Send{ID: request.ID, Server: picked}
}
