package transport

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/wire"
)

// Calls holds the calls of a process that wait for their reply, over all its connections. The zero value is ready to use. It may be
// used from any goroutine.
type Calls struct {
	mu      sync.Mutex // guards lastID and pending
	lastID  uint64
	pending map[uint64]*pendingCall
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	conn  *Conn
	reply chan *wire.CallReplyT // holds one reply, so that Deliver never waits
}

// Call makes a call of one of the kinds of package codec, and waits for its reply until ctx or the connection ends. The error is
// ErrClosed, ErrQueueFull or the context's; the call may have been carried out all the same. The goroutine that receives on conn has to
// pass replies to Deliver.
func (c *Calls) Call(ctx context.Context, conn *Conn, kind byte, body []byte) (*wire.CallReplyT, error) {
	call := &pendingCall{conn: conn, reply: make(chan *wire.CallReplyT, 1)}
	id := c.add(call)
	defer c.remove(id)
	if err := conn.Send(&wire.CallT{Id: id, Kind: kind, Body: body}); err != nil {
		return nil, errors.Annotatef(err, "call %s", conn.RemoteAddr())
	}
	select {
	case reply := <-call.reply:
		return reply, nil
	case <-conn.Done():
		return nil, errors.Annotatef(ErrClosed, "call %s", conn.RemoteAddr())
	case <-ctx.Done():
		return nil, errors.Annotatef(ctx.Err(), "call %s", conn.RemoteAddr())
	}
}

// add adds a call under a new id.
func (c *Calls) add(call *pendingCall) (id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[uint64]*pendingCall{}
	}
	c.lastID++
	c.pending[c.lastID] = call
	return c.lastID
}

// remove forgets a call that has ended.
func (c *Calls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Deliver passes a reply to the call that waits for it. A reply that no call waits for, or that comes by another connection than the
// call was sent on, is dropped.
func (c *Calls) Deliver(conn *Conn, reply *wire.CallReplyT) {
	c.mu.Lock()
	call := c.pending[reply.Id]
	c.mu.Unlock()
	if call == nil || call.conn != conn {
		return
	}
	select {
	case call.reply <- reply:
	default: // a duplicate reply
	}
}
