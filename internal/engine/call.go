package engine

import (
	"strconv"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Verdict is the kind of a final answer.
type Verdict int

// Verdicts. Served comes with a reply. Rejected guarantees that a retry is safe: either no attempt can have run on a
// server, or the request may run twice. Failed guarantees nothing. Duplicate means that a call with the same Call.ID is
// still open.
const (
	Served Verdict = iota
	Rejected
	Failed
	Duplicate
)

// Reply is the response of an attempt, opaque to the engine. Its last owner calls Release exactly once.
type Reply interface{ Release() }

// Sized is a Reply that reports the size of its body, in bytes.
type Sized interface{ Size() int64 }

// TransferReporter is a streamed Reply. Transfer reports whether its server has finished processing the request and only
// the transfer of the result remains.
type TransferReporter interface{ Transfer() bool }

// Answer is the final answer to a call.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // retry advice for the caller, with Rejected; 0 means none
	Reply      Reply         // with Served; the receiver releases it; may be nil after ResponseStarted
}

// Receiver is the downstream side of a call. The engine's goroutine calls it, so its methods must not block.
type Receiver interface {
	// ResponseStarted passes on a streamed reply that has started: from now on only its attempt can answer the call. It is
	// called at most once, before Ended. The receiver releases the reply.
	ResponseStarted(Reply)
	// Ended passes on the final answer. It is called exactly once, unless Engine.CallerGone is handled first.
	Ended(Answer)
}

// Maximum lengths of the names that are passed to the module, in bytes; longer names are truncated.
const (
	MaxTenant = 64 // tenant name
	MaxZone   = 64 // zone name
)

// Call is a request of a downstream caller. The front sets the exported fields before Submit and does not change
// them afterwards. The engine's goroutine owns the unexported fields; only finished may be read by other goroutines.
type Call struct {
	ID             string        // assigned by the caller, unique among the open calls of an engine; "" means none
	Class          string        // name of a class in the module's settings
	Deadline       time.Duration // clock time by which the module must answer
	FallbackAt     time.Duration // clock time at which the engine fails the call if the module has not answered
	ClientRetry    bool          // the caller marked it as a retry
	Cost           time.Duration // processing time estimated by the caller; 0 means no estimate
	Tenant         string        // tenant on whose behalf the call is made, if known; see MaxTenant
	CandidateAddrs []string      // addresses of the endpoints that may serve it; nil means any
	CallerZone     string        // zone of the caller, if known; see MaxZone
	Size           int64         // size of the body, in bytes
	Payload        any           // request that the sender sends; opaque to the engine
	Receiver       Receiver
	// BodyIncomplete says that the request body is still being received. Deadline and FallbackAt are then moved by the time
	// until Engine.BodyArrived is called; before that only the front may time the call out.
	BodyIncomplete bool

	id               string        // unique for the life of the engine; ID may be reused by a later call
	finished         atomic.Bool   // answered, or the caller has gone; set by the engine's goroutine only
	fallbackTimer    *time.Timer   // fails the call at FallbackAt; nil before the call is registered
	attempts         []*Attempt    // by Attempt.index
	streaming        *Attempt      // the attempt whose streamed reply has started; nil means none
	attemptsInFlight int           // attempts that have not ended yet
	countedPending   bool          // holds one unit of Config.Pending
	bodyIncomplete   bool          // BodyIncomplete is set and BodyArrived has not been handled
	timeLeft         time.Duration // from the last byte of the body to Deadline; set if bodyIncomplete
	fallbackDelay    time.Duration // from Deadline to FallbackAt; set if bodyIncomplete
}

// maxOverheadDivisor limits the time that SetTimeLeft reserves to a quarter of the caller's remaining time.
const maxOverheadDivisor = 4

// SetTimeLeft sets Deadline and FallbackAt of a call whose caller times out after timeLeft. So that the answer reaches the
// caller before that, it reserves overhead, but at most a quarter of timeLeft, for the transfer of the answer. Deadline is
// the start of the reserved time and FallbackAt the middle of it.
func (call *Call) SetTimeLeft(now, timeLeft, overhead time.Duration) {
	reserved := min(overhead, timeLeft/maxOverheadDivisor)
	call.Deadline = now + timeLeft - reserved
	call.FallbackAt = now + timeLeft - reserved/2
}

