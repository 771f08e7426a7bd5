// Package node puts a process together: fronts towards callers, routes, pools with their engines, and
// the senders and sources these use. It starts, reloads and stops them. It makes no decisions and
// parses nothing but the platform's configuration.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/admin"
	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
	"cranegrade/internal/route"
	sender "cranegrade/internal/sender/http1"
	"cranegrade/internal/wire"
	"cranegrade/internal/zone"
)

// Node is one process's worth of fronts and pools.
type Node struct {
	options       Options
	inspection    *inspectionServer // nil: none
	zones         *zoneAccounts
	fleet         Member // nil: this node is in none
	clock         engine.Clock
	budgets       budgets
	newCallers    *pool.Share // for callers' connections before their first request
	fronts        []Front
	serving       atomic.Pointer[servingSet]
	drainDelay    time.Duration // how long a stopping node goes on as before
	adminState    *adminState
	commandServer *admin.Server // nil: operators can't call
	hotRestart    *hotRestart   // nil: nobody hands anything over
	processes     int64         // processes that share the node's limits
	listeners     []net.Listener
	ready         atomic.Bool // clients are taken

	stopping          atomic.Bool
	handedOff         atomic.Bool  // a successor takes new callers
	drainTimeoutNanos atomic.Int64 // ns that callers may wait for what a stopping node has taken

	mu       sync.Mutex // guards what follows, and orders reloads
	plan     operator.Plan
	xds      XDSClient // nil: none
	retiring map[*pool.Pool]struct{}
	stopped  chan struct{} // closed when Run no longer wants the pools
	retired  sync.WaitGroup
}

// servingSet is what fronts use, replaced as a whole by a reload.
type servingSet struct {
	routes   *route.Table          // nil: all is for the only pool, by the first part of the path
	pools    map[string]*pool.Pool // by name
	onlyPool *pool.Pool
}

// budgets divide the process among the pools.
type budgets struct{ calls, held, connections, bodies, longAnswers, callers *pool.Budget }

// XDSClient follows clusters at control planes. It is an interface so that a program can be built
// without what it links.
type XDSClient interface {
	Source(cluster string, levels bool) engine.Source
	Dump(w io.Writer)
	Close()
}

// Options are what a program brings.
type Options struct {
	// XDS opens a client of control planes; nil: this program is built without.
	XDS func(operator.XDS) (XDSClient, error)
	// ExtProc makes a front for proxies that ask, which finds pools with the node's Find; nil: this program
	// is built without.
	ExtProc func(net.Listener, operator.ExtProc, engine.Clock, *Node) Front
	// H2 makes a sender for servers that speak HTTP/2; nil: this program is built without.
	H2 func(c wire.Connections, m operator.Mux, connections engine.SharedLimit) engine.Sender
	// GRPC makes the dialect that answers callers of gRPC on the listeners for HTTP/2; nil: this program is built without.
	GRPC func(*Node) front.Dialect
	// ZoneStore opens the file that keeps the account of zones; nil: this program is built without.
	ZoneStore func(path string) (ZoneStore, error)
	// Fleet joins the fleet that a file names; nil: this program is built without.
	Fleet func(name string, f operator.Fleet, pools map[string]uint32) (Member, error)
	// Trace stands between a pool's engine and its module and writes down what passes; nil: none does.
	Trace func(pool string, classes []balancer.Class, m engine.Module) (engine.Module, error)
}

// Front serves callers on a listener.
type Front interface {
	Addr() net.Addr
	Serve() error // until Shutdown or Close; then http.ErrServerClosed
	Shutdown(context.Context) error
	Close() error
}

// ErrNoExtProc says that a file wants what the program has not.
var ErrNoExtProc = errors.New("this program is built without the external processor")

// ErrNoH2 says that a file wants what the program has not.
var ErrNoH2 = errors.New("this program is built without HTTP/2 towards servers")

// ErrNoXDS says that a file wants what the program has not.
var ErrNoXDS = errors.New("this program is built without xDS")

// New returns a node that listens, by the platform's configuration.
func New(cfg Config, o Options) (*Node, error) { return provision(cfg.plan(), o, nil) }

// NewFromPlan returns a node that listens, by an operator's plan.
func NewFromPlan(p operator.Plan, o Options) (*Node, error) { return provision(p, o, nil) }

