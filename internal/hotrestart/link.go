package hotrestart

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"cranegrade/internal/adminstate"
)

const (
	// handshakeTimeout bounds each side's handshake: a silent predecessor must not delay its successor.
	handshakeTimeout = time.Second
	// ackTimeout bounds the wait for the other process to acknowledge that a change is in effect.
	ackTimeout = 600 * time.Millisecond
	// maxMessageBytes bounds a message of a link.
	maxMessageBytes = 4 << 20
)

// Link is the connection between two processes of one node. Both sides send changes and acknowledge those
// that they receive. Its methods may be called from any goroutine.
type Link struct {
	conn     *net.UnixConn
	handlers Handlers // set by Start

	done    chan struct{} // closed when the other side is gone
	writeMu sync.Mutex    // held while a message is written

	mu     sync.Mutex // guards the fields below
	lastID uint64
	acks   map[uint64]chan struct{} // by the id of a message that waits for its acknowledgement
}

// Handlers are called for what the other process sends, on the link's goroutine and in order; a message is
// acknowledged when its handler has returned. Any may be nil.
type Handlers struct {
	AdminState func(adminstate.State) // the other process has this administrative state
	Serving    func()                 // the successor accepts clients
	Gone       func()                 // the other process has ended, or the link has
}

// message is a line of a link, in JSON.
type message struct {
	ID         uint64            `json:"n,omitempty"`   // of a message that is to be acknowledged; otherwise 0
	Ack        uint64            `json:"ack,omitempty"` // id of a message of the receiver
	AdminState *adminstate.State `json:"orders,omitempty"`
	Serving    bool              `json:"serving,omitempty"`
}

// hello is the first line, from a successor.
type hello struct {
	Version int `json:"version"`
	PID     int `json:"pid"`
}

// newLink returns a link that reads nothing before Start.
func newLink(conn *net.UnixConn) *Link {
	return &Link{conn: conn, acks: map[uint64]chan struct{}{}, done: make(chan struct{})}
}

// Start calls the handlers from now on. It must be called once, and before anything is sent.
func (l *Link) Start(handlers Handlers) {
	l.handlers = handlers
	go l.run()
}

// Done is closed when the other side is gone.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close closes the link.
func (l *Link) Close() { _ = l.conn.Close() } // it fails only if it was closed before

// run reads messages until the link ends.
func (l *Link) run() {
	defer func() {
		l.Close()
		close(l.done)
		if l.handlers.Gone != nil {
			l.handlers.Gone()
		}
	}()
	r := bufio.NewReader(l.conn)
	for {
		line, err := readLine(r, maxMessageBytes)
		if err != nil {
			return
		}
		var m message
		if json.Unmarshal(line, &m) != nil {
			return // the other side is of no use
		}
		if l.handle(m) != nil {
			return
		}
	}
}

// handle handles a message and then acknowledges it. The error is that of the acknowledgement.
func (l *Link) handle(m message) error {
	if m.Ack != 0 {
		l.acknowledged(m.Ack)
	}
	if m.AdminState != nil && l.handlers.AdminState != nil {
		l.handlers.AdminState(*m.AdminState)
	}
	if m.Serving && l.handlers.Serving != nil {
		l.handlers.Serving()
	}
	if m.ID == 0 {
		return nil
	}
	return l.send(message{Ack: m.ID})
}

// acknowledged ends the wait for an acknowledgement.
func (l *Link) acknowledged(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ack := l.acks[id]; ack != nil {
		close(ack)
		delete(l.acks, id)
	}
}

// send writes a message, without waiting for its acknowledgement.
func (l *Link) send(m message) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(ackTimeout)) // if it fails, so does Write
	_, err = l.conn.Write(append(text, '\n'))
	return err
}

// ErrUnconfirmed says that the other process did not acknowledge a change in time. The change may be in
// effect there all the same.
var ErrUnconfirmed = errors.New("the node's other process has not confirmed it")

// sendAndWait sends a message and waits for its acknowledgement. It returns nil if the other side is gone:
// then there is no process that lacks the change.
func (l *Link) sendAndWait(m message) error {
	ack := make(chan struct{})
	l.mu.Lock()
	l.lastID++
	m.ID = l.lastID
	l.acks[m.ID] = ack
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.acks, m.ID)
		l.mu.Unlock()
	}()
	if l.send(m) != nil {
		l.Close() // run notices it, and closes done
	}
	timeout := time.NewTimer(ackTimeout)
	defer timeout.Stop()
	select {
	case <-ack:
	case <-l.done:
	case <-timeout.C:
		return ErrUnconfirmed
	}
	return nil
}

// SendAdminState has the other process merge an administrative state and waits until it is in effect
// there. The error is ErrUnconfirmed if that takes too long.
func (l *Link) SendAdminState(s adminstate.State) error {
	return l.sendAndWait(message{AdminState: &s})
}

// SendServing tells the predecessor that this process accepts clients. The error is that of SendAdminState.
func (l *Link) SendServing() error { return l.sendAndWait(message{Serving: true}) }
