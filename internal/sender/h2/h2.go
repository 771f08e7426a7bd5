// Package h2 sends attempts to servers over HTTP/2 without TLS (RFC 9113, prior knowledge), many at a time on each
// connection. What a connection does is the state machine's (package h2/client); this is the I/O round it: one
// goroutine owns a connection's machine and writes, one reads. It never sends anything again: the library's client
// does so by itself after a GOAWAY or a REFUSED_STREAM, which would be an attempt that nobody counted.
package h2

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/grpc"
	"cranegrade/internal/h2/client"
	"cranegrade/internal/message"
)

// Config is what a sender is made of.
type Config struct {
	Idle        time.Duration      // after which servers close idle connections; ours are closed before
	Connect     time.Duration      // within which a connection must come up
	Connections engine.SharedLimit // connections there may be, dials among them
	Each        int                // connections to one server at the most: 4
	Streams     int                // attempts on one connection at the most, whatever the server allows: 100
}

// Sender makes attempts over connections of its own. It implements engine.Sender; the payload is a *message.Request,
// the reply a *message.Reply.
type Sender struct {
	cfg   Config
	start time.Time

	mu    sync.Mutex // guards conns and what they are told of, not the connections themselves
	conns map[*engine.Endpoint][]*conn
	gone  map[*engine.Endpoint]bool // dropped, with connections that still finish something
}

var _ engine.Sender = (*Sender)(nil)

// Defaults.
const (
	defaultEach    = 4
	defaultStreams = 100
	// writeWithin is how long a write may take: a server that reads nothing holds up all that is on its connection.
	writeWithin = 2 * time.Second
)

// New returns a sender with no connections.
func New(cfg Config) *Sender {
	if cfg.Each == 0 {
		cfg.Each = defaultEach
	}
	if cfg.Streams == 0 {
		cfg.Streams = defaultStreams
	}
	return &Sender{cfg: cfg, start: time.Now(), conns: map[*engine.Endpoint][]*conn{}, gone: map[*engine.Endpoint]bool{}}
}

func (s *Sender) now() time.Duration { return time.Since(s.start) }

// Start makes an attempt on a goroutine of its own.
func (s *Sender) Start(ctx context.Context, a *engine.Attempt) {
	go func() {
		ending, reply := s.attempt(ctx, a)
		if reply == nil { // a nil *Reply in the interface would not be nil
			a.End(ending, nil)
			return
		}
		a.End(ending, reply)
	}()
}

// errNoRoom says that there is no room for another connection.
var errNoRoom = errors.New("no descriptor left for another connection")

// attempt sends a once and waits for its answer until ctx ends.
func (s *Sender) attempt(ctx context.Context, a *engine.Attempt) (balancer.Ending, *message.Reply) {
	m := a.Payload.(*message.Request)
	if m.Spent() {
		return balancer.Failure, nil // its caller's messages went to another server: this one can't have them
	}
	c, err := s.get(ctx, a.Endpoint)
	switch {
	case err != nil && ctx.Err() == nil:
		return balancer.Unreachable, nil
	case err != nil:
		return balancer.NeverSent, nil
	}
	q := &request{a: a, m: m, fields: fields(a, m), done: make(chan struct{}), sent: make(chan struct{}, 1)}
	if !c.post(q) {
		c.leave()
		return balancer.Unreachable, nil // it ended meanwhile: nothing of this was written
	}
	if m.More != nil {
		pumping, stop := context.WithCancel(ctx)
		defer stop()
		go c.pump(pumping, q)
	}
	select {
	case <-q.done:
	case <-c.over:
	case <-ctx.Done():
		c.post(cancelled{q})
		select { // every request gets its end, also one that was answered meanwhile
		case <-q.done:
		case <-c.over:
		}
	}
	c.leave()
	d := client.Done{Ending: client.NotWritten} // it came too late to be seen
	select {
	case <-q.done:
		d = q.end
	default:
	}
	if q.refused != nil {
		return *q.refused, nil
	}
	if q.pieces != nil {
		defer q.pieces.Finish(nil) // unless it has ended as it should
	}
	return s.ending(ctx, q, d)
}