// Submit passes a call to the engine, which owns it from now on.
func (e *Engine) Submit(call *Call) { e.Do(func() { e.accept(call) }) }

// CallerGone notifies the engine that the caller of a submitted call has gone and needs no answer. Receiver.Ended may still
// be called if the engine finishes the call before it handles the notification; the front then releases the reply.
func (e *Engine) CallerGone(call *Call) { e.Do(func() { e.handleCallerGone(call) }) }

// BodyArrived notifies the engine that the body of a call with BodyIncomplete is now complete. The time that the call had
// left until its deadline starts to run now.
func (e *Engine) BodyArrived(call *Call) { e.Do(func() { e.handleBodyArrived(call) }) }

// handleBodyArrived handles BodyArrived on the engine's goroutine: it sets the call's deadlines and starts the timers of the
// call and its attempts.
func (e *Engine) handleBodyArrived(call *Call) {
	if !call.bodyIncomplete || call.finished.Load() {
		return
	}
	call.bodyIncomplete = false
	call.Deadline = e.cfg.Clock.Now() + call.timeLeft
	call.FallbackAt = call.Deadline + call.fallbackDelay
	if call.streaming != nil {
		return // a streamed reply that has started has no deadline
	}
	e.armFallbackAnswer(call)
	for _, attempt := range call.attempts {
		if !attempt.ended.Load() {
			attempt.cancelAfter(call.timeLeft)
		}
	}
}

// armFallbackAnswer starts the timer that fails the call at FallbackAt, in case the module does not answer it.
func (e *Engine) armFallbackAnswer(call *Call) {
	call.fallbackTimer = e.afterFunc(call.FallbackAt-e.cfg.Clock.Now(), func() {
		if !call.finished.Load() && call.streaming == nil {
			e.logf("request %s: failed, the module did not answer it in time", call.id)
			e.abandon(call)
		}
	})
}

// EndCallAndAttempt combines CallerGone and Attempt.End in one event, for a Carrier that has answered the caller itself.
func (e *Engine) EndCallAndAttempt(call *Call, attempt *Attempt, ending balancer.Ending) {
	if !attempt.ended.CompareAndSwap(false, true) {
		e.CallerGone(call)
		return
	}
	e.Do(func() {
		e.handleCallerGone(call)
		e.handle(e.recordEnding(attempt, ending, nil))
	})
}

// AbandonAll fails all unanswered calls, except those whose streamed reply has started: these continue until their stream
// ends.
func (e *Engine) AbandonAll() {
	e.Do(func() {
		for _, call := range e.calls {
			if !call.finished.Load() && call.streaming == nil {
				e.abandon(call)
			}
		}
	})
}

// AbandonWaiting fails all unanswered calls that have no attempt in flight: those that wait for a server or for a retry.
func (e *Engine) AbandonWaiting() {
	e.Do(func() {
		for _, call := range e.calls {
			if !call.finished.Load() && call.attemptsInFlight == 0 {
				e.abandon(call)
			}
		}
	})
}

// accept handles a submitted call: it rejects the call, or registers it and passes it to the module.
func (e *Engine) accept(call *Call) {
	if call.ID != "" && e.callerIDs[call.ID] {
		// Forwarding this call would run the request of the open one a second time.
		call.finished.Store(true)
		call.Receiver.Ended(Answer{Verdict: Duplicate})
		return
	}
	if e.dropShare > 0 && e.rng.Float64() < e.dropShare {
		if e.observer != nil {
			e.observer.RequestDropped()
		}
		reject(call)
		return
	}
	candidates, ok := e.endpointIDs(call.CandidateAddrs)
	if !ok {
		reject(call)
		return
	}
	e.register(call)
	e.handle(balancer.Request{
		ID:          call.id,
		Class:       call.Class,
		Deadline:    call.Deadline,
		ClientRetry: call.ClientRetry,
		Cost:        call.Cost,
		Size:        call.Size,
		Candidates:  candidates,
		Tenant:      call.Tenant[:min(len(call.Tenant), MaxTenant)],
		From:        call.CallerZone[:min(len(call.CallerZone), MaxZone)],
	})
	e.limitPending(call)
}