// openXDS opens the client that a plan wants; nil if it wants none.
func (n *Node) openXDS(p operator.Plan) (XDSClient, error) {
	if p.XDS == nil {
		return nil, nil
	}
	if n.options.XDS == nil {
		return nil, ErrNoXDS
	}
	return n.options.XDS(*p.XDS)
}

// provision takes a module of a test's own for every pool, unless that is nil.
func provision(plan operator.Plan, o Options, m engine.Module) (_ *Node, err error) {
	clock := engine.NewClock()
	n := &Node{options: o, clock: clock, adminState: newAdminState(clock), retiring: map[*pool.Pool]struct{}{}, stopped: make(chan struct{}),
		budgets: budgets{pool.NewBudget(0), pool.NewBudget(0), pool.NewBudget(0), pool.NewBudget(0),
			pool.NewBudget(0), pool.NewBudget(0)}}
	n.newCallers = n.budgets.callers.NewShare()
	defer func() {
		if err != nil {
			n.closeAll()
		}
	}()
	n.hotRestart, n.processes = newHotRestart(n, plan.State), 1
	if n.hotRestart != nil && n.hotRestart.predecessor != nil {
		n.processes = 2
	}
	if n.xds, err = n.openXDS(plan); err != nil {
		return nil, err
	}
	if n.zones, err = openZones(plan.Zones, o.ZoneStore); err != nil {
		return nil, err
	}
	if n.fleet, err = joinFleet(plan, o.Fleet); err != nil {
		return nil, err
	}
	s := &servingSet{routes: plan.Routes, pools: make(map[string]*pool.Pool, len(plan.Pools))}
	for _, pp := range plan.Pools {
		n.hotRestart.inheritServers(&pp)
		p, err := n.newPool(pp, n.xds, m)
		if err != nil {
			return nil, err
		}
		s.pools[pp.Name], s.onlyPool = p, p
	}
	if err := n.divide(plan, s.pools); err != nil {
		return nil, err
	}
	listen := func(addr string) (net.Listener, error) {
		l, err := n.hotRestart.listen(addr)
		if err == nil {
			n.listeners = append(n.listeners, l)
		}
		return l, err
	}
	for _, addr := range plan.Listen {
		l, err := listen(addr)
		if err != nil {
			return nil, err
		}
		n.fronts = append(n.fronts, front.New(l, n.clock, callerRoutes{n}, n.newCallers))
	}
	for _, addr := range plan.ListenH2 {
		l, err := listen(addr)
		if err != nil {
			return nil, err
		}
		f := front.NewH2(l, n.clock, callerRoutes{n}, n.newCallers, front.H2Limits(plan.H2))
		if o.GRPC != nil {
			f.Dialect = o.GRPC(n)
		}
		n.fronts = append(n.fronts, f)
	}
	if plan.ExtProc != nil {
		if o.ExtProc == nil {
			return nil, ErrNoExtProc
		}
		l, err := listen(plan.ExtProc.Listen)
		if err != nil {
			return nil, err
		}
		n.fronts = append(n.fronts, o.ExtProc(l, *plan.ExtProc, n.clock, n))
	}
	if plan.Operator != "" {
		n.commandServer, err = admin.Listen(plan.Operator, func(c admin.Command) (string, error) { return n.adminState.execute(c, n.ready.Load) })
		if err != nil {
			return nil, fmt.Errorf("operator: %w", err)
		}
	}
	if plan.Admin != "" {
		if n.inspection, err = newInspectionServer(n, plan.Admin); err != nil {
			return nil, err
		}
	}
	n.plan = plan
	n.serving.Store(s)
	n.setDrainTimeout(s.pools)
	n.drainDelay = max(minDrainDelay, n.drainTimeout()-drainMargin)
	n.adminState.onChange = n.applyAdminState
	if n.hotRestart != nil {
		n.adminState.replicate = n.hotRestart.replicate
	}
	n.applyAdminState(nil) // what stands from before
	return n, nil
}

