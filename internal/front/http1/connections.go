package http1

import (
	"container/list"
	"errors"
	"log"
	"net"
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

	mu          sync.Mutex                 // guards quiet, lingering and closesAtOnce, and fields of connections that are neither atomic nor marked
	quiet       map[*pool.Share]*list.List // of *connection: those without an accepted request, the longest such first
	freed       chan struct{}              // has a token when a connection may have become one that can be closed
	lingering   *list.List                 // of *connection: those that are closed for writing only, the longest such first
	count       atomic.Int64               // open connections, also lingering ones
	scanHeads   bool                       // header sections are scanned as they come: HTTP/1.1
	front       *Front                     // starts pipelined requests; nil means none does
	idleTimeout atomic.Int64               // in ns; 0 means net/http's
	// headTimeout is the time-out of a header section, in ns; 0 means net/http's.
	headTimeout atomic.Int64
	ownTimes    bool // idleTimeout and headTimeout alone apply; not changed after the first Accept
	// closesAtOnce has connections closed in one step, whatever of their answers is lost.
	closesAtOnce bool
}

func newConnections(l net.Listener, unassigned *pool.Share) *connections {
	return &connections{
		Listener:   l,
		unassigned: unassigned,
		quiet:      map[*pool.Share]*list.List{},
		lingering:  list.New(),
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
// only those that have borrowed lose one. Lingering connections whose answer has arrived go first, then those without a
// request, then the one stalled for longest.
func (l *connections) closeLeastUseful() bool {
	if l.closeAcknowledged() {
		return true
	}
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
	_ = best.beginClose()
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
			if now.Sub(c.quietSince) > newConnectionGrace && conncheck.Peek(c.Conn) != nil && !c.hasAnswerOnItsWay() {
				return c
			}
		} else if last := c.lastByteAt.Load(); last < oldest && !c.hasAnswerOnItsWay() {
			least, oldest = c, last
		}
	}
	return least
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
			if (idle || stalled) && conncheck.Peek(c.Conn) != nil && !c.hasAnswerOnItsWay() {
				closing = append(closing, c)
			}
		}
	}
	for _, c := range closing {
		_ = c.beginClose()
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
