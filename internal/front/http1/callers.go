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

// callers accepts callers' connections, as many at once as there is room for: each is held on the
// share of the pool that its last request was for, or of fresh ones. Where no room is left it closes
// the connection that has been of no use for the longest, of the share that has borrowed most:
// callers that say nothing, or keep what they no longer need, would shut out those that ask, and the
// many of one pool those of the others.
type callers struct {
	net.Listener
	fresh *pool.Share

	mu    sync.Mutex                 // guards all below, and what is said of callers
	quiet map[*pool.Share]*list.List // of *caller: those with no request that was taken, the longest so first
	room  chan struct{}              // holds a token when a connection may have become free to close
	count atomic.Int64               // connections that are open
	heads bool                       // requests' heads are looked at as they come: HTTP/1.1
	front *Front                     // that looks ahead; nil: none does
	idle  atomic.Int64               // ns that a connection may be idle; 0: as the library has it
	// headIn is the ns that a request's head may take; 0: as the library has it
	headIn   atomic.Int64
	ownTimes bool // idle and headIn alone bound callers' times; not changed once callers come
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	of      *callers
	share   *pool.Share   // that it is held on
	place   *list.Element // in of.quiet of share, or nil
	since   time.Time     // quiet since
	closed  bool
	used    bool         // a request came on it before
	began   atomic.Int64 // Unix time in ns of the first byte of the request that is coming; 0: none is
	last    atomic.Int64 // and of its latest
	head    head         // of the request that is coming; of whoever reads the connection
	front   *Front       // that looks ahead; nil: none does
	ahead   *ahead       // what it has read
	busy    atomic.Bool  // a request is being served
	slow    *time.Timer  // runs while a head comes in pieces; of whoever reads the connection
	resting *time.Timer  // runs while it is quiet; nil: it never was
}

func newCallers(l net.Listener, fresh *pool.Share) *callers {
	return &callers{Listener: l, fresh: fresh, quiet: map[*pool.Share]*list.List{}, room: make(chan struct{}, 1)}
}

const (
	acceptPause = 20 * time.Millisecond
	roomPause   = 20 * time.Millisecond
	// fresh is how long a connection may be quiet before it counts as of no use: callers connect to ask.
	fresh = 100 * time.Millisecond
	// stalled is how long nothing may have come of a request that is coming before its connection counts as of no use. A
	// caller may take seconds for a request, but goes on with it.
	stalled = 500 * time.Millisecond
)

// Accept survives failed accepts: on Linux they also report what befell a connection or the network
// for a moment, and http.Server gives up on most of these.
func (l *callers) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for err != nil {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		log.Printf("accept: %v", err)
		time.Sleep(acceptPause)
		nc, err = l.Listener.Accept()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.fresh.Take(1) {
		if l.makeRoom() {
			continue
		}
		l.mu.Unlock()
		select {
		case <-l.room:
		case <-time.After(roomPause): // one may have stalled meanwhile
		}
		l.mu.Lock()
	}
	l.count.Add(1)
	c := &caller{Conn: nc, of: l, share: l.fresh, front: l.front}
	if c.front != nil {
		c.ahead = newAhead()
	}
	c.settle()
	if l.ownTimes {
		c.expireLater()
	}
	return c, nil
}

// makeRoom closes a connection that is of no use; false if there is none. Only what a share has borrowed makes room: its
// minimum is kept for it. Of a share's, those on which nothing comes go first, then the one whose request rests longest.
func (l *callers) makeRoom() bool {
	var best *caller
	var most int64
	for s, quiet := range l.quiet {
		_, borrowed := s.Used()
		if borrowed <= most {
			continue
		}
		if c := useless(quiet); c != nil {
			best, most = c, borrowed
		}
	}
	if best == nil {
		return false
	}
	best.close()
	return true
}

// useless finds the quiet connection that is of least use; nil: all may be of some.
func useless(quiet *list.List) (least *caller) {
	now := time.Now()
	oldest := now.Add(-stalled).UnixNano()
	for e := quiet.Front(); e != nil; e = e.Next() {
		c := e.Value.(*caller)
		if c.ahead != nil && c.ahead.open.Load() > 0 {
			continue // a request of it is here, or begins to be
		}
		if c.began.Load() == 0 {
			if now.Sub(c.since) > fresh && conncheck.At(c.Conn) != nil { // else a request is there, yet unread
				return c
			}
		} else if last := c.last.Load(); last < oldest {
			least, oldest = c, last
		}
	}
	return least
}

// settle puts the connection among the quiet ones.
func (c *caller) settle() {
	c.since = time.Now()
	quiet := c.of.quiet[c.share]
	if quiet == nil {
		quiet = list.New()
		c.of.quiet[c.share] = quiet
	}
	c.place = quiet.PushBack(c)
}

// close closes the connection, once. The caller of close holds the lock.
func (c *caller) close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.resting != nil {
		c.resting.Stop() // else it would keep what is closed in memory
	}
	c.of.count.Add(-1)
	c.leave()
	c.share.Give(1)
	c.of.hasRoom()
	if c.ahead != nil {
		go c.ahead.end()
	}
	return c.Conn.Close()
}

