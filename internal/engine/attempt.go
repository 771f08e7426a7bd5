package engine

import (
	"context"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Attempt is the execution of one balancer.Send: it sends a request to one endpoint, once.
type Attempt struct {
	Endpoint *Endpoint
	Payload  any           // Call.Payload
	Timeout  time.Duration // how long to wait for the response
	Spares   []*Endpoint   // alternatives to Endpoint that a Carrier may use, in order of preference

	owner     attemptOwner
	call      *Call
	index     int           // in Call.attempts; the module's number of the attempt
	serverID  string        // the server that the module chose
	startedAt time.Duration // clock time at which the attempt was created
	cancel    context.CancelCauseFunc
	timer     *time.Timer // cancels the attempt with ErrTimedOut; nil if not started
	observer  Observer    // source that was notified of the start; nil means none
	ended     atomic.Bool
	transfer  atomic.Pointer[transferRecord] // nil until RecordTransfer
}

// transferRecord holds the arguments of RecordTransfer.
type transferRecord struct {
	bytesSent, bytesReceived int64
	servedBy                 string // address of the server that answered; "" means Attempt.Endpoint
}

// attemptOwner handles the events of an attempt. It is an Engine, or Hooks.
type attemptOwner interface {
	mayWrite(a *Attempt) (balancer.Ending, bool)
	responseStarted(a *Attempt, r Reply)
	end(a *Attempt, ending balancer.Ending, r Reply)
}

// MayWrite reports whether the request may be written now: the call is not finished, and the endpoint is still usable. If
// not, it returns the ending to pass to End. A sender must call it once it has a connection, immediately before it writes.
func (a *Attempt) MayWrite() (balancer.Ending, bool) {
	if ending, ok := a.owner.mayWrite(a); !ok {
		return ending, false
	}
	if !a.Endpoint.Usable() {
		// The server began to drain, or was removed or taken out of service, while the connection was being established.
		return balancer.Unreachable, false
	}
	return 0, true
}

// RecordTransfer reports to the engine, before End, that the request was written completely, with a body of bytesSent
// bytes. A Carrier also reports the size of the response body and, if known, the address of the server that answered. Other
// senders leave both zero: the engine then uses the size of the reply that is passed to End (Sized).
func (a *Attempt) RecordTransfer(bytesSent, bytesReceived int64, servedBy string) {
	a.transfer.Store(&transferRecord{bytesSent, bytesReceived, servedBy})
}

// ResponseStarted passes on a streamed reply that has started. It may be called once, before End. The engine releases r if
// the call is finished or another attempt's reply has started before.
func (a *Attempt) ResponseStarted(r Reply) { a.owner.responseStarted(a, r) }

// End reports how the attempt ended. r is the reply of a balancer.Success, and nil for other endings. Later calls only
// release r.
func (a *Attempt) End(ending balancer.Ending, r Reply) {
	if !a.ended.CompareAndSwap(false, true) {
		release(r)
		return
	}
	a.owner.end(a, ending, r)
}

// release releases a reply, which may be nil.
func release(r Reply) {
	if r != nil {
		r.Release()
	}
}

// send creates an attempt for a balancer.Send and starts it, or ends it at once if it may not start. In both cases the
// module gets exactly one balancer.Outcome for it.
func (e *Engine) send(send balancer.Send) {
	call := e.calls[send.ID]
	if call == nil {
		e.logf("attempt for unknown request %s ignored", send.ID)
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt := e.newAttempt(call, send, cancel)
	e.addAttempt(call, attempt)
	if !e.mayStart(attempt) {
		attempt.ended.Store(true)
		e.pendingEvents = append(e.pendingEvents, e.recordEnding(attempt, balancer.NeverSent, nil))
		return
	}
	attempt.Spares = e.listedEndpoints(send.Spares)
	e.start(ctx, attempt)
}

// newAttempt returns the next attempt of a call; cancel ends the attempt's context. The attempt's Endpoint is nil if the
// server is not listed.
func (e *Engine) newAttempt(call *Call, send balancer.Send, cancel context.CancelCauseFunc) *Attempt {
	now := e.cfg.Clock.Now()
	return &Attempt{
		Endpoint:  e.endpoints[send.Server],
		Payload:   call.Payload,
		Timeout:   attemptTimeout(call, send, now),
		owner:     e,
		call:      call,
		index:     len(call.attempts),
		serverID:  send.Server,
		startedAt: now,
		cancel:    cancel,
	}
}

// addAttempt adds an attempt to its call, which is then no longer pending.
func (e *Engine) addAttempt(call *Call, attempt *Attempt) {
	call.attempts = append(call.attempts, attempt)
	call.attemptsInFlight++
	e.releasePending(call)
}

// mayStart reports whether an attempt may be passed to a sender: its call is not finished and has time and attempts left,
// and its server is listed.
func (e *Engine) mayStart(attempt *Attempt) bool {
	overLimit := e.cfg.MaxAttempts > 0 && attempt.index >= e.cfg.MaxAttempts
	return !attempt.call.finished.Load() && attempt.Timeout > 0 && attempt.Endpoint != nil && !overLimit
}

// listedEndpoints returns the endpoints of the given servers in the same order, without those that are not listed.
func (e *Engine) listedEndpoints(ids []string) (endpoints []*Endpoint) {
	for _, id := range ids {
		if endpoint := e.endpoints[id]; endpoint != nil {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// start passes an attempt to its payload if that is a Carrier, and otherwise to the configured sender. ctx ends when the
// attempt is withdrawn or times out.
func (e *Engine) start(ctx context.Context, attempt *Attempt) {
	// A timer is used instead of a context deadline because it must be stopped once a streamed reply has started.
	if !attempt.call.bodyIncomplete {
		attempt.cancelAfter(attempt.Timeout)
	}
	if attempt.observer = e.observer; attempt.observer != nil {
		attempt.observer.AttemptStarted(attempt.serverID)
	}
	if carrier, ok := attempt.Payload.(Carrier); ok {
		carrier.Carry(ctx, attempt)
		return
	}
	e.cfg.Sender.Start(ctx, attempt)
}

// attemptTimeout returns the module's timeout for an attempt, limited to the time until the call's deadline.
func attemptTimeout(call *Call, send balancer.Send, now time.Duration) time.Duration {
	untilDeadline := call.Deadline - now
	switch {
	case call.bodyIncomplete:
		return call.timeLeft // starts to run at the last byte of the request body
	case send.Timeout == 0:
		return untilDeadline
	}
	return min(untilDeadline, send.Timeout)
}

// cancelAfter starts the timer that cancels the attempt once timeout has elapsed.
func (a *Attempt) cancelAfter(timeout time.Duration) {
	a.timer = time.AfterFunc(timeout, func() { a.cancel(ErrTimedOut) })
}

// mayWrite implements attemptOwner. It is the last check before a request is written.
func (e *Engine) mayWrite(a *Attempt) (balancer.Ending, bool) {
	return balancer.NeverSent, !a.call.finished.Load()
}

// responseStarted implements attemptOwner. It passes the call's first streamed reply to the receiver, and withdraws any other
// attempt whose reply starts later.
func (e *Engine) responseStarted(attempt *Attempt, reply Reply) {
	e.Do(func() {
		call := attempt.call
		if call.finished.Load() || call.streaming != nil || call.attempts[attempt.index] != attempt {
			attempt.cancel(ErrWithdrawn)
			release(reply)
			return
		}
		call.streaming = attempt
		if attempt.timer != nil {
			attempt.timer.Stop()
		}
		call.fallbackTimer.Stop() // a streamed reply that has started has no deadline
		call.Receiver.ResponseStarted(reply)
		reporter, ok := reply.(TransferReporter)
		e.handle(balancer.Started{ID: call.id, Attempt: attempt.index, Transfer: ok && reporter.Transfer()})
	})
}

// end implements attemptOwner.
func (e *Engine) end(a *Attempt, ending balancer.Ending, r Reply) {
	e.Do(func() { e.handle(e.recordEnding(a, ending, r)) })
}

// recordEnding ends an attempt and returns the outcome for the module. The call is answered by its first successful
// attempt or, once a streamed reply has started, by the ending of that reply's attempt.
func (e *Engine) recordEnding(attempt *Attempt, ending balancer.Ending, reply Reply) balancer.Outcome {
	call := attempt.call
	if attempt.timer != nil {
		attempt.timer.Stop()
	}
	attempt.cancel(nil)
	call.attemptsInFlight--
	if attempt.observer != nil {
		attempt.observer.AttemptEnded(attempt.serverID, ending)
	}
	outcome := balancer.Outcome{ID: call.id, Attempt: attempt.index, Server: attempt.serverID, Ending: ending}
	if payload, ok := call.Payload.(Spendable); ok {
		outcome.Consumed = payload.Spent()
	}
	e.addTransfer(&outcome, attempt, reply)
	e.answerFrom(attempt, ending, reply)
	e.forgetIfDone(call)
	outcome.Latency = e.cfg.Clock.Now() - attempt.startedAt
	outcome.Ended = call.finished.Load()
	return outcome
}

// addTransfer adds the data of RecordTransfer to an outcome, if the request was written completely.
func (e *Engine) addTransfer(outcome *balancer.Outcome, attempt *Attempt, reply Reply) {
	transfer := attempt.transfer.Load()
	if transfer == nil {
		return
	}
	outcome.Wrote, outcome.Out, outcome.In = true, transfer.bytesSent, transfer.bytesReceived
	if sized, ok := reply.(Sized); ok {
		outcome.In += sized.Size()
	}
	if transfer.servedBy != "" {
		outcome.Server = e.idByAddr[transfer.servedBy] // "" if no listed server has this address
	}
}

// answerFrom answers the call if this ending is decisive for it (see recordEnding), and otherwise releases the reply.
func (e *Engine) answerFrom(attempt *Attempt, ending balancer.Ending, reply Reply) {
	call := attempt.call
	answered := false
	switch {
	case ending == balancer.Success && (call.streaming == nil || call.streaming == attempt):
		answered = e.finish(call.id, Answer{Verdict: Served, Reply: reply})
	case call.streaming == attempt:
		// The caller has received a part of this response, so no other attempt can replace it.
		e.finish(call.id, Answer{Verdict: Failed})
	}
	if !answered {
		release(reply)
	}
}
