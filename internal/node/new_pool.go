package node

import (
	"fmt"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
	sender "cranegrade/internal/sender/http1"
	"cranegrade/internal/zone"
)

// newPool opens a pool; Run of it starts its engine. module: see provision.
func (n *Node) newPool(pp operator.Pool, x XDSClient, module engine.Module) (*pool.Pool, error) {
	shares := n.budgets.newShares(pp.Name)
	var zoned *zone.Module
	if module == nil && (n.options.Trace != nil || pp.Zoned || n.fleet != nil) {
		var err error
		if module, zoned, err = n.newModule(pp); err != nil {
			return nil, fmt.Errorf("pool %q: %w", pp.Name, err)
		}
	}
	to, err := n.newSender(pp, shares)
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", pp.Name, err)
	}
	var learned *balancer.Knowledge
	if was := n.hotRestart.predecessorPool(pp.Name); was != nil {
		learned = was.Knowledge
	}
	p, err := pool.New(pool.Config{
		Name: pp.Name, Settings: pp.Settings, Seed: seed(pp), Clock: n.clock,
		Sender: to, Source: n.source(pp.List, x), InitialList: pp.Known, Pushed: pp.Pushed,
		Shares: shares, Module: module, GRPC: pp.GRPC, AdminStates: n.adminState, Knowledge: learned,
	})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", pp.Name, err)
	}
	if zoned != nil {
		n.zones.add(pp.Name, zoned)
	}
	return p, nil
}

// newModule builds the balancer of a pool with what stands around it, from the inside: zones, the trace, the fleet.
func (n *Node) newModule(pp operator.Pool) (m engine.Module, zoned *zone.Module, err error) {
	in, err := balancer.New(pp.Settings, seed(pp))
	if err != nil {
		return nil, nil, err
	}
	m = in
	if pp.Zoned {
		zoned = zone.NewModule(in, pp.Name, zoneConfig(*n.zones.plan, pp.Settings), n.zones.book, seed(pp))
		m = zoned
	}
	if n.options.Trace != nil {
		if m, err = n.options.Trace(pp.Name, pp.Settings.Classes, m); err != nil {
			return nil, nil, err
		}
	}
	if n.fleet != nil {
		m = n.fleet.Module(pp.Name, pp.Settings, m)
	}
	return m, zoned, nil
}

// newSender opens what carries a pool's attempts to its servers.
func (n *Node) newSender(pp operator.Pool, shares pool.Shares) (engine.Sender, error) {
	switch {
	case !pp.H2:
		return sender.New(sender.Config{
			ServerIdleTimeout: pp.Conns.Idle, ConnectTimeout: pp.Conns.ConnectWithin,
			Connections: shares.Connections, ResponseBuffers: shares.ResponseBuffers,
		}), nil
	case n.options.H2 == nil:
		return nil, ErrNoH2
	}
	return n.options.H2(pp.Conns, pp.Mux, shares.Connections), nil
}
