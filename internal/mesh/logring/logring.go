// Package logring keeps the latest log lines of a process in a ring buffer in memory. They are written out when an error is logged,
// and read over the network by meshctl; nothing else is written, so that a healthy process costs no I/O for its log.
package logring

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	capacity         = 256     // lines
	maxLineBytes     = 1 << 10 // of a line that are kept
	minFlushInterval = 500 * time.Millisecond
)

// Ring is a ring buffer of log lines. It implements zerolog.LevelWriter, and may be used by any goroutine.
type Ring struct {
	out io.Writer
	now func() time.Time

	mu        sync.Mutex // guards below
	lines     [capacity][]byte
	next      int // of lines, to be written
	count     int // of lines, that are held
	lastFlush time.Time
}

// New returns a logger of the process with a name, and the ring that it writes to. The ring is written to out with each error.
func New(out io.Writer, name string) (zerolog.Logger, *Ring) {
	ring := &Ring{out: out, now: time.Now}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(ring).With().Timestamp().Str("at", name).Logger(), ring
}

// Write keeps a line without a level.
func (r *Ring) Write(line []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel keeps a line, and writes out what is held if it is an error. It never fails.
func (r *Ring) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := &r.lines[r.next]
	*slot = append((*slot)[:0], line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		*slot = append(*slot, '\n')
	}
	r.next = (r.next + 1) % capacity
	r.count = min(r.count+1, capacity)
	if level >= zerolog.ErrorLevel && r.now().Sub(r.lastFlush) > minFlushInterval {
		r.flushLocked()
	}
	return len(line), nil
}

// Contents returns the lines that are held, the oldest first. A nil ring holds none.
func (r *Ring) Contents() []byte {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contentsLocked()
}

// Flush writes out what is held, and forgets it.
func (r *Ring) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushLocked()
}

func (r *Ring) flushLocked() {
	r.lastFlush = r.now()
	contents := r.contentsLocked()
	r.count = 0
	_, _ = r.out.Write(contents) // there is nowhere to say that the log can't be written
}

func (r *Ring) contentsLocked() (contents []byte) {
	for i := range r.count {
		contents = append(contents, r.lines[(r.next-r.count+i+capacity)%capacity]...)
	}
	return contents
}
