package balancer

import (
	"math"
	"slices"
	"sort"
	"time"
)

// handleServerList applies a discovery update. The learned state of a server that was restarted is discarded.
// The ready servers stay sorted, so that an incremental update costs in proportion to its entries.
func (b *Balancer) handleServerList(e ServerList) {
	if !e.Operator {
		b.lastDiscoveryUpdate = b.now
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
	for _, entry := range e.Servers {
		s := b.servers[entry.ID]
		if s == nil {
			s = &server{}
			b.servers[entry.ID] = s
		} else {
			if !e.Full {
				b.removeReady(s)
			}
			if s.StartedAt != entry.StartedAt {
				*s = server{calls: s.calls, waitingAttempts: s.waitingAttempts}
			}
		}
		s.Server = entry
		s.listed = entry.State != Gone
		switch {
		case !s.listed && s.calls == 0:
			delete(b.servers, entry.ID)
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
		// The baseline was measured on another list: new servers are in slow start, others may be slower.
		b.newServerShare = min(1, b.newServerShare+math.Abs(after-before)/max(after, before))
	}
	b.resize(before, after)
	if e.Cached {
		b.scheduleSubscribe(false)
	} else {
		b.subscribeFailures = 0
	}
	b.drainQueue()
}

// resize adapts the window and the subset when the number of servers for this replica changes from before to
// after. The window changes in proportion, because the capacity of a server stays the same.
func (b *Balancer) resize(before, after float64) {
	if before > 0 && after > 0 {
		b.window *= after / before
	}
	if b.window > 0 && b.abandonedShare <= maxAbandonedShare {
		b.window = max(b.window, b.callsPerServer*b.fairServers())
	}
	b.usableComputedAt = -1
	b.subset = b.subsetOfReady()
	b.largestSize, b.meanSize = 1, 1
	if b.settings.Sizes == SizesNominal || b.settings.Sizes == SizesRough { // otherwise all sizes count as 1
		b.largestSize, b.meanSize = 0, 0
		for _, s := range b.subset {
			b.largestSize = max(b.largestSize, b.size(s))
			b.meanSize += b.size(s) / float64(len(b.subset))
		}
	}
	if b.window == 0 {
		b.window = max(initialCallsPerServer, float64(b.settings.StartCalls)) * b.fairServers()
	}
}

// sortsBefore is the order of the ready servers. It depends only on the list, so all replicas share it.
func (b *Balancer) sortsBefore(x, y *server) bool {
	if b.size(x) != b.size(y) {
		return b.size(x) > b.size(y) // so that a subset has servers of each size, and ties go to the larger
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
	sort.Slice(b.ready, func(i, j int) bool { return b.sortsBefore(b.ready[i], b.ready[j]) })
	for i, s := range b.ready {
		s.inRightGroup = i >= b.groupBorder()
	}
}

// insertReady inserts a server into the ready ones if it is ready; removeReady removes it.
func (b *Balancer) insertReady(s *server) {
	if !s.listed || s.State != Ready {
		return
	}
	i := sort.Search(len(b.ready), func(i int) bool { return b.sortsBefore(s, b.ready[i]) })
	s.inRightGroup = i > 0 && b.ready[i-1].inRightGroup // like its neighbour: each group is contiguous
	b.ready = slices.Insert(b.ready, i, s)
}

func (b *Balancer) removeReady(s *server) {
	if s.listed && s.State == Ready {
		i := sort.Search(len(b.ready), func(i int) bool { return !b.sortsBefore(b.ready[i], s) })
		b.ready = slices.Delete(b.ready, i, i+1)
	}
}

// groupBorder is the index at which the right group begins.
func (b *Balancer) groupBorder() int { return int(math.Ceil(leftGroupShare * float64(len(b.ready)))) }

// moveGroupBorder reassigns servers to groups so that the border between them is at groupBorder again.
func (b *Balancer) moveGroupBorder() {
	border := b.groupBorder()
	for i := border - 1; i >= 0 && b.ready[i].inRightGroup; i-- {
		b.ready[i].inRightGroup = false
	}
	for i := border; i < len(b.ready) && !b.ready[i].inRightGroup; i++ {
		b.ready[i].inRightGroup = true
	}
}

// scheduleSubscribe schedules a Subscribe if the list has to be requested. Discovery serves calls one by one,
// timed-out ones included, so replicas that start or lose their subscriptions together could keep it
// overloaded. So the calls are spread at random over a time in proportion to the number of replicas. It
// doubles with each failure, because discovery may not serve all replicas within AskWithin. alone means that
// only this replica failed (a garbled answer), so its calls need no spreading.
func (b *Balancer) scheduleSubscribe(alone bool) {
	if !b.settings.AskDiscovery {
		return
	}
	spread := b.settings.AskWithin / fullSpreadReplicas
	if !alone {
		spread *= time.Duration(min(fullSpreadReplicas, max(1, b.settings.Balancers)))
	}
	doublings := min(max(0, b.subscribeFailures-1), maxEjectionLevel)
	wait := min(maxSubscribeBackoff*b.settings.AskWithin, spread<<doublings)
	b.subscribeAt = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(Wake{At: b.subscribeAt, Token: "list"})
}