func (n *Node) newPool(pp operator.Pool, x XDSClient, m engine.Module) (*pool.Pool, error) {
	b := &n.budgets
	shares := pool.Shares{Calls: b.calls.NewShare(), Held: b.held.NewShare(), Connections: b.connections.NewShare(),
		Bodies: b.bodies.NewShare(), LongAnswers: b.longAnswers.NewShare()}
	if pp.Name != "" {
		shares.Callers = b.callers.NewShare()
	}
	var zoned *zone.Module
	if m == nil && (n.options.Trace != nil || pp.Zoned || n.fleet != nil) {
		in, err := balancer.New(pp.Settings, seed(pp))
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", pp.Name, err)
		}
		m = in
		if pp.Zoned {
			zoned = zone.NewModule(in, pp.Name, zoneConfig(*n.zones.plan, pp.Settings), n.zones.book, seed(pp))
			m = zoned
		}
		if n.options.Trace != nil {
			if m, err = n.options.Trace(pp.Name, pp.Settings.Classes, m); err != nil {
				return nil, fmt.Errorf("pool %q: %w", pp.Name, err)
			}
		}
		if n.fleet != nil {
			m = n.fleet.Module(pp.Name, pp.Settings, m)
		}
	}
	var to engine.Sender
	switch {
	case !pp.H2:
		to = sender.New(sender.Config{Idle: pp.Conns.Idle, Connect: pp.Conns.ConnectWithin,
			Connections: shares.Connections, LongAnswers: shares.LongAnswers})
	case n.options.H2 == nil:
		return nil, fmt.Errorf("pool %q: %w", pp.Name, ErrNoH2)
	default:
		to = n.options.H2(pp.Conns, pp.Mux, shares.Connections)
	}
	var learned *balancer.Knowledge
	if was := n.hotRestart.predecessorPool(pp.Name); was != nil {
		learned = was.Knowledge
	}
	p, err := pool.New(pool.Config{Name: pp.Name, Settings: pp.Settings, Seed: seed(pp), Clock: n.clock,
		Sender: to,
		Source: n.source(pp.List, x), Known: pp.Known, Pushed: pp.Pushed, Shares: shares, Module: m, GRPC: pp.GRPC, Orders: n.adminState, Learned: learned})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", pp.Name, err)
	}
	if zoned != nil {
		n.zones.add(pp.Name, zoned)
	}
	return p, nil
}

// divide shares the process's totals among the pools; those that are retiring keep what they have and
// may borrow.
func (n *Node) divide(plan operator.Plan, pools map[string]*pool.Pool) error {
	var err error
	configure := func(b *pool.Budget, total int64, share func(pool.Shares) *pool.Share, quota func(operator.Limits) pool.Quota, more map[*pool.Share]pool.Quota) {
		quotas := more
		if quotas == nil {
			quotas = map[*pool.Share]pool.Quota{}
		}
		for _, pp := range plan.Pools {
			if s := share(pools[pp.Name].Shares()); s != nil {
				quotas[s] = quota(pp.Limits)
			}
		}
		for p := range n.retiring {
			if s := share(p.Shares()); s != nil {
				quotas[s] = pool.Quota{}
			}
		}
		for s, q := range quotas {
			quotas[s] = pool.Quota{Min: q.Min / n.processes, Max: q.Max / n.processes}
		}
		err = errors.Join(err, b.Configure(max(1, total/n.processes), quotas))
	}
	t := plan.Totals
	configure(n.budgets.calls, t.Calls, func(s pool.Shares) *pool.Share { return s.Calls },
		func(l operator.Limits) pool.Quota { return l.Calls }, nil)
	configure(n.budgets.held, t.Held, func(s pool.Shares) *pool.Share { return s.Held },
		func(l operator.Limits) pool.Quota { return l.Held }, nil)
	configure(n.budgets.connections, t.Connections, func(s pool.Shares) *pool.Share { return s.Connections },
		func(l operator.Limits) pool.Quota { return l.Connections }, nil)
	configure(n.budgets.bodies, t.Bodies, func(s pool.Shares) *pool.Share { return s.Bodies },
		func(l operator.Limits) pool.Quota { return l.Bodies }, nil)
	configure(n.budgets.longAnswers, t.LongAnswers, func(s pool.Shares) *pool.Share { return s.LongAnswers },
		func(l operator.Limits) pool.Quota { return l.LongAnswers }, nil)
	configure(n.budgets.callers, t.Callers, func(s pool.Shares) *pool.Share { return s.Callers },
		func(l operator.Limits) pool.Quota { return l.Callers }, map[*pool.Share]pool.Quota{n.newCallers: t.NewCallers})
	return err
}

