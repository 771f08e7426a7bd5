package fake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

const relayBufferBytes = 32 << 10

// Relay forwards connections between callers and a node, and can lose responses. It knows no messages: what it takes for a response is
// what one read returns.
type Relay struct {
	target     string
	listener   net.Listener
	toDrop     atomic.Int64
	goroutines sync.WaitGroup

	mu          sync.Mutex // guards connections
	connections map[net.Conn]struct{}
}

// NewRelay starts a relay on a free loopback port that forwards connections to an address.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, connections: map[net.Conn]struct{}{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Addr is the address that callers connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// DropResponses has the next n responses lost: their callers' connections are closed in place of them.
func (r *Relay) DropResponses(n int64) { r.toDrop.Store(n) }

// Close ends the relay and all connections, and waits for its goroutines.
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
	defer r.mu.Unlock()
	r.connections[c] = struct{}{}
}

func (r *Relay) closeConnection(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
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

// forward copies both directions of one connection until either side closes it or a response is dropped.
func (r *Relay) forward(downstream net.Conn) {
	defer r.closeConnection(downstream)
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		ResetConnection(downstream)
		return
	}
	r.track(upstream)
	defer r.closeConnection(upstream)
	r.goroutines.Go(func() {
		_, _ = io.Copy(upstream, downstream)
		upstream.Close()
	})
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := upstream.Read(buffer)
		if n > 0 {
			if r.toDrop.Add(-1) >= 0 {
				return
			}
			if _, err := downstream.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
