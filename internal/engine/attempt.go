package engine

import (
	"context"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Attempt is one balancer.Send: a request that is to be sent to one endpoint once.
type Attempt struct {
	Endpoint *Endpoint
	Payload  any           // the call's
	Timeout  time.Duration // how long to wait for the response
	Spares   []*Endpoint   // alternatives that a Carrier may use in its place, in this order

	host      host
	call      *Call
	index     int
	serverID  string
	startedAt time.Duration
	cancel    context.CancelCauseFunc
	timer     *time.Timer // cancels after Timeout
	observer  Observer    // that observed the start; nil means none
	ended     atomic.Bool
	transfer  atomic.Pointer[transferRecord]
}

// transferRecord is what an attempt has sent and received, see RecordTransfer.
type transferRecord struct {
	bytesSent, bytesReceived int64
	servedBy                 string // address of the server that answered; "" means the one asked
}

// host is the owner of an attempt: an engine, or Hooks.
type host interface {
	mayWrite(a *Attempt) (balancer.Ending, bool)
	responseStarted(a *Attempt, r Reply)
	end(a *Attempt, ending balancer.Ending, r Reply)
}

// MayWrite reports whether the attempt may be written now: its call is not finished, and its endpoint is still usable. If
// not, it returns the ending to report. A sender must ask after it has a connection, immediately before it writes.
func (a *Attempt) MayWrite() (balancer.Ending, bool) {
	if ending, ok := a.host.mayWrite(a); !ok {
		return ending, false
	}
	if !a.Endpoint.Usable() {
		// It began to drain, or was removed or taken out of service, while the connection was being established.
		return balancer.Unreachable, false
	}
	return 0, true
}

// RecordTransfer reports to the engine, before End, that the request was written completely, with a body of bytesSent
// bytes. A Carrier also reports the bytes of the response body and, if known, the address of the server that answered. Others
// leave both empty: the size is then that of the reply that is passed to End.
func (a *Attempt) RecordTransfer(bytesSent, bytesReceived int64, servedBy string) {
	a.transfer.Store(&transferRecord{bytesSent, bytesReceived, servedBy})
}

// ResponseStarted passes on a streamed reply that has begun. It may be called once, before End; the engine releases r if the
// call belongs to another attempt.
func (a *Attempt) ResponseStarted(r Reply) { a.host.responseStarted(a, r) }

// End says how the attempt ended; r is the reply of a Success and otherwise nil. Later calls have no effect but the
// release of r.
func (a *Attempt) End(ending balancer.Ending, r Reply) {
	if !a.ended.CompareAndSwap(false, true) {
		release(r)
		return
	}
	a.host.end(a, ending, r)
}

func release(r Reply) {
	if r != nil {
		r.Release()
	}
}

// send makes an attempt of a balancer.Send and starts it, or ends it at once if it may not start. Either way the module is
// given exactly one balancer.Outcome.
func (e *Engine) send(send balancer.Send) {
	call := e.calls[send.ID]
	if call == nil {
		e.logf("send for the unknown request %s", send.ID)
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

// newAttempt returns the next attempt of a call, which cancel withdraws. Its Endpoint is nil if the server is not listed.
func (e *Engine) newAttempt(call *Call, send balancer.Send, cancel context.CancelCauseFunc) *Attempt {
	now := e.cfg.Clock.Now()
	return &Attempt{
		Endpoint:  e.endpoints[send.Server],
		Payload:   call.Payload,
		Timeout:   attemptTimeout(call, send, now),
		host:      e,
		call:      call,
		index:     len(call.attempts),
		serverID:  send.Server,
		startedAt: now,
		cancel:    cancel,
	}
}

// addAttempt counts an attempt as one of its call's, which is not pending any more.
func (e *Engine) addAttempt(call *Call, attempt *Attempt) {
	call.attempts = append(call.attempts, attempt)
	call.attemptsInFlight++
	e.releasePending(call)
}

// mayStart reports whether an attempt may be passed to a sender: its call is open and has time and attempts left, and its
// server is listed.
func (e *Engine) mayStart(attempt *Attempt) bool {
	overLimit := e.cfg.MaxAttempts > 0 && attempt.index >= e.cfg.MaxAttempts
	return !attempt.call.finished.Load() && attempt.Timeout > 0 && attempt.Endpoint != nil && !overLimit
}

// listedEndpoints returns the endpoints of those servers that are listed, in the same order.
func (e *Engine) listedEndpoints(ids []string) (endpoints []*Endpoint) {
	for _, id := range ids {
		if endpoint := e.endpoints[id]; endpoint != nil {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// start passes an attempt to the call's own Carrier, or else to the configured sender. ctx ends when the attempt is withdrawn.
func (e *Engine) start(ctx context.Context, attempt *Attempt) {
	// A timer and not the context's deadline: it must stop once a streamed reply has begun.
	if !attempt.call.arriving {
		attempt.expire(attempt.Timeout)
	}
	if attempt.observer = e.observer; attempt.observer != nil {
		attempt.observer.AttemptStarted(attempt.serverID)
	}
	if carrier, is := attempt.Payload.(Carrier); is {
		carrier.Carry(ctx, attempt)
		return
	}
	e.cfg.Sender.Start(ctx, attempt)
}

// attemptTimeout is how long an attempt may take: what the module says, but no longer than until the call's deadline.
func attemptTimeout(call *Call, send balancer.Send, now time.Duration) time.Duration {
	untilDeadline := call.Deadline - now
	switch {
	case call.arriving:
		return call.timeLeft // counts from the last byte of the request body
	case send.Timeout == 0:
		return untilDeadline
	}
	return min(untilDeadline, send.Timeout)
}

// expire cancels the attempt after that time.
func (a *Attempt) expire(after time.Duration) {
	a.timer = time.AfterFunc(after, func() { a.cancel(ErrTimedOut) })
}

// mayWrite implements host: the last check before a request is written.
func (e *Engine) mayWrite(a *Attempt) (balancer.Ending, bool) {
	return balancer.NeverSent, !a.call.finished.Load()
}

// responseStarted implements host: it gives the call the first streamed reply, and withdraws any other attempt that has one.
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
		call.fallbackTimer.Stop() // a stream that has begun has no deadline
		call.Receiver.ResponseStarted(reply)
		s, is := reply.(TransferReporter)
		e.handle(balancer.Started{ID: call.id, Attempt: attempt.index, Transfer: is && s.Transfer()})
	})
}

func (e *Engine) end(a *Attempt, ending balancer.Ending, r Reply) {
	e.Do(func() { e.handle(e.recordEnding(a, ending, r)) })
}

// recordEnding ends an attempt and returns the outcome for the module. The first success becomes the call's answer;
// once a streamed reply has begun, the ending of its attempt does.
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
	if p, is := call.Payload.(Spendable); is {
		outcome.Consumed = p.Spent()
	}
	e.addTransfer(&outcome, attempt, reply)
	e.answerFrom(attempt, ending, reply)
	e.forgetIfDone(call)
	outcome.Latency = e.cfg.Clock.Now() - attempt.startedAt
	outcome.Ended = call.finished.Load()
	return outcome
}

// addTransfer adds to an outcome what RecordTransfer noted, if the request was written.
func (e *Engine) addTransfer(outcome *balancer.Outcome, attempt *Attempt, reply Reply) {
	done := attempt.transfer.Load()
	if done == nil {
		return
	}
	outcome.Wrote, outcome.Out, outcome.In = true, done.bytesSent, done.bytesReceived
	if sized, is := reply.(Sized); is {
		outcome.In += sized.Size()
	}
	if done.servedBy != "" {
		outcome.Server = e.idByAddr[done.servedBy] // "" if it is not a listed one
	}
}

// answerFrom answers the call if this ending decides it, and releases a reply that is not needed.
func (e *Engine) answerFrom(attempt *Attempt, ending balancer.Ending, reply Reply) {
	call := attempt.call
	answered := false
	switch {
	case ending == balancer.Success && (call.streaming == nil || call.streaming == attempt):
		answered = e.finish(call.id, Answer{Verdict: Served, Reply: reply})
	case call.streaming == attempt:
		// The caller already has a part of this response, so no other attempt may take its place.
		e.finish(call.id, Answer{Verdict: Failed})
	}
	if !answered {
		release(reply)
	}
}
