package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// Disturb gives a Balancer beliefs that it could have come to by some course of events, each wrong by up
// to a factor of ten.
func (b *Balancer) Disturb(r *rand.Rand) {
	wrong := func() float64 { return math.Pow(10, 2*r.Float64()-1) }
	b.window = max(b.window*wrong(), b.takes*b.fairServers())
	b.fill = min(1, b.fill*wrong())
	b.bare = min(b.fill, b.bare*wrong())
	b.shed = r.Float64()
	b.errors = 0.01 + 0.5*r.Float64()
	b.tokens = r.Float64() * retryPurse
	b.debt = r.Float64() * float64(time.Second)
	b.debtAt = b.now
	for _, c := range b.order {
		c.mean, c.dev = c.mean*wrong(), c.dev*wrong()
		c.arrive, c.serve = 100*r.Float64(), 10*r.Float64()
	}
	for _, s := range b.ready {
		s.slow = 4*r.Float64() - 2
		s.samples = r.IntN(minSamples + 1)
		s.level = r.IntN(maxLevel + 1)
		s.goods = r.IntN(2)
		if r.IntN(2) == 0 {
			s.until = b.now + time.Duration(r.Float64()*float64(3*time.Second))
		}
		if r.IntN(3) == 0 {
			s.room, s.refusals = r.IntN(4), r.IntN(maxLevel+1)
			s.full = b.now + time.Duration(r.Float64()*float64(3*time.Second))
		}
	}
	b.usableAt = -1
}
