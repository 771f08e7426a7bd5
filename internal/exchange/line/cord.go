package line

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

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

const (
	window     = 256 << 10 // bytes of a body that may be under way to whoever reads slowly
	creditStep = 32 << 10
	cordRest   = 250 * time.Millisecond // between dials of one that can't be reached
)

var errNoCord = errors.New("no cord to the line")

// cords are the trunks to other lines. They implement engine.Sender.
type cords struct {
	line *Line
	mu   sync.Mutex // guards below
	to   map[string]*cord
	next atomic.Uint64
}

// cord is the trunk to one line.
type cord struct {
	of   *cords
	addr string

	mu      sync.Mutex // guards below
	c       *trunk.Conn
	dialing chan struct{} // closed when the dial that is under way has ended
	rest    time.Time
	open    map[uint64]*sent
}

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

func newCords(l *Line) *cords { return &cords{line: l, to: map[string]*cord{}} }

func (s *cords) cord(addr string) *cord {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.to[addr]
	if x == nil {
		x = &cord{of: s, addr: addr, open: map[uint64]*sent{}}
		s.to[addr] = x
	}
	return x
}

// Drop implements engine.Sender: what is under way on the cord goes on.
func (s *cords) Drop(*engine.Endpoint) {}

// Sweep implements engine.Sender: cords to lines that are in the directory no more are given up.
func (s *cords) Sweep() {
	dir := s.line.dir.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, x := range s.to {
		if _, is := dir.Get(addr); is {
			continue
		}
		x.mu.Lock()
		if len(x.open) == 0 && x.dialing == nil {
			if x.c != nil {
				x.c.Close(nil)
			}
			delete(s.to, addr)
		}
		x.mu.Unlock()
	}
}

// sends are the lines to which requests are under way.
func (s *cords) sends() (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, x := range s.to {
		x.mu.Lock()
		if len(x.open) > 0 {
			l = append(l, addr)
		}
		x.mu.Unlock()
	}
	return l
}

func (s *cords) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.to {
		x.mu.Lock()
		if x.c != nil {
			x.c.Close(nil)
		}
		x.mu.Unlock()
	}
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

// connect is the connection, dialled if there is none.
func (x *cord) connect(ctx context.Context) (*trunk.Conn, error) {
	for {
		x.mu.Lock()
		if x.c != nil && x.c.Err() == nil {
			c := x.c
			x.mu.Unlock()
			return c, nil
		}
		if x.dialing == nil {
			if time.Now().Before(x.rest) {
				x.mu.Unlock()
				return nil, errNoCord
			}
			x.dialing = make(chan struct{})
			go x.dial()
		}
		wait := x.dialing
		x.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		x.mu.Lock()
		failed := x.c == nil || x.c.Err() != nil
		x.mu.Unlock()
		if failed {
			return nil, errNoCord
		}
	}
}

func (x *cord) dial() {
	l := x.of.line
	c, err := trunk.Dial(l.ctx, x.addr, &wire.HelloT{Name: l.set.Load().NodeName, Addr: l.Addr(), Zone: l.set.Load().Zone}, nil)
	x.mu.Lock()
	if err == nil {
		x.c = c
	} else {
		x.rest = time.Now().Add(cordRest)
	}
	close(x.dialing)
	x.dialing = nil
	x.mu.Unlock()
	if err == nil {
		go x.read(c)
	}
}

// enter notes an attempt that is about to be sent; false: its connection has ended, or its id is in use.
func (x *cord) enter(p *sent) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.c != p.c || p.c.Err() != nil || x.open[p.id] != nil {
		return false
	}
	x.open[p.id] = p
	p.c.Open(1)
	return true
}

func (x *cord) leave(p *sent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, p.id)
	p.c.Open(-1)
}

func (x *cord) find(c *trunk.Conn, id uint64) *sent {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.open[id]; p != nil && p.c == c {
		return p
	}
	return nil
}

// read takes what comes on a connection, until it ends: then all that is open on it may have run.
func (x *cord) read(c *trunk.Conn) {
	for {
		m, err := c.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.AnswerT:
			if p := x.find(c, v.Id); p != nil {
				p.take(v)
			} else if v.More { // nobody is there to take the pieces
				c.Send(&wire.CancelT{Id: v.Id})
			}
		case *wire.PieceT:
			if p := x.find(c, v.Id); p != nil {
				p.piece(v)
			}
		case *wire.CreditT:
			if p := x.find(c, v.Id); p != nil {
				p.credit.grant(int(v.Bytes))
			}
		case *wire.ToldT:
			x.of.line.asks.Told(c, v)
		}
	}
	x.mu.Lock()
	var lost []*sent
	for _, p := range x.open {
		if p.c == c {
			lost = append(lost, p)
		}
	}
	x.mu.Unlock()
	for _, p := range lost {
		p.end(hollyspur.Broken, nil)
	}
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
		p.noKey = !p.over
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
