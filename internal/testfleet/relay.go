package testfleet

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Relay passes TCP connections between named machines of one test and brings faults about on the ways between them, without
// privileges. It listens at the address that a machine is known by and passes connections on to the one that its process
// listens at. Each ordered pair of machines has a Link of its own, of which Cut, Refuse, Delay and Rate apply to streams;
// a piece that is held up holds up what comes behind it.
//
// A relay's kernel takes what is sent into a cut: the sender's own kernel finds no loss, and a connection opens, but nothing
// comes of either. What was sent during a cut comes when the way is whole again, as TCP would send it again, for as long as
// the connection lives; at most a socket's buffers are held.
type Relay struct {
	goroutines sync.WaitGroup
	closing    chan struct{}
	closeOnce  sync.Once

	mu          sync.Mutex // guards what follows
	links       map[Direction]Link
	idleAt      map[Direction]time.Time // when a limited link has sent what it has
	forwarded   map[Direction]int64     // bytes
	pending     map[Direction]int64     // bytes that were read and not yet passed on
	listeners   []net.Listener
	connections map[*relayedConnection]bool
	changed     chan struct{} // closed when a link changes
}

// Way is an ordered pair of machines.
type Direction struct{ From, To string }

// Back is the same two machines the other way round.
func (w Direction) Reverse() Direction { return Direction{w.To, w.From} }

// Identify names the machine that opened a connection, by its address or by the first bytes, which it may only peek at;
// "": unknown, whose ways are sound.
type Identify func(from net.Addr, first *bufio.Reader) (machine string, err error)

// Times and sizes of a relay.
const (
	identifyTimeout   = 5 * time.Second
	relayDialTimeout  = 5 * time.Second
	relayChunkBytes   = 16 << 10 // bytes that are passed on at a time
	relaySocketBuffer = 64 << 10 // bytes of a socket that wait for that, as far as the kernel keeps to it
)

var errRelayClosed = errors.New("the relay is closed")

// NewRelay returns a relay that listens nowhere yet.
func NewRelay() *Relay {
	return &Relay{
		closing: make(chan struct{}), links: map[Direction]Link{}, idleAt: map[Direction]time.Time{}, forwarded: map[Direction]int64{},
		pending: map[Direction]int64{}, connections: map[*relayedConnection]bool{}, changed: make(chan struct{}),
	}
}

// Listen takes connections to a machine at an address and passes them on to another one.
func (r *Relay) Listen(machine, at, behind string, who Identify) error {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, relaySocketBuffer)
		})
		return errors.Join(err, set)
	}}
	l, err := config.Listen(context.Background(), "tcp4", at)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	r.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.goroutines.Go(func() { r.serve(c.(*net.TCPConn), machine, behind, who) })
		}
	})
	return nil
}

