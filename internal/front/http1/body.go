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
	// headWithin is how long a head may take, on a new connection from when that came up.
	headWithin = 5 * time.Second
	// A body may rest for bodySlack in all and come at leastRate bytes a second besides: half of the slowest that callers
	// may be.
	bodySlack = 3 * time.Second
	leastRate = 32 << 10
	// piece is how much of a long body is read at a time, and bodyAhead how much of it may wait to be sent on.
	piece     = 16 << 10
	bodyAhead = message.MaxBody
	// lingerFor is how long the rest of a body is read on that nobody wants: a connection closed with bytes unread is
	// reset, and the answer may be lost with it.
	lingerFor = 2 * time.Second
	// writeQuiet is how long a caller may take nothing of a long answer.
	writeQuiet = 15 * time.Second
)

var errSlow = errors.New("the body comes too slowly")

var buffers = sync.Pool{New: func() any { return new([piece]byte) }}

// paced reads a body whose caller may not take for ever. Only the time that it is waited for counts.
type paced struct {
	rc    *http.ResponseController
	body  io.Reader
	spent time.Duration
	got   int64
	most  int64 // bytes that may come; 0: any number
}

func (p *paced) Read(b []byte) (int, error) {
	left := bodySlack + time.Duration(p.got)*time.Second/leastRate - p.spent
	if left <= 0 {
		return 0, errSlow
	}
	began := time.Now()
	if err := p.rc.SetReadDeadline(began.Add(left)); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.spent += time.Since(began)
	if p.got += int64(n); p.most > 0 && p.got > p.most {
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

// bodyRoom is how much of a request's body is kept at the most.
func bodyRoom(hr *http.Request) int64 {
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
	in := &paced{rc: rc, body: hr.Body, most: out.Most}
	buf := make([]byte, bodyRoom(hr))
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
		c.rest = newRest(hr, in)
		out.More = c.rest.more
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
	if !f.Speech.Body(hr) && (n > 0 || c.rest != nil) {
		return &Refusal{Status: http.StatusBadRequest, Text: "GET has no body"}
	}
	out.Body = buf[:n:n]
	c.Size = max(hr.ContentLength, int64(n))
	return nil
}

// rest is what follows of a long body. Its goroutine reads; nobody else touches the request's body until it has ended.
type rest struct {
	in    *paced
	more  *message.Stream
	wake  chan struct{}
	stop  chan struct{} // closed when nothing more is read
	drop  atomic.Bool   // what comes is thrown away
	ended chan struct{} // closed when nothing more is read
	err   error         // why it is not whole; set before that
}

func newRest(hr *http.Request, in *paced) *rest {
	r := &rest{in: in, wake: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{})}
	r.more = message.NewStream(nil, func(int) { r.rouse() })
	r.more.Length = hr.ContentLength
	return r
}

func (r *rest) rouse() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// pump reads the rest, no more ahead than bodyAhead, and calls whole once all of it is there.
func (r *rest) pump(whole func()) {
	defer close(r.ended)
	buf := buffers.Get().(*[piece]byte)
	defer buffers.Put(buf)
	for {
		for !r.drop.Load() && r.more.Held() >= bodyAhead {
			select {
			case <-r.wake:
			case <-r.stop:
			}
			select {
			case <-r.stop:
				r.err = errBroken
				r.more.Finish(nil)
				return
			default:
			}
		}
		n, err := r.in.Read(buf[:])
		if n > 0 && !r.drop.Load() {
			r.more.Push(append([]byte(nil), buf[:n]...))
		}
		if err == io.EOF {
			r.in.rc.SetReadDeadline(time.Time{})
			r.more.Finish([]message.Field{}) // as it should
			whole()
			return
		}
		if err != nil {
			r.err = err
			r.more.Finish(nil)
			return
		}
	}
}

// leave has the rest read and thrown away for a while, after the answer was written, and returns when nothing reads it any
// more. true: it came to its end, so that the connection can go on.
func (r *rest) leave(within time.Duration) bool {
	r.drop.Store(true)
	r.rouse()
	wait := time.NewTimer(within)
	defer wait.Stop()
	select {
	case <-r.ended:
	case <-wait.C:
		close(r.stop)
		r.in.rc.SetReadDeadline(time.Unix(1, 0))
		<-r.ended
	}
	return r.err == nil
}

// pass writes a streamed answer as it comes. false: it is not whole, and its caller must see that.
func (f *Front) pass(ctx context.Context, w http.ResponseWriter, st *message.Stream, from *caller) bool {
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
	f.lead(w, from)
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
		if rc.SetWriteDeadline(time.Now().Add(writeQuiet)) != nil {
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
