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
	done   sync.WaitGroup
	close  chan struct{}
	closed sync.Once

	mu        sync.Mutex // guards what follows
	links     map[Way]Link
	free      map[Way]time.Time // when a limited link has sent what it has
	passed    map[Way]int64     // bytes
	held      map[Way]int64     // bytes that were read and not yet passed on
	listeners []net.Listener
	conns     map[*relayed]bool
	changed   chan struct{} // closed when a link changes
}

// Way is an ordered pair of machines.
type Way struct{ From, To string }

// Back is the same two machines the other way round.
func (w Way) Back() Way { return Way{w.To, w.From} }

// Identify names the machine that opened a connection, by its address or by the first bytes, which it may only peek at;
// "": unknown, whose ways are sound.
type Identify func(from net.Addr, first *bufio.Reader) (machine string, err error)

// Times and sizes of a relay.
const (
	identifyWithin = 5 * time.Second
	relayDial      = 5 * time.Second
	relayPiece     = 16 << 10 // bytes that are passed on at a time
	relayBuffer    = 64 << 10 // bytes of a socket that wait for that, as far as the kernel keeps to it
)

var errRelayClosed = errors.New("the relay is closed")

// NewRelay returns a relay that listens nowhere yet.
func NewRelay() *Relay {
	return &Relay{
		close: make(chan struct{}), links: map[Way]Link{}, free: map[Way]time.Time{}, passed: map[Way]int64{},
		held: map[Way]int64{}, conns: map[*relayed]bool{}, changed: make(chan struct{}),
	}
}

// Listen takes connections to a machine at an address and passes them on to another one.
func (r *Relay) Listen(machine, at, behind string, who Identify) error {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, relayBuffer)
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
	r.done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.done.Go(func() { r.take(c.(*net.TCPConn), machine, behind, who) })
		}
	})
	return nil
}

// Close ends it and all that goes through it, and waits for that.
func (r *Relay) Close() {
	r.closed.Do(func() { close(r.close) })
	r.mu.Lock()
	for _, l := range r.listeners {
		l.Close()
	}
	for c := range r.conns {
		c.reset()
	}
	r.mu.Unlock()
	r.done.Wait()
}

// Set has the ways be so from now on. Where a link refuses, what is open on it is reset.
func (r *Relay) Set(l Link, ways ...Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range ways {
		r.links[w] = l
		if l.Refuse {
			r.each(w, (*relayed).reset)
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
func (r *Relay) Reset(w Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.each(w, (*relayed).reset)
}

// Silence makes what is open between two machines half-open: either side still has it, and nothing passes any more, not even its end.
// New connections pass.
func (r *Relay) Silence(w Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.each(w, (*relayed).silence)
}

// Passed is how many bytes went from one machine to another.
func (r *Relay) Passed(w Way) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed[w]
}

// Held is how many bytes one machine has sent to another that a cut, a delay or a rate holds up at this moment. Of those that
// wait in sockets nothing is known.
func (r *Relay) Held(w Way) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[w]
}

// LinkStep is one step of a schedule of links.
type LinkStep struct {
	At   time.Duration // since the beginning of the schedule
	Link Link
	Ways []Way
}

// Play does the steps, in the order given, and returns after the last one, or when the relay is closed.
func (r *Relay) Play(steps []LinkStep) error {
	began := time.Now()
	for _, s := range steps {
		select {
		case <-time.After(s.At - time.Since(began)):
			r.Set(s.Link, s.Ways...)
		case <-r.close:
			return errRelayClosed
		}
	}
	return nil
}

// each does something to all connections between two machines; the caller holds the lock.
func (r *Relay) each(w Way, do func(*relayed)) {
	for c := range r.conns {
		if c.way == w || c.way == w.Back() {
			do(c)
		}
	}
}

// relayed is one connection through a relay.
type relayed struct {
	way      Way // from the machine that opened it
	near     *net.TCPConn
	far      *net.TCPConn // nil until it is dialled; guarded by the relay's lock
	end      chan struct{}
	ended    sync.Once
	silent   chan struct{}
	silenced sync.Once
}

func (c *relayed) silence() { c.silenced.Do(func() { close(c.silent) }) }

// reset ends it at once, with a reset to both sides; the caller holds the relay's lock.
func (c *relayed) reset() {
	c.ended.Do(func() {
		close(c.end)
		reset(c.near)
		if c.far != nil {
			reset(c.far)
		}
	})
}

// take passes on one connection to a machine.
func (r *Relay) take(near *net.TCPConn, to, behind string, who Identify) {
	c := &relayed{way: Way{To: to}, near: near, end: make(chan struct{}), silent: make(chan struct{})}
	defer r.forget(c)
	if !r.track(c) {
		return
	}
	first := bufio.NewReaderSize(near, relayPiece)
	near.SetReadDeadline(time.Now().Add(identifyWithin))
	from, err := who(near.RemoteAddr(), first)
	if err != nil {
		return
	}
	near.SetReadDeadline(time.Time{})
	r.mu.Lock()
	c.way.From = from
	refused := r.links[c.way].Refuse || r.links[c.way.Back()].Refuse
	r.mu.Unlock()
	if refused {
		r.abort(c)
		return
	}
	if !r.whole(c, c.way) || !r.whole(c, c.way.Back()) {
		return
	}
	far, err := net.DialTimeout("tcp4", behind, relayDial)
	if err != nil {
		r.abort(c)
		return
	}
	far.(*net.TCPConn).SetReadBuffer(relayBuffer)
	if !r.reached(c, far.(*net.TCPConn)) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.pass(c, c.way, c.far, first) })
	both.Go(func() { r.pass(c, c.way.Back(), c.near, c.far) })
	both.Wait()
}

