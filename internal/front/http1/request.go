package http1

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// ServeHTTP answers one request. There is no ServeMux, because that redirects paths which are not clean.
func (f *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if f.Protocol.ServeOwn(f, w, hr) {
		return
	}
	if f.Dialect != nil && f.Dialect.Matches(hr) {
		f.Dialect.Serve(f, w, hr)
		return
	}
	from := connectionOf(hr)
	if hr.TransferEncoding != nil && from.head.lengths > 0 {
		// Others may see the end of the body elsewhere (RFC 9112, section 6.1), and net/http has dropped the length.
		f.reject(w, hr, from, &Rejection{Status: http.StatusBadRequest, Text: "both a length and a transfer coding"})
		return
	}
	if from.pipeline != nil {
		e := from.pipeline.take(hr, f.Protocol.RequestID(hr)) //nolint:contextcheck // attempts outlive the handler
		from.busy.Store(true)
		defer from.busy.Store(false)
		f.startPipelined(from) //nolint:contextcheck // attempts outlive the handler
		if e != nil {
			f.answerEarly(w, hr, e, from) //nolint:contextcheck // attempts outlive the handler
			return
		}
	}
	var c *call
	size := bufferedSize(hr)
	p, err := f.Enter(hr, size, func(p *pool.Pool, class string) (rejection *Rejection) {
		c, rejection = f.check(hr, p, class)
		return rejection
	})
	if err == nil {
		defer p.Leave(size)
		if hr.ContentLength != 0 {
			head := f.clock.Now()
			err = f.readBody(w, hr, c)
			read := f.clock.Now() - head // the deadline counts from the request's last byte
			c.Deadline, c.FallbackAt = c.Deadline+read, c.FallbackAt+read
		}
	}
	if err != nil {
		f.reject(w, hr, from, err)
		return
	}
	if hr.TransferEncoding != nil && !from.head.done {
		// Its head came together with the former request, so a length beside the coding was not noticed.
		w.Header().Set("Connection", "close")
	}
	if !from.beginRequest() {
		panic(http.ErrAbortHandler)
	}
	p.Engine().Submit(&c.Call) //nolint:contextcheck // attempts outlive the handler
	if c.upload != nil {
		go c.upload.pump(func() { p.Engine().BodyArrived(&c.Call) }) //nolint:contextcheck // attempts outlive the handler
	}
	f.answer(w, hr, p, c, from)
}

// answerEarly answers a pipelined request that was started before net/http has read it.
func (f *Front) answerEarly(w http.ResponseWriter, hr *http.Request, e *earlyRequest, from *connection) {
	defer e.pool.Leave(0)
	if !from.beginRequest() {
		e.call.abandon(e.pool)
		panic(http.ErrAbortHandler)
	}
	f.answer(w, hr, e.pool, e.call, from)
}

// answer writes the one answer to a call that was submitted, or aborts the request if there is no complete one.
func (f *Front) answer(w http.ResponseWriter, hr *http.Request, p *pool.Pool, c *call, from *connection) {
	var arrived chan struct{}
	if c.upload != nil {
		arrived = c.upload.ended
	}
	giveUp := f.giveUp
	for answered := false; !answered; {
		failed := false
		select {
		case <-giveUp:
			giveUp = nil
			if mayGiveUp(c, from) {
				c.abandon(p) //nolint:contextcheck // attempts outlive the handler
				f.write(w, c, engine.Answer{Verdict: engine.Failed}, from)
				return
			}
		case event := <-c.answers:
			if event.stream == nil {
				f.write(w, c, event.answer, from)
			} else {
				failed = !f.forwardStream(hr.Context(), w, event.stream, from)
			}
			answered = true
		case <-arrived:
			arrived = nil
			failed = c.upload.err != nil
		case <-hr.Context().Done():
			failed = true
		}
		if failed { // abort panics
			f.abort(hr, p, c, from) //nolint:contextcheck // attempts outlive the handler
		}
	}
	if c.upload != nil {
		_ = http.NewResponseController(w).Flush() // after an error the caller has gone
		if !c.upload.drain(lingerTime) {
			panic(http.ErrAbortHandler) // the answer is written, but the next request can't be read
		}
	}
}

// mayGiveUp reports whether a call without an answer is idempotent and holds up the answers of pipelined requests.
func mayGiveUp(c *call, from *connection) bool {
	return len(c.answers) == 0 && c.upload == nil && c.Payload.(*message.Request).Idempotency == message.Idempotent &&
		from.pipeline != nil && from.pipeline.hasStarted()
}

