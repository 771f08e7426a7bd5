package line

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hollyspur"
	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/message"
	sender "hollyspur/internal/sender/http1"
)

// Figures of the side that runs requests at its own server.
const (
	serverIdle    = 8 * time.Second // after which servers are taken to close idle connections
	connectWithin = 1500 * time.Millisecond
	claimWithin   = 400 * time.Millisecond
)

// inbound runs requests of other lines at this line's server.
type inbound struct {
	line   *Line
	sender *sender.Sender
	keep   *keep
	open   atomic.Int64
	ending atomic.Bool // nothing new is taken
	tally  tally

	mu      sync.Mutex // guards callers
	callers map[*caller]bool
}

// caller is a trunk from another line.
type caller struct {
	c  *trunk.Conn
	mu sync.Mutex // guards open
	// open are the requests of it that run here
	open map[uint64]*run
}

// run is a request at this line's server.
type run struct {
	in     *inbound
	of     *caller
	q      *wire.RequestT
	cancel context.CancelCauseFunc
	credit credit
	more   *message.Stream // of a long request
	held   atomic.Bool     // its key is claimed here
	broken atomic.Bool     // its answer went out in pieces, and did not come whole
}

func newInbound(l *Line, s *sender.Sender) *inbound {
	return &inbound{line: l, sender: s, keep: newKeep(), callers: map[*caller]bool{}}
}

// finish ends the trunks of other lines, once they have read what was answered.
func (in *inbound) finish(ctx context.Context) {
	in.mu.Lock()
	var all sync.WaitGroup
	for of := range in.callers {
		all.Go(func() { of.c.Finish(ctx) })
	}
	in.mu.Unlock()
	all.Wait()
}

// accept takes trunks.
func (in *inbound) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			select {
			case <-in.line.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		go func() {
			if c, err := trunk.Accept(nc, nil); err == nil {
				in.serve(&caller{c: c, open: map[uint64]*run{}})
			}
		}()
	}
}

func (in *inbound) serve(of *caller) {
	in.mu.Lock()
	in.callers[of] = true
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.callers, of)
	}()
	for {
		m, err := of.c.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.RequestT:
			in.begin(of, v)
		case *wire.PieceT:
			if r := of.find(v.Id); r != nil && r.more != nil {
				if len(v.Body) > 0 {
					r.more.Push(v.Body)
				}
				if v.Broken {
					r.more.Finish(nil)
				} else if v.Last {
					r.more.Finish([]message.Field{})
				}
			}
		case *wire.CreditT:
			if r := of.find(v.Id); r != nil {
				r.credit.grant(int(v.Bytes))
			}
		case *wire.CancelT:
			if r := of.find(v.Id); r != nil {
				r.cancel(engine.ErrWithdrawn)
			}
		case *wire.AskT:
			of.c.Send(in.answer(v))
		}
	}
	of.mu.Lock()
	defer of.mu.Unlock()
	for _, r := range of.open {
		if !r.q.Once { // nobody will read the answer; of a key's it is kept for a repeat
			r.cancel(engine.ErrWithdrawn)
		}
		if r.more != nil {
			r.more.Finish(nil)
		}
		r.credit.close()
	}
}

// answer answers a call of another line, or of an operator.
func (in *inbound) answer(a *wire.AskT) *wire.ToldT {
	told := &wire.ToldT{Id: a.Id, Status: http.StatusOK}
	switch a.Kind {
	case trunk.AskRecall:
		q, err := legacy(a.Body)
		if err != nil || len(q.List) != 1 {
			told.Status = http.StatusBadRequest
			break
		}
		told.Body = trunk.Bytes(in.recall(q.List[0].Key, q.Of))
	case trunk.AskInherit:
		q, err := legacy(a.Body)
		if err != nil {
			told.Status = http.StatusBadRequest
			break
		}
		in.keep.inherit(q.Of, q.List)
	case trunk.AskStatus:
		told.Body = trunk.Bytes(in.line.status())
	case trunk.AskRing:
		told.Body = in.line.ring.Held()
	case trunk.AskHold:
		in.line.own.hold(len(a.Body) > 0)
	default:
		told.Status = http.StatusNotFound
	}
	return told
}