// ending words a stream's end for the engine, as the protocol's page has it.
func (s *Sender) ending(ctx context.Context, q *request, d client.Done) (balancer.Ending, *message.Reply) {
	switch d.Ending {
	case client.NotWritten:
		if ctx.Err() != nil {
			return balancer.NeverSent, nil
		}
		return balancer.Unreachable, nil
	case client.Refused:
		return balancer.Overloaded, nil
	case client.AboveGoAway:
		return balancer.NeverSent, nil
	}
	in := int64(0)
	if d.Ending == client.Answered && d.Answer.Status != http.StatusOK {
		in = int64(len(d.Answer.Body))
	}
	q.a.RecordTransfer(int64(len(q.m.Body)), in, "")
	if d.Ending != client.Answered {
		return engine.EndingOf(ctx), nil
	}
	if q.m.GRPC != nil {
		return judge(q, d.Answer)
	}
	kind, unprocessed := "", false
	for _, f := range d.Answer.Header {
		switch f.Name {
		case "content-type":
			kind = f.Value
		case "x-unprocessed":
			unprocessed = f.Value == "1"
		}
	}
	switch st := d.Answer.Status; {
	case st == http.StatusOK:
		return balancer.Success, message.NewReply(kind, d.Answer.Body, nil)
	case (st == http.StatusServiceUnavailable || st == http.StatusGatewayTimeout) && unprocessed:
		return balancer.Overloaded, nil
	}
	return balancer.Failure, nil
}

// judge words the end of an answer of gRPC.
func judge(q *request, answer client.Answer) (balancer.Ending, *message.Reply) {
	a := grpc.Answer{Status: answer.Status, Header: list(answer.Header), Trailer: list(answer.Trailer), Messages: q.scan, Garbled: q.garbled}
	if q.pieces == nil && a.Messages.Take(answer.Body) != nil {
		a.Garbled = true
	}
	v := grpc.Judge(a)
	if v.Ending == balancer.Failure {
		q.m.GRPC.Fail(v.Fields)
	}
	switch {
	case q.pieces != nil:
		q.pieces.Finish(v.Fields)
		return v.Ending, nil
	case v.Ending != balancer.Success:
		return v.Ending, nil
	}
	r := message.NewReply("", answer.Body, nil)
	r.Header, r.Trailer = a.Header, v.Fields
	if a.Trailer == nil {
		r.Header = nil
	}
	return v.Ending, r
}

// list is the fields in the form that fronts know; nil stays nil.
func list(fields []client.Field) (l []message.Field) {
	if fields != nil {
		l = make([]message.Field, len(fields))
	}
	for i, f := range fields {
		l[i] = message.Field(f)
	}
	return l
}

// careful says that a request must not run twice, or has effects at all.
func careful(m *message.Request) bool {
	if m.GRPC != nil {
		return !m.GRPC.Safe
	}
	return m.Method != http.MethodGet && m.Method != http.MethodHead
}

// fields are a request's, pseudo-fields first and names in lower case (RFC 9113, section 8).
func fields(a *engine.Attempt, m *message.Request) []client.Field {
	authority := m.Authority
	if authority == "" {
		authority = a.Endpoint.Addr
	}
	l := []client.Field{
		{Name: ":method", Value: m.Method},
		{Name: ":scheme", Value: "http"},
		{Name: ":authority", Value: authority},
		{Name: ":path", Value: m.URL.RequestURI()},
	}
	if m.GRPC != nil {
		l = append(l, client.Field{Name: "te", Value: "trailers"}, client.Field{Name: "grpc-timeout", Value: grpc.FormatTimeout(a.Timeout)})
	} else {
		l = append(l, client.Field{Name: "x-time-left", Value: message.TimeLeft(a.Timeout)})
	}
	for k, values := range m.Header {
		for _, v := range values {
			l = append(l, client.Field{Name: strings.ToLower(k), Value: v})
		}
	}
	switch {
	case m.GRPC != nil || m.More != nil && m.More.Length < 0:
	case m.More != nil:
		l = append(l, client.Field{Name: "content-length", Value: strconv.FormatInt(m.More.Length, 10)})
	case len(m.Body) > 0 || m.Method == http.MethodPost:
		l = append(l, client.Field{Name: "content-length", Value: strconv.Itoa(len(m.Body))})
	}
	return l
}

// get takes a place on a connection to the endpoint, or dials. The place is given back by leave.
func (s *Sender) get(ctx context.Context, ep *engine.Endpoint) (*conn, error) {
	s.mu.Lock()
	var least *conn
	l := s.conns[ep]
	for _, c := range l {
		if c.room() > 0 && (least == nil || c.taken.Load() < least.taken.Load()) {
			least = c
		}
	}
	if least != nil {
		least.taken.Add(1)
		s.mu.Unlock()
		return least, nil
	}
	if len(l) >= s.cfg.Each {
		s.mu.Unlock()
		return nil, errNoRoom
	}
	c := &conn{s: s, ep: ep, events: make(chan any, 64), ended: make(chan struct{}), over: make(chan struct{}), up: make(chan struct{})}
	c.limit.Store(int64(s.cfg.Streams))
	c.taken.Add(1)
	s.conns[ep] = append(l, c)
	s.mu.Unlock()
	// The dial outlives the attempt that began it: others may wait for it already.
	go c.run()
	select {
	case <-c.up:
		return c, nil
	case <-c.ended:
		return nil, c.err
	case <-ctx.Done():
		c.leave()
		return nil, ctx.Err()
	}
}

