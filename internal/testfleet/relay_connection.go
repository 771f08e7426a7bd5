package testfleet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

// relayedConnection is one connection through a relay.
type relayedConnection struct {
	direction     Direction // from the machine that opened it; guarded by the relay's lock
	near          *net.TCPConn
	far           *net.TCPConn // nil until it is dialled; guarded by the relay's lock
	done          chan struct{}
	endOnce       sync.Once
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

func (c *relayedConnection) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

// reset ends the connection with a reset to both sides. The caller holds the relay's lock.
func (c *relayedConnection) reset() {
	c.endOnce.Do(func() {
		close(c.done)
		fake.ResetConnection(c.near)
		if c.far != nil {
			fake.ResetConnection(c.far)
		}
	})
}

// close ends the connection without a reset, because what was forwarded may not have been read yet. The caller holds the relay's lock.
func (c *relayedConnection) close() {
	c.endOnce.Do(func() {
		close(c.done)
		_ = c.near.Close()
		if c.far != nil {
			_ = c.far.Close()
		}
	})
}

// serve forwards one connection to a machine until its end.
func (r *Relay) serve(near *net.TCPConn, machine, processAddr string, identify Identify) {
	c := &relayedConnection{
		direction: Direction{To: machine}, near: near, done: make(chan struct{}), blackholed: make(chan struct{}),
	}
	defer r.forget(c)
	if !r.track(c) {
		return
	}
	first := bufio.NewReaderSize(near, relayChunkBytes)
	_ = near.SetReadDeadline(time.Now().Add(identifyTimeout)) // a failure shows when reading
	from, err := identify(near.RemoteAddr(), first)
	if err != nil {
		return
	}
	_ = near.SetReadDeadline(time.Time{})
	if !r.setOpener(c, from) {
		r.reset(c)
		return
	}
	if !r.awaitUncut(c, c.direction) || !r.awaitUncut(c, c.direction.Reverse()) {
		return
	}
	far, err := dialTCP(processAddr)
	if err != nil {
		r.reset(c)
		return
	}
	if !r.setFar(c, far) {
		return
	}
	var forwarding sync.WaitGroup
	forwarding.Go(func() { r.forward(c, c.direction, far, first) })
	forwarding.Go(func() { r.forward(c, c.direction.Reverse(), near, far) })
	forwarding.Wait()
}

// dialTCP connects to a process. The socket's buffer is limited so that a cut soon stops the process.
func dialTCP(addr string) (*net.TCPConn, error) {
	c, err := net.DialTimeout("tcp4", addr, relayDialTimeout)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		return nil, errors.New("not a TCP connection")
	}
	_ = tcp.SetReadBuffer(relaySocketBuffer) // a hint to the kernel
	return tcp, nil
}

// track registers a connection until its end. False: the relay is closed.
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

// setOpener notes who opened a connection. False: a link between the two refuses connections.
func (r *Relay) setOpener(c *relayedConnection, machine string) (accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.direction.From = machine
	return !r.links[c.direction].Refuse && !r.links[c.direction.Reverse()].Refuse
}

// setFar notes the far side of a connection. False: the connection has ended meanwhile, and the far side is closed.
func (r *Relay) setFar(c *relayedConnection, far *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-c.done:
		_ = far.Close()
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
	c.close()
}

func (r *Relay) reset(c *relayedConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.reset()
}

// awaitUncut waits until a direction is not cut. False: the connection has ended. A black hole is never uncut, so it waits for the end.
func (r *Relay) awaitUncut(c *relayedConnection, d Direction) bool {
	for {
		r.mu.Lock()
		isCut, changed := r.links[d].Cut, r.changed
		r.mu.Unlock()
		select {
		case <-c.blackholed:
			<-c.done
			return false
		default:
		}
		if !isCut {
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

// transferTime returns how long a chunk takes in a direction.
func (r *Relay) transferTime(d Direction, size int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[d]
	if l.Rate <= 0 {
		return l.Delay
	}
	if r.bandwidth[d] == nil {
		r.bandwidth[d] = &bandwidth{}
	}
	return l.Delay + r.bandwidth[d].reserve(size, l.Rate)
}

// count adds to the counters of a direction.
func (r *Relay) count(d Direction, pending, forwarded int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[d] += int64(pending)
	r.forwarded[d] += int64(forwarded)
}

// forward forwards one direction of a connection until its end, which it forwards, too.
func (r *Relay) forward(c *relayedConnection, d Direction, to *net.TCPConn, from io.Reader) {
	buffer := make([]byte, relayChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.forwardChunk(c, d, to, buffer[:n]) {
			return
		}
		if err == nil {
			continue
		}
		if !r.awaitUncut(c, d) {
			return
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
		r.reset(c)
		return
	}
}

// forwardChunk forwards one chunk once the direction is not cut and the chunk is due. False: the connection has ended.
func (r *Relay) forwardChunk(c *relayedConnection, d Direction, to *net.TCPConn, chunk []byte) bool {
	r.count(d, len(chunk), 0)
	defer r.count(d, -len(chunk), 0)
	if !r.awaitUncut(c, d) {
		return false
	}
	select {
	case <-time.After(r.transferTime(d, len(chunk))):
	case <-c.done:
		return false
	}
	if !r.awaitUncut(c, d) { // it was cut meanwhile
		return false
	}
	if _, err := to.Write(chunk); err != nil {
		r.reset(c)
		return false
	}
	r.count(d, 0, len(chunk))
	return true
}
