package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/pool"
)

// Callers may pipeline requests (RFC 9112, section 9.3.2). net/http reads them one after another; where the Protocol allows
// it, safe ones without a body are parsed as they come and started at once. Their answers wait until net/http comes to the
// request, and so are sent in order.

const (
	maxAhead      = 8        // requests of a connection that are started behind the one being answered
	maxAheadBytes = 32 << 10 // that are kept to be parsed
)

// ahead is what was read of a connection and is not read by net/http yet, or not answered yet.
type ahead struct {
	mu      sync.Mutex // guards below
	cond    *sync.Cond
	buf     []byte // read from the connection and not by net/http yet
	err     error  // of the last read; returned once
	filling bool   // a goroutine is reading
	seen    []byte // bytes of requests that are not started, whether net/http has read them or not
	off     bool   // no more requests are started ahead
	begun   []*earlyRequest
	open    atomic.Int64 // over 0: there are unanswered requests or parts of them; read without the lock
}

// count updates open. The caller holds the lock.
func (a *ahead) count() { a.open.Store(int64(len(a.buf) + len(a.seen) + len(a.begun))) }

// earlyRequest is a request that was started before net/http has read it.
type earlyRequest struct {
	method, uri, id string
	pool            *pool.Pool
	call            *call
}

func newAhead() *ahead {
	a := &ahead{}
	a.cond = sync.NewCond(&a.mu)
	return a
}

// read is called by net/http, which asks for a single byte while it serves a request, to notice the end of the connection.
func (a *ahead) read(c *connection, p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if len(a.buf) > 0 {
			n := copy(p, a.buf)
			a.buf = a.buf[n:]
			a.count()
			if len(p) == 1 && !a.filling && len(a.buf) < maxAheadBytes {
				// net/http reads no more, but there may be more requests.
				a.filling = true
				go func() {
					a.mu.Lock()
					defer a.mu.Unlock()
					a.fill(c)
				}()
			}
			return n, nil
		}
		if a.err != nil {
			err := a.err
			a.err = nil
			return 0, err
		}
		if a.filling {
			a.cond.Wait()
			continue
		}
		a.filling = true
		a.fill(c)
	}
}

// fill reads once. The caller has set filling and holds the lock, which is released during the read.
func (a *ahead) fill(c *connection) {
	a.mu.Unlock()
	p := make([]byte, 4<<10)
	n, err := c.Conn.Read(p)
	a.mu.Lock()
	a.filling = false
	if n > 0 {
		a.buf = append(a.buf, p[:n]...)
		if !a.off {
			if a.seen = append(a.seen, p[:n]...); len(a.seen) > maxAheadBytes {
				a.stop()
			}
		}
	}
	if err != nil {
		a.err = err
	}
	a.count()
	a.cond.Broadcast()
	if n > 0 {
		a.mu.Unlock()
		c.recordBytes(time.Now())
		c.front.beginAhead(c)
		a.mu.Lock()
	}
}

// stop ends the parsing ahead on this connection. The caller holds the lock.
func (a *ahead) stop() { a.off, a.seen = true, nil }

// forgive drops the error of a read deadline that was extended meanwhile.
func (a *ahead) forgive(deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if (deadline.IsZero() || time.Until(deadline) > 0) && errors.Is(a.err, os.ErrDeadlineExceeded) {
		a.err = nil
	}
}

// take notes that net/http has read a request, and returns the early one if it was started.
func (a *ahead) take(hr *http.Request, id string) *earlyRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.count()
	if len(a.begun) > 0 {
		e := a.begun[0]
		a.begun = a.begun[1:]
		if e.method == hr.Method && e.uri == hr.RequestURI && e.id == id {
			return e
		}
		a.stop() // it is not understood as the library does; what was begun is let go
		for _, x := range append([]*earlyRequest{e}, a.begun...) {
			go x.abandon()
		}
		a.begun = nil
		return nil
	}
	if a.off {
		return nil
	}
	n := bytes.Index(a.seen, headEnd)
	if n < 0 || !bodiless(hr) {
		a.stop()
		return nil
	}
	a.seen = a.seen[n+len(headEnd):]
	return nil
}

var headEnd = []byte("\r\n\r\n")

// beginAhead begins what is whole behind the request that is being served.
func (f *Front) beginAhead(c *connection) {
	a := c.ahead
	for {
		a.mu.Lock()
		n := -1
		if !a.off && !f.draining.Load() && c.busy.Load() && len(a.begun) < maxAhead {
			n = bytes.Index(a.seen, headEnd)
		}
		if n < 0 {
			a.mu.Unlock()
			return
		}
		head := bytes.Clone(a.seen[:n+len(headEnd)])
		hr, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), noMoreBytes{})))
		if err != nil || !bodiless(hr) || hr.Method != http.MethodGet || !hr.ProtoAtLeast(1, 1) || hr.Close || !f.Protocol.MayStartEarly(hr) {
			a.stop()
			a.mu.Unlock()
			return
		}
		a.seen = a.seen[n+len(headEnd):]
		e := &earlyRequest{method: hr.Method, uri: hr.RequestURI, id: f.Protocol.RequestID(hr)}
		p, refusal := f.enter(hr, 0, func(p *pool.Pool, class string) (refusal *Refusal) {
			e.call, refusal = f.check(hr, p, class)
			return refusal
		}, c)
		if refusal != nil { // it is rejected when net/http comes to it
			a.stop()
			a.mu.Unlock()
			return
		}
		e.pool = p
		a.begun = append(a.begun, e)
		a.count()
		a.mu.Unlock()
		p.Engine().Submit(&e.call.Call)
	}
}

// follows says that a request was started that waits for its turn to be answered.
func (a *ahead) follows() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.begun) > 0
}

// noMoreBytes is a reader at its end.
type noMoreBytes struct{}

func (noMoreBytes) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// abandon cancels an early request.
func (e *earlyRequest) abandon() {
	e.pool.Engine().CallerGone(&e.call.Call)
	e.call.gone.Store(true)
	e.call.discard()
	e.pool.Leave(0)
}

// end abandons what was started on a connection that has ended.
func (a *ahead) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop()
	for _, e := range a.begun {
		go e.abandon()
	}
	a.begun = nil
	a.count()
}
