// Package pool is a service: its own engine with its own decision module, list of servers, classes and
// limits. Several pools share a process through budgets, in which each is sure of its minimum and may
// borrow what is free (QuotaTable). A pool decides nothing about requests but whether there is room to
// take one at all.
package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// Shares are a pool's sides of the process's budgets.
type Shares struct {
	Calls       *Share // calls taken and not yet answered
	Held        *Share // of those, the ones that wait for a server
	Connections *Share // to servers, idle ones and dials among them
	Bodies      *Share // bytes of callers' bodies
	LongAnswers *Share // bytes of answers over message.MaxBody
	Callers     *Share // callers' connections whose last request was for this pool
}

// Config is what a pool is made of.
type Config struct {
	Name     string
	Settings balancer.Settings
	Seed     uint64
	Clock    engine.Clock
	Sender   engine.Sender
	Source   engine.Source
	Orders   engine.AdminStates  // nil: operators order nothing
	Known    engine.News         // the list as it was held before; may be empty
	Pushed   bool                // the list is followed unasked
	Learned  *balancer.Knowledge // by another that this one takes over from; nil: none
	Shares   Shares
	Module   engine.Module // nil: the one in service
	GRPC     bool          // its servers take requests of gRPC, and no others
}

// Pool is a service in this process.
type Pool struct {
	name        string
	classes     map[string]balancer.Class
	engine      *engine.Engine
	shares      Shares
	sender      engine.Sender
	initialList engine.News
	knowledge   *balancer.Knowledge
	pushed      bool
	grpc        bool

	activeCalls atomic.Int64 // calls entered and not left
	retired     atomic.Bool
	stop        context.CancelFunc
}

// New returns a pool that does nothing until Run.
func New(cfg Config) (*Pool, error) {
	if cfg.Module == nil {
		b, err := balancer.New(cfg.Settings, cfg.Seed)
		if err != nil {
			return nil, err
		}
		cfg.Module = b
	}
	p := &Pool{name: cfg.Name, classes: make(map[string]balancer.Class, len(cfg.Settings.Classes)), shares: cfg.Shares,
		sender: cfg.Sender, initialList: cfg.Known, knowledge: cfg.Learned, pushed: cfg.Pushed, grpc: cfg.GRPC, stop: func() {}}
	for _, c := range cfg.Settings.Classes {
		p.classes[c.Name] = c
	}
	p.engine = engine.New(engine.Config{Name: cfg.Name, Clock: cfg.Clock, Module: cfg.Module, Sender: cfg.Sender,
		Source: cfg.Source, MaxAttempts: cfg.Settings.MaxAttempts, Pushed: cfg.Pushed, Pending: cfg.Shares.Held,
		AdminStates: cfg.Orders})
	return p, nil
}

// Run starts the pool's engine; Retire or Stop ends it. It is called once.
func (p *Pool) Run() {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.engine.Run(ctx)
	p.engine.Start(p.initialList)
	if p.knowledge != nil {
		p.engine.Learn(p.knowledge)
	}
}

// Name is the pool's name; empty for the only pool of a platform's node.
func (p *Pool) Name() string { return p.name }

// Class is what the settings say of a class.
func (p *Pool) Class(name string) (balancer.Class, bool) {
	c, known := p.classes[name]
	return c, known
}

// LongestDeadline is that of its classes.
func (p *Pool) LongestDeadline() (longest time.Duration) {
	for _, c := range p.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// GRPC says that its servers take requests of gRPC, and no others.
func (p *Pool) GRPC() bool { return p.grpc }

// Engine is the pool's own; it ends with the pool.
func (p *Pool) Engine() *engine.Engine { return p.engine }

// Shares are the pool's sides of the budgets.
func (p *Pool) Shares() Shares { return p.shares }

// Why a call was not taken.
var (
	ErrRetired = errors.New("the pool has been removed")
	ErrCalls   = errors.New("too many calls are open")
	ErrBodies  = errors.New("no room for the body")
)

// Enter takes room for a call with a body of so many bytes; Leave gives it back. After ErrRetired the
// caller looks for the pool that has taken the place of this one; the other errors are refusals that
// are harmless, for nothing was done.
func (p *Pool) Enter(body int64) error {
	p.activeCalls.Add(1)
	// The count first: Retire sees it, or we see that it has begun.
	if p.retired.Load() {
		p.activeCalls.Add(-1)
		return ErrRetired
	}
	if !p.shares.Calls.Take(1) {
		p.activeCalls.Add(-1)
		return ErrCalls
	}
	if body > 0 && !p.shares.Bodies.Take(body) {
		p.shares.Calls.Give(1)
		p.activeCalls.Add(-1)
		return ErrBodies
	}
	return nil
}

// Leave gives back what Enter took.
func (p *Pool) Leave(body int64) {
	if body > 0 {
		p.shares.Bodies.Give(body)
	}
	p.shares.Calls.Give(1)
	p.activeCalls.Add(-1)
}

// retirePollInterval is how often a pool that was removed looks whether it is empty.
const retirePollInterval = 20 * time.Millisecond

// Retire takes nothing new, waits until all that was taken is answered and every attempt has ended,
// and ends the pool. What is still open when ctx ends is failed first.
func (p *Pool) Retire(ctx context.Context) {
	p.retired.Store(true)
	tick := time.NewTicker(retirePollInterval)
	defer tick.Stop()
	over := ctx.Done()
	for p.activeCalls.Load() > 0 || p.engine.Open() > 0 {
		select {
		case <-tick.C:
		case <-over:
			p.engine.AbandonAll()
			over = nil
		}
	}
	p.Stop()
}

// Stop ends the pool at once; what is unanswered stays so.
func (p *Pool) Stop() {
	p.stop()
	<-p.engine.Done()
}

// idleCloser is a sender that can close idle connections for others' sake.
type idleCloser interface{ GiveBack(n int) int }

// maxClosedAtOnce is how many connections are closed at a time for others' sake.
const maxClosedAtOnce = 64

// ReturnBorrowedConnections closes idle connections that the pool has borrowed while another one wants for them.
func (p *Pool) ReturnBorrowedConnections() {
	if n := p.shares.Connections.Excess(); n > 0 {
		if s, can := p.sender.(idleCloser); can {
			s.GiveBack(int(min(n, maxClosedAtOnce)))
		}
	}
}
