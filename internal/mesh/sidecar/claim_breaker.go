package sidecar

import (
	"sync"
	"time"
)

// Figures of claims that are not answered.
const (
	claimStallTimeout = 200 * time.Millisecond // without an answer, while some wait
	maxProbingClaims  = 2                      // that may wait meanwhile, to see when there are answers again
)

// claimBreaker tells when claims on keys are not answered. Each that waits holds a place at a server that others want, so while none
// is answered most are given up at once: they have not run.
type claimBreaker struct {
	mu              sync.Mutex // guards below
	waiting         int
	waitingSince    time.Duration // that some have waited without any answer
	open            bool          // none has been answered since that became too long
	reportedWaiting bool          // what waits told last
}

// admit says whether one more claim may wait.
func (s *claimBreaker) admit(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting > 0 && now-s.waitingSince > claimStallTimeout {
		s.open = true
	}
	if s.open && s.waiting >= maxProbingClaims {
		return false
	}
	if s.waiting == 0 {
		s.waitingSince = now
	}
	s.waiting++
	return true
}

// finish ends a wait.
func (s *claimBreaker) finish(now time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	switch {
	case answered:
		s.open, s.waitingSince = false, now
	case now-s.waitingSince > claimStallTimeout: // one that was given up sooner says nothing: its own time was short
		s.open = true
	}
}

// checkWaiting says whether any claim waits, and whether that differs from what it said last.
func (s *claimBreaker) checkWaiting() (waits, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits = s.waiting > 0
	changed = waits != s.reportedWaiting
	s.reportedWaiting = waits
	return waits, changed
}
