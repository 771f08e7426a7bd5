// Package line puts a line together: the sidecar's front for those who call, a pool with engine and module for each service,
// cords to the lines beside the servers, the side that runs requests at its own server, that server's beats, and the home
// register that it learns all else from. It decides nothing that the module, dialplan, directory or toll decide.
//
// Tables are snapshots: the plan, the directory and the items are each swapped whole; what a request began with holds to
// its end.
package sidecar

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/pool"
	sender "cranegrade/internal/sender/http1"
)

// Times of a line.
const (
	connectionDrainTime   = 2300 * time.Millisecond // clients find out that they are to leave
	shutdownSlack         = 700 * time.Millisecond  // of GraceS, for the end itself
	blockedRequestCutoff  = 300 * time.Millisecond  // before that, of requests that hold up others' answers
	recordRefreshInterval = 5 * time.Second         // of its record
	sidecarSilenceTimeout = 45 * time.Second
	maxRequestHeadBytes   = 256 << 10        // bytes of a request's head
	callerIdleTimeout     = 15 * time.Second // after which a caller's connection is closed
)

// Sidecar is one line.
type Sidecar struct {
	settings    atomic.Pointer[settings.Settings]
	log         zerolog.Logger
	ring        *logring.Ring
	clock       engine.Clock
	startedAt   time.Time
	incarnation string // of this process, in tickets
	// tickets are how many were given out in this life
	lastToken atomic.Uint64
	ctx       context.Context

	front             atomic.Pointer[front.Front]
	callerShare       *pool.Share
	serving           atomic.Bool // the front is
	stopping          atomic.Bool
	drainingCallers   atomic.Bool // its callers are led away, for it is out for maintenance
	pools             *servicePools
	upstreams         *upstreams
	inbound           *inboundServer
	localServer       *localServer
	controlPlane      *controlPlaneConn
	calls             transport.Calls
	inboundListener   net.Listener
	readinessListener net.Listener
	localAPIListener  net.Listener
	httpServers       []*http.Server

	mu          sync.Mutex // guards changes of the snapshots below, which are read without it
	items       config.Table
	policies    activePolicies                              // guarded by mu, but for what it says of itself
	maintenance atomic.Pointer[wire.MachinesInMaintenanceT] // machines that are out for maintenance
	// heirs are the lines that keep the answers of others which are out, or were; guarded by mu
	successors    map[string]successor
	handedOverFor atomic.Pointer[string] // the order for which what is kept here was handed over
	// handing is the order and the heir for which that is done, or was; guarded by mu
	handoverTarget string
	routing        atomic.Pointer[routing.Table]
	directory      atomic.Pointer[directory.Table]
}

// New listens; Run serves.
func New(set settings.Settings, log zerolog.Logger, ring *logring.Ring) (_ *Sidecar, err error) {
	l := assemble(set, log, ring)
	listen := func(name, addr string) net.Listener {
		if err != nil {
			return nil
		}
		var nl net.Listener
		if nl, err = net.Listen("tcp4", addr); err != nil {
			err = errors.Annotate(err, name)
		}
		return nl
	}
	l.readinessListener = listen("Readiness", set.ListenAddrs.Readiness)
	l.localAPIListener = listen("ControlPlane", set.ListenAddrs.ControlPlane)
	l.inboundListener = listen("Inbound", set.TransportListenAddress(set.ListenAddrs.Inbound))
	if err != nil {
		return nil, err
	}
	return l, nil
}

// assemble makes all parts of a line, which listen nowhere yet.
func assemble(set settings.Settings, log zerolog.Logger, ring *logring.Ring) *Sidecar {
	l := &Sidecar{log: log, ring: ring, clock: engine.NewClock(), startedAt: time.Now()}
	l.settings.Store(&set)
	var p [6]byte
	crand.Read(p[:])
	l.incarnation = hex.EncodeToString(p[:])
	l.routing.Store(routing.NewTable(config.Table{}))
	l.directory.Store(&directory.Table{})
	l.maintenance.Store(&wire.MachinesInMaintenanceT{})
	budgets := newResourceBudgets(set)
	l.localServer = newLocalServer(l)
	l.inbound = newInboundServer(l, sender.New(sender.Config{Idle: serverIdleTimeout, Connect: serverConnectTimeout, Connections: budgets.servers,
		LongAnswers: budgets.toServer, Speech: serverProtocol{}, Quiet: time.Hour}))
	l.upstreams = newUpstreams(l)
	l.pools = newServicePools(l, budgets)
	l.controlPlane = newControlPlaneConn(l)
	l.callerShare = budgets.callers
	return l
}

