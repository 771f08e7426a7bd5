package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawSet(t *rapid.T, label string) (set []string) {
	for i := range 40 {
		if rapid.Bool().Draw(t, label) {
			set = append(set, fmt.Sprintf("s-%02d", i))
		}
	}
	return set
}

// TestTransitionIsGradual: the set is never smaller than both the one before and its target, exchanges a bounded part in each step, loses
// at once what is not listed any more, and reaches its target.
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
				t.Fatal("the set keeps servers that are not listed any more")
			}
			for range 100 {
				last := transition.Step(now)
				now += interval
				checkStep(t, last, transition.Step(now), target)
			}
			if transition.InProgress() || !slices.Equal(transition.Step(now), target) {
				t.Fatalf("from %v it came to %v, want %v", before, transition.Step(now), target)
			}
		}
	})
}

func checkStep(t *rapid.T, last, current, target []string) {
	added := 0
	for _, server := range current {
		if !slices.Contains(last, server) {
			added++
		}
	}
	if added > max(1, len(target)/stepDivisor) || len(current) < min(len(last), len(target)) || !slices.IsSorted(current) {
		t.Fatalf("a step from %v to %v, with target %v", last, current, target)
	}
}
