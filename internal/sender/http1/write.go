package http1

import (
	"bytes"
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

// outgoing returns the request of an attempt as it goes to the server.
func (s *Sender) outgoing(a *engine.Attempt) *http.Request {
	m := a.Payload.(*message.Request)
	h := make(http.Header, len(m.Header)+2)
	for k, v := range m.Header {
		h[k] = v
	}
	h["User-Agent"] = nil // omitted, rather than net/http's default
	s.protocol.SetHeader(a, h)
	r := &http.Request{
		Method:        m.Method,
		URL:           m.URL,
		Host:          m.Authority,
		Header:        h,
		ContentLength: int64(len(m.Body)),
	}
	if m.BodyRest != nil {
		r.ContentLength = m.BodyRest.Length
	}
	if r.Host == "" { // HTTP/1.0 callers need not send a Host; HTTP/1.1 servers require it (RFC 9112, section 3.2)
		r.Host = a.Endpoint.Addr
	}
	if r.ContentLength != 0 {
		r.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	return r
}

// wireText returns a request as it is written; if the body is still to come, its head.
func wireText(r *http.Request, m *message.Request) ([]byte, error) {
	var written bytes.Buffer
	err := r.Write(&written)
	text := written.Bytes()
	if strings.HasPrefix(r.URL.Opaque, "//") {
		// net/http takes such a target for an authority, and puts an empty scheme in front of it.
		text = bytes.Replace(text, []byte(" ://"), []byte(" //"), 1)
	}
	if m.BodyRest == nil {
		return text, err
	}
	// net/http reports that the body is too short, or ends it.
	n := bytes.Index(text, headEnd)
	if n < 0 {
		return nil, errors.Join(errors.New("the request has no header section"), err)
	}
	return text[:n+len(headEnd)], nil
}

var headEnd = []byte("\r\n\r\n")

// exchange writes one request and reads its response. keep says whether the connection can be reused.
func (s *Sender) exchange(ctx context.Context, a *engine.Attempt, c *conn, r *http.Request, text []byte) (res result, keep bool) {
	written, err := s.write(ctx, a, c, text)
	if err != nil {
		return result{ending: s.endingOfIncomplete(ctx, written, err)}, false
	}
	a.RecordTransfer(written.bodyBytes, 0, "")
	got, err := s.read(ctx, a, c, r)
	if err != nil {
		// The server has all of the request, or has begun to respond to a part of it: it may have run in both cases.
		return result{ending: engine.EndingOf(ctx)}, false
	}
	if got.reply == nil {
		a.RecordTransfer(written.bodyBytes, got.size, "")
	}
	res.ending, _ = s.protocol.Classify(got.resp)
	if res.ending == balancer.Success {
		res.reply = got.reply
	} else if got.reply != nil {
		m := a.Payload.(*message.Request)
		m.Fail(got.reply)
	}
	return res, written.complete && !got.sawOther && !got.resp.Close && c.reader.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil
}

// endingOfIncomplete returns the ending of an attempt whose request could not be written completely because of err. If
// servers may process a part of a request, it may have run as soon as any byte of it was written.
func (s *Sender) endingOfIncomplete(ctx context.Context, written writtenPart, err error) balancer.Ending {
	brokenOffByCaller := errors.Is(err, errIncompleteRequest) || errors.Is(err, errBodySpent)
	mayHaveRun := written.begun && s.protocol.MayRunIncomplete()
	switch {
	case mayHaveRun && brokenOffByCaller:
		return balancer.Canceled // says nothing about the server
	case mayHaveRun:
		return engine.EndingOf(ctx)
	case brokenOffByCaller || ctx.Err() != nil:
		return balancer.NeverSent
	}
	return balancer.Unreachable
}

// writtenPart is how much of a request was written.
type writtenPart struct {
	begun     bool  // any byte of it
	complete  bool  // all of it, or what a server may take for all of it
	bodyBytes int64 // bytes of the body
}

// write writes a request, of which text is the head or all. If it was not written completely and err is nil, the server
// has responded before the end of the request, and the response can be read.
func (s *Sender) write(ctx context.Context, a *engine.Attempt, c *conn, text []byte) (written writtenPart, err error) {
	m := a.Payload.(*message.Request)
	if m.BodyRest == nil {
		n, err := c.Write(text)
		return writtenPart{begun: n > 0, complete: err == nil, bodyBytes: int64(len(m.Body))}, err
	}
	if !m.Claim() {
		return writtenPart{}, errBodySpent
	}
	return s.upload(ctx, c, text, m)
}

var errBodySpent = errors.New("another attempt has sent the body")

// writeTimeout is the time-out of each write of a long request.
const writeTimeout = 10 * time.Second

// upload writes a request while its caller still sends the body, and stops when the server responds before the end. If the
// request was written completely it may run, whatever becomes of the caller or the attempt after that. The goroutine that
// waits for an early response has ended when upload returns.
func (s *Sender) upload(ctx context.Context, c *conn, head []byte, m *message.Request) (written writtenPart, err error) {
	writing, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	c.readLimit.N = maxHeaderBytes
	early := make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		if writing.Err() == nil {
			stop(errEarlyResponse)
			_ = c.SetWriteDeadline(time.Now()) // wakes a write that waits; fails only if the connection is closed
		}
		early <- err
	}()
	w := &timedWriter{Conn: c.Conn}
	written.bodyBytes, written.complete, err = uploadBody(writing, w, head, m)
	written.begun = w.begun
	if err == nil || written.complete {
		// It is written. The goroutine now waits for the response proper.
		stop(nil)
	} else if !errors.Is(context.Cause(writing), errEarlyResponse) {
		_ = c.SetReadDeadline(time.Now()) // wakes the goroutine; fails only if the connection is closed, which does so too
		<-early                           //nolint:errcheck // the upload has failed already, with an error that says more
		return written, err
	}
	if err := <-early; err != nil {
		if written.complete {
			return written, nil // the reader meets the same error, and classifies it
		}
		return written, err
	}
	return written, c.SetWriteDeadline(time.Time{})
}

// uploadBody writes a head and the body that follows. complete says that all of it was written, or what a server may take for
// all of it. A body of declared length ends with its last byte, without waiting for the caller's end of stream.
func uploadBody(ctx context.Context, w io.Writer, head []byte, m *message.Request) (sent int64, complete bool, err error) {
	if _, err = w.Write(head); err != nil {
		return 0, false, err
	}
	length, to := m.BodyRest.Length, w
	if length < 0 {
		to = httputil.NewChunkedWriter(w)
	}
	for p := m.Body; len(p) > 0; {
		if length >= 0 && sent+int64(len(p)) > length {
			return sent, false, errIncompleteRequest // a server would read the excess as the next request
		}
		if _, err = to.Write(p); err != nil {
			return sent, false, err
		}
		if sent += int64(len(p)); sent == length {
			return sent, true, nil
		}
		if p, err = m.BodyRest.Next(ctx); err != nil {
			return sent, false, err
		}
	}
	if length >= 0 || m.BodyRest.Trailer() == nil {
		return sent, false, errIncompleteRequest
	}
	n, err := io.WriteString(w, chunksEnd)
	return sent, n >= len(lastChunk), err
}

// The end of a chunked body (RFC 9112, section 7.1). Some servers take a request as complete at the last chunk's line.
const (
	lastChunk = "0\r\n"
	chunksEnd = lastChunk + "\r\n"
)

var (
	errEarlyResponse     = errors.New("the server responded before the end of the request")
	errIncompleteRequest = errors.New("the request body is incomplete")
)

// timedWriter is a connection with a time-out for each write.
type timedWriter struct {
	net.Conn
	begun bool // any byte was written
}

func (w *timedWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	w.begun = w.begun || n > 0
	return n, err
}