// remove forgets a connection.
func (s *Sender) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.conns[c.ep]
	for i, x := range l {
		if x == c {
			l = append(l[:i:i], l[i+1:]...)
			break
		}
	}
	if s.conns[c.ep] = l; len(l) == 0 {
		delete(s.conns, c.ep)
		delete(s.gone, c.ep)
	}
}

// Drop has the connections to an endpoint end once nothing is out on them.
func (s *Sender) Drop(ep *engine.Endpoint) {
	s.mu.Lock()
	l := append([]*conn(nil), s.conns[ep]...)
	if len(l) > 0 {
		s.gone[ep] = true
	}
	s.mu.Unlock()
	for _, c := range l {
		c.endIf(0)
	}
}

// Sweep closes connections that have stood idle, and those of dropped endpoints.
func (s *Sender) Sweep() {
	s.mu.Lock()
	type idle struct {
		c     *conn
		after time.Duration
	}
	var l []idle
	for ep, conns := range s.conns {
		for _, c := range conns {
			after := s.cfg.Idle * 3 / 4
			if s.gone[ep] {
				after = 0
			}
			l = append(l, idle{c, after})
		}
	}
	s.mu.Unlock()
	for _, x := range l {
		x.c.endIf(x.after)
	}
}

// GiveBack closes up to n connections on which nothing is out, so that others may have their room.
func (s *Sender) GiveBack(n int) (given int) {
	s.mu.Lock()
	var l []*conn
	for _, conns := range s.conns {
		for _, c := range conns {
			if c.taken.Load() == 0 && len(l) < n {
				l = append(l, c)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range l {
		c.endIf(0)
	}
	return len(l)
}

// request is an attempt on its way to a connection's goroutine.
type request struct {
	a       *engine.Attempt
	m       *message.Request
	fields  []client.Field
	stream  uint32
	done    chan struct{}    // closed once it has its end
	end     client.Done      // set before that
	refused *balancer.Ending // Begin did not agree; set before that

	sent    chan struct{}   // what there was is written; holds one, never blocks
	pieces  *message.Stream // of a streamed answer that has begun; set before its end
	scan    grpc.Scanner
	garbled bool
}

func (q *request) finish(d client.Done) {
	q.end = d
	close(q.done)
}

// part is what follows of a request.
type part struct {
	q     *request
	bytes []byte
	last  bool
}

// consumed says that so many bytes of a streamed answer have been taken.
type consumed struct {
	q *request
	n int
}

// cancelled gives a request up.
type cancelled struct{ q *request }

// ifIdle ends a connection that has been idle for so long.
type ifIdle struct{ after time.Duration }

// lost is the end of what is read.
type lost struct{ err error }

// pump passes on what follows of a request, a part when the one before is written. A caller that breaks off has gone,
// and its attempt is given up by the engine.
func (c *conn) pump(ctx context.Context, q *request) {
	for {
		select {
		case <-q.sent:
		case <-ctx.Done():
			return
		}
		p, err := q.m.More.Next(ctx)
		if err != nil || p == nil && q.m.More.Trailer() == nil || !c.post(part{q, p, p == nil}) || p == nil {
			return
		}
	}
}

// conn is a connection. Its goroutine owns the machine; taken and limit are counted by whoever takes a place.
type conn struct {
	s      *Sender
	ep     *engine.Endpoint
	nc     net.Conn
	events chan any
	up     chan struct{} // closed when it is up
	ended  chan struct{} // closed when it takes nothing more; err says why
	over   chan struct{} // closed when all that it took has its end
	err    error
	taken  atomic.Int64 // places that are taken
	limit  atomic.Int64 // and how many there are
	since  atomic.Int64 // when the last one was given back, by the sender's clock
}

func (c *conn) room() int64 { return c.limit.Load() - c.taken.Load() }

func (c *conn) leave() {
	c.since.Store(int64(c.s.now()))
	c.taken.Add(-1)
}

// post hands the connection's goroutine an event; false if it has ended.
func (c *conn) post(e any) bool {
	select {
	case c.events <- e:
		return true
	case <-c.ended:
		return false
	}
}

// endIf has the connection end if nothing is out on it, and has not been for so long.
func (c *conn) endIf(after time.Duration) {
	if c.taken.Load() == 0 {
		select {
		case c.events <- ifIdle{after}:
		case <-c.ended:
		default: // it is busy
		}
	}
}
