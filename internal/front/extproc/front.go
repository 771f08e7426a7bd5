// Package extproc is the front towards proxies that ask, once for each request, where it should go:
// Envoy's external processing service, with the endpoint picker's conventions. The proxy carries the
// attempts; the engine's rules hold as for any other front.
//
// One goroutine serves a stream. It reads the next message only once the one before is dealt with, so a
// proxy that floods fills its own window. What a stream says is worked off by the state machine of
// package stream; this one does the I/O, and joins streams of one request (book, ticket).
package extproc

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// Config is what a front is made of. Zeros take the defaults.
type Config struct {
	Clock  engine.Clock
	Routes Routes
	// Within is how long a question may wait for its decision. A proxy waits for its message_timeout, 200 ms
	// by default, and then answers by itself: 150 ms.
	Within time.Duration
	// Linger is how long a request whose stream was lost, or that may be tried again, waits for its next
	// stream: 500 ms. Its slot at the server is kept for so long, since it may run there.
	Linger time.Duration
	// Retries says that proxies ask again, on a stream of its own, for each further try, and that response
	// headers are shown for every try. Else what they show goes to the client.
	Retries bool
	// RetryHeader is set in the answer to a failed try if the module allows another, with Retries. "": proxies
	// try again as they like, and are told when they ask.
	RetryHeader string
	Streams     uint32  // that one connection may have open: 10,000
	Rate        float64 // questions a second of one proxy; 0: no limit
	// ProxyStreams is how many streams one proxy may have open over all its connections; 0: no limit.
	ProxyStreams int
	ID           string // header that names a request: x-request-id
	Clear        bool   // have the proxy choose its route anew (clear_route_cache)
	Slim         bool   // have it send no bodies and trailers, if it allows (mode_override)
	// TimeLeft has each decision tell the server, in x-time-left, how long its answer is waited for.
	TimeLeft bool
	Known    int // requests that are over and remembered: 100,000
}

// Routes names the pool of a question and the class that it has there.
type Routes interface {
	Ask(q *stream.Question, id string) (p *pool.Pool, class string, refusal *stream.Final)
}

// Front serves proxies on one listener.
type Front struct {
	extproc.UnimplementedExternalProcessorServer

	cfg      Config
	listener net.Listener
	server   *grpc.Server
	health   *health.Server
	book     *book
	streams  atomic.Uint64
	words    words

	mu      sync.Mutex // guards proxies
	proxies limits

	astray  atomic.Int64 // requests that a proxy sent elsewhere than told
	strayAt atomic.Int64 // when that was last said, Unix seconds
	late    atomic.Int64 // questions that were not begun, for their time was nearly over
}

// New returns a front that serves proxies on l once Serve is called.
func New(l net.Listener, cfg Config) *Front {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&cfg.Within, 150*time.Millisecond)
	set(&cfg.Linger, 500*time.Millisecond)
	if cfg.Streams == 0 {
		cfg.Streams = 10_000
	}
	if cfg.ID == "" {
		cfg.ID = "x-request-id"
	}
	if cfg.Known == 0 {
		cfg.Known = 100_000
	}
	f := &Front{
		cfg: cfg, listener: l, health: health.NewServer(), book: newBook(cfg.Known),
		proxies: limits{rate: cfg.Rate, streams: cfg.ProxyStreams},
	}
	f.server = grpc.NewServer(grpc.MaxConcurrentStreams(cfg.Streams), grpc.MaxRecvMsgSize(maxMessage), grpc.InTapHandle(f.arrive),
		// A stream lives for a moment: goroutines that are kept have grown their stacks already.
		grpc.NumStreamWorkers(uint32(2*runtime.GOMAXPROCS(0)+64)), grpc.SharedWriteBuffer(true),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}))
	extproc.RegisterExternalProcessorServer(f.server, f)
	healthpb.RegisterHealthServer(f.server, f.health)
	f.health.SetServingStatus(extproc.ExternalProcessor_ServiceDesc.ServiceName, healthpb.HealthCheckResponse_SERVING)
	reflection.Register(f.server)
	return f
}

// arrivedKey is that of a stream's time of arrival in its context.
type arrivedKey struct{}

// arrive notes when a stream's headers were read, on the connection's own goroutine: under load the stream's one
// begins much later, and the proxy's time runs from before both.
func (f *Front) arrive(ctx context.Context, _ *tap.Info) (context.Context, error) {
	return context.WithValue(ctx, arrivedKey{}, f.cfg.Clock.Now()), nil
}

