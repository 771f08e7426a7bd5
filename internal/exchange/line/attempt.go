package line

import (
	"context"
	"sync"
	"time"

	"hollyspur"
	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/message"
)

// Endings as an Answer on a cord words them.
const (
	endAnswered   byte = iota // status and body are the server's, or what is answered in its place
	endFailed                 // the same, and the server failed
	endOverloaded             // the server turned it away: it has not run
	endNotHere                // the line turned it away: it has not run
	endBroken                 // it may have run
	endTimedOut               // it may have run
	endNoKey                  // the registers could not grant its key: it has not run, and no other server would do better
)

// sent is an attempt on a cord.
type sent struct {
	a      *engine.Attempt
	id     uint64
	name   string // the request's Attempt-Id: an answer that has another is not its own
	c      *trunk.Conn
	credit credit        // for the request's body
	ended  chan struct{} // closed with the attempt's end
	trace  string        // what an answer in pieces is given besides

	mu     sync.Mutex      // guards below: the cord's reader and the attempt's own time may both end it
	stream *message.Stream // of an answer that comes in pieces
	over   bool
	noKey  bool // no register granted the key
	ending hollyspur.Ending
	reply  *message.Reply
}

// Start implements engine.Sender.
func (s *cords) Start(ctx context.Context, a *engine.Attempt) {
	go func() {
		ending, reply := s.attempt(ctx, a)
		a.Payload.(*message.Request).Note.(*order).last.Store(uint32(ending))
		if reply == nil { // a nil *Reply in the interface would not be nil
			a.End(ending, nil)
			return
		}
		a.End(ending, reply)
	}()
}

func (s *cords) attempt(ctx context.Context, a *engine.Attempt) (hollyspur.Ending, *message.Reply) {
	m := a.Payload.(*message.Request)
	o := m.Note.(*order)
	if m.Spent() {
		return hollyspur.Void, nil
	}
	nth := int(o.tries.Load())
	if nth >= o.most() || o.noKey.Load() || nth > 0 && !o.again() {
		return hollyspur.Void, nil
	}
	x := s.cord(a.Endpoint.Addr)
	c, err := x.connect(ctx)
	switch {
	case err != nil && ctx.Err() == nil:
		return hollyspur.Unreachable, nil
	case err != nil:
		return hollyspur.Void, nil
	}
	// Counted first: whoever answers in its place, as never run, finds the count, or this finds the call finished.
	o.tries.Add(1)
	if ending, ok := a.Begin(); !ok {
		o.tries.Add(-1)
		return ending, nil
	}
	if !o.service.arrives(s.line.clock.Now(), nth, o) {
		o.tries.Add(-1)
		return hollyspur.Void, nil
	}
	if m.More != nil && !m.Claim() {
		return hollyspur.Void, nil
	}
	p := &sent{a: a, id: s.next.Add(1), name: o.attempt, c: c, ended: make(chan struct{}), trace: o.trace}
	p.credit.grant(window)
	if !x.enter(p) {
		return hollyspur.Unreachable, nil
	}
	defer x.leave(p)
	if c.Send(s.request(a, m, o, p.id, uint32(nth))) != nil {
		return hollyspur.Unreachable, nil // nothing of it was written
	}
	if m.More != nil {
		go p.upload(ctx, m)
	}
	select {
	case <-p.ended:
	case <-ctx.Done():
		if m.Runs != message.RunsOnce || m.More != nil { // else it goes on, and its answer is kept for a repeat
			c.Send(&wire.CancelT{Id: p.id})
		}
		p.end(engine.EndingOf(ctx), nil)
	}
	if p.noKey {
		o.noKey.Store(true)
		return hollyspur.Void, nil
	}
	if p.ending == hollyspur.Failure && p.reply != nil {
		m.Fail(p.reply)
		return p.ending, nil
	}
	return p.ending, p.reply
}

// request words an attempt.
func (s *cords) request(a *engine.Attempt, m *message.Request, o *order, id uint64, nth uint32) *wire.RequestT {
	r := &wire.RequestT{Id: id, Attempt: o.attempt, Method: m.Method, Target: m.URL.Opaque, Host: m.Authority, Body: m.Body,
		Length: int64(len(m.Body)), Budget: int64(a.Timeout / time.Microsecond), Server: a.Endpoint.ID, Key: o.key, Ticket: o.ticket, Nth: nth}
	if m.More != nil {
		r.More, r.Length = true, m.More.Length
	}
	far, _ := s.line.dir.Load().Get(a.Endpoint.Addr)
	add := func(name, value string) {
		if far.Speaks >= trunk.PacksHeads {
			r.Head = trunk.PackField(r.Head, name, value)
		} else {
			r.Fields = append(r.Fields, &wire.FieldT{Name: name, Value: value})
		}
	}
	for name, values := range m.Header {
		for _, v := range values {
			add(name, v)
		}
	}
	add(hCaller, s.line.set.Load().Service)
	if m.Runs == message.RunsOnce {
		r.Once = true
	}
	return r
}

