// Package trace records what a decision module is told, what it answers and what it believes, as JSON
// lines, so that the course of an overload can be read afterwards second by second. records.go has
// the fields of the lines.
//
// A Module stands between an engine and its module and changes nothing of what passes. It reads no clock:
// the time is the one given to Handle, so that a traced simulation writes the same lines each time. It
// never waits for its writer: the lines go through a Sink, which drops and counts what does not fit.
package trace

import (
	"time"

	"cranegrade/balancer"
)

// Decider is a decision module. It is the same as engine.Module.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// Estimator is a decision module that can tell its estimates.
type Estimator interface {
	Estimates(servers int) balancer.Estimates
}

// Options say what is written.
type Options struct {
	Interval   time.Duration // between two summaries; 0 means a second
	Detail     bool          // write every request, attempt and answer as well
	MaxServers int           // listed in a summary; 0 means 32
}

const (
	defaultInterval   = time.Second
	defaultMaxServers = 32
)

// Module passes everything on to another module and records what passes. Like any module it belongs to
// one goroutine.
type Module struct {
	next           Decider
	sink           *Sink
	options        Options
	latencyTargets map[string]time.Duration // by class
	lastSummary    time.Duration            // 0 means none yet
	counts         Counts                   // since the last summary
	successTime    time.Duration            // sum of the latencies of successes, since the last summary
	open           map[string]*openRequest  // by id
}

// openRequest is a request that is not answered, or has an attempt in flight.
type openRequest struct {
	class    string
	arrived  time.Duration
	sent     []time.Duration // of each attempt
	inFlight int
	answered bool
}

// New returns a module that records next to sink. The caller closes the sink.
func New(next Decider, classes []balancer.Class, sink *Sink, options Options) *Module {
	if options.Interval <= 0 {
		options.Interval = defaultInterval
	}
	if options.MaxServers == 0 {
		options.MaxServers = defaultMaxServers
	}
	m := &Module{
		next:           next,
		sink:           sink,
		options:        options,
		latencyTargets: map[string]time.Duration{},
		open:           map[string]*openRequest{},
	}
	for _, c := range classes {
		m.latencyTargets[c.Name] = c.Aim
	}
	m.resetCounts()
	return m
}

func (m *Module) resetCounts() {
	m.counts = Counts{Endings: map[string]int{}, Answers: map[string]int{}}
	m.successTime = 0
}

// Handle passes an event on and returns the next module's actions.
func (m *Module) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	if m.lastSummary == 0 {
		m.lastSummary = now
	}
	if now-m.lastSummary >= m.options.Interval {
		m.writeSummary(now)
	}
	m.recordEvent(now, e)
	actions := m.next.Handle(now, e)
	for _, a := range actions {
		m.recordAction(now, a)
	}
	return actions
}

func (m *Module) writeSummary(now time.Duration) {
	s := Summary{
		AtMS:    milliseconds(now),
		SpanMS:  milliseconds(now - m.lastSummary),
		Counts:  m.counts,
		Dropped: m.sink.Dropped(),
	}
	if successes := m.counts.Endings[endingNames[balancer.Success]]; successes > 0 {
		s.Counts.MeanLatencyMS = milliseconds(m.successTime) / float64(successes)
	}
	if estimator, ok := m.next.(Estimator); ok {
		estimates := estimator.Estimates(m.options.MaxServers)
		s.Beliefs = &estimates
	}
	m.sink.enqueue(s)
	m.lastSummary = now
	m.resetCounts()
}
