package node

import (
	"fmt"
	"math/rand/v2"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
	sender "cranegrade/internal/sender/http1"
	"cranegrade/internal/source/registry"
	"cranegrade/internal/source/static"
	"cranegrade/internal/zone"
)

// newPool makes a pool of a plan; its Run starts the engine. A module that is not nil takes the place of the balancer, as
// for provision.
func (n *Node) newPool(planned operator.Pool, xds XDSClient, module engine.Module) (*pool.Pool, error) {
	shares := n.budgets.newShares(planned.Name)
	var zoned *zone.Module
	if module == nil && (n.options.Trace != nil || planned.Zoned || n.fleet != nil) {
		var err error
		if module, zoned, err = n.newModule(planned); err != nil {
			return nil, fmt.Errorf("pool %q: %w", planned.Name, err)
		}
	}
	to, err := n.newSender(planned, shares)
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", planned.Name, err)
	}
	var learned *balancer.Knowledge
	if inherited := n.hotRestart.predecessorPool(planned.Name); inherited != nil {
		learned = inherited.Knowledge
	}
	p, err := pool.New(pool.Config{
		Name:        planned.Name,
		Settings:    planned.Settings,
		Seed:        seed(planned),
		Clock:       n.clock,
		Sender:      to,
		Source:      newSource(planned.List, xds),
		InitialList: planned.Known,
		Pushed:      planned.Pushed,
		Shares:      shares,
		Module:      module,
		GRPC:        planned.GRPC,
		AdminStates: n.adminState,
		Knowledge:   learned,
	})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", planned.Name, err)
	}
	if zoned != nil {
		n.zones.add(planned.Name, zoned)
	}
	return p, nil
}

// newModule builds the balancer of a pool and wraps it, from the inside out, in the modules for zones, the trace and the
// fleet. zoned is nil if the pool is not served by zone.
func (n *Node) newModule(planned operator.Pool) (module engine.Module, zoned *zone.Module, err error) {
	b, err := balancer.New(planned.Settings, seed(planned))
	if err != nil {
		return nil, nil, err
	}
	module = b
	if planned.Zoned {
		zoned = zone.NewModule(b, planned.Name, zoneConfig(*n.zones.plan, planned.Settings), n.zones.accounting, seed(planned))
		module = zoned
	}
	if n.options.Trace != nil {
		if module, err = n.options.Trace(planned.Name, planned.Settings.Classes, module); err != nil {
			return nil, nil, err
		}
	}
	if n.fleet != nil {
		module = n.fleet.Module(planned.Name, planned.Settings, module)
	}
	return module, zoned, nil
}

// newSender opens the sender that carries a pool's attempts to its servers.
func (n *Node) newSender(planned operator.Pool, shares pool.Shares) (engine.Sender, error) {
	switch {
	case !planned.H2:
		return sender.New(sender.Config{
			ServerIdleTimeout: planned.Connections.Idle,
			ConnectTimeout:    planned.Connections.ConnectWithin,
			Connections:       shares.Connections,
			ResponseBuffers:   shares.ResponseBuffers,
		}), nil
	case n.options.H2 == nil:
		return nil, ErrNoH2
	}
	return n.options.H2(planned.Connections, planned.Mux, shares.Connections), nil
}

// newSource opens the source of a pool's server list. xds is not nil if the list names a cluster: the operator's file is
// rejected otherwise.
func newSource(list operator.List, xds XDSClient) engine.Source {
	switch {
	case list.Registry != "":
		return registry.New(list.Registry)
	case list.XDS != "":
		return xds.Source(list.XDS, list.Levels)
	}
	return static.Source(list.Static)
}

// seed returns the pool's own seed, or a random one if it has none.
func seed(planned operator.Pool) uint64 {
	if planned.Seed != 0 {
		return planned.Seed
	}
	return rand.Uint64()
}
