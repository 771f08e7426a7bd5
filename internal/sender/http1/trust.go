package http1

import (
	"math"
	"net/http"
	"time"

	"cranegrade/internal/message"
)

// reuseTrust judges whether a reused connection should carry a request. Servers and proxies close idle connections, and
// the close may cross the next request (RFC 9112, section 9.5), which then ends in a reset and may have run. Where reused
// connections break more often than new ones, requests that are not idempotent go over new ones, and where they break
// very often all requests do.
//
// It is pure: time is an argument. It is not safe for concurrent use; its owner locks it.
type reuseTrust struct {
	reused, fresh breaks
	at            time.Duration // of the last sample
	avoidedInRow  int           // requests in a row that were sent over new connections instead
}

// breaks are counts of exchanges and of those that broke, with exponential decay.
type breaks struct{ n, broke float64 }

const (
	trustMemory    = 200.0           // exchanges that the counts cover
	trustPrior     = 20.0            // assumed exchanges without a break, at the start
	trustDoubt     = 0.2             // assumed breaks of reused ones: others must show first that reuse is safe
	trustTime      = time.Minute     // time constant of the decay, since servers are replaced and repaired
	atMostOnceRisk = 0.005           // accepted rate of breaks, over that of new ones, for requests that are not idempotent
	retryableRisk  = 0.05            // and for others, which can be retried: each break costs one of few attempts
	lookAgain      = 16              // one in so many of the avoided reuses is made, to measure again
	maxSpan        = 365 * time.Hour // limit on a step of the clock, so that the decay stays a number
)

// rate is the share of exchanges that broke.
func (b breaks) rate() float64 { return b.broke / (b.n + trustPrior) }

// record counts an exchange that ended in a response or in the end of its connection.
func (t *reuseTrust) record(now time.Duration, reused, broke bool) {
	t.decay(now)
	b := &t.fresh
	if reused {
		b = &t.reused
	}
	b.n *= 1 - 1/trustMemory
	b.broke *= 1 - 1/trustMemory
	b.n++
	if broke {
		b.broke++
	}
}

// decay applies the decay up to now.
func (t *reuseTrust) decay(now time.Duration) {
	d := min(max(0, now-t.at), maxSpan)
	t.at = max(t.at, now)
	f := math.Exp(-float64(d) / float64(trustTime))
	for _, b := range []*breaks{&t.reused, &t.fresh} {
		b.n *= f
		b.broke *= f
	}
}

// mayReuse reports whether a request may go over a reused connection.
func (t *reuseTrust) mayReuse(now time.Duration, atMostOnce bool) bool {
	t.decay(now)
	excess := t.reused.rate() + trustDoubt/(t.reused.n+trustPrior) - t.fresh.rate()
	switch {
	case atMostOnce:
		return excess <= atMostOnceRisk
	case excess <= retryableRisk:
		return true
	}
	if t.avoidedInRow++; t.avoidedInRow < lookAgain {
		return false
	}
	t.avoidedInRow = 0
	return true
}

// needsProbe reports whether connections of that kind break often enough for a request that is not idempotent to be written in
// two parts, so that a break between them proves that it never ran.
func (t *reuseTrust) needsProbe(now time.Duration, reused bool) bool {
	t.decay(now)
	if reused {
		return t.reused.rate() > atMostOnceRisk
	}
	return t.fresh.rate() > atMostOnceRisk || t.reused.rate() > atMostOnceRisk
}

// mustRunAtMostOnce reports whether a request must not run twice: its method is not idempotent (RFC 9110, section
// 9.2.2) and it has no Idempotency-Key by which servers recognise a retry.
func mustRunAtMostOnce(m *message.Request) bool {
	if m.Idempotency != message.IdempotencyByMethod {
		return m.Idempotency == message.NotIdempotent
	}
	switch m.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return false
	}
	return len(m.Header["Idempotency-Key"]) == 0
}
