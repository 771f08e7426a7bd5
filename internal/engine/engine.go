// Package engine runs the life cycle of a request, independently of any protocol. It owns one decision module
// (package balancer), passes it events and carries out its actions.
//
// The goroutine of Run owns the module and all state of the engine; fronts (downstream), senders (upstream) and
// sources (lists of servers) post to it. The engine starts attempts through a Sender, watches the list of a Source,
// and holds these invariants whatever the module says:
//
//   - each call gets exactly one final answer, at the latest at Call.FallbackAt;
//   - no two open calls have the same caller's id;
//   - nothing is written for a finished call, or to an endpoint that is not usable (Attempt.MayWrite);
//   - each attempt ends once.
//
// It must never decide what the module decides, and never read a payload or a reply: it knows no protocol.
//
// Files: engine.go has the goroutine and its queue, call.go the calls, attempt.go the attempts, sender.go and source.go
// what it needs of the two sides, servers.go the list in use, snapshot.go what a successor takes over, hooks.go attempts
// without an engine.
package engine

import (
	"context"
	"log"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Clock is monotonic Unix time: the wall clock's time at the start plus the time that has passed since.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the wall clock's present time.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Module is the decision module; balancer.Balancer is the one in service. Only the engine's goroutine calls it.
type Module interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// SharedLimit is a counting limit that several owners share, like a semaphore. Take takes n or returns false without
// blocking; Give returns what was taken. Both are called from many goroutines.
type SharedLimit interface {
	Take(n int64) bool
	Give(n int64)
}

// Config holds the parts and limits of an engine.
type Config struct {
	Name        string // the pool's, for log lines; may be empty
	Clock       Clock
	Module      Module
	Sender      Sender
	Source      Source      // nil means the list comes through Apply only
	MaxAttempts int         // per call; 0 means only the module limits them
	Pushed      bool        // the source pushes the list: it is watched without a Subscribe of the module
	Pending     SharedLimit // calls that wait for an endpoint; nil means no limit
	AdminStates AdminStates // set by operators; nil means none
}

// AdminStates are the administrative states of servers, set by operators. They override the list: a server that is out
// of service drains, whatever the list says. The methods are called from many goroutines and never block.
type AdminStates interface {
	// IsOutOfService reports whether a server is out of service. Attempts observe it at once (Endpoint.Usable).
	IsOutOfService(id string) bool
	// StartTime returns the start time to assume for a server whose listed one is given.
	StartTime(id string, listed time.Duration) time.Duration
	// ServerListed is called for each server that is now listed, and ServerRemoved for each that no longer is; alternately
	// for an id.
	ServerListed(id string)
	ServerRemoved(id string)
}

// Engine owns a module. Its exported methods may be called from any goroutine.
type Engine struct {
	cfg       Config
	events    chan func()
	done      chan struct{} // closed when Run has ended
	openCalls atomic.Int64  // calls that are unanswered or have attempts in flight

	// Owned by Run's goroutine.
	pendingEvents     []balancer.Event // for the module, in order of arrival
	calls             map[string]*Call
	callerIDs         map[string]bool // the non-empty Call.ID of all calls
	endpoints         map[string]*Endpoint
	idByAddr          map[string]string // ids of endpoints
	source            Source
	observer          Observer // the source, if it is an Observer; otherwise nil
	listVersion       string   // of the list in use; "" if the list is not of this source
	dropShare         float64  // share of calls to reject, 0 to 1
	rng               *rand.Rand
	nextID            uint64
	stopWatch         context.CancelFunc
	rejectedOverLimit int // calls over the limit of pending ones since it was last logged
}

// New returns an engine that is idle until Run.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:       cfg,
		events:    make(chan func(), eventQueueSize),
		done:      make(chan struct{}),
		calls:     map[string]*Call{},
		callerIDs: map[string]bool{},
		endpoints: map[string]*Endpoint{},
		idByAddr:  map[string]string{},
		source:    cfg.Source,
		stopWatch: func() {},
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	e.observe(cfg.Source)
	return e
}

const (
	sweepInterval  = time.Second // between calls of Sender.Sweep
	eventQueueSize = 256         // posted events that may wait before Do blocks
)

// Run handles events until ctx ends. It is called once; its goroutine owns the engine.
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
				e.logf("%d calls rejected: too many are pending", e.rejectedOverLimit)
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

// Do posts f to run on the engine's goroutine. It blocks while the queue is full, so the engine's goroutine must not
// call it. After the end of Run it does nothing.
func (e *Engine) Do(f func()) {
	select {
	case e.events <- f:
	case <-e.done:
	}
}

// Done is closed when Run has ended.
func (e *Engine) Done() <-chan struct{} { return e.done }

// OpenCalls is the number of calls that are unanswered or have attempts in flight.
func (e *Engine) OpenCalls() int64 { return e.openCalls.Load() }

// Now is the time of the engine's clock.
func (e *Engine) Now() time.Duration { return e.cfg.Clock.Now() }

// Learn gives the module the estimates of another one, if it is a Learner. It must come after Start.
func (e *Engine) Learn(k *balancer.Knowledge) {
	e.Do(func() {
		if l, is := e.cfg.Module.(Learner); is {
			l.Learn(k)
		}
	})
}

// Notify passes the module an event that comes from no call, attempt or list: of classes, or of the fleet.
func (e *Engine) Notify(ev balancer.Event) { e.Do(func() { e.handle(ev) }) }

// Start applies the list that was known before, if any, and opens a watch of the source if it pushes lists.
func (e *Engine) Start(known ListUpdate) {
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

// logf writes a log line that names the pool.
func (e *Engine) logf(format string, args ...any) {
	if e.cfg.Name != "" {
		format, args = "pool %s: "+format, append([]any{e.cfg.Name}, args...)
	}
	log.Printf(format, args...)
}

// handle passes the module an event, and then the events that its actions have caused.
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

// perform carries out one action of the module.
func (e *Engine) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		e.send(a)
	case balancer.Cancel:
		if c := e.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].cancel(ErrWithdrawn)
		}
	case balancer.Reject:
		e.finish(a.ID, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		e.finish(a.ID, Answer{Verdict: Failed})
	case balancer.Wake:
		e.after(a.At-e.cfg.Clock.Now(), func() { e.handle(balancer.Timer{Token: a.Token}) })
	case balancer.Subscribe:
		e.subscribe()
	}
}
