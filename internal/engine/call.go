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

	id       string      // ours: a caller's id may come again
	finished atomic.Bool // answered, or its caller has gone; set by the engine's goroutine alone
	lastCall *time.Timer // for an answer by the engine itself
	attempts []*Attempt
	stream   *Attempt // whose streamed reply has begun
	out      int      // attempts that have not ended
	held     bool     // counted in Config.Held
	arriving bool
	left     time.Duration // for the module, from its last byte on
	own      time.Duration // and on top of that for the engine
}

// Submit hands the engine a call.
func (e *Engine) Submit(c *Call) { e.Do(func() { e.accept(c) }) }

// Gone notes that the caller of a submitted call has left: nothing more is owed. An Ended that crosses
// it may still come; the front then releases its reply.
func (e *Engine) Gone(c *Call) { e.Do(func() { e.gone(c) }) }

// Arrived notes that the last byte of a call that was Arriving has come: its time runs from now on.
func (e *Engine) Arrived(c *Call) {
	e.Do(func() {
		if !c.arriving || c.finished.Load() {
			return
		}
		c.arriving = false
		c.Deadline = e.cfg.Clock.Now() + c.left
		c.Last = c.Deadline + c.own
		if c.stream != nil {
			return // its answer has begun
		}
		e.answerBy(c)
		for _, a := range c.attempts {
			if !a.ended.Load() {
				a.expire(c.left)
			}
		}
	})
}

// answerBy has the engine answer at the last, should the module never say anything.
func (e *Engine) answerBy(c *Call) {
	c.lastCall = e.after(c.Last-e.cfg.Clock.Now(), func() {
		if !c.finished.Load() && c.stream == nil {
			e.logf("request %s: no answer from the module by its deadline", c.id)
			e.abandon(c)
		}
	})
}

// Settle is Gone and the attempt's End in one: whoever carries the attempt has answered the caller.
func (e *Engine) Settle(c *Call, a *Attempt, ending balancer.Ending) {
	if !a.ended.CompareAndSwap(false, true) {
		e.Gone(c)
		return
	}
	e.Do(func() {
		e.gone(c)
		e.handle(e.ending(a, ending, nil))
	})
}

// AbandonAll fails whatever is unanswered, but for answers that have begun: these go on for as long as they can.
func (e *Engine) AbandonAll() {
	e.Do(func() {
		for _, c := range e.calls {
			if !c.finished.Load() && c.stream == nil {
				e.abandon(c)
			}
		}
	})
}

func (e *Engine) accept(c *Call) {
	if c.ID != "" && e.callerIDs[c.ID] {
		// Passed on it would be a second copy of the one that is open.
		c.finished.Store(true)
		c.To.Ended(Answer{Verdict: Duplicate})
		return
	}
	if e.drop > 0 && e.rng.Float64() < e.drop {
		// Harmless: nothing was done for it, and the module has not heard of it.
		c.finished.Store(true)
		if e.observer != nil {
			e.observer.Dropped()
		}
		c.To.Ended(Answer{Verdict: Refused, RetryAfter: refusedRetryAfter})
		return
	}
	among, ok := e.among(c.Among)
	if !ok {
		// Harmless: nothing was done for it.
		c.finished.Store(true)
		c.To.Ended(Answer{Verdict: Refused, RetryAfter: refusedRetryAfter})
		return
	}
	if c.ID != "" {
		e.callerIDs[c.ID] = true
	}
	e.nextID++
	c.id = strconv.FormatUint(e.nextID, 10)
	e.calls[c.id] = c
	e.open.Add(1)
	// The module answers by the deadline; should it ever say nothing, the caller still gets an answer in time.
	if c.arriving = c.Arriving; c.arriving {
		now := e.cfg.Clock.Now()
		c.left, c.own = c.Deadline-now, c.Last-c.Deadline
		c.lastCall = time.AfterFunc(time.Hour, func() {})
		c.lastCall.Stop()
	} else {
		e.answerBy(c)
	}
	e.handle(balancer.Request{ID: c.id, Class: c.Class, Deadline: c.Deadline, Repeat: c.Repeat, Cost: c.Cost,
		Tenant: c.Tenant[:min(len(c.Tenant), MaxTenant)], Among: among, From: c.From[:min(len(c.From), MaxZone)], Size: c.Size})
	if e.cfg.Held == nil || c.finished.Load() || len(c.attempts) > 0 {
		return
	}
	if c.held = e.cfg.Held.Take(1); !c.held {
		e.refused++
		// Harmless: nothing was done for it. The module hears that nothing is owed any more.
		e.finish(c.id, Answer{Verdict: Refused, RetryAfter: refusedRetryAfter})
		e.handle(balancer.ClientGone{ID: c.id})
	}
}

// among are the ids of the endpoints at some addresses, as the list has them now; false: there are none.
func (e *Engine) among(addrs []string) (ids []string, ok bool) {
	if addrs == nil {
		return nil, true
	}
	for _, a := range addrs {
		if id := e.byAddr[a]; id != "" {
			ids = append(ids, id)
		}
	}
	return ids, ids != nil
}

// refusedRetryAfter is the advice with a refusal that is not the module's.
const refusedRetryAfter = time.Second

// abandon fails a call without the module, which is told that nothing is owed any more.
func (e *Engine) abandon(c *Call) {
	e.finish(c.id, Answer{Verdict: Failed})
	e.handle(balancer.ClientGone{ID: c.id})
}

func (e *Engine) gone(c *Call) {
	if e.close(c) {
		e.handle(balancer.ClientGone{ID: c.id})
		e.forget(c)
	}
}

// finish gives a call its final answer, once; false if it had one.
func (e *Engine) finish(id string, a Answer) bool {
	c := e.calls[id]
	if c == nil || !e.close(c) {
		return false
	}
	c.To.Ended(a)
	e.forget(c)
	return true
}

// close finishes a call; false if it was before.
func (e *Engine) close(c *Call) bool {
	if c.lastCall == nil || !c.finished.CompareAndSwap(false, true) {
		return false
	}
	c.lastCall.Stop()
	e.unhold(c)
	return true
}

func (e *Engine) unhold(c *Call) {
	if c.held {
		c.held = false
		e.cfg.Held.Give(1)
	}
}

// forget drops a call that is finished and has no attempt out.
func (e *Engine) forget(c *Call) {
	if c.finished.Load() && c.out == 0 && e.calls[c.id] == c {
		delete(e.calls, c.id)
		delete(e.callerIDs, c.ID)
		e.open.Add(-1)
	}
}
