package extproc

import (
	"context"
	"sync"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/pool"
)

// ticket is a request on its way through an engine, carried by the streams of proxies: one, or with
// retries one after the other. It implements engine.Receiver and engine.Carrier.
type ticket struct {
	engine.Call
	id      string // as in the book
	pool    *pool.Pool
	offers  chan offer         // an attempt that waits for a stream; holds one
	answers chan engine.Answer // the final answer; holds one

	mu      sync.Mutex      // guards all below
	out     *engine.Attempt // carried by a proxy
	stop    func() bool     // ends the watch for the end of out's time
	tries   int             // the proxy's count of the last stream
	carried uint64          // which stream has the request; 0: none
	entered bool            // room in the pool is taken
	ran     bool            // an attempt that has ended may have run
}

// offer is an attempt that waits for a stream.
type offer struct {
	ctx context.Context
	a   *engine.Attempt
}

func (t *ticket) Began(r engine.Reply) { r.Release() }

func (t *ticket) Ended(a engine.Answer) { t.answers <- a }

// Carry offers an attempt to the stream that has the request. The module has one attempt out at a time
// for each request here, so an offer that nobody took is one whose time is over.
func (t *ticket) Carry(ctx context.Context, a *engine.Attempt) {
	select {
	case old := <-t.offers:
		go old.a.End(balancer.NeverSent, nil) // never sent; End posts to this goroutine's queue
	default:
	}
	t.offers <- offer{ctx, a}
	// Whoever takes it looks whether its time is over, and void ends what nobody took; but the request may
	// be over before the engine makes the offer.
	context.AfterFunc(ctx, func() {
		select {
		case o := <-t.offers:
			if o.a == a {
				a.End(balancer.NeverSent, nil)
				return
			}
			t.offers <- o // a later one; there is room, for it was taken out just now
		default:
		}
	})
}

// offer puts back an attempt that was looked at; false if it could not wait on, and has ended.
func (t *ticket) offer(o offer) bool {
	if o.ctx.Err() != nil {
		o.a.End(balancer.NeverSent, nil)
		return false
	}
	select {
	case t.offers <- o:
		return true
	default: // there is a later one
		o.a.End(balancer.NeverSent, nil)
		return true
	}
}

// void ends an attempt that waits for a stream and will get none: it was never sent.
func (t *ticket) void() {
	select {
	case o := <-t.offers:
		o.a.End(balancer.NeverSent, nil)
	default:
	}
}

// take notes that an attempt is carried by a proxy. When its time is over, or it is withdrawn, it ends
// as far as we are concerned: the proxy can't be stopped, so it may run on.
func (t *ticket) take(o offer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out = o.a
	t.stop = context.AfterFunc(o.ctx, func() { t.end(o.a, engine.EndingOf(o.ctx)) })
}

// settle ends the attempt that is carried, and the request with it: the client has its answer.
func (t *ticket) settle(ending balancer.Ending) {
	t.mu.Lock()
	out := t.out
	t.out = nil
	if out != nil {
		t.stop()
	}
	t.mu.Unlock()
	if out == nil {
		t.pool.Engine().CallerGone(&t.Call)
		return
	}
	t.pool.Engine().EndCallAndAttempt(&t.Call, out, ending)
}

// crossed notes what the proxy tells of what went between, by the endpoint that served.
func (t *ticket) crossed(in int64, served string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out != nil {
		t.out.RecordTransfer(t.Size, in, served)
	}
}

// end ends an attempt, if it is the one that is carried; nil stands for whichever is.
func (t *ticket) end(a *engine.Attempt, ending balancer.Ending) {
	t.mu.Lock()
	out := t.out
	if out == nil || a != nil && a != out {
		t.mu.Unlock()
		return
	}
	t.out = nil
	t.stop()
	t.ran = t.ran || !stream.Unrun(ending)
	t.mu.Unlock()
	out.End(ending, nil)
}

// endpoint is the address of the attempt that is carried; "": none is. spare says that served is one of
// those that may be tried in its place.
func (t *ticket) endpoint(served string) (told string, spare bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out == nil {
		return "", false
	}
	for _, ep := range t.out.Spares {
		spare = spare || ep.Addr == served
	}
	return t.out.Endpoint.Addr, spare
}

// carry has a stream carry the request; false if another one does that the proxy has not given up: its
// count of tries has not grown.
func (t *ticket) carry(stream uint64, tries int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.carried != 0 && tries <= t.tries {
		return false
	}
	t.carried, t.tries = stream, tries
	return true
}

// drop notes that a stream has the request no more; false if another has it by now.
func (t *ticket) drop(stream uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.carried != stream {
		return false
	}
	t.carried = 0
	return true
}

// orphan says that no stream has the request.
func (t *ticket) orphan() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.carried == 0
}

// enter takes room in the pool; leave gives it back, once.
func (t *ticket) enter() error {
	err := t.pool.Enter(0)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entered = err == nil
	return err
}

func (t *ticket) leave() {
	t.mu.Lock()
	entered := t.entered
	t.entered = false
	t.mu.Unlock()
	if entered {
		t.pool.Leave(0)
	}
}

// mayHaveRun says that an attempt which has ended may have run.
func (t *ticket) mayHaveRun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran
}

// open says that the request is not over.
func (t *ticket) open() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entered
}
