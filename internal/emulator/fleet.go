package emulator

import (
	"fmt"
	"time"

	"cranegrade/balancer"
)

// Discovery tells the first tier's nodes of its servers. It takes calls one after another, and works on those
// that were given up, too: nothing tells it that nobody waits.
type Discovery struct {
	Call    time.Duration // work of one call
	TimeOut time.Duration // after which a node gives a call up
	Beat    time.Duration // between words on every open watch
	Silence time.Duration // after which a node gives up a watch that says nothing
	Told    time.Duration // after a change it counts as told, heard or not
	Grace   time.Duration // for what is on its way when a node is told
	Rest    time.Duration // of a node between a watch's end and what follows
	Garbled float64       // share of what it tells that breaks off
	Turned  time.Duration // after being listed as draining, a server turns calls away
}

// Cold is how a server of the tier starts, as balancer.Settings tell it.
type Cold struct {
	From     float64 // share of its speed at its start
	Warm     time.Duration
	Multiple float64 // sent more than this times what it can do then
	For      time.Duration
}

// registry is a Discovery at work.
type registry struct {
	free time.Duration // when all calls so far are worked off
	lost int           // calls given up
}

// watch is what a node follows the list by.
type watch struct {
	open  bool
	mute  bool // says nothing any more
	heard time.Duration
	knows map[string]time.Duration // when it heard that a server is not to be used
	n     int                      // of the subscription: what belongs to an earlier one counts no more
}

func (w *World) list(tier int) balancer.ServerList {
	l := balancer.ServerList{Full: true}
	for _, s := range w.tiers[tier] {
		l.Servers = append(l.Servers, s.entry())
	}
	return l
}

// LostCalls is how many calls to discovery were given up.
func (w *World) LostCalls() int { return w.registry.lost }

// Watching is how many nodes of the first tier have a watch that says something.
func (w *World) Watching() int {
	n := 0
	for _, x := range w.fronts {
		if x.watch.open && w.now-x.watch.heard <= w.plan.Discovery.Silence {
			n++
		}
	}
	return n
}

// Mute has the watches that are open say nothing from now on. They are not closed: a machine was cut off.
func (w *World) Mute() {
	for _, n := range w.fronts {
		n.watch.mute = true
	}
}

// BreakWatches ends all of them at once.
func (w *World) BreakWatches() {
	for _, n := range w.fronts {
		n.lose(balancer.ListFailed{})
	}
}

// SetState changes what a server of the first tier is listed as.
func (w *World) SetState(s *Server, state balancer.ServerState) {
	s.state, s.changed = state, w.now
	if state == balancer.Draining && w.plan.Discovery != nil {
		w.after(w.plan.Discovery.Turned, func() { s.Refuses = true })
	}
	if state == balancer.Gone {
		s.die()
		for i, x := range w.tiers[s.tier] {
			if x == s {
				w.tiers[s.tier] = append(w.tiers[s.tier][:i:i], w.tiers[s.tier][i+1:]...)
				break
			}
		}
	}
	w.publish(s)
}

// Start adds a server to the first tier, cold and listed at once.
func (w *World) Start() *Server {
	w.started++
	s := newServer(w, 0, w.plan.Tiers[0].Servers+w.started, w.plan.Tiers[0])
	s.Boot, s.changed = w.now, w.now
	w.tiers[0] = append(w.tiers[0], s)
	w.publish(s)
	return s
}

// Silence has a server take requests and answer none, or end that.
func (s *Server) Silence(on bool) { s.silent = on }

// Reboot has a server lose all it has in work and begin cold. It stays listed, with its new start.
func (s *Server) Reboot() {
	s.die()
	s.dead, s.silent, s.Boot, s.sent = false, false, s.w.now, nil
	s.w.publish(s)
}

// die ends a server's process and all in work there.
func (s *Server) die() {
	s.settle()
	for _, j := range append(s.computing, s.waiting...) {
		j.a.end(balancer.Broken)
	}
	s.computing, s.waiting, s.slots, s.dead = nil, nil, 0, true
	s.tick++
}

// publish tells the nodes that hear of it.
func (w *World) publish(s *Server) {
	news := balancer.ServerList{Servers: []balancer.Server{s.entry()}}
	for _, n := range w.fronts {
		switch {
		case w.plan.Discovery == nil:
			n.handle(news)
		case n.watch.open && !n.watch.mute:
			w.after(w.plan.Wire, n.ifWatching(func() { n.tell(news) }))
		}
	}
}

