// Package engine is the life of a request apart from any protocol: it owns one decision module, hands
// it events and carries out its actions.
//
// One goroutine, that of Run, owns the module and all that hangs on it; fronts, senders and sources
// post to it. It hands each call exactly one final answer, starts attempts through a Sender, and
// applies the news of a Source. What it guards whatever the module says: one answer each, in time
// (the last call); an id that is open is not taken twice; nothing is begun for a finished call or at
// an endpoint that the list no longer names ready (Attempt.Begin); an attempt ends once.
//
// It decides nothing that the module decides, and knows no protocol: what a call carries and what an
// attempt brings back pass through it unread.
package engine

import (
	"context"
	"log"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Clock is Unix time that never goes back: the wall's at the start plus what has passed since.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the clock time, as Unix time.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Module decides; balancer.Balancer is the one in service.
type Module interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// SharedLimit is a limit shared with others: so much can be taken, and is given back. It is called from many
// goroutines.
type SharedLimit interface {
	Take(n int64) bool
	Give(n int64)
}

// Config is what an engine is made of.
type Config struct {
	Name        string // for the log: the pool's; may be empty
	Clock       Clock
	Module      Module
	Sender      Sender
	Source      Source      // may be nil: then the list is what Apply brings
	MaxAttempts int         // of a call; 0: no limit but the module's
	Pushed      bool        // the list comes unasked: it is followed without a Subscribe
	Pending     SharedLimit // calls that wait for an endpoint; nil: no limit
	AdminStates AdminStates // what operators have taken out by hand; nil: nothing ever
}

// AdminStates are what operators have taken out by hand. They lie over the list: a server that is out drains, whatever
// the list says of it. Its methods are called from many goroutines and never wait.
type AdminStates interface {
	// Out says that a server is taken out. It binds attempts from the moment that it says so.
	Out(id string) bool
	// Boot is when a server is to be taken to have started, where the list says boot.
	Boot(id string, boot time.Duration) time.Duration
	// Entered hears of a server that is listed from now on, and Left of one that no longer is; in turn for each id.
	Entered(id string)
	Left(id string)
}

// Engine owns a module. Its exported methods may be called from any goroutine.
type Engine struct {
	cfg       Config
	events    chan func()
	done      chan struct{} // closed when Run has ended
	openCalls atomic.Int64  // calls that are unanswered or have attempts out

	// Owned by Run's goroutine.
	pendingEvents     []balancer.Event // for the module, in order
	calls             map[string]*Call
	callerIDs         map[string]bool // of calls
	endpoints         map[string]*Endpoint
	idByAddr          map[string]string // ids of endpoints by address
	source            Source
	observer          Observer // the source, if it is one; else nil
	listVersion       string   // of the list we hold; "": not this source's
	dropShare         float64  // share of calls to refuse
	rng               *rand.Rand
	nextID            uint64
	stopWatch         context.CancelFunc
	rejectedOverLimit int // calls held over the limit since the last line about it
}

// New returns an engine that does nothing until Run.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, events: make(chan func(), 256), done: make(chan struct{}),
		calls: map[string]*Call{}, callerIDs: map[string]bool{}, endpoints: map[string]*Endpoint{}, idByAddr: map[string]string{},
		source: cfg.Source, stopWatch: func() {}, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	e.observe(cfg.Source)
	return e
}

// sweepInterval is how often the sender may look for what it need not keep.
const sweepInterval = time.Second

// Run works off events until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	defer func() { e.stopWatch() }()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case f := <-e.events:
			f()
		case <-sweep.C:
			if e.rejectedOverLimit > 0 {
				e.logf("%d calls refused: too many held", e.rejectedOverLimit)
				e.rejectedOverLimit = 0
			}
			go e.cfg.Sender.Sweep()
		case <-ctx.Done():
			for _, ep := range e.endpoints {
				ep.usable.Store(false)
				e.cfg.Sender.Drop(ep)
			}
			return
		}
	}
}

// Do has f run on the engine's goroutine; it returns before that. It may wait, so that goroutine must
// not call it. After Run has ended it does nothing.
func (e *Engine) Do(f func()) {
	select {
	case e.events <- f:
	case <-e.done:
	}
}

// Done is closed when Run has ended.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Open is the number of calls that are unanswered or have attempts out.
func (e *Engine) Open() int64 { return e.openCalls.Load() }

// Now is the engine's clock time.
func (e *Engine) Now() time.Duration { return e.cfg.Clock.Now() }

// Learn has the module go on with what another learned, if it can. It follows Start.
func (e *Engine) Learn(k *balancer.Knowledge) {
	e.Do(func() {
		if l, is := e.cfg.Module.(Learner); is {
			l.Learn(k)
		}
	})
}

// Tell hands the module an event that no call, attempt or list brings: of classes, or of the fleet.
func (e *Engine) Tell(ev balancer.Event) { e.Do(func() { e.handle(ev) }) }

// Start applies a list that was held before, if any, and follows the source if lists are pushed.
func (e *Engine) Start(known News) {
	e.Do(func() {
		e.apply(known)
		if e.cfg.Pushed {
			e.subscribe()
		}
	})
}

// after posts f when d has passed.
func (e *Engine) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { e.Do(f) })
}

func (e *Engine) logf(format string, args ...any) {
	if e.cfg.Name != "" {
		format, args = "pool %s: "+format, append([]any{e.cfg.Name}, args...)
	}
	log.Printf(format, args...)
}

// handle gives the module an event, and then those that its own actions caused at once.
func (e *Engine) handle(ev balancer.Event) {
	e.pendingEvents = append(e.pendingEvents, ev)
	for len(e.pendingEvents) > 0 {
		ev := e.pendingEvents[0]
		e.pendingEvents = e.pendingEvents[1:]
		for _, a := range e.cfg.Module.Handle(e.cfg.Clock.Now(), ev) {
			e.perform(a)
		}
	}
}

func (e *Engine) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		e.send(a)
	case balancer.Cancel:
		if c := e.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].cancel(ErrWithdrawn)
		}
	case balancer.Refuse:
		e.finish(a.ID, Answer{Verdict: Refused, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		e.finish(a.ID, Answer{Verdict: Failed})
	case balancer.Wake:
		e.after(a.At-e.cfg.Clock.Now(), func() { e.handle(balancer.Timer{Token: a.Token}) })
	case balancer.Subscribe:
		e.subscribe()
	}
}
