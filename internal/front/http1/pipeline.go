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

	"cranegrade/internal/conncheck"
	"cranegrade/internal/pool"
)

// Callers may pipeline requests (RFC 9112, section 9.3.2). net/http reads them one after another. Where the Protocol allows it,
// safe ones without a body are parsed and started as soon as they have been received. Their answers wait until net/http reads
// the request, and so are sent in order.

const (
	maxPipelined      = 8        // requests of a connection that are started behind the one being answered
	maxPipelinedBytes = 32 << 10 // bytes that are buffered to be parsed
	pipelineReadBytes = 4 << 10  // the most that is read at once
	// endCheckInterval is how often the end of a connection is looked for while nobody reads it.
	endCheckInterval = 100 * time.Millisecond
)

// pipeline holds what was received on a connection and was not read by net/http yet, or not answered yet.
type pipeline struct {
	mu       sync.Mutex // guards below
	cond     *sync.Cond
	buf      []byte    // received, and not read by net/http yet
	err      error     // of the last read; returned once
	deadline time.Time // of reads; zero: none
	filling  bool      // a goroutine is reading
	paused   bool      // net/http does not read until the request that it serves is answered
	watching bool      // readAhead runs
	unparsed []byte    // bytes of requests that are not started, whether net/http has read them or not
	stopped  bool      // no more requests are started early
	started  []*earlyRequest
	// pending is over 0 while there are unanswered requests, or bytes of one: the sum of both. It is read without the lock.
	pending atomic.Int64
}

// updatePending updates pending. The caller holds the lock.
func (pl *pipeline) updatePending() {
	pl.pending.Store(int64(len(pl.buf) + len(pl.unparsed) + len(pl.started)))
}

// earlyRequest is a request that was started before net/http has read it.
type earlyRequest struct {
	method, uri, id string
	pool            *pool.Pool
	call            *call
}

func newPipeline() *pipeline {
	pl := &pipeline{}
	pl.cond = sync.NewCond(&pl.mu)
	return pl
}

// read is called by net/http, which asks for a single byte while it serves a request, to notice the end of the connection. Once
// it has got that byte, which is of a later request, it reads no more until the request is answered.
func (pl *pipeline) read(c *connection, p []byte) (int, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.paused = false
	for {
		if len(pl.buf) > 0 {
			n := copy(p, pl.buf)
			pl.buf = pl.buf[n:]
			pl.updatePending()
			if len(p) == 1 {
				pl.startReadAhead(c)
			}
			return n, nil
		}
		if pl.err != nil {
			err := pl.err
			pl.err = nil
			return 0, err
		}
		if pl.filling {
			pl.cond.Wait()
			continue
		}
		pl.filling = true
		pl.fill(c)
	}
}

// startReadAhead has the connection read by readAhead while net/http does not. The caller holds the lock.
func (pl *pipeline) startReadAhead(c *connection) {
	pl.paused = true
	if !pl.watching {
		pl.watching = true
		go pl.readAhead(c)
	}
}

// readAhead reads in place of net/http: there may be more requests, or the caller may leave. It returns when net/http reads
// again, when the connection has ended, or at a deadline, which net/http is to meet.
func (pl *pipeline) readAhead(c *connection) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	defer func() { pl.watching = false }()
	for pl.paused {
		switch {
		case errors.Is(pl.err, os.ErrDeadlineExceeded):
			return
		case pl.err != nil:
			c.cancelRequests()
			return
		case len(pl.buf) >= maxPipelinedBytes:
			pl.checkEnd(c)
		default:
			pl.filling = true
			pl.fill(c)
		}
	}
}

// checkEnd waits for a moment, and then notes if the connection has ended, of which a read would tell only after all that came
// before. The caller holds the lock, which is released meanwhile.
func (pl *pipeline) checkEnd(c *connection) {
	pl.mu.Unlock()
	time.Sleep(endCheckInterval)
	ended := conncheck.HasEnded(c.Conn)
	pl.mu.Lock()
	if ended && pl.paused && pl.err == nil {
		c.cancelRequests()
		pl.paused = false
	}
}

