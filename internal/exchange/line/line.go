// Package line puts a line together: the sidecar's front for those who call, a pool with engine and module for each service,
// cords to the lines beside the servers, the side that runs requests at its own server, that server's beats, and the home
// register that it learns all else from. It decides nothing that the module, dialplan, directory or toll decide.
//
// Tables are snapshots: the plan, the directory and the items are each swapped whole; what a request began with holds to
// its end.
package line

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

	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/dialplan"
	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/howler"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	front "hollyspur/internal/front/http1"
	"hollyspur/internal/pool"
	sender "hollyspur/internal/sender/http1"
)

// Times of a line.
const (
	leadFor     = 2300 * time.Millisecond // clients find out that they are to leave
	endSlack    = 700 * time.Millisecond  // of GraceS, for the end itself
	giveUp      = 300 * time.Millisecond  // before that, of requests that hold up others' answers
	refresh     = 5 * time.Second         // of its record
	lineSilence = 45 * time.Second
	callerHeads = 256 << 10        // bytes of a request's head
	callerIdle  = 15 * time.Second // after which a caller's connection is closed
)

// Line is one line.
type Line struct {
	set   atomic.Pointer[settings.Settings]
	log   zerolog.Logger
	ring  *howler.Howler
	clock engine.Clock
	start time.Time
	life  string // of this process, in tickets
	// tickets are how many were given out in this life
	tickets atomic.Uint64
	ctx     context.Context

	front     atomic.Pointer[front.Front]
	callers   *pool.Share
	serving   atomic.Bool // the front is
	stopping  atomic.Bool
	leading   atomic.Bool // its callers are led away, for it is out for maintenance
	pools     *pools
	cords     *cords
	inbound   *inbound
	own       *own
	home      *home
	asks      trunk.Asks
	trunks    net.Listener
	readiness net.Listener
	calls     net.Listener
	servers   []*http.Server

	mu    sync.Mutex // guards changes of the snapshots below, which are read without it
	items patch.Table
	rules rules                      // guarded by mu, but for what it says of itself
	outs  atomic.Pointer[wire.OutsT] // machines that are out for maintenance
	// heirs are the lines that keep the answers of others which are out, or were; guarded by mu
	heirs  map[string]heir
	handed atomic.Pointer[string] // the order for which what is kept here was handed over
	// handing is the order and the heir for which that is done, or was; guarded by mu
	handing string
	plan    atomic.Pointer[dialplan.Plan]
	dir     atomic.Pointer[directory.Table]
}

// New listens; Run serves.
func New(set settings.Settings, log zerolog.Logger, ring *howler.Howler) (_ *Line, err error) {
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
	l.readiness = listen("Readiness", set.ListenAddrs.Readiness)
	l.calls = listen("ControlPlane", set.ListenAddrs.ControlPlane)
	l.trunks = listen("Inbound", set.TrunkListener(set.ListenAddrs.Inbound))
	if err != nil {
		return nil, err
	}
	return l, nil
}

// assemble makes all parts of a line, which listen nowhere yet.
func assemble(set settings.Settings, log zerolog.Logger, ring *howler.Howler) *Line {
	l := &Line{log: log, ring: ring, clock: engine.NewClock(), start: time.Now()}
	l.set.Store(&set)
	var p [6]byte
	crand.Read(p[:])
	l.life = hex.EncodeToString(p[:])
	l.plan.Store(dialplan.Make(patch.Table{}))
	l.dir.Store(&directory.Table{})
	l.outs.Store(&wire.OutsT{})
	budgets := newBudgets(set)
	l.own = newOwn(l)
	l.inbound = newInbound(l, sender.New(sender.Config{Idle: serverIdle, Connect: connectWithin, Connections: budgets.servers,
		LongAnswers: budgets.toServer, Speech: serverSpeech{}, Quiet: time.Hour}))
	l.cords = newCords(l)
	l.pools = newPools(l, budgets)
	l.home = newHome(l)
	l.callers = budgets.callers
	return l
}

