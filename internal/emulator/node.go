package emulator

import (
	"fmt"
	"slices"

	"cranegrade/balancer"
)

// node hosts a decision module, as an engine does.
type node struct {
	world      *World
	tier       int
	module     DecisionModule
	open       map[string]*call
	lastID     int
	dead       bool // it was replaced
	events     []balancer.Event
	processing bool // events are being handled
	watch      watch
}

// moduleSeedStride keeps the seeds of the nodes' modules apart.
const moduleSeedStride = 7919

// newNode makes the node of a tier with an index among so many that share its servers.
func (w *World) newNode(tier, index, nodes int) (*node, error) {
	settings := w.nodeSettings(tier, index, nodes)
	n := &node{world: w, tier: tier, open: map[string]*call{}}
	if w.config.NewModule != nil {
		n.module = w.config.NewModule(tier, index, settings)
	}
	if n.module == nil {
		b, err := balancer.New(settings, w.config.Seed+uint64(tier*1000+index)*moduleSeedStride)
		if err != nil {
			return nil, fmt.Errorf("making the decision module of node %d of tier %d: %w", index, tier, err)
		}
		n.module = b
	}
	n.handle(w.serverList(tier))
	if tier == 0 && w.config.Discovery != nil {
		n.watch = watch{open: true}
	}
	return n, nil
}

// nodeSettings are the settings of a tier with what depends on the node, and with the classes if these are not set.
func (w *World) nodeSettings(tier, index, nodes int) balancer.Settings {
	settings := w.config.Tiers[tier].Settings
	settings.Balancers = nodes
	settings.Index = index
	settings.Tier = tier
	if w.config.Tiers[tier].AdmissionControl {
		settings.Tier = 0
	}
	if len(settings.Classes) > 0 {
		return settings
	}
	added := map[string]bool{}
	for _, class := range w.config.Classes {
		if !added[class.Name] {
			settings.Classes = append(settings.Classes, class.Class)
		}
		added[class.Name] = true
	}
	return settings
}

// handle gives the module an event. Events that its actions cause at once are handled after it, not within.
func (n *node) handle(event balancer.Event) {
	if n.dead {
		return
	}
	n.events = append(n.events, event)
	if n.processing {
		return
	}
	n.processing = true
	for len(n.events) > 0 && !n.dead {
		event := n.events[0]
		n.events = n.events[1:]
		for _, action := range n.module.Handle(n.world.now, event) {
			n.perform(action)
		}
	}
	n.processing = false
}

// perform executes an action of the decision module.
func (n *node) perform(action balancer.Action) {
	switch a := action.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Cancel:
		if c := n.open[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].end(balancer.Canceled)
		}
	case balancer.Reject:
		if c := n.open[a.ID]; c != nil {
			c.answer(rejected, a.RetryAfter)
		}
	case balancer.Fail:
		if c := n.open[a.ID]; c != nil {
			c.answer(failed, 0)
		}
	case balancer.Wake:
		n.world.at(a.At, func() { n.handle(balancer.Timer{Token: a.Token}) })
	case balancer.Subscribe:
		n.subscribe()
	}
}

// send sends an attempt to a server of the tier.
func (n *node) send(s balancer.Send) {
	c := n.open[s.ID]
	if c == nil {
		n.world.violation("a send for an unknown request")
		return
	}
	n.checkRunsOnce(c)
	a := &attempt{call: c, number: len(c.attempts), server: n.server(s.Server)}
	c.attempts = append(c.attempts, a)
	c.inFlight++
	n.checkDrain(a.server)
	if c.done || a.server == nil {
		a.end(balancer.NeverSent)
		return
	}
	deadline := c.deadline
	if s.Timeout > 0 {
		deadline = min(deadline, n.world.now+s.Timeout)
	}
	n.world.at(deadline, func() { a.end(balancer.TimedOut) })
	n.world.After(n.world.config.NetworkDelay, func() {
		if !a.ended {
			a.server.receive(a, deadline)
		}
	})
}

// server returns the server with an id, or nil if none is listed.
func (n *node) server(id string) *Server {
	var found *Server
	for _, server := range n.world.tiers[n.tier] {
		if server.id == id {
			found = server
		}
	}
	return found
}

// checkRunsOnce records a violation if a non-idempotent call is sent again though it has run.
func (n *node) checkRunsOnce(c *call) {
	if c.class.Effect != balancer.NonIdempotent {
		return
	}
	for _, a := range c.attempts {
		if a.ran {
			n.world.violation("an unsafe request sent again after it ran, at %v", n.world.now)
		}
	}
}

// openCalls are the open calls in the order in which they came.
func (n *node) openCalls() []*call {
	var calls []*call
	for _, c := range n.open {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return a.number - b.number })
	return calls
}
