package controlplane

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	jujuerrors "github.com/juju/errors"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	maxPendingFrames = 32                     // queued during a dial; when the queue is full the oldest is dropped
	redialInterval   = 200 * time.Millisecond // between two dials of a peer that can't be reached
	// A peer whose connection has just ended is dialled again after quickRedialDelay, then with the delay doubled each
	// time, up to maxQuickRedials times in a row. Only a refused dial distinguishes a process that has ended from a broken connection.
	quickRedialDelay = 5 * time.Millisecond
	maxQuickRedials  = 5
)

// errNotConnected is returned for a call to a peer that is not connected.
const errNotConnected = jujuerrors.ConstError("no connection to the leader")

// peerLink is the outgoing connection to another member. It is dialled when there is something to send, and then kept open.
type peerLink struct {
	peers   *peerSet
	address string

	mu           sync.Mutex // guards the fields below
	connection   *transport.Conn
	dialing      bool
	noDialBefore time.Time
	quickRedials int      // in a row since a connection ended
	pending      [][]byte // the latest frames to send once the dial has succeeded
}

// connect returns the connection. If there is none it returns nil, and starts a dial unless one is in progress or has only just failed.
func (l *peerLink) connect() *transport.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != nil && l.connection.Err() == nil {
		return l.connection
	}
	if !l.dialing && time.Now().After(l.noDialBefore) {
		l.dialing = true
		go l.run()
	}
	return nil
}

// dialNow dials at once if there is no connection, even if the last dial has only just failed, since the peer is known to run.
func (l *peerLink) dialNow() {
	l.mu.Lock()
	l.noDialBefore = time.Time{}
	l.mu.Unlock()
	l.connect()
}

// run dials, and then receives until the connection ends. It runs on its own goroutine, which ends with the connection.
func (l *peerLink) run() {
	connection, err := transport.Dial(l.peers.ctx, l.address, l.peers.hello(), nil)
	l.dialed(connection, err)
	if err != nil {
		l.peers.log.Debug().Err(err).Str("peer", l.address).Msg("peer dial failed")
		if isConnectionRefused(err) {
			l.peers.onRefused(l.address)
		}
		return
	}
	began := time.Now()
	defer func() { l.connectionEnded(time.Since(began)) }()
	connection.AddPending(1)
	l.peers.onConnected(connection)
	for {
		message, err := connection.Receive()
		if err != nil {
			return
		}
		if reply, ok := message.Value.(*wire.CallReplyT); ok {
			l.peers.calls.Deliver(connection, reply)
		}
	}
}

// dialed records the outcome of a dial, and sends the frames that waited for it.
func (l *peerLink) dialed(connection *transport.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	l.noDialBefore = time.Now().Add(redialInterval)
	pending := l.pending
	l.pending = nil
	if err != nil {
		return
	}
	for _, frame := range pending {
		_ = connection.SendFrame(frame)
	}
	l.connection = connection
}

// connectionEnded is called when an established connection has ended. It schedules a redial to find out whether the peer's process has
// ended too. The number of such redials in a row is bounded, since a peer may accept and close connections again and again.
func (l *peerLink) connectionEnded(lasted time.Duration) {
	l.mu.Lock()
	if lasted > redialInterval {
		l.quickRedials = 0
	}
	if l.quickRedials >= maxQuickRedials {
		l.mu.Unlock()
		return
	}
	delay := quickRedialDelay << l.quickRedials
	l.quickRedials++
	l.noDialBefore = time.Time{}
	l.mu.Unlock()
	time.AfterFunc(delay, func() { l.connect() })
}

// isConnectionRefused reports whether a dial failed because no process listens at the address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// send sends a message without confirmation; the message may be lost.
func (l *peerLink) send(message any) { l.sendFrame(codec.Encode(message)) }

// sendFrame sends a frame, or queues it while the peer is being dialled.
func (l *peerLink) sendFrame(frame []byte) {
	if connection := l.connect(); connection != nil {
		_ = connection.SendFrame(frame)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.dialing {
		return
	}
	if len(l.pending) >= maxPendingFrames {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, frame)
}

// call calls the peer and waits for its reply.
func (l *peerLink) call(ctx context.Context, kind byte, body []byte) (*wire.CallReplyT, error) {
	connection := l.connect()
	if connection == nil {
		return nil, errNotConnected
	}
	return l.peers.calls.Call(ctx, connection, kind, body)
}
