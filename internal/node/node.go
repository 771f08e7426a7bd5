// Package node runs the decision module on real sockets: callers on one side, servers on the other,
// and discovery, which tells of them. It makes no decisions.
package node

import (
	"context"
	"fmt"
	"log"
	"net"
	"time"

	"hollyspur"
)

// Node is one real node.
type Node struct {
	loop     *loop
	front    *front
	listener net.Listener
	known    List
	linger   time.Duration // how long a stopping node goes on as before
	patience time.Duration // how long callers may wait for what a stopping node has taken
}

// reserved descriptors are for the listener, the watch, the log and the runtime.
const reserved = 32

// New returns a node that listens.
func New(cfg Config) (*Node, error) {
	b, err := hollyspur.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return newNode(cfg, b)
}

func newNode(cfg Config, m module) (*Node, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	// A call out needs a caller, and callers hold idle connections besides: they get the larger part.
	upstreams := max(1, (cfg.Sockets-reserved)*2/5)
	callers := max(1, cfg.Sockets-reserved-upstreams)
	l := newLoop(cfg, m, newUpstream(cfg, upstreams), newDiscovery(cfg.Discovery))
	n := &Node{loop: l, front: newFront(l, cfg), known: cfg.Known, listener: newCallers(listener, callers)}
	for _, c := range cfg.Settings.Classes {
		n.patience = max(n.patience, min(c.Deadline, maxPatience))
	}
	n.linger = max(minLinger, n.patience-settling)
	return n, nil
}

// Addr is the address that the node listens on.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Reload goes over to the discovery that cfg names. All else in it is for the next start.
func (n *Node) Reload(cfg Config) {
	n.loop.post(func() { n.loop.moveWatch(cfg.Discovery) })
}

const (
	// New connections come for up to 0.4 s after the signal, and closing the listener would reset those
	// not yet accepted.
	minLinger = 500 * time.Millisecond
	// Callers go on using the connections that they have, and may have no other node to turn to: these
	// stay open until what comes on them would hardly be answered before the kill.
	settling = time.Second
	// A stopping node is killed once the longest deadline, maxPatience at the most, and killedAfter
	// more have passed. It answers everything by lastCall before that.
	maxPatience = 3 * time.Second
	killedAfter = 700 * time.Millisecond
	lastCall    = 250 * time.Millisecond
)

// Run serves until ctx ends, and then until all that was taken is answered.
func (n *Node) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop.run(running)
	n.loop.post(func() {
		n.loop.takeList(n.known, true)
		if n.loop.pushed {
			n.loop.subscribe()
		}
	})
	srv := n.front.server()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(n.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serving callers: %w", err)
	case <-ctx.Done():
	}

	log.Print("told to stop")
	defer log.Print("stopped")
	cutoff := time.Now().Add(n.patience + killedAfter - lastCall)
	n.loop.after(time.Until(cutoff), n.loop.abandonAll)
	select {
	case err := <-served:
		return fmt.Errorf("serving callers: %w", err)
	case <-time.After(n.linger):
	}
	closing, cancel := context.WithDeadline(context.Background(), cutoff.Add(lastCall/2))
	defer cancel()
	srv.Shutdown(closing) // an error means connections that never sent a request
	return nil
}
