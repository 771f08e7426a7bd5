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

// inboundRequest is a request of another sidecar that runs at the local server. It has a goroutine of its own.
type inboundRequest struct {
	inbound    *inboundServer
	conn       *inboundConn
	request    *wire.RequestT
	cancel     context.CancelCauseFunc
	sendWindow flowWindow
	body       *message.Stream // of a streamed request; nil: the body came with it
	ownsKey    atomic.Bool     // the key's lease is this request's
	truncated  atomic.Bool     // its streamed response was not completed
}

// beginRequest starts a request on its own goroutine.
func (in *inboundServer) beginRequest(conn *inboundConn, request *wire.RequestT) {
	r := &inboundRequest{inbound: in, conn: conn, request: request}
	r.sendWindow.add(sendWindowBytes)
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	fields, err := codec.UnpackHeader(request.PackedHeader)
	if err != nil { // a fault of the peer; nothing has run
		conn.sendResponse(&wire.ResponseT{Id: request.Id, Ending: codeNotAccepted})
		return
	}
	request.HeaderFields = append(request.HeaderFields, fields...)
	if request.MoreBody {
		r.body = message.NewStream(nil, func(n int) {
			_ = conn.conn.Send(&wire.WindowUpdateT{Id: request.Id, Increment: uint32(n)})
		})
		r.body.Length = request.ContentLength
	}
	if !conn.add(r) {
		cancel(nil)
		conn.conn.Close(errStreamIDInUse)
		return
	}
	in.openRequests.Add(1)
	conn.conn.AddPending(1)
	in.metrics.begin(r.kind())
	go r.run(ctx)
}

// run serves the request, and sends its response unless it was streamed.
func (r *inboundRequest) run(ctx context.Context) {
	in, conn := r.inbound, r.conn
	defer in.openRequests.Add(-1)
	defer conn.conn.AddPending(-1)
	defer r.cancel(nil)
	response := r.serve(ctx)
	in.metrics.end(r.kind(), response, r.truncated.Load())
	conn.remove(r.request.Id)
	if response != nil {
		response.Id = r.request.Id
		conn.sendResponse(response)
	}
}

func (r *inboundRequest) kind() requestKind {
	switch {
	case r.request.IdempotencyKey != "":
		return kindKeyed
	case r.request.AtMostOnce:
		return kindNonIdempotent
	}
	return kindIdempotent
}

// serve runs the request and returns its response; nil: it was streamed.
func (r *inboundRequest) serve(ctx context.Context) *wire.ResponseT {
	until := time.Now().Add(time.Duration(r.request.TimeoutUs) * time.Microsecond)
	endpoint := r.inbound.localServer.endpointOf(r.request.ServerId)
	if endpoint == nil || !endpoint.Usable() || r.inbound.draining.Load() {
		return &wire.ResponseT{Ending: codeNotAccepted}
	}
	if r.request.IdempotencyKey != "" {
		if response := r.claimKey(ctx); response != nil {
			return response
		}
		r.ownsKey.Store(true)
	}
	if time.Until(until) <= 0 {
		return r.conclude(balancer.NeverSent, nil)
	}
	ctx, stop := context.WithDeadlineCause(ctx, until, engine.ErrTimedOut)
	defer stop()
	return r.forward(ctx, endpoint, until)
}

// newMessage returns the request in the form that the sender uses.
func (r *inboundRequest) newMessage() *message.Request {
	request := r.request
	m := &message.Request{
		Method:      request.Method,
		URL:         &url.URL{Opaque: request.Target},
		Authority:   request.Host,
		Header:      make(map[string][]string, len(request.HeaderFields)),
		Body:        request.Body,
		BodyRest:    r.body,
		Idempotency: message.Idempotent,
		FrontData:   request,
	}
	if request.AtMostOnce {
		m.Idempotency = message.NotIdempotent
	}
	for _, f := range request.HeaderFields {
		m.Header[f.Name] = append(m.Header[f.Name], f.Value)
	}
	return m
}