// reject rejects a call that was not passed to the module. A retry is safe, since no attempt was made.
func reject(call *Call) {
	call.finished.Store(true)
	call.Receiver.Ended(Answer{Verdict: Rejected, RetryAfter: rejectionRetryAfter})
}

// register adds a call to the open calls under a new internal id, and starts its fallback timer.
func (e *Engine) register(call *Call) {
	if call.ID != "" {
		e.callerIDs[call.ID] = true
	}
	e.nextID++
	call.id = strconv.FormatUint(e.nextID, 10)
	e.calls[call.id] = call
	e.openCalls.Add(1)
	call.bodyIncomplete = call.BodyIncomplete
	if !call.bodyIncomplete {
		e.armFallbackAnswer(call)
		return
	}
	now := e.cfg.Clock.Now()
	call.timeLeft, call.fallbackDelay = call.Deadline-now, call.FallbackAt-call.Deadline
	// The stopped timer marks the call as registered (see markFinished) until BodyArrived starts the real one.
	call.fallbackTimer = time.AfterFunc(time.Hour, func() {})
	call.fallbackTimer.Stop()
}

// limitPending counts a call that has no attempt yet against the limit of pending calls, and rejects it if that is reached.
func (e *Engine) limitPending(call *Call) {
	if e.cfg.Pending == nil || call.finished.Load() || len(call.attempts) > 0 {
		return
	}
	call.countedPending = e.cfg.Pending.Take(1)
	if call.countedPending {
		return
	}
	e.rejectedOverLimit++
	// A retry is safe, since no attempt was made. The module is notified so that it discards the call's state.
	e.finish(call.id, Answer{Verdict: Rejected, RetryAfter: rejectionRetryAfter})
	e.handle(balancer.ClientGone{ID: call.id})
}

// endpointIDs returns the ids of the listed endpoints at the given addresses. Nil addrs mean any endpoint; ok is false if
// addrs is not nil and none of the addresses is listed.
func (e *Engine) endpointIDs(addrs []string) (ids []string, ok bool) {
	if addrs == nil {
		return nil, true
	}
	for _, addr := range addrs {
		if id := e.idByAddr[addr]; id != "" {
			ids = append(ids, id)
		}
	}
	return ids, ids != nil
}

// rejectionRetryAfter is the retry advice for calls that the engine rejects without the module.
const rejectionRetryAfter = time.Second

// abandon fails a call without waiting for the module, and notifies the module so that it discards the call's state.
func (e *Engine) abandon(call *Call) {
	e.finish(call.id, Answer{Verdict: Failed})
	e.handle(balancer.ClientGone{ID: call.id})
}

// handleCallerGone handles CallerGone on the engine's goroutine.
func (e *Engine) handleCallerGone(call *Call) {
	if e.markFinished(call) {
		e.handle(balancer.ClientGone{ID: call.id})
		e.forgetIfDone(call)
	}
}

// finish gives a call its final answer. It returns false if the call is unknown or already finished.
func (e *Engine) finish(id string, answer Answer) bool {
	call := e.calls[id]
	if call == nil || !e.markFinished(call) {
		return false
	}
	call.Receiver.Ended(answer)
	e.forgetIfDone(call)
	return true
}

// markFinished marks a call as finished, stops its fallback timer and releases its unit of the pending limit. It returns
// false if the call was never registered or is already finished.
func (e *Engine) markFinished(call *Call) bool {
	if call.fallbackTimer == nil || !call.finished.CompareAndSwap(false, true) {
		return false
	}
	call.fallbackTimer.Stop()
	e.releasePending(call)
	return true
}

// releasePending releases the call's unit of the pending limit, if it holds one.
func (e *Engine) releasePending(call *Call) {
	if call.countedPending {
		call.countedPending = false
		e.cfg.Pending.Give(1)
	}
}

// forgetIfDone removes a call from the open ones if it is finished and has no attempt in flight.
func (e *Engine) forgetIfDone(call *Call) {
	if call.finished.Load() && call.attemptsInFlight == 0 && e.calls[call.id] == call {
		delete(e.calls, call.id)
		delete(e.callerIDs, call.ID)
		e.openCalls.Add(-1)
	}
}
