package stage

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Record is what was sent, answered and run, in order of time. Its methods may be called by any goroutine.
type Record struct {
	mu      sync.Mutex // guards below
	out     io.Writer
	started time.Time
	runs    []Run
}

// Run is one run of a request by a server.
type Run struct {
	Attempt, Key, Instance string
	CallerService          string
	At                     time.Duration
}

// NewRecord returns a record that is written to out.
func NewRecord(out io.Writer) *Record { return &Record{out: out, started: time.Now()} }

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// Note adds a line.
func (r *Record) Note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(who, format, args...)
}

// note is Note for a caller that holds mu.
func (r *Record) note(who, format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %-12s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// AddRun records that a server has begun work on a request.
func (r *Record) AddRun(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.At = time.Since(r.started)
	r.runs = append(r.runs, run)
	r.note(run.Instance, "runs %s key %q of caller service %q", run.Attempt, run.Key, run.CallerService)
}

// Runs returns all runs so far.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}
