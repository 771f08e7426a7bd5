package sidecar

import (
	"sync"
	"time"
)

const (
	// claimStallTimeout is how long lease requests may wait without any response before the breaker opens.
	claimStallTimeout = 200 * time.Millisecond
	// maxProbingClaims is how many lease requests may wait while the breaker is open, to find out when there are
	// responses again.
	maxProbingClaims = 2
)

// claimBreaker is a circuit breaker for key lease requests (claims). Each one that waits occupies capacity that other
// requests need. So while none is answered, most are failed at once, which is safe because their requests have not
// run. The zero value is ready to use.
type claimBreaker struct {
	mu              sync.Mutex    // guards below
	waiting         int           // lease requests that were admitted and have not finished
	waitingSince    time.Duration // since when some have waited without any response
	open            bool          // lease requests have waited for claimStallTimeout, and no response has come since
	reportedWaiting bool          // the last result of checkWaiting
}

// admit reports whether one more lease request may wait. If so, the caller has to call finish.
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

// finish ends the wait of a lease request that was admitted.
func (b *claimBreaker) finish(now time.Duration, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	switch {
	case answered:
		b.open = false
		b.waitingSince = now
	case now-b.waitingSince > claimStallTimeout: // a request with less time than that proves nothing about the member
		b.open = true
	}
}

// checkWaiting reports whether any lease request waits, and whether that has changed since the last call.
func (b *claimBreaker) checkWaiting() (waiting, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting = b.waiting > 0
	changed = waiting != b.reportedWaiting
	b.reportedWaiting = waiting
	return waiting, changed
}