// end ends the attempt, once.
func (p *sent) end(ending hollyspur.Ending, reply *message.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	p.over = true
	if p.stream != nil {
		if ending == hollyspur.Success {
			p.stream.Finish([]message.Field{})
		} else {
			p.stream.Finish(nil)
		}
	}
	p.ending, p.reply = ending, reply
	p.credit.close()
	close(p.ended)
}

// begin has an answer come in pieces, unless the attempt has ended meanwhile: its end comes after its beginning. One that
// begins twice is broken.
func (p *sent) begin(v *wire.AnswerT) {
	taken := 0
	fields := fieldsOf(v.Fields)
	if p.trace != "" {
		fields = append(fields, message.Field{Name: hTrace, Value: p.trace})
	}
	st := message.NewStream(fields, func(n int) {
		if taken += n; taken >= creditStep {
			p.c.Send(&wire.CreditT{Id: p.id, Bytes: uint32(taken)})
			taken = 0
		}
	})
	st.Status, st.Length = int(v.Status), v.Length
	p.mu.Lock()
	if p.over {
		p.mu.Unlock()
		p.c.Send(&wire.CancelT{Id: p.id})
		return
	}
	if p.stream != nil {
		p.mu.Unlock()
		p.end(hollyspur.Broken, nil)
		return
	}
	defer p.mu.Unlock()
	p.stream = st
	p.a.Began(st)
}

var endings = map[byte]hollyspur.Ending{endAnswered: hollyspur.Success, endFailed: hollyspur.Failure, endOverloaded: hollyspur.Overloaded,
	endNotHere: hollyspur.Unreachable, endBroken: hollyspur.Broken, endTimedOut: hollyspur.TimedOut}

func fieldsOf(l []*wire.FieldT) []message.Field {
	out := make([]message.Field, 0, len(l))
	for _, f := range l {
		out = append(out, message.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

// take takes an answer as it came. One whose head can't be read is none, and so is one that names another request.
func (p *sent) take(v *wire.AnswerT) {
	if len(v.Head) > 0 {
		fields, err := trunk.UnpackHead(v.Head)
		if err != nil {
			p.end(hollyspur.Broken, nil)
			return
		}
		v.Fields = fields
	}
	for _, f := range v.Fields {
		if f.Name == hAttempt && f.Value != p.name {
			p.end(hollyspur.Broken, nil)
			return
		}
	}
	p.answer(v)
}

func (p *sent) answer(v *wire.AnswerT) {
	if v.Ending == endNoKey {
		p.mu.Lock()
		if !p.over { // else the attempt may be looking at it
			p.noKey = true
		}
		p.mu.Unlock()
		p.end(hollyspur.Void, nil)
		return
	}
	ending, known := endings[v.Ending]
	if !known {
		ending = hollyspur.Broken
	}
	if v.More && ending == hollyspur.Success {
		p.begin(v)
		return
	}
	var reply *message.Reply
	if ending == hollyspur.Success || ending == hollyspur.Failure {
		reply = message.NewReply("", v.Body, nil)
		reply.Status, reply.Header = int(v.Status), fieldsOf(v.Fields)
	}
	p.end(ending, reply)
}

func (p *sent) piece(v *wire.PieceT) {
	p.mu.Lock()
	st := p.stream
	over := p.over
	p.mu.Unlock()
	if st == nil || over {
		return
	}
	if len(v.Body) > 0 {
		st.Push(v.Body)
	}
	switch {
	case v.Broken:
		p.end(hollyspur.Broken, nil)
	case v.Last:
		p.end(hollyspur.Success, nil)
	}
}

// upload sends what follows of a long request.
func (p *sent) upload(ctx context.Context, m *message.Request) {
	for {
		b, err := m.More.Next(ctx)
		if err != nil || b == nil {
			p.c.Send(&wire.PieceT{Id: p.id, Last: true, Broken: err != nil || m.More.Trailer() == nil})
			return
		}
		if !p.credit.take(ctx, len(b)) {
			return
		}
		p.c.Send(&wire.PieceT{Id: p.id, Body: b})
	}
}
