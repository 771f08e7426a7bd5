package http1

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cranegrade/internal/conncheck"
	"cranegrade/internal/pool"
)

// connection is a downstream connection.
type connection struct {
	net.Conn
	owner        *connections
	share        *pool.Share   // that it counts against
	quietEntry   *list.Element // in owner.quiet of share, or nil
	quietSince   time.Time     // time of its last change to quiet
	closed       bool          // it takes no more requests
	resets       bool          // closing it resets it
	lingerEntry  *list.Element // in owner.lingering, or nil
	lingering    atomic.Bool   // it is closed for writing, and what is still read is discarded
	used         bool          // it has carried a request
	requestBegan atomic.Int64  // Unix time in ns of the first byte of the request that is being received; 0 if none is
	lastByteAt   atomic.Int64  // and of its latest byte
	head         headScanner   // of that request; owned by the goroutine that reads
	front        *Front        // that starts pipelined requests; nil means none does
	pipeline     *pipeline     // pipelined requests; nil means they are not started early
	busy         atomic.Bool   // a request is being served
	headTimer    *time.Timer   // runs while a header section is incomplete; owned by the goroutine that reads
	idleTimer    *time.Timer   // runs while it is quiet; nil if it has never been quiet
	reads        atomic.Int64  // how often net/http has read; counted without a pipeline
	// cancelRequests ends the context of the connection's requests, as net/http does when it notices the caller's end. It is set
	// before the connection is served.
	cancelRequests context.CancelFunc
}

// addQuiet adds the connection to the quiet ones. The caller holds the lock.
func (c *connection) addQuiet() {
	c.quietSince = time.Now()
	quiet := c.owner.quiet[c.share]
	if quiet == nil {
		quiet = list.New()
		c.owner.quiet[c.share] = quiet
	}
	c.quietEntry = quiet.PushBack(c)
}

// removeQuiet removes the connection from the quiet ones. The caller holds the lock.
func (c *connection) removeQuiet() {
	if c.quietEntry != nil {
		quiet := c.owner.quiet[c.share]
		if quiet.Remove(c.quietEntry); quiet.Len() == 0 {
			delete(c.owner.quiet, c.share) // nothing remains of a pool that was removed
		}
		c.quietEntry = nil
	}
}

// assign moves the connection to the share of a pool. It returns false if that has no capacity, or if the connection was
// closed before. With a nil share it changes nothing.
func (c *connection) assign(to *pool.Share) bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if to == nil || to == c.share || c.closed {
		return !c.closed
	}
	if !c.share.Transfer(to, 1) {
		return false
	}
	quiet := c.quietEntry != nil
	c.removeQuiet()
	if c.share = to; quiet {
		c.addQuiet()
	}
	return true
}

func (c *connection) Close() error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.beginClose()
}

func (c *connection) Read(p []byte) (n int, err error) {
	if c.pipeline != nil {
		n, err = c.pipeline.read(c, p)
	} else {
		n, err = c.readOnce(p)
	}
	if c.lingering.Load() {
		// It was closed while net/http waited for the next request. net/http answers no read that fails with an OpError.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	if n > 0 && c.owner.scanHeads {
		c.head.take(p[:n])
		c.watchHead()
	}
	return n, err
}

// readOnce reads for net/http, which asks for a single byte while it serves a request, to notice the end of the connection. Once it
// has got that byte, of a later request, it reads no more until the request is answered.
func (c *connection) readOnce(p []byte) (n int, err error) {
	read := c.reads.Add(1)
	if n, err = c.Conn.Read(p); n > 0 {
		c.recordBytes(time.Now())
	}
	if n == 1 && len(p) == 1 {
		c.scheduleEndCheck(read)
	}
	return n, err
}

// scheduleEndCheck has the end of the connection looked for until net/http reads again, since it does not notice it meanwhile.
func (c *connection) scheduleEndCheck(read int64) {
	time.AfterFunc(endCheckInterval, func() {
		switch {
		case c.reads.Load() != read:
		case conncheck.HasEnded(c.Conn):
			c.cancelRequests()
		default:
			c.scheduleEndCheck(read)
		}
	})
}

