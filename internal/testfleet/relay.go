package testfleet

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Sizes and time-outs of a relay.
const (
	identifyTimeout   = 5 * time.Second
	relayDialTimeout  = 5 * time.Second
	relayChunkBytes   = 16 << 10 // that are forwarded at a time
	relaySocketBuffer = 64 << 10 // bytes that a socket holds back before the sender is stopped, as far as the kernel keeps to it
)

// errRelayClosed is the result of a schedule that was interrupted.
var errRelayClosed = errors.New("the relay is closed")

// Relay forwards TCP connections between the named machines of one test and injects faults into the network between them, without
// privileges. It listens at the address that a machine is known by and forwards connections to the one that its process listens at. Each
// Direction has a Link of its own, of which Cut, Refuse, Delay and Rate apply. Bytes stay in their order: a chunk that is delayed holds up
// what follows it.
//
// During a cut the relay's kernel still accepts what is sent, so the sender sees no loss, and a connection opens, but nothing passes. What
// was sent arrives when the direction is healed, as TCP would retransmit it, for as long as the connection exists. At most a socket's
// buffers are held back.
//
// All methods may be called from any goroutine.
type Relay struct {
	goroutines sync.WaitGroup
	closing    chan struct{}
	closeOnce  sync.Once

	mu          sync.Mutex // guards the fields below, and the far side and the direction of connections
	links       map[Direction]Link
	bandwidth   map[Direction]*bandwidth // of rate-limited links
	forwarded   map[Direction]int64      // bytes
	pending     map[Direction]int64      // bytes that were read and not yet forwarded
	listeners   []net.Listener
	connections map[*relayedConnection]bool
	changed     chan struct{} // closed when a link changes, and replaced
}

// Direction is an ordered pair of machines.
type Direction struct{ From, To string }

// Reverse is the other direction between the same machines.
func (d Direction) Reverse() Direction { return Direction{From: d.To, To: d.From} }

// Identify returns the name of the machine that opened a connection, from its address or from its first bytes, which it may only peek at.
// The links of an unknown machine, "", are sound.
type Identify func(from net.Addr, first *bufio.Reader) (machine string, err error)

// NewRelay returns a relay that does not listen yet.
func NewRelay() *Relay {
	return &Relay{
		closing: make(chan struct{}), changed: make(chan struct{}),
		links: map[Direction]Link{}, bandwidth: map[Direction]*bandwidth{}, forwarded: map[Direction]int64{},
		pending: map[Direction]int64{}, connections: map[*relayedConnection]bool{},
	}
}

// Listen accepts connections to a machine at one address and forwards them to another one, at which the machine's process listens.
func (r *Relay) Listen(machine, addr, processAddr string, identify Identify) error {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, listener)
	r.mu.Unlock()
	r.goroutines.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			near, ok := c.(*net.TCPConn)
			if !ok {
				c.Close()
				continue
			}
			r.goroutines.Go(func() { r.serve(near, machine, processAddr, identify) })
		}
	})
	return nil
}

// limitReceiveBuffer has a socket, and those that it accepts, hold back little.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, relaySocketBuffer)
	})
	return errors.Join(err, setErr)
}

// Close resets all connections, ends the relay, and waits for its goroutines.
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

// Set sets the links of directions. Where a link refuses connections, the open ones of both directions are reset.
func (r *Relay) Set(l Link, directions ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range directions {
		r.links[d] = l
		if l.Refuse {
			r.forEachConnection(d, (*relayedConnection).reset)
		}
	}
	r.notifyChanged()
}

// Heal makes all links sound. Connections that were made black holes stay so.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.links)
	r.notifyChanged()
}

// notifyChanged wakes the connections that wait for a link. The caller holds mu.
func (r *Relay) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset resets the open connections between two machines. New ones pass.
func (r *Relay) Reset(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEachConnection(d, (*relayedConnection).reset)
}

// Blackhole makes the open connections between two machines black holes: both sides still have them, and nothing passes any more, not
// even their end. New connections pass.
func (r *Relay) Blackhole(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forEachConnection(d, (*relayedConnection).blackhole)
}

// BytesForwarded is the number of bytes that have passed in a direction.
func (r *Relay) BytesForwarded(d Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarded[d]
}

// BytesPending is the number of bytes of a direction that a cut, a delay or a rate holds back now. What waits in sockets is not counted.
func (r *Relay) BytesPending(d Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending[d]
}

// LinkStep is one step of a schedule of links.
type LinkStep struct {
	At         time.Duration // since the beginning of the schedule
	Link       Link
	Directions []Direction
}

// PlaySteps sets the links of the steps in their order, and returns after the last one, or with an error when the relay is closed.
func (r *Relay) PlaySteps(steps []LinkStep) error {
	start := time.Now()
	for _, s := range steps {
		select {
		case <-time.After(s.At - time.Since(start)):
			r.Set(s.Link, s.Directions...)
		case <-r.closing:
			return errRelayClosed
		}
	}
	return nil
}

// forEachConnection calls do for all connections between two machines. The caller holds mu.
func (r *Relay) forEachConnection(d Direction, do func(*relayedConnection)) {
	for c := range r.connections {
		if c.direction == d || c.direction == d.Reverse() {
			do(c)
		}
	}
}
