// Package http1 is the front towards callers that speak HTTP/1.1 (RFC 9112), as the protocol's page
// says, or with NewH2 the same over HTTP/2 (RFC 9113): it checks requests, hands them to the engine of
// the pool that the routes name, and writes the one answer. It decides nothing but what is no request at
// all, and what there is no room to take.
package http1

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

const (
	// OwnDelay is what is left of a caller's time for the node's own work and the way back, so that the
	// answer is there before the caller has given up.
	OwnDelay = 20 * time.Millisecond
	// Arrival is how long a request may take from its first byte, or on a new connection from when that
	// came up, to its last.
	Arrival      = 2500 * time.Millisecond
	idleTimeout  = 30 * time.Second
	WriteTimeout = 5 * time.Second
	maxHeader    = 16 << 10
	// maxBody is the longest body that is passed on.
	maxBody = 64 << 20
)

// Routes names the pool of a request and the class that it has there.
type Routes interface {
	Route(hr *http.Request) (p *pool.Pool, class string, err *Refusal)
}

// Refusal says why a request was turned away before any attempt and without a word to a module.
type Refusal struct {
	Status int
	Text   string
	Retry  bool // trying again later may help, and is harmless
	Keep   bool // the request was understood to its end, so its connection can go on
}

// Speech is what requests and answers say beyond HTTP itself: the platform's, or the mesh's.
type Speech interface {
	// Own says that a request is for the node itself, and answers it.
	Own(f *Front, w http.ResponseWriter, hr *http.Request) bool
	// Read checks a request's head, fills in the call and words what servers are sent.
	Read(hr *http.Request, p *pool.Pool, class string, now time.Duration, c *engine.Call) (*message.Request, *Refusal)
	// Ahead says that a request may be begun while one before it on its connection is still being answered, and ID tells it
	// from others.
	Ahead(hr *http.Request) bool
	ID(hr *http.Request) string
	// Body says that a request may have one.
	Body(hr *http.Request) bool
	// Head writes what an answer's head says beyond its length, and returns its status.
	Head(h http.Header, c *engine.Call, a engine.Answer) int
	// Refuse words what goes with a request that is turned away.
	Refuse(h http.Header, hr *http.Request, r *Refusal)
}

// Dialect is another protocol over the same connections, with answers of its own.
type Dialect interface {
	// Speaks says that a request is one of its own.
	Speaks(hr *http.Request) bool
	// Serve answers it.
	Serve(f *Front, w http.ResponseWriter, hr *http.Request)
}

// Front serves callers on one listener.
type Front struct {
	// Dialect is set before Serve; nil: none.
	Dialect Dialect
	// Speech is set before Serve; nil: the platform's.
	Speech Speech

	clock              engine.Clock
	routes             Routes
	conns              *connections
	server             *http.Server
	draining           atomic.Bool   // callers are led away
	unready            atomic.Bool   // and told so when they ask
	listenerHandedOver atomic.Bool   // the listener is another process's
	giveUp             chan struct{} // closed once nobody waits any more for what holds others up
}

// New returns a front that accepts callers from l once Serve is called. Callers' connections are held
// on the share of the pool of their last request; before their first on fresh, and for all of them if
// a pool has no share of its own.
func New(l net.Listener, clock engine.Clock, routes Routes, fresh *pool.Share) *Front {
	f := &Front{clock: clock, routes: routes, conns: newConnections(l, fresh), giveUp: make(chan struct{})}
	f.conns.scanHeads = true
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				c.(*connection).endRequest()
			}
		}}
	return f
}

// H2Limits bound what a caller's connection of HTTP/2 may hold.
type H2Limits struct {
	Streams int // open at a time; those beyond are refused as never begun. 0: 250
	Window  int // bytes of bodies on their way, over all its streams. 0: 1 MiB
}

const (
	h2Streams     = 250
	h2Window      = 1 << 20
	h2PingAfter   = 15 * time.Second // after which a PING finds out whether the caller is there
	h2PingTimeout = 5 * time.Second
)

