package line

import (
	"sync"
	"time"
)

// Figures of claims that are not answered.
const (
	stallAfter = 200 * time.Millisecond // without an answer, while some wait
	stallMost  = 2                      // that may wait meanwhile, to see when there are answers again
)

// stall tells when claims on keys are not answered. Each that waits holds a place at a server that others want, so while none
// is answered most are given up at once: they have not run.
type stall struct {
	mu      sync.Mutex // guards below
	waiting int
	since   time.Duration // that some have waited without any answer
	failing bool          // none has been answered since that became too long
	told    bool          // what waits told last
}

// enter says whether one more claim may wait.
func (s *stall) enter(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting > 0 && now-s.since > stallAfter {
		s.failing = true
	}
	if s.failing && s.waiting >= stallMost {
		return false
	}
	if s.waiting == 0 {
		s.since = now
	}
	s.waiting++
	return true
}

// leave ends a wait.
func (s *stall) leave(now time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	switch {
	case answered:
		s.failing, s.since = false, now
	case now-s.since > stallAfter: // one that was given up sooner says nothing: its own time was short
		s.failing = true
	}
}

// waits says whether any claim waits, and whether that differs from what it said last.
func (s *stall) waits() (waits, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits = s.waiting > 0
	changed = waits != s.told
	s.told = waits
	return waits, changed
}
