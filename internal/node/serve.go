package node

import (
	"context"
	"fmt"
	"time"
)

// reclaimInterval is how often pools give back idle connections that others want, and draining fronts close idle connections,
// so that their callers connect elsewhere (see closeIdleCallers).
const reclaimInterval = 100 * time.Millisecond

// Run serves until ctx ends and then drains. It returns once every accepted request is answered, or abandoned at the
// drain time-out, and everything is closed. A front that ends by itself is an error. Run is called once.
func (n *Node) Run(ctx context.Context) error {
	n.runPools() //nolint:contextcheck // pools outlive ctx: they complete their calls while the node drains
	defer n.stop()
	served := n.startFronts()
	if err := n.serve(ctx, served); err != nil {
		return err
	}
	return n.drain(served) //nolint:contextcheck // ctx has ended by now, and the drain has a deadline of its own
}

// runPools starts the engines of all pools.
func (n *Node) runPools() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.serving.Load().pools {
		p.Run()
	}
}

// startFronts accepts callers and operators' commands from now on, and tells a predecessor that it may drain. The channel
// receives the result of each front that ends. Closing the servers, which stop does, ends the goroutines.
func (n *Node) startFronts() <-chan error {
	served := make(chan error, len(n.fronts)) // with room for every result, so that no front waits for a reader
	if n.inspection != nil {
		go n.inspection.serve()
	}
	if n.commandServer != nil {
		go n.commandServer.Serve()
	}
	for _, f := range n.fronts {
		go func() { served <- f.Serve() }()
	}
	n.hotRestart.start()
	n.ready.Store(true)
	return served
}

// serve returns nil when ctx ends, and an error if a front ends before.
func (n *Node) serve(ctx context.Context, served <-chan error) error {
	reclaim := time.NewTicker(reclaimInterval)
	defer reclaim.Stop()
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serving callers: %w", err)
		case <-reclaim.C:
			n.reclaimIdleConnections()
			n.closeIdleCallers()
		case <-ctx.Done():
			return nil
		}
	}
}
