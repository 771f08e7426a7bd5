package http1

import (
	"container/list"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/conncheck"
	"cranegrade/internal/pool"
)

// connections accepts downstream connections, as many as the shares have capacity for. Each counts against the share of the
// pool of its last request, or against unassigned before its first one. At the limit the least useful connection is closed,
// of the share that has borrowed most: otherwise idle callers would shut out active ones, and the many callers of one pool
// those of the others.
type connections struct {
	net.Listener
	unassigned *pool.Share

	mu          sync.Mutex                 // guards quiet, and fields of connections that are neither atomic nor marked
	quiet       map[*pool.Share]*list.List // of *connection: those without an accepted request, the longest such first
	freed       chan struct{}              // has a token when a connection may have become one that can be closed
	count       atomic.Int64               // open connections
	scanHeads   bool                       // header sections are scanned as they come: HTTP/1.1
	front       *Front                     // starts pipelined requests; nil means none does
	idleTimeout atomic.Int64               // in ns; 0 means net/http's
	// headTimeout is the time-out of a header section, in ns; 0 means net/http's.
	headTimeout atomic.Int64
	ownTimes    bool // idleTimeout and headTimeout alone apply; not changed after the first Accept
}

// connection is a downstream connection.
type connection struct {
	net.Conn
	owner        *connections
	share        *pool.Share   // that it counts against
	quietEntry   *list.Element // in owner.quiet of share, or nil
	quietSince   time.Time     // time of its last change to quiet
	closed       bool
	used         bool         // it has carried a request
	requestBegan atomic.Int64 // Unix time in ns of the first byte of the request that is being received; 0 if none is
	lastByteAt   atomic.Int64 // and of its latest byte
	head         headScanner  // of that request; owned by the goroutine that reads
	front        *Front       // that starts pipelined requests; nil means none does
	pipeline     *pipeline    // pipelined requests; nil means they are not started early
	busy         atomic.Bool  // a request is being served
	headTimer    *time.Timer  // runs while a header section is incomplete; owned by the goroutine that reads
	idleTimer    *time.Timer  // runs while it is quiet; nil if it has never been quiet
}

func newConnections(l net.Listener, unassigned *pool.Share) *connections {
	return &connections{
		Listener:   l,
		unassigned: unassigned,
		quiet:      map[*pool.Share]*list.List{},
		freed:      make(chan struct{}, 1),
	}
}

const (
	acceptErrorPause    = 20 * time.Millisecond
	acceptRetryInterval = 20 * time.Millisecond
	// newConnectionGrace is how long a new connection may be without a request before it may be closed at the limit.
	newConnectionGrace = 100 * time.Millisecond
	// stallTime is how long no byte of an incomplete request may have come before its connection may be closed at the limit.
	// A slow caller may take seconds for a request, but it sends on.
	stallTime = 500 * time.Millisecond
)

// Accept retries after errors: on Linux they also report faults of one connection or of the network, after most of which
// http.Server would stop serving. It waits while there is no capacity and no connection that may be closed.
func (l *connections) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for err != nil {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		log.Printf("accept: %v", err)
		time.Sleep(acceptErrorPause)
		nc, err = l.Listener.Accept()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.unassigned.Take(1) {
		if l.closeLeastUseful() {
			continue
		}
		l.mu.Unlock()
		select {
		case <-l.freed:
		case <-time.After(acceptRetryInterval): // one may have stalled since
		}
		l.mu.Lock()
	}
	l.count.Add(1)
	c := &connection{Conn: nc, owner: l, share: l.unassigned, front: l.front}
	if c.front != nil {
		c.pipeline = newPipeline()
	}
	c.addQuiet()
	if l.ownTimes {
		c.armIdleTimer()
	}
	return c, nil
}

// closeLeastUseful closes a connection that may be closed at the limit; false if there is none. A share keeps its minimum:
// only those that have borrowed lose one. Connections without a request go first, then the one stalled for longest.
func (l *connections) closeLeastUseful() bool {
	var best *connection
	var most int64
	for s, quiet := range l.quiet {
		_, borrowed := s.Used()
		if borrowed <= most {
			continue
		}
		if c := leastUseful(quiet); c != nil {
			best, most = c, borrowed
		}
	}
	if best == nil {
		return false
	}
	_ = best.close()
	return true
}