// arrived is when a stream came.
func (f *Front) arrived(ctx context.Context) time.Duration {
	if at, is := ctx.Value(arrivedKey{}).(time.Duration); is {
		return at
	}
	return f.cfg.Clock.Now()
}

// maxMessage is the most bytes of a message: Envoy sends bodies in pieces, or buffers of its own limit.
const maxMessage = 4 << 20

// words are decisions' messages by endpoint: all for one are alike, and servers are few.
type words struct {
	mu     sync.RWMutex // guards byAddr
	byAddr map[string]*extproc.ProcessingResponse
}

// maxWords bounds the messages that are kept; beyond that they are forgotten and made anew.
const maxWords = 20_000

func (w *words) word(d stream.Decision) *extproc.ProcessingResponse {
	w.mu.RLock()
	m := w.byAddr[d.Endpoint]
	w.mu.RUnlock()
	if m != nil {
		return m
	}
	m = d.Word()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byAddr == nil || len(w.byAddr) >= maxWords {
		w.byAddr = map[string]*extproc.ProcessingResponse{}
	}
	w.byAddr[d.Endpoint] = m
	return m
}

// Addr is the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Serve serves until Shutdown, and then returns http.ErrServerClosed, as every front does.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return http.ErrServerClosed
}

// Shutdown tells proxies to go away, accepts nothing more, and waits until every stream has ended, or
// ctx ends.
func (f *Front) Shutdown(ctx context.Context) error {
	f.health.Shutdown()
	stop := context.AfterFunc(ctx, f.server.Stop)
	defer stop()
	f.server.GracefulStop()
	return ctx.Err()
}

// Close ends everything at once.
func (f *Front) Close() error {
	f.server.Stop()
	return f.listener.Close()
}

// Astray is how many requests proxies sent elsewhere than they were told.
func (f *Front) Astray() int64 { return f.astray.Load() }

// Late is how many questions were refused unbegun, for they had waited in this process for most of their time.
func (f *Front) Late() int64 { return f.late.Load() }

// ProxyID is the gRPC metadata by which a proxy names itself (initial_metadata of its grpc_service).
const ProxyID = "x-proxy-id"

// maxProxyID is how much of such a name counts.
const maxProxyID = 128

// identity is whom a stream is of: the name that the proxy gives, else its address without the port, since it has
// a connection for each of its workers.
type identity struct {
	name string
	addr netip.Addr
}

// identityOf words nothing: that would grow the stack of every stream by half.
func identityOf(ctx context.Context) identity {
	if v := metadata.ValueFromIncomingContext(ctx, ProxyID); len(v) == 1 && v[0] != "" {
		return identity{name: v[0][:min(len(v[0]), maxProxyID)]}
	}
	if p, is := peer.FromContext(ctx); is {
		if a, is := p.Addr.(*net.TCPAddr); is {
			return identity{addr: a.AddrPort().Addr()}
		}
	}
	return identity{}
}

// talk is one stream on its way.
type talk struct {
	f      *Front
	st     extproc.ExternalProcessor_ProcessServer
	s      *stream.Stream
	n      uint64
	ticket *ticket
	of     *bucket       // the proxy's
	room   bool          // it may have this stream
	until  time.Duration // clock time by which the proxy must have its word
	err    error
}

// Process serves one stream: one request of a proxy.
func (f *Front) Process(st extproc.ExternalProcessor_ProcessServer) error {
	t := &talk{f: f, st: st, s: stream.New(), n: f.streams.Add(1)}
	id := identityOf(st.Context())
	f.mu.Lock()
	t.of, t.room = f.proxies.begin(f.cfg.Clock.Now(), id)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		t.of.open--
		f.mu.Unlock()
	}()
	for !t.s.Over() {
		m, err := st.Recv()
		if err != nil {
			t.carryOut(t.s.End())
			break
		}
		t.carryOut(t.s.Receive(m))
	}
	t.lost()
	return t.err
}

// carryOut does what the state machine says, and what follows from that. It works off a list and does not nest:
// writing is deep in the library, and every frame below it is on the stack of each open stream.
func (t *talk) carryOut(l []stream.Action) {
	for len(l) > 0 {
		a, rest := l[0], l[1:]
		var more []stream.Action
		switch a := a.(type) {
		case stream.Reply:
			t.send(a)
		case stream.Ask:
			more = t.ask(a.Question)
		case stream.Outcome:
			more = t.ended(a)
		case stream.Hangup:
			if a.Err != nil {
				t.err = status.Error(codes.InvalidArgument, a.Err.Error())
			}
		}
		if l = rest; len(more) > 0 {
			l = append(more, rest...)
		}
	}
}

