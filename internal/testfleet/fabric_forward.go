package testfleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

const (
	maxDatagramBytes  = 64 << 10
	fabricChunkBytes  = 16 << 10 // that a stream forwards at a time
	fabricDialTimeout = 5 * time.Second
	cutPollInterval   = 10 * time.Millisecond
)

// forwardDatagrams forwards what is sent to process i.
func (f *Fabric) forwardDatagrams(i int) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := f.packetConns[i].ReadFromUDP(buffer)
		if err != nil {
			select {
			case <-f.closing:
				return
			default: // an ICMP error: what was forwarded before found no process
				continue
			}
		}
		sender, err := f.processAt(from.IP)
		if err != nil {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		for _, delay := range f.copyDelays(route{sender, i}, n, true) {
			forward := func() {
				// A failure is a lost datagram.
				_, _ = f.packetConns[sender].WriteToUDP(datagram, &net.UDPAddr{IP: listenIP(i), Port: f.port})
			}
			if delay == 0 {
				forward()
			} else {
				time.AfterFunc(delay, forward)
			}
		}
	}
}

// acceptStreams forwards connections to process i.
func (f *Fabric) acceptStreams(i int) {
	for {
		c, err := f.listeners[i].AcceptTCP()
		if err != nil {
			return
		}
		sender, err := f.dialerOf(c)
		if err != nil {
			_ = c.Close()
			continue
		}
		f.goroutines.Go(func() { f.forwardStream(c, route{sender, i}) })
	}
}

// dialerOf is the process that opened a connection.
func (f *Fabric) dialerOf(c *net.TCPConn) (int, error) {
	addr, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return 0, errUnknownProcess
	}
	return f.processAt(addr.IP)
}

// forwardStream forwards one connection until its end. While a link is cut the connection stays open and silent for either side; what
// was sent arrives when the link is sound again, as TCP would retransmit it.
func (f *Fabric) forwardStream(near net.Conn, r route) {
	defer f.untrack(near)
	if !f.track(near, r) {
		fake.ResetConnection(near)
		return
	}
	if !f.awaitUncut(r) || !f.awaitUncut(r.reverse()) {
		return
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: publicIP(r.from)}, Timeout: fabricDialTimeout}
	far, err := dialer.Dial("tcp", f.ListenAddr(r.to))
	if err != nil {
		fake.ResetConnection(near)
		return
	}
	defer f.untrack(far)
	if !f.track(far, r.reverse()) {
		fake.ResetConnection(near)
		return
	}
	var copying sync.WaitGroup
	copying.Go(func() { f.copyStream(far, near, r) })
	copying.Go(func() { f.copyStream(near, far, r.reverse()) })
	copying.Wait()
}

// track registers a connection. False: the fabric is closed or the link refuses connections.
func (f *Fabric) track(c net.Conn, r route) (ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closing:
		return false
	default:
	}
	f.conns[c] = r
	return !f.links[r].Refuse && !f.links[r.reverse()].Refuse
}

// untrack closes a connection.
func (f *Fabric) untrack(c net.Conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	c.Close()
}

// awaitUncut waits until a link is not cut. False: the fabric was closed.
func (f *Fabric) awaitUncut(r route) bool {
	for {
		f.mu.Lock()
		isCut := f.links[r].Cut
		f.mu.Unlock()
		if !isCut {
			return true
		}
		select {
		case <-f.closing:
			return false
		case <-time.After(cutPollInterval):
		}
	}
}

// copyStream forwards one direction of a connection until its end, which it forwards, too.
func (f *Fabric) copyStream(to, from net.Conn, r route) {
	defer closeWrite(to)
	buffer := make([]byte, fabricChunkBytes)
	for {
		n, readErr := from.Read(buffer)
		if n > 0 {
			if !f.awaitUncut(r) {
				return
			}
			for _, delay := range f.copyDelays(r, n, false) {
				time.Sleep(delay)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				fake.ResetConnection(from)
				return
			}
		}
		if errors.Is(readErr, io.EOF) {
			return
		}
		if readErr != nil {
			fake.ResetConnection(to)
			return
		}
	}
}

// closeWrite ends the direction towards a peer.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails where the connection has ended
	}
}