// leastUseful returns the quiet connection to be closed first, or nil if there is none.
func leastUseful(quiet *list.List) (least *connection) {
	now := time.Now()
	oldest := now.Add(-stallTime).UnixNano()
	for e := quiet.Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if c.pipeline != nil && c.pipeline.pending.Load() > 0 {
			continue // at least a part of a request was received
		}
		if c.requestBegan.Load() == 0 {
			// Without an error of Peek there are unread bytes of a request.
			if now.Sub(c.quietSince) > newConnectionGrace && conncheck.Peek(c.Conn) != nil {
				return c
			}
		} else if last := c.lastByteAt.Load(); last < oldest {
			least, oldest = c, last
		}
	}
	return least
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

// close closes the connection, once. The caller holds the lock.
func (c *connection) close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.idleTimer != nil {
		c.idleTimer.Stop() // otherwise it would keep the closed connection in memory
	}
	c.owner.count.Add(-1)
	c.removeQuiet()
	c.share.Give(1)
	c.owner.signalFreed()
	if c.pipeline != nil {
		go c.pipeline.end()
	}
	return c.Conn.Close()
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

// drainNewAfter is how old a connection without a request must be before it is closed while draining: its first request may
// already be on its way.
const drainNewAfter = time.Second

// drainStalledAfter is how long no byte of an incomplete request must have come before its connection is closed while draining.
const drainStalledAfter = 2200 * time.Millisecond

// closeIdle closes the connections without a request, and those whose request has stalled, to drain the front.
func (l *connections) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var closing []*connection
	for _, quiet := range l.quiet {
		for e := quiet.Front(); e != nil; e = e.Next() {
			c := e.Value.(*connection)
			if c.pipeline != nil && c.pipeline.pending.Load() > 0 {
				continue
			}
			idle := c.requestBegan.Load() == 0 && (c.used || time.Since(c.quietSince) > drainNewAfter)
			stalled := c.requestBegan.Load() != 0 && time.Since(time.Unix(0, c.lastByteAt.Load())) > drainStalledAfter
			if (idle || stalled) && conncheck.Peek(c.Conn) != nil {
				closing = append(closing, c)
			}
		}
	}
	for _, c := range closing {
		_ = c.close()
	}
}

// open returns how many connections are open.
func (l *connections) open() int { return int(l.count.Load()) }

func (l *connections) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

func (c *connection) Close() error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.close()
}

func (c *connection) Read(p []byte) (n int, err error) {
	if c.pipeline != nil {
		n, err = c.pipeline.read(c, p)
	} else if n, err = c.Conn.Read(p); n > 0 {
		c.recordBytes(time.Now())
	}
	if n > 0 && c.owner.scanHeads {
		c.head.take(p[:n])
		c.watchHead()
	}
	return n, err
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
		_ = c.close()
	}
}

// recordBytes notes that bytes of a request have come.
func (c *connection) recordBytes(at time.Time) {
	c.lastByteAt.Store(at.UnixNano())
	c.requestBegan.CompareAndSwap(0, at.UnixNano())
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.pipeline != nil {
		c.pipeline.dropDeadlineError(t)
	}
	return err
}

// resetOnClose has the connection end with a TCP reset, which a caller can't take for the end of an answer that ends with
// its connection (RFC 9112, section 6.3).
func (c *connection) resetOnClose(hr *http.Request) {
	if t, is := c.Conn.(*net.TCPConn); is && hr.ProtoMajor == 1 {
		_ = t.SetLinger(0) // fails only if the connection has ended
	}
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
		_ = c.close()
	}
}

// markUseless notes that a request was rejected, so that the connection is the first to be closed at the limit.
func (c *connection) markUseless() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.requestBegan.Store(1)
	c.lastByteAt.Store(1)
	if c.quietEntry != nil {
		c.owner.quiet[c.share].MoveToFront(c.quietEntry)
		c.owner.signalFreed()
	}
}