// Addr is the address that the node listens on; of several the first.
func (n *Node) Addr() net.Addr { return n.fronts[0].Addr() }

// Addrs are the addresses that the node listens on.
func (n *Node) Addrs() (l []net.Addr) {
	for _, f := range n.fronts {
		l = append(l, f.Addr())
	}
	return l
}

const (
	// New connections come for up to 0.4 s after the signal, and closing the listener would reset those
	// not yet accepted.
	minDrainDelay = 500 * time.Millisecond
	// Callers go on using the connections that they have, and may have no other node to turn to: these
	// stay open until what comes on them would hardly be answered before the kill.
	drainMargin = 500 * time.Millisecond
	// A stopping node is killed once the longest deadline, maxPatience at the most, and killedAfter
	// more have passed. It answers everything by lastCall before that.
	maxDrainTimeout = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	answerMargin    = 250 * time.Millisecond
	// reclaimInterval is how often pools are asked for what they have borrowed and do not need.
	reclaimInterval = 100 * time.Millisecond
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

// Run serves until ctx ends, and then until all that was taken is answered.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	for _, p := range n.serving.Load().pools {
		p.Run()
	}
	n.mu.Unlock()
	defer n.stopPools()
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
	relieve := time.NewTicker(reclaimInterval)
	defer relieve.Stop()
	for running := true; running; {
		select {
		case err := <-served:
			return fmt.Errorf("serving callers: %w", err)
		case <-relieve.C:
			n.reclaimIdleConnections()
			n.redirectIdleCallers()
		case <-ctx.Done():
			running = false
		}
	}

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
	closing, cancel := context.WithDeadline(context.Background(), cutoff.Add(answerMargin/2))
	defer cancel()
	var stopping sync.WaitGroup
	for _, f := range n.fronts {
		stopping.Go(func() { f.Shutdown(closing) }) // an error means connections that never sent a request
	}
	stopping.Wait()
	return nil
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

// applyAdminState has operators' orders take effect: those for some servers, and the drain.
func (n *Node) applyAdminState(servers []string) {
	draining := n.adminState.isDraining()
	for _, f := range n.fronts {
		if l, can := f.(drainable); can {
			l.Unready(draining)
			l.LeadAway(draining || n.handedOff.Load())
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range servers {
		for _, p := range n.serving.Load().pools {
			p.Engine().AdminStateChanged(id)
		}
		for p := range n.retiring {
			p.Engine().AdminStateChanged(id)
		}
	}
}

func (n *Node) redirectIdleCallers() {
	for _, f := range n.fronts {
		if l, can := f.(drainable); can {
			l.LeadIdle()
		}
	}
}

// reclaimIdleConnections has pools close idle connections that others want for.
func (n *Node) reclaimIdleConnections() {
	if s := n.serving.Load(); len(s.pools) > 1 {
		for _, p := range s.pools {
			p.ReturnBorrowedConnections()
		}
		n.budgets.connections.ClearDenied()
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

// stopPools ends all pools once nothing is owed any more.
func (n *Node) stopPools() {
	n.mu.Lock()
	close(n.stopped)
	pools := n.serving.Load().pools
	n.mu.Unlock()
	n.retired.Wait()
	for _, p := range pools {
		p.Stop()
	}
	n.closeAll()
}

// closeAll closes all but the pools.
func (n *Node) closeAll() {
	for _, f := range n.fronts {
		f.Close()
	}
	if n.inspection != nil {
		n.inspection.close()
	}
	if n.commandServer != nil {
		n.commandServer.Close()
	}
	n.hotRestart.close()
	if n.fleet != nil {
		n.fleet.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.xds != nil {
		n.xds.Close()
	}
	n.zones.close()
}

// callerRoutes is the node as fronts see it.
type callerRoutes struct{ n *Node }

func (r callerRoutes) Route(hr *http.Request) (*pool.Pool, string, *front.Refusal) {
	s := r.n.serving.Load()
	if s.routes == nil {
		return s.onlyPool, firstSegment(hr.URL.Path), nil
	}
	return s.route(hr)
}
