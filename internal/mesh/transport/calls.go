package transport

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/wire"
)

// Calls matches replies to the pending calls of a process, on all its connections. The zero value is ready to use. It is safe for
// concurrent use.
type Calls struct {
	mu      sync.Mutex // guards lastID and pending
	lastID  uint64
	pending map[uint64]*pendingCall
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	conn  *Conn
	reply chan *wire.CallReplyT // buffers one reply, so that Deliver never blocks
}

// Call sends a call, whose kind is defined in package codec, and waits for the reply until ctx is done or the connection is closed. The
// error is ErrClosed, ErrQueueFull or that of ctx; the peer may have executed the call even so. The goroutine that receives on conn has to
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

// add registers a call under a new ID.
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

// remove removes a call that no longer waits.
func (c *Calls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Deliver passes a reply to the call that waits for it. It drops a reply if no call waits for it, or if it arrives on a connection other
// than the one on which the call was sent.
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
