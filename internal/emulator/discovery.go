package emulator

import (
	"time"

	"cranegrade/balancer"
)

// heartbeatSteps is how many times in a heartbeat interval nodes check whether their watch has timed out.
const heartbeatSteps = 4

// discoveryState is the state of a Discovery.
type discoveryState struct {
	busyUntil time.Duration // when all calls so far are worked off
	lostCalls int           // that nodes gave up
}

// watch is a node's subscription to the endpoint list.
type watch struct {
	open        bool
	silent      bool // delivers nothing any more, without being closed
	lastHeard   time.Duration
	drainsSince map[string]time.Duration // when the node heard that a server drains, by ID
	number      int                      // of the subscription; what belongs to an earlier one is void
}

// serverList is the endpoint list of a tier.
func (w *World) serverList(tier int) balancer.ServerList {
	list := balancer.ServerList{Full: true}
	for _, server := range w.tiers[tier] {
		list.Servers = append(list.Servers, server.entry())
	}
	return list
}

// LostCalls is how many calls to discovery were given up.
func (w *World) LostCalls() int { return w.discovery.lostCalls }

// Watching is how many nodes of the first tier have a watch that has not timed out.
func (w *World) Watching() int {
	watching := 0
	for _, n := range w.nodes {
		if n.watch.open && w.now-n.watch.lastHeard <= w.config.Discovery.WatchTimeout {
			watching++
		}
	}
	return watching
}

// SilenceWatches makes open watches deliver nothing from now on, without closing them, as in a network partition.
func (w *World) SilenceWatches() {
	for _, n := range w.nodes {
		n.watch.silent = true
	}
}

// BreakWatches closes all watches at once.
func (w *World) BreakWatches() {
	for _, n := range w.nodes {
		n.closeWatch(balancer.ListFailed{})
	}
}

// SetState changes the state in which a server of the first tier is listed. One that is gone ends, and leaves the list.
func (w *World) SetState(s *Server, state balancer.ServerState) {
	s.state = state
	s.stateChangedAt = w.now
	if state == balancer.Draining && w.config.Discovery != nil {
		w.After(w.config.Discovery.DrainToRejection, func() { s.RejectsAll = true })
	}
	if state == balancer.Gone {
		s.kill()
		for i, server := range w.tiers[s.tier] {
			if server == s {
				w.tiers[s.tier] = append(w.tiers[s.tier][:i:i], w.tiers[s.tier][i+1:]...)
				break
			}
		}
	}
	w.publish(s)
}

// StartServer adds a server to the first tier, listed at once and in slow start.
func (w *World) StartServer() *Server {
	w.started++
	s := newServer(w, 0, w.config.Tiers[0].Servers+w.started, w.config.Tiers[0])
	s.StartedAt = w.now
	s.stateChangedAt = w.now
	w.tiers[0] = append(w.tiers[0], s)
	w.publish(s)
	return s
}

// publish sends a server's entry to the nodes that have a watch.
func (w *World) publish(s *Server) {
	update := balancer.ServerList{Servers: []balancer.Server{s.entry()}}
	for _, n := range w.nodes {
		switch {
		case w.config.Discovery == nil:
			n.handle(update)
		case n.watch.open && !n.watch.silent:
			w.After(w.config.NetworkDelay, n.ifStillWatching(func() { n.deliver(update) }))
		}
	}
}

// heartbeat sends an empty update on each open watch, once in a heartbeat interval. In each step nodes close watches that have
// timed out.
func (w *World) heartbeat(step int) {
	if w.ArrivalsEnded() {
		return
	}
	for _, n := range w.nodes {
		switch {
		case n.watch.open && !n.watch.silent && step%heartbeatSteps == 0:
			n.deliver(balancer.ServerList{})
		case n.watch.open && w.now-n.watch.lastHeard >= w.config.Discovery.WatchTimeout:
			n.closeWatch(balancer.ListFailed{})
		}
	}
	w.After(w.config.Discovery.HeartbeatInterval/heartbeatSteps, func() { w.heartbeat(step + 1) })
}

// ifStillWatching returns a function that does something unless the node's watch is another one by then.
func (n *node) ifStillWatching(do func()) func() {
	number := n.watch.number
	return func() {
		if n.watch.open && n.watch.number == number && !n.dead {
			do()
		}
	}
}

// deliver brings an update over the node's watch. Some updates break off, which closes the watch.
func (n *node) deliver(list balancer.ServerList) {
	w := n.world
	malformedShare := w.config.Discovery.MalformedShare
	if len(list.Servers) > 0 && malformedShare > 0 && w.random.Float64() < malformedShare {
		n.closeWatch(balancer.ListFailed{Garbled: true})
		return
	}
	n.watch.lastHeard = w.now
	if n.watch.drainsSince == nil {
		n.watch.drainsSince = map[string]time.Duration{}
	}
	for _, server := range list.Servers {
		if _, told := n.watch.drainsSince[server.ID]; !told && server.State == balancer.Draining {
			n.watch.drainsSince[server.ID] = w.now
		} else if server.State == balancer.Gone {
			delete(n.watch.drainsSince, server.ID)
		}
	}
	n.handle(list)
}

// closeWatch closes a node's watch. Its module learns so after the reconnect delay.
func (n *node) closeWatch(failure balancer.ListFailed) {
	if !n.watch.open {
		return
	}
	n.watch.open = false
	n.world.After(n.world.config.Discovery.ReconnectDelay, func() { n.handle(failure) })
}

// subscribe calls discovery, which sends the full list and then each change.
func (n *node) subscribe() {
	w, config := n.world, n.world.config.Discovery
	if config == nil || n.tier != 0 || w.ArrivalsEnded() {
		return
	}
	n.watch.open = false
	n.watch.number++
	number := n.watch.number
	state := &w.discovery
	state.busyUntil = max(state.busyUntil, w.now) + config.CallTime
	if state.busyUntil-w.now > config.CallTimeout {
		state.lostCalls++
		w.After(config.CallTimeout+config.ReconnectDelay, func() {
			if n.watch.number == number {
				n.handle(balancer.ListFailed{})
			}
		})
		return
	}
	w.at(state.busyUntil, func() {
		if n.watch.number == number && !n.dead {
			n.watch.open = true
			n.watch.silent = false
			n.deliver(w.serverList(0))
		}
	})
}

// checkDrain records a violation if a node sends to a server that it has been told not to use, or had the time to learn so.
func (n *node) checkDrain(s *Server) {
	config := n.world.config.Discovery
	if config == nil || n.tier != 0 || s == nil || s.state == balancer.Ready {
		return
	}
	noticed := s.stateChangedAt + config.MaxNoticeTime
	if at, told := n.watch.drainsSince[s.id]; told {
		noticed = min(noticed, at)
	}
	if late := n.world.now - noticed - config.DrainGrace; late > 0 {
		n.world.violation("at %v a send to %s, %v after its drain had to be kept", n.world.now, s.id, late)
	}
}