// fill reads once. The caller has set filling and holds the lock, which is released during the read.
func (pl *pipeline) fill(c *connection) {
	pl.mu.Unlock()
	p := make([]byte, pipelineReadBytes)
	n, err := c.Conn.Read(p)
	pl.mu.Lock()
	pl.filling = false
	if n > 0 {
		pl.buf = append(pl.buf, p[:n]...)
		if !pl.stopped {
			if pl.unparsed = append(pl.unparsed, p[:n]...); len(pl.unparsed) > maxPipelinedBytes {
				pl.stopEarlyStarts()
			}
		}
	}
	if err != nil && !pl.isOutdated(err) {
		pl.err = err
	}
	pl.updatePending()
	pl.cond.Broadcast()
	if n > 0 {
		pl.mu.Unlock()
		c.recordBytes(time.Now())
		c.front.startPipelined(c)
		pl.mu.Lock()
	}
}

// stopEarlyStarts ends the parsing of requests behind the current one. The caller holds the lock.
func (pl *pipeline) stopEarlyStarts() { pl.stopped, pl.unparsed = true, nil }

// setDeadline notes the read deadline that applies from now on, and drops the error of an earlier one.
func (pl *pipeline) setDeadline(deadline time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.deadline = deadline
	if pl.isOutdated(pl.err) {
		pl.err = nil
	}
}

// isOutdated reports whether an error is that of a read deadline which has been removed or extended since. A read may return that
// error after the change. The caller holds the lock.
func (pl *pipeline) isOutdated(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && (pl.deadline.IsZero() || time.Until(pl.deadline) > 0)
}

// take notes that net/http has read a request, and returns the one that was started early, if any.
func (pl *pipeline) take(hr *http.Request, id string) *earlyRequest {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	defer pl.updatePending()
	if len(pl.started) > 0 {
		e := pl.started[0]
		pl.started = pl.started[1:]
		if e.method == hr.Method && e.uri == hr.RequestURI && e.id == id {
			return e
		}
		pl.stopEarlyStarts() // net/http has parsed it differently: what was started is abandoned
		for _, early := range append([]*earlyRequest{e}, pl.started...) {
			go early.abandon()
		}
		pl.started = nil
		return nil
	}
	if pl.stopped {
		return nil
	}
	n := bytes.Index(pl.unparsed, headEnd)
	if n < 0 || !bodiless(hr) {
		pl.stopEarlyStarts()
		return nil
	}
	pl.unparsed = pl.unparsed[n+len(headEnd):]
	return nil
}

var headEnd = []byte("\r\n\r\n")

// startPipelined starts the requests that have been received completely behind the one that is being served.
func (f *Front) startPipelined(c *connection) {
	pl := c.pipeline
	for {
		pl.mu.Lock()
		n := -1
		if !pl.stopped && !f.draining.Load() && c.busy.Load() && len(pl.started) < maxPipelined {
			n = bytes.Index(pl.unparsed, headEnd)
		}
		if n < 0 {
			pl.mu.Unlock()
			return
		}
		head := bytes.Clone(pl.unparsed[:n+len(headEnd)])
		hr, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), noMoreBytes{})))
		if err != nil || !f.mayStartEarly(hr) {
			pl.stopEarlyStarts()
			pl.mu.Unlock()
			return
		}
		pl.unparsed = pl.unparsed[n+len(headEnd):]
		e := &earlyRequest{method: hr.Method, uri: hr.RequestURI, id: f.Protocol.RequestID(hr)}
		p, rejection := f.enter(hr, 0, func(p *pool.Pool, class string) (rejection *Rejection) {
			e.call, rejection = f.check(hr, p, class)
			return rejection
		}, c)
		if rejection != nil { // it is rejected when net/http reads it
			pl.stopEarlyStarts()
			pl.mu.Unlock()
			return
		}
		e.pool = p
		pl.started = append(pl.started, e)
		pl.updatePending()
		pl.mu.Unlock()
		p.Engine().Submit(&e.call.Call)
	}
}

// mayStartEarly reports whether a pipelined request may be started before those before it are answered.
func (f *Front) mayStartEarly(hr *http.Request) bool {
	return bodiless(hr) && hr.Method == http.MethodGet && hr.ProtoAtLeast(1, 1) && !hr.Close && f.Protocol.MayStartEarly(hr)
}

// hasStarted reports whether a request was started early that waits to be answered in order.
func (pl *pipeline) hasStarted() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.started) > 0
}

// noMoreBytes is a reader at its end.
type noMoreBytes struct{}

func (noMoreBytes) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// abandon cancels an early request.
func (e *earlyRequest) abandon() {
	e.call.abandon(e.pool)
	e.pool.Leave(0)
}

// end abandons what was started on a connection that has ended.
func (pl *pipeline) end() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.paused = false // readAhead returns
	pl.stopEarlyStarts()
	for _, e := range pl.started {
		go e.abandon()
	}
	pl.started = nil
	pl.updatePending()
}
