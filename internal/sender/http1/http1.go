// Package http1 sends attempts to servers over HTTP/1.1 (RFC 9112), one at a time on each connection of
// a pool of its own. It alone says whether an attempt can have run, and it never sends one again:
// http.Transport does so by itself when a reused connection breaks, which would be an attempt that
// nobody counted, perhaps to a server that drains by then.
package http1

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

// Config is what a sender is made of.
type Config struct {
	Idle        time.Duration      // after which servers close idle connections; ours are closed before
	Connect     time.Duration      // within which a connection must come up
	Connections engine.SharedLimit // connections there may be, idle ones and dials among them
	LongAnswers engine.SharedLimit // bytes of answers that are passed on as they come
	Speech      Speech             // nil: the platform's
	Quiet       time.Duration      // that a server may rest amid an answer; 0: as long as suits one that something can take the place of
}

// Speech is what requests and answers say beyond HTTP itself: the platform's, or the mesh's.
type Speech interface {
	// Head adds to a request's head what is an attempt's own.
	Head(a *engine.Attempt, h http.Header)
	// Matches says whose an answer is, as far as it tells. One that names another request is read and thrown away.
	Matches(m *message.Request, resp *http.Response) Match
	// Ending says how an attempt ended whose answer came whole, and whether its body is wanted.
	Ending(resp *http.Response) (ending balancer.Ending, wanted bool)
	// Word words an answer's head for whoever it goes to.
	Word(resp *http.Response) (status int, header []message.Field, contentType string)
}

// Match is whose an answer is, by what it says itself.
type Match uint8

// Matches. Unnamed is an answer that names no request. It is taken for the answer to the request that waits, but its
// connection carries nothing more that must not run twice: a second copy of it could not be told from the next answer.
const (
	OfAnother Match = iota
	Unnamed
	OfRequest
)

// platformProtocol is the Speech of the protocol's page.
type platformProtocol struct{}

func (platformProtocol) Head(a *engine.Attempt, h http.Header) {
	h["X-Time-Left"] = []string{message.TimeLeft(a.Timeout)}
}

func (platformProtocol) Matches(*message.Request, *http.Response) Match { return OfRequest }

func (platformProtocol) Ending(resp *http.Response) (balancer.Ending, bool) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.Success, true
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		return balancer.Overloaded, false
	}
	return balancer.Failure, false
}

func (platformProtocol) Word(resp *http.Response) (int, []message.Field, string) {
	h := []message.Field{}
	v := resp.Header.Get("Content-Type")
	if v != "" {
		h = append(h, message.Field{Name: "content-type", Value: v})
	}
	return 0, h, v
}

// Sender makes attempts over connections of its own. It implements engine.Sender; the payload is a
// *message.Request, the reply a *message.Reply.
type Sender struct {
	connectionPool
	answerLimit       engine.SharedLimit
	readTimeout       time.Duration
	streamReadTimeout time.Duration
	bufferTime        time.Duration
	speech            Speech
}

var _ engine.Sender = (*Sender)(nil)

// New returns a sender with no connections.
func New(cfg Config) *Sender {
	if cfg.Speech == nil {
		cfg.Speech = platformProtocol{}
	}
	return &Sender{answerLimit: cfg.LongAnswers, readTimeout: cmp.Or(cfg.Quiet, readTimeout), streamReadTimeout: max(cfg.Quiet, streamReadTimeout), bufferTime: bufferTime, speech: cfg.Speech, connectionPool: connectionPool{
		// Clearly before the server closes it: a request that crosses the close is lost to a reset.
		idleTimeout: cfg.Idle * 3 / 4, connectTimeout: cfg.Connect, settleTime: settleTime,
		start: time.Now(), minProbeWait: minProbeWait, idle: map[*engine.Endpoint][]*conn{}, limit: cfg.Connections}}
}

// Start makes an attempt on a goroutine of its own.
func (s *Sender) Start(ctx context.Context, a *engine.Attempt) {
	go func() {
		res := s.attempt(ctx, a)
		if res.reply == nil { // a nil *Reply in the interface would not be nil
			a.End(res.ending, nil)
			return
		}
		a.End(res.ending, res.reply)
	}()
}

// result is how an attempt ended; reply belongs to a Success.
type result struct {
	ending balancer.Ending
	reply  *message.Reply
}

