package engine

import (
	"strconv"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Verdict is the kind of a final answer.
type Verdict int

// Verdicts. Rejected promises that a retry does no harm: no attempt can have run, or the request may run twice. Failed
// promises nothing. Duplicate says that a call with this id is already open.
const (
	Served Verdict = iota
	Rejected
	Failed
	Duplicate
)

// Reply is the response of an attempt, which the engine does not read. Its last owner calls Release, once.
type Reply interface{ Release() }

// Sized is a reply that knows the size of its body, in bytes.
type Sized interface{ Size() int64 }

// TransferReporter is a streamed reply that says whether its server has finished the work and only transfers the result.
type TransferReporter interface{ Transfer() bool }

// Answer is the final answer to a call.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for the caller, with Rejected; 0 means no advice
	Reply      Reply         // with Served; the receiver releases it; may be nil after ResponseStarted
}

// Receiver is the downstream side of a call. The engine's goroutine calls it, so its methods must not block.
type Receiver interface {
	// ResponseStarted passes on a streamed reply that has begun: from now on the call belongs to that attempt. It is called
	// at most once, before Ended. The receiver releases the reply.
	ResponseStarted(Reply)
	// Ended passes on the final answer. It is called exactly once, unless Engine.CallerGone comes first.
	Ended(Answer)
}

// Limits on the names that the module is given, in bytes; what is longer is cut off.
const (
	MaxTenant = 64 // of a tenant
	MaxZone   = 64 // of a zone
)

// Call is a request of a downstream caller. The front sets the exported fields before Submit and does not change
// them afterwards; the unexported ones belong to the engine's goroutine, but for finished, which any may read.
type Call struct {
	ID             string        // given by the caller; no two open calls of an engine share one; "" means none
	Class          string        // one of the module's settings
	Deadline       time.Duration // clock time by which the module is to answer
	FallbackAt     time.Duration // clock time at which the engine answers in its place
	ClientRetry    bool          // the caller marked it as a retry of its own
	Cost           time.Duration // estimate of the work, given by the caller; 0 means none
	Tenant         string        // on whose behalf, as far as the front knows; see MaxTenant
	CandidateAddrs []string      // addresses of the endpoints that may serve it; nil means any
	CallerZone     string        // zone of the caller, if known; see MaxZone
	Size           int64         // of the body, in bytes
	Payload        any           // what the sender sends
	Receiver       Receiver
	// Arriving says that the request body is not complete yet. Deadline and FallbackAt count from the call of BodyArrived;
	// until then only the front may time the call out.
	Arriving bool

	id               string      // unique within the engine, unlike ID, which may be used again
	finished         atomic.Bool // answered, or the caller has gone; set by the engine's goroutine alone
	fallbackTimer    *time.Timer // answers at FallbackAt; nil before the call is registered
	attempts         []*Attempt
	streaming        *Attempt      // the attempt whose streamed reply has begun; nil means none
	attemptsInFlight int           // attempts that have not ended yet
	countedPending   bool          // counted in Config.Pending
	arriving         bool          // Arriving, and BodyArrived has not been called
	timeLeft         time.Duration // from the last byte of the body to Deadline
	fallbackDelay    time.Duration // from Deadline to FallbackAt
}

// maxOverheadDivisor bounds what SetTimeLeft reserves: at most the caller's time divided by this, a quarter.
const maxOverheadDivisor = 4

// SetTimeLeft sets Deadline and FallbackAt of a call whose caller waits for timeLeft from now on. Of that, overhead is kept for
// the way back, but no more than a quarter, so that the answer is there before the caller times out: the module is to answer
// before that part begins, and the engine in its place after half of it.
func (call *Call) SetTimeLeft(now, timeLeft, overhead time.Duration) {
	reserved := min(overhead, timeLeft/maxOverheadDivisor)
	call.Deadline = now + timeLeft - reserved
	call.FallbackAt = now + timeLeft - reserved/2
}

// Submit passes a call to the engine, which owns it from then on.
func (e *Engine) Submit(call *Call) { e.Do(func() { e.accept(call) }) }

// CallerGone notifies the engine that the caller of a submitted call has gone: it needs no answer any more. An Ended that is
// already on its way may still come; the front then releases its reply.
func (e *Engine) CallerGone(call *Call) { e.Do(func() { e.handleCallerGone(call) }) }

// BodyArrived notifies the engine that the body of a call that was Arriving is complete: its deadline counts from now.
func (e *Engine) BodyArrived(call *Call) { e.Do(func() { e.handleBodyArrived(call) }) }

func (e *Engine) handleBodyArrived(call *Call) {
	if !call.arriving || call.finished.Load() {
		return
	}
	call.arriving = false
	call.Deadline = e.cfg.Clock.Now() + call.timeLeft
	call.FallbackAt = call.Deadline + call.fallbackDelay
	if call.streaming != nil {
		return // a streamed reply that has begun has no deadline
	}
	e.armFallbackAnswer(call)
	for _, attempt := range call.attempts {
		if !attempt.ended.Load() {
			attempt.expire(call.timeLeft)
		}
	}
}

