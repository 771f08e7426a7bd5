package node

import (
	"context"
	"fmt"
	"log"
	"sync"
	"time"

	front "cranegrade/internal/front/http1"
	"cranegrade/internal/pool"
)

const (
	// minDrainDelay is the least time for which a draining node without a successor keeps its listeners open: callers open
	// new connections for up to 0.4 s after the signal, and closing a listener resets those that are not yet accepted.
	minDrainDelay = 500 * time.Millisecond
	// drainMargin is how long before the drain time-out the listeners are closed. Callers go on using the connections that
	// they have and may know no other node, so these stay open until a further request would hardly be answered in time.
	drainMargin = 500 * time.Millisecond
	// maxDrainTimeout bounds the drain time-out, which otherwise is the longest deadline of a class. The platform kills a
	// stopping node killGrace after the same time.
	maxDrainTimeout = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	// answerMargin is how long before the kill all requests in flight are answered or abandoned.
	answerMargin = 250 * time.Millisecond
	// forcedCloseMargin is how long before the kill the fronts close what is still open: abandoned requests have the time
	// from answerMargin until then for their answers to be written.
	forcedCloseMargin = answerMargin / 2
	// redirectInterval is how often a process with a successor closes idle connections of callers.
	redirectInterval = 20 * time.Millisecond
)

// setDrainTimeout sets the drain time-out to the longest deadline of these pools.
func (n *Node) setDrainTimeout(pools map[string]*pool.Pool) {
	var longest time.Duration
	for _, p := range pools {
		longest = max(longest, min(p.LongestDeadline(), maxDrainTimeout))
	}
	n.drainTimeoutNanos.Store(int64(longest))
}

// drainTimeout returns how long a draining node waits for requests in flight.
func (n *Node) drainTimeout() time.Duration { return time.Duration(n.drainTimeoutNanos.Load()) }

// drain completes the requests in flight. With a successor new connections go there at once; without one they are still
// served for drainDelay, since callers may know no other node. Every request is answered, or abandoned, answerMargin
// before the platform kills the process. A front that ends during the drain delay is an error.
func (n *Node) drain(served <-chan error) error {
	n.stopping.Store(true)
	n.ready.Store(false)
	log.Print("drain started")
	// The other members take over this node's part while it still serves what it has; stop waits for that.
	n.retired.Go(n.leaveFleet)
	defer log.Print("drain complete, stopped")
	kill := time.Now().Add(n.drainTimeout() + killGrace)
	cutoff := kill.Add(-answerMargin)
	abandon := time.AfterFunc(time.Until(cutoff), n.abandonAll)
	defer abandon.Stop()
	if n.hotRestart.hasSuccessor() {
		n.yieldToSuccessor(cutoff)
	} else {
		select {
		case err := <-served:
			return fmt.Errorf("serving callers: %w", err)
		case <-time.After(n.drainDelay):
		}
	}
	n.shutdownFronts(kill.Add(-forcedCloseMargin))
	return nil
}

// shutdownFronts shuts all fronts down at once, and waits for them until the deadline.
func (n *Node) shutdownFronts(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var stopping sync.WaitGroup
	for _, f := range n.fronts {
		stopping.Go(func() {
			_ = f.Shutdown(ctx) // past the deadline only connections that never sent a request are left; stop closes them
		})
	}
	stopping.Wait()
}

// drainable is a front that can send its callers to another node or process. Fronts for proxies are not: a proxy decides
// by itself when to turn elsewhere.
type drainable interface {
	// SetDraining begins or ends closing callers' connections with their next answer.
	SetDraining(on bool)
	// CloseIdleIfDraining closes the connections that are idle, if the front is draining.
	CloseIdleIfDraining()
	// SetUnready begins or ends answering the readiness endpoint with 503.
	SetUnready(on bool)
	// OpenConnections returns how many connections are open.
	OpenConnections() int
	// HandOverListener stops accepting: a successor accepts from the same queue.
	HandOverListener()
}

// The assertion in drainableFronts would leave out, without an error, a front that has lost a method.
var _ drainable = (*front.Front)(nil)

// drainableFronts returns the fronts whose callers can be sent elsewhere.
func (n *Node) drainableFronts() (fronts []drainable) {
	for _, f := range n.fronts {
		if d, ok := f.(drainable); ok {
			fronts = append(fronts, d)
		}
	}
	return fronts
}

// yieldToSuccessor leaves new connections to the successor and sends callers there, until no connection is left or the
// cutoff has come.
func (n *Node) yieldToSuccessor(cutoff time.Time) {
	log.Print("hot restart: yielding to the successor")
	n.handedOff.Store(true) // from here on an operator's drain-off does not call callers back
	fronts := n.drainableFronts()
	for _, f := range fronts {
		f.HandOverListener()
		f.SetDraining(true)
	}
	tick := time.NewTicker(redirectInterval)
	defer tick.Stop()
	for time.Now().Before(cutoff) {
		n.closeIdleCallers()
		if openConnections(fronts) == 0 {
			return
		}
		<-tick.C
	}
}

// openConnections returns how many connections the fronts have open in all.
func openConnections(fronts []drainable) (open int) {
	for _, f := range fronts {
		open += f.OpenConnections()
	}
	return open
}

// closeIdleCallers closes idle connections of callers at fronts that drain. The callers connect again, to whichever node their
// own load balancing or the platform chooses; the node names none.
func (n *Node) closeIdleCallers() {
	for _, f := range n.drainableFronts() {
		f.CloseIdleIfDraining()
	}
}

// abandonAll has every pool answer its open calls with a failure, also those that finish after their removal.
func (n *Node) abandonAll() {
	n.forEachPool(func(p *pool.Pool) { p.Engine().AbandonAll() })
}
