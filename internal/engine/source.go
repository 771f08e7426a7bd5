package engine

import (
	"context"
	"errors"
	"time"

	"cranegrade/balancer"
)

// Listed is an entry of a server list, with the address at which senders reach the server.
type Listed struct {
	balancer.Server
	Addr string // host:port; may be empty for a server that is balancer.Gone
}

// ListUpdate is an update of a server list: the complete list, or the entries that changed.
type ListUpdate struct {
	Full      bool   // Servers is the complete list
	Cached    bool   // saved before a restart, possibly outdated
	Version   string // version from which Watch continues; "" means from the beginning
	Servers   []Listed
	DropShare float64 // share of calls that the source wants rejected before any attempt; 0 to 1
}

// Observer is a Source that is notified of the attempts at its servers, and of the requests dropped because of
// ListUpdate.DropShare. The engine's goroutine calls its methods, so they must not block.
type Observer interface {
	AttemptStarted(server string)
	AttemptEnded(server string, ending balancer.Ending)
	RequestDropped()
}

// ErrMalformedUpdate is the error of a watch that ended because an update from the source can't be decoded or is
// incomplete.
var ErrMalformedUpdate = errors.New("malformed update of the list")

// Source provides a server list.
type Source interface {
	// Watch watches the list: it calls onUpdate with each update after version since, in order, until ctx ends or the
	// source fails. If since is "", the first update is the complete list. An update that is not full and has no servers
	// confirms that the list is up to date. Watch returns the reason for its end, never nil.
	Watch(ctx context.Context, since string, onUpdate func(ListUpdate)) error
	// String returns the name of the source for log lines.
	String() string
}

// Apply applies an update that did not come from the configured source.
func (e *Engine) Apply(update ListUpdate) { e.Do(func() { e.apply(update) }) }

const (
	// pushedListRetryDelay is the delay before a failed watch of a pushed list is opened again. For lists that are not
	// pushed, the module decides when to subscribe again.
	pushedListRetryDelay = time.Second
	// newSourceRetryDelay is the delay between attempts to get the first list of a new source. That list must be available
	// within 4 s of the reload that sets the source, which leaves no time for the module's backoff.
	newSourceRetryDelay = 500 * time.Millisecond
	// watchFailureNoticeDelay is the delay before the module is notified that the watch of a list that is not pushed has
	// failed. The module's own backoff is zero if balancer.Settings.AskWithin is unset, and the source must not be polled
	// in a tight loop.
	watchFailureNoticeDelay = 50 * time.Millisecond
)

// SetSource switches to another source. Versions of different sources can't be compared, so the new source is watched from
// the beginning; the previous list stays in use until the new source's complete list arrives.
func (e *Engine) SetSource(s Source) {
	e.Do(func() {
		e.logf("source of the server list changed to %s", s)
		e.observe(s)
		e.source, e.listVersion = s, ""
		e.subscribe()
	})
}

// observe makes a source the observer of attempts, if it implements Observer.
func (e *Engine) observe(s Source) {
	e.observer = nil
	if observer, ok := s.(Observer); ok {
		e.observer = observer
	}
}

// subscribe opens a watch of the source, which replaces the previous one. The watch and its goroutine end when stopWatch is
// called: by the next subscribe, or at the end of Run.
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
				if ctx.Err() == nil { // otherwise a newer watch delivers the same update
					e.apply(update) //nolint:contextcheck // attempts belong to their calls, not to the watch
				}
			})
		})
		e.Do(func() { e.watchFailed(ctx, err) })
	}()
}

// watchFailed handles the failure of a watch; ctx is the context of the watch. If there is no list of this source yet, it
// opens the watch again after newSourceRetryDelay. If the list is pushed, it notifies the module and opens the watch again
// after pushedListRetryDelay. Otherwise it only notifies the module, after watchFailureNoticeDelay.
func (e *Engine) watchFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // the watch was replaced or stopped
	}
	e.logf("watch of the server list failed: %v", err)
	failed := balancer.ListFailed{Garbled: errors.Is(err, ErrMalformedUpdate)}
	delay, next := watchFailureNoticeDelay, func() { e.handle(failed) } //nolint:contextcheck // attempts belong to their calls
	switch {
	case e.listVersion == "":
		delay, next = newSourceRetryDelay, e.subscribe
	case e.cfg.Pushed:
		delay, next = pushedListRetryDelay, e.subscribe
		e.handle(failed) //nolint:contextcheck // attempts belong to their calls
	}
	e.afterFunc(delay, func() {
		if ctx.Err() == nil { // otherwise the watch was replaced or stopped during the delay
			next()
		}
	})
}
