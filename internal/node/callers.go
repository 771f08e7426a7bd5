package node

import (
	"container/list"
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// callers accepts callers' connections, as many at once as there are descriptors for. Where there are
// none left it closes the connection that has been of no use for the longest: callers that say
// nothing, or keep what they no longer need, would shut out those that ask.
type callers struct {
	net.Listener
	most int

	mu    sync.Mutex
	open  int
	quiet list.List     // of *caller: those with no request that was taken, the longest so first
	room  chan struct{} // holds a token when a connection may have become free to close
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	of     *callers
	place  *list.Element // in of.quiet, or nil
	since  time.Time     // quiet since
	closed bool
	began  atomic.Int64 // Unix time in ns of the first byte of the request that is coming; 0: none is
}

func newCallers(l net.Listener, most int) *callers {
	return &callers{Listener: l, most: most, room: make(chan struct{}, 1)}
}

const (
	acceptPause = 20 * time.Millisecond
	roomPause   = 20 * time.Millisecond
	// fresh is how long a connection may be quiet before it counts as of no use: callers connect to ask.
	fresh = 100 * time.Millisecond
	// stalled is how long a request may have been coming before its connection counts as of no use.
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
	for l.open >= l.most && !l.makeRoom() {
		l.mu.Unlock()
		select {
		case <-l.room:
		case <-time.After(roomPause): // one may have stalled meanwhile
		}
		l.mu.Lock()
	}
	l.open++
	c := &caller{Conn: nc, of: l}
	c.settle()
	return c, nil
}

// makeRoom closes a connection that is of no use; false if there is none.
func (l *callers) makeRoom() bool {
	for e := l.quiet.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*caller); c.useless() {
			c.close()
			return true
		}
	}
	return false
}

// useless says that nothing comes on a quiet connection, or hasn't been coming to an end.
func (c *caller) useless() bool {
	if began := c.began.Load(); began != 0 {
		return time.Since(time.Unix(0, began)) > stalled
	}
	return time.Since(c.since) > fresh && peek(c.Conn) != nil // else a request is there, yet unread
}

// settle puts the connection among the quiet ones.
func (c *caller) settle() {
	c.since = time.Now()
	c.place = c.of.quiet.PushBack(c)
}

// close closes the connection, once. The caller of close holds the lock.
func (c *caller) close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.leave()
	c.of.open--
	c.of.hasRoom()
	return c.Conn.Close()
}

// leave takes the connection out of the quiet ones.
func (c *caller) leave() {
	if c.place != nil {
		c.of.quiet.Remove(c.place)
		c.place = nil
	}
}

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

func (c *caller) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.began.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// start is when the request that is coming began to.
func (c *caller) start() time.Time {
	if began := c.began.Load(); began != 0 {
		return time.Unix(0, began)
	}
	return time.Now() // it came with the one before
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
	if !c.closed {
		c.leave()
		c.settle()
		c.of.hasRoom()
	}
}

// refuse notes that what came was turned away, so the connection is of no use from now on.
func (c *caller) refuse() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.began.Store(1)
	if c.place != nil {
		c.of.quiet.MoveToFront(c.place)
		c.of.hasRoom()
	}
}

// peek looks at what has come on a connection, without waiting and beside a reader: nil for bytes,
// EAGAIN for nothing, else why nothing will.
func peek(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var got int
	var failed error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		got, _, failed = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case failed != nil:
		return failed
	case got == 0:
		return net.ErrClosed
	}
	return nil
}
