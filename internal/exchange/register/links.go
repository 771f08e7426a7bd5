package register

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/exchange/vault"
	"hollyspur/internal/mesh/replica"
)

// link is a trunk to another register, dialled when there is something to say and kept.
type link struct {
	r    *Register
	addr string

	mu      sync.Mutex // guards below
	c       *trunk.Conn
	dialing bool
	rest    time.Time // no dial before
	quick   int       // redials since a connection ended
	held    [][]byte  // to be sent when it is up; the latest
}

const mostHeld = 32

const linkRest = 200 * time.Millisecond

// link is the one to a register.
func (r *Register) link(addr string) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[addr]
	if l == nil {
		l = &link{r: r, addr: addr}
		r.links[addr] = l
	}
	return l
}

// conn is the connection if there is one; else one is dialled for the next time.
func (l *link) conn() *trunk.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c != nil && l.c.Err() == nil {
		return l.c
	}
	if !l.dialing && time.Now().After(l.rest) {
		l.dialing = true
		go l.dial()
	}
	return nil
}

func (l *link) dial() {
	r := l.r
	hello := &wire.HelloT{Name: r.set.Load().NodeName, Addr: r.self.Addr, Register: true, Member: uint64(r.self.ID)}
	c, err := trunk.Dial(r.ctx, l.addr, hello, nil)
	l.mu.Lock()
	l.dialing = false
	l.rest = time.Now().Add(linkRest)
	held := l.held
	l.held = nil
	if err == nil {
		for _, p := range held {
			c.SendFrame(p)
		}
		l.c = c
	}
	l.mu.Unlock()
	if err != nil {
		r.log.Debug().Err(err).Msg("link")
		if refusedDial(err) {
			r.Do(func() { r.peerGone(l.addr) })
		}
		return
	}
	began := time.Now()
	defer func() { l.ended(time.Since(began)) }()
	c.Open(1)
	// What it may have missed.
	r.Do(func() { c.Send(directory.Wire(r.replica.Records().All())) })
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		if t, is := m.Value.(*wire.ToldT); is {
			r.asks.Told(c, t)
		}
	}
}

func (l *link) send(v any) { l.sendFrame(trunk.Encode(v)) }

// sendFrame sends a frame, or holds it while the trunk is being dialled.
func (l *link) sendFrame(p []byte) {
	if c := l.conn(); c != nil {
		c.SendFrame(p)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing {
		if len(l.held) >= mostHeld {
			l.held = l.held[1:]
		}
		l.held = append(l.held, p)
	}
}

func (l *link) ask(ctx context.Context, kind byte, body []byte) (*wire.ToldT, error) {
	c := l.conn()
	if c == nil {
		return nil, errors.New("no trunk to the leader")
	}
	return l.r.asks.Ask(ctx, c, kind, body)
}

// accept takes trunks of registers and lines.
func (r *Register) accept() {
	for {
		nc, err := r.trunks.Accept()
		if err != nil {
			select {
			case <-r.done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		go func() {
			c, err := trunk.Accept(nc, r.beat)
			if err != nil {
				return
			}
			r.serve(c)
		}()
	}
}

// beat is made on the connections' goroutines. A register whose own goroutine hangs, on a disk for one, is in touch with
// nobody.
func (r *Register) beat() *wire.BeatT {
	return &wire.BeatT{Touch: replica.InTouch(time.Duration(r.touch.Load()), r.now())}
}

func (r *Register) serve(c *trunk.Conn) {
	line := !c.Peer.Register
	r.Do(func() {
		if line {
			r.lines[c] = true
			for _, message := range r.replica.Greeting() {
				c.Send(message)
			}
		} else {
			r.replica.Remember(core.ID(c.Peer.Member), c.Peer.Addr)
			r.link(c.Peer.Addr).hasten()
		}
	})
	defer r.Do(func() { delete(r.lines, c) })
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		switch v := m.Value.(type) {
		case *wire.VoteT:
			if x, err := vault.MessageOf(v); err == nil && !line {
				r.Do(func() { r.replica.Step(r.now(), x) })
			}
		case *wire.RecordsT:
			r.Do(func() { r.takeRecords(directory.Of(v), c, line) })
		case *wire.AskT:
			switch v.Kind {
			case trunk.AskRing: // not by Run's goroutine, which may be what hangs
				c.Send(&wire.ToldT{Id: v.Id, Status: http.StatusOK, Body: r.ring.Held()})
			case trunk.AskStatus:
				r.answerStatus(c, v.Id)
			case trunk.AskModify:
				go r.answerModify(c, v)
			default:
				r.Do(func() { r.answer(c, v, line) })
			}
		}
	}
}

// takeRecords merges records that a line told, or another register.
func (r *Register) takeRecords(l []directory.Record, from *trunk.Conn, direct bool) {
	for _, held := range r.replica.TakeRecords(r.now(), l, direct) {
		from.Send(directory.Wire([]directory.Record{held}))
	}
}

// answerModify answers another register's call that an operator's call be agreed on. It is not read by Run's goroutine, which has
// heartbeats to answer, nor by that of the trunk, on which they come.
func (r *Register) answerModify(c *trunk.Conn, a *wire.AskT) {
	tell := func(reply replica.Reply) {
		c.Send(&wire.ToldT{Id: a.Id, Status: uint16(reply.Status), Body: reply.Body})
	}
	call, err := patch.ReadCall(a.Body)
	if err != nil {
		tell(replica.StatusOf(err))
		return
	}
	r.Do(func() { r.replica.AnswerModify(r.now(), call, tell) })
}

// answer answers a call of a line or a register.
func (r *Register) answer(c *trunk.Conn, a *wire.AskT, line bool) {
	r.replica.Answer(r.now(), a.Kind, a.Body, line, func(reply replica.Reply) {
		if reply.Push != nil {
			c.Send(reply.Push)
		}
		c.Send(&wire.ToldT{Id: a.Id, Status: uint16(reply.Status), Body: reply.Body})
	})
}
