package testkit

import "sync/atomic"

// SharedLimit is an engine.SharedLimit that one test uses alone. It is safe for concurrent use.
type SharedLimit struct{ left atomic.Int64 }

// NewSharedLimit returns a limit of n.
func NewSharedLimit(n int64) *SharedLimit {
	l := &SharedLimit{}
	l.left.Store(n)
	return l
}

// Take takes n and returns true, or takes nothing and returns false if less is left.
func (l *SharedLimit) Take(n int64) bool {
	if l.left.Add(-n) < 0 {
		l.left.Add(n)
		return false
	}
	return true
}

// Give returns n to the limit.
func (l *SharedLimit) Give(n int64) { l.left.Add(n) }

// Left returns what can still be taken.
func (l *SharedLimit) Left() int64 { return l.left.Load() }