// NewH2 is New for callers that speak HTTP/2 without TLS, by prior knowledge (RFC 9113, section 3.3). Requests and
// answers mean the same as over HTTP/1.1; framing, flow control, GOAWAY and the bounds against floods are the standard
// library's. A caller's connection carries many requests, so that one which is turned away does not end it.
func NewH2(l net.Listener, clock engine.Clock, routes Routes, fresh *pool.Share, limits H2Limits) *Front {
	limits.Streams, limits.Window = cmp.Or(limits.Streams, h2Streams), cmp.Or(limits.Window, h2Window)
	f := New(l, clock, routes, fresh)
	f.conns.scanHeads = false
	f.server.Protocols = new(http.Protocols)
	f.server.Protocols.SetUnencryptedHTTP2(true)
	f.server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: limits.Streams, MaxReadFrameSize: 16 << 10, MaxReceiveBufferPerConnection: limits.Window,
		MaxReceiveBufferPerStream: message.MaxBody, SendPingTimeout: h2PingAfter, PingTimeout: h2PingTimeout, WriteByteTimeout: WriteTimeout}
	return f
}

// Addr is the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.conns.Addr() }

// LookAhead has requests that callers send behind one another be begun as they come, before Serve.
func (f *Front) LookAhead() { f.conns.front = f }

// Heads sets how many bytes a request's head may have, before Serve.
func (f *Front) Heads(n int) { f.server.MaxHeaderBytes = n }

// Times for which the library waits in any case once Idle and HeadWithin bound callers' times.
const (
	libraryIdle = 10 * time.Minute
	libraryHead = 2 * time.Minute
)

// OwnTimes has Idle and HeadWithin alone bound how long callers' connections may be idle, from when they come up, and how long
// a head may take, before Serve: up to 10 and 2 minutes. Without it more than the bounds of New is never given.
func (f *Front) OwnTimes() {
	f.server.IdleTimeout, f.server.ReadHeaderTimeout = libraryIdle, libraryHead
	f.conns.ownTimes = true
	f.conns.idleTimeout.CompareAndSwap(0, int64(idleTimeout))
	f.HeadWithin(0)
}

// Idle sets how long callers' connections may be idle, also while it serves.
func (f *Front) Idle(d time.Duration) { f.conns.idleTimeout.Store(int64(d)) }

// HeadWithin sets how long a request's head may take from its first byte, also while it serves; 0: the bound of New. Without
// OwnTimes more than that is never given.
func (f *Front) HeadWithin(d time.Duration) {
	if d == 0 && f.conns.ownTimes {
		d = headTimeout
	}
	f.conns.headTimeout.Store(int64(d))
}

// Serve serves until Shutdown, and then returns http.ErrServerClosed.
func (f *Front) Serve() error {
	if f.Speech == nil {
		f.Speech = platformProtocol{}
	}
	err := f.server.Serve(f.conns)
	if f.listenerHandedOver.Load() {
		return http.ErrServerClosed
	}
	return err
}

// LeadAway has callers go elsewhere, or lets them stay again: answers end their connections, and idle ones are closed
// by LeadIdle. Whatever comes is served all the same.
func (f *Front) LeadAway(on bool) { f.draining.Store(on) }

// Unready has GET /health/ready answered with 503, or with 200 again.
func (f *Front) Unready(on bool) { f.unready.Store(on) }

// LeadIdle closes, while callers are led away, connections on which nothing is under way.
func (f *Front) LeadIdle() {
	if f.draining.Load() {
		f.conns.closeIdle()
	}
}

// Hand accepts nothing more and goes on with the connections that there are. Those that nobody has accepted yet stay
// for whoever else has the listening socket.
func (f *Front) Hand() {
	f.listenerHandedOver.Store(true)
	f.conns.Listener.Close()
}

// Open is how many connections of callers there are.
func (f *Front) Open() int { return f.conns.open() }

// closeIfDraining ends the connection with the answer, if callers are led away. HTTP/2 says it with GOAWAY.
func (f *Front) closeIfDraining(w http.ResponseWriter, from *connection) {
	if f.draining.Load() && (from == nil || from.ahead == nil || !from.ahead.follows()) { // else the last of them ends it
		w.Header().Set("Connection", "close")
	}
}

// GiveUp has requests that others on their connection wait behind be answered as failed, if they may run more than once:
// the end is near, and the others' answers would be lost with them. It is called once.
func (f *Front) GiveUp() { close(f.giveUp) }

// Shutdown accepts nothing more and waits until every request taken is answered, or ctx ends.
func (f *Front) Shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (f *Front) Close() error { return f.server.Close() }

type connectionKey struct{}

// call is a request on its way through an engine. It implements engine.Receiver.
type call struct {
	engine.Call
	answers chan callEvent // holds the final answer, and one that comes in pieces before it; never blocks
	gone    atomic.Bool    // nobody will read it
	upload  *upload        // of a long body; nil: none
}

// callEvent is what the engine tells: an answer that begins, or the final one.
type callEvent struct {
	stream *message.Stream // nil: the final one
	answer engine.Answer
}

