package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// PerturbEstimates replaces the estimates of a Balancer by random ones that some sequence of events could lead to, each
// wrong by up to a factor of ten.
func (b *Balancer) PerturbEstimates(r *rand.Rand) {
	factor := func() float64 { return math.Pow(10, 2*r.Float64()-1) }
	b.window = max(b.window*factor(), b.callsPerServer*b.fairServers())
	b.meanLatencyRatio = min(1, b.meanLatencyRatio*factor())
	b.baselineLogRatio = min(b.meanLatencyRatio, b.baselineLogRatio*factor())
	b.shedShare = r.Float64()
	b.errorShare = 0.01 + 0.5*r.Float64()
	b.retryTokens = r.Float64() * maxRetryTokens
	b.pacingDebt = r.Float64() * float64(time.Second)
	b.pacingDebtAt = b.now
	for _, c := range b.classList {
		c.mean, c.deviation = c.mean*factor(), c.deviation*factor()
		c.arrived, c.served = 100*r.Float64(), 10*r.Float64()
	}
	for _, s := range b.ready {
		s.slowness = 4*r.Float64() - 2
		s.samples = r.IntN(minSamples + 1)
		s.ejectionLevel = r.IntN(maxEjectionLevel + 1)
		s.successStreak = r.IntN(2)
		if r.IntN(2) == 0 {
			s.ejectedUntil = b.now + time.Duration(r.Float64()*float64(3*time.Second))
		}
		if r.IntN(3) == 0 {
			s.callLimit, s.refusals = r.IntN(4), r.IntN(maxEjectionLevel+1)
			s.callLimitUntil = b.now + time.Duration(r.Float64()*float64(3*time.Second))
		}
	}
	b.usableComputedAt = -1
}
