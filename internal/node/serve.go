package node

import (
	"context"
	"fmt"
	"time"
)

// reclaimInterval is how often pools are asked for what they have borrowed and do not need.
const reclaimInterval = 100 * time.Millisecond

// Run serves until ctx ends, then drains: it returns once all that was taken is answered, or cut off at the drain
// timeout, and everything is closed. It is called once.
func (n *Node) Run(ctx context.Context) error {
	n.runPools()
	defer n.stopPools()
	served := n.startFronts()
	if err := n.serve(ctx, served); err != nil {
		return err
	}
	return n.drain(served)
}

func (n *Node) runPools() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.serving.Load().pools {
		p.Run()
	}
}

// startFronts takes clients and operators' commands from now on, and tells a predecessor so. What it returns tells of each
// front that has ended.
func (n *Node) startFronts() <-chan error {
	served := make(chan error, len(n.fronts))
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

// serve lasts until ctx ends; a front that ends before is an error.
func (n *Node) serve(ctx context.Context, served <-chan error) error {
	reclaim := time.NewTicker(reclaimInterval)
	defer reclaim.Stop()
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serving callers: %w", err)
		case <-reclaim.C:
			n.reclaimIdleConnections()
			n.redirectIdleCallers()
		case <-ctx.Done():
			return nil
		}
	}
}