// openOutbound has callers come. Until the items are confirmed they are told when to come again: a connection that is refused
// would cost them a try and tell them nothing.
func (l *Sidecar) openOutbound() error {
	out, err := net.Listen("tcp4", l.settings.Load().ListenAddrs.Outbound)
	if err != nil {
		return errors.Annotate(err, "Outbound")
	}
	f := front.New(out, l.clock, routeResolver{l}, l.callerShare)
	f.Speech = callerProtocol{l}
	f.LookAhead()
	f.Idle(callerIdleTimeout)
	f.OwnTimes()
	f.Heads(maxRequestHeadBytes)
	l.front.Store(f)
	go func() {
		if err := f.Serve(); err != http.ErrServerClosed && !l.stopping.Load() {
			l.log.Error().Err(err).Msg("the front ended")
		}
	}()
	return nil
}

// Addr is the address of its trunk, by which the others name it.
func (l *Sidecar) Addr() string { return l.settings.Load().ListenAddrs.Inbound }

// Reload takes a settings file that has changed.
func (l *Sidecar) Reload(set settings.Settings) {
	if was := l.settings.Swap(&set); was.Service != set.Service { // who calls is a part of the rules
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rebuildRouting()
	}
}

func (l *Sidecar) isReady() bool {
	return l.serving.Load() && !l.stopping.Load() && !l.drainingCallers.Load()
}

// Run serves until ctx ends, then lets go of callers and finishes what was taken.
func (l *Sidecar) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx = work
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !l.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	ready, calls := api.NewServer(mux), api.NewServer(l.localServer.handlers())
	l.httpServers = []*http.Server{ready, calls}
	if err := l.openOutbound(); err != nil {
		return err
	}
	go ready.Serve(l.readinessListener)
	go calls.Serve(l.localAPIListener)
	go l.inbound.acceptConns(l.inboundListener)
	go l.controlPlane.run()
	go l.localServer.watch()
	<-ctx.Done()
	l.shutdown()
	return nil
}

// configConfirmed is called once the items are known to be no older than what was acknowledged.
func (l *Sidecar) configConfirmed() {
	if !l.serving.CompareAndSwap(false, true) {
		return
	}
	if g := l.routing.Load().Services[l.settings.Load().Service]; g.HealthPath != "" {
		go l.localServer.probe(g.HealthPath)
	}
}

