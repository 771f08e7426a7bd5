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

// connections accepts callers' connections, as many at once as there is room for: each is held on the
// share of the pool that its last request was for, or of fresh ones. Where no room is left it closes
// the connection that has been of no use for the longest, of the share that has borrowed most:
// callers that say nothing, or keep what they no longer need, would shut out those that ask, and the
// many of one pool those of the others.
type connections struct {
	net.Listener
	unassigned *pool.Share

	mu          sync.Mutex                 // guards all below, and what is said of callers
	quiet       map[*pool.Share]*list.List // of *caller: those with no request that was taken, the longest so first
	freed       chan struct{}              // holds a token when a connection may have become free to close
	count       atomic.Int64               // connections that are open
	scanHeads   bool                       // requests' heads are looked at as they come: HTTP/1.1
	front       *Front                     // that looks ahead; nil: none does
	idleTimeout atomic.Int64               // ns that a connection may be idle; 0: as the library has it
	// headIn is the ns that a request's head may take; 0: as the library has it
	headTimeout atomic.Int64
	ownTimes    bool // idle and headIn alone bound callers' times; not changed once callers come
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	owner        *connections
	share        *pool.Share   // that it is held on
	quietEntry   *list.Element // in of.quiet of share, or nil
	quietSince   time.Time     // quiet since
	closed       bool
	used         bool         // a request came on it before
	requestBegan atomic.Int64 // Unix time in ns of the first byte of the request that is coming; 0: none is
	lastByteAt   atomic.Int64 // and of its latest
	head         headScanner  // of the request that is coming; of whoever reads the connection
	front        *Front       // that looks ahead; nil: none does
	ahead        *ahead       // what it has read
	busy         atomic.Bool  // a request is being served
	headTimer    *time.Timer  // runs while a head comes in pieces; of whoever reads the connection
	idleTimer    *time.Timer  // runs while it is quiet; nil: it never was
}

func newConnections(l net.Listener, fresh *pool.Share) *connections {
	return &connections{Listener: l, unassigned: fresh, quiet: map[*pool.Share]*list.List{}, freed: make(chan struct{}, 1)}
}

const (
	acceptErrorPause    = 20 * time.Millisecond
	acceptRetryInterval = 20 * time.Millisecond
	// newConnectionGrace is how long a connection may be quiet before it counts as of no use: callers connect to ask.
	newConnectionGrace = 100 * time.Millisecond
	// stallTime is how long nothing may have come of a request that is coming before its connection counts as of no use. A
	// caller may take seconds for a request, but goes on with it.
	stallTime = 500 * time.Millisecond
)

// Accept survives failed accepts: on Linux they also report what befell a connection or the network
// for a moment, and http.Server gives up on most of these.
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
		case <-time.After(acceptRetryInterval): // one may have stalled meanwhile
		}
		l.mu.Lock()
	}
	l.count.Add(1)
	c := &connection{Conn: nc, owner: l, share: l.unassigned, front: l.front}
	if c.front != nil {
		c.ahead = newAhead()
	}
	c.addQuiet()
	if l.ownTimes {
		c.armIdleTimer()
	}
	return c, nil
}

// closeLeastUseful closes a connection that is of no use; false if there is none. Only what a share has borrowed makes room: its
// minimum is kept for it. Of a share's, those on which nothing comes go first, then the one whose request rests longest.
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
	best.close()
	return true
}

// leastUseful finds the quiet connection that is of least use; nil: all may be of some.
func leastUseful(quiet *list.List) (least *connection) {
	now := time.Now()
	oldest := now.Add(-stallTime).UnixNano()
	for e := quiet.Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if c.ahead != nil && c.ahead.open.Load() > 0 {
			continue // a request of it is here, or begins to be
		}
		if c.requestBegan.Load() == 0 {
			if now.Sub(c.quietSince) > newConnectionGrace && conncheck.At(c.Conn) != nil { // else a request is there, yet unread
				return c
			}
		} else if last := c.lastByteAt.Load(); last < oldest {
			least, oldest = c, last
		}
	}
	return least
}

// addQuiet puts the connection among the quiet ones.
func (c *connection) addQuiet() {
	c.quietSince = time.Now()
	quiet := c.owner.quiet[c.share]
	if quiet == nil {
		quiet = list.New()
		c.owner.quiet[c.share] = quiet
	}
	c.quietEntry = quiet.PushBack(c)
}

