package policy

import (
	"math"
	"slices"
	"time"
)

// Decision is what a merged policy comes to for the requests of a route and a caller. It is never changed once made.
type Decision struct {
	Fingerprint string
	Clauses     Clauses
	MaxAttempts int // servers that a request may be sent to, 1 at least
	Timeout     time.Duration
	Priority    int
	RetryRatio  float64  // retries for each request; math.Inf(1): no bound of the policy's own
	RetryOn     []string // endings after which there may be a retry
	RetryOnAny  bool     // nothing is said of RetryOn
	DeniedBy    *Source  // the caller may not call at all; nil: it may
}

// Decide is what follows from a merged policy for a route and a caller.
func (l Clauses) Decide(route Route, caller string) *Decision {
	d := &Decision{Fingerprint: l.Fingerprint(), Clauses: l, RetryRatio: math.Inf(1), RetryOnAny: true}
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
		d.RetryOn, d.RetryOnAny = e.Values, false
	}
	if source, denied := l.DeniedBy(caller); denied {
		d.DeniedBy = &source
	}
	return d
}

// MayRetry says whether there may be a retry after an attempt that ended so, as Policy.RetryOn names endings.
func (d *Decision) MayRetry(ending string) bool {
	return d.RetryOnAny || slices.Contains(d.RetryOn, ending)
}
