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

// upstreamDialBackoff is the pause between dials of an address that can't be reached.
const upstreamDialBackoff = 250 * time.Millisecond

// errUpstreamUnreachable is the error of a connection that could not be made, now or within upstreamDialBackoff.
const errUpstreamUnreachable = errors.ConstError("the sidecar can't be reached")

// upstream is the connection to another sidecar, which is dialed when it is needed, with its open attempts.
type upstream struct {
	env  *environment
	addr string

	mu       sync.Mutex                  // guards below
	conn     *transport.Conn             // may have ended; nil before the first dial has succeeded
	dialing  chan struct{}               // closed when the dial in progress has ended; nil if there is none
	retryAt  time.Time                   // no dial is begun before
	attempts map[uint64]*upstreamAttempt // open ones, by stream ID
}

// connect returns the connection, and dials it if there is none. Any number of goroutines may wait for one dial. The
// error is errUpstreamUnreachable or that of ctx; nothing was sent in either case.
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
// dial if there is none, but returns errUpstreamUnreachable shortly after one has failed.
func (u *upstream) connOrDial() (conn *transport.Conn, dialed <-chan struct{}, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.Err() == nil {
		return u.conn, nil, nil
	}
	if u.dialing == nil {
		if time.Now().Before(u.retryAt) {
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

// dial makes a connection and reads it until it ends. It runs on a goroutine of its own.
func (u *upstream) dial() {
	conn, err := transport.Dial(u.env.ctx, u.addr, u.env.hello(), nil)
	u.mu.Lock()
	if err == nil {
		u.conn = conn
	} else {
		u.retryAt = time.Now().Add(upstreamDialBackoff)
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

// closeIfIdle closes the connection unless attempts are open or it is being dialed. It reports whether the upstream
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

// add records an attempt that is about to be sent. It returns false if the connection has ended or the stream ID is
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

// remove forgets an attempt that has ended.
func (u *upstream) remove(a *upstreamAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.attempts, a.id)
	a.conn.AddPending(-1)
}

// find returns the attempt that is open on a connection with a stream ID, or nil if there is none.
func (u *upstream) find(conn *transport.Conn, id uint64) *upstreamAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a := u.attempts[id]; a != nil && a.conn == conn {
		return a
	}
	return nil
}

// openOn returns the attempts that are open on a connection.
func (u *upstream) openOn(conn *transport.Conn) (open []*upstreamAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.attempts {
		if a.conn == conn {
			open = append(open, a)
		}
	}
	return open
}

// receive handles messages until the connection ends. The attempts that are then open on it may have run, so they end
// as broken.
func (u *upstream) receive(conn *transport.Conn) {
	for {
		message, err := conn.Receive()
		if err != nil {
			break
		}
		u.handleMessage(conn, message)
	}
	for _, a := range u.openOn(conn) {
		a.finish(balancer.Broken, nil)
	}
}

// handleMessage handles one message of the peer. What belongs to an attempt that has ended is dropped.
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