// abort ends a call that gets no complete answer, and its connection, by which the caller sees that.
func (f *Front) abort(hr *http.Request, p *pool.Pool, c *call, from *connection) {
	c.abandon(p)
	if c.upload != nil {
		c.upload.drain(0)
	}
	from.resetOnClose(hr)
	// Returning would send an empty 200, or end an incomplete answer as if it were complete.
	panic(http.ErrAbortHandler)
}

// reject answers a rejected request.
func (f *Front) reject(w http.ResponseWriter, hr *http.Request, from *connection, err *Rejection) {
	f.Protocol.SetRejectionHeader(w.Header(), hr, err)
	rc := http.NewResponseController(w)
	f.closeIfDraining(w, from)
	if err.KeepConnection || hr.ProtoMajor > 1 {
		http.Error(w, err.Text, err.Status)
		return
	}
	// The next request can't be distinguished from the rest of this one, so the connection is closed. It is read for a
	// while first: the caller may write all of the body before it reads the answer.
	from.markUseless()
	// Errors of these calls mean that the caller has gone.
	_ = rc.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	http.Error(w, err.Text, err.Status)
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(lingerTime))
	if hr.ContentLength != 0 && hr.Header.Get("Expect") == "" {
		_, _ = io.Copy(io.Discard, hr.Body)
	}
}

// Enter selects the pool of a request, has check examine the request, and reserves capacity in the pool for a body of size
// bytes. Unless there is a Rejection, the caller must call Leave on the pool.
func (f *Front) Enter(hr *http.Request, size int64, check func(p *pool.Pool, class string) *Rejection) (*pool.Pool, *Rejection) {
	return f.enter(hr, size, check, connectionOf(hr))
}

// enter is Enter for a connection that is known.
func (f *Front) enter(
	hr *http.Request, size int64, check func(p *pool.Pool, class string) *Rejection, from *connection,
) (*pool.Pool, *Rejection) {
	for {
		p, class, rejection := f.routes.Route(hr)
		if rejection == nil {
			rejection = check(p, class)
		}
		if rejection != nil {
			return nil, rejection
		}
		switch err := p.Enter(size); {
		case errors.Is(err, pool.ErrRetired):
			continue // the routes name its successor by now
		case err != nil:
			// Callers over the limit of calls retry at once: a new connection each time would cost more than the rejection.
			return nil, &Rejection{
				Status:         http.StatusServiceUnavailable,
				Text:           err.Error(),
				MayRetry:       true,
				KeepConnection: errors.Is(err, pool.ErrTooManyCalls) && size == 0,
			}
		}
		if !from.assign(p.Shares().DownstreamConns) {
			p.Leave(size)
			return nil, &Rejection{
				Status:   http.StatusServiceUnavailable,
				Text:     "too many callers",
				MayRetry: true,
			}
		}
		return p, nil
	}
}

// BeginRequest marks the connection of a request as in use. It returns false if the connection is being closed.
func (f *Front) BeginRequest(hr *http.Request) bool {
	return connectionOf(hr).beginRequest()
}

// bodiless reports whether a request has no body. net/http has already removed a length beside a Transfer-Encoding, and any
// Transfer-Encoding of HTTP/1.0.
func bodiless(hr *http.Request) bool { return hr.ContentLength == 0 && hr.TransferEncoding == nil }

// check examines a request's head and returns its call.
func (f *Front) check(hr *http.Request, p *pool.Pool, class string) (*call, *Rejection) {
	c := &call{answers: make(chan callEvent, 2)}
	out, rejection := f.Protocol.ParseRequest(hr, p, class, f.clock.Now(), &c.Call)
	if rejection != nil {
		return nil, rejection
	}
	c.Payload, c.Receiver = out, c
	return c, nil
}

// write writes a final answer of which nothing was sent before.
func (f *Front) write(w http.ResponseWriter, c *call, a engine.Answer, from *connection) {
	f.closeIfDraining(w, from)
	if c.upload != nil {
		select {
		case <-c.upload.ended:
		default:
			w.Header().Set("Connection", "close") // the rest of the request is not read
		}
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
	h := w.Header()
	h["Content-Type"] = nil // net/http is not to guess one
	if a.Verdict == engine.Failed {
		if r := c.Payload.(*message.Request).Failed(); r != nil {
			a.Reply = r
		}
	}
	status := f.Protocol.SetResponseHeader(h, &c.Call, a)
	var body []byte
	if r, is := a.Reply.(*message.Reply); is {
		defer r.Release()
		body = r.Body
	}
	h.Set("Content-Length", itoa(int64(len(body))))
	w.WriteHeader(status)
	_, _ = w.Write(body) // after an error the caller has gone
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
