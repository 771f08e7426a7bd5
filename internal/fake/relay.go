package fake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Relay stands on the path between callers and a node, and can lose an answer on it.
type Relay struct {
	to   string
	l    net.Listener
	lose atomic.Int64
	mu   sync.Mutex // guards conns
	open map[net.Conn]struct{}
	done sync.WaitGroup
}

// NewRelay passes connections on to an address.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{to: to, l: l, open: map[net.Conn]struct{}{}}
	r.done.Go(r.accept)
	return r, nil
}

// Addr is where callers connect.
func (r *Relay) Addr() string { return r.l.Addr().String() }

// Lose has the next n answers lost: their callers' connections end in place of them.
func (r *Relay) Lose(n int64) { r.lose.Store(n) }

// Close ends it and all connections.
func (r *Relay) Close() {
	r.l.Close()
	r.mu.Lock()
	for c := range r.open {
		c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

func (r *Relay) track(c net.Conn) {
	r.mu.Lock()
	r.open[c] = struct{}{}
	r.mu.Unlock()
}

func (r *Relay) end(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
}

func (r *Relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		r.track(c)
		r.done.Go(func() { r.pass(c) })
	}
}

func (r *Relay) pass(c net.Conn) {
	defer r.end(c)
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		reset(c)
		return
	}
	r.track(out)
	defer r.end(out)
	r.done.Go(func() {
		io.Copy(out, c)
		out.Close()
	})
	buf := make([]byte, 32<<10)
	for {
		n, err := out.Read(buf)
		if n > 0 {
			if r.lose.Add(-1) >= 0 {
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
