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

// inboundRequest is a request of another sidecar that runs at the local server. Its goroutine is that of run. The
// goroutine that receives from the connection pushes its body, enlarges its send window and cancels it.
type inboundRequest struct {
	inbound    *inboundServer
	conn       *inboundConn
	request    *wire.RequestT
	cancel     context.CancelCauseFunc
	sendWindow flowWindow
	body       *message.Stream // of a streamed request; nil if the body came with the request
	holdsLease atomic.Bool     // this request holds the lease of its key
	streaming  atomic.Bool     // the response is streamed
	truncated  atomic.Bool     // the streamed response ended before it was complete
}

// beginRequest starts a request on its own goroutine. If the stream ID is in use, it closes the connection.
func (s *inboundServer) beginRequest(conn *inboundConn, request *wire.RequestT) {
	r := &inboundRequest{
		inbound: s,
		conn:    conn,
		request: request,
	}
	r.sendWindow.add(sendWindowBytes)
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	fields, err := codec.UnpackHeader(request.PackedHeader)
	if err != nil { // the peer sent a malformed header; nothing has run
		conn.sendResponse(&wire.ResponseT{Id: request.Id, Ending: codeNotAccepted})
		return
	}
	request.HeaderFields = append(request.HeaderFields, fields...)
	if request.MoreBody {
		r.body = r.newBody()
	}
	if !conn.add(r) {
		cancel(nil)
		conn.conn.Close(errStreamIDInUse)
		return
	}
	s.openRequests.Add(1)
	conn.conn.AddPending(1)
	s.metrics.begin(r.kind())
	go r.run(ctx)
}

// newBody returns a stream for the request's body, which sends window updates to the peer as it is read.
func (r *inboundRequest) newBody() *message.Stream {
	body := message.NewStream(nil, func(n int) {
		_ = r.conn.conn.Send(&wire.WindowUpdateT{Id: r.request.Id, Increment: uint32(n)})
	})
	body.Length = r.request.ContentLength
	return body
}

// run serves the request and sends the response, unless serve has already streamed it.
func (r *inboundRequest) run(ctx context.Context) {
	server, conn := r.inbound, r.conn
	defer server.openRequests.Add(-1)
	defer conn.conn.AddPending(-1)
	defer r.cancel(nil)
	response := r.serve(ctx)
	server.metrics.end(r.kind(), response, r.truncated.Load())
	conn.remove(r.request.Id)
	if response != nil {
		response.Id = r.request.Id
		conn.sendResponse(response)
	}
}

// kind returns the kind of the request by how often it may run.
func (r *inboundRequest) kind() requestKind {
	switch {
	case r.request.IdempotencyKey != "":
		return kindKeyed
	case r.request.AtMostOnce:
		return kindNonIdempotent
	}
	return kindIdempotent
}

// timeout returns the time that was left for the request when the caller's sidecar sent it.
func (r *inboundRequest) timeout() time.Duration {
	return time.Duration(r.request.TimeoutUs) * time.Microsecond
}

// serve runs the request and returns its response. It returns nil if the response was streamed.
//
// The order of the steps ensures that a rejected request has not run. First serve checks that the requested instance is
// the local server and accepts requests. Then it requests the key's lease, before any byte is sent to the server.
// Immediately before writing, the sender checks again whether the server accepts requests and whether there is time
// left (engine.Attempt.MayWrite).
func (r *inboundRequest) serve(ctx context.Context) *wire.ResponseT {
	deadline := time.Now().Add(r.timeout())
	endpoint := r.inbound.localServer.endpointOf(r.request.ServerId)
	if endpoint == nil || !endpoint.Usable() || r.inbound.draining.Load() {
		return &wire.ResponseT{Ending: codeNotAccepted}
	}
	if r.request.IdempotencyKey != "" {
		if response := r.claimKey(ctx); response != nil {
			return response
		}
		r.holdsLease.Store(true)
	}
	if time.Until(deadline) <= 0 { // the lease request used up the time
		return r.conclude(balancer.NeverSent, nil)
	}
	return r.forward(ctx, endpoint, deadline)
}

// newMessage converts the request to the form that the sender uses.
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
	for _, field := range request.HeaderFields {
		m.Header[field.Name] = append(m.Header[field.Name], field.Value)
	}
	return m
}

// serverAttempt is the single attempt of an inbound request at the local server, as the sender's hooks report it. The
// sender calls ResponseStarted, if at all, before End. Fields other than the channels may be read once ended is closed.
type serverAttempt struct {
	ended    chan struct{} // closed by End
	streamed chan struct{} // closed when a streamed response has been forwarded, or has failed
	stream   *message.Stream
	ending   balancer.Ending
	reply    *message.Reply
}

