package emulator

import (
	"strconv"
	"time"

	"cranegrade/balancer"
)

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
	c := &call{
		node:     n,
		number:   n.lastID,
		id:       strconv.Itoa(n.lastID),
		class:    class,
		deadline: deadline,
		answered: answered,
	}
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
	n.handle(balancer.Request{
		ID:          c.id,
		Class:       class.Name,
		Deadline:    deadline,
		ClientRetry: retry,
		Tenant:      class.Tenant,
	})
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
	server *Server // nil if it is not listed any more
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
	c.node.handle(balancer.Outcome{
		ID:      c.id,
		Attempt: a.number,
		Server:  id,
		Ending:  ending,
		Ended:   c.done,
	})
	c.closeIfDone()
}
