package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/conncheck"
	"cranegrade/internal/message"
)

const (
	// headTimeout is the time-out of a header section, on a new connection from its start.
	headTimeout = 5 * time.Second
	// A body must come at minBodyRate bytes a second, after bodySlack: half of the slowest rate that callers may have.
	bodySlack   = 3 * time.Second
	minBodyRate = 32 << 10
	// chunkSize is how much of a long body is read at a time, and maxUnsentBody how much may wait to be forwarded.
	chunkSize     = 16 << 10
	maxUnsentBody = message.MaxBody
	// lingerTime is how long the rest of a body that is not needed is read: a connection that is closed with unread bytes is
	// reset, and the answer may be lost with it (RFC 9112, section 9.6).
	lingerTime = 2 * time.Second
	// streamWriteTimeout is the time-out of each write of a streamed answer.
	streamWriteTimeout = 15 * time.Second
)

var errTooSlow = errors.New("the body comes too slowly")

var buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// pacedBody reads a body at a minimum rate. Only the time spent waiting for bytes counts.
type pacedBody struct {
	rc       *http.ResponseController
	body     io.Reader
	waited   time.Duration
	received int64
	limit    int64 // in bytes; 0 means none
}

func (p *pacedBody) Read(b []byte) (int, error) {
	left := bodySlack + time.Duration(p.received)*time.Second/minBodyRate - p.waited
	if left <= 0 {
		return 0, errTooSlow
	}
	began := time.Now()
	if err := p.rc.SetReadDeadline(began.Add(left)); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.waited += time.Since(began)
	if p.received += int64(n); p.limit > 0 && p.received > p.limit {
		return 0, errTooLong
	}
	if err != nil && err != io.EOF { //nolint:errorlint // a reader returns io.EOF itself at the end; a wrapped one is a failure
		// Joined, because io.ReadFull turns an early EOF into an error of its own.
		err = errors.Join(err, errIncompleteBody)
	}
	return n, err
}

var (
	errIncompleteBody = errors.New("the body did not come whole")
	errTooLong        = errors.New("the body is too long")
)

// bufferedSize is how many bytes of a request's body are buffered.
func bufferedSize(hr *http.Request) int64 {
	if hr.ContentLength < 0 || hr.ContentLength > message.MaxBody {
		return message.MaxBody
	}
	return hr.ContentLength
}

// readBody reads the body, or the buffered part of a longer one, whose rest pump reads. It removes the read deadline
// afterwards: if that expired during the call, net/http would take it for the end of the connection.
func (f *Front) readBody(w http.ResponseWriter, hr *http.Request, c *call) *Rejection {
	out := c.Payload.(*message.Request)
	rc := http.NewResponseController(w)
	in := &pacedBody{rc: rc, body: hr.Body, limit: out.MaxBodyBytes}
	buf := make([]byte, bufferedSize(hr))
	n, ended, err := in.readBuffered(buf, hr.ContentLength)
	if err == nil && !ended {
		err = c.startUpload(rc, hr, in)
	}
	if err == nil {
		err = rc.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, errTooLong):
		return &Rejection{Status: http.StatusRequestEntityTooLarge, Text: errTooLong.Error()}
	case err != nil:
		return &Rejection{Status: http.StatusBadRequest, Text: errIncompleteBody.Error()}
	}
	if !f.Protocol.MayHaveBody(hr) && (n > 0 || c.upload != nil) {
		return &Rejection{Status: http.StatusBadRequest, Text: "GET has no body"}
	}
	out.Body = buf[:n:n]
	c.Size = max(hr.ContentLength, int64(n))
	return nil
}

// readBuffered fills buf with the beginning of a body of the declared length, which is negative if there is none. ended
// reports whether that was all of the body.
func (p *pacedBody) readBuffered(buf []byte, length int64) (n int, ended bool, err error) {
	n, err = io.ReadFull(p, buf)
	atEnd := (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)) && !errors.Is(err, errIncompleteBody)
	if length < 0 && atEnd {
		return n, true, nil
	}
	return n, length == int64(n), err
}

// startUpload has the rest of a long body passed on as it comes. pump reads it once the call is submitted.
func (c *call) startUpload(rc *http.ResponseController, hr *http.Request, in *pacedBody) error {
	c.upload = newUpload(hr, in)
	c.Payload.(*message.Request).BodyRest = c.upload.stream
	c.BodyIncomplete = true
	if hr.ProtoMajor > 1 {
		_ = rc.EnableFullDuplex() // HTTP/2 streams are full duplex, whatever it returns
		return nil
	}
	return rc.EnableFullDuplex() // the caller may still write the body when the answer begins
}

