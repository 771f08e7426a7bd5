package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSet draws a sorted set of servers.
func drawSet(t *rapid.T, label string) (set []string) {
	for i := range 40 {
		if rapid.Bool().Draw(t, label) {
			set = append(set, fmt.Sprintf("s-%02d", i))
		}
	}
	return set
}

// TestTransitionIsGradual checks that the set is never smaller than the smaller of its previous state and its target, that each step adds a
// bounded number of servers, that unlisted servers leave at once, and that the set reaches its target.
func TestTransitionIsGradual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const interval = 100 * time.Millisecond
		gone := map[string]bool{}
		isListed := func(server string) bool { return !gone[server] }
		transition := NewTransition(interval)
		now := time.Duration(0)
		transition.SetTarget(drawSet(t, "first"), isListed)
		for range 4 {
			for _, server := range drawSet(t, "gone") {
				gone[server] = rapid.IntRange(0, 3).Draw(t, "leaves") == 0
			}
			before := transition.Step(now)
			target := slices.DeleteFunc(drawSet(t, "want"), func(server string) bool { return gone[server] })
			transition.SetTarget(target, isListed)
			if slices.ContainsFunc(transition.Step(now), func(server string) bool { return gone[server] }) {
				t.Fatal("the set still contains servers that are no longer listed")
			}
			for range 100 {
				last := transition.Step(now)
				now += interval
				checkStep(t, last, transition.Step(now), target)
			}
			if transition.InProgress() || !slices.Equal(transition.Step(now), target) {
				t.Fatalf("the transition from %v reached %v, want %v", before, transition.Step(now), target)
			}
		}
	})
}

// checkStep checks one step of a transition: the servers that it adds, the size of the set and its order.
func checkStep(t *rapid.T, last, current, target []string) {
	added := 0
	for _, server := range current {
		if !slices.Contains(last, server) {
			added++
		}
	}
	if added > max(1, len(target)/stepDivisor) || len(current) < min(len(last), len(target)) || !slices.IsSorted(current) {
		t.Fatalf("a step changed %v to %v with target %v: it adds too many servers, or the set is too small or not sorted", last, current, target)
	}
}
