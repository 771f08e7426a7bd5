package transport

import (
	"context"
	"sync"

	"cranegrade/internal/mesh/transport/wire"
)

// Calls are calls over connections and their answers. The zero value is ready.
type Calls struct {
	mu      sync.Mutex // guards below
	lastID  uint64
	pending map[uint64]*pendingCall
}

type pendingCall struct {
	conn  *Conn
	reply chan *wire.CallReplyT
}

// Call calls and waits for the answer, until ctx or the connection ends.
func (a *Calls) Call(ctx context.Context, conn *Conn, kind byte, body []byte) (*wire.CallReplyT, error) {
	call := &pendingCall{conn: conn, reply: make(chan *wire.CallReplyT, 1)}
	a.mu.Lock()
	if a.pending == nil {
		a.pending = map[uint64]*pendingCall{}
	}
	a.lastID++
	id := a.lastID
	a.pending[id] = call
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.pending, id)
		a.mu.Unlock()
	}()
	if err := conn.Send(&wire.CallT{Id: id, Kind: kind, Body: body}); err != nil {
		return nil, err
	}
	select {
	case reply := <-call.reply:
		return reply, nil
	case <-conn.Done():
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Deliver brings an answer; one that nobody waits for is dropped.
func (a *Calls) Deliver(conn *Conn, reply *wire.CallReplyT) {
	a.mu.Lock()
	call := a.pending[reply.Id]
	a.mu.Unlock()
	if call != nil && call.conn == conn {
		select {
		case call.reply <- reply:
		default:
		}
	}
}
