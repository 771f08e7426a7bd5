package engine

import (
	"strconv"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Verdict is the kind of a final answer.
type Verdict int

// Verdicts. Refused promises that trying again does no harm, Failed promises nothing, and Duplicate
// says that a call with this id is open already.
const (
	Served Verdict = iota
	Refused
	Failed
	Duplicate
)

// Reply is what an attempt brought back; the engine does not read it. Whoever holds it last releases
// it, once.
type Reply interface{ Release() }

// Sized is a reply that tells the bytes of its body.
type Sized interface{ Size() int64 }

// Transferred is a streamed reply that says whether its server has done all its work, and only hands it over.
type Transferred interface{ Transfer() bool }

// Answer is the final answer to a call.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // advice with Refused; 0: none
	Reply      Reply         // with Served; the receiver releases it. May be nil after Began
}

// Receiver is a front's side of a call. The engine's goroutine calls it, so it must not wait.
type Receiver interface {
	// Began says that a streamed reply has begun: from here on it belongs to that attempt. It comes at
	// most once and before Ended. The receiver releases the reply.
	Began(Reply)
	// Ended brings the final answer. It comes exactly once, unless Gone comes first.
	Ended(Answer)
}

// MaxTenant is how many bytes of a tenant's name the module is told.
const MaxTenant = 64

// MaxZone is how many bytes of a zone's name the module is told.
const MaxZone = 64

// Call is a caller's request. The front fills in the exported fields before Submit and leaves them
// alone after it.
type Call struct {
	ID       string        // the caller's; no two open calls of an engine share one. "": not told
	Class    string        // of the module's settings
	Deadline time.Duration // clock time by which the module is to answer
	Last     time.Duration // clock time at which the engine answers for it
	Repeat   bool          // the caller marked it as a repeat
	Cost     time.Duration // hint of its work; 0: none
	Tenant   string        // who asks, as far as the front can tell; MaxTenant bytes of it count
	Among    []string      // addresses of the endpoints that it may go to; nil: any
	From     string        // zone of the caller, if told; MaxZone bytes of it count
	Size     int64         // bytes of its body
	Payload  any           // what the sender sends
	To       Receiver
	// Arriving says that the rest of it is still on its way: its times run from when Arrived says that it is there, and
	// until then nobody but its front gives it up for them.
	Arriving bool

	id               string      // ours: a caller's id may come again
	finished         atomic.Bool // answered, or its caller has gone; set by the engine's goroutine alone
	fallbackTimer    *time.Timer // for an answer by the engine itself
	attempts         []*Attempt
	streaming        *Attempt // whose streamed reply has begun
	attemptsInFlight int      // attempts that have not ended
	countedPending   bool     // counted in Config.Pending
	arriving         bool
	timeLeft         time.Duration // for the module, from its last byte on
	fallbackDelay    time.Duration // and on top of that for the engine
}

// Submit hands the engine a call.
func (e *Engine) Submit(call *Call) { e.Do(func() { e.accept(call) }) }

// Gone notes that the caller of a submitted call has left: nothing more is owed. An Ended that crosses
// it may still come; the front then releases its reply.
func (e *Engine) Gone(call *Call) { e.Do(func() { e.callerGone(call) }) }

// Arrived notes that the last byte of a call that was Arriving has come: its time runs from now on.
func (e *Engine) Arrived(call *Call) {
	e.Do(func() {
		if !call.arriving || call.finished.Load() {
			return
		}
		call.arriving = false
		call.Deadline = e.cfg.Clock.Now() + call.timeLeft
		call.Last = call.Deadline + call.fallbackDelay
		if call.streaming != nil {
			return // its answer has begun
		}
		e.armFallbackAnswer(call)
		for _, attempt := range call.attempts {
			if !attempt.ended.Load() {
				attempt.expire(call.timeLeft)
			}
		}
	})
}

// armFallbackAnswer has the engine answer at the last, should the module never say anything.
func (e *Engine) armFallbackAnswer(call *Call) {
	call.fallbackTimer = e.after(call.Last-e.cfg.Clock.Now(), func() {
		if !call.finished.Load() && call.streaming == nil {
			e.logf("request %s: no answer from the module by its deadline", call.id)
			e.abandon(call)
		}
	})
}