// attempt sends a once and waits for the answer until ctx ends. It writes nothing unless a.Begin
// agrees at the moment of writing.
func (s *Sender) attempt(ctx context.Context, a *engine.Attempt) result {
	m := a.Payload.(*message.Request)
	if m.Spent() {
		return result{ending: balancer.Void} // what follows of its body went to another server
	}
	r := s.outgoing(a)
	text, err := wireText(r, m)
	if err != nil {
		return result{ending: balancer.Void}
	}
	// What can be sent once is worth as much care as what may run once.
	careful := nonIdempotent(m) || m.More != nil
	c, err := s.acquire(ctx, a.Endpoint, careful)
	switch {
	case err != nil && ctx.Err() == nil:
		return result{ending: balancer.Unreachable}
	case err != nil:
		return result{ending: balancer.Void}
	case ctx.Err() != nil:
		// The dial took the attempt's time or its reason away.
		s.release(a.Endpoint, c)
		return result{ending: balancer.Void}
	}
	if ending, ok := a.Begin(); !ok {
		s.release(a.Endpoint, c) // which closes it if the endpoint is no longer usable
		return result{ending: ending}
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() }) // all that stops an exchange
	rest := text
	if careful && s.needsProbe(c) || m.More != nil && c.reused {
		if rest, err = c.probe(rest, s.minProbeWait); err != nil && ctx.Err() == nil {
			// No server has a request yet, so another connection makes no second attempt of it.
			s.recordExchange(c, true)
			stop()
			s.close(c)
			if c, err = s.dial(ctx, a.Endpoint); err != nil {
				return result{ending: balancer.Unreachable}
			}
			if !a.Endpoint.Usable() {
				s.close(c)
				return result{ending: balancer.Unreachable}
			}
			stop = context.AfterFunc(ctx, func() { c.Conn.Close() })
			rest, err = c.probe(text, s.minProbeWait)
		}
		if err != nil {
			s.recordExchange(c, ctx.Err() == nil)
			stop()
			s.close(c)
			if ctx.Err() != nil {
				return result{ending: balancer.Void}
			}
			return result{ending: balancer.Unreachable}
		}
	}
	res, keep := s.exchange(ctx, a, c, r, rest)
	if ctx.Err() == nil { // else what ended it was not the connection
		s.recordExchange(c, res.ending == balancer.Broken || res.ending == balancer.Unreachable)
	}
	if stop() && keep {
		s.release(a.Endpoint, c)
	} else {
		s.close(c)
	}
	return res
}

// Bounds of the wait between the two parts of a request.
const (
	minProbeWait = 500 * time.Microsecond
	maxProbeWait = 20 * time.Millisecond
)

// probe writes a request's head but for its last byte, and waits for as long as a reset would take to come back. No
// server begins a request whose head is not whole (RFC 9112, section 2.1), so an error proves that it never ran.
// rest is what is still to be written.
func (c *conn) probe(text []byte, least time.Duration) (rest []byte, err error) {
	n := bytes.Index(text, headEnd)
	if n < 0 {
		return text, nil
	}
	n += 3
	if _, err := c.Write(text[:n]); err != nil {
		return nil, err
	}
	c.readLimit.N = maxHeaderBytes
	if err := c.SetReadDeadline(time.Now().Add(max(min(2*c.dialTime, maxProbeWait), least))); err != nil {
		return nil, err
	}
	_, err = c.reader.Peek(1)
	var timeout net.Error
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return nil, errors.Join(errors.New("an answer, or the end, before the request"), err)
	}
	return text[n:], c.SetReadDeadline(time.Time{})
}

