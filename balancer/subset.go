package balancer

import (
	"math"
	"time"
)

const (
	minSubset    = 4   // servers that a copy draws from at the least
	subsetFactor = 3.0 // and at the least this many times its fair share of the servers
)

// subsetOfReady keeps a copy to a few servers. Hundreds of copies over the whole list know nothing: their own counts are
// zero, a sick server is met once a minute, and connections fill its table.
func (b *Balancer) subsetOfReady() []*server {
	n := len(b.ready)
	if b.subsetIDs != nil {
		var l []*server
		for _, s := range b.ready {
			if b.subsetIDs[s.ID] {
				l = append(l, s)
			}
		}
		if len(l) >= min(n, minSubset) {
			return l
		}
	}
	size := max(minSubset, int(math.Ceil(subsetFactor*b.fairServers())))
	if size >= n || b.settings.Balancers <= 1 || b.wholeList {
		return b.ready
	}
	l := make([]*server, 0, size)
	for _, i := range Stripes(n, size, b.settings.Balancers, b.settings.Index) {
		l = append(l, b.ready[i])
	}
	return l
}

// handleFleet goes over to another place among the copies. What was learned stays; rations follow the divisor.
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
		part := 1 / b.divisor
		if p, is := e.Quotas[name]; is && p >= 0 && p <= 1 {
			part = p
		}
		q.refill(b.now)
		q.setShare(1 / part)
	}
	b.resize(before, b.fairServers())
	b.drainQueue()
}

// handlePeerReports puts servers aside. How many are kept out in all is bounded as for those this copy ejects.
func (b *Balancer) handlePeerReports(e PeerReports) {
	for _, a := range e.Exclusions {
		s := b.servers[a.ID]
		if s == nil || s.StartedAt != a.StartedAt || a.Until > b.now+time.Minute {
			continue
		}
		if s.reportedUntil = a.Until; a.Until > b.now && s.ejectionLevel == 0 {
			s.ejectionLevel, s.successStreak = 1, 0
		}
	}
	b.usableCountedAt = -1
}

// Stripes names size of n servers in the shared order for one of so many copies, evenly from along that order, so
// that all servers are drawn from by equally many copies. size is at most n.
func Stripes(n, size, copies, index int) []int {
	l := make([]int, 0, size)
	step := 1
	for i := range size {
		// Each block of the order has its own turn of the copies, lest fixed cliques share servers;
		// a step that divides their number would leave some servers with more of them.
		turn := (float64(index*step%copies) + 0.5) / float64(copies)
		for step++; gcd(step, copies) > 1; step++ {
		}
		l = append(l, int((float64(i)+turn)*float64(n)/float64(size)))
	}
	return l
}

func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
