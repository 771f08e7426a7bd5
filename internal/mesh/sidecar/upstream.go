package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// upstreamDialBackoff is the pause after a failed dial before the address is dialed again.
const upstreamDialBackoff = 250 * time.Millisecond

// errUpstreamUnreachable is returned if a dial fails, or if one failed less than upstreamDialBackoff ago.
const errUpstreamUnreachable = errors.ConstError("upstream sidecar is unreachable")

// upstream is the connection to another sidecar, dialed on demand, with the attempts that are open on it.
type upstream struct {
	env  *environment
	addr string

	mu       sync.Mutex                  // guards below
	conn     *transport.Conn             // may be closed already; nil until a dial has succeeded
	dialing  chan struct{}               // closed when the dial in progress has ended; nil if there is no dial
	redialAt time.Time                   // after a failed dial, the earliest time of the next one
	attempts map[uint64]*upstreamAttempt // open attempts by stream ID
}

// connect returns the connection, and dials if there is none. Any number of goroutines may wait for the same dial. The
// error is errUpstreamUnreachable or that of ctx; in either case nothing was sent.
func (u *upstream) connect(ctx context.Context) (*transport.Conn, error) {
	for {
		conn, dialed, err := u.connOrDial()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-dialed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !u.isConnected() {
			return nil, errUpstreamUnreachable
		}
	}
}

// connOrDial returns the live connection, or a channel that is closed when the dial in progress has ended. It begins a
// dial if there is none, but returns errUpstreamUnreachable within upstreamDialBackoff after a failed dial.
func (u *upstream) connOrDial() (conn *transport.Conn, dialed <-chan struct{}, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.Err() == nil {
		return u.conn, nil, nil
	}
	if u.dialing == nil {
		if time.Now().Before(u.redialAt) {
			return nil, nil, errUpstreamUnreachable
		}
		u.dialing = make(chan struct{})
		go u.dial()
	}
	return nil, u.dialing, nil
}

// isConnected reports whether there is a live connection.
func (u *upstream) isConnected() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn != nil && u.conn.Err() == nil
}

// dial opens a connection, and starts to receive from it. It runs on its own goroutine.
func (u *upstream) dial() {
	conn, err := transport.Dial(u.env.ctx, u.addr, u.env.hello(), nil)
	u.mu.Lock()
	if err == nil {
		u.conn = conn
	} else {
		u.redialAt = time.Now().Add(upstreamDialBackoff)
	}
	close(u.dialing)
	u.dialing = nil
	u.mu.Unlock()
	if err == nil {
		go u.receive(conn)
	}
}

// isActive reports whether any attempts are open.
func (u *upstream) isActive() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.attempts) > 0
}

// closeIfIdle closes the connection unless attempts are open or a dial is in progress. It reports whether the upstream
// is idle.
func (u *upstream) closeIfIdle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.attempts) > 0 || u.dialing != nil {
		return false
	}
	if u.conn != nil {
		u.conn.Close(nil)
	}
	return true
}

// close closes the connection, if there is one.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil {
		u.conn.Close(nil)
	}
}

// add registers an attempt that is about to be sent. It returns false if the connection has ended or the stream ID is
// in use.
func (u *upstream) add(a *upstreamAttempt) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != a.conn || a.conn.Err() != nil || u.attempts[a.id] != nil {
		return false
	}
	u.attempts[a.id] = a
	a.conn.AddPending(1)
	return true
}

// remove unregisters an attempt that has ended.
func (u *upstream) remove(a *upstreamAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.attempts, a.id)
	a.conn.AddPending(-1)
}

// find returns the open attempt with a stream ID on a connection, or nil if there is none.
func (u *upstream) find(conn *transport.Conn, id uint64) *upstreamAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a := u.attempts[id]; a != nil && a.conn == conn {
		return a
	}
	return nil
}

// attemptsOn returns the attempts that are open on a connection.
func (u *upstream) attemptsOn(conn *transport.Conn) (open []*upstreamAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.attempts {
		if a.conn == conn {
			open = append(open, a)
		}
	}
	return open
}

// receive handles messages until the connection ends. The requests of attempts that are still open then may have run, so
// these attempts end as broken.
func (u *upstream) receive(conn *transport.Conn) {
	for {
		message, err := conn.Receive()
		if err != nil {
			break
		}
		u.handleMessage(conn, message)
	}
	for _, a := range u.attemptsOn(conn) {
		a.finish(balancer.Broken, nil)
	}
}

// handleMessage handles one message of the peer. Messages for an attempt that has ended are dropped.
func (u *upstream) handleMessage(conn *transport.Conn, received codec.Message) {
	switch message := received.Value.(type) {
	case *wire.ResponseT:
		if a := u.find(conn, message.Id); a != nil {
			a.handleResponse(message)
		} else if message.MoreBody { // the attempt has ended, so nobody reads the body
			_ = conn.Send(&wire.CancelT{Id: message.Id})
		}
	case *wire.BodyChunkT:
		if a := u.find(conn, message.Id); a != nil {
			a.handleBodyChunk(message)
		}
	case *wire.WindowUpdateT:
		if a := u.find(conn, message.Id); a != nil {
			a.sendWindow.add(int(message.Increment))
		}
	case *wire.CallReplyT:
		u.env.calls.Deliver(conn, message)
	}
}