// forward makes one attempt at the server. It returns the response, or streams it and returns nil. ctx ends when the
// request is cancelled.
func (r *inboundRequest) forward(ctx context.Context, endpoint *engine.Endpoint, deadline time.Time) *wire.ResponseT {
	sent := r.newMessage()
	attempt := &serverAttempt{ended: make(chan struct{}), streamed: make(chan struct{})}
	attemptCtx, stop := context.WithDeadlineCause(ctx, deadline, engine.ErrTimedOut)
	defer stop()
	hooks := r.attemptHooks(ctx, attempt, deadline)
	r.inbound.sender.Start(attemptCtx, engine.NewAttempt(endpoint, sent, time.Until(deadline), hooks))
	<-attempt.ended
	if attempt.stream != nil {
		<-attempt.streamed
		r.recordOutcome(keyOutcomeUnknown, nil) // a streamed response is not stored
		return nil
	}
	reply := attempt.reply
	if attempt.ending == balancer.Unreachable {
		r.inbound.localServer.checkReachable(endpoint) //nolint:contextcheck // the check outlasts the request
	}
	if attempt.ending == balancer.Failure {
		reply = sent.Failed()
	}
	return r.conclude(attempt.ending, reply)
}

// attemptHooks returns the hooks through which the sender reports the attempt. ctx ends when the request is cancelled.
func (r *inboundRequest) attemptHooks(ctx context.Context, attempt *serverAttempt, deadline time.Time) engine.Hooks {
	return engine.Hooks{
		// Checks the clock as well as ctx, because after the process was suspended, this may run before the timer of
		// ctx.
		Finished: func() bool { return ctx.Err() != nil || time.Until(deadline) <= 0 },
		ResponseStarted: func(reply engine.Reply) {
			attempt.stream = reply.(*message.Stream)
			go func() {
				defer close(attempt.streamed)
				r.streamResponse(ctx, attempt.stream)
			}()
		},
		End: func(ending balancer.Ending, reply engine.Reply) {
			attempt.ending = ending
			attempt.reply, _ = reply.(*message.Reply)
			close(attempt.ended)
		},
	}
}

// conclude returns the response for an attempt's ending, and records the outcome for the key. The key's lease is
// released only if the ending proves that the server has not run the request.
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
		r.releaseHeldLease()
		return response
	case balancer.Unreachable, balancer.NeverSent:
		response.Ending = codeNotAccepted
		r.releaseHeldLease()
		return response
	case balancer.TimedOut:
		response.Ending = codeTimedOut
	default:
		response.Ending = codeBroken
	}
	r.recordOutcome(keyOutcomeUnknown, nil)
	return response
}

// newResponse converts a server's reply to a response. For a nil reply, the response is empty.
func newResponse(reply *message.Reply) *wire.ResponseT {
	if reply == nil {
		return &wire.ResponseT{}
	}
	return &wire.ResponseT{
		Status:        uint16(reply.Status),
		HeaderFields:  wireFields(reply.Header),
		Body:          reply.Body,
		ContentLength: int64(len(reply.Body)),
	}
}

// recordOutcome records how the request ended, if it holds the lease of its key.
func (r *inboundRequest) recordOutcome(state keyState, response *wire.ResponseT) {
	if r.holdsLease.Load() {
		r.inbound.responses.finish(r.request.IdempotencyKey, r.request.Token, state, response)
	}
}

// streamResponse forwards a response as it arrives. It ends when the response is complete, when the peer cancels the
// request, which ends ctx, or when the connection ends, which closes the send window. The request's deadline applies
// only until the response has begun, so it does not end the stream.
func (r *inboundRequest) streamResponse(ctx context.Context, stream *message.Stream) {
	defer stream.Release()
	r.streaming.Store(true)
	if r.sendWindow.isClosed() { // connClosed may have run before streaming was set, and so not have cancelled the request
		r.cancel(engine.ErrWithdrawn)
	}
	r.conn.sendResponse(&wire.ResponseT{
		Id:            r.request.Id,
		Status:        uint16(stream.Status),
		HeaderFields:  wireFields(stream.Header),
		MoreBody:      true,
		ContentLength: stream.Length,
	})
	for {
		chunk, err := stream.Next(ctx)
		if err != nil || chunk == nil {
			r.finishStream(err != nil || !stream.IsComplete())
			return
		}
		if !r.sendWindow.acquire(ctx, len(chunk)) {
			r.truncated.Store(true)
			r.cancel(engine.ErrWithdrawn)
			return
		}
		_ = r.conn.conn.Send(&wire.BodyChunkT{Id: r.request.Id, Data: chunk})
	}
}

// finishStream marks the end of a streamed response to the peer, and records whether it was truncated.
func (r *inboundRequest) finishStream(truncated bool) {
	if truncated {
		r.truncated.Store(true)
	}
	_ = r.conn.conn.Send(&wire.BodyChunkT{
		Id:      r.request.Id,
		Last:    true,
		Aborted: truncated,
	})
}
