package sidecar

import (
	"context"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// Start implements engine.Sender.
func (u *upstreams) Start(ctx context.Context, a *engine.Attempt) {
	go func() {
		ending, reply := u.runAttempt(ctx, a)
		a.Payload.(*message.Request).FrontData.(*routedRequest).lastEnding.Store(uint32(ending))
		if reply == nil { // a nil *Reply in the interface would not be nil
			a.End(ending, nil)
			return
		}
		a.End(ending, reply)
	}()
}

// runAttempt makes an attempt and waits until it ends.
func (u *upstreams) runAttempt(ctx context.Context, a *engine.Attempt) (balancer.Ending, *message.Reply) {
	m := a.Payload.(*message.Request)
	routed := m.FrontData.(*routedRequest)
	if m.Spent() {
		return balancer.NeverSent, nil
	}
	nth := int(routed.attempts.Load())
	if !routed.allowsAttempt(nth) {
		return balancer.NeverSent, nil
	}
	x := u.get(a.Endpoint.Addr)
	conn, err := x.connect(ctx)
	switch {
	case err != nil && ctx.Err() == nil:
		return balancer.Unreachable, nil
	case err != nil:
		return balancer.NeverSent, nil
	}
	if ending, ok := u.beginAttempt(a, routed, nth); !ok {
		return ending, nil
	}
	if m.BodyRest != nil && !m.Claim() {
		return balancer.NeverSent, nil
	}
	sent := &upstreamAttempt{
		attempt:   a,
		id:        u.lastStreamID.Add(1),
		attemptID: routed.attemptID,
		conn:      conn,
		done:      make(chan struct{}),
		ruleTrace: routed.ruleTrace,
	}
	sent.sendWindow.add(sendWindowBytes)
	if !x.add(sent) {
		return balancer.Unreachable, nil
	}
	defer x.remove(sent)
	if conn.Send(u.newRequest(a, m, routed, sent.id, uint32(nth))) != nil {
		return balancer.Unreachable, nil // nothing was written
	}
	if m.BodyRest != nil {
		go sent.uploadBody(ctx, m)
	}
	return sent.wait(ctx, m, routed)
}

// beginAttempt counts an attempt. ok is false if its call has ended or the retry budget does not allow it.
func (u *upstreams) beginAttempt(a *engine.Attempt, routed *routedRequest, nth int) (ending balancer.Ending, ok bool) {
	// The count is raised before Begin, so that either whoever answers the call sees the attempt, or Begin sees that the call has ended.
	routed.attempts.Add(1)
	if ending, ok := a.Begin(); !ok {
		routed.attempts.Add(-1)
		return ending, false
	}
	if !routed.service.admitAttempt(u.env.clock.Now(), nth, routed) {
		routed.attempts.Add(-1)
		return balancer.NeverSent, false
	}
	return 0, true
}

// wait waits until the attempt ends by its response or ctx ends.
func (a *upstreamAttempt) wait(ctx context.Context, m *message.Request, routed *routedRequest) (balancer.Ending, *message.Reply) {
	select {
	case <-a.done:
	case <-ctx.Done():
		if m.Idempotency != message.NotIdempotent || m.BodyRest != nil { // otherwise it goes on, and its response is stored for a repeated request
			_ = a.conn.Send(&wire.CancelT{Id: a.id})
		}
		a.finish(engine.EndingOf(ctx), nil)
	}
	if a.keyNotGranted {
		routed.keyNotGranted.Store(true)
		return balancer.NeverSent, nil
	}
	if a.ending == balancer.Failure && a.reply != nil {
		m.Fail(a.reply)
		return a.ending, nil
	}
	return a.ending, a.reply
}

// newRequest returns the message of an attempt.
func (u *upstreams) newRequest(a *engine.Attempt, m *message.Request, routed *routedRequest, id uint64, nth uint32) *wire.RequestT {
	r := &wire.RequestT{
		Id:             id,
		AttemptId:      routed.attemptID,
		Method:         m.Method,
		Target:         m.URL.Opaque,
		Host:           m.Authority,
		Body:           m.Body,
		ContentLength:  int64(len(m.Body)),
		TimeoutUs:      int64(a.Timeout / time.Microsecond),
		ServerId:       a.Endpoint.ID,
		IdempotencyKey: routed.key,
		Token:          routed.token,
		Attempt:        nth,
		AtMostOnce:     m.Idempotency == message.NotIdempotent,
	}
	if m.BodyRest != nil {
		r.MoreBody = true
		r.ContentLength = m.BodyRest.Length
	}
	far, _ := u.directory.table.Load().Get(a.Endpoint.Addr)
	add := func(name, value string) {
		if far.ProtocolVersion >= codec.PackedHeaderVersion {
			r.PackedHeader = codec.AppendHeaderField(r.PackedHeader, name, value)
		} else {
			r.HeaderFields = append(r.HeaderFields, &wire.HeaderFieldT{Name: name, Value: value})
		}
	}
	for name, values := range m.Header {
		for _, v := range values {
			add(name, v)
		}
	}
	add(headerCallerService, u.env.settings.Load().Service)
	return r
}
