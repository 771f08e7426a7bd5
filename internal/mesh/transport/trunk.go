// Package trunk is the connections between the mesh's own processes: frames of FlatBuffers (wire.fbs) over TCP, beats both
// ways, a deadline on every write, and an end as soon as the other side says nothing for too long. It carries what it is
// given and decides nothing.
package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// ProtocolVersion is what Hello tells, and a line's record. A process takes any other: fields are only ever added, and what only a
// later version reads is sent to that alone. 2: heads are packed (head.go).
const ProtocolVersion = 2

// Limits of a connection.
const (
	maxFrameBytes  = 32 << 20 // bytes of one frame: a snapshot is one
	maxQueuedBytes = 48 << 20 // bytes that wait to be written; beyond that the other side does not read
	// writeTimeout is how long the other side may take nothing, and mostWrite how many bytes are given to the socket at a time:
	// a slow link that moves is no silence.
	writeTimeout      = 2 * time.Second
	maxWriteBytes     = 64 << 10
	maxUnsentBytes    = 128 << 10 // bytes that wait in the socket to be sent
	DialTimeout       = 400 * time.Millisecond
	HeartbeatInterval = 300 * time.Millisecond // beats, where one side has something open
	PeerTimeout       = 1200 * time.Millisecond
	IdleFactor        = 5 // times as long, both, where nothing is
)

// Errors of this layer.
var (
	ErrClosed    = errors.New("the trunk is closed")
	ErrQueueFull = errors.New("the other side of the trunk does not read")
	ErrNoHello   = errors.New("no hello")
)

// Conn is one connection. Send may be called from any goroutine; Receive from one.
type Conn struct {
	netConn         net.Conn
	reader          *bufio.Reader
	Peer            *wire.HelloT // what the dialler told; on the dialling side what it told itself
	encodeHeartbeat func() []byte
	// always: beats go out whatever else was said
	alwaysHeartbeat bool
	writeTimeout    time.Duration // writeWithin; less in tests
	pending         atomic.Int64  // what this side waits for on it, or works on
	pendingSince    atomic.Int64  // Unix ns since when there is anything
	lastReceived    atomic.Int64  // Unix ns of the latest bytes

	writeMu     sync.Mutex // held over a write, and to end the writing
	writeClosed bool       // nothing more is written; guarded by writing

	mu          sync.Mutex // guards below
	queue       [][]byte
	queuedBytes int
	err         error
	wake        chan struct{}
	done        chan struct{}
}

func newConn(netConn net.Conn, heartbeat func() *wire.HeartbeatT) *Conn {
	c := &Conn{netConn: netConn, writeTimeout: writeTimeout, wake: make(chan struct{}, 1), done: make(chan struct{})}
	c.reader = bufio.NewReaderSize(receiveTracker{c}, 16<<10)
	c.encodeHeartbeat = func() []byte { return codec.Encode(&wire.HeartbeatT{}) }
	if heartbeat != nil { // it says more than that the sender is there, so other words don't stand for it
		c.encodeHeartbeat, c.alwaysHeartbeat = func() []byte { return codec.Encode(heartbeat()) }, true
	}
	c.lastReceived.Store(time.Now().UnixNano())
	go c.writeLoop()
	return c
}

// setSocketOptions has a connection whose other side lost power end soon, also while bytes are under way, and one whose link is slow tell
// soon that it moves.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(PeerTimeout/time.Millisecond))
		// Else a full buffer of megabytes has room again only when a third of it has gone, which a slow link takes seconds for.
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

// Dial opens a connection and says who calls. beat makes the beats; nil: plain ones.
func Dial(ctx context.Context, addr string, hello *wire.HelloT, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, Control: setSocketOptions, KeepAlive: -1}
	netConn, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "trunk to %s", addr)
	}
	conn := newConn(netConn, heartbeat)
	conn.Peer = hello
	hello.TransportVersion = ProtocolVersion
	conn.Send(hello)
	return conn, nil
}

// Accept takes a connection over and reads who calls.
func Accept(netConn net.Conn, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	if tcp, is := netConn.(*net.TCPConn); is {
		if raw, err := tcp.SyscallConn(); err == nil {
			setSocketOptions("", "", raw)
		}
		tcp.SetKeepAlive(false)
	}
	conn := newConn(netConn, heartbeat)
	m, err := conn.Receive()
	if err == nil {
		if conn.Peer, _ = m.Value.(*wire.HelloT); conn.Peer == nil {
			err = ErrNoHello
		}
	}
	if err != nil {
		conn.Close(err)
		return nil, err
	}
	return conn, nil
}

// AddPending counts what this side waits for on the connection, or works on for the other: both sides beat often while there is
// any, for whoever waits must find out soon that the other has gone.
func (c *Conn) AddPending(n int64) {
	if n > 0 && c.pending.Load() == 0 {
		c.pendingSince.Store(time.Now().UnixNano())
	}
	c.pending.Add(n)
}

// Pending is how much of Open is left.
func (c *Conn) Pending() int64 { return c.pending.Load() }

