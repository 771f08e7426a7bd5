package subset

import (
	"slices"
	"time"
)

// Transition takes a member from one set of servers to another at a bounded rate: every new server is a connection to open and an
// estimate to form, and all members move at the same time. It closes nothing; a server that leaves the set only gets no further first
// attempts. It is not safe for concurrent use.
type Transition struct {
	interval time.Duration // between steps
	current  []string      // sorted
	target   []string      // sorted
	nextStep time.Duration
	started  bool // it has had a target that was not empty
}

// stepFraction of the target, and one server at the least, is exchanged in a step: 1/stepFraction of it.
const stepFraction = 8

// NewTransition returns a transition without a set. The first target is reached at once.
func NewTransition(interval time.Duration) *Transition { return &Transition{interval: interval} }

// SetTarget sets the set to reach, sorted. Servers that are not listed any more leave at once, and servers of the target take their places.
func (t *Transition) SetTarget(target []string, isListed func(server string) bool) {
	t.target = target
	if !t.started {
		t.current = slices.Clone(target)
		t.started = len(target) > 0
		return
	}
	before := len(t.current)
	t.current = slices.DeleteFunc(slices.Clone(t.current), func(s string) bool { return !isListed(s) })
	t.add(min(before, len(target)) - len(t.current))
}

// add adds up to n servers of the target.
func (t *Transition) add(n int) {
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

// Step returns the set for now, sorted. The caller must not change it. A step adds servers before it removes others, so that the set is
// never smaller than both the one before and the target.
func (t *Transition) Step(now time.Duration) []string {
	if now < t.nextStep || !t.InProgress() {
		return t.current
	}
	t.nextStep = now + t.interval
	n := max(1, len(t.target)/stepFraction)
	t.add(n)
	t.remove(min(n, len(t.current)-len(t.target)))
	return t.current
}

// remove removes up to n servers that are not in the target, the last first.
func (t *Transition) remove(n int) {
	for i := len(t.current) - 1; i >= 0 && n > 0; i-- {
		if _, found := slices.BinarySearch(t.target, t.current[i]); !found {
			t.current = slices.Delete(slices.Clone(t.current), i, i+1)
			n--
		}
	}
}

// InProgress reports whether the set is not the target yet.
func (t *Transition) InProgress() bool { return !slices.Equal(t.current, t.target) }
