package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	sendWindowBytes     = 256 << 10 // bytes of a body that may be under way to whoever reads slowly
	windowUpdateBytes   = 32 << 10
	upstreamDialBackoff = 250 * time.Millisecond // between dials of one that can't be reached
)

var errUpstreamUnreachable = errors.New("no cord to the line")

// upstreams are the trunks to other lines. They implement engine.Sender.
type upstreams struct {
	sidecar      *Sidecar
	mu           sync.Mutex // guards below
	byAddr       map[string]*upstream
	lastStreamID atomic.Uint64
}

// upstream is the trunk to one line.
type upstream struct {
	owner *upstreams
	addr  string

	mu       sync.Mutex // guards below
	conn     *transport.Conn
	dialing  chan struct{} // closed when the dial that is under way has ended
	retryAt  time.Time
	attempts map[uint64]*upstreamAttempt
}

func newUpstreams(l *Sidecar) *upstreams {
	return &upstreams{sidecar: l, byAddr: map[string]*upstream{}}
}

func (s *upstreams) get(addr string) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byAddr[addr]
	if x == nil {
		x = &upstream{owner: s, addr: addr, attempts: map[uint64]*upstreamAttempt{}}
		s.byAddr[addr] = x
	}
	return x
}

// Drop implements engine.Sender: what is under way on the cord goes on.
func (s *upstreams) Drop(*engine.Endpoint) {}

// Sweep implements engine.Sender: cords to lines that are in the directory no more are given up.
func (s *upstreams) Sweep() {
	dir := s.sidecar.directory.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, x := range s.byAddr {
		if _, is := dir.Get(addr); is {
			continue
		}
		x.mu.Lock()
		if len(x.attempts) == 0 && x.dialing == nil {
			if x.conn != nil {
				x.conn.Close(nil)
			}
			delete(s.byAddr, addr)
		}
		x.mu.Unlock()
	}
}

// activeAddrs are the lines to which requests are under way.
func (s *upstreams) activeAddrs() (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, x := range s.byAddr {
		x.mu.Lock()
		if len(x.attempts) > 0 {
			l = append(l, addr)
		}
		x.mu.Unlock()
	}
	return l
}

func (s *upstreams) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.byAddr {
		x.mu.Lock()
		if x.conn != nil {
			x.conn.Close(nil)
		}
		x.mu.Unlock()
	}
}

// connect is the connection, dialled if there is none.
func (x *upstream) connect(ctx context.Context) (*transport.Conn, error) {
	for {
		x.mu.Lock()
		if x.conn != nil && x.conn.Err() == nil {
			c := x.conn
			x.mu.Unlock()
			return c, nil
		}
		if x.dialing == nil {
			if time.Now().Before(x.retryAt) {
				x.mu.Unlock()
				return nil, errUpstreamUnreachable
			}
			x.dialing = make(chan struct{})
			go x.dial()
		}
		wait := x.dialing
		x.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		x.mu.Lock()
		failed := x.conn == nil || x.conn.Err() != nil
		x.mu.Unlock()
		if failed {
			return nil, errUpstreamUnreachable
		}
	}
}

func (x *upstream) dial() {
	l := x.owner.sidecar
	c, err := transport.Dial(l.ctx, x.addr, &wire.HelloT{Name: l.settings.Load().NodeName, Addr: l.Addr(), Zone: l.settings.Load().Zone}, nil)
	x.mu.Lock()
	if err == nil {
		x.conn = c
	} else {
		x.retryAt = time.Now().Add(upstreamDialBackoff)
	}
	close(x.dialing)
	x.dialing = nil
	x.mu.Unlock()
	if err == nil {
		go x.receive(c)
	}
}

// add notes an attempt that is about to be sent; false: its connection has ended, or its id is in use.
func (x *upstream) add(p *upstreamAttempt) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != p.conn || p.conn.Err() != nil || x.attempts[p.id] != nil {
		return false
	}
	x.attempts[p.id] = p
	p.conn.AddPending(1)
	return true
}

func (x *upstream) remove(p *upstreamAttempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.attempts, p.id)
	p.conn.AddPending(-1)
}

func (x *upstream) find(c *transport.Conn, id uint64) *upstreamAttempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.attempts[id]; p != nil && p.conn == c {
		return p
	}
	return nil
}

// receive takes what comes on a connection, until it ends: then all that is open on it may have run.
func (x *upstream) receive(c *transport.Conn) {
	for {
		m, err := c.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.ResponseT:
			if p := x.find(c, v.Id); p != nil {
				p.handleAnswer(v)
			} else if v.MoreBody { // nobody is there to take the pieces
				c.Send(&wire.CancelT{Id: v.Id})
			}
		case *wire.BodyChunkT:
			if p := x.find(c, v.Id); p != nil {
				p.handlePiece(v)
			}
		case *wire.WindowUpdateT:
			if p := x.find(c, v.Id); p != nil {
				p.sendWindow.add(int(v.Increment))
			}
		case *wire.CallReplyT:
			x.owner.sidecar.calls.Deliver(c, v)
		}
	}
	x.mu.Lock()
	var lost []*upstreamAttempt
	for _, p := range x.attempts {
		if p.conn == c {
			lost = append(lost, p)
		}
	}
	x.mu.Unlock()
	for _, p := range lost {
		p.finish(balancer.Broken, nil)
	}
}
