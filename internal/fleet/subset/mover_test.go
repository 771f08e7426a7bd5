package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMover: a set is never smaller than what it goes from and to, exchanges a bounded part in each step, drops at once
// what has left the list, and arrives.
func TestMover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (l []string) {
			for i := range 40 {
				if rapid.Bool().Draw(t, name) {
					l = append(l, fmt.Sprintf("s-%02d", i))
				}
			}
			return l
		}
		gone := map[string]bool{}
		listed := func(s string) bool { return !gone[s] }
		m := NewMover(100 * time.Millisecond)
		now := time.Duration(0)
		m.Aim(draw("first"), listed)
		for range 4 {
			for _, s := range draw("gone") {
				gone[s] = rapid.IntRange(0, 3).Draw(t, "leaves") == 0
			}
			before := m.Step(now)
			want := slices.DeleteFunc(draw("want"), func(s string) bool { return gone[s] })
			m.Aim(want, listed)
			if slices.ContainsFunc(m.Step(now), func(s string) bool { return gone[s] }) {
				t.Fatal("it keeps what has left")
			}
			for range 100 {
				last := m.Step(now)
				now += 100 * time.Millisecond
				is := m.Step(now)
				fresh := 0
				for _, s := range is {
					if !slices.Contains(last, s) {
						fresh++
					}
				}
				if fresh > max(1, len(want)/stepShare) || len(is) < min(len(last), len(want)) || !slices.IsSorted(is) {
					t.Fatalf("from %v to %v, wanting %v", last, is, want)
				}
			}
			if m.Moving() || !slices.Equal(m.Step(now), want) {
				t.Fatalf("from %v it came to %v, not %v", before, m.Step(now), want)
			}
		}
	})
}
