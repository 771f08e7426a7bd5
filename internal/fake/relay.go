package fake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Relay stands on the path between callers and a node, and can lose an answer on it.
type Relay struct {
	target      string
	listener    net.Listener
	toDrop      atomic.Int64
	mu          sync.Mutex // guards conns
	connections map[net.Conn]struct{}
	goroutines  sync.WaitGroup
}

// NewRelay passes connections on to an address.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: to, listener: l, connections: map[net.Conn]struct{}{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Addr is where callers connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Lose has the next n answers lost: their callers' connections end in place of them.
func (r *Relay) DropResponses(n int64) { r.toDrop.Store(n) }

// Close ends it and all connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	for c := range r.connections {
		c.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

func (r *Relay) track(c net.Conn) {
	r.mu.Lock()
	r.connections[c] = struct{}{}
	r.mu.Unlock()
}

func (r *Relay) closeConnection(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.track(c)
		r.goroutines.Go(func() { r.forward(c) })
	}
}

func (r *Relay) forward(c net.Conn) {
	defer r.closeConnection(c)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(c)
		return
	}
	r.track(out)
	defer r.closeConnection(out)
	r.goroutines.Go(func() {
		io.Copy(out, c)
		out.Close()
	})
	buf := make([]byte, 32<<10)
	for {
		n, err := out.Read(buf)
		if n > 0 {
			if r.toDrop.Add(-1) >= 0 {
				return
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
