package logring

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// newTestRing returns a ring that writes to out and whose clock returns *now.
func newTestRing() (ring *Ring, out *bytes.Buffer, now *time.Time) {
	out, now = &bytes.Buffer{}, new(time.Time)
	*now = time.Unix(1_000, 0)
	return &Ring{out: out, now: func() time.Time { return *now }}, out, now
}

func TestRingKeepsLatestLines(t *testing.T) {
	ring, out, _ := newTestRing()
	for i := range capacity + 2 {
		_, err := ring.Write(fmt.Appendf(nil, "line %d\n", i))
		assert.NilError(t, err)
	}
	lines := strings.Split(strings.TrimSpace(string(ring.Contents())), "\n")
	assert.Equal(t, len(lines), capacity)
	assert.Equal(t, lines[0], "line 2")
	assert.Equal(t, lines[capacity-1], fmt.Sprintf("line %d", capacity+1))
	assert.Equal(t, out.Len(), 0)
}

func TestRingTruncatesLongLines(t *testing.T) {
	ring, _, _ := newTestRing()
	line := strings.Repeat("x", maxLineBytes+1)
	n, err := ring.Write([]byte(line))
	assert.NilError(t, err)
	assert.Equal(t, n, len(line))
	assert.Equal(t, string(ring.Contents()), line[:maxLineBytes]+"\n")
}

func TestErrorFlushesRing(t *testing.T) {
	ring, out, now := newTestRing()
	write := func(level zerolog.Level, line string) {
		t.Helper()
		_, err := ring.WriteLevel(level, []byte(line))
		assert.NilError(t, err)
	}
	write(zerolog.InfoLevel, "before\n")
	write(zerolog.ErrorLevel, "error\n")
	assert.Equal(t, out.String(), "before\nerror\n")
	assert.Equal(t, len(ring.Contents()), 0)
	*now = now.Add(minFlushInterval)
	write(zerolog.ErrorLevel, "too soon\n")
	assert.Equal(t, out.String(), "before\nerror\n")
	*now = now.Add(1)
	write(zerolog.ErrorLevel, "later\n")
	assert.Equal(t, out.String(), "before\nerror\ntoo soon\nlater\n")
}

func TestNilRingIsEmpty(t *testing.T) {
	var ring *Ring
	assert.Equal(t, len(ring.Contents()), 0)
}