// outgoing is the request as it goes to the attempt's server.
func (s *Sender) outgoing(a *engine.Attempt) *http.Request {
	m := a.Payload.(*message.Request)
	h := make(http.Header, len(m.Header)+2)
	for k, v := range m.Header {
		h[k] = v
	}
	h["User-Agent"] = nil // none is better than the library's
	s.speech.Head(a, h)
	r := &http.Request{Method: m.Method, URL: m.URL, Host: m.Authority, Header: h, ContentLength: int64(len(m.Body))}
	if m.More != nil {
		r.ContentLength = m.More.Length
	}
	if r.Host == "" { // HTTP/1.0 callers need not name one, servers want one
		r.Host = a.Endpoint.Addr
	}
	if r.ContentLength != 0 {
		r.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	return r
}

// wireText is a request as it is written; of one with more to come, its head.
func wireText(r *http.Request, m *message.Request) ([]byte, error) {
	var written bytes.Buffer
	err := r.Write(&written)
	text := written.Bytes()
	if strings.HasPrefix(r.URL.Opaque, "//") {
		// The library takes such a target for an authority, and puts the scheme that it has not in front.
		text = bytes.Replace(text, []byte(" ://"), []byte(" //"), 1)
	}
	if m.More == nil {
		return text, err
	}
	// The library finds the body shorter than told, or ends it.
	n := bytes.Index(text, headEnd)
	if n < 0 {
		return nil, errors.Join(errors.New("no head"), err)
	}
	return text[:n+len(headEnd)], nil
}

var headEnd = []byte("\r\n\r\n")

// exchange writes one request and reads its answer. keep tells whether the connection can carry
// another.
func (s *Sender) exchange(ctx context.Context, a *engine.Attempt, c *conn, r *http.Request, text []byte) (res result, keep bool) {
	out, whole, err := s.write(ctx, a, c, text)
	if err != nil {
		// Not all of it was written, so it can't have run.
		if ctx.Err() != nil || errors.Is(err, errBrokenOff) || errors.Is(err, errBodySpent) {
			return result{ending: balancer.Void}, false
		}
		return result{ending: balancer.Unreachable}, false
	}
	a.RecordTransfer(out, 0, "")
	got, err := s.read(ctx, a, c, r)
	if err != nil {
		if !whole {
			return result{ending: balancer.Unreachable}, false
		}
		return result{ending: engine.EndingOf(ctx)}, false
	}
	if got.reply == nil {
		a.RecordTransfer(out, got.size, "")
	}
	res.ending, _ = s.speech.Ending(got.resp)
	if res.ending == balancer.Success {
		res.reply = got.reply
	} else if got.reply != nil {
		m := a.Payload.(*message.Request)
		m.Fail(got.reply)
	}
	return res, whole && !got.sawStray && !got.resp.Close && c.reader.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil
}

// write writes a request, whose head or whole text is given. whole: to its end; else the server answered before that, and
// the answer is there to be read.
func (s *Sender) write(ctx context.Context, a *engine.Attempt, c *conn, text []byte) (out int64, whole bool, err error) {
	m := a.Payload.(*message.Request)
	if m.More == nil {
		_, err := c.Write(text)
		return int64(len(m.Body)), true, err
	}
	if !m.Claim() {
		return 0, false, errBodySpent
	}
	return s.upload(ctx, c, text, m)
}

var errBodySpent = errors.New("its body has gone elsewhere")

// writeTimeout is how long a server may take nothing of a long request.
const writeTimeout = 10 * time.Second

// upload writes a request whose body comes as its caller sends it. A server that answers before the end is heard. whole: the
// server can have all of it, so it may run, whatever the caller or the attempt's time does after its last byte.
func (s *Sender) upload(ctx context.Context, c *conn, head []byte, m *message.Request) (out int64, whole bool, err error) {
	writing, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	c.readLimit.N = maxHeaderBytes
	early := make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		if writing.Err() == nil {
			stop(errEarlyAnswer)
			c.SetWriteDeadline(time.Now()) // wakes a write that waits
		}
		early <- err
	}()
	out, whole, err = uploadBody(writing, timedWriter{c.Conn}, head, m)
	if err == nil || whole {
		// It is written. What the goroutine is looking for is the answer.
		stop(nil)
	} else if context.Cause(writing) != errEarlyAnswer {
		c.SetReadDeadline(time.Now())
		<-early
		return out, false, err
	}
	if err := <-early; err != nil {
		if whole {
			return out, true, nil // the reader meets the same end, and says what it means
		}
		return out, false, err
	}
	return out, whole, c.SetWriteDeadline(time.Time{})
}

// uploadBody writes a head and the body that follows. whole: all of it went out, or what a server may take for all of it. A
// body whose length was told ends with its last byte: it needs no word that no more will come, which might be lost.
func uploadBody(ctx context.Context, w io.Writer, head []byte, m *message.Request) (out int64, whole bool, err error) {
	if _, err = w.Write(head); err != nil {
		return 0, false, err
	}
	length, to := m.More.Length, w
	if length < 0 {
		to = httputil.NewChunkedWriter(w)
	}
	for p := m.Body; len(p) > 0; {
		if length >= 0 && out+int64(len(p)) > length {
			return out, false, errBrokenOff // what is beyond the length would pass for another request
		}
		if _, err = to.Write(p); err != nil {
			return out, false, err
		}
		if out += int64(len(p)); out == length {
			return out, true, nil
		}
		if p, err = m.More.Next(ctx); err != nil {
			return out, false, err
		}
	}
	if length >= 0 || m.More.Trailer() == nil {
		return out, false, errBrokenOff
	}
	n, err := io.WriteString(w, chunksEnd)
	return out, n >= len(lastChunk), err
}

// The end of a body in chunks (RFC 9112, section 7.1). Some servers take a request as whole with the last chunk's line.
const (
	lastChunk = "0\r\n"
	chunksEnd = lastChunk + "\r\n"
)

var (
	errEarlyAnswer = errors.New("the server answered before the request's end")
	errBrokenOff   = errors.New("the request broke off")
)

// timedWriter writes to a server that may not rest for long.
type timedWriter struct{ net.Conn }

func (d timedWriter) Write(p []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return d.Conn.Write(p)
}