func (c *call) Began(r engine.Reply) {
	st, is := r.(*message.Stream)
	if !is {
		r.Release()
		return
	}
	c.answers <- callEvent{stream: st}
	if c.gone.Load() {
		c.discard()
	}
}

func (c *call) Ended(a engine.Answer) {
	c.answers <- callEvent{answer: a}
	if c.gone.Load() {
		c.discard()
	}
}

// discard releases answers that nobody will read. Whichever of the two sides comes second finds them.
func (c *call) discard() {
	for {
		select {
		case x := <-c.answers:
			if x.stream != nil {
				x.stream.Release()
			}
			if x.answer.Reply != nil {
				x.answer.Reply.Release()
			}
		default:
			return
		}
	}
}

// ServeHTTP answers one request. It is no ServeMux, which would redirect paths that it cleans.
func (f *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if f.Speech.Own(f, w, hr) {
		return
	}
	if f.Dialect != nil && f.Dialect.Speaks(hr) {
		f.Dialect.Serve(f, w, hr)
		return
	}
	from := hr.Context().Value(connectionKey{}).(*connection)
	if hr.TransferEncoding != nil && from.head.lengths > 0 {
		// Others may see the body's end elsewhere (RFC 9112, section 6.1), and the library has dropped the length.
		f.refuse(w, hr, from, &Refusal{Status: http.StatusBadRequest, Text: "both a length and a transfer coding"})
		return
	}
	if from.ahead != nil {
		e := from.ahead.take(hr, f.Speech.ID(hr))
		from.busy.Store(true)
		defer from.busy.Store(false)
		f.beginAhead(from)
		if e != nil {
			defer e.pool.Leave(0)
			if !from.beginRequest() {
				e.pool.Engine().Gone(&e.call.Call)
				e.call.gone.Store(true)
				e.call.discard()
				panic(http.ErrAbortHandler)
			}
			f.answer(w, hr, e.pool, e.call, from)
			return
		}
	}
	var c *call
	size := bufferedSize(hr)
	p, err := f.Enter(hr, size, func(p *pool.Pool, class string) (refusal *Refusal) {
		c, refusal = f.check(hr, p, class)
		return refusal
	})
	if err == nil {
		defer p.Leave(size)
		if hr.ContentLength != 0 {
			head := f.clock.Now()
			err = f.readBody(w, hr, c)
			read := f.clock.Now() - head // a request's time runs from its last byte
			c.Deadline, c.Last = c.Deadline+read, c.Last+read
		}
	}
	if err != nil {
		f.refuse(w, hr, from, err)
		return
	}
	if hr.TransferEncoding != nil && !from.head.done {
		// It came with the one before, so a length beside the coding would not have been seen.
		w.Header().Set("Connection", "close")
	}
	if !from.beginRequest() {
		panic(http.ErrAbortHandler)
	}
	p.Engine().Submit(&c.Call)
	if c.upload != nil {
		go c.upload.pump(func() { p.Engine().Arrived(&c.Call) })
	}
	f.answer(w, hr, p, c, from)
}

// answer writes the one answer to a call that was submitted.
func (f *Front) answer(w http.ResponseWriter, hr *http.Request, p *pool.Pool, c *call, from *connection) {
	var arrived chan struct{}
	if c.upload != nil {
		arrived = c.upload.ended
	}
	over := f.giveUp
	for {
		select {
		case <-over:
			over = nil
			if len(c.answers) == 0 && c.upload == nil && c.Payload.(*message.Request).Runs == message.RunsOften && from.ahead != nil && from.ahead.follows() {
				p.Engine().Gone(&c.Call)
				c.gone.Store(true)
				c.discard()
				f.write(w, c, engine.Answer{Verdict: engine.Failed}, from)
				return
			}
			continue
		case x := <-c.answers:
			if x.stream == nil {
				f.write(w, c, x.answer, from)
			} else if !f.forwardStream(hr.Context(), w, x.stream, from) {
				f.abort(hr, p, c, from)
			}
		case <-arrived:
			if c.upload.err != nil {
				f.abort(hr, p, c, from)
			}
			arrived = nil
			continue
		case <-hr.Context().Done():
			f.abort(hr, p, c, from)
		}
		if c.upload != nil {
			http.NewResponseController(w).Flush()
			if !c.upload.drain(lingerTime) {
				panic(http.ErrAbortHandler) // the answer is written, and nothing on the connection can be read any more
			}
		}
		return
	}
}

