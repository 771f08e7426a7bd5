package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Sender makes attempts at endpoints, in one protocol. Its methods are called from many goroutines.
type Sender interface {
	// Start begins an attempt and returns at once. The sender asks a.Begin at the moment of writing,
	// writes nothing once ctx has ended, and calls a.End exactly once, whatever happens; a.Began
	// before that if a streamed reply begins. ctx ends with the cause ErrTimedOut or ErrWithdrawn.
	Start(ctx context.Context, a *Attempt)
	// Drop says that an endpoint takes nothing new: what is idle to it is to be closed.
	Drop(ep *Endpoint)
	// Sweep is called now and then, to close what is no longer worth keeping.
	Sweep()
}

// Carrier is a payload whose attempts are carried by whoever asked, a calling proxy for one, and not by
// the engine's sender. Carry keeps to what Sender.Start does, and is called on the engine's goroutine.
type Carrier interface {
	Carry(ctx context.Context, a *Attempt)
}

// Spendable is a payload of which a part may be sent once only.
type Spendable interface {
	// Spent says that it has gone.
	Spent() bool
}

// Why an attempt's context ended.
var (
	ErrTimedOut  = errors.New("timed out")
	ErrWithdrawn = errors.New("withdrawn")
)

// EndingOf tells how an attempt ended that was written whole and got no whole answer.
func EndingOf(ctx context.Context) balancer.Ending {
	switch context.Cause(ctx) {
	case nil:
		return balancer.Broken
	case ErrTimedOut:
		return balancer.TimedOut
	}
	return balancer.Withdrawn
}

// Endpoint is a listed server as senders see it. A server that starts anew or moves is another
// Endpoint.
type Endpoint struct {
	ID, Addr    string
	boot        time.Duration
	usable      atomic.Bool // ready by our list; cleared when it drains or is gone
	adminStates AdminStates // nil: none
	listed      Listed      // as the list has it; owned by the engine's goroutine
}

// NewEndpoint returns an endpoint that is usable, for senders' own tests and tools.
func NewEndpoint(id, addr string) *Endpoint {
	ep := &Endpoint{ID: id, Addr: addr}
	ep.usable.Store(true)
	return ep
}

// Usable says that the list names the endpoint ready, and that it is not taken out by hand.
func (ep *Endpoint) Usable() bool {
	return ep.usable.Load() && (ep.adminStates == nil || !ep.adminStates.Out(ep.ID))
}

// SetUsable is the engine's, and that of senders' tests.
func (ep *Endpoint) SetUsable(is bool) { ep.usable.Store(is) }

// Attempt is one Send of the module.
type Attempt struct {
	Endpoint *Endpoint
	Payload  any           // the call's
	Timeout  time.Duration // how long its answer is waited for
	Spares   []*Endpoint   // that may be tried in its place, in order, by whoever carries it

	host      host
	call      *Call
	index     int
	serverID  string
	startedAt time.Duration
	cancel    context.CancelCauseFunc
	timer     *time.Timer // cancels when the answer has been waited for long enough
	observer  Observer    // that heard of its beginning; nil: none did
	ended     atomic.Bool
	transfer  atomic.Pointer[transfer]
}

// transfer is what went between for an attempt.
type transfer struct {
	bytesSent, bytesReceived int64
	served        string // address
}

// host is what an attempt belongs to: an engine, or a sender's test.
type host interface {
	begin(a *Attempt) (balancer.Ending, bool)
	began(a *Attempt, r Reply)
	end(a *Attempt, ending balancer.Ending, r Reply)
}

// Begin says whether the attempt may be written now: its call is not finished, and the list still
// names its endpoint ready. If not, the ending to report.
func (a *Attempt) Begin() (balancer.Ending, bool) {
	if ending, ok := a.host.begin(a); !ok {
		return ending, false
	}
	if !a.Endpoint.Usable() {
		// It was named draining or gone, or taken out, while the connection came up.
		return balancer.Unreachable, false
	}
	return 0, true
}

// RecordTransfer says, before End, that the attempt's request was written whole, with a body of so many bytes. Whoever
// carries attempts in the engine's place tells the bytes of the answer's body, too, and the address that served, if
// they know it; else in is that of the reply that End brings, and served is empty.
func (a *Attempt) RecordTransfer(out, in int64, served string) {
	a.transfer.Store(&transfer{out, in, served})
}

// Began says that a streamed reply has begun. It may be called once, before End; the engine releases r
// if nobody wants it.
func (a *Attempt) Began(r Reply) { a.host.began(a, r) }

// End says how the attempt ended; r is the reply of a Success, else nil. Calls but the first are
// ignored, and release r.
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

// Hooks stand in for the engine where a sender is tried by itself. Any may be nil.
type Hooks struct {
	Finished func() bool // the call is finished
	Began    func(Reply)
	End      func(balancer.Ending, Reply)
}

