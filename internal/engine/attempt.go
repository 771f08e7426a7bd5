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
	ID, Addr string
	boot     time.Duration
	usable   atomic.Bool // ready by our list; cleared when it drains or is gone
	orders   Orders      // nil: none
	listed   Listed      // as the list has it; owned by the engine's goroutine
}

// NewEndpoint returns an endpoint that is usable, for senders' own tests and tools.
func NewEndpoint(id, addr string) *Endpoint {
	ep := &Endpoint{ID: id, Addr: addr}
	ep.usable.Store(true)
	return ep
}

// Usable says that the list names the endpoint ready, and that it is not taken out by hand.
func (ep *Endpoint) Usable() bool {
	return ep.usable.Load() && (ep.orders == nil || !ep.orders.Out(ep.ID))
}

// SetUsable is the engine's, and that of senders' tests.
func (ep *Endpoint) SetUsable(is bool) { ep.usable.Store(is) }

// Attempt is one Send of the module.
type Attempt struct {
	Endpoint *Endpoint
	Payload  any           // the call's
	Timeout  time.Duration // how long its answer is waited for
	Spares   []*Endpoint   // that may be tried in its place, in order, by whoever carries it

	host     host
	call     *Call
	n        int
	server   string
	sent     time.Duration
	cancel   context.CancelCauseFunc
	timer    *time.Timer // cancels when the answer has been waited for long enough
	observer Observer    // that heard of its beginning; nil: none did
	ended    atomic.Bool
	crossed  atomic.Pointer[crossed]
}

// crossed is what went between for an attempt.
type crossed struct {
	out, in int64
	served  string // address
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

// Crossed says, before End, that the attempt's request was written whole, with a body of so many bytes. Whoever
// carries attempts in the engine's place tells the bytes of the answer's body, too, and the address that served, if
// they know it; else in is that of the reply that End brings, and served is empty.
func (a *Attempt) Crossed(out, in int64, served string) { a.crossed.Store(&crossed{out, in, served}) }

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
func (e *Engine) send(s balancer.Send) {
	c := e.calls[s.ID]
	if c == nil {
		e.logf("send for the unknown request %s", s.ID)
		return
	}
	now := e.cfg.Clock.Now()
	timeout := c.Deadline - now
	switch {
	case c.arriving:
		timeout = c.left // from its last byte on
	case s.Timeout != 0: // 0: until the deadline
		timeout = min(timeout, s.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &Attempt{Endpoint: e.endpoints[s.Server], Payload: c.Payload, Timeout: timeout, host: e, call: c,
		n: len(c.attempts), server: s.Server, sent: now, cancel: cancel}
	c.attempts = append(c.attempts, a)
	c.out++
	e.unhold(c)
	if c.finished.Load() || timeout <= 0 || a.Endpoint == nil || e.cfg.MaxAttempts > 0 && a.n >= e.cfg.MaxAttempts {
		a.ended.Store(true)
		e.queue = append(e.queue, e.ending(a, balancer.Void, nil))
		return
	}
	// The time for a streamed reply is over once it has begun, so it is not the context's deadline.
	if !c.arriving {
		a.expire(timeout)
	}
	if a.observer = e.observer; a.observer != nil {
		a.observer.Began(a.server)
	}
	for _, id := range s.Spares {
		if ep := e.endpoints[id]; ep != nil {
			a.Spares = append(a.Spares, ep)
		}
	}
	if c, is := c.Payload.(Carrier); is {
		c.Carry(ctx, a)
		return
	}
	e.cfg.Sender.Start(ctx, a)
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
func (e *Engine) began(a *Attempt, r Reply) {
	e.Do(func() {
		c := a.call
		if c.finished.Load() || c.stream != nil || c.attempts[a.n] != a {
			a.cancel(ErrWithdrawn)
			release(r)
			return
		}
		c.stream = a
		if a.timer != nil {
			a.timer.Stop()
		}
		c.lastCall.Stop() // a stream that has begun has no deadline
		c.To.Began(r)
		s, is := r.(Transferred)
		e.handle(balancer.Started{ID: c.id, Attempt: a.n, Transfer: is && s.Transfer()})
	})
}

func (e *Engine) end(a *Attempt, ending balancer.Ending, r Reply) {
	e.Do(func() { e.handle(e.ending(a, ending, r)) })
}

// ending notes that an attempt has ended and words it for the module. The first success is the call's
// answer; once a streamed reply has begun, how that attempt ends is.
func (e *Engine) ending(a *Attempt, ending balancer.Ending, r Reply) balancer.Outcome {
	c := a.call
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel(nil)
	c.out--
	if a.observer != nil {
		a.observer.Ended(a.server, ending)
	}
	o := balancer.Outcome{ID: c.id, Attempt: a.n, Server: a.server, Ending: ending}
	if p, is := c.Payload.(Spendable); is {
		o.Spent = p.Spent()
	}
	if x := a.crossed.Load(); x != nil {
		o.Wrote, o.Out, o.In = true, x.out, x.in
		if r, is := r.(Sized); is {
			o.In += r.Size()
		}
		if x.served != "" {
			o.Server = e.byAddr[x.served] // "": none that is listed
		}
	}
	answered := false
	switch {
	case ending == balancer.Success && (c.stream == nil || c.stream == a):
		answered = e.finish(c.id, Answer{Verdict: Served, Reply: r})
	case c.stream == a:
		// It broke midway. What came has run and can't be taken back, so no other attempt may follow.
		e.finish(c.id, Answer{Verdict: Failed})
	}
	if !answered {
		release(r)
	}
	e.forget(c)
	o.Latency, o.Ended = e.cfg.Clock.Now()-a.sent, c.finished.Load()
	return o
}
