package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Sender executes attempts in one protocol. Its methods may be called concurrently.
type Sender interface {
	// Start starts an attempt and returns without blocking. The sender calls a.MayWrite immediately before it writes, writes
	// nothing once ctx has ended, and calls a.End exactly once in every case. It calls a.ResponseStarted before that if a
	// streamed reply starts. ctx is canceled with the cause ErrTimedOut or ErrWithdrawn.
	Start(ctx context.Context, a *Attempt)
	// Drop closes the idle connections to an endpoint that gets no new attempts.
	Drop(ep *Endpoint)
	// Sweep is called periodically to close connections that should not be kept, such as those idle for too long.
	Sweep()
}

// Carrier is a payload whose attempts are executed by the caller instead of the engine's Sender, for example a proxy that
// uses the engine only to choose an endpoint. Carry has the contract of Sender.Start; the engine's goroutine calls it.
type Carrier interface {
	Carry(ctx context.Context, a *Attempt)
}

// Spendable is a payload that may contain a part that can be sent only once, such as a streamed body.
type Spendable interface {
	// Spent reports whether this part has been sent. No further attempt is possible then.
	Spent() bool
}

// Causes with which an attempt's context is canceled.
var (
	ErrTimedOut  = errors.New("timed out") // Attempt.Timeout has elapsed
	ErrWithdrawn = errors.New("withdrawn") // the module canceled the attempt, or its reply is not needed
)

// EndingOf returns the ending of an attempt whose request was written completely and whose response is incomplete. ctx is
// the attempt's context.
func EndingOf(ctx context.Context) balancer.Ending {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return balancer.Broken
	case errors.Is(cause, ErrTimedOut):
		return balancer.TimedOut
	}
	return balancer.Canceled
}

// Endpoint identifies a listed server to senders. A server that restarts or changes its address gets a new Endpoint, so
// that connections to the previous process are not reused.
type Endpoint struct {
	ID, Addr    string
	startedAt   time.Duration
	usable      atomic.Bool // the server is listed as ready, and not draining or removed
	adminStates AdminStates // nil means none
	listed      Listed      // the server's entry as the source reported it; owned by the engine's goroutine
}

// NewEndpoint returns a usable endpoint that belongs to no engine, for tests of senders and for tools.
func NewEndpoint(id, addr string) *Endpoint {
	ep := &Endpoint{ID: id, Addr: addr}
	ep.usable.Store(true)
	return ep
}

// Usable reports whether the endpoint is listed as ready and no operator has taken it out of service.
func (ep *Endpoint) Usable() bool {
	return ep.usable.Load() && (ep.adminStates == nil || !ep.adminStates.IsOutOfService(ep.ID))
}

// SetUsable sets whether the endpoint is listed as ready. It is meant for tests of senders.
func (ep *Endpoint) SetUsable(isUsable bool) { ep.usable.Store(isUsable) }