// Send queues a message. It does not wait; where the other side does not read, the connection ends.
func (c *Conn) Send(v any) error { return c.SendFrame(codec.Encode(v)) }

// SendFrame is Send for what codec.Encode made before.
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

// writeLoop writes what is queued, all that there is at a time, and beats where nothing else was to be said.
func (c *Conn) writeLoop() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	idleTicks := 0 // ticks in which nothing was said
	for {
		var heartbeat []byte
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-ticker.C:
			now, received, nothingPending := time.Now().UnixNano(), c.lastReceived.Load(), c.pending.Load() == 0
			if silence := now - received; silence > int64(IdleFactor*PeerTimeout) || !nothingPending && now-max(received, c.pendingSince.Load()) > int64(PeerTimeout) {
				c.Close(errors.New("the other side of the trunk is silent"))
				return
			}
			if idleTicks++; !c.alwaysHeartbeat && (idleTicks < 2 || nothingPending && idleTicks < IdleFactor) {
				continue
			}
			heartbeat = c.encodeHeartbeat()
			countSent(heartbeat)
		}
		wrote, err := c.writeQueued(heartbeat)
		if wrote {
			idleTicks = 0
		}
		if err != nil {
			c.Close(err)
			return
		}
	}
}

// writeQueued writes a beat, if there is one, and what is queued, all that there is at a time.
func (c *Conn) writeQueued(heartbeat []byte) (wrote bool, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeClosed {
		return false, nil
	}
	var frames net.Buffers
	if heartbeat != nil {
		frames = append(frames, heartbeat)
	}
	c.mu.Lock()
	frames = append(frames, c.queue...)
	c.queue, c.queuedBytes = nil, 0
	c.mu.Unlock()
	if len(frames) == 0 {
		return false, nil
	}
	return true, c.writeAll(frames)
}

// writeAll writes frames, together where they are short and in parts where they are long, each part within writeWithin.
func (c *Conn) writeAll(frames net.Buffers) error {
	for len(frames) > 0 {
		part, rest := splitWrite(frames)
		frames = rest
		c.netConn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
		var err error
		if len(part) == 1 {
			_, err = c.netConn.Write(part[0])
		} else {
			_, err = part.WriteTo(c.netConn)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// splitWrite cuts off what is written at a time.
func splitWrite(frames net.Buffers) (part, rest net.Buffers) {
	size := 0
	for n, frame := range frames {
		if size += len(frame); size > maxWriteBytes {
			fits := len(frame) - (size - maxWriteBytes)
			part = append(part, frames[:n]...)
			part = append(part, frame[:fits])
			frames[n] = frame[fits:]
			return part, frames[n:]
		}
	}
	return frames, nil
}

// Shutdown ends a connection once all that was said has been written and the other side has read it and closed its own end; somebody
// has to go on receiving. A process that only ended would reset it wherever anything had come that it had not read, and what
// it had said last would be lost.
func (c *Conn) Shutdown(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for c.writeMu.Lock(); !c.Flushed() && c.Err() == nil && ctx.Err() == nil; c.writeMu.Lock() {
		c.writeMu.Unlock()
		<-ticker.C
	}
	c.writeClosed = true
	if t, is := c.netConn.(interface{ CloseWrite() error }); is {
		t.CloseWrite()
	}
	c.writeMu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		c.Close(ctx.Err())
	}
}

// receiveTracker reads a connection and notes when anything came.
type receiveTracker struct{ conn *Conn }

func (l receiveTracker) Read(p []byte) (int, error) {
	n, err := l.conn.netConn.Read(p)
	if n > 0 {
		l.conn.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// Receive waits for the next message that is no plain beat of a line.
func (c *Conn) Receive() (codec.Message, error) {
	for {
		var lengthPrefix [4]byte
		if _, err := io.ReadFull(c.reader, lengthPrefix[:]); err != nil {
			c.Close(err)
			return codec.Message{}, err
		}
		n := binary.LittleEndian.Uint32(lengthPrefix[:])
		if n > maxFrameBytes {
			c.Close(codec.ErrMalformedFrame)
			return codec.Message{}, codec.ErrMalformedFrame
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(c.reader, frame); err != nil {
			c.Close(err)
			return codec.Message{}, err
		}
		m, err := codec.Decode(frame)
		if err != nil {
			c.Close(err)
			return codec.Message{}, err
		}
		receivedTraffic.add(m.Type, len(lengthPrefix)+len(frame))
		if m.Type == wire.PayloadNONE {
			continue // of a later version
		}
		return m, nil
	}
}

// Close ends the connection, for that reason; only the first counts.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = reason
		if reason == nil {
			c.err = ErrClosed
		}
		close(c.done)
		c.netConn.Close()
	}
}

// LastReceived is when the latest bytes came: a long frame over a slow link is no silence.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.lastReceived.Load()) }

// RemoteAddr is the other side's address.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// Done is closed with the connection.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err is why it ended.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Flushed says that nothing waits to be written.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}