// watchHead applies the time-out of a header section that is not complete yet.
func (c *connection) watchHead() {
	switch d := time.Duration(c.owner.headTimeout.Load()); {
	case c.head.done && c.headTimer != nil:
		c.headTimer.Stop()
		c.headTimer = nil
	case !c.head.done && c.headTimer == nil && d > 0 && (d < headTimeout || c.owner.ownTimes):
		began := c.requestBegan.Load()
		c.headTimer = time.AfterFunc(d, func() { c.closeSlow(began) })
	}
}

// closeSlow closes a connection whose request began then and has still not been accepted.
func (c *connection) closeSlow(began int64) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.quietEntry != nil && began != 0 && c.requestBegan.Load() == began {
		_ = c.beginClose()
	}
}

// recordBytes notes that bytes of a request have come.
func (c *connection) recordBytes(at time.Time) {
	c.lastByteAt.Store(at.UnixNano())
	c.requestBegan.CompareAndSwap(0, at.UnixNano())
}

// SetReadDeadline implements net.Conn. While the connection lingers, linger alone sets deadlines: with a later one it would
// not notice that it has to give up.
func (c *connection) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.lingering.Load() { // checked afterwards, since it may have begun meanwhile
		err = c.setLingerDeadline()
	}
	if c.pipeline != nil {
		c.pipeline.setDeadline(t)
	}
	return err
}

// resetOnClose has the connection end with a TCP reset if the caller could take its end for that of a complete answer: an
// answer to HTTP/1.0 without a length ends with its connection (RFC 9112, section 6.3). Any other incomplete answer is known by
// its length or its chunks, and a reset could drop the answer before it.
func (c *connection) resetOnClose(hr *http.Request) {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP || hr.ProtoMajor != 1 || hr.ProtoMinor != 0 {
		return
	}
	_ = tcp.SetLinger(0) // fails only if the connection has ended
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.resets = true
}

// beginRequest notes that a request is accepted: the connection is not closed until it is answered. It returns false if it
// was closed before; the request must then not be forwarded.
func (c *connection) beginRequest() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.removeQuiet()
	return !c.closed
}

// endRequest notes that the request was answered.
func (c *connection) endRequest() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.requestBegan.Store(0)
	if c.owner.scanHeads {
		c.head = headScanner{}
	}
	c.used = true
	if !c.closed {
		c.removeQuiet()
		c.addQuiet()
		c.owner.signalFreed()
		c.armIdleTimer()
	}
}

// armIdleTimer has the connection closed after the idle time-out. The caller holds the lock.
func (c *connection) armIdleTimer() {
	if d := time.Duration(c.owner.idleTimeout.Load()); d > 0 {
		if c.idleTimer != nil {
			c.idleTimer.Stop()
		}
		since := c.quietSince
		c.idleTimer = time.AfterFunc(d-time.Since(since), func() { c.expire(since) })
	}
}

// expire closes a connection that has been quiet since then, unless a part of a request was received or the idle time-out has
// been raised since.
func (c *connection) expire(since time.Time) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.quietEntry != nil && c.quietSince.Equal(since) && time.Since(since) < time.Duration(c.owner.idleTimeout.Load()) {
		c.armIdleTimer()
		return
	}
	if c.quietEntry != nil && c.quietSince.Equal(since) && c.requestBegan.Load() == 0 &&
		(c.pipeline == nil || c.pipeline.pending.Load() == 0) && conncheck.Peek(c.Conn) != nil {
		_ = c.beginClose()
	}
}

// longAgo is a Unix time in ns before any request: a connection whose last byte came then counts as stalled for longest.
const longAgo = 1

// markUseless notes that a request was rejected, so that the connection is the first to be closed at the limit.
func (c *connection) markUseless() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.requestBegan.Store(longAgo)
	c.lastByteAt.Store(longAgo)
	if c.quietEntry != nil {
		c.owner.quiet[c.share].MoveToFront(c.quietEntry)
		c.owner.signalFreed()
	}
}
