// Package trunk is the connections between the mesh's own processes: frames of FlatBuffers (wire.fbs) over TCP, beats both
// ways, a deadline on every write, and an end as soon as the other side says nothing for too long. It carries what it is
// given and decides nothing.
package trunk

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

	"hollyspur/internal/exchange/trunk/wire"
)

// Version is what Hello tells, and a line's record. A process takes any other: fields are only ever added, and what only a
// later version reads is sent to that alone. 2: heads are packed (head.go).
const Version = 2

// Limits of a connection.
const (
	mostFrame  = 32 << 20 // bytes of one frame: a snapshot is one
	mostQueued = 48 << 20 // bytes that wait to be written; beyond that the other side does not read
	// writeWithin is how long the other side may take nothing, and mostWrite how many bytes are given to the socket at a time:
	// a slow link that moves is no silence.
	writeWithin = 2 * time.Second
	mostWrite   = 64 << 10
	mostUnsent  = 128 << 10 // bytes that wait in the socket to be sent
	DialWithin  = 400 * time.Millisecond
	Every       = 300 * time.Millisecond // beats, where one side has something open
	Silence     = 1200 * time.Millisecond
	Calm        = 5 // times as long, both, where nothing is
)

// Errors of this layer.
var (
	ErrClosed  = errors.New("the trunk is closed")
	ErrQueue   = errors.New("the other side of the trunk does not read")
	ErrFrame   = errors.New("malformed frame")
	ErrVersion = errors.New("no hello")
)

// Conn is one connection. Send may be called from any goroutine; Receive from one.
type Conn struct {
	nc   net.Conn
	r    *bufio.Reader
	Peer *wire.HelloT // what the dialler told; on the dialling side what it told itself
	beat func() []byte
	// always: beats go out whatever else was said
	always bool
	within time.Duration // writeWithin; less in tests
	open   atomic.Int64  // what this side waits for on it, or works on
	busy   atomic.Int64  // Unix ns since when there is anything
	heard  atomic.Int64  // Unix ns of the latest bytes

	writing sync.Mutex // held over a write, and to end the writing
	ended   bool       // nothing more is written; guarded by writing

	mu     sync.Mutex // guards below
	queue  [][]byte
	queued int
	err    error
	wake   chan struct{}
	done   chan struct{}
}

func newConn(nc net.Conn, beat func() *wire.BeatT) *Conn {
	c := &Conn{nc: nc, within: writeWithin, wake: make(chan struct{}, 1), done: make(chan struct{})}
	c.r = bufio.NewReaderSize(listening{c}, 16<<10)
	c.beat = func() []byte { return Encode(&wire.BeatT{}) }
	if beat != nil { // it says more than that the sender is there, so other words don't stand for it
		c.beat, c.always = func() []byte { return Encode(beat()) }, true
	}
	c.heard.Store(time.Now().UnixNano())
	go c.write()
	return c
}

// hasten has a connection whose other side lost power end soon, also while bytes are under way, and one whose link is slow tell
// soon that it moves.
func hasten(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Silence/time.Millisecond))
		// Else a full buffer of megabytes has room again only when a third of it has gone, which a slow link takes seconds for.
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, mostUnsent)
	})
}

// Dial opens a connection and says who calls. beat makes the beats; nil: plain ones.
func Dial(ctx context.Context, addr string, hello *wire.HelloT, beat func() *wire.BeatT) (*Conn, error) {
	d := net.Dialer{Timeout: DialWithin, Control: hasten, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "trunk to %s", addr)
	}
	c := newConn(nc, beat)
	c.Peer = hello
	hello.Version = Version
	c.Send(hello)
	return c, nil
}

// Accept takes a connection over and reads who calls.
func Accept(nc net.Conn, beat func() *wire.BeatT) (*Conn, error) {
	if t, is := nc.(*net.TCPConn); is {
		if raw, err := t.SyscallConn(); err == nil {
			hasten("", "", raw)
		}
		t.SetKeepAlive(false)
	}
	c := newConn(nc, beat)
	m, err := c.Receive()
	if err == nil {
		if c.Peer, _ = m.Value.(*wire.HelloT); c.Peer == nil {
			err = ErrVersion
		}
	}
	if err != nil {
		c.Close(err)
		return nil, err
	}
	return c, nil
}

// Open counts what this side waits for on the connection, or works on for the other: both sides beat often while there is
// any, for whoever waits must find out soon that the other has gone.
func (c *Conn) Open(n int64) {
	if n > 0 && c.open.Load() == 0 {
		c.busy.Store(time.Now().UnixNano())
	}
	c.open.Add(n)
}

// Waits is how much of Open is left.
func (c *Conn) Waits() int64 { return c.open.Load() }

// Send queues a message. It does not wait; where the other side does not read, the connection ends.
func (c *Conn) Send(v any) error { return c.SendFrame(Encode(v)) }

