package subset

import (
	"slices"
	"time"
)

// Transition replaces a member's set of servers by another at a bounded rate, because each new server requires a connection and a new load
// estimate, and all members change their sets at the same time. It closes no connections: a server that leaves the set just gets no more
// first attempts. It is not safe for concurrent use.
type Transition struct {
	stepInterval time.Duration
	current      []string // sorted
	target       []string // sorted
	nextStep     time.Duration
	hadTarget    bool // a non-empty target was set before
}

// stepDivisor: a step replaces 1/stepDivisor of the target's size, but at least one server.
const stepDivisor = 8

// NewTransition returns a transition with an empty set. It reaches its first non-empty target at once.
func NewTransition(interval time.Duration) *Transition { return &Transition{stepInterval: interval} }

// SetTarget sets the target set, which must be sorted. Servers that are no longer listed leave the set at once, and servers of the target
// replace them.
func (t *Transition) SetTarget(target []string, isListed func(server string) bool) {
	t.target = target
	if !t.hadTarget {
		t.current = slices.Clone(target)
		t.hadTarget = len(target) > 0
		return
	}
	before := len(t.current)
	t.current = slices.DeleteFunc(slices.Clone(t.current), func(s string) bool { return !isListed(s) })
	t.addServers(min(before, len(target)) - len(t.current))
}

// addServers adds up to n servers of the target that are not in the set, in sorted order.
func (t *Transition) addServers(n int) {
	added := 0
	for _, s := range t.target {
		if added >= n {
			return
		}
		if at, found := slices.BinarySearch(t.current, s); !found {
			t.current = slices.Insert(slices.Clone(t.current), at, s)
			added++
		}
	}
}

// Step makes a step if one is due at time now, and returns the current set, sorted. The caller must not modify it. A step adds servers
// before it removes others, so the set is never smaller than the smaller of the previous set and the target.
func (t *Transition) Step(now time.Duration) []string {
	if now < t.nextStep || !t.InProgress() {
		return t.current
	}
	t.nextStep = now + t.stepInterval
	n := max(1, len(t.target)/stepDivisor)
	t.addServers(n)
	t.removeServers(min(n, len(t.current)-len(t.target)))
	return t.current
}

// removeServers removes up to n servers that are not in the target, from the end of the set.
func (t *Transition) removeServers(n int) {
	for i := len(t.current) - 1; i >= 0 && n > 0; i-- {
		if _, found := slices.BinarySearch(t.target, t.current[i]); !found {
			t.current = slices.Delete(slices.Clone(t.current), i, i+1)
			n--
		}
	}
}

// InProgress reports whether the set differs from the target.
func (t *Transition) InProgress() bool { return !slices.Equal(t.current, t.target) }
