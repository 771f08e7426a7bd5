package http1

import (
	"math"
	"net/http"
	"time"

	"cranegrade/internal/message"
)

// reuseTrust judges whether a kept connection should carry a request. Servers, and what stands before them, drop kept
// connections, and the close is not always seen before the next request is written; that request then ends in a
// reset and may have run, as far as anybody knows. Where kept connections break more often than fresh ones, what
// must not run twice goes over a fresh one, and everything does where they break often.
//
// It is pure: time is an argument. Its owner locks it.
type reuseTrust struct {
	kept, fresh  breaks
	at           time.Duration // of the last sample
	avoidedInRow int           // requests in a row that were kept off kept connections
}

// breaks are decayed counts of exchanges and of those that broke.
type breaks struct{ n, broke float64 }

const (
	trustMemory = 200.0           // exchanges that are remembered
	trustPrior  = 20.0            // exchanges that are taken for granted at the start
	trustDoubt  = 0.2             // and breaks of kept ones: unsafe requests wait until others have shown that they hold
	trustTime   = time.Minute     // in which what was seen fades, for servers are replaced and mended
	unsafeRisk  = 0.005           // share of breaks, beyond those of fresh ones, that an unsafe request may risk
	otherRisk   = 0.05            // and others, which can be tried again: each costs one of few attempts
	lookAgain   = 16              // of those that are kept off, one in so many goes over a kept one, to see
	maxSpan     = 365 * time.Hour // lest a clock that jumps makes numbers of no meaning
)

// rate is the share that broke.
func (b breaks) rate() float64 { return b.broke / (b.n + trustPrior) }

// record takes an exchange that came to an answer, or to the connection's end.
func (t *reuseTrust) record(now time.Duration, kept, broke bool) {
	t.fade(now)
	b := &t.fresh
	if kept {
		b = &t.kept
	}
	b.n *= 1 - 1/trustMemory
	b.broke *= 1 - 1/trustMemory
	b.n++
	if broke {
		b.broke++
	}
}

func (t *reuseTrust) fade(now time.Duration) {
	d := min(max(0, now-t.at), maxSpan)
	t.at = max(t.at, now)
	f := math.Exp(-float64(d) / float64(trustTime))
	for _, b := range []*breaks{&t.kept, &t.fresh} {
		b.n *= f
		b.broke *= f
	}
}

// mayReuse says that a request may go over a kept connection.
func (t *reuseTrust) mayReuse(now time.Duration, unsafe bool) bool {
	t.fade(now)
	excess := t.kept.rate() + trustDoubt/(t.kept.n+trustPrior) - t.fresh.rate()
	switch {
	case unsafe:
		return excess <= unsafeRisk
	case excess <= otherRisk:
		return true
	}
	if t.avoidedInRow++; t.avoidedInRow < lookAgain {
		return false
	}
	t.avoidedInRow = 0
	return true
}

// needsProbe says that connections of that kind break often enough for a request that must not run twice to be written in
// two parts, so that a break between them proves that it never ran.
func (t *reuseTrust) needsProbe(now time.Duration, kept bool) bool {
	t.fade(now)
	if kept {
		return t.kept.rate() > unsafeRisk
	}
	return t.fresh.rate() > unsafeRisk || t.kept.rate() > unsafeRisk
}

// nonIdempotent says that a request must not run twice, as far as its form tells: its method is not idempotent (RFC 9110,
// section 9.2.2) and it has no key by which servers drop a repeat.
func nonIdempotent(m *message.Request) bool {
	if m.Runs != message.RunsByForm {
		return m.Runs == message.RunsOnce
	}
	switch m.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return false
	}
	return len(m.Header["Idempotency-Key"]) == 0
}
