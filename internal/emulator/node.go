package emulator

import (
	"fmt"
	"slices"
	"strconv"
	"time"

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
	settings.Balancers, settings.Index, settings.Tier = nodes, index, tier
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

// callResult is the result of a call for its caller.
type callResult int

const (
	served callResult = iota
	rejected
	failed
)

// call is a request that a node has accepted.
type call struct {
	node     *node
	number   int
	id       string // the number as text
	class    *Class
	deadline time.Duration
	answered func(result callResult, retryAfter time.Duration)
	done     bool // answered
	inFlight int
	attempts []*attempt
}

// fallbackDelay is how long after the deadline an engine answers in place of a module that has not.
const fallbackDelay = 20 * time.Millisecond

// accept makes a node answer a request by a deadline. retry says that the caller has sent it before.
func (n *node) accept(class *Class, deadline time.Duration, retry bool, answered func(callResult, time.Duration)) {
	n.lastID++
	c := &call{node: n, number: n.lastID, id: strconv.Itoa(n.lastID), class: class, deadline: deadline, answered: answered}
	n.open[c.id] = c
	if deadline <= n.world.now {
		c.answer(rejected, 0)
		return
	}
	n.world.at(deadline+fallbackDelay, func() {
		if !c.done {
			c.answer(failed, 0)
			n.handle(balancer.ClientGone{ID: c.id})
		}
	})
	n.handle(balancer.Request{ID: c.id, Class: class.Name, Deadline: deadline, ClientRetry: retry, Tenant: class.Tenant})
}

// answer answers the caller, once.
func (c *call) answer(result callResult, retryAfter time.Duration) {
	if c.done {
		return
	}
	c.done = true
	c.closeIfDone()
	c.answered(result, retryAfter)
}

// closeIfDone forgets a call that is answered and has no attempt in flight.
func (c *call) closeIfDone() {
	if c.done && c.inFlight == 0 {
		delete(c.node.open, c.id)
	}
}

// attempt is one sending of a call to a server.
type attempt struct {
	call   *call
	number int
	server *Server // nil: not listed any more
	ended  bool    // for the node, which does not wait for it any more
	ran    bool    // the server began to work on it
}

// end ends an attempt, once.
func (a *attempt) end(ending balancer.Ending) {
	if a.ended {
		return
	}
	a.ended = true
	c := a.call
	c.inFlight--
	if ending == balancer.Success {
		c.answer(served, 0)
	}
	id := ""
	if a.server != nil {
		id = a.server.id
	}
	c.node.handle(balancer.Outcome{ID: c.id, Attempt: a.number, Server: id, Ending: ending, Ended: c.done})
	c.closeIfDone()
}
