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
	// handshakeTimeout bounds each step of a start: a predecessor that is silent must not hold up its successor.
	handshakeTimeout = time.Second
	// ackTimeout is how long the other process has to confirm that a change has taken effect.
	ackTimeout = 600 * time.Millisecond
	// maxLine bounds what the other process says at a time.
	maxLine      = 4 << 20
	maxListeners = 128
)

// Link is the connection of two processes of one node. Both may tell and are told.
type Link struct {
	conn     *net.UnixConn
	handlers Handlers

	write sync.Mutex // held while a line is written
	mu    sync.Mutex // guards below
	next  uint64
	acks  map[uint64]chan struct{}
	done  chan struct{} // closed when the other side is gone
}

// Handlers hear what the other process says, on the link's goroutine. Any may be nil.
type Handlers struct {
	Orders  func(adminstate.State) // its orders changed
	Serving func()                 // the successor takes clients
	Gone    func()                 // it has ended, or its link did
}

// message is a line of a link.
type message struct {
	ID      uint64            `json:"n,omitempty"`
	Ack     uint64            `json:"ack,omitempty"`
	Orders  *adminstate.State `json:"orders,omitempty"`
	Serving bool              `json:"serving,omitempty"`
}

type hello struct {
	Version int `json:"version"`
	PID     int `json:"pid"`
}

func newLink(c *net.UnixConn) *Link {
	return &Link{conn: c, acks: map[uint64]chan struct{}{}, done: make(chan struct{})}
}

// Start hears the other side from now on.
func (l *Link) Start(e Handlers) {
	l.handlers = e
	go l.run()
}

// Done is closed when the other side is gone.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link.
func (l *Link) Close() { _ = l.conn.Close() }

func (l *Link) run() {
	defer func() {
		_ = l.conn.Close()
		close(l.done)
		if l.handlers.Gone != nil {
			l.handlers.Gone()
		}
	}()
	r := bufio.NewReader(l.conn)
	for {
		line, err := readLine(r, maxLine)
		if err != nil {
			return
		}
		var n message
		if json.Unmarshal(line, &n) != nil {
			return
		}
		if n.Ack != 0 {
			l.mu.Lock()
			if c := l.acks[n.Ack]; c != nil {
				close(c)
				delete(l.acks, n.Ack)
			}
			l.mu.Unlock()
		}
		if n.Orders != nil && l.handlers.Orders != nil {
			l.handlers.Orders(*n.Orders)
		}
		if n.Serving && l.handlers.Serving != nil {
			l.handlers.Serving()
		}
		if n.ID != 0 && l.send(message{Ack: n.ID}) != nil {
			return
		}
	}
}

func (l *Link) send(n message) error {
	text, err := json.Marshal(n)
	if err != nil {
		return err
	}
	l.write.Lock()
	defer l.write.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(ackTimeout))
	_, err = l.conn.Write(append(text, '\n'))
	return err
}

// ErrUnconfirmed says that the other process did not confirm in time.
var ErrUnconfirmed = errors.New("the node's other process has not confirmed it")

// sendAndWait sends a note and waits until it has taken effect there; nil if the other side is gone, and so owes nothing.
func (l *Link) sendAndWait(n message) error {
	ack := make(chan struct{})
	l.mu.Lock()
	l.next++
	n.ID = l.next
	l.acks[n.ID] = ack
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.acks, n.ID)
		l.mu.Unlock()
	}()
	if err := l.send(n); err != nil {
		_ = l.conn.Close()
	}
	wait := time.NewTimer(ackTimeout)
	defer wait.Stop()
	select {
	case <-ack:
	case <-l.done:
	case <-wait.C:
		return ErrUnconfirmed
	}
	return nil
}

// SendAdminState has the other process hold the same orders.
func (l *Link) SendAdminState(s adminstate.State) error { return l.sendAndWait(message{Orders: &s}) }

// SendServing tells the predecessor that this process takes clients.
func (l *Link) SendServing() error { return l.sendAndWait(message{Serving: true}) }