// upload is the rest of a long body. The goroutine of pump owns the request's body until ended is closed; the handler of the
// request starts it and waits for its end.
type upload struct {
	body    *pacedBody
	stream  *message.Stream
	wake    chan struct{}
	stop    chan struct{} // closed to end the reading
	discard atomic.Bool   // bytes are discarded
	ended   chan struct{} // closed by pump at its end
	err     error         // why the body is incomplete; set before ended is closed
	// conn is the connection that is read; nil over HTTP/2, where net/http reads and notices the caller's end.
	conn net.Conn
}

func newUpload(hr *http.Request, in *pacedBody) *upload {
	u := &upload{
		body:  in,
		wake:  make(chan struct{}, 1),
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	u.stream = message.NewStream(nil, func(int) { u.signal() })
	u.stream.Length = hr.ContentLength
	if from, is := hr.Context().Value(connectionKey{}).(*connection); is && hr.ProtoMajor == 1 {
		u.conn = from.Conn
	}
	return u
}

func (u *upload) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// pump reads the rest, with at most maxUnsentBody waiting to be forwarded, and calls complete when the body has ended.
func (u *upload) pump(complete func()) {
	defer close(u.ended)
	buf := buffers.Get().(*[chunkSize]byte)
	defer buffers.Put(buf)
	for {
		if !u.awaitRoom() {
			u.err = errIncompleteBody
			u.stream.Finish(nil)
			return
		}
		n, err := u.body.Read(buf[:])
		if n > 0 && !u.discard.Load() {
			u.stream.Push(append([]byte(nil), buf[:n]...))
		}
		if err == io.EOF { //nolint:errorlint // joined with errIncompleteBody it is no end
			_ = u.body.rc.SetReadDeadline(time.Time{}) // fails only if the connection has ended
			u.stream.Finish([]message.Field{})         // complete
			complete()
			return
		}
		if err != nil {
			u.err = err
			u.stream.Finish(nil)
			return
		}
	}
}

// awaitRoom waits until more of the body may be read. It returns false if the reading is to end, or the caller has gone: nobody else
// reads the connection meanwhile.
func (u *upload) awaitRoom() bool {
	if u.discard.Load() || u.stream.Buffered() < maxUnsentBody {
		return true
	}
	check := time.NewTicker(endCheckInterval)
	defer check.Stop()
	for !u.discard.Load() && u.stream.Buffered() >= maxUnsentBody {
		select {
		case <-u.wake:
		case <-u.stop:
			return false
		case <-check.C:
			if u.conn != nil && conncheck.HasEnded(u.conn) {
				return false
			}
		}
	}
	return true
}

// drain discards the rest for up to that time, after the answer was written, and returns when pump has ended. It returns
// true if the body came to its end, so that the connection can be kept.
func (u *upload) drain(within time.Duration) bool {
	u.discard.Store(true)
	u.signal()
	wait := time.NewTimer(within)
	defer wait.Stop()
	select {
	case <-u.ended:
	case <-wait.C:
		close(u.stop)
		_ = u.body.rc.SetReadDeadline(time.Unix(1, 0)) // wakes pump; fails only if the connection has ended, which does so too
		<-u.ended
	}
	return u.err == nil
}

// forwardStream writes a streamed answer as it comes. It returns false if the answer is incomplete, which the caller must see.
func (f *Front) forwardStream(ctx context.Context, w http.ResponseWriter, st *message.Stream, from *connection) bool {
	defer st.Release()
	rc := http.NewResponseController(w)
	h := w.Header()
	h["Content-Type"] = nil // net/http is not to guess one
	for _, field := range st.Header {
		h.Add(field.Name, field.Value)
	}
	if st.Length >= 0 {
		h.Set("Content-Length", itoa(st.Length))
	}
	f.closeIfDraining(w, from)
	if st.Status != 0 {
		w.WriteHeader(st.Status)
	}
	for {
		p, err := st.Next(ctx)
		if err != nil {
			return false
		}
		if p == nil {
			return st.Trailer() != nil && rc.Flush() == nil
		}
		if rc.SetWriteDeadline(time.Now().Add(streamWriteTimeout)) != nil {
			return false
		}
		if _, err := w.Write(p); err != nil {
			return false
		}
		if st.Buffered() == 0 && rc.Flush() != nil {
			return false
		}
	}
}