func (t *talk) send(r stream.Reply) bool { return t.st.Send(r.Message) == nil }

// refusal is a final answer before anything was done, and so harmless.
func refusal(text string) stream.Final {
	return stream.Final{Status: http.StatusServiceUnavailable, RetryAfter: time.Second, Text: text}
}

// lateShare is the part of its time, one over that, which a question must have left to be begun.
const lateShare = 4

// ask asks the engine, or finds out what it has said, and waits for the decision.
func (t *talk) ask(q *stream.Question) []stream.Action {
	f := t.f
	t.until = f.arrived(t.st.Context()) + f.cfg.Within
	if f.cfg.Clock.Now() > t.until-f.cfg.Within/lateShare {
		// There is more to do than can be done in time. Words that come late are worth nothing, so what has waited
		// for most of its time is not begun: those that came after it get theirs.
		f.late.Add(1)
		return t.s.Answer(refusal("this processor is overloaded"))
	}
	f.mu.Lock()
	ok := f.proxies.take(f.cfg.Clock.Now(), t.of)
	f.mu.Unlock()
	if !ok || !t.room {
		return t.s.Answer(refusal("too many questions of this proxy"))
	}
	id := q.Get(f.cfg.ID)
	tries, _ := strconv.Atoi(q.Get("x-envoy-attempt-count"))
	for {
		p, class, no := f.cfg.Routes.Ask(q, id)
		if no != nil {
			return t.s.Answer(*no)
		}
		if q.Subset != nil && len(q.Subset) == 0 {
			return t.s.Answer(refusal("the subset of endpoints is empty"))
		}
		k, no := f.newTicket(q, p, class, id)
		if no != nil {
			return t.s.Answer(*no)
		}
		now := f.cfg.Clock.Now()
		found, open, answer := f.book.enter(now, k.id, k)
		switch {
		case found && open == nil:
			// It is over: what may not run again gets what became of it, and no server.
			return t.s.Answer(finalOf(answer))
		case found && !open.carry(t.n, tries):
			return t.s.Answer(stream.Final{Status: http.StatusConflict, Text: "a request with this id is open"})
		case found:
			// The proxy's next try. Its last one is over for it, and may have run.
			t.ticket = open
			open.end(nil, balancer.Canceled)
			return t.await()
		}
		if c, _ := p.Class(class); tries > 1 && mustNotRunAgain(c) {
			// A further try of a request that we know nothing of: we have started anew, or it asked another node
			// before. Its earlier tries may have run.
			t.ticket = k
			t.over(engine.Answer{Verdict: engine.Failed})
			return t.s.Answer(stream.Final{Status: http.StatusBadGateway, Text: "an earlier try is not known here and may have run"})
		}
		if err := k.enter(); err == pool.ErrRetired {
			f.book.close(now, k.id, k, engine.Answer{}, 0)
			continue // the routes name another by now
		} else if err != nil {
			f.book.close(now, k.id, k, engine.Answer{}, 0)
			return t.s.Answer(refusal(err.Error()))
		}
		t.ticket = k
		k.carry(t.n, tries)
		p.Engine().Submit(&k.Call)
		return t.await()
	}
}

// mustNotRunAgain says that a request which may have run can do harm when it runs elsewhere.
func mustNotRunAgain(c balancer.Class) bool {
	return c.Effect == balancer.NonIdempotent || c.Effect == balancer.IdempotentByKey && c.Scope != balancer.ScopeAll
}

// ownDelay is what is left of a request's time for the way through proxy and node.
const ownDelay = 20 * time.Millisecond

// newTicket turns a question into a call.
func (f *Front) newTicket(q *stream.Question, p *pool.Pool, name, id string) (*ticket, *stream.Final) {
	class, known := p.Class(name)
	if !known {
		return nil, &stream.Final{Status: http.StatusNotFound, Text: fmt.Sprintf("no class %.40q", name)}
	}
	if class.Effect == balancer.IdempotentByKey && len(q.Header["idempotency-key"]) != 1 {
		return nil, &stream.Final{Status: http.StatusBadRequest, Text: "not one Idempotency-Key"}
	}
	left, ok := timeLeft(q, class.Deadline)
	if !ok {
		return nil, &stream.Final{Status: http.StatusBadRequest, Text: "the time left is no time"}
	}
	now := f.cfg.Clock.Now()
	own := min(ownDelay, left/4)
	t := &ticket{pool: p, offers: make(chan offer, 1), answers: make(chan engine.Answer, 1)}
	if id != "" {
		t.id = p.Name() + "\x00" + id
	}
	t.Call = engine.Call{
		ID: id, Class: name, Deadline: now + left - own, FallbackAt: now + left - own/2, Receiver: t, Payload: t,
		ClientRetry: q.Get("x-repeat") == "1", Tenant: q.Get("x-account"),
		CandidateAddrs: q.Subset, CallerZone: q.Get(callerZone), Size: message.ParseContentLength(q.Get("content-length")),
	}
	return t, nil
}