// SendFrame is Send for what Encode made before.
func (c *Conn) SendFrame(p []byte) error {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return ErrClosed
	}
	if c.queued+len(p) > mostQueued {
		c.mu.Unlock()
		c.Close(ErrQueue)
		return ErrQueue
	}
	count(p)
	c.queue = append(c.queue, p)
	c.queued += len(p)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// write writes what is queued, all that there is at a time, and beats where nothing else was to be said.
func (c *Conn) write() {
	tick := time.NewTicker(Every)
	defer tick.Stop()
	idle := 0 // ticks in which nothing was said
	for {
		var beat []byte
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-tick.C:
			now, heard, calm := time.Now().UnixNano(), c.heard.Load(), c.open.Load() == 0
			if silent := now - heard; silent > int64(Calm*Silence) || !calm && now-max(heard, c.busy.Load()) > int64(Silence) {
				c.Close(errors.New("the other side of the trunk is silent"))
				return
			}
			if idle++; !c.always && (idle < 2 || calm && idle < Calm) {
				continue
			}
			beat = c.beat()
			count(beat)
		}
		wrote, err := c.put(beat)
		if wrote {
			idle = 0
		}
		if err != nil {
			c.Close(err)
			return
		}
	}
}

// put writes a beat, if there is one, and what is queued, all that there is at a time.
func (c *Conn) put(beat []byte) (wrote bool, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended {
		return false, nil
	}
	var out net.Buffers
	if beat != nil {
		out = append(out, beat)
	}
	c.mu.Lock()
	out = append(out, c.queue...)
	c.queue, c.queued = nil, 0
	c.mu.Unlock()
	if len(out) == 0 {
		return false, nil
	}
	return true, c.writeAll(out)
}

// writeAll writes frames, together where they are short and in parts where they are long, each part within writeWithin.
func (c *Conn) writeAll(frames net.Buffers) error {
	for len(frames) > 0 {
		part, rest := firstPart(frames)
		frames = rest
		c.nc.SetWriteDeadline(time.Now().Add(c.within))
		var err error
		if len(part) == 1 {
			_, err = c.nc.Write(part[0])
		} else {
			_, err = part.WriteTo(c.nc)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// firstPart cuts off what is written at a time.
func firstPart(frames net.Buffers) (part, rest net.Buffers) {
	size := 0
	for n, f := range frames {
		if size += len(f); size > mostWrite {
			keep := len(f) - (size - mostWrite)
			part = append(part, frames[:n]...)
			part = append(part, f[:keep])
			frames[n] = f[keep:]
			return part, frames[n:]
		}
	}
	return frames, nil
}

// Finish ends a connection once all that was said has been written and the other side has read it and closed its own end; somebody
// has to go on receiving. A process that only ended would reset it wherever anything had come that it had not read, and what
// it had said last would be lost.
func (c *Conn) Finish(ctx context.Context) {
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for c.writing.Lock(); !c.Flushed() && c.Err() == nil && ctx.Err() == nil; c.writing.Lock() {
		c.writing.Unlock()
		<-look.C
	}
	c.ended = true
	if t, is := c.nc.(interface{ CloseWrite() error }); is {
		t.CloseWrite()
	}
	c.writing.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		c.Close(ctx.Err())
	}
}

// listening reads a connection and notes when anything came.
type listening struct{ c *Conn }

func (l listening) Read(p []byte) (int, error) {
	n, err := l.c.nc.Read(p)
	if n > 0 {
		l.c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// Receive waits for the next message that is no plain beat of a line.
func (c *Conn) Receive() (Message, error) {
	for {
		var head [4]byte
		if _, err := io.ReadFull(c.r, head[:]); err != nil {
			c.Close(err)
			return Message{}, err
		}
		n := binary.LittleEndian.Uint32(head[:])
		if n > mostFrame {
			c.Close(ErrFrame)
			return Message{}, ErrFrame
		}
		p := make([]byte, n)
		if _, err := io.ReadFull(c.r, p); err != nil {
			c.Close(err)
			return Message{}, err
		}
		m, err := Decode(p)
		if err != nil {
			c.Close(err)
			return Message{}, err
		}
		heard.add(m.Type, len(head)+len(p))
		if m.Type == wire.BodyNONE {
			continue // of a later version
		}
		return m, nil
	}
}

// Close ends the connection, for that reason; only the first counts.
func (c *Conn) Close(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = why
		if why == nil {
			c.err = ErrClosed
		}
		close(c.done)
		c.nc.Close()
	}
}

// Heard is when the latest bytes came: a long frame over a slow link is no silence.
func (c *Conn) Heard() time.Time { return time.Unix(0, c.heard.Load()) }

// Remote is the other side's address.
func (c *Conn) Remote() string { return c.nc.RemoteAddr().String() }

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
