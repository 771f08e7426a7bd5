// Package howler is the logs: a ring in memory, which is written out when something goes wrong, and little else.
package logring

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	capacity         = 256                    // that the ring holds
	maxLineBytes     = 1 << 10                // bytes of one that are kept
	minFlushInterval = 500 * time.Millisecond // between two writings
)

// Ring is a ring of lines. It implements zerolog.LevelWriter.
type Ring struct {
	out io.Writer
	now func() time.Time

	mu        sync.Mutex // guards below
	lines     [capacity][]byte
	next      int
	count     int
	lastFlush time.Time
}

// New returns a logger into a ring whose lines are written to out with the next error.
func New(out io.Writer, name string) (zerolog.Logger, *Ring) {
	h := &Ring{out: out, now: time.Now}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(h).With().Timestamp().Str("at", name).Logger(), h
}

// Write keeps a line.
func (h *Ring) Write(p []byte) (int, error) { return h.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel keeps a line, and writes out what is held if it tells of an error.
func (h *Ring) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := p
	if len(line) > maxLineBytes {
		line = append(append([]byte(nil), line[:maxLineBytes]...), '\n')
	}
	h.lines[h.next] = append(h.lines[h.next][:0], line...)
	h.next = (h.next + 1) % capacity
	h.count = min(h.count+1, capacity)
	if l >= zerolog.ErrorLevel && h.now().Sub(h.lastFlush) > minFlushInterval {
		h.flushLocked()
	}
	return len(p), nil
}

// Contents are the lines that are held, the oldest first. Writing them out forgets them.
func (h *Ring) Contents() []byte {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contentsLocked()
}

// Flush writes out what is held.
func (h *Ring) Flush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flushLocked()
}

func (h *Ring) flushLocked() {
	h.lastFlush = h.now()
	all := h.contentsLocked()
	h.count = 0
	h.out.Write(all)
}

// contentsLocked is what is held. The caller holds the lock.
func (h *Ring) contentsLocked() (all []byte) {
	for i := range h.count {
		all = append(all, h.lines[(h.next-h.count+i+capacity)%capacity]...)
	}
	return all
}