// callerZone is message.CallerZone as questions have it.
var callerZone = strings.ToLower(message.CallerZone)

// timeLeft reads how long the client waits: the proxy's own header, ours (of an outer listener, whose own one
// does not survive an inner one), gRPC's, or the class's time.
// What comes from outside never makes it longer than the class's.
func timeLeft(q *stream.Question, most time.Duration) (time.Duration, bool) {
	if v := q.Get("x-envoy-expected-rq-timeout-ms"); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil || ms == 0 {
			return 0, err == nil // 0: no time-out
		}
		return min(most, time.Duration(ms)*time.Millisecond), true
	}
	if d, ok := message.ParseTimeLeft(q.Get("x-time-left")); ok {
		return min(most, d), true
	}
	if v := q.Get("grpc-timeout"); v != "" {
		d, ok := grpcTimeout(v)
		return min(most, d), ok
	}
	return most, true
}

// grpcTimeout reads a TimeoutValue and TimeoutUnit of the gRPC-over-HTTP/2 document: at most 8 digits.
func grpcTimeout(v string) (time.Duration, bool) {
	if len(v) < 2 || len(v) > 9 {
		return 0, false
	}
	units := map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': 1}
	unit, ok := units[v[len(v)-1]]
	n, err := strconv.ParseUint(v[:len(v)-1], 10, 32)
	if !ok || err != nil || n == 0 || strings.HasPrefix(v, "+") {
		return 0, false
	}
	if time.Duration(n) > (1<<62)/unit {
		return 1 << 62, true
	}
	return time.Duration(n) * unit, true
}

// finalOf words an engine's answer for the proxy.
func finalOf(a engine.Answer) stream.Final {
	switch a.Verdict {
	case engine.Rejected:
		return stream.Final{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter, Text: "refused"}
	case engine.Duplicate:
		return stream.Final{Status: http.StatusConflict, Text: "a request with this id is open"}
	case engine.Served:
		return stream.Final{Status: http.StatusConflict, Text: "this request has been served"}
	}
	return stream.Final{Status: http.StatusBadGateway, Text: "failed"}
}

// await waits for the decision on the ticket, for as long as the proxy does.
func (t *talk) await() []stream.Action {
	k, f := t.ticket, t.f
	timer := time.NewTimer(t.until - f.cfg.Clock.Now())
	defer timer.Stop()
	for {
		select {
		case o := <-k.offers:
			if ending, ok := o.a.Begin(); !ok {
				o.a.End(ending, nil)
				continue
			}
			if o.ctx.Err() != nil {
				o.a.End(balancer.NeverSent, nil)
				continue
			}
			// From here on the proxy may have it, and with it the server.
			k.take(o)
			class, _ := k.pool.Class(k.Class)
			d := stream.Decision{Endpoint: o.a.Endpoint.Addr, Clear: f.cfg.Clear, Slim: f.cfg.Slim, Unsafe: mustNotRunAgain(class), Ran: k.mayHaveRun()}
			if f.cfg.Retries {
				d.RetryHeader = f.cfg.RetryHeader
			}
			for _, ep := range o.a.Spares {
				if ep.Usable() {
					d.Fallbacks = append(d.Fallbacks, ep.Addr)
				}
			}
			if f.cfg.TimeLeft {
				d.TimeLeft = o.a.Timeout
			} else if d.Fallbacks == nil {
				d.Message = f.words.word(d)
			}
			l, _ := t.s.Decide(d)
			return l
		case a := <-k.answers:
			t.over(a)
			return t.s.Answer(finalOf(a))
		case <-timer.C:
			// The proxy is about to give up. Nothing was decided for this stream; what was carried before it
			// may have run.
			k.pool.Engine().CallerGone(&k.Call)
			a := engine.Answer{Verdict: engine.Rejected, RetryAfter: time.Second}
			if class, _ := k.pool.Class(k.Class); k.mayHaveRun() && mustNotRunAgain(class) {
				a.Verdict = engine.Failed
			}
			t.over(a)
			final := finalOf(a)
			final.Text = fmt.Sprintf("no server within %v", f.cfg.Within)
			return t.s.Answer(final)
		case <-t.st.Context().Done():
			return t.s.End()
		}
	}
}

