package controlplane

import (
	"errors"
	"syscall"
	"time"
)

// Redials of a peer whose connection has just ended: the first after quickRest, each later one after twice as long.
const (
	quickRedialDelay = 5 * time.Millisecond
	maxQuickRedials  = 5
)

// isConnectionRefused says that a dial failed because the peer's host refused it: no process listens there.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// connectionEnded is called when an established connection of the link has ended: a redial tells whether the peer's process has ended,
// too, or only the connection. The number of redials in a row is bounded, for a peer may accept and close again.
func (l *peerLink) connectionEnded(lived time.Duration) {
	l.mu.Lock()
	if lived > redialInterval {
		l.quickRedials = 0
	}
	if l.quickRedials >= maxQuickRedials {
		l.mu.Unlock()
		return
	}
	wait := quickRedialDelay << l.quickRedials
	l.quickRedials++
	l.noDialBefore = time.Time{}
	l.mu.Unlock()
	time.AfterFunc(wait, func() { l.connect() })
}

// dialNow dials at once where there is no connection: the peer has just shown that it runs.
func (l *peerLink) dialNow() {
	l.mu.Lock()
	l.noDialBefore = time.Time{}
	l.mu.Unlock()
	l.connect()
}

// peerGone passes on that the process at an address has ended, and has time pass again when that is due: the regular ticks are
// too far apart. It belongs to Run's goroutine.
func (r *Member) peerGone(address string) {
	wait, isLeader := r.replica.PeerExited(r.now(), address)
	if !isLeader {
		return
	}
	time.AfterFunc(wait, func() {
		r.post(func() { r.replica.Tick(r.now()) })
	})
}
