package node

import (
	"fmt"
	"net"

	"cranegrade/internal/admin"
	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
)

// provision opens everything that a plan names, in the order in which the parts depend on each other. Nothing is served
// until Run. On an error everything that was opened is closed again. A module that is not nil takes the place of the
// balancer in every pool; tests use it.
func provision(plan operator.Plan, o Options, module engine.Module) (_ *Node, err error) {
	n := emptyNode(o)
	defer func() {
		if err != nil {
			n.closeAll()
		}
	}()
	n.connectPredecessor(plan.State)
	if err := n.openClients(plan); err != nil {
		return nil, err
	}
	set, err := n.openPools(plan, module)
	if err != nil {
		return nil, err
	}
	if err := n.divide(plan, set.pools); err != nil {
		return nil, err
	}
	if err := n.openFronts(plan); err != nil {
		return nil, err
	}
	if err := n.openControl(plan); err != nil {
		return nil, err
	}
	n.plan = plan
	n.serving.Store(set)
	n.setDrainTimeout(set.pools)
	n.drainDelay = max(minDrainDelay, n.drainTimeout()-drainMargin)
	n.connectAdminState()
	return n, nil
}

// connectAdminState has changes of the administrative state reach the fronts, the pools and the other processes of the node
// from now on. What an earlier process or a predecessor left of it is known by now and takes effect.
func (n *Node) connectAdminState() {
	n.adminState.onChange = n.applyAdminState
	if n.hotRestart != nil {
		n.adminState.replicate = n.hotRestart.replicate
	}
	n.applyAdminState(nil)
}

// emptyNode returns a node without pools and listeners, whose budgets allow nothing.
func emptyNode(o Options) *Node {
	clock := engine.NewClock()
	n := &Node{
		options:    o,
		clock:      clock,
		adminState: newAdminState(clock),
		retiring:   map[*pool.Pool]struct{}{},
		stopped:    make(chan struct{}),
		budgets:    newBudgets(),
	}
	n.newCallers = n.budgets.downstreamConns.NewShare()
	return n
}

// connectPredecessor looks for the process that this one takes over from. While both run, each has half of the limits.
func (n *Node) connectPredecessor(dir string) {
	n.hotRestart = newHotRestart(n, dir)
	n.processes = 1
	if n.hotRestart != nil && n.hotRestart.predecessor != nil {
		n.processes = 2
	}
}

// openClients opens what pools depend on: the client of control planes, the zone account and the fleet.
func (n *Node) openClients(plan operator.Plan) (err error) {
	if n.xds, err = n.openXDS(plan); err != nil {
		return err
	}
	if n.zones, err = openZones(plan.Zones, n.options.ZoneStore); err != nil {
		return err
	}
	n.fleet, err = joinFleet(plan, n.options.Fleet)
	return err
}

// openXDS opens the client of the control planes that a plan names. It returns nil if the plan names none.
func (n *Node) openXDS(p operator.Plan) (XDSClient, error) {
	if p.XDS == nil {
		return nil, nil
	}
	if n.options.XDS == nil {
		return nil, ErrNoXDS
	}
	return n.options.XDS(*p.XDS)
}

// openPools makes the pools of a plan. Their engines do not run yet.
func (n *Node) openPools(plan operator.Plan, module engine.Module) (*servingSet, error) {
	s := &servingSet{routes: plan.Routes, pools: make(map[string]*pool.Pool, len(plan.Pools))}
	for _, planned := range plan.Pools {
		n.hotRestart.inheritServers(&planned)
		p, err := n.newPool(planned, n.xds, module)
		if err != nil {
			return nil, err
		}
		s.pools[planned.Name] = p
		s.onlyPool = p
	}
	return s, nil
}

// openFronts listens for callers by HTTP/1.1, callers by HTTP/2, and proxies that ask, in this order.
func (n *Node) openFronts(plan operator.Plan) error {
	for _, addr := range plan.Listen {
		l, err := n.listen(addr)
		if err != nil {
			return err
		}
		n.fronts = append(n.fronts, front.New(l, n.clock, callerRoutes{n}, n.newCallers))
	}
	for _, addr := range plan.ListenH2 {
		l, err := n.listen(addr)
		if err != nil {
			return err
		}
		f := front.NewH2(l, n.clock, callerRoutes{n}, n.newCallers, front.H2Limits(plan.H2))
		if n.options.GRPC != nil {
			f.Dialect = n.options.GRPC(n)
		}
		n.fronts = append(n.fronts, f)
	}
	return n.openExtProc(plan.ExtProc)
}

// openExtProc listens for proxies that ask where to send a request, if the plan has a front for them.
func (n *Node) openExtProc(planned *operator.ExtProc) error {
	if planned == nil {
		return nil
	}
	if n.options.ExtProc == nil {
		return ErrNoExtProc
	}
	l, err := n.listen(planned.Listen)
	if err != nil {
		return err
	}
	n.fronts = append(n.fronts, n.options.ExtProc(l, *planned, n.clock, n))
	return nil
}

// listen opens an address, or inherits its listener from the predecessor.
func (n *Node) listen(addr string) (net.Listener, error) {
	l, err := n.hotRestart.listen(addr)
	if err == nil {
		n.listeners = append(n.listeners, l)
	}
	return l, err
}

// openControl listens for operators' commands and opens the inspection server.
func (n *Node) openControl(plan operator.Plan) (err error) {
	if plan.Operator != "" {
		execute := func(c admin.Command) (string, error) { return n.adminState.execute(c, n.ready.Load) }
		if n.commandServer, err = admin.Listen(plan.Operator, execute); err != nil {
			return fmt.Errorf("operator: %w", err)
		}
	}
	if plan.Admin != "" {
		n.inspection, err = newInspectionServer(n, plan.Admin)
	}
	return err
}
