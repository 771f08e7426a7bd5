package sidecar

import (
	"context"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// Start implements engine.Sender. The attempt runs on its own goroutine.
func (u *upstreams) Start(ctx context.Context, attempt *engine.Attempt) {
	go func() {
		ending, reply := u.runAttempt(ctx, attempt)
		attempt.Payload.(*message.Request).FrontData.(*routedRequest).lastEnding.Store(uint32(ending))
		if reply == nil { // a nil *message.Reply would make a non-nil interface value
			attempt.End(ending, nil)
			return
		}
		attempt.End(ending, reply)
	}()
}

// runAttempt makes an attempt and waits until it ends. Endings that it returns itself mean that nothing was sent. Once
// the request has been passed to the connection, only a response of the peer can establish that it has not run.
func (u *upstreams) runAttempt(ctx context.Context, attempt *engine.Attempt) (balancer.Ending, *message.Reply) {
	request := attempt.Payload.(*message.Request)
	routed := request.FrontData.(*routedRequest)
	attemptNumber := int(routed.attempts.Load())
	if request.Spent() || !routed.allowsAttempt(attemptNumber) {
		return balancer.NeverSent, nil
	}
	connection := u.get(attempt.Endpoint.Addr)
	conn, err := connection.connect(ctx)
	switch {
	case err != nil && ctx.Err() == nil:
		return balancer.Unreachable, nil
	case err != nil:
		return balancer.NeverSent, nil
	}
	// Checked after the dial, during which the call may have ended or the server may have begun to drain.
	if ending, ok := u.beginAttempt(attempt, routed, attemptNumber); !ok {
		return ending, nil
	}
	if request.BodyRest != nil && !request.Claim() {
		return balancer.NeverSent, nil
	}
	sent := u.newUpstreamAttempt(attempt, routed, conn)
	if !connection.add(sent) {
		return balancer.Unreachable, nil
	}
	defer connection.remove(sent)
	if conn.Send(u.newRequest(attempt, request, sent.id, attemptNumber)) != nil {
		return balancer.Unreachable, nil // nothing was written
	}
	if request.BodyRest != nil {
		go sent.uploadBody(ctx, request)
	}
	return sent.wait(ctx, request, routed)
}

// newUpstreamAttempt returns an attempt with a new stream ID. Its request has not been sent yet.
func (u *upstreams) newUpstreamAttempt(
	attempt *engine.Attempt, routed *routedRequest, conn *transport.Conn,
) *upstreamAttempt {
	created := &upstreamAttempt{
		attempt:   attempt,
		id:        u.lastStreamID.Add(1),
		attemptID: routed.attemptID,
		conn:      conn,
		done:      make(chan struct{}),
		ruleTrace: routed.ruleTrace,
	}
	created.sendWindow.add(sendWindowBytes)
	return created
}

// beginAttempt counts an attempt that is about to be sent; attempts of a request are numbered from 0. ok is false if the
// call has ended, the server accepts no new requests, or the retry budget does not allow the attempt.
func (u *upstreams) beginAttempt(
	attempt *engine.Attempt, routed *routedRequest, attemptNumber int,
) (ending balancer.Ending, ok bool) {
	// The count is incremented before MayWrite: either the goroutine that answers the call sees this attempt in the count,
	// or MayWrite sees that the call has ended.
	routed.attempts.Add(1)
	if ending, ok := attempt.MayWrite(); !ok {
		routed.attempts.Add(-1)
		return ending, false
	}
	if !routed.service.admitAttempt(u.env.clock.Now(), attemptNumber, routed) {
		routed.attempts.Add(-1)
		return balancer.NeverSent, false
	}
	return 0, true
}

// newRequest returns the message of an attempt. Its header is packed if the peer's protocol version supports that.
func (u *upstreams) newRequest(
	attempt *engine.Attempt, request *message.Request, streamID uint64, attemptNumber int,
) *wire.RequestT {
	routed := request.FrontData.(*routedRequest)
	out := &wire.RequestT{
		Id:             streamID,
		AttemptId:      routed.attemptID,
		Method:         request.Method,
		Target:         request.URL.Opaque,
		Host:           request.Authority,
		Body:           request.Body,
		ContentLength:  int64(len(request.Body)),
		TimeoutUs:      attempt.Timeout.Microseconds(),
		ServerId:       attempt.Endpoint.ID,
		IdempotencyKey: routed.key,
		Token:          routed.token,
		Attempt:        uint32(attemptNumber),
		AtMostOnce:     request.Idempotency == message.NotIdempotent,
	}
	if request.BodyRest != nil {
		out.MoreBody = true
		out.ContentLength = request.BodyRest.Length
	}
	peer, _ := u.directory.table.Load().Get(attempt.Endpoint.Addr)
	addHeader := func(name, value string) {
		if peer.ProtocolVersion >= codec.PackedHeaderVersion {
			out.PackedHeader = codec.AppendHeaderField(out.PackedHeader, name, value)
		} else {
			out.HeaderFields = append(out.HeaderFields, &wire.HeaderFieldT{Name: name, Value: value})
		}
	}
	for name, values := range request.Header {
		for _, value := range values {
			addHeader(name, value)
		}
	}
	addHeader(headerCallerService, u.env.settings.Load().Service)
	return out
}
