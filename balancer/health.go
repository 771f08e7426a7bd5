package balancer

import (
	"math"
	"time"
)

// isExcluded says that a server should not be drawn now for its health.
func (b *Balancer) isExcluded(s *server, r *request) bool {
	if b.isEjected(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat a request that
	// cannot be repeated, nor many at once.
	return s.ejectionLevel > 0 && s.successStreak == 0 && (r.class.Effect == NonIdempotent || s.calls > 0)
}

// isEjected says that a server is ejected, put aside on others' word, or silent.
func (b *Balancer) isEjected(s *server) bool {
	return b.now < max(s.ejectedUntil, s.reportedUntil) || b.isSilent(s)
}

// isSilent says that an old call to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) isSilent(s *server) bool {
	if len(s.openAttempts) == 0 {
		return false
	}
	a := s.openAttempts[0]
	wait := b.overlong(a.request.class)
	return b.now-a.sent > wait && b.lastSuccess > a.sent+wait/2 && s.lastSuccess < a.sent+wait/2
}

// learn takes an ending into account: for the class's latency, the server's health relative to its peers.
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
			b.addPacingDebt(c, latency) // a server may work on for nobody
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
		// Errors that strike everywhere come from the tier below; ejecting on them would leave
		// nobody. A run counts only if the peers' error share makes it unlikely, and one that is
		// answered is no run: a server out for it takes a quarter of four with it.
		isRun := s.failureStreak > 1 || e.Ending != Failure
		if isRun && math.Pow(b.errorShare, float64(s.failureStreak)) < luckThreshold {
			b.eject(s, c)
		}
	}
	b.errorShare += pooledWeight * (bad - b.errorShare)
	b.errorShare = max(b.errorShare, 0.01)
}

// learnSuccess notes an answer: retry tokens, latency of class and server, and that the server is well.
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
		s.refusalRoom++ // it took as many as it was thought to have room for
	}
	if s.successStreak++; s.successStreak >= minSamples && s.ejectionLevel > 0 {
		s.ejectionLevel, s.successStreak = s.ejectionLevel-1, 1
	}
}

// learnRefusal notes a lack of room: for a while the server gets no more calls than it had then.
func (b *Balancer) learnRefusal(a *attempt, ending Ending, latency float64) {
	s, c := a.server, a.request.class
	if a.sent < s.refusedAt && ending == Overloaded {
		return // sent before the last one was known: the same lack of room
	}
	s.refusalRoom = s.calls
	if ending == Overloaded && latency > c.mean/2 {
		// Slow to refuse, it wins no picks by that: one call at a time shows more.
		s.refusalRoom = max(1, s.refusalRoom)
	}
	s.fullUntil = b.now + time.Duration((0.5+b.rng.Float64())*ejectionLatencies*c.mean)<<s.refusals
	s.refusedAt, s.refusals = b.now, min(s.refusals+1, maxEjectionLevel)
}

// learnSpeed compares a latency with the class's mean; a server slow over several answers is
// ejected, so that others carry its load and it can recover.
func (b *Balancer) learnSpeed(s *server, r *request, took float64) {
	c := r.class
	expected := c.mean
	if r.cost > 0 && c.cost > 0 {
		expected *= math.Sqrt(r.cost / c.cost) // waits do not grow with the work
	}
	if size := b.size(s); size < b.meanSize {
		expected *= b.meanSize / size // a small machine's own pace is no sign of trouble
	}
	off := math.Log(max(took, 1)/expected) - s.slowness
	b.latencyVariance += pooledWeight / 4 * (off*off - b.latencyVariance)
	s.slowness += serverWeight * off
	if s.samples++; s.samples >= minSamples && s.slowness > math.Log(slowRatio) {
		s.samples, s.slowness, s.successStreak = 0, 0, 0
		b.eject(s, c)
	}
}

// eject keeps a server out for a time that doubles while its trials fail.
func (b *Balancer) eject(s *server, c *class) {
	if b.now < s.ejectedUntil {
		return
	}
	s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.mean)<<s.ejectionLevel
	s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
}