// shutdown has callers leave, then ends what is open in the time that is left.
func (l *Sidecar) shutdown() {
	began := time.Now()
	grace := l.settings.Load().Bounds.GraceS.Duration()
	l.stopping.Store(true)
	f := l.front.Load()
	if f != nil {
		f.LeadAway(true)
	}
	deadline := began.Add(max(grace-shutdownSlack, grace/2))
	lead := time.NewTicker(100 * time.Millisecond)
	defer lead.Stop()
	for time.Since(began) < min(connectionDrainTime, grace/2) {
		<-lead.C
		if f != nil && time.Since(began) > time.Second {
			f.LeadIdle()
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// The server beside it serves the others until now: of lines that end in turn few are out at a time.
	l.localServer.leave()
	<-lead.C
	l.inbound.draining.Store(true)
	if f != nil {
		// Not by Shutdown yet: it ends a connection with the answer being written, and those of what came behind are lost.
		f.Hand()
		for given := false; f.Open() > 0 && ctx.Err() == nil; <-lead.C {
			f.LeadIdle()
			if !given && time.Until(deadline) < blockedRequestCutoff {
				given = true
				f.GiveUp()
			}
		}
		f.Shutdown(ctx)
	}
	for l.inbound.openRequests.Load() > 0 && ctx.Err() == nil {
		<-lead.C
	}
	l.inbound.finishConns(ctx)
	l.controlPlane.close()
	l.upstreams.close()
	for _, s := range l.httpServers {
		s.Close()
	}
}

// mergeItems merges items that a register told.
func (l *Sidecar) mergeItems(items []config.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, raised := l.items.Merge(items)
	if len(raised) == 0 {
		return
	}
	l.items = next
	l.noteHeldPolicies(raised)
	l.rebuildRouting()
}

// rebuildRouting makes the plan of the items and rules that are in force, and puts it in the place of the one before. The caller holds
// the lock.
func (l *Sidecar) rebuildRouting() {
	plan := routing.NewTableWithPolicies(l.items, l.policies.table, l.settings.Load().Service)
	l.pools.applyRouting(plan)
	l.routing.Store(plan)
	if f := l.front.Load(); f != nil {
		if plan.Limits.IdleTimeoutS > 0 {
			f.Idle(plan.Limits.IdleTimeoutS.Duration())
		}
		f.HeadWithin(plan.Limits.HeaderTimeoutS.Duration())
	}
	l.pools.refreshServices() // a service that is new hears of the lines and slots that are known already
}

// applyMaintenance takes which machines orders have out. The latest entry of the log holds, by whatever way it comes.
func (l *Sidecar) applyMaintenance(o *wire.MachinesInMaintenanceT) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Index < l.maintenance.Load().Index {
		return
	}
	l.maintenance.Store(o)
	out, leading := false, false
	for _, x := range o.List {
		if x.Successor != "" {
			if l.successors == nil {
				l.successors = map[string]successor{}
			}
			l.successors[x.Addr] = successor{x.Successor, time.Now()}
		}
		if x.Addr == l.Addr() {
			out, leading = true, x.DrainCallers
			if to := x.OrderId + " " + x.Successor; x.Successor != "" && leading && to != l.handoverTarget {
				l.handoverTarget = to
				go l.handOverResponses(x.OrderId, x.Successor)
			}
		}
	}
	for a, h := range l.successors {
		if time.Since(h.toldAt) > l.settings.Load().Bounds.KeyWindowS.Duration()+time.Hour { // an order has machines out for a day at the most
			delete(l.successors, a)
		}
	}
	l.localServer.setMaintenance(out)
	if l.drainingCallers.Swap(leading) != leading {
		if f := l.front.Load(); f != nil && !l.stopping.Load() {
			f.LeadAway(leading)
		}
	}
	l.pools.refreshServices()
}

// successor is who keeps the answers of a line, as of when that was told.
type successor struct {
	addr   string
	toldAt time.Time
}

// successorOf is the line that keeps what another left; "": it has left nothing.
func (l *Sidecar) successorOf(of string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successors[of].addr
}

// handOverResponses hands over what is kept here, until it is, for as long as the order is the one that stands.
func (l *Sidecar) handOverResponses(order, heir string) {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, 2*time.Second)
		err := l.inbound.handOverResponses(ctx, heir)
		cancel()
		if err == nil {
			l.handedOverFor.Store(&order)
			return
		}
		l.log.Info().Err(err).Str("heir", heir).Msg("hand over")
		if !slices.ContainsFunc(l.maintenance.Load().List, func(o *wire.MachineInMaintenanceT) bool {
			return o.Addr == l.Addr() && o.OrderId == order && o.Successor == heir
		}) {
			return // one that is let in again, and comes out anew, is of another order
		}
		time.Sleep(handoverRetryInterval)
	}
}

// isInMaintenance says that an order has a machine out.
func (l *Sidecar) isInMaintenance(addr string) bool {
	return slices.ContainsFunc(l.maintenance.Load().List, func(o *wire.MachineInMaintenanceT) bool { return o.Addr == addr })
}

// mergeRecords merges records of lines.
func (l *Sidecar) mergeRecords(records []directory.Record) {
	addr := l.Addr()
	l.mu.Lock()
	next, news := l.directory.Load().Merge(l.clock.Now(), records)
	if len(news) > 0 {
		l.directory.Store(&next)
	}
	l.mu.Unlock()
	if len(news) == 0 {
		return
	}
	for _, r := range news {
		if r.Addr == addr {
			l.localServer.supersede(r.Incarnation)
		}
	}
	l.pools.refreshServices()
}

// expireDirectory drops lines that nothing was heard of for long.
func (l *Sidecar) expireDirectory() {
	l.mu.Lock()
	next, dropped := l.directory.Load().Expire(l.clock.Now(), sidecarSilenceTimeout)
	if len(dropped) > 0 {
		l.directory.Store(&next)
	}
	l.mu.Unlock()
	if len(dropped) > 0 {
		l.pools.refreshServices()
	}
}
