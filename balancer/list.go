package balancer

import (
	"math"
	"slices"
	"sort"
	"time"
)

// takeList applies news of the servers. A new boot time resets what is known of a server. News of
// changes costs in step with the changes: the ready servers are kept in their order.
func (b *Balancer) takeList(e ServerList) {
	if !e.Ordered {
		b.heard = b.now
	}
	if !e.Full && len(e.Servers) == 0 {
		b.subFails = 0
		return
	}
	before := float64(len(b.ready))
	if e.Full {
		for _, s := range b.servers {
			s.listed = false
		}
		b.ready = b.ready[:0]
	}
	for _, n := range e.Servers {
		s := b.servers[n.ID]
		if s == nil {
			s = &server{}
			b.servers[n.ID] = s
		} else {
			if !e.Full {
				b.leaveReady(s)
			}
			if s.Boot != n.Boot {
				*s = server{calls: s.calls, open: s.open}
			}
		}
		s.Server = n
		s.listed = n.State != Gone
		switch {
		case !s.listed && s.calls == 0:
			delete(b.servers, n.ID)
		case !e.Full:
			b.joinReady(s)
		}
	}
	if e.Full {
		b.rebuildReady()
	}
	b.cutGroups()
	after := float64(len(b.ready))
	if before > 0 && after > 0 {
		// The least latency was other servers': those left may be slower, and those that came are cold.
		b.fresh = min(1, b.fresh+math.Abs(after-before)/max(after, before))
	}
	b.resize(before, after)
	if e.Cached {
		b.askAgain(false)
	} else {
		b.subFails = 0
	}
	b.release()
}

// resize fits the window and the subset to what this copy's part of the servers was and is: what a server
// takes has not changed with their number.
func (b *Balancer) resize(before, after float64) {
	if before > 0 && after > 0 {
		b.window *= after / before
	}
	if b.window > 0 && b.vain <= mostVain {
		b.window = max(b.window, b.takes*b.fairServers())
	}
	b.usableAt = -1
	b.subset = b.takeSubset()
	b.largest, b.meanSize = 1, 1
	if b.set.Sizes == SizesNominal || b.set.Sizes == SizesRough { // else all are alike
		b.largest, b.meanSize = 0, 0
		for _, s := range b.subset {
			b.largest = max(b.largest, b.size(s))
			b.meanSize += b.size(s) / float64(len(b.subset))
		}
	}
	if b.window == 0 {
		b.window = max(windowStart, float64(b.set.StartCalls)) * b.fairServers()
	}
}

// before is the shared order: every copy sorts by id, which all see alike.
func (b *Balancer) before(x, y *server) bool {
	if b.size(x) != b.size(y) {
		return b.size(x) > b.size(y) // a subset of each size, and ties go to the larger
	}
	return x.Cell < y.Cell || x.Cell == y.Cell && x.ID < y.ID
}

func (b *Balancer) rebuildReady() {
	for id, s := range b.servers {
		if !s.listed && s.calls == 0 {
			delete(b.servers, id)
		} else if s.listed && s.State == Ready {
			b.ready = append(b.ready, s)
		}
	}
	sort.Slice(b.ready, func(i, j int) bool { return b.before(b.ready[i], b.ready[j]) })
	for i, s := range b.ready {
		s.right = i >= b.cut()
	}
}

// joinReady puts a server into its place among the ready ones, if it is ready; leaveReady takes it out.
func (b *Balancer) joinReady(s *server) {
	if !s.listed || s.State != Ready {
		return
	}
	i := sort.Search(len(b.ready), func(i int) bool { return b.before(s, b.ready[i]) })
	s.right = i > 0 && b.ready[i-1].right // as its neighbour, so that the groups stay two runs
	b.ready = slices.Insert(b.ready, i, s)
}

func (b *Balancer) leaveReady(s *server) {
	if s.listed && s.State == Ready {
		i := sort.Search(len(b.ready), func(i int) bool { return !b.before(b.ready[i], s) })
		b.ready = slices.Delete(b.ready, i, i+1)
	}
}

// cut is the index at which the right group begins.
func (b *Balancer) cut() int { return int(math.Ceil(alpha * float64(len(b.ready)))) }

// cutGroups moves the border between the two groups to the cut.
func (b *Balancer) cutGroups() {
	cut := b.cut()
	for i := cut - 1; i >= 0 && b.ready[i].right; i-- {
		b.ready[i].right = false
	}
	for i := cut; i < len(b.ready) && !b.ready[i].right; i++ {
		b.ready[i].right = true
	}
}

// askAgain plans a Subscribe where the list must be asked for. Discovery takes calls one after another,
// and one that it gave up on may still be its work: copies that start, or lose their subscription,
// together keep it from ever answering in time. So the calls are spread over a time in step with the
// number of copies, twice as long with each failure: what many copies call for within AskWithin may be more
// than discovery can ever do. That one answer was garbled is no news to the others.
func (b *Balancer) askAgain(alone bool) {
	if !b.set.AskDiscovery {
		return
	}
	spread := b.set.AskWithin / askSpread
	if !alone {
		spread *= time.Duration(min(askSpread, max(1, b.set.Balancers)))
	}
	wait := min(askLongest*b.set.AskWithin, spread<<min(max(0, b.subFails-1), maxLevel))
	b.subWanted = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.do(Wake{At: b.subWanted, Token: "list"})
}
