package balancer

import (
	"math"
	"time"
)

// isExcluded reports whether a server is too unhealthy for a request.
func (b *Balancer) isExcluded(s *server, r *request) bool {
	if b.isEjected(s) {
		return true
	}
	// After an ejection one retryable request at a time probes the server, so that no request that can't be
	// retried fails there, nor many requests at once.
	return s.ejectionLevel > 0 && s.successStreak == 0 && (r.class.Effect == NonIdempotent || s.calls > 0)
}

// isEjected reports whether a server is ejected, excluded by peers' reports, or unresponsive.
func (b *Balancer) isEjected(s *server) bool {
	return b.now < max(s.ejectedUntil, s.reportedUntil) || b.isUnresponsive(s)
}

// isUnresponsive reports whether an old call at the server is unanswered while another server has answered
// since: a hung or paused machine shows no other sign before its calls time out.
func (b *Balancer) isUnresponsive(s *server) bool {
	if len(s.waitingAttempts) == 0 {
		return false
	}
	a := s.waitingAttempts[0]
	wait := b.outlierWait(a.request.class)
	return b.now-a.sent > wait && b.lastSuccess > a.sent+wait/2 && s.lastSuccess < a.sent+wait/2
}

// recordOutcome updates the latency of the class and the health of the server, relative to its peers.
func (b *Balancer) recordOutcome(a *attempt, e Outcome) {
	s, c := a.server, a.request.class
	latency := float64(a.latency(b.now))
	if e.Ending == Success || e.Ending == Failure {
		s.acceptedAt = max(s.acceptedAt, a.sent)
	}
	failed := 0.0
	switch e.Ending {
	case Success:
		b.recordSuccess(a, latency)
	case Overloaded, Unreachable:
		b.recordRefusal(a, e.Ending, latency)
		return
	case Failure, Broken, TimedOut:
		failed = 1
		if e.Ending == TimedOut {
			b.addPacingDebt(c, latency) // the server may continue the abandoned work
			b.updateAbandoned(1, c.mean)
		}
	case Canceled:
		if latency > c.mean+outlierDeviations*c.deviation {
			b.updateAbandoned(1, c.mean)
			b.recordLatency(s, a.request, latency)
		}
		return
	default:
		return
	}
	if failed > 0 {
		s.failureStreak++
		s.successStreak = 0
		// Errors at all servers come from a deeper tier, and ejecting servers for them would leave none. So a
		// run of errors counts only if it is improbable at the overall error rate. One error answer is not a
		// run, because ejecting one of four servers costs a quarter of the capacity.
		isRun := s.failureStreak > 1 || e.Ending != Failure
		if isRun && math.Pow(b.errorShare, float64(s.failureStreak)) < errorRunSignificance {
			b.eject(s, c)
		}
	}
	b.errorShare = max(minErrorShare, b.errorShare+pooledSampleWeight*(failed-b.errorShare))
}

// recordSuccess records a success: retry tokens, latency of the class and the server, health of the server.
func (b *Balancer) recordSuccess(a *attempt, latency float64) {
	s, c := a.server, a.request.class
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokenPerSuccess)
	b.lastSuccess, s.lastSuccess = b.now, b.now
	b.recordLatency(s, a.request, latency)
	if c.cost == 0 {
		c.cost = a.request.cost
	}
	c.cost += pooledSampleWeight * (a.request.cost - c.cost)
	c.deviation += pooledSampleWeight * (math.Abs(latency-c.mean) - c.deviation)
	c.mean += pooledSampleWeight * (latency - c.mean)
	s.failureStreak, s.refusals = 0, 0
	if a.sent > s.refusedAt && s.calls+1 >= s.callLimit {
		s.callLimit++ // it accepted a call at its limit
	}
	if s.successStreak++; s.successStreak >= minSamples && s.ejectionLevel > 0 {
		s.ejectionLevel, s.successStreak = s.ejectionLevel-1, 1
	}
}

// recordRefusal limits a server that refused a call, for some time, to the number of calls that it had then.
func (b *Balancer) recordRefusal(a *attempt, ending Ending, latency float64) {
	s, c := a.server, a.request.class
	if a.sent < s.refusedAt && ending == Overloaded {
		return // sent before the last refusal came, so it shows the same overload
	}
	s.callLimit = s.calls
	if ending == Overloaded && latency > c.mean/2 {
		// A server that refuses slowly does not look idle, so one call at a time may probe it.
		s.callLimit = max(1, s.callLimit)
	}
	s.callLimitUntil = b.now + time.Duration((0.5+b.rng.Float64())*ejectionLatencies*c.mean)<<s.refusals
	s.refusedAt, s.refusals = b.now, min(s.refusals+1, maxEjectionLevel)
}

// recordLatency compares a latency with the class's mean. A server that is slow over several answers is
// ejected, so that others get its load and it can recover.
func (b *Balancer) recordLatency(s *server, r *request, latency float64) {
	c := r.class
	expected := c.mean
	if r.cost > 0 && c.cost > 0 {
		expected *= math.Sqrt(r.cost / c.cost) // the queueing time in the latency does not depend on the work
	}
	if size := b.size(s); size < b.meanSize {
		expected *= b.meanSize / size // a small machine is slower without being unhealthy
	}
	deviation := math.Log(max(latency, 1)/expected) - s.slowness
	b.latencyVariance += pooledSampleWeight / 4 * (deviation*deviation - b.latencyVariance)
	s.slowness += serverSampleWeight * deviation
	if s.samples++; s.samples >= minSamples && s.slowness > math.Log(slowLatencyRatio) {
		s.samples, s.slowness, s.successStreak = 0, 0, 0
		b.eject(s, c)
	}
}

// eject excludes a server for a time that doubles each time while its probes fail.
func (b *Balancer) eject(s *server, c *class) {
	if b.now < s.ejectedUntil {
		return
	}
	s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.mean)<<s.ejectionLevel
	s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
}