// Close ends it and all that goes through it, and waits for that.
func (r *Relay) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	r.mu.Lock()
	for _, l := range r.listeners {
		l.Close()
	}
	for c := range r.connections {
		c.reset()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

// Set has the ways be so from now on. Where a link refuses, what is open on it is reset.
func (r *Relay) Set(l Link, ways ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range ways {
		r.links[w] = l
		if l.Refuse {
			r.forEachConnection(w, (*relayedConnection).reset)
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Heal makes every way sound. Connections that were silenced stay so.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.links)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset resets what is open between two machines at this moment; new connections pass.
func (r *Relay) Reset(w Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEachConnection(w, (*relayedConnection).reset)
}

// Silence makes what is open between two machines half-open: either side still has it, and nothing passes any more, not even its end.
// New connections pass.
func (r *Relay) Blackhole(w Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEachConnection(w, (*relayedConnection).blackhole)
}

// Passed is how many bytes went from one machine to another.
func (r *Relay) BytesForwarded(w Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarded[w]
}

// Held is how many bytes one machine has sent to another that a cut, a delay or a rate holds up at this moment. Of those that
// wait in sockets nothing is known.
func (r *Relay) BytesPending(w Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending[w]
}

// LinkStep is one step of a schedule of links.
type LinkStep struct {
	At         time.Duration // since the beginning of the schedule
	Link       Link
	Directions []Direction
}

// Play does the steps, in the order given, and returns after the last one, or when the relay is closed.
func (r *Relay) PlaySteps(steps []LinkStep) error {
	began := time.Now()
	for _, s := range steps {
		select {
		case <-time.After(s.At - time.Since(began)):
			r.Set(s.Link, s.Directions...)
		case <-r.closing:
			return errRelayClosed
		}
	}
	return nil
}

// each does something to all connections between two machines; the caller holds the lock.
func (r *Relay) forEachConnection(w Direction, do func(*relayedConnection)) {
	for c := range r.connections {
		if c.direction == w || c.direction == w.Reverse() {
			do(c)
		}
	}
}

// relayed is one connection through a relay.
type relayedConnection struct {
	direction     Direction // from the machine that opened it
	near          *net.TCPConn
	far           *net.TCPConn // nil until it is dialled; guarded by the relay's lock
	done          chan struct{}
	endOnce       sync.Once
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

func (c *relayedConnection) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

// reset ends it at once, with a reset to both sides; the caller holds the relay's lock.
func (c *relayedConnection) reset() {
	c.endOnce.Do(func() {
		close(c.done)
		reset(c.near)
		if c.far != nil {
			reset(c.far)
		}
	})
}

// take passes on one connection to a machine.
func (r *Relay) serve(near *net.TCPConn, to, behind string, who Identify) {
	c := &relayedConnection{direction: Direction{To: to}, near: near, done: make(chan struct{}), blackholed: make(chan struct{})}
	defer r.forget(c)
	if !r.track(c) {
		return
	}
	first := bufio.NewReaderSize(near, relayChunkBytes)
	near.SetReadDeadline(time.Now().Add(identifyTimeout))
	from, err := who(near.RemoteAddr(), first)
	if err != nil {
		return
	}
	near.SetReadDeadline(time.Time{})
	r.mu.Lock()
	c.direction.From = from
	refused := r.links[c.direction].Refuse || r.links[c.direction.Reverse()].Refuse
	r.mu.Unlock()
	if refused {
		r.abort(c)
		return
	}
	if !r.awaitUncut(c, c.direction) || !r.awaitUncut(c, c.direction.Reverse()) {
		return
	}
	far, err := net.DialTimeout("tcp4", behind, relayDialTimeout)
	if err != nil {
		r.abort(c)
		return
	}
	far.(*net.TCPConn).SetReadBuffer(relaySocketBuffer)
	if !r.setFar(c, far.(*net.TCPConn)) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.forward(c, c.direction, c.far, first) })
	both.Go(func() { r.forward(c, c.direction.Reverse(), c.near, c.far) })
	both.Wait()
}

// track keeps a connection until its end; false: the relay is closed.
func (r *Relay) track(c *relayedConnection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closing:
		return false
	default:
		r.connections[c] = true
		return true
	}
}

// reached notes the far side of a connection; false: it has ended meanwhile.
func (r *Relay) setFar(c *relayedConnection, far *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-c.done:
		far.Close()
		return false
	default:
		c.far = far
		return true
	}
}

func (r *Relay) forget(c *relayedConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
	c.endOnce.Do(func() { // not by a reset: what was passed on may not have been read yet
		close(c.done)
		c.near.Close()
		if c.far != nil {
			c.far.Close()
		}
	})
}

// abort resets a connection.
func (r *Relay) abort(c *relayedConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.reset()
}

// whole waits until a way is not cut; false: the connection has ended, or is silent for good and has ended then.
func (r *Relay) awaitUncut(c *relayedConnection, w Direction) bool {
	for {
		r.mu.Lock()
		cut, changed := r.links[w].Cut, r.changed
		r.mu.Unlock()
		select {
		case <-c.blackholed:
			<-c.done
			return false
		default:
		}
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-c.blackholed:
		case <-c.done:
			return false
		}
	}
}

// due is how long a piece takes on a way, and counts it as held until then.
func (r *Relay) transferTime(w Direction, size int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[w]
	d := l.Delay
	if l.Rate > 0 {
		now := time.Now()
		if r.idleAt[w].Before(now) {
			r.idleAt[w] = now
		}
		r.idleAt[w] = r.idleAt[w].Add(time.Duration(size) * time.Second / time.Duration(l.Rate))
		d += r.idleAt[w].Sub(now)
	}
	return d
}

func (r *Relay) count(w Direction, held, passed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[w] += int64(held)
	r.forwarded[w] += int64(passed)
}

// pass passes on one direction until its end, which is passed on, too.
func (r *Relay) forward(c *relayedConnection, w Direction, to *net.TCPConn, from io.Reader) {
	buf := make([]byte, relayChunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.forwardChunk(c, w, to, buf[:n]) {
			return
		}
		if err == nil {
			continue
		}
		if !r.awaitUncut(c, w) {
			return
		}
		if err == io.EOF {
			to.CloseWrite()
			return
		}
		r.abort(c)
		return
	}
}

// piece passes on one piece once the way is whole and it is due; false: the connection has ended.
func (r *Relay) forwardChunk(c *relayedConnection, w Direction, to *net.TCPConn, p []byte) bool {
	r.count(w, len(p), 0)
	defer r.count(w, -len(p), 0)
	if !r.awaitUncut(c, w) {
		return false
	}
	select {
	case <-time.After(r.transferTime(w, len(p))):
	case <-c.done:
		return false
	}
	if !r.awaitUncut(c, w) { // cut while it was under way
		return false
	}
	if _, err := to.Write(p); err != nil {
		r.abort(c)
		return false
	}
	r.count(w, 0, len(p))
	return true
}