func legacy(body []byte) (*wire.LegacyT, error) {
	return trunk.Parse(body, func(p []byte) *wire.LegacyT { return wire.GetRootAsLegacy(p, 0).UnPack() })
}

// answer sends an answer, or its beginning, in the form that the caller's line reads.
func (of *caller) answer(a *wire.AnswerT) {
	if of.c.Peer.Version >= trunk.PacksHeads {
		a = trunk.PackAnswer(a)
	}
	of.c.Send(a)
}

func (of *caller) find(id uint64) *run {
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.open[id]
}

// errIDTwice ends a trunk: answers on it could go to the wrong request.
const errIDTwice = errors.ConstError("a request's id is in use")

// enter notes a request that runs; false: its id is that of another.
func (of *caller) enter(r *run) bool {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.open[r.q.Id] != nil {
		return false
	}
	of.open[r.q.Id] = r
	return true
}

// begin has a request run. It returns at once.
func (in *inbound) begin(of *caller, q *wire.RequestT) {
	r := &run{in: in, of: of, q: q}
	r.credit.grant(window)
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	fields, err := trunk.UnpackHead(q.Head)
	if err != nil { // a fault of the other side's; nothing of it has run
		of.answer(&wire.AnswerT{Id: q.Id, Ending: endNotHere})
		return
	}
	q.Fields = append(q.Fields, fields...)
	if q.More {
		r.more = message.NewStream(nil, func(n int) { of.c.Send(&wire.CreditT{Id: q.Id, Bytes: uint32(n)}) })
		r.more.Length = q.Length
	}
	if !of.enter(r) {
		cancel(nil)
		of.c.Close(errIDTwice)
		return
	}
	in.open.Add(1)
	of.c.Open(1)
	in.tally.begin(r.kind())
	go func() {
		defer in.open.Add(-1)
		defer of.c.Open(-1)
		defer cancel(nil)
		a := r.serve(ctx)
		in.tally.end(r.kind(), a, r.broken.Load())
		of.mu.Lock()
		delete(of.open, q.Id)
		of.mu.Unlock()
		if a != nil {
			a.Id = q.Id
			of.answer(a)
		}
	}()
}

// serve runs the request and gives its answer; nil: it went out in pieces.
func (r *run) serve(ctx context.Context) *wire.AnswerT {
	in, q := r.in, r.q
	began := time.Now()
	ep := in.line.own.endpoint(q.Server)
	if ep == nil || !ep.Usable() || in.ending.Load() {
		return &wire.AnswerT{Ending: endNotHere}
	}
	if q.Key != "" {
		if a := r.claim(ctx); a != nil {
			return a
		}
		r.held.Store(true)
	}
	left := time.Duration(q.Budget)*time.Microsecond - time.Since(began)
	if left <= 0 {
		return r.settle(hollyspur.Void, nil, ctx)
	}
	ctx, stop := context.WithTimeoutCause(ctx, left, engine.ErrTimedOut)
	defer stop()
	m := &message.Request{Method: q.Method, URL: &url.URL{Opaque: q.Target}, Authority: q.Host, Header: make(map[string][]string, len(q.Fields)),
		Body: q.Body, More: r.more, Runs: message.RunsOften, Note: q}
	if q.Once {
		m.Runs = message.RunsOnce
	}
	for _, f := range q.Fields {
		m.Header[f.Name] = append(m.Header[f.Name], f.Value)
	}
	ended := make(chan struct{})
	var ending hollyspur.Ending
	var reply *message.Reply
	var stream *message.Stream
	passed := make(chan struct{})
	attempt := engine.NewAttempt(ep, m, left, engine.Hooks{
		Finished: func() bool { return ctx.Err() != nil },
		Began: func(x engine.Reply) {
			stream = x.(*message.Stream)
			go func() {
				defer close(passed)
				r.pass(ctx, stream)
			}()
		},
		End: func(e hollyspur.Ending, x engine.Reply) {
			ending = e
			reply, _ = x.(*message.Reply)
			close(ended)
		},
	})
	in.sender.Start(ctx, attempt)
	<-ended
	if stream != nil {
		<-passed
		r.set(unknown, nil)
		return nil
	}
	if ending == hollyspur.Unreachable {
		in.line.own.unreachable(ep)
	}
	if ending == hollyspur.Failure {
		reply = m.Failed()
	}
	return r.settle(ending, reply, ctx)
}

