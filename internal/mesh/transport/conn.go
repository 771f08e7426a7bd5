package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Conn is one connection. Receive may be called from one goroutine, everything else from any. Its writer goroutine ends with the
// connection: whoever has one closes it.
type Conn struct {
	// Peer is the hello of the process that dialled; on that side its own.
	Peer *wire.HelloT

	netConn net.Conn
	reader  *bufio.Reader

	encodeHeartbeat func() []byte
	alwaysHeartbeat bool          // other messages don't stand for heartbeats
	writeTimeout    time.Duration // shorter in tests
	pending         atomic.Int64  // see AddPending
	pendingSince    atomic.Int64  // Unix nanoseconds since when there is anything
	lastReceived    atomic.Int64  // Unix nanoseconds of the latest bytes

	writeMu     sync.Mutex // held over a write, and to end the writing
	writeClosed bool       // nothing more is written; guarded by writeMu

	mu          sync.Mutex // guards queue, queuedBytes and err
	queue       [][]byte
	queuedBytes int
	err         error // why it ended; nil: it has not

	wake chan struct{} // there is something in queue
	done chan struct{} // closed with the connection
}

func newConn(netConn net.Conn, heartbeat func() *wire.HeartbeatT) *Conn {
	c := &Conn{netConn: netConn, writeTimeout: writeTimeout, wake: make(chan struct{}, 1), done: make(chan struct{})}
	c.reader = bufio.NewReaderSize(receiveTracker{c}, readBufferSize)
	c.encodeHeartbeat = func() []byte { return codec.Encode(&wire.HeartbeatT{}) }
	if heartbeat != nil { // it says more than that the sender is alive
		c.encodeHeartbeat, c.alwaysHeartbeat = func() []byte { return codec.Encode(heartbeat()) }, true
	}
	c.lastReceived.Store(time.Now().UnixNano())
	go c.writeLoop()
	return c
}

// AddPending counts what this side waits for on the connection, or works on for the peer; a negative n takes it back. Both sides
// send heartbeats often while there is any, for whoever waits has to find out soon that the peer is gone.
func (c *Conn) AddPending(n int64) {
	if n > 0 && c.pending.Load() == 0 {
		c.pendingSince.Store(time.Now().UnixNano())
	}
	c.pending.Add(n)
}

// Pending is the sum of AddPending.
func (c *Conn) Pending() int64 { return c.pending.Load() }

// Send queues a message, one of the types of codec.NewMessage. It does not wait: a connection whose peer does not read ends. The error
// is ErrClosed or ErrQueueFull; nil does not say that the message arrives.
func (c *Conn) Send(message any) error { return c.SendFrame(codec.Encode(message)) }

// SendFrame is Send of a message that codec.Encode has encoded. The frame must not be changed any more.
func (c *Conn) SendFrame(frame []byte) error {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return ErrClosed
	}
	if c.queuedBytes+len(frame) > maxQueuedBytes {
		c.mu.Unlock()
		c.Close(ErrQueueFull)
		return ErrQueueFull
	}
	countSent(frame)
	c.queue = append(c.queue, frame)
	c.queuedBytes += len(frame)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// Receive waits for the next message of a type that this build knows. On an error the connection is closed.
func (c *Conn) Receive() (codec.Message, error) {
	for {
		m, err := c.receiveFrame()
		if err != nil {
			c.Close(err)
			return codec.Message{}, err
		}
		if m.Type != wire.PayloadNONE { // a later version's
			return m, nil
		}
	}
}

func (c *Conn) receiveFrame() (codec.Message, error) {
	var lengthPrefix [codec.LengthBytes]byte
	if _, err := io.ReadFull(c.reader, lengthPrefix[:]); err != nil {
		return codec.Message{}, err
	}
	length := binary.LittleEndian.Uint32(lengthPrefix[:])
	if length > maxFrameBytes {
		return codec.Message{}, errors.Annotatef(codec.ErrMalformedFrame, "%d bytes", length)
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(c.reader, frame); err != nil {
		return codec.Message{}, err
	}
	m, err := codec.Decode(frame)
	if err != nil {
		return codec.Message{}, err
	}
	receivedTraffic.add(m.Type, len(lengthPrefix)+len(frame))
	return m, nil
}

// receiveTracker reads a connection and records when anything came: a long frame over a slow link is not silence.
type receiveTracker struct{ conn *Conn }

// Read implements io.Reader.
func (r receiveTracker) Read(p []byte) (int, error) {
	n, err := r.conn.netConn.Read(p)
	if n > 0 {
		r.conn.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// Shutdown ends the connection once everything that was sent is written, and the peer has read it and closed its own end. Somebody has to
// go on receiving. A process that only ended would reset the connection if anything had come that it had not read, and what it
// sent last would be lost. When the context ends, so does the connection.
func (c *Conn) Shutdown(ctx context.Context) {
	const pollInterval = 5 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.writeMu.Lock(); !c.Flushed() && c.Err() == nil && ctx.Err() == nil; c.writeMu.Lock() {
		c.writeMu.Unlock()
		<-ticker.C
	}
	c.writeClosed = true
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // it fails on a connection that has ended, which done tells
	}
	c.writeMu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		c.Close(ctx.Err())
	}
}

// Close ends the connection at once. reason is what Err says from then on, unless it was closed before; nil: ErrClosed.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = reason
	if reason == nil {
		c.err = ErrClosed
	}
	close(c.done)
	_ = c.netConn.Close()
}

// LastReceived is when the latest bytes came.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.lastReceived.Load()) }

// RemoteAddr is the peer's host and port.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// Done is closed with the connection.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err is why the connection ended; nil: it has not.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Flushed says that nothing is queued. The last frames may still be on their way into the socket.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}
