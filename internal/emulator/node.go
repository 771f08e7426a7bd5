package emulator

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"cranegrade/balancer"
)

type verdict int

const (
	verdictServed verdict = iota
	verdictRefused
	verdictFailed
)

// node hosts a decider, as an engine does.
type node struct {
	w       *World
	tier    int
	decider Decider
	open    map[string]*call
	nextID  int
	dead    bool
	queue   []balancer.Event
	busy    bool
	watch   watch
}

// call is a request that a node has taken.
type call struct {
	n        *node
	id       string
	class    *Class
	deadline time.Duration
	told     func(verdict, time.Duration)
	done     bool
	out      int
	attempts []*attempt
}

// attempt is one send of a call.
type attempt struct {
	c       *call
	n       int
	server  *Server
	ended   bool
	gone    bool // the node no longer waits
	running bool // it has begun at the server
}

func (w *World) newNode(tier, index, copies int) (*node, error) {
	set := w.plan.Tiers[tier].Settings
	set.Balancers, set.Index, set.Tier = copies, index, tier
	if w.plan.Tiers[tier].Admits {
		set.Tier = 0
	}
	if len(set.Classes) == 0 {
		known := map[string]bool{}
		for _, c := range w.plan.Classes {
			if !known[c.Name] {
				set.Classes = append(set.Classes, c.Class)
			}
			known[c.Name] = true
		}
	}
	n := &node{w: w, tier: tier, open: map[string]*call{}}
	if w.plan.Decider != nil {
		n.decider = w.plan.Decider(tier, index, set)
	}
	if n.decider == nil {
		b, err := balancer.New(set, w.plan.Seed+uint64(tier*1000+index)*7919)
		if err != nil {
			return nil, fmt.Errorf("tier %d: %w", tier, err)
		}
		n.decider = b
	}
	n.handle(w.list(tier))
	if tier == 0 && w.plan.Discovery != nil {
		n.watch = watch{open: true}
	}
	return n, nil
}

// lastCall is how long after the deadline an engine answers for a module that has not.
const lastCall = 20 * time.Millisecond

// take has a node answer a request by a deadline.
func (n *node) take(c *Class, deadline time.Duration, repeat bool, told func(verdict, time.Duration)) *call {
	n.nextID++
	k := &call{n: n, id: strconv.Itoa(n.nextID), class: c, deadline: deadline, told: told}
	n.open[k.id] = k
	if deadline <= n.w.now {
		k.answer(verdictRefused, 0)
		return k
	}
	// The engine's last call, a little after the module's own.
	n.w.at(deadline+lastCall, func() {
		if !k.done {
			k.answer(verdictFailed, 0)
			n.handle(balancer.ClientGone{ID: k.id})
		}
	})
	n.handle(balancer.Request{ID: k.id, Class: c.Name, Deadline: deadline, ClientRetry: repeat, Tenant: c.Tenant})
	return k
}

// gone says that the caller has left.
func (k *call) leave() {
	if !k.done {
		k.done = true
		k.n.handle(balancer.ClientGone{ID: k.id})
		k.forget()
	}
}

func (k *call) answer(v verdict, retry time.Duration) {
	if k.done {
		return
	}
	k.done = true
	k.forget()
	k.told(v, retry)
}

func (k *call) forget() {
	if k.done && k.out == 0 {
		delete(k.n.open, k.id)
	}
}

// handle gives the decider an event, and then those that its own actions caused at once.
func (n *node) handle(e balancer.Event) {
	if n.dead {
		return
	}
	n.queue = append(n.queue, e)
	if n.busy {
		return
	}
	n.busy = true
	for len(n.queue) > 0 && !n.dead {
		e := n.queue[0]
		n.queue = n.queue[1:]
		for _, a := range n.decider.Handle(n.w.now, e) {
			n.carryOut(a)
		}
	}
	n.busy = false
}

func (n *node) carryOut(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Cancel:
		if k := n.open[a.ID]; k != nil && a.Attempt < len(k.attempts) {
			k.attempts[a.Attempt].end(balancer.Canceled)
		}
	case balancer.Reject:
		if k := n.open[a.ID]; k != nil {
			k.answer(verdictRefused, a.RetryAfter)
		}
	case balancer.Fail:
		if k := n.open[a.ID]; k != nil {
			k.answer(verdictFailed, 0)
		}
	case balancer.Wake:
		n.w.at(a.At, func() { n.handle(balancer.Timer{Token: a.Token}) })
	case balancer.Subscribe:
		n.subscribe()
	}
}

func (n *node) send(s balancer.Send) {
	k := n.open[s.ID]
	if k == nil {
		n.w.Broken = append(n.w.Broken, "a send for an unknown request")
		return
	}
	a := &attempt{c: k, n: len(k.attempts)}
	for _, x := range k.attempts {
		if x.running && k.class.Effect == balancer.NonIdempotent {
			n.w.Broken = append(n.w.Broken, fmt.Sprintf("an unsafe request sent again after it ran, at %v", n.w.now))
		}
	}
	for _, x := range n.w.tiers[n.tier] {
		if x.id == s.Server {
			a.server = x
		}
	}
	k.attempts = append(k.attempts, a)
	k.out++
	n.checkDrain(a.server)
	if k.done || a.server == nil {
		a.end(balancer.NeverSent)
		return
	}
	deadline := k.deadline
	if s.Timeout > 0 {
		deadline = min(deadline, n.w.now+s.Timeout)
	}
	n.w.at(deadline, func() { a.end(balancer.TimedOut) })
	n.w.after(n.w.plan.Wire, func() {
		if !a.gone {
			a.server.arrive(a, deadline)
		}
	})
}

// end ends an attempt, once.
func (a *attempt) end(e balancer.Ending) {
	if a.ended {
		return
	}
	a.ended, a.gone = true, true
	k := a.c
	k.out--
	if e == balancer.Success {
		k.answer(verdictServed, 0)
	}
	k.n.handle(balancer.Outcome{ID: k.id, Attempt: a.n, Server: a.id(), Ending: e, Ended: k.done})
	k.forget()
}

func (a *attempt) id() string {
	if a.server == nil {
		return ""
	}
	return a.server.id
}

// sorted are a node's open calls in the order in which they came.
func (n *node) sorted() []*call {
	var l []*call
	for _, k := range n.open {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool {
		x, _ := strconv.Atoi(l[i].id)
		y, _ := strconv.Atoi(l[j].id)
		return x < y
	})
	return l
}
