package line

import (
	"context"
	"net/url"
	"sync/atomic"
	"time"

	"hollyspur"
	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/message"
)

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
	until := time.Now().Add(time.Duration(r.q.Budget) * time.Microsecond)
	ep := r.in.line.own.endpoint(r.q.Server)
	if ep == nil || !ep.Usable() || r.in.ending.Load() {
		return &wire.AnswerT{Ending: endNotHere}
	}
	if r.q.Key != "" {
		if a := r.claim(ctx); a != nil {
			return a
		}
		r.held.Store(true)
	}
	if time.Until(until) <= 0 {
		return r.settle(hollyspur.Void, nil)
	}
	ctx, stop := context.WithDeadlineCause(ctx, until, engine.ErrTimedOut)
	defer stop()
	return r.send(ctx, ep, until)
}

// message is the request as the sender takes it.
func (r *run) message() *message.Request {
	q := r.q
	m := &message.Request{Method: q.Method, URL: &url.URL{Opaque: q.Target}, Authority: q.Host, Header: make(map[string][]string, len(q.Fields)),
		Body: q.Body, More: r.more, Runs: message.RunsOften, Note: q}
	if q.Once {
		m.Runs = message.RunsOnce
	}
	for _, f := range q.Fields {
		m.Header[f.Name] = append(m.Header[f.Name], f.Value)
	}
	return m
}

// send makes the one attempt at the server, and passes on or gives its answer.
func (r *run) send(ctx context.Context, ep *engine.Endpoint, until time.Time) *wire.AnswerT {
	m := r.message()
	ended, passed := make(chan struct{}), make(chan struct{})
	var ending hollyspur.Ending
	var reply *message.Reply
	var stream *message.Stream
	r.in.sender.Start(ctx, engine.NewAttempt(ep, m, time.Until(until), engine.Hooks{
		// By the clock, too: a process that stood still may go on before its timers do.
		Finished: func() bool { return ctx.Err() != nil || time.Until(until) <= 0 },
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
	}))
	<-ended
	if stream != nil {
		<-passed
		r.set(unknown, nil)
		return nil
	}
	if ending == hollyspur.Unreachable {
		r.in.line.own.unreachable(ep)
	}
	if ending == hollyspur.Failure {
		reply = m.Failed()
	}
	return r.settle(ending, reply)
}

// settle words how the request ended, and notes what became of its key.
func (r *run) settle(ending hollyspur.Ending, reply *message.Reply) *wire.AnswerT {
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
		r.in.keep.end(r.q.Key, r.q.Ticket, f, a)
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
