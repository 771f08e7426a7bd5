package policy

import (
	"math"
	"slices"
	"time"

	"cranegrade/internal/mesh/duration"
)

// Decision is the outcome of a merged policy for the requests of a caller on a route. It is immutable.
type Decision struct {
	Fingerprint string
	Clauses     Clauses
	MaxAttempts int // servers that a request may be sent to; at least 1 if any clause limits them, as that of each route does
	Timeout     time.Duration
	Priority    int
	RetryRatio  float64  // retries per request; math.Inf(1) if the policy does not limit them
	RetryOn     []string // outcomes of an attempt after which it may be retried
	RetryOnAny  bool     // the policy does not restrict RetryOn
	DeniedBy    *Source  // of the clause that denies the caller; nil if the caller may call
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
		d.Timeout = duration.FromSeconds(e.Number)
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

// MayRetry reports whether an attempt may be retried after an outcome, which is one of the values of Policy.RetryOn.
func (d *Decision) MayRetry(outcome string) bool {
	return d.RetryOnAny || slices.Contains(d.RetryOn, outcome)
}
