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

// Kinds of Ask.
const (
	CallModify         byte = iota + 1 // an operator's call, as it came
	CallReadIndex                      // up to which entry must be applied, so that nothing acknowledged is missing
	CallItems                          // all items, confirmed
	CallLeaseKeys                      // keys
	CallStoredResponse                 // between lines: the answer that was kept for a key
	CallStatus                         // how the process is: a Status
	CallLogRing                        // the lines of its log that it still has
	CallHandOverKeys                   // between lines: keep what another kept of keys, a Legacy
	CallDrain                          // of a line: have its server taken out (a body that is not empty) or back in, by hand
	CallActivePolicy                   // which set of namespaces and rulings binds, confirmed: a Bound
)
