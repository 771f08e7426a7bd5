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

// Conn is one connection. Receive may be called from one goroutine, all other methods from any. Its writer goroutine ends with the
// connection, so its owner has to close it.
type Conn struct {
	// Peer is the hello of the process that dialled. On the dialling side that is the process itself.
	Peer *wire.HelloT

	netConn net.Conn
	reader  *bufio.Reader

	encodeHeartbeat func() []byte
	alwaysHeartbeat bool          // heartbeats are sent at every tick, since other messages can't replace their content
	writeTimeout    time.Duration // shorter in tests
	pending         atomic.Int64  // see AddPending
	pendingSince    atomic.Int64  // when pending last rose from 0, in Unix nanoseconds
	lastReceived    atomic.Int64  // Unix nanoseconds of the latest bytes

	writeMu     sync.Mutex // held during a write, and to set writeClosed
	writeClosed bool       // nothing more may be written; guarded by writeMu

	mu          sync.Mutex // guards queue, queuedBytes and err
	queue       [][]byte
	queuedBytes int
	err         error // why the connection ended, or nil if it has not

	wake chan struct{} // signals that queue is not empty
	done chan struct{} // closed with the connection
}

// newConn returns a connection over netConn and starts its writer. heartbeat is as in Dial.
func newConn(netConn net.Conn, heartbeat func() *wire.HeartbeatT) *Conn {
	c := &Conn{
		netConn:      netConn,
		writeTimeout: writeTimeout,
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	c.reader = bufio.NewReaderSize(receiveTracker{c}, readBufferSize)
	c.encodeHeartbeat = func() []byte { return codec.Encode(&wire.HeartbeatT{}) }
	if heartbeat != nil {
		c.encodeHeartbeat = func() []byte { return codec.Encode(heartbeat()) }
		c.alwaysHeartbeat = true
	}
	c.lastReceived.Store(time.Now().UnixNano())
	go c.writeLoop()
	return c
}

// AddPending adds to the number of replies that this side waits for, or works on for the peer; n is negative once they are done. While
// there are any, heartbeats are frequent and the peer's time-out is short, so that whoever waits soon finds out that the peer is gone.
func (c *Conn) AddPending(n int64) {
	if n > 0 && c.pending.Load() == 0 {
		c.pendingSince.Store(time.Now().UnixNano())
	}
	c.pending.Add(n)
}

// Pending returns the number of pending replies; see AddPending.
func (c *Conn) Pending() int64 { return c.pending.Load() }

// Send queues a message of one of the types of codec.NewMessage. It never blocks: a connection whose peer does not read is closed. The
// error is ErrClosed or ErrQueueFull; nil does not mean that the message arrives.
func (c *Conn) Send(message any) error { return c.SendFrame(codec.Encode(message)) }

// SendFrame is Send of a message that codec.Encode has encoded. The frame must not be changed afterwards.
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

// Receive waits for the next message, and skips those of types that this build does not know. On an error it closes the connection.
func (c *Conn) Receive() (codec.Message, error) {
	for {
		m, err := c.receiveFrame()
		if err != nil {
			c.Close(err)
			return codec.Message{}, err
		}
		if m.Type != wire.PayloadNONE { // which stands for a type of a later version
			return m, nil
		}
	}
}

// receiveFrame waits for the next frame and decodes it.
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

// receiveTracker reads from a connection and records when bytes arrive, so that a peer that is sending a long frame over a slow link
// does not count as silent.
type receiveTracker struct{ conn *Conn }

// Read implements io.Reader.
func (r receiveTracker) Read(p []byte) (int, error) {
	n, err := r.conn.netConn.Read(p)
	if n > 0 {
		r.conn.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// Shutdown closes the connection once everything that was sent is written, and the peer has read it and closed its own end. The owner
// has to go on receiving meanwhile. A process that simply exits resets the connection if there is unread data, and the peer may then
// lose what was sent last. When ctx ends the connection is closed at once.
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
		_ = half.CloseWrite() // it only fails on a connection that has ended
	}
	c.writeMu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		c.Close(ctx.Err())
	}
}

// Close closes the connection at once. Err returns reason from then on, or ErrClosed if reason is nil, unless the connection was closed
// before.
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

// LastReceived returns when the last bytes were received.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.lastReceived.Load()) }

// RemoteAddr returns the peer's host and port.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// Done returns a channel that is closed with the connection.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, or nil if it has not.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Flushed reports whether the queue is empty. The last frames may not have been passed to the socket yet.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}