// open has callers come. Until the items are confirmed they are told when to come again: a connection that is refused
// would cost them a try and tell them nothing.
func (l *Line) open() error {
	out, err := net.Listen("tcp4", l.set.Load().ListenAddrs.Outbound)
	if err != nil {
		return errors.Annotate(err, "Outbound")
	}
	f := front.New(out, l.clock, routes{l}, l.callers)
	f.Speech = speech{l}
	f.LookAhead()
	f.Idle(callerIdle)
	f.OwnTimes()
	f.Heads(callerHeads)
	l.front.Store(f)
	go func() {
		if err := f.Serve(); err != http.ErrServerClosed && !l.stopping.Load() {
			l.log.Error().Err(err).Msg("the front ended")
		}
	}()
	return nil
}

// Addr is the address of its trunk, by which the others name it.
func (l *Line) Addr() string { return l.set.Load().ListenAddrs.Inbound }

// Reload takes a settings file that has changed.
func (l *Line) Reload(set settings.Settings) {
	if was := l.set.Swap(&set); was.Service != set.Service { // who calls is a part of the rules
		l.mu.Lock()
		defer l.mu.Unlock()
		l.swap()
	}
}

func (l *Line) ready() bool { return l.serving.Load() && !l.stopping.Load() && !l.leading.Load() }

// Run serves until ctx ends, then lets go of callers and finishes what was taken.
func (l *Line) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx = work
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !l.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	ready, calls := control.Serve(mux), control.Serve(l.own.handlers())
	l.servers = []*http.Server{ready, calls}
	if err := l.open(); err != nil {
		return err
	}
	go ready.Serve(l.readiness)
	go calls.Serve(l.calls)
	go l.inbound.accept(l.trunks)
	go l.home.run()
	go l.own.watch()
	<-ctx.Done()
	l.stop()
	return nil
}

// confirmed is called once the items are known to be no older than what was acknowledged.
func (l *Line) confirmed() {
	if !l.serving.CompareAndSwap(false, true) {
		return
	}
	if g := l.plan.Load().Groups[l.set.Load().Service]; g.HealthPath != "" {
		go l.own.probe(g.HealthPath)
	}
}