// EndCallAndAttempt is Gone and the attempt's End in one: whoever carries the attempt has answered the caller.
func (e *Engine) EndCallAndAttempt(call *Call, attempt *Attempt, ending balancer.Ending) {
	if !attempt.ended.CompareAndSwap(false, true) {
		e.Gone(call)
		return
	}
	e.Do(func() {
		e.callerGone(call)
		e.handle(e.recordEnding(attempt, ending, nil))
	})
}

// AbandonAll fails whatever is unanswered, but for answers that have begun: these go on for as long as they can.
func (e *Engine) AbandonAll() {
	e.Do(func() {
		for _, call := range e.calls {
			if !call.finished.Load() && call.streaming == nil {
				e.abandon(call)
			}
		}
	})
}

func (e *Engine) accept(call *Call) {
	if call.ID != "" && e.callerIDs[call.ID] {
		// Passed on it would be a second copy of the one that is open.
		call.finished.Store(true)
		call.To.Ended(Answer{Verdict: Duplicate})
		return
	}
	if e.dropShare > 0 && e.rng.Float64() < e.dropShare {
		// Harmless: nothing was done for it, and the module has not heard of it.
		call.finished.Store(true)
		if e.observer != nil {
			e.observer.Dropped()
		}
		call.To.Ended(Answer{Verdict: Refused, RetryAfter: rejectionRetryAfter})
		return
	}
	among, ok := e.endpointIDs(call.Among)
	if !ok {
		// Harmless: nothing was done for it.
		call.finished.Store(true)
		call.To.Ended(Answer{Verdict: Refused, RetryAfter: rejectionRetryAfter})
		return
	}
	if call.ID != "" {
		e.callerIDs[call.ID] = true
	}
	e.nextID++
	call.id = strconv.FormatUint(e.nextID, 10)
	e.calls[call.id] = call
	e.openCalls.Add(1)
	// The module answers by the deadline; should it ever say nothing, the caller still gets an answer in time.
	if call.arriving = call.Arriving; call.arriving {
		now := e.cfg.Clock.Now()
		call.timeLeft, call.fallbackDelay = call.Deadline-now, call.Last-call.Deadline
		call.fallbackTimer = time.AfterFunc(time.Hour, func() {})
		call.fallbackTimer.Stop()
	} else {
		e.armFallbackAnswer(call)
	}
	e.handle(balancer.Request{ID: call.id, Class: call.Class, Deadline: call.Deadline, Repeat: call.Repeat, Cost: call.Cost,
		Tenant: call.Tenant[:min(len(call.Tenant), MaxTenant)], Among: among, From: call.From[:min(len(call.From), MaxZone)], Size: call.Size})
	if e.cfg.Pending == nil || call.finished.Load() || len(call.attempts) > 0 {
		return
	}
	if call.countedPending = e.cfg.Pending.Take(1); !call.countedPending {
		e.rejectedOverLimit++
		// Harmless: nothing was done for it. The module hears that nothing is owed any more.
		e.finish(call.id, Answer{Verdict: Refused, RetryAfter: rejectionRetryAfter})
		e.handle(balancer.ClientGone{ID: call.id})
	}
}

// endpointIDs are the ids of the endpoints at some addresses, as the list has them now; false: there are none.
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

// rejectionRetryAfter is the advice with a refusal that is not the module's.
const rejectionRetryAfter = time.Second

// abandon fails a call without the module, which is told that nothing is owed any more.
func (e *Engine) abandon(call *Call) {
	e.finish(call.id, Answer{Verdict: Failed})
	e.handle(balancer.ClientGone{ID: call.id})
}

func (e *Engine) callerGone(call *Call) {
	if e.markFinished(call) {
		e.handle(balancer.ClientGone{ID: call.id})
		e.forgetIfDone(call)
	}
}

// finish gives a call its final answer, once; false if it had one.
func (e *Engine) finish(id string, answer Answer) bool {
	call := e.calls[id]
	if call == nil || !e.markFinished(call) {
		return false
	}
	call.To.Ended(answer)
	e.forgetIfDone(call)
	return true
}

// markFinished finishes a call; false if it was before.
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

// forgetIfDone drops a call that is finished and has no attempt out.
func (e *Engine) forgetIfDone(call *Call) {
	if call.finished.Load() && call.attemptsInFlight == 0 && e.calls[call.id] == call {
		delete(e.calls, call.id)
		delete(e.callerIDs, call.ID)
		e.openCalls.Add(-1)
	}
}