// NewAttempt returns an attempt that belongs to no engine.
func NewAttempt(ep *Endpoint, payload any, timeout time.Duration, h Hooks) *Attempt {
	return &Attempt{Endpoint: ep, Payload: payload, Timeout: timeout, host: h}
}

func (h Hooks) begin(*Attempt) (balancer.Ending, bool) {
	return balancer.Void, h.Finished == nil || !h.Finished()
}

func (h Hooks) began(_ *Attempt, r Reply) {
	if h.Began != nil {
		h.Began(r)
	}
}

func (h Hooks) end(_ *Attempt, ending balancer.Ending, r Reply) {
	if h.End != nil {
		h.End(ending, r)
	}
}

// send starts an attempt. Every Send gets exactly one Outcome.
func (e *Engine) send(send balancer.Send) {
	call := e.calls[send.ID]
	if call == nil {
		e.logf("send for the unknown request %s", send.ID)
		return
	}
	now := e.cfg.Clock.Now()
	timeout := call.Deadline - now
	switch {
	case call.arriving:
		timeout = call.timeLeft // from its last byte on
	case send.Timeout != 0: // 0: until the deadline
		timeout = min(timeout, send.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt := &Attempt{Endpoint: e.endpoints[send.Server], Payload: call.Payload, Timeout: timeout, host: e, call: call,
		index: len(call.attempts), serverID: send.Server, startedAt: now, cancel: cancel}
	call.attempts = append(call.attempts, attempt)
	call.attemptsInFlight++
	e.releasePending(call)
	if call.finished.Load() || timeout <= 0 || attempt.Endpoint == nil || e.cfg.MaxAttempts > 0 && attempt.index >= e.cfg.MaxAttempts {
		attempt.ended.Store(true)
		e.pendingEvents = append(e.pendingEvents, e.recordEnding(attempt, balancer.Void, nil))
		return
	}
	// The time for a streamed reply is over once it has begun, so it is not the context's deadline.
	if !call.arriving {
		attempt.expire(timeout)
	}
	if attempt.observer = e.observer; attempt.observer != nil {
		attempt.observer.Began(attempt.serverID)
	}
	for _, id := range send.Spares {
		if ep := e.endpoints[id]; ep != nil {
			attempt.Spares = append(attempt.Spares, ep)
		}
	}
	if carrier, is := call.Payload.(Carrier); is {
		carrier.Carry(ctx, attempt)
		return
	}
	e.cfg.Sender.Start(ctx, attempt)
}

// expire gives the attempt up once that has passed.
func (a *Attempt) expire(after time.Duration) {
	a.timer = time.AfterFunc(after, func() { a.cancel(ErrTimedOut) })
}

// begin is the check at the moment of writing.
func (e *Engine) begin(a *Attempt) (balancer.Ending, bool) {
	return balancer.Void, !a.call.finished.Load()
}

// began gives a call the streamed reply that came first; any other attempt's is withdrawn.
func (e *Engine) began(attempt *Attempt, reply Reply) {
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
		call.To.Began(reply)
		s, is := reply.(Transferred)
		e.handle(balancer.Started{ID: call.id, Attempt: attempt.index, Transfer: is && s.Transfer()})
	})
}

func (e *Engine) end(a *Attempt, ending balancer.Ending, r Reply) {
	e.Do(func() { e.handle(e.recordEnding(a, ending, r)) })
}

// recordEnding notes that an attempt has ended and words it for the module. The first success is the call's
// answer; once a streamed reply has begun, how that attempt ends is.
func (e *Engine) recordEnding(attempt *Attempt, ending balancer.Ending, reply Reply) balancer.Outcome {
	call := attempt.call
	if attempt.timer != nil {
		attempt.timer.Stop()
	}
	attempt.cancel(nil)
	call.attemptsInFlight--
	if attempt.observer != nil {
		attempt.observer.Ended(attempt.serverID, ending)
	}
	outcome := balancer.Outcome{ID: call.id, Attempt: attempt.index, Server: attempt.serverID, Ending: ending}
	if p, is := call.Payload.(Spendable); is {
		outcome.Spent = p.Spent()
	}
	if done := attempt.transfer.Load(); done != nil {
		outcome.Wrote, outcome.Out, outcome.In = true, done.bytesSent, done.bytesReceived
		if sized, is := reply.(Sized); is {
			outcome.In += sized.Size()
		}
		if done.served != "" {
			outcome.Server = e.idByAddr[done.served] // "": none that is listed
		}
	}
	answered := false
	switch {
	case ending == balancer.Success && (call.streaming == nil || call.streaming == attempt):
		answered = e.finish(call.id, Answer{Verdict: Served, Reply: reply})
	case call.streaming == attempt:
		// It broke midway. What came has run and can't be taken back, so no other attempt may follow.
		e.finish(call.id, Answer{Verdict: Failed})
	}
	if !answered {
		release(reply)
	}
	e.forgetIfDone(call)
	outcome.Latency, outcome.Ended = e.cfg.Clock.Now()-attempt.startedAt, call.finished.Load()
	return outcome
}
