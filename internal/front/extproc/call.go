package extproc

import (
	"context"
	"sync"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/pool"
)

// call is a request that an engine is handling. One stream of a proxy is attached to it at a time; with retries, one
// after the other. It implements engine.Receiver and engine.Carrier.
type call struct {
	engine.Call
	key     string // in the call table; "" means the request has no id
	pool    *pool.Pool
	offers  chan offer         // capacity 1: an attempt that waits for a stream
	answers chan engine.Answer // capacity 1: the final answer, so that the engine never blocks

	mu           sync.Mutex      // guards all below
	attempt      *engine.Attempt // that a proxy carries; nil means none
	stopWatch    func() bool     // ends the watch for the end of attempt's context
	streamID     uint64          // of the attached stream; 0 means none
	attemptCount int             // the proxy's count, as the attached stream sent it
	admitted     bool            // counted in the pool: the call has not finished
	maybeRan     bool            // an attempt that has ended may have run the request
}

// offer is an attempt of the engine that waits for a stream to carry it.
type offer struct {
	ctx     context.Context // of the attempt
	attempt *engine.Attempt
}

// ResponseStarted implements engine.Receiver. No replies pass through this front, so what is streamed has no reader.
func (c *call) ResponseStarted(r engine.Reply) { r.Release() }

// Ended implements engine.Receiver.
func (c *call) Ended(a engine.Answer) { c.answers <- a }

// Carry implements engine.Carrier: it offers an attempt to the attached stream. Here the module has one attempt of a
// call out at a time, so an offer that nobody has accepted is one whose context is done.
func (c *call) Carry(ctx context.Context, a *engine.Attempt) {
	select {
	case stale := <-c.offers:
		// On a goroutine of its own: End posts to the queue of the engine, whose goroutine this is.
		go stale.attempt.End(balancer.NeverSent, nil)
	default:
	}
	c.offers <- offer{ctx, a}
	// Whoever accepts the offer checks its context, and discardOffer ends one that nobody accepts. But the call may have
	// finished before the engine makes the offer, and then neither happens.
	context.AfterFunc(ctx, func() {
		select {
		case o := <-c.offers:
			if o.attempt == a {
				a.End(balancer.NeverSent, nil)
				return
			}
			c.offers <- o // a later offer: it was taken out just now, so there is space for it
		default:
		}
	})
}

// keepOffer puts back an offer, for the stream that will retry the request. It returns false if the offer's context is
// done: then the attempt has ended.
func (c *call) keepOffer(o offer) bool {
	if o.ctx.Err() != nil {
		o.attempt.End(balancer.NeverSent, nil)
		return false
	}
	select {
	case c.offers <- o:
		return true
	default: // a later one has come
		o.attempt.End(balancer.NeverSent, nil)
		return true
	}
}

// discardOffer ends an attempt that waits for a stream and will get none.
func (c *call) discardOffer() {
	select {
	case o := <-c.offers:
		o.attempt.End(balancer.NeverSent, nil)
	default:
	}
}

// carry notes that a proxy carries an attempt. When its context is done the attempt ends for the engine. The proxy
// can't be stopped, so the request may still be running.
func (c *call) carry(o offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = o.attempt
	c.stopWatch = context.AfterFunc(o.ctx, func() { c.endAttempt(o.attempt, engine.EndingOf(o.ctx)) })
}

// endAttempt ends an attempt if a proxy carries it; nil stands for whichever a proxy carries.
func (c *call) endAttempt(a *engine.Attempt, ending balancer.Ending) {
	c.mu.Lock()
	attempt := c.attempt
	if attempt == nil || a != nil && a != attempt {
		c.mu.Unlock()
		return
	}
	c.attempt = nil
	c.stopWatch()
	c.maybeRan = c.maybeRan || !stream.CertainlyNotRun(ending)
	c.mu.Unlock()
	attempt.End(ending, nil)
}

// endWithAttempt ends the attempt that a proxy carries and the call with it, because the client has its answer.
func (c *call) endWithAttempt(ending balancer.Ending) {
	c.mu.Lock()
	attempt := c.attempt
	c.attempt = nil
	if attempt != nil {
		c.stopWatch()
	}
	c.mu.Unlock()
	if attempt == nil {
		c.pool.Engine().CallerGone(&c.Call)
		return
	}
	c.pool.Engine().EndCallAndAttempt(&c.Call, attempt, ending)
}

// recordTransfer passes on the size of the response, in bytes, and the address of the endpoint that served it.
func (c *call) recordTransfer(responseBytes int64, served string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != nil {
		c.attempt.RecordTransfer(c.Size, responseBytes, served)
	}
}

// destination is the address of the endpoint of the attempt that a proxy carries, or "" if it carries none; isFallback
// says that served is one of that attempt's fallbacks.
func (c *call) destination(served string) (addr string, isFallback bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt == nil {
		return "", false
	}
	for _, endpoint := range c.attempt.Spares {
		isFallback = isFallback || endpoint.Addr == served
	}
	return c.attempt.Endpoint.Addr, isFallback
}

// attach makes a stream the one that carries the call. It returns false if another stream does and the proxy has not
// given that one up: only a higher count of attempts says that it has.
func (c *call) attach(streamID uint64, attemptCount int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streamID != 0 && attemptCount <= c.attemptCount {
		return false
	}
	c.streamID, c.attemptCount = streamID, attemptCount
	return true
}

// detach undoes attach. It returns false if the stream is not attached, because another one has taken its place.
func (c *call) detach(streamID uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streamID != streamID {
		return false
	}
	c.streamID = 0
	return true
}

// isDetached reports whether no stream is attached.
func (c *call) isDetached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streamID == 0
}

// admit counts the call in its pool. After pool.ErrRetired the routes name another pool.
func (c *call) admit() error {
	err := c.pool.Enter(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitted = err == nil
	return err
}

// leave undoes admit, once.
func (c *call) leave() {
	c.mu.Lock()
	admitted := c.admitted
	c.admitted = false
	c.mu.Unlock()
	if admitted {
		c.pool.Leave(0)
	}
}

// isOpen reports whether the call is counted in its pool, so it has not finished.
func (c *call) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admitted
}

// mayHaveRun reports whether an attempt which has ended may have run the request.
func (c *call) mayHaveRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maybeRan
}

// class is the class of the request in its pool.
func (c *call) class() balancer.Class {
	class, _ := c.pool.Class(c.Class)
	return class
}

// requiresAtMostOnce reports whether a request of a class must not be retried at another endpoint once it may have run: its
// method is not idempotent (RFC 9110, section 9.2.2), or its key is not known at every server.
func requiresAtMostOnce(c balancer.Class) bool {
	return c.Effect == balancer.NonIdempotent || c.Effect == balancer.IdempotentByKey && c.Scope != balancer.ScopeAll
}
