// Package logring keeps the latest log lines of a process in a ring buffer in memory. The buffer is written to an output when an error is
// logged, and meshctl can read it over the network. Otherwise nothing is written, so that logging costs a healthy process no I/O.
package logring

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	capacity         = 256                    // lines
	maxLineBytes     = 1 << 10                // longer lines are truncated
	minFlushInterval = 500 * time.Millisecond // limits the output of a process that logs many errors
)

// Ring is a ring buffer of log lines. It implements zerolog.LevelWriter and is safe for concurrent use.
type Ring struct {
	out io.Writer
	now func() time.Time

	mu        sync.Mutex // guards the fields below
	lines     [capacity][]byte
	next      int // index in lines at which the next line is stored
	count     int // number of lines in the ring
	lastFlush time.Time
}

// setTimeFormat sets the format of all loggers' times, once, because loggers of the same process read it while they log.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs })

// New returns a logger for the process called name, and the ring to which the logger writes. Logging an error flushes the ring to out.
func New(out io.Writer, name string) (zerolog.Logger, *Ring) {
	ring := &Ring{out: out, now: time.Now}
	setTimeFormat()
	return zerolog.New(ring).With().Timestamp().Str("at", name).Logger(), ring
}

// Write adds a line at level info.
func (r *Ring) Write(line []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel adds a line. A line of level error or above also flushes the ring, at most once per minFlushInterval. The error is always nil.
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

// Contents returns the lines in the ring, oldest first. A nil Ring has no lines.
func (r *Ring) Contents() []byte {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contentsLocked()
}

// Flush writes the lines to the output and empties the ring.
func (r *Ring) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushLocked()
}

// flushLocked is Flush for a caller that holds mu.
func (r *Ring) flushLocked() {
	r.lastFlush = r.now()
	contents := r.contentsLocked()
	r.count = 0
	_, _ = r.out.Write(contents) // a failed write of the log can't be reported anywhere
}

// contentsLocked is Contents for a caller that holds mu.
func (r *Ring) contentsLocked() (contents []byte) {
	for i := range r.count {
		contents = append(contents, r.lines[(r.next-r.count+i+capacity)%capacity]...)
	}
	return contents
}