// abort ends a call whose caller gets no whole answer, and its connection so that it sees that.
func (f *Front) abort(hr *http.Request, p *pool.Pool, c *call, from *connection) {
	p.Engine().Gone(&c.Call)
	c.gone.Store(true)
	c.discard()
	if c.upload != nil {
		c.upload.drain(0)
	}
	from.resetOnClose(hr)
	// Returning would answer 200 with nothing in it, or end an answer that is not whole.
	panic(http.ErrAbortHandler)
}

// refuse answers a request that is not taken.
func (f *Front) refuse(w http.ResponseWriter, hr *http.Request, from *connection, err *Refusal) {
	f.Speech.Refuse(w.Header(), hr, err)
	rc := http.NewResponseController(w)
	f.closeIfDraining(w, from)
	if err.Keep || hr.ProtoMajor > 1 {
		http.Error(w, err.Text, err.Status)
		return
	}
	// What follows on the connection can't be told from the rest of what was not understood. It is read for a while, for
	// the caller may write all of it before it looks for an answer.
	from.markUseless()
	rc.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	http.Error(w, err.Text, err.Status)
	rc.Flush()
	rc.SetReadDeadline(time.Now().Add(lingerTime))
	if hr.ContentLength != 0 && hr.Header.Get("Expect") == "" {
		io.Copy(io.Discard, hr.Body)
	}
}

// Enter finds the request's pool, has check look at the request, and takes room in the pool for a body of so many
// bytes; the pool is left by whoever gets no error.
func (f *Front) Enter(hr *http.Request, size int64, check func(p *pool.Pool, class string) *Refusal) (*pool.Pool, *Refusal) {
	return f.enter(hr, size, check, hr.Context().Value(connectionKey{}).(*connection))
}

func (f *Front) enter(hr *http.Request, size int64, check func(p *pool.Pool, class string) *Refusal, from *connection) (*pool.Pool, *Refusal) {
	for {
		p, class, refusal := f.routes.Route(hr)
		if refusal == nil {
			refusal = check(p, class)
		}
		if refusal != nil {
			return nil, refusal
		}
		switch err := p.Enter(size); {
		case err == pool.ErrRetired:
			continue // the routes name another by now
		case err != nil:
			// Callers over the limit of calls come again at once: a new connection each time would cost
			// more than the refusal.
			return nil, &Refusal{Status: http.StatusServiceUnavailable, Text: err.Error(), Retry: true,
				Keep: err == pool.ErrCalls && size == 0}
		}
		if !from.assign(p.Shares().Callers) {
			p.Leave(size)
			return nil, &Refusal{Status: http.StatusServiceUnavailable, Text: "too many callers", Retry: true}
		}
		return p, nil
	}
}

// Take notes that a request of the connection is taken; false: the connection is being closed.
func (f *Front) Take(hr *http.Request) bool {
	return hr.Context().Value(connectionKey{}).(*connection).beginRequest()
}

// Clock is the node's.
func (f *Front) Clock() engine.Clock { return f.clock }

// bodiless says that no body comes with a request. A length beside a Transfer-Encoding is gone by the
// time that the request is seen here, and one of HTTP/1.0 has lost any Transfer-Encoding.
func bodiless(hr *http.Request) bool { return hr.ContentLength == 0 && hr.TransferEncoding == nil }

// check reads a request's head.
func (f *Front) check(hr *http.Request, p *pool.Pool, class string) (*call, *Refusal) {
	c := &call{answers: make(chan callEvent, 2)}
	out, refusal := f.Speech.Read(hr, p, class, f.clock.Now(), &c.Call)
	if refusal != nil {
		return nil, refusal
	}
	c.Payload, c.To = out, c
	return c, nil
}

// write writes a final answer that nothing of went before.
func (f *Front) write(w http.ResponseWriter, c *call, a engine.Answer, from *connection) {
	f.closeIfDraining(w, from)
	if c.upload != nil {
		select {
		case <-c.upload.ended:
		default:
			w.Header().Set("Connection", "close") // what the caller still sends is not read to its end
		}
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
	h := w.Header()
	h["Content-Type"] = nil // no guessing
	if a.Verdict == engine.Failed {
		if r := c.Payload.(*message.Request).Failed(); r != nil {
			a.Reply = r
		}
	}
	status := f.Speech.Head(h, &c.Call, a)
	var body []byte
	if r, is := a.Reply.(*message.Reply); is {
		defer r.Release()
		body = r.Body
	}
	h.Set("Content-Length", itoa(int64(len(body))))
	w.WriteHeader(status)
	w.Write(body) // an error means that the caller has gone
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
