// Package audit checks the four rules of the protocol's page in the records of a test run: what clients, servers and the
// registry saw (package fake).
//
//  1. Each request that was accepted is answered, completely and by its deadline (answers.go).
//  2. No request with an effect may run twice, beyond what its class allows (effects.go).
//  3. No request is sent to a server that was listed as draining or removed (servers.go).
//  4. No server is overloaded during its slow start (servers.go).
//
// It is pure, and must never rely on what the program under test says of itself: it imports none of its packages
// (internal/node/layout_test.go).
package audit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cranegrade/internal/fake"
)

// Options are the tolerances of the rules.
type Options struct {
	Slack      time.Duration // for delays of the machine, added to all limits; default 70 ms
	DrainDelay time.Duration // until requests to a draining server have to stop; default 250 ms
}

// Defaults of Options.
const (
	defaultSlack      = 70 * time.Millisecond
	defaultDrainDelay = 250 * time.Millisecond
)

// Result counts the requests by their end, and the violations of the rules. The names in its JSON are those of drills' reports.
type Result struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	// Interrupted are requests without an answer that were at a process when the test killed or stopped it.
	Interrupted int `json:"taken,omitempty"`

	Lost               int `json:"lost"`       // violations of rule 1
	Duplicates         int `json:"twice"`      // of rule 2
	LateDrains         int `json:"drain_late"` // of rule 3
	SlowStartOverloads int `json:"cold_over"`  // of rule 4

	// MaxDrainDelay is the longest time after which a request still reached a server that was listed as draining.
	MaxDrainDelay time.Duration `json:"-"`
	// Violations describes the first maxViolations.
	Violations []string `json:"-"`
}

// Passed reports whether no rule was violated.
func (r Result) Passed() bool { return r.Lost+r.Duplicates+r.LateDrains+r.SlowStartOverloads == 0 }

// maxViolations bounds the violations that are described; all of them are counted.
const maxViolations = 20

// violation counts a violation, and describes it if it is among the first.
func (r *Result) violation(count *int, format string, args ...any) {
	*count++
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checker is a check in progress.
type checker struct {
	Result
	options  Options
	records  fake.History
	arrivals map[string][]fake.Arrival // at servers, by the request's ID
	outages  map[string][]fake.Outage  // by the process
}

// Check checks the records of a run that has ended. It changes nothing in them.
func Check(records fake.History, options Options) Result {
	if options.Slack == 0 {
		options.Slack = defaultSlack
	}
	if options.DrainDelay == 0 {
		options.DrainDelay = defaultDrainDelay
	}
	c := newChecker(records, options)
	for _, exchange := range records.Exchanges {
		c.checkAnswer(exchange)
	}
	c.checkEffects()
	c.checkRejections()
	c.checkDrains()
	c.checkSlowStarts()
	return c.Result
}

// newChecker returns a checker with the records sorted by request and by process.
func newChecker(records fake.History, options Options) *checker {
	c := &checker{
		options:  options,
		records:  records,
		arrivals: map[string][]fake.Arrival{},
		outages:  map[string][]fake.Outage{},
	}
	for _, arrival := range records.Arrivals {
		c.arrivals[arrival.ID] = append(c.arrivals[arrival.ID], arrival)
	}
	for _, outage := range records.Outages {
		c.outages[outage.Process] = append(c.outages[outage.Process], outage)
	}
	return c
}

// outageDuring reports whether a process was dead or stopped at some time of a span.
func (c *checker) outageDuring(process string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.outages[process], func(outage fake.Outage) bool {
		return outage.From <= to && (outage.To == 0 || outage.To >= from)
	})
}

// requestIDs are the IDs of the requests that reached a server, sorted so that violations come in the same order each time.
func (c *checker) requestIDs() []string { return slices.Sorted(maps.Keys(c.arrivals)) }
