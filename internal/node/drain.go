package node

import (
	"context"
	"fmt"
	"log"
	"sync"
	"time"

	"cranegrade/internal/pool"
)

const (
	// New connections come for up to 0.4 s after the signal, and closing the listener would reset those
	// not yet accepted.
	minDrainDelay = 500 * time.Millisecond
	// Callers go on using the connections that they have, and may have no other node to turn to: these
	// stay open until what comes on them would hardly be answered before the kill.
	drainMargin = 500 * time.Millisecond
	// A stopping node is killed once the longest deadline, maxDrainTimeout at the most, and killGrace
	// more have passed. It answers everything by answerMargin before that.
	maxDrainTimeout = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	answerMargin    = 250 * time.Millisecond
)

// setDrainTimeout sets how long a stopping node waits for what these pools have taken.
func (n *Node) setDrainTimeout(pools map[string]*pool.Pool) {
	var longest time.Duration
	for _, p := range pools {
		longest = max(longest, min(p.LongestDeadline(), maxDrainTimeout))
	}
	n.drainTimeoutNanos.Store(int64(longest))
}

func (n *Node) drainTimeout() time.Duration { return time.Duration(n.drainTimeoutNanos.Load()) }

// drain completes what was taken. Without a successor new requests are still served for drainDelay, since clients may
// have no other node; all is answered, or abandoned, answerMargin before the kill.
func (n *Node) drain(served <-chan error) error {
	n.stopping.Store(true)
	n.ready.Store(false)
	log.Print("told to stop")
	n.retired.Go(n.leaveFleet) // its part is taken over while it still serves what it has; the end waits for it
	defer log.Print("stopped")
	cutoff := time.Now().Add(n.drainTimeout() + killGrace - answerMargin)
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
	n.shutdownFronts(cutoff.Add(answerMargin / 2))
	return nil
}

// shutdownFronts waits for all fronts at once, until the deadline.
func (n *Node) shutdownFronts(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var stopping sync.WaitGroup
	for _, f := range n.fronts {
		stopping.Go(func() { f.Shutdown(ctx) }) // an error means connections that never sent a request
	}
	stopping.Wait()
}

// drainable are fronts whose callers can be sent elsewhere.
type drainable interface {
	LeadAway(on bool)
	LeadIdle()
	Unready(on bool)
	Open() int
	Hand() // accepts nothing more: a successor accepts from the same queue
}

// redirectInterval is how often a process that gives way looks for idle connections.
const redirectInterval = 20 * time.Millisecond

// yieldToSuccessor leaves new connections to the successor and leads callers there, until none is left or time is up.
func (n *Node) yieldToSuccessor(until time.Time) {
	log.Print("giving way to a successor")
	n.handedOff.Store(true) // whatever is ordered from here on
	for _, f := range n.fronts {
		if l, can := f.(drainable); can {
			l.Hand()
			l.LeadAway(true)
		}
	}
	tick := time.NewTicker(redirectInterval)
	defer tick.Stop()
	for time.Now().Before(until) {
		n.redirectIdleCallers()
		open := 0
		for _, f := range n.fronts {
			if l, can := f.(drainable); can {
				open += l.Open()
			}
		}
		if open == 0 {
			return
		}
		<-tick.C
	}
}

func (n *Node) redirectIdleCallers() {
	for _, f := range n.fronts {
		if l, can := f.(drainable); can {
			l.LeadIdle()
		}
	}
}

func (n *Node) abandonAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.serving.Load().pools {
		p.Engine().AbandonAll()
	}
	for p := range n.retiring {
		p.Engine().AbandonAll()
	}
}
