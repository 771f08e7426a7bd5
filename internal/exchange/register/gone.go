package register

import (
	"errors"
	"syscall"
	"time"
)

// Redials of a peer whose connection has just ended: the first after quickRest, each later one after twice as long.
const (
	quickRest  = 5 * time.Millisecond
	quickDials = 5
)

// refusedDial says that a dial failed because the peer's host refused it: no process listens there.
func refusedDial(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ended is called when an established connection of the link has ended: a redial tells whether the peer's process has ended,
// too, or only the connection. The number of redials in a row is bounded, for a peer may accept and close again.
func (l *link) ended(lived time.Duration) {
	l.mu.Lock()
	if lived > linkRest {
		l.quick = 0
	}
	if l.quick >= quickDials {
		l.mu.Unlock()
		return
	}
	wait := quickRest << l.quick
	l.quick++
	l.rest = time.Time{}
	l.mu.Unlock()
	time.AfterFunc(wait, func() { l.conn() })
}

// hasten dials at once where there is no connection: the peer has just shown that it runs.
func (l *link) hasten() {
	l.mu.Lock()
	l.rest = time.Time{}
	l.mu.Unlock()
	l.conn()
}

// peerGone passes on that the process at an address has ended, and has time pass again when that is due: the regular ticks are
// too far apart. It belongs to Run's goroutine.
func (r *Register) peerGone(address string) {
	wait, isLeader := r.replica.PeerGone(r.now(), address)
	if !isLeader {
		return
	}
	time.AfterFunc(wait, func() {
		r.Do(func() { r.replica.Tick(r.now()) })
	})
}
