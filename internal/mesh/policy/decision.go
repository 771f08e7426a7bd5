package policy

import (
	"math"
	"slices"
	"time"
)

// Decision is what follows from a merged policy for the requests of a route and a caller. It is immutable.
type Decision struct {
	Fingerprint string
	Clauses     Clauses
	MaxAttempts int // servers that a request may be sent to, at least 1
	Timeout     time.Duration
	Priority    int
	RetryRatio  float64  // retries per request; math.Inf(1) if the policy does not limit them
	RetryOn     []string // endings after which there may be a retry
	RetryOnAny  bool     // the policy does not restrict RetryOn
	DeniedBy    *Source  // of the clause by which the caller may not call at all; nil if it may
}

// Decide returns the decision for a route and a caller.
func (l Clauses) Decide(route Route, caller string) *Decision {
	d := &Decision{
		Fingerprint: l.Fingerprint(),
		Clauses:     l,
		RetryRatio:  math.Inf(1),
		RetryOnAny:  true,
	}
	if e, exists := l.Effective(FieldTries); exists {
		d.MaxAttempts = max(1, int(e.Number))
	}
	if e, exists := l.Effective(FieldKeyedAgain); exists && e.Number == 0 && route.AtMostOnce {
		d.MaxAttempts = 1
	}
	if e, exists := l.Effective(FieldTimeout); exists {
		d.Timeout = time.Duration(e.Number * float64(time.Second))
	}
	if e, exists := l.Effective(FieldPriority); exists {
		d.Priority = int(e.Number)
	}
	if e, exists := l.Effective(FieldRetryRatio); exists {
		d.RetryRatio = e.Number
	}
	if e, exists := l.Effective(FieldRetryOn); exists {
		d.RetryOn = e.Values
		d.RetryOnAny = false
	}
	if source, denied := l.DeniedBy(caller); denied {
		d.DeniedBy = &source
	}
	return d
}

// MayRetry reports whether an attempt with an ending, as Policy.RetryOn names it, may be retried.
func (d *Decision) MayRetry(ending string) bool {
	return d.RetryOnAny || slices.Contains(d.RetryOn, ending)
}
