// Package pool provides the pools of a process. A Pool serves the requests to one service: it owns an engine with its
// decision module, server list, classes and limits.
//
// The pools of a process share its resources through budgets (Budget): each pool is guaranteed its minimum and may borrow
// what the others do not use. The only decision that a pool makes about a request is whether there is capacity to accept it.
package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// Shares are a pool's shares of the process's budgets.
type Shares struct {
	Calls           *Share // calls that are accepted and not yet answered
	PendingCalls    *Share // accepted calls that wait for a server
	Connections     *Share // connections to servers, including idle ones and those being dialled
	RequestBodies   *Share // bytes of request bodies
	ResponseBuffers *Share // bytes of response bodies that are larger than message.MaxBody
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
	InitialList engine.ListUpdate   // server list saved before the start; may be empty
	Pushed      bool                // the source pushes the list; see engine.Config
	Knowledge   *balancer.Knowledge // estimates of the pool that this one replaces; nil means none
	Shares      Shares
	Module      engine.Module // nil means a balancer.Balancer of Settings and Seed
	GRPC        bool          // the servers accept gRPC requests only
}

// Pool serves the requests to one service. Its methods other than Run may be called from any goroutine.
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

// New returns a pool that does nothing until Run is called. It fails if the settings are invalid.
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

// Run starts the goroutine of the pool's engine, which Retire or Stop ends. It must be called once, before any other method.
func (p *Pool) Run() {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.engine.Run(ctx)
	p.engine.Start(p.initialList)
	if p.knowledge != nil {
		p.engine.Learn(p.knowledge)
	}
}

// Name returns the pool's name. It is empty for the only pool of a platform's node.
func (p *Pool) Name() string { return p.name }

// Class returns the settings of a class, and whether there is such a class.
func (p *Pool) Class(name string) (balancer.Class, bool) {
	class, ok := p.classes[name]
	return class, ok
}

// LongestDeadline returns the longest deadline of the pool's classes.
func (p *Pool) LongestDeadline() (longest time.Duration) {
	for _, c := range p.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// GRPC reports whether the pool's servers accept gRPC requests only.
func (p *Pool) GRPC() bool { return p.grpc }

// Engine returns the pool's engine, which ends with the pool.
func (p *Pool) Engine() *engine.Engine { return p.engine }

// Shares returns the pool's shares of the budgets.
func (p *Pool) Shares() Shares { return p.shares }

// Errors of Enter.
var (
	ErrRetired        = errors.New("the pool has been removed")
	ErrTooManyCalls   = errors.New("too many calls are open")
	ErrNoBodyCapacity = errors.New("no room for the body")
)

// Enter reserves capacity for a call with a body of bodyBytes; Leave releases it. After ErrRetired the caller looks up the
// pool that has replaced this one. After any other error a retry is safe, since no attempt was made.
func (p *Pool) Enter(bodyBytes int64) error {
	p.activeCalls.Add(1)
	// The call is counted before the check, so that either Retire observes it, or it observes that Retire has begun.
	if p.retired.Load() {
		p.activeCalls.Add(-1)
		return ErrRetired
	}
	if !p.shares.Calls.Take(1) {
		p.activeCalls.Add(-1)
		return ErrTooManyCalls
	}
	if bodyBytes > 0 && !p.shares.RequestBodies.Take(bodyBytes) {
		p.shares.Calls.Give(1)
		p.activeCalls.Add(-1)
		return ErrNoBodyCapacity
	}
	return nil
}

// Leave releases the capacity that Enter has reserved for a body of the same size.
func (p *Pool) Leave(bodyBytes int64) {
	if bodyBytes > 0 {
		p.shares.RequestBodies.Give(bodyBytes)
	}
	p.shares.Calls.Give(1)
	p.activeCalls.Add(-1)
}

// retirePollInterval is the interval between checks whether a retired pool has open calls left.
const retirePollInterval = 20 * time.Millisecond

// Retire drains the pool: it rejects new calls, waits until all open calls are answered and all attempts have ended, and
// then stops the pool. When ctx ends it fails the calls that are still open, except those whose streamed reply has started.
// It blocks until the pool has stopped.
func (p *Pool) Retire(ctx context.Context) {
	p.retired.Store(true)
	tick := time.NewTicker(retirePollInterval)
	defer tick.Stop()
	expired := ctx.Done()
	for p.activeCalls.Load() > 0 || p.engine.OpenCalls() > 0 {
		select {
		case <-tick.C:
		case <-expired:
			p.engine.AbandonAll() //nolint:contextcheck // the engine's work does not end with ctx
			expired = nil         // AbandonAll is called once
		}
	}
	p.Stop()
}

// Stop ends the pool immediately, without answering its open calls, and waits for its goroutine.
func (p *Pool) Stop() {
	p.stop()
	<-p.engine.Done()
}

// idleCloser is a sender that can close up to n idle connections, which returns them to the budget.
type idleCloser interface{ CloseIdle(n int) int }

// maxClosedPerCall limits the connections that one call of ReturnBorrowedConnections closes.
const maxClosedPerCall = 64

// ReturnBorrowedConnections closes idle connections, up to the number that the pool has borrowed, if another pool was denied
// one.
func (p *Pool) ReturnBorrowedConnections() {
	if n := p.shares.Connections.Excess(); n > 0 {
		if closer, ok := p.sender.(idleCloser); ok {
			closer.CloseIdle(int(min(n, maxClosedPerCall)))
		}
	}
}
