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

// A caller may send requests behind one that is still being answered (RFC 9112, section 9.3.2). The library reads them
// one after another; where the Speech allows it, those that are safe and have no body are looked at as they come and
// begun at once. Their answers wait for the library to come to them, and so go out in order.

const (
	maxAhead      = 8        // requests of a connection that are begun behind the one being answered
	maxAheadBytes = 32 << 10 // that are kept to be looked at
)

// ahead is what of a caller's connection has been read and not yet been taken by the library, or not yet been answered.
type ahead struct {
	mu      sync.Mutex // guards below
	cond    *sync.Cond
	buf     []byte // read from the connection, not yet by the library
	err     error  // why no more was read; told once
	filling bool   // a goroutine reads
	seen    []byte // the bytes of requests that have not been begun, whoever has them
	off     bool   // the connection is read as ever from now on
	begun   []*earlyRequest
	open    atomic.Int64 // bytes of requests, and requests, that nobody has answered yet; read without the lock
}

// count keeps open. The caller holds the lock.
func (a *ahead) count() { a.open.Store(int64(len(a.buf) + len(a.seen) + len(a.begun))) }

// earlyRequest is a request that was begun before the library came to it.
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

// read is the library's. It is given what is there; for a look behind the request that it serves it asks for a single byte.
func (a *ahead) read(c *connection, p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if len(a.buf) > 0 {
			n := copy(p, a.buf)
			a.buf = a.buf[n:]
			a.count()
			if len(p) == 1 && !a.filling && len(a.buf) < maxAheadBytes {
				// The library looks no further, but there may be more.
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

// fill reads once. The caller holds the lock, which is let go meanwhile, and has set filling.
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
		c.recordBytes(n, time.Now())
		c.front.beginAhead(c)
		a.mu.Lock()
	}
}

// stop has no more requests be looked at on this connection. The caller holds the lock.
func (a *ahead) stop() { a.off, a.seen = true, nil }

// forgive forgets that a read ran into a deadline which has been set anew since.
func (a *ahead) forgive(deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if (deadline.IsZero() || time.Until(deadline) > 0) && errors.Is(a.err, os.ErrDeadlineExceeded) {
		a.err = nil
	}
}

// take says that the library has come to a request: the early one, if it was begun.
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
		if err != nil || !bodiless(hr) || hr.Method != http.MethodGet || !hr.ProtoAtLeast(1, 1) || hr.Close || !f.Speech.Ahead(hr) {
			a.stop()
			a.mu.Unlock()
			return
		}
		a.seen = a.seen[n+len(headEnd):]
		e := &earlyRequest{method: hr.Method, uri: hr.RequestURI, id: f.Speech.ID(hr)}
		p, refusal := f.enter(hr, 0, func(p *pool.Pool, class string) (refusal *Refusal) {
			e.call, refusal = f.check(hr, p, class)
			return refusal
		}, c)
		if refusal != nil { // the library's turn will say so
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

// follows says that a request which was begun waits for its turn to be answered.
func (a *ahead) follows() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.begun) > 0
}

// noMoreBytes says that there is no more.
type noMoreBytes struct{}

func (noMoreBytes) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// abandon gives an early request up.
func (e *earlyRequest) abandon() {
	e.pool.Engine().Gone(&e.call.Call)
	e.call.gone.Store(true)
	e.call.discard()
	e.pool.Leave(0)
}

// end gives up what was begun on a connection that has ended.
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
