package balancer

import (
	"math"
	"time"
)

const (
	minSubset    = 4   // minimum number of servers in a subset
	subsetFactor = 3.0 // minimum size of a subset, as a multiple of the replica's fair share of the servers
)

// subsetOfReady returns the subset of the ready servers that this replica prefers. If hundreds of replicas all used the
// whole list, each would have too few samples: its counts of calls would be mostly zero and it would notice an unhealthy
// server once a minute. Their connections would also exhaust the servers.
func (b *Balancer) subsetOfReady() []*server {
	n := len(b.ready)
	if b.subsetIDs != nil {
		var subset []*server
		for _, s := range b.ready {
			if b.subsetIDs[s.ID] {
				subset = append(subset, s)
			}
		}
		if len(subset) >= min(n, minSubset) {
			return subset
		}
	}
	size := max(minSubset, int(math.Ceil(subsetFactor*b.fairServers())))
	if size >= n || b.settings.Balancers <= 1 || b.wholeList {
		return b.ready
	}
	subset := make([]*server, 0, size)
	for _, i := range SubsetIndexes(n, size, b.settings.Balancers, b.settings.Index) {
		subset = append(subset, b.ready[i])
	}
	return subset
}

// handleFleet applies a change of the number of replicas, of this replica's index, and of its shares of the limits that
// all replicas have together. The learned state is kept.
func (b *Balancer) handleFleet(e Fleet) {
	before := b.fairServers()
	b.settings.Balancers, b.settings.Index, b.divisor = max(1, e.Balancers), e.Index, e.Divisor
	b.wholeList = e.Whole
	if e.ServerCalls > 0 {
		b.callsPerServer = e.ServerCalls
	}
	if b.subsetIDs = nil; e.Subset != nil {
		b.subsetIDs = make(map[string]bool, len(e.Subset))
		for _, id := range e.Subset {
			b.subsetIDs[id] = true
		}
	}
	for name, q := range b.quotas {
		share := 1 / b.divisor
		if s, ok := e.Quotas[name]; ok && s >= 0 && s <= 1 {
			share = s
		}
		q.refill(b.now)
		q.setShare(1 / share)
	}
	b.resize(before, b.fairServers())
	b.drainQueue()
}

// handlePeerReports excludes servers that peers report. maxExcluded limits them together with this replica's ejections.
func (b *Balancer) handlePeerReports(e PeerReports) {
	for _, exclusion := range e.Exclusions {
		s := b.servers[exclusion.ID]
		if s == nil || s.StartedAt != exclusion.StartedAt || exclusion.Until > b.now+time.Minute {
			continue
		}
		if s.reportedUntil = exclusion.Until; exclusion.Until > b.now && s.ejectionLevel == 0 {
			s.ejectionLevel, s.successStreak = 1, 0
		}
	}
	b.usableComputedAt = -1
}

// SubsetIndexes returns the indexes of the servers in the subset of the replica with this index: size of n servers,
// spread evenly over the order that all replicas share, so that each server is in about equally many subsets. size is at
// most n.
func SubsetIndexes(n, size, replicas, index int) []int {
	indexes := make([]int, 0, size)
	step := 1
	for i := range size {
		// Each block of the order permutes the replicas differently, so that no fixed group of replicas shares all
		// its servers. A step with a common divisor would give some servers more replicas than others.
		position := (float64(index*step%replicas) + 0.5) / float64(replicas)
		for step++; gcd(step, replicas) > 1; step++ {
		}
		indexes = append(indexes, int((float64(i)+position)*float64(n)/float64(size)))
	}
	return indexes
}

func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
