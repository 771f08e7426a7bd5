package program

import (
	"strings"
	"testing"
)

// Lines over the limit of a second are dropped, and the next second tells how many.
func TestRateLimitedWriterCountsDroppedLines(t *testing.T) {
	var b strings.Builder
	w := &rateLimitedWriter{to: &b}
	for range maxLinesPerSecond + 3 {
		if n, err := w.writeAt(1, []byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	w.writeAt(2, []byte("next\n"))
	if want := strings.Repeat("line\n", maxLinesPerSecond) + "3 lines left out\nnext\n"; b.String() != want {
		t.Errorf("got %q", b.String())
	}
}
