package h2

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/h2/client"
)

// eventQueueSize is how many events of a connection may wait before post blocks.
const eventQueueSize = 64

// conn is a connection to a server. The goroutine of run owns it; other goroutines post events to it, and reserve streams
// through the atomic counters.
type conn struct {
	sender      *Sender
	endpoint    *engine.Endpoint
	netConn     net.Conn      // nil until it is connected
	events      chan event    // for the goroutine of run
	established chan struct{} // closed once it can carry requests
	closing     chan struct{} // closed when it takes no more events
	done        chan struct{} // closed when every request that it took has ended
	err         error         // why it is closing; set before closing is closed
	reserved    atomic.Int64  // streams that are reserved
	maxStreams  atomic.Int64  // streams that may be reserved
	lastRelease atomic.Int64  // time of the last release, by the sender's clock
}

func newConn(s *Sender, ep *engine.Endpoint) *conn {
	c := &conn{
		sender:      s,
		endpoint:    ep,
		events:      make(chan event, eventQueueSize),
		established: make(chan struct{}),
		closing:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	c.maxStreams.Store(int64(s.cfg.MaxStreamsPerConn))
	return c
}

// event is one of the types below, a *streamRequest to be sent, or a client.Event. It is an empty interface, because a
// common one would need a wrapper around each client.Event, and so an allocation for each frame.
type event any

type (
	// requestChunk is a part of a request body that follows after Sent.
	requestChunk struct {
		request *streamRequest
		bytes   []byte
		last    bool
	}
	// consumedBytes says that n bytes of a streamed reply were taken downstream.
	consumedBytes struct {
		request *streamRequest
		n       int
	}
	// cancelRequest resets the stream of a request.
	cancelRequest struct{ request *streamRequest }
	// closeIfIdle closes a connection that has had no stream for that long.
	closeIfIdle struct{ idleFor time.Duration }
	// connectionLost says that no more frames can be read.
	connectionLost struct{ err error }
)

// freeStreams is how many streams can be reserved.
func (c *conn) freeStreams() int64 { return c.maxStreams.Load() - c.reserved.Load() }

// release returns a stream that acquire reserved.
func (c *conn) release() {
	c.lastRelease.Store(int64(c.sender.now()))
	c.reserved.Add(-1)
}

// post passes an event to the connection's goroutine. It returns false if that takes no more events.
func (c *conn) post(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.closing:
		return false
	}
}

// closeAfterIdle closes the connection if it has had no open stream for that long. It does not block.
func (c *conn) closeAfterIdle(idleFor time.Duration) {
	if c.reserved.Load() == 0 {
		select {
		case c.events <- closeIfIdle{idleFor}:
		case <-c.closing:
		default: // the queue is full, so the connection is not idle
		}
	}
}

// run establishes the connection and serves it until it ends.
func (c *conn) run() {
	defer close(c.done)
	defer c.sender.remove(c)
	if !c.sender.cfg.Connections.Take(1) {
		c.stopAccepting(errConnectionLimit)
		return
	}
	defer c.sender.cfg.Connections.Give(1)
	netConn, err := (&net.Dialer{Timeout: c.sender.cfg.ConnectTimeout}).Dial("tcp", c.endpoint.Addr)
	if err != nil {
		c.stopAccepting(err)
		return
	}
	c.netConn = netConn
	defer netConn.Close()
	loop, opening := newConnLoop(c)
	failure := loop.perform(opening)
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		c.readFrames()
	}()
	close(c.established)
	for failure == nil {
		failure = loop.handle(<-c.events)
	}
	// Closing the connection ends the reader, which may be blocked in post until closing is closed.
	netConn.Close()
	c.stopAccepting(failure)
	<-readerDone
	loop.finishAll()
	c.rejectQueued()
}

// stopAccepting has post return false from now on, and no more streams reserved.
func (c *conn) stopAccepting(err error) {
	c.maxStreams.Store(0)
	c.err = err
	close(c.closing)
}

// rejectQueued ends the requests that are left in the queue. One that is posted after that, since post may still choose the
// queue, ends with done.
func (c *conn) rejectQueued() {
	for {
		select {
		case e := <-c.events:
			if r, is := e.(*streamRequest); is {
				r.finish(client.Done{Ending: client.NotWritten})
			}
		default:
			return
		}
	}
}

// errClosed is the reason for the end of a connection that was idle, or that has finished its streams after a GOAWAY.
var errClosed = errors.New("the connection is closed")