// ended books an attempt's end, as far as the proxy tells.
func (t *talk) ended(o stream.Outcome) []stream.Action {
	k, f := t.ticket, t.f
	good := o.Ending == balancer.Success // whoever served it
	if o.Status != 0 {
		k.crossed(o.Length, o.Served)
	}
	switch told, spare := k.endpoint(o.Served); {
	case o.Served == "" || told == "" || o.Served == told:
	case spare:
		// It went on down the list: the first could not be used.
		o.Ending = balancer.Unreachable
	default:
		// It ran elsewhere: our server has had nothing of it.
		f.stray(told, o.Served)
		if o.Ending == balancer.Success || o.Ending == balancer.Failure {
			o.Ending = balancer.NeverSent
		}
	}
	if !o.Answered {
		return nil // the stream was lost: see lost
	}
	if f.cfg.Retries && !good {
		// The proxy may come again. The module says now whether it may, and where.
		k.end(nil, o.Ending)
		if o.Judging {
			return t.judge()
		}
		return nil
	}
	verdict := engine.Failed
	if good {
		verdict = engine.Served
	}
	k.settle(o.Ending)
	t.over(engine.Answer{Verdict: verdict})
	return nil
}

// judge tells the proxy whether there is another try of the request: there is once the module has a server for
// it, which waits for the stream that asks for it.
func (t *talk) judge() []stream.Action {
	k, f := t.ticket, t.f
	timer := time.NewTimer(f.cfg.Within)
	defer timer.Stop()
	a := engine.Answer{Verdict: engine.Failed}
	select {
	case o := <-k.offers:
		if k.offer(o) {
			l, _ := t.s.Judge(stream.Judgement{Again: true})
			return l
		}
		k.pool.Engine().CallerGone(&k.Call)
	case a = <-k.answers:
	case <-timer.C:
		// Held for a server that none has. The client hears that now.
		k.pool.Engine().CallerGone(&k.Call)
		a = engine.Answer{Verdict: engine.Rejected, RetryAfter: time.Second}
	case <-t.st.Context().Done():
		return nil // lost deals with what it leaves
	}
	if class, _ := k.pool.Class(k.Class); k.mayHaveRun() && mustNotRunAgain(class) {
		a.Verdict = engine.Failed
	}
	t.over(a)
	l, _ := t.s.Judge(stream.Judgement{Refused: a.Verdict == engine.Rejected, RetryAfter: a.RetryAfter})
	return l
}

// stray says, now and then, that a proxy does not do as it is told.
func (f *Front) stray(told, served string) {
	n := f.astray.Add(1)
	now := time.Now().Unix()
	if last := f.strayAt.Load(); now > last && f.strayAt.CompareAndSwap(last, now) {
		log.Printf("ext_proc: a request for %s was served by %s; %d in all went elsewhere than told", told, served, n)
	}
}

// over notes what became of the request, and for how long that has to be known: a repeat that comes
// within its class's window, or its time, must not run behind our back.
func (t *talk) over(a engine.Answer) {
	k := t.ticket
	now := t.f.cfg.Clock.Now()
	class, _ := k.pool.Class(k.Class)
	until := max(k.FallbackAt, now+t.f.cfg.Linger)
	if class.Effect == balancer.IdempotentByKey {
		until = max(until, now+class.Window)
	}
	if class.Effect == balancer.Idempotent || a.Verdict == engine.Rejected {
		until = 0 // it may run again
	}
	t.f.book.close(now, k.id, k, a, until)
	k.void()
	k.leave()
	k.drop(t.n)
}

// lost ends what the stream leaves behind.
func (t *talk) lost() {
	k, f := t.ticket, t.f
	if k == nil || !k.drop(t.n) {
		return // nothing was asked, or another stream has it
	}
	if !k.open() {
		return // it is over
	}
	// The proxy may come again with it, and it may run at its server: both for a while.
	time.AfterFunc(f.cfg.Linger, func() {
		if !k.orphan() {
			return // it has
		}
		k.pool.Engine().CallerGone(&k.Call)
		k.end(nil, balancer.Canceled)
		answer := engine.Answer{Verdict: engine.Failed}
		select {
		case answer = <-k.answers:
		default:
		}
		t.over(answer)
	})
}