// settle words how the request ended, and notes what became of its key.
func (r *run) settle(ending hollyspur.Ending, reply *message.Reply, ctx context.Context) *wire.AnswerT {
	a := &wire.AnswerT{}
	if reply != nil {
		a.Status, a.Body = uint16(reply.Status), reply.Body
		for _, f := range reply.Header {
			a.Fields = append(a.Fields, &wire.FieldT{Name: f.Name, Value: f.Value})
		}
		a.Length = int64(len(reply.Body))
	}
	switch ending {
	case hollyspur.Success:
		r.set(done, a)
		return a
	case hollyspur.Failure:
		a.Ending = endFailed
		if reply == nil {
			a.Ending = endBroken
			r.set(unknown, nil)
			return a
		}
		r.set(done, a)
		return a
	case hollyspur.Overloaded, hollyspur.Unreachable, hollyspur.Void:
		if a.Ending = endOverloaded; ending != hollyspur.Overloaded {
			a.Ending = endNotHere
		}
		r.release()
		return a
	case hollyspur.TimedOut:
		a.Ending = endTimedOut
	default:
		a.Ending = endBroken
	}
	r.set(unknown, nil)
	return a
}

func (r *run) set(f fate, a *wire.AnswerT) {
	if r.held.Load() {
		r.in.keep.set(r.q.Key, f, a)
	}
}

// pass sends an answer on as it comes.
func (r *run) pass(ctx context.Context, st *message.Stream) {
	defer st.Release()
	head := &wire.AnswerT{Id: r.q.Id, Status: uint16(st.Status), More: true, Length: st.Length}
	for _, f := range st.Header {
		head.Fields = append(head.Fields, &wire.FieldT{Name: f.Name, Value: f.Value})
	}
	r.of.answer(head)
	// The time for an answer is over once it has begun: what comes is passed on for as long as the other side takes it.
	for {
		p, err := st.Next(context.WithoutCancel(ctx))
		if err != nil || p == nil {
			last := &wire.PieceT{Id: r.q.Id, Last: true}
			if err != nil || st.Trailer() == nil {
				last.Broken = true
				r.broken.Store(true)
			}
			r.of.c.Send(last)
			return
		}
		if !r.credit.take(context.Background(), len(p)) { // a caller's end closes the credit
			r.broken.Store(true)
			r.cancel(engine.ErrWithdrawn)
			return
		}
		r.of.c.Send(&wire.PieceT{Id: r.q.Id, Body: p})
	}
}

// serverSpeech is the mesh's words towards its server. It implements sender.Speech.
type serverSpeech struct{}

func (serverSpeech) Head(a *engine.Attempt, h http.Header) {
	m := a.Payload.(*message.Request)
	h["User-Agent"] = m.Header["User-Agent"]
	h[hBudget] = []string{strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10)}
	h[hTarget] = []string{a.Endpoint.ID}
}

// Matches implements sender.Speech. An answer that turns a request away need not say which; a success that names none is no
// answer to any.
func (serverSpeech) Matches(m *message.Request, resp *http.Response) sender.Match {
	switch got := resp.Header.Get(hAttempt); {
	case got == m.Note.(*wire.RequestT).Attempt:
		return sender.OfRequest
	case got == "" && resp.StatusCode/100 != 2:
		return sender.Unnamed
	}
	return sender.OfAnother
}

func (serverSpeech) Ending(resp *http.Response) (hollyspur.Ending, bool) {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return hollyspur.Unreachable, false
	case resp.Header.Get(hNotRun) != "":
		return hollyspur.Overloaded, false
	case resp.StatusCode >= 500:
		return hollyspur.Failure, true
	case resp.StatusCode/100 == 2 && resp.Header.Get(hSeal) == "":
		return hollyspur.Broken, false // no answer of a server's
	}
	return hollyspur.Success, true
}

func (serverSpeech) Word(resp *http.Response) (int, []message.Field, string) {
	h := make([]message.Field, 0, len(resp.Header))
	for name, values := range resp.Header {
		if hops[name] {
			continue
		}
		for _, v := range values {
			h = append(h, message.Field{Name: name, Value: v})
		}
	}
	return resp.StatusCode, h, ""
}

var _ sender.Speech = serverSpeech{}
