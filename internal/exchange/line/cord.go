package line

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hollyspur"
	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

const (
	window     = 256 << 10 // bytes of a body that may be under way to whoever reads slowly
	creditStep = 32 << 10
	cordRest   = 250 * time.Millisecond // between dials of one that can't be reached
)

var errNoCord = errors.New("no cord to the line")

// cords are the trunks to other lines. They implement engine.Sender.
type cords struct {
	line *Line
	mu   sync.Mutex // guards below
	to   map[string]*cord
	next atomic.Uint64
}

// cord is the trunk to one line.
type cord struct {
	of   *cords
	addr string

	mu      sync.Mutex // guards below
	c       *trunk.Conn
	dialing chan struct{} // closed when the dial that is under way has ended
	rest    time.Time
	open    map[uint64]*sent
}

func newCords(l *Line) *cords { return &cords{line: l, to: map[string]*cord{}} }

func (s *cords) cord(addr string) *cord {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.to[addr]
	if x == nil {
		x = &cord{of: s, addr: addr, open: map[uint64]*sent{}}
		s.to[addr] = x
	}
	return x
}

// Drop implements engine.Sender: what is under way on the cord goes on.
func (s *cords) Drop(*engine.Endpoint) {}

// Sweep implements engine.Sender: cords to lines that are in the directory no more are given up.
func (s *cords) Sweep() {
	dir := s.line.dir.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, x := range s.to {
		if _, is := dir.Get(addr); is {
			continue
		}
		x.mu.Lock()
		if len(x.open) == 0 && x.dialing == nil {
			if x.c != nil {
				x.c.Close(nil)
			}
			delete(s.to, addr)
		}
		x.mu.Unlock()
	}
}

// sends are the lines to which requests are under way.
func (s *cords) sends() (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, x := range s.to {
		x.mu.Lock()
		if len(x.open) > 0 {
			l = append(l, addr)
		}
		x.mu.Unlock()
	}
	return l
}

func (s *cords) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.to {
		x.mu.Lock()
		if x.c != nil {
			x.c.Close(nil)
		}
		x.mu.Unlock()
	}
}

// connect is the connection, dialled if there is none.
func (x *cord) connect(ctx context.Context) (*trunk.Conn, error) {
	for {
		x.mu.Lock()
		if x.c != nil && x.c.Err() == nil {
			c := x.c
			x.mu.Unlock()
			return c, nil
		}
		if x.dialing == nil {
			if time.Now().Before(x.rest) {
				x.mu.Unlock()
				return nil, errNoCord
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
		failed := x.c == nil || x.c.Err() != nil
		x.mu.Unlock()
		if failed {
			return nil, errNoCord
		}
	}
}

func (x *cord) dial() {
	l := x.of.line
	c, err := trunk.Dial(l.ctx, x.addr, &wire.HelloT{Name: l.set.Load().NodeName, Addr: l.Addr(), Zone: l.set.Load().Zone}, nil)
	x.mu.Lock()
	if err == nil {
		x.c = c
	} else {
		x.rest = time.Now().Add(cordRest)
	}
	close(x.dialing)
	x.dialing = nil
	x.mu.Unlock()
	if err == nil {
		go x.read(c)
	}
}

// enter notes an attempt that is about to be sent; false: its connection has ended, or its id is in use.
func (x *cord) enter(p *sent) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.c != p.c || p.c.Err() != nil || x.open[p.id] != nil {
		return false
	}
	x.open[p.id] = p
	p.c.Open(1)
	return true
}

func (x *cord) leave(p *sent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, p.id)
	p.c.Open(-1)
}

func (x *cord) find(c *trunk.Conn, id uint64) *sent {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.open[id]; p != nil && p.c == c {
		return p
	}
	return nil
}

// read takes what comes on a connection, until it ends: then all that is open on it may have run.
func (x *cord) read(c *trunk.Conn) {
	for {
		m, err := c.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.AnswerT:
			if p := x.find(c, v.Id); p != nil {
				p.take(v)
			} else if v.More { // nobody is there to take the pieces
				c.Send(&wire.CancelT{Id: v.Id})
			}
		case *wire.PieceT:
			if p := x.find(c, v.Id); p != nil {
				p.piece(v)
			}
		case *wire.CreditT:
			if p := x.find(c, v.Id); p != nil {
				p.credit.grant(int(v.Bytes))
			}
		case *wire.ToldT:
			x.of.line.asks.Told(c, v)
		}
	}
	x.mu.Lock()
	var lost []*sent
	for _, p := range x.open {
		if p.c == c {
			lost = append(lost, p)
		}
	}
	x.mu.Unlock()
	for _, p := range lost {
		p.end(hollyspur.Broken, nil)
	}
}
