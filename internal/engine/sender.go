package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Sender makes attempts at endpoints in one protocol. Its methods are called from many goroutines.
type Sender interface {
	// Start begins an attempt and returns at once. The sender calls a.MayWrite immediately before it writes, writes
	// nothing once ctx has ended, and calls a.End exactly once, whatever happens. It calls a.ResponseStarted before that if a
	// streamed reply begins. ctx ends with the cause ErrTimedOut or ErrWithdrawn.
	Start(ctx context.Context, a *Attempt)
	// Drop closes the idle connections to an endpoint, which takes no new attempts.
	Drop(ep *Endpoint)
	// Sweep is called periodically, to close connections that are not worth keeping.
	Sweep()
}

// Carrier is a payload whose attempts are made by the caller itself, such as a proxy that asks only for the choice of
// an endpoint, and not by the engine's sender. Carry has the contract of Sender.Start; the engine's goroutine calls it.
type Carrier interface {
	Carry(ctx context.Context, a *Attempt)
}

// Spendable is a payload that may hold a part, such as a streamed body, which can be sent only once.
type Spendable interface {
	// Spent reports whether this part has been sent, so that no further attempt can be made.
	Spent() bool
}

// Causes of the end of an attempt's context.
var (
	ErrTimedOut  = errors.New("timed out")
	ErrWithdrawn = errors.New("withdrawn")
)

// EndingOf says how an attempt ended whose request was written completely and whose response is not complete.
func EndingOf(ctx context.Context) balancer.Ending {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return balancer.Broken
	case errors.Is(cause, ErrTimedOut):
		return balancer.TimedOut
	}
	return balancer.Canceled
}

// Endpoint is a listed server as senders see it. A server that restarts or changes its address becomes a new
// Endpoint, so that no connection to the former process is used again.
type Endpoint struct {
	ID, Addr    string
	startedAt   time.Duration
	usable      atomic.Bool // listed as ready; cleared when it drains or is removed
	adminStates AdminStates // nil means none
	listed      Listed      // as the source reported it; owned by the engine's goroutine
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

// SetUsable is for the engine and for tests of senders.
func (ep *Endpoint) SetUsable(is bool) { ep.usable.Store(is) }