// stop has callers leave, then ends what is open in the time that is left.
func (l *Line) stop() {
	began := time.Now()
	grace := l.set.Load().Bounds.GraceS.D()
	l.stopping.Store(true)
	f := l.front.Load()
	if f != nil {
		f.LeadAway(true)
	}
	deadline := began.Add(max(grace-endSlack, grace/2))
	lead := time.NewTicker(100 * time.Millisecond)
	defer lead.Stop()
	for time.Since(began) < min(leadFor, grace/2) {
		<-lead.C
		if f != nil && time.Since(began) > time.Second {
			f.LeadIdle()
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// The server beside it serves the others until now: of lines that end in turn few are out at a time.
	l.own.leave()
	<-lead.C
	l.inbound.ending.Store(true)
	if f != nil {
		// Not by Shutdown yet: it ends a connection with the answer being written, and those of what came behind are lost.
		f.Hand()
		for given := false; f.Open() > 0 && ctx.Err() == nil; <-lead.C {
			f.LeadIdle()
			if !given && time.Until(deadline) < giveUp {
				given = true
				f.GiveUp()
			}
		}
		f.Shutdown(ctx)
	}
	for l.inbound.open.Load() > 0 && ctx.Err() == nil {
		<-lead.C
	}
	l.inbound.finish(ctx)
	l.home.close()
	l.cords.close()
	for _, s := range l.servers {
		s.Close()
	}
}

// takeItems merges items that a register told.
func (l *Line) takeItems(items []patch.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, raised := l.items.Merge(items)
	if len(raised) == 0 {
		return
	}
	l.items = next
	l.holdRules(raised)
	l.swap()
}

// swap makes the plan of the items and rules that are in force, and puts it in the place of the one before. The caller holds
// the lock.
func (l *Line) swap() {
	plan := dialplan.MakeRuled(l.items, l.rules.bound, l.set.Load().Service)
	l.pools.follow(plan)
	l.plan.Store(plan)
	if f := l.front.Load(); f != nil {
		if plan.Limits.IdleTimeoutS > 0 {
			f.Idle(plan.Limits.IdleTimeoutS.D())
		}
		f.HeadWithin(plan.Limits.HeaderTimeoutS.D())
	}
	l.pools.relist() // a service that is new hears of the lines and slots that are known already
}

// takeOuts takes which machines orders have out. The latest entry of the log holds, by whatever way it comes.
func (l *Line) takeOuts(o *wire.OutsT) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Index < l.outs.Load().Index {
		return
	}
	l.outs.Store(o)
	out, leading := false, false
	for _, x := range o.List {
		if x.Heir != "" {
			if l.heirs == nil {
				l.heirs = map[string]heir{}
			}
			l.heirs[x.Addr] = heir{x.Heir, time.Now()}
		}
		if x.Addr == l.Addr() {
			out, leading = true, x.Leading
			if to := x.Order + " " + x.Heir; x.Heir != "" && leading && to != l.handing {
				l.handing = to
				go l.handOver(x.Order, x.Heir)
			}
		}
	}
	for a, h := range l.heirs {
		if time.Since(h.at) > l.set.Load().Bounds.KeyWindowS.D()+time.Hour { // an order has machines out for a day at the most
			delete(l.heirs, a)
		}
	}
	l.own.order(out)
	if l.leading.Swap(leading) != leading {
		if f := l.front.Load(); f != nil && !l.stopping.Load() {
			f.LeadAway(leading)
		}
	}
	l.pools.relist()
}

// heir is who keeps the answers of a line, as of when that was told.
type heir struct {
	addr string
	at   time.Time
}

// heir is the line that keeps what another left; "": it has left nothing.
func (l *Line) heir(of string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heirs[of].addr
}

// handOver hands over what is kept here, until it is, for as long as the order is the one that stands.
func (l *Line) handOver(order, heir string) {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, 2*time.Second)
		err := l.inbound.handOver(ctx, heir)
		cancel()
		if err == nil {
			l.handed.Store(&order)
			return
		}
		l.log.Info().Err(err).Str("heir", heir).Msg("hand over")
		if !slices.ContainsFunc(l.outs.Load().List, func(o *wire.OutT) bool { return o.Addr == l.Addr() && o.Order == order && o.Heir == heir }) {
			return // one that is let in again, and comes out anew, is of another order
		}
		time.Sleep(askAgain)
	}
}

// isOut says that an order has a machine out.
func (l *Line) isOut(addr string) bool {
	return slices.ContainsFunc(l.outs.Load().List, func(o *wire.OutT) bool { return o.Addr == addr })
}

// takeRecords merges records of lines.
func (l *Line) takeRecords(records []directory.Record) {
	addr := l.Addr()
	l.mu.Lock()
	next, news := l.dir.Load().Merge(l.clock.Now(), records)
	if len(news) > 0 {
		l.dir.Store(&next)
	}
	l.mu.Unlock()
	if len(news) == 0 {
		return
	}
	for _, r := range news {
		if r.Addr == addr {
			l.own.outdo(r.Life)
		}
	}
	l.pools.relist()
}

// expire drops lines that nothing was heard of for long.
func (l *Line) expire() {
	l.mu.Lock()
	next, dropped := l.dir.Load().Expire(l.clock.Now(), lineSilence)
	if len(dropped) > 0 {
		l.dir.Store(&next)
	}
	l.mu.Unlock()
	if len(dropped) > 0 {
		l.pools.relist()
	}
}
