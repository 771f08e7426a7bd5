package engine

import (
	"context"
	"errors"
	"time"

	"cranegrade/balancer"
)

// Listed is an entry of a list of servers, with the address at which senders reach the server.
type Listed struct {
	balancer.Server
	Addr string // host:port; may be empty for a server that is Gone
}

// ListUpdate is an update from a source: the complete list, or the entries that changed.
type ListUpdate struct {
	Full      bool
	Cached    bool   // from before a restart, possibly out of date
	Version   string // where Watch continues; "" means from the beginning
	Servers   []Listed
	DropShare float64 // share of calls to reject before any attempt, as the source demands; 0 to 1
}

// Observer is a source that is notified of the attempts at its servers. The engine's goroutine calls its methods, so they
// must not block.
type Observer interface {
	AttemptStarted(server string)
	AttemptEnded(server string, ending balancer.Ending)
	RequestDropped()
}

// ErrMalformedUpdate is the reason for a watch's end where the source answered with something that can't be decoded or
// is not complete.
var ErrMalformedUpdate = errors.New("malformed update of the list")

// Source provides the list of servers.
type Source interface {
	// Watch watches the list: it calls onUpdate with each update after version since, in order, until ctx ends or the
	// source fails. After "" the first update is the complete list. An update that is not full and has no servers
	// says that the list is still up to date. Watch returns the reason for its end, never nil.
	Watch(ctx context.Context, since string, onUpdate func(ListUpdate)) error
	// String names the source for the log.
	String() string
}

// Apply takes over an update that did not come from the configured source.
func (e *Engine) Apply(update ListUpdate) { e.Do(func() { e.apply(update) }) }

const (
	// pushedListRetryDelay is the delay before a failed watch of a pushed list is opened again. Of other lists the
	// module decides.
	pushedListRetryDelay = time.Second
	// newSourceRetryDelay is the delay between attempts to reach a new source for the first time. Its list must
	// be known 4 s after the reload, which leaves no time for the module's backoff.
	newSourceRetryDelay = 500 * time.Millisecond
	// watchRetryDelay comes after every failure, before the module's own backoff. That is zero for a module whose setting
	// balancer.Settings.AskWithin is unset, and the source must not be asked in a tight loop.
	watchRetryDelay = 50 * time.Millisecond
)

// SetSource switches to another source. Versions of different sources can't be compared, so the new one is asked for
// the complete list; until that comes the former list stays in use.
func (e *Engine) SetSource(s Source) {
	e.Do(func() {
		e.logf("the list comes from %s from now on", s)
		e.observe(s)
		e.source, e.listVersion = s, ""
		e.subscribe()
	})
}

// observe makes a source the observer of attempts, if it wants to be.
func (e *Engine) observe(s Source) {
	e.observer = nil
	if o, is := s.(Observer); is {
		e.observer = o
	}
}

// subscribe opens a watch of the source, in place of the former one. The watch ends with its goroutine when stopWatch is
// called, on the next subscribe or at the end of Run.
func (e *Engine) subscribe() {
	e.stopWatch()
	if e.source == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stopWatch = cancel
	source, since := e.source, e.listVersion
	go func() {
		err := source.Watch(ctx, since, func(update ListUpdate) {
			e.Do(func() {
				if ctx.Err() == nil { // otherwise a newer watch brings the same
					e.apply(update) //nolint:contextcheck // attempts belong to their calls, and not to the watch
				}
			})
		})
		e.Do(func() { e.watchFailed(ctx, err) })
	}()
}

// watchFailed has a failed watch opened again, or the module notified of the failure, after a delay. ctx is the watch's.
func (e *Engine) watchFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // it was replaced or stopped
	}
	e.logf("watch: %v", err)
	failed := balancer.ListFailed{Garbled: errors.Is(err, ErrMalformedUpdate)}
	delay, next := watchRetryDelay, func() { e.handle(failed) } //nolint:contextcheck // attempts belong to their calls
	switch {
	case e.listVersion == "":
		delay, next = newSourceRetryDelay, e.subscribe
	case e.cfg.Pushed:
		delay, next = pushedListRetryDelay, e.subscribe
		e.handle(failed) //nolint:contextcheck // attempts belong to their calls
	}
	e.after(delay, func() {
		if ctx.Err() == nil { // otherwise another watch has been opened since
			next()
		}
	})
}
