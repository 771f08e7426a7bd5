package testcluster

import (
	"fmt"
	"sync"
)

// Recorder records what servers and callers observe. It is safe for concurrent use.
type Recorder struct {
	mu                 sync.Mutex // guards below
	instancesByAttempt map[string][]string
	attemptsByKey      map[string][]string
	violations         []string
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{instancesByAttempt: map[string][]string{}, attemptsByKey: map[string][]string{}}
}

func (r *Recorder) recordRun(attempt, key, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instancesByAttempt[attempt] = append(r.instancesByAttempt[attempt], instance)
	if key != "" {
		r.attemptsByKey[key] = append(r.attemptsByKey[key], attempt)
	}
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
