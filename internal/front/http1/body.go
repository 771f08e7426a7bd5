package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/message"
)

const (
	// headTimeout is how long a head may take, on a new connection from when that came up.
	headTimeout = 5 * time.Second
	// A body may rest for bodySlack in all and come at leastRate bytes a second besides: half of the slowest that callers
	// may be.
	bodySlack   = 3 * time.Second
	minBodyRate = 32 << 10
	// chunkSize is how much of a long body is read at a time, and bodyAhead how much of it may wait to be sent on.
	chunkSize     = 16 << 10
	maxUnsentBody = message.MaxBody
	// lingerTime is how long the rest of a body is read on that nobody wants: a connection closed with bytes unread is
	// reset, and the answer may be lost with it.
	lingerTime = 2 * time.Second
	// streamWriteTimeout is how long a caller may take nothing of a long answer.
	streamWriteTimeout = 15 * time.Second
)

var errSlow = errors.New("the body comes too slowly")

var buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// pacedBody reads a body whose caller may not take for ever. Only the time that it is waited for counts.
type pacedBody struct {
	rc       *http.ResponseController
	body     io.Reader
	waited   time.Duration
	received int64
	limit    int64 // bytes that may come; 0: any number
}

func (p *pacedBody) Read(b []byte) (int, error) {
	left := bodySlack + time.Duration(p.received)*time.Second/minBodyRate - p.waited
	if left <= 0 {
		return 0, errSlow
	}
	began := time.Now()
	if err := p.rc.SetReadDeadline(began.Add(left)); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.waited += time.Since(began)
	if p.received += int64(n); p.limit > 0 && p.received > p.limit {
		return 0, errLong
	}
	if err != nil && err != io.EOF {
		// Also with bytes, and whatever the library calls it: io.ReadFull has a word of its own for an end that came early.
		err = errors.Join(err, errBroken)
	}
	return n, err
}

var (
	errBroken = errors.New("the body did not come whole")
	errLong   = errors.New("the body is too long")
)

// bufferedSize is how much of a request's body is kept at the most.
func bufferedSize(hr *http.Request) int64 {
	if hr.ContentLength < 0 || hr.ContentLength > message.MaxBody {
		return message.MaxBody
	}
	return hr.ContentLength
}

// readBody reads the body, or as much of it as is kept; what follows of a longer one is read by pump. The limit of time
// is lifted afterwards: run out once the body is in, it would pass for the caller's going away, and its request would be
// lost.
func (f *Front) readBody(w http.ResponseWriter, hr *http.Request, c *call) *Refusal {
	out := c.Payload.(*message.Request)
	rc := http.NewResponseController(w)
	in := &pacedBody{rc: rc, body: hr.Body, limit: out.Most}
	buf := make([]byte, bufferedSize(hr))
	n, err := io.ReadFull(in, buf)
	ended := hr.ContentLength == int64(n)
	if hr.ContentLength < 0 && (errors.Is(err, io.ErrUnexpectedEOF) || err == io.EOF) && !errors.Is(err, errBroken) {
		ended, err = true, nil
	}
	if err == nil && !ended {
		// Of a long body the caller writes on while it may already be answered.
		err = rc.EnableFullDuplex()
		if hr.ProtoMajor > 1 {
			err = nil
		}
		c.upload = newUpload(hr, in)
		out.More = c.upload.stream
		c.Arriving = true
	}
	if err == nil {
		err = rc.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, errLong):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Text: errLong.Error()}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Text: errBroken.Error()}
	}
	if !f.Speech.Body(hr) && (n > 0 || c.upload != nil) {
		return &Refusal{Status: http.StatusBadRequest, Text: "GET has no body"}
	}
	out.Body = buf[:n:n]
	c.Size = max(hr.ContentLength, int64(n))
	return nil
}

// upload is what follows of a long body. Its goroutine reads; nobody else touches the request's body until it has ended.
type upload struct {
	body    *pacedBody
	stream  *message.Stream
	wake    chan struct{}
	stop    chan struct{} // closed when nothing more is read
	discard atomic.Bool   // what comes is thrown away
	ended   chan struct{} // closed when nothing more is read
	err     error         // why it is not whole; set before that
}

func newUpload(hr *http.Request, in *pacedBody) *upload {
	r := &upload{body: in, wake: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{})}
	r.stream = message.NewStream(nil, func(int) { r.signal() })
	r.stream.Length = hr.ContentLength
	return r
}

func (r *upload) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// pump reads the rest, no more ahead than bodyAhead, and calls whole once all of it is there.
func (r *upload) pump(whole func()) {
	defer close(r.ended)
	buf := buffers.Get().(*[chunkSize]byte)
	defer buffers.Put(buf)
	for {
		for !r.discard.Load() && r.stream.Held() >= maxUnsentBody {
			select {
			case <-r.wake:
			case <-r.stop:
			}
			select {
			case <-r.stop:
				r.err = errBroken
				r.stream.Finish(nil)
				return
			default:
			}
		}
		n, err := r.body.Read(buf[:])
		if n > 0 && !r.discard.Load() {
			r.stream.Push(append([]byte(nil), buf[:n]...))
		}
		if err == io.EOF {
			r.body.rc.SetReadDeadline(time.Time{})
			r.stream.Finish([]message.Field{}) // as it should
			whole()
			return
		}
		if err != nil {
			r.err = err
			r.stream.Finish(nil)
			return
		}
	}
}

// drain has the rest read and thrown away for a while, after the answer was written, and returns when nothing reads it any
// more. true: it came to its end, so that the connection can go on.
func (r *upload) drain(within time.Duration) bool {
	r.discard.Store(true)
	r.signal()
	wait := time.NewTimer(within)
	defer wait.Stop()
	select {
	case <-r.ended:
	case <-wait.C:
		close(r.stop)
		r.body.rc.SetReadDeadline(time.Unix(1, 0))
		<-r.ended
	}
	return r.err == nil
}

// forwardStream writes a streamed answer as it comes. false: it is not whole, and its caller must see that.
func (f *Front) forwardStream(ctx context.Context, w http.ResponseWriter, st *message.Stream, from *connection) bool {
	defer st.Release()
	rc := http.NewResponseController(w)
	h := w.Header()
	h["Content-Type"] = nil // no guessing
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
		if st.Held() == 0 && rc.Flush() != nil {
			return false
		}
	}
}
