package balancer

import (
	"math"
	"time"
)

// isExcluded reports whether a server's health speaks against drawing it for a request.
func (b *Balancer) isExcluded(s *server, r *request) bool {
	if b.isEjected(s) {
		return true
	}
	// After an ejection one retryable request at a time probes the server: a request that can't be retried
	// must not fail there, nor many at once.
	return s.ejectionLevel > 0 && s.successStreak == 0 && (r.class.Effect == NonIdempotent || s.calls > 0)
}

// isEjected reports whether a server is ejected, excluded by peers' reports, or silent.
func (b *Balancer) isEjected(s *server) bool {
	return b.now < max(s.ejectedUntil, s.reportedUntil) || b.isSilent(s)
}

// isSilent reports whether an old call at the server is unanswered while a newer one was answered elsewhere:
// a hung or paused machine shows no other sign before its calls time out.
func (b *Balancer) isSilent(s *server) bool {
	if len(s.openAttempts) == 0 {
		return false
	}
	a := s.openAttempts[0]
	wait := b.overlong(a.request.class)
	return b.now-a.sent > wait && b.lastSuccess > a.sent+wait/2 && s.lastSuccess < a.sent+wait/2
}

// learn updates the class's latency and the server's health, relative to its peers, by how an attempt ended.
func (b *Balancer) learn(a *attempt, e Outcome) {
	s, c := a.server, a.request.class
	latency := float64(a.latency(b.now))
	if e.Ending == Success || e.Ending == Failure {
		s.acceptedAt = max(s.acceptedAt, a.sent)
	}
	bad := 0.0
	switch e.Ending {
	case Success:
		b.learnSuccess(a, latency)
	case Overloaded, Unreachable:
		b.learnRefusal(a, e.Ending, latency)
		return
	case Failure, Broken, TimedOut:
		bad = 1
		if e.Ending == TimedOut {
			b.addPacingDebt(c, latency) // the server may go on with the abandoned work
			b.abandoned(1, c.mean)
		}
	case Canceled:
		if latency > c.mean+overlongDeviations*c.deviation {
			b.abandoned(1, c.mean)
			b.learnSpeed(s, a.request, latency)
		}
		return
	default:
		return
	}
	if bad > 0 {
		s.failureStreak++
		s.successStreak = 0
		// Errors that occur at all servers come from the tier below, and ejecting for them would leave no
		// server. So a run of errors counts only if it is unlikely at the overall error rate; and a single
		// error that was answered is no run, because ejecting one of four servers costs a quarter of them.
		isRun := s.failureStreak > 1 || e.Ending != Failure
		if isRun && math.Pow(b.errorShare, float64(s.failureStreak)) < luckThreshold {
			b.eject(s, c)
		}
	}
	b.errorShare = max(minErrorShare, b.errorShare+pooledWeight*(bad-b.errorShare))
}

// learnSuccess records a successful answer: retry tokens, latency of class and server, health of the server.
func (b *Balancer) learnSuccess(a *attempt, latency float64) {
	s, c := a.server, a.request.class
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokenPerSuccess)
	b.lastSuccess, s.lastSuccess = b.now, b.now
	b.learnSpeed(s, a.request, latency)
	if c.cost == 0 {
		c.cost = a.request.cost
	}
	c.cost += pooledWeight * (a.request.cost - c.cost)
	c.deviation += pooledWeight * (math.Abs(latency-c.mean) - c.deviation)
	c.mean += pooledWeight * (latency - c.mean)
	s.failureStreak, s.refusals = 0, 0
	if a.sent > s.refusedAt && s.calls+1 >= s.refusalRoom {
		s.refusalRoom++ // it accepted a call at its assumed limit
	}
	if s.successStreak++; s.successStreak >= minSamples && s.ejectionLevel > 0 {
		s.ejectionLevel, s.successStreak = s.ejectionLevel-1, 1
	}
}

// learnRefusal limits a server that refused a call, for a while, to the own calls that it had then.
func (b *Balancer) learnRefusal(a *attempt, ending Ending, latency float64) {
	s, c := a.server, a.request.class
	if a.sent < s.refusedAt && ending == Overloaded {
		return // sent before the last refusal was known: the same overload
	}
	s.refusalRoom = s.calls
	if ending == Overloaded && latency > c.mean/2 {
		// A slow refusal does not attract picks, so one call at a time may probe the server.
		s.refusalRoom = max(1, s.refusalRoom)
	}
	s.fullUntil = b.now + time.Duration((0.5+b.rng.Float64())*ejectionLatencies*c.mean)<<s.refusals
	s.refusedAt, s.refusals = b.now, min(s.refusals+1, maxEjectionLevel)
}

// learnSpeed compares a latency with the class's mean. A server that is slow over several answers is ejected,
// so that others take its load and it can recover.
func (b *Balancer) learnSpeed(s *server, r *request, latency float64) {
	c := r.class
	expected := c.mean
	if r.cost > 0 && c.cost > 0 {
		expected *= math.Sqrt(r.cost / c.cost) // the queueing part of the latency does not grow with the work
	}
	if size := b.size(s); size < b.meanSize {
		expected *= b.meanSize / size // a small machine is slower without being unhealthy
	}
	deviation := math.Log(max(latency, 1)/expected) - s.slowness
	b.latencyVariance += pooledWeight / 4 * (deviation*deviation - b.latencyVariance)
	s.slowness += serverWeight * deviation
	if s.samples++; s.samples >= minSamples && s.slowness > math.Log(slowRatio) {
		s.samples, s.slowness, s.successStreak = 0, 0, 0
		b.eject(s, c)
	}
}

// eject excludes a server for a time that doubles while its probes fail.
func (b *Balancer) eject(s *server, c *class) {
	if b.now < s.ejectedUntil {
		return
	}
	s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.mean)<<s.ejectionLevel
	s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
}
