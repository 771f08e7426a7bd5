package balancer

import (
	"math"
	"time"
)

const (
	minSubset    = 4   // least number of servers in a subset
	subsetFactor = 3.0 // least size of a subset, as a multiple of the copy's fair share of the servers
)

// subsetOfReady returns the subset of the ready servers that this copy uses. Hundreds of copies that each use the
// whole list learn too little: their own counts are mostly zero, each meets an unhealthy server once a minute, and
// their connections exhaust the servers.
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
	for _, i := range Stripes(n, size, b.settings.Balancers, b.settings.Index) {
		subset = append(subset, b.ready[i])
	}
	return subset
}

// handleFleet applies a change of the fleet: the number of copies, this copy's index, and its shares of the limits that
// all copies have together. What was learned stays.
func (b *Balancer) handleFleet(e Fleet) {
	before := b.fairServers()
	b.settings.Balancers, b.settings.Index, b.divisor = max(1, e.Balancers), e.Index, e.Divisor
	b.wholeList = e.Whole
	if e.ServerCalls > 0 {
		b.serverCalls = e.ServerCalls
	}
	if b.subsetIDs = nil; e.Subset != nil {
		b.subsetIDs = make(map[string]bool, len(e.Subset))
		for _, id := range e.Subset {
			b.subsetIDs[id] = true
		}
	}
	for name, q := range b.quotas {
		share := 1 / b.divisor
		if s, known := e.Quotas[name]; known && s >= 0 && s <= 1 {
			share = s
		}
		q.refill(b.now)
		q.setShare(1 / share)
	}
	b.resize(before, b.fairServers())
	b.drainQueue()
}

// handlePeerReports excludes servers that peers report. maxExcluded bounds them together with this copy's ejections.
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
	b.usableCountedAt = -1
}

// Stripes returns the indexes of the subset of one of several copies: size of n servers, spread evenly over the
// shared order, so that each server is in about equally many subsets. size is at most n.
func Stripes(n, size, copies, index int) []int {
	indexes := make([]int, 0, size)
	step := 1
	for i := range size {
		// Each block of the order permutes the copies differently, so that no fixed group of copies shares all
		// its servers. A step with a common divisor would give some servers more copies than others.
		turn := (float64(index*step%copies) + 0.5) / float64(copies)
		for step++; gcd(step, copies) > 1; step++ {
		}
		indexes = append(indexes, int((float64(i)+turn)*float64(n)/float64(size)))
	}
	return indexes
}

func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