// track keeps a connection until its end; false: the relay is closed.
func (r *Relay) track(c *relayed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.close:
		return false
	default:
		r.conns[c] = true
		return true
	}
}

// reached notes the far side of a connection; false: it has ended meanwhile.
func (r *Relay) reached(c *relayed, far *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-c.end:
		far.Close()
		return false
	default:
		c.far = far
		return true
	}
}

func (r *Relay) forget(c *relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.ended.Do(func() { // not by a reset: what was passed on may not have been read yet
		close(c.end)
		c.near.Close()
		if c.far != nil {
			c.far.Close()
		}
	})
}

// abort resets a connection.
func (r *Relay) abort(c *relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.reset()
}

// whole waits until a way is not cut; false: the connection has ended, or is silent for good and has ended then.
func (r *Relay) whole(c *relayed, w Way) bool {
	for {
		r.mu.Lock()
		cut, changed := r.links[w].Cut, r.changed
		r.mu.Unlock()
		select {
		case <-c.silent:
			<-c.end
			return false
		default:
		}
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-c.silent:
		case <-c.end:
			return false
		}
	}
}

// due is how long a piece takes on a way, and counts it as held until then.
func (r *Relay) due(w Way, size int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[w]
	d := l.Delay
	if l.Rate > 0 {
		now := time.Now()
		if r.free[w].Before(now) {
			r.free[w] = now
		}
		r.free[w] = r.free[w].Add(time.Duration(size) * time.Second / time.Duration(l.Rate))
		d += r.free[w].Sub(now)
	}
	return d
}

func (r *Relay) count(w Way, held, passed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[w] += int64(held)
	r.passed[w] += int64(passed)
}

// pass passes on one direction until its end, which is passed on, too.
func (r *Relay) pass(c *relayed, w Way, to *net.TCPConn, from io.Reader) {
	buf := make([]byte, relayPiece)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.piece(c, w, to, buf[:n]) {
			return
		}
		if err == nil {
			continue
		}
		if !r.whole(c, w) {
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
func (r *Relay) piece(c *relayed, w Way, to *net.TCPConn, p []byte) bool {
	r.count(w, len(p), 0)
	defer r.count(w, -len(p), 0)
	if !r.whole(c, w) {
		return false
	}
	select {
	case <-time.After(r.due(w, len(p))):
	case <-c.end:
		return false
	}
	if !r.whole(c, w) { // cut while it was under way
		return false
	}
	if _, err := to.Write(p); err != nil {
		r.abort(c)
		return false
	}
	r.count(w, 0, len(p))
	return true
}
