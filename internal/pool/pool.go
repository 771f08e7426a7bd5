// Package pool owns one service of a process: an engine with its decision module, list of servers, classes and limits.
//
// Pools of one process share its resources through budgets (Budget over QuotaTable): each pool is guaranteed its minimum
// and may borrow what no other is using. A pool must never decide about a request, except whether there is capacity
// to accept it at all.
package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// Shares are a pool's parts of the budgets of the process.
type Shares struct {
	Calls           *Share // calls that are accepted and not yet answered
	PendingCalls    *Share // of those, the ones that wait for a server
	Connections     *Share // to servers, with idle ones and those being dialled
	RequestBodies   *Share // bytes of request bodies
	ResponseBuffers *Share // bytes of response bodies over message.MaxBody
	DownstreamConns *Share // downstream connections whose last request was for this pool
}

// Config holds the parts and limits of a pool.
type Config struct {
	Name        string
	Settings    balancer.Settings
	Seed        uint64
	Clock       engine.Clock
	Sender      engine.Sender
	Source      engine.Source
	AdminStates engine.AdminStates  // set by operators; nil means none
	InitialList engine.ListUpdate   // the list from before the start; may be empty
	Pushed      bool                // the source pushes the list
	Knowledge   *balancer.Knowledge // by the pool that this one takes over from; nil means none
	Shares      Shares
	Module      engine.Module // nil means a balancer.Balancer of Settings and Seed
	GRPC        bool          // its servers accept gRPC requests only
}

// Pool is one service of the process. Its methods may be called from any goroutine, but for Run.
type Pool struct {
	name        string
	classes     map[string]balancer.Class
	engine      *engine.Engine
	shares      Shares
	sender      engine.Sender
	initialList engine.ListUpdate
	knowledge   *balancer.Knowledge
	pushed      bool
	grpc        bool

	activeCalls atomic.Int64 // calls between Enter and Leave
	retired     atomic.Bool
	stop        context.CancelFunc
}

// New returns a pool that is idle until Run. It fails if the settings are invalid.
func New(cfg Config) (*Pool, error) {
	if cfg.Module == nil {
		b, err := balancer.New(cfg.Settings, cfg.Seed)
		if err != nil {
			return nil, err
		}
		cfg.Module = b
	}
	p := &Pool{
		name:        cfg.Name,
		classes:     make(map[string]balancer.Class, len(cfg.Settings.Classes)),
		shares:      cfg.Shares,
		sender:      cfg.Sender,
		initialList: cfg.InitialList,
		knowledge:   cfg.Knowledge,
		pushed:      cfg.Pushed,
		grpc:        cfg.GRPC,
		stop:        func() {},
	}
	for _, c := range cfg.Settings.Classes {
		p.classes[c.Name] = c
	}
	p.engine = engine.New(engine.Config{
		Name:        cfg.Name,
		Clock:       cfg.Clock,
		Module:      cfg.Module,
		Sender:      cfg.Sender,
		Source:      cfg.Source,
		MaxAttempts: cfg.Settings.MaxAttempts,
		Pushed:      cfg.Pushed,
		Pending:     cfg.Shares.PendingCalls,
		AdminStates: cfg.AdminStates,
	})
	return p, nil
}

// Run starts the pool's engine on a goroutine of its own, which Retire or Stop ends. It is called once, before all else.
func (p *Pool) Run() {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.engine.Run(ctx)
	p.engine.Start(p.initialList)
	if p.knowledge != nil {
		p.engine.Learn(p.knowledge)
	}
}

// Name is the pool's name; it is empty for the only pool of a platform's node.
func (p *Pool) Name() string { return p.name }

// Class returns the settings of a class, and whether there is such a class.
func (p *Pool) Class(name string) (balancer.Class, bool) {
	c, known := p.classes[name]
	return c, known
}

// LongestDeadline is the longest deadline of the pool's classes.
func (p *Pool) LongestDeadline() (longest time.Duration) {
	for _, c := range p.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// GRPC reports whether its servers accept gRPC requests only.
func (p *Pool) GRPC() bool { return p.grpc }

// Engine is the pool's engine, which ends with the pool.
func (p *Pool) Engine() *engine.Engine { return p.engine }

// Shares are the pool's parts of the budgets.
func (p *Pool) Shares() Shares { return p.shares }

// Reasons why Enter rejects a call.
var (
	ErrRetired = errors.New("the pool has been removed")
	ErrCalls   = errors.New("too many calls are open")
	ErrBodies  = errors.New("no room for the body")
)

// Enter reserves capacity for a call whose body has that many bytes; Leave returns it. After ErrRetired the caller looks
// up the pool that has replaced this one. After any other error a retry is safe, since no attempt was made.
func (p *Pool) Enter(body int64) error {
	p.activeCalls.Add(1)
	// Count before the check: either Retire sees this call, or this call sees that Retire has begun.
	if p.retired.Load() {
		p.activeCalls.Add(-1)
		return ErrRetired
	}
	if !p.shares.Calls.Take(1) {
		p.activeCalls.Add(-1)
		return ErrCalls
	}
	if body > 0 && !p.shares.RequestBodies.Take(body) {
		p.shares.Calls.Give(1)
		p.activeCalls.Add(-1)
		return ErrBodies
	}
	return nil
}

// Leave returns what Enter reserved for a body of the same size.
func (p *Pool) Leave(body int64) {
	if body > 0 {
		p.shares.RequestBodies.Give(body)
	}
	p.shares.Calls.Give(1)
	p.activeCalls.Add(-1)
}

// retirePollInterval is the time between checks whether a retired pool is empty.
const retirePollInterval = 20 * time.Millisecond

// Retire drains the pool: it accepts no new calls, waits until all open calls are answered and all attempts have ended,
// and then stops the pool. Calls that are still open when ctx ends are failed. It blocks until the pool has stopped.
func (p *Pool) Retire(ctx context.Context) {
	p.retired.Store(true)
	tick := time.NewTicker(retirePollInterval)
	defer tick.Stop()
	over := ctx.Done()
	for p.activeCalls.Load() > 0 || p.engine.OpenCalls() > 0 {
		select {
		case <-tick.C:
		case <-over:
			p.engine.AbandonAll() //nolint:contextcheck // what it leads to does not end with ctx
			over = nil
		}
	}
	p.Stop()
}

// Stop ends the pool immediately, without an answer to the calls that are open, and waits for its goroutine.
func (p *Pool) Stop() {
	p.stop()
	<-p.engine.Done()
}

// idleCloser is a sender that can close up to n idle connections, to release their share of the budget.
type idleCloser interface{ CloseIdle(n int) int }

// maxClosedAtOnce bounds the connections that one call of ReturnBorrowedConnections closes.
const maxClosedAtOnce = 64

// ReturnBorrowedConnections closes idle connections that the pool has borrowed, if another pool was denied one.
func (p *Pool) ReturnBorrowedConnections() {
	if n := p.shares.Connections.Excess(); n > 0 {
		if s, can := p.sender.(idleCloser); can {
			s.CloseIdle(int(min(n, maxClosedAtOnce)))
		}
	}
}