// leave takes the connection out of the quiet ones.
func (c *caller) leave() {
	if c.place != nil {
		quiet := c.of.quiet[c.share]
		if quiet.Remove(c.place); quiet.Len() == 0 {
			delete(c.of.quiet, c.share) // a pool that is removed leaves nothing
		}
		c.place = nil
	}
}

// assign has the connection held on a pool's share from now on; false if that has no room for it, or
// the connection was closed before. A pool without a share of its own leaves it where it is.
func (c *caller) assign(to *pool.Share) bool {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if to == nil || to == c.share || c.closed {
		return !c.closed
	}
	if !c.share.Transfer(to, 1) {
		return false
	}
	quiet := c.place != nil
	c.leave()
	if c.share = to; quiet {
		c.settle()
	}
	return true
}

// fresher is how long a connection may say nothing before it is closed while callers are led away: its first request
// may be on the way, which a close would only send to another.
const fresher = time.Second

// rested is the same for one of which nothing more comes.
const rested = 2200 * time.Millisecond

// leadAway closes the connections on which no request is and none is coming.
func (l *callers) leadAway() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var away []*caller
	for _, quiet := range l.quiet {
		for e := quiet.Front(); e != nil; e = e.Next() {
			c := e.Value.(*caller)
			if c.ahead != nil && c.ahead.open.Load() > 0 {
				continue
			}
			idle := c.began.Load() == 0 && (c.used || time.Since(c.since) > fresher)
			if (idle || c.began.Load() != 0 && time.Since(time.Unix(0, c.last.Load())) > rested) && conncheck.At(c.Conn) != nil {
				away = append(away, c)
			}
		}
	}
	for _, c := range away {
		c.close()
	}
}

// open is how many connections there are that nothing has closed.
func (l *callers) open() int { return int(l.count.Load()) }

func (l *callers) hasRoom() {
	select {
	case l.room <- struct{}{}:
	default:
	}
}

func (c *caller) Close() error {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	return c.close()
}

func (c *caller) Read(p []byte) (n int, err error) {
	if c.ahead != nil {
		n, err = c.ahead.read(c, p)
	} else if n, err = c.Conn.Read(p); n > 0 {
		c.came(n, time.Now())
	}
	if n > 0 && c.of.heads {
		c.head.take(p[:n])
		c.watchHead()
	}
	return n, err
}

// watchHead bounds the time of a head that does not come at once.
func (c *caller) watchHead() {
	switch d := time.Duration(c.of.headIn.Load()); {
	case c.head.done && c.slow != nil:
		c.slow.Stop()
		c.slow = nil
	case !c.head.done && c.slow == nil && d > 0 && (d < headWithin || c.of.ownTimes):
		began := c.began.Load()
		c.slow = time.AfterFunc(d, func() { c.tooSlow(began) })
	}
}

// tooSlow closes a connection whose request has not come since then, and is not in work.
func (c *caller) tooSlow(began int64) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.place != nil && began != 0 && c.began.Load() == began {
		c.close()
	}
}

// came notes that bytes have come.
func (c *caller) came(n int, at time.Time) {
	c.last.Store(at.UnixNano())
	c.began.CompareAndSwap(0, at.UnixNano())
}

// SetReadDeadline implements net.Conn.
func (c *caller) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.ahead != nil {
		c.ahead.forgive(t)
	}
	return err
}

// reset has the end of the connection be no end of an answer: one of HTTP/1.0 ends with it.
func (c *caller) reset(hr *http.Request) {
	if t, is := c.Conn.(*net.TCPConn); is && hr.ProtoMajor == 1 {
		t.SetLinger(0)
	}
}

// take notes that a request is taken: the connection stays until it is answered. False says that it
// was closed before, so the request must not be passed on.
func (c *caller) take() bool {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.leave()
	return !c.closed
}

// rest notes that no request is open.
func (c *caller) rest() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.began.Store(0)
	if c.of.heads {
		c.head = head{}
	}
	c.used = true
	if !c.closed {
		c.leave()
		c.settle()
		c.of.hasRoom()
		c.expireLater()
	}
}

// expireLater has the connection closed once it has been quiet for as long as it may. The caller holds the lock.
func (c *caller) expireLater() {
	if d := time.Duration(c.of.idle.Load()); d > 0 {
		if c.resting != nil {
			c.resting.Stop()
		}
		since := c.since
		c.resting = time.AfterFunc(d-time.Since(since), func() { c.expire(since) })
	}
}

// expire closes a connection that has been quiet since then, unless something of a request is here by now, or more time is
// given than when it became quiet.
func (c *caller) expire(since time.Time) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.place != nil && c.since.Equal(since) && time.Since(since) < time.Duration(c.of.idle.Load()) {
		c.expireLater()
		return
	}
	if c.place != nil && c.since.Equal(since) && c.began.Load() == 0 && (c.ahead == nil || c.ahead.open.Load() == 0) && conncheck.At(c.Conn) != nil {
		c.close()
	}
}

// refuse notes that what came was turned away, so the connection is of no use from now on.
func (c *caller) refuse() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.began.Store(1)
	c.last.Store(1)
	if c.place != nil {
		c.of.quiet[c.share].MoveToFront(c.place)
		c.of.hasRoom()
	}
}
