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

// Conn is a connection. Receive must be called by one goroutine at a time; all other methods are safe for concurrent use. The owner has to
// close the connection, which also ends its writer goroutine.
type Conn struct {
	// Peer is the hello message of the process that dialled; on the dialling side, this is its own hello.
	Peer *wire.HelloT

	netConn net.Conn
	reader  *bufio.Reader

	encodeHeartbeat func() []byte
	alwaysHeartbeat bool          // send a heartbeat at every tick, since other messages don't carry its content
	writeTimeout    time.Duration // the constant writeTimeout, except in tests
	pending         atomic.Int64  // see AddPending
	pendingSince    atomic.Int64  // when pending last increased from 0, in Unix nanoseconds
	lastReceived    atomic.Int64  // when bytes were last received, in Unix nanoseconds

	writeMu     sync.Mutex // locked during a write, and to set writeClosed
	writeClosed bool       // writing has been shut down; guarded by writeMu

	mu          sync.Mutex // guards queue, queuedBytes and err
	queue       [][]byte
	queuedBytes int
	err         error // why the connection was closed, or nil while it is open

	wake chan struct{} // signals that queue is not empty
	done chan struct{} // closed when the connection is closed
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

// AddPending adds n to the number of replies that this side waits for or is preparing for the peer; n is negative when they are done.
// While the number is not 0, heartbeats are frequent and the timeout for a silent peer is short, so that the failure of the peer is
// detected soon.
func (c *Conn) AddPending(n int64) {
	if n > 0 && c.pending.Load() == 0 {
		c.pendingSince.Store(time.Now().UnixNano())
	}
	c.pending.Add(n)
}

// Pending returns the number of pending replies; see AddPending.
func (c *Conn) Pending() int64 { return c.pending.Load() }

// Send queues a message of one of the types that codec.NewMessage accepts. It never blocks: if the peer does not read and the queue is
// full, it closes the connection. The error is ErrClosed or ErrQueueFull; nil does not guarantee that the message arrives.
func (c *Conn) Send(message any) error { return c.SendFrame(codec.Encode(message)) }

// SendFrame is like Send for a message already encoded by codec.Encode. The caller must not modify the frame afterwards.
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

// Receive waits for the next message. It skips messages of types that this build does not know. On an error it closes the connection.
func (c *Conn) Receive() (codec.Message, error) {
	for {
		m, err := c.receiveFrame()
		if err != nil {
			c.Close(err)
			return codec.Message{}, err
		}
		if m.Type != wire.PayloadNONE { // PayloadNONE is a type of a later version
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

// receiveTracker reads from a connection and records when bytes arrive, so that a peer does not count as silent while it sends a long
// frame over a slow link.
type receiveTracker struct{ conn *Conn }

// Read implements io.Reader.
func (r receiveTracker) Read(p []byte) (int, error) {
	n, err := r.conn.netConn.Read(p)
	if n > 0 {
		r.conn.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// Shutdown writes everything that is queued, shuts down writing, and waits until the connection is closed, as it is once the peer has read
// everything and closes its end. The owner has to keep receiving in the meantime. A process that exits without Shutdown resets the
// connection if it has unread data, and the peer may then lose the last frames. When ctx is done the connection is closed immediately.
func (c *Conn) Shutdown(ctx context.Context) {
	const pollInterval = 5 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.writeMu.Lock(); !c.Flushed() && c.Err() == nil && ctx.Err() == nil; c.writeMu.Lock() {
		c.writeMu.Unlock()
		<-ticker.C
	}
	c.writeClosed = true
	if closer, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite() // fails only if the connection is closed already
	}
	c.writeMu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		c.Close(ctx.Err())
	}
}

// Close closes the connection immediately. Unless the connection was closed before, Err then returns reason, or ErrClosed if reason is
// nil.
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

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection was closed, or nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Flushed reports whether the queue is empty. The last frames may still be on their way to the socket.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}
