package sidecar

import (
	"context"
	"sync"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// Endings as an Answer on a cord words them.
const (
	codeAnswered      byte = iota // status and body are the server's, or what is answered in its place
	codeServerFailed              // the same, and the server failed
	codeOverloaded                // the server turned it away: it has not run
	codeNotAccepted               // the line turned it away: it has not run
	codeBroken                    // it may have run
	codeTimedOut                  // it may have run
	codeKeyNotGranted             // the registers could not grant its key: it has not run, and no other server would do better
)

// upstreamAttempt is an attempt on a cord.
type upstreamAttempt struct {
	attempt    *engine.Attempt
	id         uint64
	attemptID  string // the request's Attempt-Id: an answer that has another is not its own
	conn       *transport.Conn
	sendWindow flowWindow    // for the request's body
	done       chan struct{} // closed with the attempt's end
	ruleTrace  string        // what an answer in pieces is given besides

	mu            sync.Mutex      // guards below: the cord's reader and the attempt's own time may both end it
	stream        *message.Stream // of an answer that comes in pieces
	finished      bool
	keyNotGranted bool // no register granted the key
	ending        balancer.Ending
	reply         *message.Reply
}

// Start implements engine.Sender.
func (s *upstreams) Start(ctx context.Context, a *engine.Attempt) {
	go func() {
		ending, reply := s.runAttempt(ctx, a)
		a.Payload.(*message.Request).Note.(*routedRequest).lastEnding.Store(uint32(ending))
		if reply == nil { // a nil *Reply in the interface would not be nil
			a.End(ending, nil)
			return
		}
		a.End(ending, reply)
	}()
}

func (s *upstreams) runAttempt(ctx context.Context, a *engine.Attempt) (balancer.Ending, *message.Reply) {
	m := a.Payload.(*message.Request)
	o := m.Note.(*routedRequest)
	if m.Spent() {
		return balancer.Void, nil
	}
	nth := int(o.attempts.Load())
	if nth >= o.maxAttempts() || o.keyNotGranted.Load() || nth > 0 && !o.mayRetry() {
		return balancer.Void, nil
	}
	x := s.get(a.Endpoint.Addr)
	c, err := x.connect(ctx)
	switch {
	case err != nil && ctx.Err() == nil:
		return balancer.Unreachable, nil
	case err != nil:
		return balancer.Void, nil
	}
	// Counted first: whoever answers in its place, as never run, finds the count, or this finds the call finished.
	o.attempts.Add(1)
	if ending, ok := a.Begin(); !ok {
		o.attempts.Add(-1)
		return ending, nil
	}
	if !o.service.admitAttempt(s.sidecar.clock.Now(), nth, o) {
		o.attempts.Add(-1)
		return balancer.Void, nil
	}
	if m.More != nil && !m.Claim() {
		return balancer.Void, nil
	}
	p := &upstreamAttempt{attempt: a, id: s.lastStreamID.Add(1), attemptID: o.attemptID, conn: c, done: make(chan struct{}), ruleTrace: o.ruleTrace}
	p.sendWindow.add(sendWindowBytes)
	if !x.add(p) {
		return balancer.Unreachable, nil
	}
	defer x.remove(p)
	if c.Send(s.newRequest(a, m, o, p.id, uint32(nth))) != nil {
		return balancer.Unreachable, nil // nothing of it was written
	}
	if m.More != nil {
		go p.uploadBody(ctx, m)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		if m.Runs != message.RunsOnce || m.More != nil { // else it goes on, and its answer is kept for a repeat
			c.Send(&wire.CancelT{Id: p.id})
		}
		p.finish(engine.EndingOf(ctx), nil)
	}
	if p.keyNotGranted {
		o.keyNotGranted.Store(true)
		return balancer.Void, nil
	}
	if p.ending == balancer.Failure && p.reply != nil {
		m.Fail(p.reply)
		return p.ending, nil
	}
	return p.ending, p.reply
}

// newRequest words an attempt.
func (s *upstreams) newRequest(a *engine.Attempt, m *message.Request, o *routedRequest, id uint64, nth uint32) *wire.RequestT {
	r := &wire.RequestT{Id: id, AttemptId: o.attemptID, Method: m.Method, Target: m.URL.Opaque, Host: m.Authority, Body: m.Body,
		ContentLength: int64(len(m.Body)), TimeoutUs: int64(a.Timeout / time.Microsecond), ServerId: a.Endpoint.ID, IdempotencyKey: o.key, Token: o.token, Attempt: nth}
	if m.More != nil {
		r.MoreBody, r.ContentLength = true, m.More.Length
	}
	far, _ := s.sidecar.directory.Load().Get(a.Endpoint.Addr)
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
	add(headerCallerService, s.sidecar.settings.Load().Service)
	if m.Runs == message.RunsOnce {
		r.AtMostOnce = true
	}
	return r
}

// finish ends the attempt, once.
func (p *upstreamAttempt) finish(ending balancer.Ending, reply *message.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	if p.stream != nil {
		if ending == balancer.Success {
			p.stream.Finish([]message.Field{})
		} else {
			p.stream.Finish(nil)
		}
	}
	p.ending, p.reply = ending, reply
	p.sendWindow.close()
	close(p.done)
}

// beginStream has an answer come in pieces, unless the attempt has ended meanwhile: its end comes after its beginning. One that
// begins twice is broken.
func (p *upstreamAttempt) beginStream(v *wire.ResponseT) {
	taken := 0
	fields := messageFields(v.HeaderFields)
	if p.ruleTrace != "" {
		fields = append(fields, message.Field{Name: headerRuleTrace, Value: p.ruleTrace})
	}
	st := message.NewStream(fields, func(n int) {
		if taken += n; taken >= windowUpdateBytes {
			p.conn.Send(&wire.WindowUpdateT{Id: p.id, Increment: uint32(taken)})
			taken = 0
		}
	})
	st.Status, st.Length = int(v.Status), v.ContentLength
	p.mu.Lock()
	if p.finished {
		p.mu.Unlock()
		p.conn.Send(&wire.CancelT{Id: p.id})
		return
	}
	if p.stream != nil {
		p.mu.Unlock()
		p.finish(balancer.Broken, nil)
		return
	}
	defer p.mu.Unlock()
	p.stream = st
	p.attempt.Began(st)
}

var endingsByCode = map[byte]balancer.Ending{codeAnswered: balancer.Success, codeServerFailed: balancer.Failure, codeOverloaded: balancer.Overloaded,
	codeNotAccepted: balancer.Unreachable, codeBroken: balancer.Broken, codeTimedOut: balancer.TimedOut}

func messageFields(l []*wire.HeaderFieldT) []message.Field {
	out := make([]message.Field, 0, len(l))
	for _, f := range l {
		out = append(out, message.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

// handleAnswer takes an answer as it came. One whose head can't be read is none, and so is one that names another request.
func (p *upstreamAttempt) handleAnswer(v *wire.ResponseT) {
	if len(v.PackedHeader) > 0 {
		fields, err := codec.UnpackHeader(v.PackedHeader)
		if err != nil {
			p.finish(balancer.Broken, nil)
			return
		}
		v.HeaderFields = fields
	}
	for _, f := range v.HeaderFields {
		if f.Name == headerAttemptID && f.Value != p.attemptID {
			p.finish(balancer.Broken, nil)
			return
		}
	}
	p.applyAnswer(v)
}

func (p *upstreamAttempt) applyAnswer(v *wire.ResponseT) {
	if v.Ending == codeKeyNotGranted {
		p.mu.Lock()
		if !p.finished { // else the attempt may be looking at it
			p.keyNotGranted = true
		}
		p.mu.Unlock()
		p.finish(balancer.Void, nil)
		return
	}
	ending, known := endingsByCode[v.Ending]
	if !known {
		ending = balancer.Broken
	}
	if v.MoreBody && ending == balancer.Success {
		p.beginStream(v)
		return
	}
	var reply *message.Reply
	if ending == balancer.Success || ending == balancer.Failure {
		reply = message.NewReply("", v.Body, nil)
		reply.Status, reply.Header = int(v.Status), messageFields(v.HeaderFields)
	}
	p.finish(ending, reply)
}

func (p *upstreamAttempt) handlePiece(v *wire.BodyChunkT) {
	p.mu.Lock()
	st := p.stream
	over := p.finished
	p.mu.Unlock()
	if st == nil || over {
		return
	}
	if len(v.Data) > 0 {
		st.Push(v.Data)
	}
	switch {
	case v.Aborted:
		p.finish(balancer.Broken, nil)
	case v.Last:
		p.finish(balancer.Success, nil)
	}
}

// uploadBody sends what follows of a long request.
func (p *upstreamAttempt) uploadBody(ctx context.Context, m *message.Request) {
	for {
		b, err := m.More.Next(ctx)
		if err != nil || b == nil {
			p.conn.Send(&wire.BodyChunkT{Id: p.id, Last: true, Aborted: err != nil || m.More.Trailer() == nil})
			return
		}
		if !p.sendWindow.acquire(ctx, len(b)) {
			return
		}
		p.conn.Send(&wire.BodyChunkT{Id: p.id, Data: b})
	}
}