// beat is discovery's word on every open watch that nothing has changed, at every fourth step; at each, nodes
// give up watches that have been silent for too long.
func (w *World) beat(step int) {
	if w.now > w.plan.Length {
		return
	}
	for _, n := range w.fronts {
		switch {
		case n.watch.open && !n.watch.mute && step%4 == 0:
			n.tell(balancer.ServerList{})
		case n.watch.open && w.now-n.watch.heard >= w.plan.Discovery.Silence:
			n.lose(balancer.ListFailed{})
		}
	}
	w.after(w.plan.Discovery.Beat/4, func() { w.beat(step + 1) })
}

// ifWatching does it unless the node's watch has changed by then.
func (n *node) ifWatching(do func()) func() {
	of := n.watch.n
	return func() {
		if n.watch.open && n.watch.n == of && !n.dead {
			do()
		}
	}
}

// tell brings a node's watch news, some of which break off.
func (n *node) tell(l balancer.ServerList) {
	d := n.w.plan.Discovery
	if len(l.Servers) > 0 && d.Garbled > 0 && n.w.rng.Float64() < d.Garbled {
		n.lose(balancer.ListFailed{Garbled: true})
		return
	}
	n.watch.heard = n.w.now
	if n.watch.knows == nil {
		n.watch.knows = map[string]time.Duration{}
	}
	for _, s := range l.Servers {
		if _, known := n.watch.knows[s.ID]; !known && s.State == balancer.Draining {
			n.watch.knows[s.ID] = n.w.now
		} else if s.State == balancer.Gone {
			delete(n.watch.knows, s.ID)
		}
	}
	n.handle(l)
}

// lose ends a node's watch.
func (n *node) lose(e balancer.ListFailed) {
	if !n.watch.open {
		return
	}
	n.watch.open = false
	n.w.after(n.w.plan.Discovery.Rest, func() { n.handle(e) })
}

// subscribe calls discovery, which sends the whole list and then what changes.
func (n *node) subscribe() {
	w, d := n.w, n.w.plan.Discovery
	if d == nil || n.tier != 0 || w.now > w.plan.Length {
		return
	}
	n.watch.open = false
	n.watch.n++
	of := n.watch.n
	r := &w.registry
	r.free = max(r.free, w.now) + d.Call
	if r.free-w.now > d.TimeOut {
		r.lost++
		w.after(d.TimeOut+d.Rest, func() {
			if n.watch.n == of {
				n.handle(balancer.ListFailed{})
			}
		})
		return
	}
	w.at(r.free, func() {
		if n.watch.n == of && !n.dead {
			n.watch.open, n.watch.mute = true, false
			n.tell(w.list(0))
		}
	})
}

// checkDrain notes a send to a server that the node had been told not to use, or counts as told.
func (n *node) checkDrain(s *Server) {
	d := n.w.plan.Discovery
	if d == nil || n.tier != 0 || s == nil || s.state == balancer.Ready {
		return
	}
	told := s.changed + d.Told
	if at, knows := n.watch.knows[s.id]; knows {
		told = min(told, at)
	}
	if late := n.w.now - told - d.Grace; late > 0 {
		n.w.Broken = append(n.w.Broken, fmt.Sprintf("at %v a send to %s, %v after its drain had to be kept", n.w.now, s.id, late))
	}
}

// arrival is work sent to a cold server.
type arrival struct {
	at   time.Duration
	work float64 // s
}

// warmth is the share of its speed that a server has.
func (s *Server) warmth() float64 {
	c, age := s.cfg.Cold, s.w.now-s.Boot
	if s.Boot <= 0 || c.Warm <= 0 || age >= c.Warm {
		return 1
	}
	return c.From + (1-c.From)*float64(age)/float64(c.Warm)
}

// pushedOver counts the mean work of what is sent to a cold server, in s, and ends it where that is too much.
func (s *Server) pushedOver(work float64) bool {
	c := s.cfg.Cold
	if s.warmth() >= 1 || c.For <= 0 {
		s.sent = nil
		return false
	}
	s.sent = append(s.sent, arrival{s.w.now, work})
	for s.sent[0].at < s.w.now-c.For {
		s.sent = s.sent[1:]
	}
	sum := 0.0
	for _, a := range s.sent {
		sum += a.work
	}
	if sum <= c.Multiple*s.warmth()*s.Speed*s.cfg.Cores*c.For.Seconds() {
		return false
	}
	s.w.FellOver++
	s.w.Broken = append(s.w.Broken, fmt.Sprintf("at %v %s, cold since %v, was pushed over by %.2f s of work in %v", s.w.now, s.id, s.Boot, sum, c.For))
	s.die()
	return true
}
