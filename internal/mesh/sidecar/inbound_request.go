package sidecar

import (
	"context"
	"net/url"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// inboundRequest is a request at this line's server.
type inboundRequest struct {
	inbound    *inboundServer
	conn       *inboundConn
	request    *wire.RequestT
	cancel     context.CancelCauseFunc
	sendWindow flowWindow
	body       *message.Stream // of a long request
	ownsKey    atomic.Bool     // its key is claimed here
	truncated  atomic.Bool     // its answer went out in pieces, and did not come whole
}

// beginRequest has a request run. It returns at once.
func (in *inboundServer) beginRequest(of *inboundConn, q *wire.RequestT) {
	r := &inboundRequest{inbound: in, conn: of, request: q}
	r.sendWindow.add(sendWindowBytes)
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	fields, err := codec.UnpackHeader(q.PackedHeader)
	if err != nil { // a fault of the other side's; nothing of it has run
		of.sendAnswer(&wire.ResponseT{Id: q.Id, Ending: codeNotAccepted})
		return
	}
	q.HeaderFields = append(q.HeaderFields, fields...)
	if q.MoreBody {
		r.body = message.NewStream(nil, func(n int) { of.conn.Send(&wire.WindowUpdateT{Id: q.Id, Increment: uint32(n)}) })
		r.body.Length = q.ContentLength
	}
	if !of.add(r) {
		cancel(nil)
		of.conn.Close(errStreamIDInUse)
		return
	}
	in.openRequests.Add(1)
	of.conn.AddPending(1)
	in.metrics.begin(r.kind())
	go func() {
		defer in.openRequests.Add(-1)
		defer of.conn.AddPending(-1)
		defer cancel(nil)
		a := r.serve(ctx)
		in.metrics.end(r.kind(), a, r.truncated.Load())
		of.mu.Lock()
		delete(of.requests, q.Id)
		of.mu.Unlock()
		if a != nil {
			a.Id = q.Id
			of.sendAnswer(a)
		}
	}()
}

// serve runs the request and gives its answer; nil: it went out in pieces.
func (r *inboundRequest) serve(ctx context.Context) *wire.ResponseT {
	until := time.Now().Add(time.Duration(r.request.TimeoutUs) * time.Microsecond)
	ep := r.inbound.sidecar.localServer.endpointOf(r.request.ServerId)
	if ep == nil || !ep.Usable() || r.inbound.draining.Load() {
		return &wire.ResponseT{Ending: codeNotAccepted}
	}
	if r.request.IdempotencyKey != "" {
		if a := r.claimKey(ctx); a != nil {
			return a
		}
		r.ownsKey.Store(true)
	}
	if time.Until(until) <= 0 {
		return r.conclude(balancer.Void, nil)
	}
	ctx, stop := context.WithDeadlineCause(ctx, until, engine.ErrTimedOut)
	defer stop()
	return r.forward(ctx, ep, until)
}

// newMessage is the request as the sender takes it.
func (r *inboundRequest) newMessage() *message.Request {
	q := r.request
	m := &message.Request{Method: q.Method, URL: &url.URL{Opaque: q.Target}, Authority: q.Host, Header: make(map[string][]string, len(q.HeaderFields)),
		Body: q.Body, More: r.body, Runs: message.RunsOften, Note: q}
	if q.AtMostOnce {
		m.Runs = message.RunsOnce
	}
	for _, f := range q.HeaderFields {
		m.Header[f.Name] = append(m.Header[f.Name], f.Value)
	}
	return m
}

// forward makes the one attempt at the server, and passes on or gives its answer.
func (r *inboundRequest) forward(ctx context.Context, ep *engine.Endpoint, until time.Time) *wire.ResponseT {
	m := r.newMessage()
	ended, passed := make(chan struct{}), make(chan struct{})
	var ending balancer.Ending
	var reply *message.Reply
	var stream *message.Stream
	r.inbound.sender.Start(ctx, engine.NewAttempt(ep, m, time.Until(until), engine.Hooks{
		// By the clock, too: a process that stood still may go on before its timers do.
		Finished: func() bool { return ctx.Err() != nil || time.Until(until) <= 0 },
		Began: func(x engine.Reply) {
			stream = x.(*message.Stream)
			go func() {
				defer close(passed)
				r.streamAnswer(ctx, stream)
			}()
		},
		End: func(e balancer.Ending, x engine.Reply) {
			ending = e
			reply, _ = x.(*message.Reply)
			close(ended)
		},
	}))
	<-ended
	if stream != nil {
		<-passed
		r.recordOutcome(keyOutcomeUnknown, nil)
		return nil
	}
	if ending == balancer.Unreachable {
		r.inbound.sidecar.localServer.checkUnreachable(ep)
	}
	if ending == balancer.Failure {
		reply = m.Failed()
	}
	return r.conclude(ending, reply)
}

// conclude words how the request ended, and notes what became of its key.
func (r *inboundRequest) conclude(ending balancer.Ending, reply *message.Reply) *wire.ResponseT {
	a := &wire.ResponseT{}
	if reply != nil {
		a.Status, a.Body = uint16(reply.Status), reply.Body
		for _, f := range reply.Header {
			a.HeaderFields = append(a.HeaderFields, &wire.HeaderFieldT{Name: f.Name, Value: f.Value})
		}
		a.ContentLength = int64(len(reply.Body))
	}
	switch ending {
	case balancer.Success:
		r.recordOutcome(keyAnswered, a)
		return a
	case balancer.Failure:
		a.Ending = codeServerFailed
		if reply == nil {
			a.Ending = codeBroken
			r.recordOutcome(keyOutcomeUnknown, nil)
			return a
		}
		r.recordOutcome(keyAnswered, a)
		return a
	case balancer.Overloaded, balancer.Unreachable, balancer.Void:
		if a.Ending = codeOverloaded; ending != balancer.Overloaded {
			a.Ending = codeNotAccepted
		}
		r.releaseOwnedKey()
		return a
	case balancer.TimedOut:
		a.Ending = codeTimedOut
	default:
		a.Ending = codeBroken
	}
	r.recordOutcome(keyOutcomeUnknown, nil)
	return a
}

func (r *inboundRequest) recordOutcome(f keyState, a *wire.ResponseT) {
	if r.ownsKey.Load() {
		r.inbound.responses.finish(r.request.IdempotencyKey, r.request.Token, f, a)
	}
}

// streamAnswer sends an answer on as it comes.
func (r *inboundRequest) streamAnswer(ctx context.Context, st *message.Stream) {
	defer st.Release()
	head := &wire.ResponseT{Id: r.request.Id, Status: uint16(st.Status), MoreBody: true, ContentLength: st.Length}
	for _, f := range st.Header {
		head.HeaderFields = append(head.HeaderFields, &wire.HeaderFieldT{Name: f.Name, Value: f.Value})
	}
	r.conn.sendAnswer(head)
	// The time for an answer is over once it has begun: what comes is passed on for as long as the other side takes it.
	for {
		p, err := st.Next(context.WithoutCancel(ctx))
		if err != nil || p == nil {
			last := &wire.BodyChunkT{Id: r.request.Id, Last: true}
			if err != nil || st.Trailer() == nil {
				last.Aborted = true
				r.truncated.Store(true)
			}
			r.conn.conn.Send(last)
			return
		}
		if !r.sendWindow.acquire(context.Background(), len(p)) { // a caller's end closes the credit
			r.truncated.Store(true)
			r.cancel(engine.ErrWithdrawn)
			return
		}
		r.conn.conn.Send(&wire.BodyChunkT{Id: r.request.Id, Data: p})
	}
}
