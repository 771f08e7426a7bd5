package line

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/message"
	sender "hollyspur/internal/sender/http1"
)

// Figures of the side that runs requests at its own server.
const (
	serverIdle    = 8 * time.Second // after which servers are taken to close idle connections
	connectWithin = 1500 * time.Millisecond
	claimWithin   = 400 * time.Millisecond
)

// inbound runs requests of other lines at this line's server.
type inbound struct {
	line   *Line
	sender *sender.Sender
	keep   *keep
	open   atomic.Int64
	ending atomic.Bool // nothing new is taken
	tally  tally

	mu      sync.Mutex // guards callers
	callers map[*caller]bool
}

// caller is a trunk from another line.
type caller struct {
	c  *trunk.Conn
	mu sync.Mutex // guards open
	// open are the requests of it that run here
	open map[uint64]*run
}

func newInbound(l *Line, s *sender.Sender) *inbound {
	return &inbound{line: l, sender: s, keep: newKeep(), callers: map[*caller]bool{}}
}

// finish ends the trunks of other lines, once they have read what was answered.
func (in *inbound) finish(ctx context.Context) {
	in.mu.Lock()
	var all sync.WaitGroup
	for of := range in.callers {
		all.Go(func() { of.c.Finish(ctx) })
	}
	in.mu.Unlock()
	all.Wait()
}

// accept takes trunks.
func (in *inbound) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			select {
			case <-in.line.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		go func() {
			if c, err := trunk.Accept(nc, nil); err == nil {
				in.serve(&caller{c: c, open: map[uint64]*run{}})
			}
		}()
	}
}

func (in *inbound) serve(of *caller) {
	in.mu.Lock()
	in.callers[of] = true
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.callers, of)
	}()
	for {
		m, err := of.c.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.RequestT:
			in.begin(of, v)
		case *wire.PieceT:
			if r := of.find(v.Id); r != nil && r.more != nil {
				if len(v.Body) > 0 {
					r.more.Push(v.Body)
				}
				if v.Broken {
					r.more.Finish(nil)
				} else if v.Last {
					r.more.Finish([]message.Field{})
				}
			}
		case *wire.CreditT:
			if r := of.find(v.Id); r != nil {
				r.credit.grant(int(v.Bytes))
			}
		case *wire.CancelT:
			if r := of.find(v.Id); r != nil {
				r.cancel(engine.ErrWithdrawn)
			}
		case *wire.AskT:
			of.c.Send(in.answer(v))
		}
	}
	of.mu.Lock()
	defer of.mu.Unlock()
	for _, r := range of.open {
		if !r.q.Once { // nobody will read the answer; of a key's it is kept for a repeat
			r.cancel(engine.ErrWithdrawn)
		}
		if r.more != nil {
			r.more.Finish(nil)
		}
		r.credit.close()
	}
}

// answer answers a call of another line, or of an operator.
func (in *inbound) answer(a *wire.AskT) *wire.ToldT {
	told := &wire.ToldT{Id: a.Id, Status: http.StatusOK}
	switch a.Kind {
	case trunk.AskRecall:
		q, err := legacy(a.Body)
		if err != nil || len(q.List) != 1 {
			told.Status = http.StatusBadRequest
			break
		}
		told.Body = trunk.Bytes(in.recall(q.List[0].Key, q.Of))
	case trunk.AskInherit:
		q, err := legacy(a.Body)
		if err != nil {
			told.Status = http.StatusBadRequest
			break
		}
		in.keep.inherit(q.Of, q.List)
	case trunk.AskStatus:
		told.Body = trunk.Bytes(in.line.status())
	case trunk.AskRing:
		told.Body = in.line.ring.Held()
	case trunk.AskHold:
		in.line.own.hold(len(a.Body) > 0)
	default:
		told.Status = http.StatusNotFound
	}
	return told
}

func legacy(body []byte) (*wire.LegacyT, error) {
	return trunk.Parse(body, func(p []byte) *wire.LegacyT { return wire.GetRootAsLegacy(p, 0).UnPack() })
}

// answer sends an answer, or its beginning, in the form that the caller's line reads.
func (of *caller) answer(a *wire.AnswerT) {
	if of.c.Peer.Version >= trunk.PacksHeads {
		a = trunk.PackAnswer(a)
	}
	of.c.Send(a)
}

func (of *caller) find(id uint64) *run {
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.open[id]
}

// errIDTwice ends a trunk: answers on it could go to the wrong request.
const errIDTwice = errors.ConstError("a request's id is in use")

// enter notes a request that runs; false: its id is that of another.
func (of *caller) enter(r *run) bool {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.open[r.q.Id] != nil {
		return false
	}
	of.open[r.q.Id] = r
	return true
}
