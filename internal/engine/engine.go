// Package engine manages the life cycle of requests, independently of any protocol. An Engine owns one decision module
// (package balancer), passes it events and performs the actions that it returns.
//
// The goroutine of Run owns the module and all state of the engine. Fronts (downstream), senders (upstream) and sources
// (lists of servers) communicate with it by posting functions to its queue. The engine starts attempts through a Sender,
// watches the server list of a Source, and guarantees the following invariants whatever the module decides:
//
//   - each call whose caller stays gets exactly one final answer, at Call.FallbackAt at the latest unless a streamed reply
//     has started;
//   - no two open calls have the same non-empty Call.ID;
//   - nothing is written for a finished call, or to an endpoint that is not usable (Attempt.MayWrite);
//   - each attempt ends exactly once.
//
// The engine makes none of the module's decisions, and treats payloads and replies as opaque.
//
// Files: engine.go contains the goroutine and its queue, call.go the calls, attempt.go the attempts, sender.go and
// source.go the interfaces of senders and sources, servers.go the current server list, snapshot.go the state that a
// successor of the engine continues from, hooks.go attempts that belong to no engine.
package engine

import (
	"context"
	"log"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Clock is a monotonic clock of Unix time: the wall clock's time when it was created plus the time elapsed since.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the wall clock's current time.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Module is the decision module, implemented by balancer.Balancer. Only the engine's goroutine calls it.
type Module interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// SharedLimit is a weighted semaphore that several owners share. Take acquires n units, or returns false without
// blocking; Give releases n acquired units. Both may be called concurrently.
type SharedLimit interface {
	Take(n int64) bool
	Give(n int64)
}

// Config holds the parts and limits of an engine.
type Config struct {
	Name        string // name of the pool, for log lines; may be empty
	Clock       Clock
	Module      Module
	Sender      Sender
	Source      Source      // nil means that the server list is set through Apply only
	MaxAttempts int         // per call; 0 means that only the module limits them
	Pushed      bool        // the source pushes the list: it is watched without waiting for a balancer.Subscribe
	Pending     SharedLimit // limit of calls that wait for an endpoint; nil means no limit
	AdminStates AdminStates // set by operators; nil means none
}

// AdminStates are the administrative states of servers, set by operators. They override the server list: a server that
// is out of service drains, even if it is listed as ready. The methods may be called concurrently and must not block.
type AdminStates interface {
	// IsOutOfService reports whether a server is out of service. A change applies to attempts at once (Endpoint.Usable).
	IsOutOfService(id string) bool
	// StartTime returns the start time to assume for a server, given the one in the list.
	StartTime(id string, listed time.Duration) time.Duration
	// ServerListed is called when a server is added to the list, and ServerRemoved when it is removed. For one id the two
	// calls alternate.
	ServerListed(id string)
	ServerRemoved(id string)
}

// Engine manages the calls of one pool with one Module. Its exported methods may be called from any goroutine.
type Engine struct {
	cfg       Config
	events    chan func()
	done      chan struct{} // closed when Run has ended
	openCalls atomic.Int64  // calls that are unanswered or have attempts in flight

	// The fields below are owned by Run's goroutine.
	pendingEvents     []balancer.Event     // to pass to the module, in order of arrival
	calls             map[string]*Call     // open calls by the engine's own id
	callerIDs         map[string]bool      // the non-empty Call.ID of all open calls
	endpoints         map[string]*Endpoint // listed servers by id
	idByAddr          map[string]string    // endpoint ids by address
	source            Source
	observer          Observer // the source, if it is an Observer; otherwise nil
	listVersion       string   // version of the current list; "" if the list did not come from this source
	dropShare         float64  // share of calls to reject, 0 to 1; set by the source
	rng               *rand.Rand
	nextID            uint64
	stopWatch         context.CancelFunc
	rejectedOverLimit int // calls rejected by the limit of pending calls since the last log line about them
}

// New returns an engine that handles nothing until Run is called.
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
	sweepInterval  = time.Second // interval between calls of Sender.Sweep
	eventQueueSize = 256         // functions that may be queued before Do blocks
)

// Run handles events until ctx ends. It must be called once; its goroutine owns the engine's state.
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
				e.logf("rejected %d calls: the limit of pending calls is reached", e.rejectedOverLimit)
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

// Do queues f to run on the engine's goroutine. It blocks while the queue is full, so the engine's goroutine must not
// call it. After the end of Run it has no effect.
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

// Learn loads another module's estimates into the engine's module, if that implements Learner. It must be called after
// Start.
func (e *Engine) Learn(estimates *balancer.Knowledge) {
	e.Do(func() {
		if learner, ok := e.cfg.Module.(Learner); ok {
			learner.Learn(estimates)
		}
	})
}

// Notify passes the module an event about classes or the fleet, which originates in no call, attempt or server list.
func (e *Engine) Notify(ev balancer.Event) { e.Do(func() { e.handle(ev) }) }

// Start applies an initial list, such as one saved before a restart; it may be empty. Then it starts to watch the source
// if that pushes its list.
func (e *Engine) Start(initial ListUpdate) {
	e.Do(func() {
		e.apply(initial)
		if e.cfg.Pushed {
			e.subscribe()
		}
	})
}

// afterFunc runs f on the engine's goroutine once d has elapsed.
func (e *Engine) afterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { e.Do(f) })
}

// logf writes a log line, prefixed with the pool's name if it has one.
func (e *Engine) logf(format string, args ...any) {
	if e.cfg.Name != "" {
		format, args = "pool %s: "+format, append([]any{e.cfg.Name}, args...)
	}
	log.Printf(format, args...)
}

// handle passes the module an event, and then those events that performing the module's actions has queued.
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

// perform performs one action of the module.
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
		e.afterFunc(a.At-e.cfg.Clock.Now(), func() { e.handle(balancer.Timer{Token: a.Token}) })
	case balancer.Subscribe:
		e.subscribe()
	}
}
