package balancer

import (
	"math"
	"slices"
	"sort"
	"time"
)

// handleServerList applies news of the servers. A new boot time resets what is known of a server. News of
// changes costs in step with the changes: the ready servers are kept in their order.
func (b *Balancer) handleServerList(e ServerList) {
	if !e.Operator {
		b.discoveryHeardAt = b.now
	}
	if !e.Full && len(e.Servers) == 0 {
		b.subscribeFailures = 0
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
				b.removeReady(s)
			}
			if s.StartedAt != n.StartedAt {
				*s = server{calls: s.calls, openAttempts: s.openAttempts}
			}
		}
		s.Server = n
		s.listed = n.State != Gone
		switch {
		case !s.listed && s.calls == 0:
			delete(b.servers, n.ID)
		case !e.Full:
			b.insertReady(s)
		}
	}
	if e.Full {
		b.rebuildReady()
	}
	b.moveGroupBorder()
	after := float64(len(b.ready))
	if before > 0 && after > 0 {
		// The least latency was other servers': those left may be slower, and those that came are cold.
		b.newShare = min(1, b.newShare+math.Abs(after-before)/max(after, before))
	}
	b.resize(before, after)
	if e.Cached {
		b.scheduleSubscribe(false)
	} else {
		b.subscribeFailures = 0
	}
	b.drainQueue()
}

// resize fits the window and the subset to what this copy's part of the servers was and is: what a server
// takes has not changed with their number.
func (b *Balancer) resize(before, after float64) {
	if before > 0 && after > 0 {
		b.window *= after / before
	}
	if b.window > 0 && b.abandonedShare <= maxAbandonedShare {
		b.window = max(b.window, b.serverCalls*b.fairServers())
	}
	b.usableCountedAt = -1
	b.subset = b.subsetOfReady()
	b.largestSize, b.meanSize = 1, 1
	if b.settings.Sizes == SizesNominal || b.settings.Sizes == SizesRough { // else all are alike
		b.largestSize, b.meanSize = 0, 0
		for _, s := range b.subset {
			b.largestSize = max(b.largestSize, b.size(s))
			b.meanSize += b.size(s) / float64(len(b.subset))
		}
	}
	if b.window == 0 {
		b.window = max(windowStart, float64(b.settings.StartCalls)) * b.fairServers()
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
		s.inRightGroup = i >= b.groupBorder()
	}
}

// insertReady puts a server into its place among the ready ones, if it is ready; leaveReady takes it out.
func (b *Balancer) insertReady(s *server) {
	if !s.listed || s.State != Ready {
		return
	}
	i := sort.Search(len(b.ready), func(i int) bool { return b.before(s, b.ready[i]) })
	s.inRightGroup = i > 0 && b.ready[i-1].inRightGroup // as its neighbour, so that the groups stay two runs
	b.ready = slices.Insert(b.ready, i, s)
}

func (b *Balancer) removeReady(s *server) {
	if s.listed && s.State == Ready {
		i := sort.Search(len(b.ready), func(i int) bool { return !b.before(b.ready[i], s) })
		b.ready = slices.Delete(b.ready, i, i+1)
	}
}

// groupBorder is the index at which the right group begins.
func (b *Balancer) groupBorder() int { return int(math.Ceil(leftShare * float64(len(b.ready)))) }

// moveGroupBorder moves the border between the two groups to the cut.
func (b *Balancer) moveGroupBorder() {
	cut := b.groupBorder()
	for i := cut - 1; i >= 0 && b.ready[i].inRightGroup; i-- {
		b.ready[i].inRightGroup = false
	}
	for i := cut; i < len(b.ready) && !b.ready[i].inRightGroup; i++ {
		b.ready[i].inRightGroup = true
	}
}

// scheduleSubscribe plans a Subscribe where the list must be asked for. Discovery takes calls one by one,
// and one that it gave up on may still be its work: copies that start, or lose their subscription,
// together keep it from ever answering in time. So the calls are spread over a time in step with the
// number of copies, twice as long with each failure: what many copies call for within AskWithin may be more
// than discovery can ever do. That one answer was garbled is no news to the others.
func (b *Balancer) scheduleSubscribe(alone bool) {
	if !b.settings.AskDiscovery {
		return
	}
	spread := b.settings.AskWithin / fullSpreadCopies
	if !alone {
		spread *= time.Duration(min(fullSpreadCopies, max(1, b.settings.Balancers)))
	}
	doublings := min(max(0, b.subscribeFailures-1), maxEjectionLevel)
	wait := min(maxSubscribeBackoff*b.settings.AskWithin, spread<<doublings)
	b.subscribeAt = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(Wake{At: b.subscribeAt, Token: "list"})
}