// forward sends the request to the server once. It returns the response, or streams it and returns nil.
func (r *inboundRequest) forward(ctx context.Context, endpoint *engine.Endpoint, until time.Time) *wire.ResponseT {
	m := r.newMessage()
	ended, streamed := make(chan struct{}), make(chan struct{})
	var ending balancer.Ending
	var reply *message.Reply
	var stream *message.Stream
	r.inbound.sender.Start(ctx, engine.NewAttempt(endpoint, m, time.Until(until), engine.Hooks{
		// The clock counts as well as ctx: after a process was suspended, this may run before the timer of ctx.
		Finished: func() bool { return ctx.Err() != nil || time.Until(until) <= 0 },
		Began: func(x engine.Reply) {
			stream = x.(*message.Stream)
			go func() {
				defer close(streamed)
				r.streamResponse(ctx, stream)
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
		<-streamed
		r.recordOutcome(keyOutcomeUnknown, nil)
		return nil
	}
	if ending == balancer.Unreachable {
		r.inbound.localServer.checkUnreachable(endpoint) //nolint:contextcheck // it outlasts the request
	}
	if ending == balancer.Failure {
		reply = m.Failed()
	}
	return r.conclude(ending, reply)
}

// conclude returns the response for how the attempt ended, and records the outcome of the key's request.
func (r *inboundRequest) conclude(ending balancer.Ending, reply *message.Reply) *wire.ResponseT {
	response := newResponse(reply)
	switch ending {
	case balancer.Success:
		r.recordOutcome(keyAnswered, response)
		return response
	case balancer.Failure:
		if reply == nil {
			response.Ending = codeBroken
			break
		}
		response.Ending = codeServerFailed
		r.recordOutcome(keyAnswered, response)
		return response
	case balancer.Overloaded:
		response.Ending = codeOverloaded
		r.releaseOwnedKey()
		return response
	case balancer.Unreachable, balancer.NeverSent:
		response.Ending = codeNotAccepted
		r.releaseOwnedKey()
		return response
	case balancer.TimedOut:
		response.Ending = codeTimedOut
	default:
		response.Ending = codeBroken
	}
	r.recordOutcome(keyOutcomeUnknown, nil)
	return response
}

// newResponse returns a server's reply as a response, which is empty for a nil reply.
func newResponse(reply *message.Reply) *wire.ResponseT {
	if reply == nil {
		return &wire.ResponseT{}
	}
	response := &wire.ResponseT{Status: uint16(reply.Status), Body: reply.Body, ContentLength: int64(len(reply.Body))}
	response.HeaderFields = wireFields(reply.Header)
	return response
}

func (r *inboundRequest) recordOutcome(state keyState, response *wire.ResponseT) {
	if r.ownsKey.Load() {
		r.inbound.responses.finish(r.request.IdempotencyKey, r.request.Token, state, response)
	}
}

// streamResponse forwards a response while it arrives.
func (r *inboundRequest) streamResponse(ctx context.Context, stream *message.Stream) {
	defer stream.Release()
	head := &wire.ResponseT{
		Id:            r.request.Id,
		Status:        uint16(stream.Status),
		MoreBody:      true,
		ContentLength: stream.Length,
	}
	head.HeaderFields = wireFields(stream.Header)
	r.conn.sendResponse(head)
	// The deadline only applies until a response has begun. After that it is forwarded for as long as the peer reads it.
	unbounded := context.WithoutCancel(ctx)
	for {
		piece, err := stream.Next(unbounded)
		if err != nil || piece == nil {
			last := &wire.BodyChunkT{Id: r.request.Id, Last: true}
			if err != nil || stream.Trailer() == nil {
				last.Aborted = true
				r.truncated.Store(true)
			}
			_ = r.conn.conn.Send(last)
			return
		}
		if !r.sendWindow.acquire(unbounded, len(piece)) { // the connection's end closes the window
			r.truncated.Store(true)
			r.cancel(engine.ErrWithdrawn)
			return
		}
		_ = r.conn.conn.Send(&wire.BodyChunkT{Id: r.request.Id, Data: piece})
	}
}
