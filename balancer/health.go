package balancer

import (
	"math"
	"time"
)

// unfit says that a server should not be drawn now for its health.
func (b *Balancer) unfit(s *server, r *request) bool {
	if b.away(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat a request that
	// cannot be repeated, nor many at once.
	return s.level > 0 && s.goods == 0 && (r.class.Effect == Unsafe || s.calls > 0)
}

// away says that a server is ejected, put aside on others' word, or silent.
func (b *Balancer) away(s *server) bool { return b.now < max(s.until, s.aside) || b.silent(s) }

// silent says that an old call to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) silent(s *server) bool {
	if len(s.open) == 0 {
		return false
	}
	a := s.open[0]
	wait := b.overlong(a.req.class)
	return b.now-a.sent > wait && b.lastOK > a.sent+wait/2 && s.lastOK < a.sent+wait/2
}

// judge learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) judge(a *attempt, e Outcome) {
	s, c := a.srv, a.req.class
	took := float64(a.took(b.now))
	bad := 0.0
	if e.Ending == Success || e.Ending == Failure {
		s.took = max(s.took, a.sent)
	}
	switch e.Ending {
	case Success:
		b.tokens = min(retryPurse, b.tokens+retryEarn)
		b.lastOK, s.lastOK = b.now, b.now
		b.judgeSpeed(s, a.req, took)
		if c.cost == 0 {
			c.cost = a.req.cost
		}
		c.cost += memory * (a.req.cost - c.cost)
		c.dev += memory * (math.Abs(took-c.mean) - c.dev)
		c.mean += memory * (took - c.mean)
		s.streak, s.refusals = 0, 0
		if a.sent > s.turned && s.calls+1 >= s.room {
			s.room++ // it took as many as it was thought to have room for
		}
		if s.goods++; s.goods >= minSamples && s.level > 0 {
			s.level, s.goods = s.level-1, 1
		}
	case Overloaded, Unreachable:
		if a.sent < s.turned && e.Ending == Overloaded {
			return // sent before the last one was known: the same lack of room
		}
		s.room = s.calls
		if e.Ending == Overloaded && took > c.mean/2 {
			s.room = max(1, s.room) // slow to refuse, it wins no picks by that: one at a time shows more
		}
		s.full = b.now + time.Duration((0.5+b.rng.Float64())*ejection*c.mean)<<s.refusals
		s.turned, s.refusals = b.now, min(s.refusals+1, maxLevel)
		return
	case Failure, Broken, TimedOut:
		bad = 1
		if e.Ending == TimedOut {
			b.owe(c, took) // a server may work on for nobody
			b.ghosts(1, c.mean)
		}
	case Withdrawn:
		if took > c.mean+tailSpread*c.dev {
			b.ghosts(1, c.mean)
			b.judgeSpeed(s, a.req, took)
		}
		return
	default:
		return
	}
	if bad > 0 {
		s.streak++
		s.goods = 0
		// Errors that strike everywhere come from the tier below; ejecting on them would leave
		// nobody. A run counts only if the peers' error share makes it unlikely, and one that is
		// answered is no run: a server out for it takes a quarter of four with it.
		if (s.streak > 1 || e.Ending != Failure) && math.Pow(b.errors, float64(s.streak)) < chance {
			b.eject(s, c)
		}
	}
	b.errors += memory * (bad - b.errors)
	b.errors = max(b.errors, 0.01)
}

// judgeSpeed compares a latency with the class's mean; a server slow over several answers is
// ejected, so that others carry its load and it can recover.
func (b *Balancer) judgeSpeed(s *server, r *request, took float64) {
	c := r.class
	expected := c.mean
	if r.cost > 0 && c.cost > 0 {
		expected *= math.Sqrt(r.cost / c.cost) // waits do not grow with the work
	}
	if size := b.size(s); size < b.meanSize {
		expected *= b.meanSize / size // a small machine's own pace is no sign of trouble
	}
	off := math.Log(max(took, 1)/expected) - s.slow
	b.spread += memory / 4 * (off*off - b.spread)
	s.slow += ownMemory * off
	if s.samples++; s.samples >= minSamples && s.slow > math.Log(slowRatio) {
		s.samples, s.slow, s.goods = 0, 0, 0
		b.eject(s, c)
	}
}

// eject keeps a server out for a time that doubles while its trials fail.
func (b *Balancer) eject(s *server, c *class) {
	if b.now < s.until {
		return
	}
	s.until = b.now + time.Duration(ejection*c.mean)<<s.level
	s.level = min(s.level+1, maxLevel)
}
