package sidecar

import (
	"sync"
	"time"
)

const (
	// claimStallTimeout is how long lease requests may wait without any response before the breaker opens.
	claimStallTimeout = 200 * time.Millisecond
	// maxProbingClaims is how many lease requests may wait while the breaker is open. They detect when the control
	// plane responds again.
	maxProbingClaims = 2
)

// claimBreaker is a circuit breaker for key lease requests (claims). Each waiting lease request occupies capacity that
// other requests need, so while none is answered, most fail immediately. That is safe because their requests have not
// run. The zero value is ready to use.
type claimBreaker struct {
	mu              sync.Mutex    // guards below
	waiting         int           // number of lease requests that were admitted and have not finished
	waitingSince    time.Duration // the time since which there have been waiting lease requests and no response
	open            bool          // lease requests waited for claimStallTimeout, and there has been no response since
	reportedWaiting bool          // the last result of checkWaiting
}

// admit reports whether another lease request may wait. If so, the caller must call finish when it has ended.
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

// finish records the end of a lease request that was admitted, and whether it was answered.
func (b *claimBreaker) finish(now time.Duration, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	switch {
	case answered:
		b.open = false
		b.waitingSince = now
	case now-b.waitingSince > claimStallTimeout: // a request that timed out earlier proves nothing about the member
		b.open = true
	}
}

// checkWaiting reports whether any lease request is waiting, and whether that has changed since the previous call.
func (b *claimBreaker) checkWaiting() (waiting, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting = b.waiting > 0
	changed = waiting != b.reportedWaiting
	b.reportedWaiting = waiting
	return waiting, changed
}
