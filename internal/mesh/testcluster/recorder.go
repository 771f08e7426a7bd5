package testcluster

import (
	"fmt"
	"sync"
	"time"
)

// Recorder records what servers and callers observe. It is safe for concurrent use.
type Recorder struct {
	mu                 sync.Mutex // guards below
	instancesByAttempt map[string][]string
	attemptsByKey      map[string][]string
	work               map[string]workSpan // latest run of each attempt
	violations         []string
}

// workSpan is the time in which a server worked on an attempt.
type workSpan struct{ began, ended time.Time }

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{instancesByAttempt: map[string][]string{}, attemptsByKey: map[string][]string{}, work: map[string]workSpan{}}
}

func (r *Recorder) recordRun(attempt, key, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instancesByAttempt[attempt] = append(r.instancesByAttempt[attempt], instance)
	r.work[attempt] = workSpan{began: time.Now()}
	if key != "" {
		r.attemptsByKey[key] = append(r.attemptsByKey[key], attempt)
	}
}

// recordEnd records that a server has ended its work on an attempt.
func (r *Recorder) recordEnd(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work[attempt] = workSpan{began: r.work[attempt].began, ended: time.Now()}
}

// workOn returns when a server last worked on an attempt. Times are zero for what has not happened.
func (r *Recorder) workOn(attempt string) workSpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work[attempt]
}

func (r *Recorder) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Runs returns the instances that have run an attempt.
func (r *Recorder) Runs(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instancesByAttempt[attempt]
}

// RunsBy returns the number of requests that an instance has run.
func (r *Recorder) RunsBy(instance string) (runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instances := range r.instancesByAttempt {
		for _, ran := range instances {
			if ran == instance {
				runs++
			}
		}
	}
	return runs
}

// Violations returns the violations of the protocol that were recorded: keys that ran twice, and those that servers and callers found.
func (r *Recorder) Violations() (list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list = append(list, r.violations...)
	for key, attempts := range r.attemptsByKey {
		if len(attempts) > 1 {
			list = append(list, fmt.Sprintf("TWICE: key %s ran as %v", key, attempts))
		}
	}
	return list
}