// close closes the connection, once. The caller of close holds the lock.
func (c *connection) close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.idleTimer != nil {
		c.idleTimer.Stop() // else it would keep what is closed in memory
	}
	c.owner.count.Add(-1)
	c.removeQuiet()
	c.share.Give(1)
	c.owner.signalFreed()
	if c.ahead != nil {
		go c.ahead.end()
	}
	return c.Conn.Close()
}

// removeQuiet takes the connection out of the quiet ones.
func (c *connection) removeQuiet() {
	if c.quietEntry != nil {
		quiet := c.owner.quiet[c.share]
		if quiet.Remove(c.quietEntry); quiet.Len() == 0 {
			delete(c.owner.quiet, c.share) // a pool that is removed leaves nothing
		}
		c.quietEntry = nil
	}
}

// assign has the connection held on a pool's share from now on; false if that has no room for it, or
// the connection was closed before. A pool without a share of its own leaves it where it is.
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

// drainNewAfter is how long a connection may say nothing before it is closed while callers are led away: its first request
// may be on the way, which a close would only send to another.
const drainNewAfter = time.Second

// drainStalledAfter is the same for one of which nothing more comes.
const drainStalledAfter = 2200 * time.Millisecond

// closeIdle closes the connections on which no request is and none is coming.
func (l *connections) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var away []*connection
	for _, quiet := range l.quiet {
		for e := quiet.Front(); e != nil; e = e.Next() {
			c := e.Value.(*connection)
			if c.ahead != nil && c.ahead.open.Load() > 0 {
				continue
			}
			idle := c.requestBegan.Load() == 0 && (c.used || time.Since(c.quietSince) > drainNewAfter)
			if (idle || c.requestBegan.Load() != 0 && time.Since(time.Unix(0, c.lastByteAt.Load())) > drainStalledAfter) && conncheck.At(c.Conn) != nil {
				away = append(away, c)
			}
		}
	}
	for _, c := range away {
		c.close()
	}
}

// open is how many connections there are that nothing has closed.
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
	if c.ahead != nil {
		n, err = c.ahead.read(c, p)
	} else if n, err = c.Conn.Read(p); n > 0 {
		c.recordBytes(n, time.Now())
	}
	if n > 0 && c.owner.scanHeads {
		c.head.take(p[:n])
		c.watchHead()
	}
	return n, err
}

// watchHead bounds the time of a head that does not come at once.
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

// closeSlow closes a connection whose request has not come since then, and is not in work.
func (c *connection) closeSlow(began int64) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.quietEntry != nil && began != 0 && c.requestBegan.Load() == began {
		c.close()
	}
}

// recordBytes notes that bytes have come.
func (c *connection) recordBytes(n int, at time.Time) {
	c.lastByteAt.Store(at.UnixNano())
	c.requestBegan.CompareAndSwap(0, at.UnixNano())
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.ahead != nil {
		c.ahead.forgive(t)
	}
	return err
}

// resetOnClose has the end of the connection be no end of an answer: one of HTTP/1.0 ends with it.
func (c *connection) resetOnClose(hr *http.Request) {
	if t, is := c.Conn.(*net.TCPConn); is && hr.ProtoMajor == 1 {
		t.SetLinger(0)
	}
}

// beginRequest notes that a request is taken: the connection stays until it is answered. False says that it
// was closed before, so the request must not be passed on.
func (c *connection) beginRequest() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.removeQuiet()
	return !c.closed
}

// endRequest notes that no request is open.
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

// armIdleTimer has the connection closed once it has been quiet for as long as it may. The caller holds the lock.
func (c *connection) armIdleTimer() {
	if d := time.Duration(c.owner.idleTimeout.Load()); d > 0 {
		if c.idleTimer != nil {
			c.idleTimer.Stop()
		}
		since := c.quietSince
		c.idleTimer = time.AfterFunc(d-time.Since(since), func() { c.expire(since) })
	}
}

// expire closes a connection that has been quiet since then, unless something of a request is here by now, or more time is
// given than when it became quiet.
func (c *connection) expire(since time.Time) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.quietEntry != nil && c.quietSince.Equal(since) && time.Since(since) < time.Duration(c.owner.idleTimeout.Load()) {
		c.armIdleTimer()
		return
	}
	if c.quietEntry != nil && c.quietSince.Equal(since) && c.requestBegan.Load() == 0 && (c.ahead == nil || c.ahead.open.Load() == 0) && conncheck.At(c.Conn) != nil {
		c.close()
	}
}

// markUseless notes that what came was turned away, so the connection is of no use from now on.
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
