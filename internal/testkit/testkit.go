// Package testkit has what the tests of several packages share: waiting with a limit, seeds on all processors, stubs of servers and registries, and
// measures of data structures. For tests only. It never decides whether a test passes, except by the limit of its waits.
package testkit

import (
	"testing"
	"time"
)

// Limit bounds every wait of the tests. It is far longer than any of them takes, so that no test passes or fails by it on a
// busy machine.
const Limit = 20 * time.Second

// pollInterval is how often Eventually looks.
const pollInterval = time.Millisecond

// Wait returns the next value of a channel, and fails the test if none comes in time.
func Wait[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Limit):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// Eventually waits until a condition that other goroutines bring about holds, and fails the test with a text if it does not in
// time.
func Eventually(t testing.TB, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}
