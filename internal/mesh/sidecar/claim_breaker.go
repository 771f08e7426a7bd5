package sidecar

import (
	"sync"
	"time"
)

const (
	// claimStallTimeout is how long claims may wait without any response until the breaker opens.
	claimStallTimeout = 200 * time.Millisecond
	// maxProbingClaims is how many claims may wait while it is open, to see when there are answers again.
	maxProbingClaims = 2
)

// claimBreaker is a circuit breaker for the claims of keys. Each claim that waits holds a place at a server that other requests
// want, so while none is answered most are given up at once: their requests have not run. The zero value is ready.
type claimBreaker struct {
	mu              sync.Mutex // guards below
	waiting         int
	waitingSince    time.Duration // that some have waited without any response
	open            bool          // none has been answered since that became too long
	reportedWaiting bool          // what checkWaiting said last
}

// admit says whether one more claim may wait. Each that is admitted calls finish.
func (b *claimBreaker) admit(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting > 0 && now-b.waitingSince > claimStallTimeout {
		b.open = true
	}
	if b.open && b.waiting >= maxProbingClaims {
		return false
	}
	if b.waiting == 0 {
		b.waitingSince = now
	}
	b.waiting++
	return true
}

// finish ends a wait.
func (b *claimBreaker) finish(now time.Duration, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	switch {
	case answered:
		b.open, b.waitingSince = false, now
	case now-b.waitingSince > claimStallTimeout: // one that was given up sooner says nothing: its own time was short
		b.open = true
	}
}

// checkWaiting says whether any claim waits, and whether that differs from what it said last.
func (b *claimBreaker) checkWaiting() (waiting, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting = b.waiting > 0
	changed = waiting != b.reportedWaiting
	b.reportedWaiting = waiting
	return waiting, changed
}