// armFallbackAnswer has the engine fail the call at FallbackAt, in case the module never answers it.
func (e *Engine) armFallbackAnswer(call *Call) {
	call.fallbackTimer = e.after(call.FallbackAt-e.cfg.Clock.Now(), func() {
		if !call.finished.Load() && call.streaming == nil {
			e.logf("request %s: no answer from the module by its deadline", call.id)
			e.abandon(call)
		}
	})
}

// EndCallAndAttempt is CallerGone and the attempt's End in one step, for a Sender that has answered the caller itself.
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

// AbandonAll fails every unanswered call, except those whose streamed reply has begun: these continue while they can.
func (e *Engine) AbandonAll() {
	e.Do(func() {
		for _, call := range e.calls {
			if !call.finished.Load() && call.streaming == nil {
				e.abandon(call)
			}
		}
	})
}

// AbandonWaiting fails every unanswered call that no server has at the moment: it waits for one, or for its next attempt.
func (e *Engine) AbandonWaiting() {
	e.Do(func() {
		for _, call := range e.calls {
			if !call.finished.Load() && call.attemptsInFlight == 0 {
				e.abandon(call)
			}
		}
	})
}

// accept takes a submitted call: it rejects it, or registers it and passes it to the module.
func (e *Engine) accept(call *Call) {
	if call.ID != "" && e.callerIDs[call.ID] {
		// Forwarding it would run the request that is already open a second time.
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

// reject rejects a call that the module has not heard of. Retrying it is safe: no attempt was made.
func reject(call *Call) {
	call.finished.Store(true)
	call.Receiver.Ended(Answer{Verdict: Rejected, RetryAfter: rejectionRetryAfter})
}

// register makes a call one of the engine's open calls, under an id of its own.
func (e *Engine) register(call *Call) {
	if call.ID != "" {
		e.callerIDs[call.ID] = true
	}
	e.nextID++
	call.id = strconv.FormatUint(e.nextID, 10)
	e.calls[call.id] = call
	e.openCalls.Add(1)
	call.arriving = call.Arriving
	if !call.arriving {
		e.armFallbackAnswer(call)
		return
	}
	now := e.cfg.Clock.Now()
	call.timeLeft, call.fallbackDelay = call.Deadline-now, call.FallbackAt-call.Deadline
	// A stopped timer marks the call as registered (see markFinished) until BodyArrived arms the real one.
	call.fallbackTimer = time.AfterFunc(time.Hour, func() {})
	call.fallbackTimer.Stop()
}

// limitPending counts a call that the module left without an attempt, and rejects it when the limit is reached.
func (e *Engine) limitPending(call *Call) {
	if e.cfg.Pending == nil || call.finished.Load() || len(call.attempts) > 0 {
		return
	}
	call.countedPending = e.cfg.Pending.Take(1)
	if call.countedPending {
		return
	}
	e.rejectedOverLimit++
	// Retrying is safe: no attempt was made. The module is notified, so that it forgets the call.
	e.finish(call.id, Answer{Verdict: Rejected, RetryAfter: rejectionRetryAfter})
	e.handle(balancer.ClientGone{ID: call.id})
}

// endpointIDs returns the ids of the listed endpoints at the given addresses. Nil addresses mean any endpoint; ok is
// false when addresses are given and none of them is listed.
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

// rejectionRetryAfter is the advice with a rejection by the engine itself.
const rejectionRetryAfter = time.Second

// abandon fails a call without the module, which is then notified to forget it.
func (e *Engine) abandon(call *Call) {
	e.finish(call.id, Answer{Verdict: Failed})
	e.handle(balancer.ClientGone{ID: call.id})
}

func (e *Engine) handleCallerGone(call *Call) {
	if e.markFinished(call) {
		e.handle(balancer.ClientGone{ID: call.id})
		e.forgetIfDone(call)
	}
}

// finish gives a call its final answer; it returns false if the call is unknown or already finished.
func (e *Engine) finish(id string, answer Answer) bool {
	call := e.calls[id]
	if call == nil || !e.markFinished(call) {
		return false
	}
	call.Receiver.Ended(answer)
	e.forgetIfDone(call)
	return true
}

// markFinished ends a call without an answer; it returns false if the call was never registered or is finished.
func (e *Engine) markFinished(call *Call) bool {
	if call.fallbackTimer == nil || !call.finished.CompareAndSwap(false, true) {
		return false
	}
	call.fallbackTimer.Stop()
	e.releasePending(call)
	return true
}

func (e *Engine) releasePending(call *Call) {
	if call.countedPending {
		call.countedPending = false
		e.cfg.Pending.Give(1)
	}
}

// forgetIfDone removes a call that is finished and has no attempt in flight.
func (e *Engine) forgetIfDone(call *Call) {
	if call.finished.Load() && call.attemptsInFlight == 0 && e.calls[call.id] == call {
		delete(e.calls, call.id)
		delete(e.callerIDs, call.ID)
		e.openCalls.Add(-1)
	}
}
