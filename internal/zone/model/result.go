package model

import (
	"math"
	"slices"
	"time"
)

// Result summarizes a simulation from the start of the fault.
type Result struct {
	InTarget         float64       // share of requests answered within the latency target
	Served           float64       // share of requests answered within the timeout
	P99              time.Duration // 99th percentile of the latency of answers
	CrossZoneShare   float64       // share of attempts that crossed zones
	Oscillations     int           // direction changes, of at least oscillationThreshold, of the share of the first zone's load served there
	NeighborInTarget float64       // InTarget of the other zones' own requests
}

const (
	oscillationThreshold = 0.2
	minAttemptsPerSecond = 20 // seconds with fewer attempts are left out of Oscillations
	drainSeconds         = 5  // after the last arrival, in which requests may still end
)

// counts counts requests and attempts from the start of the fault.
type counts struct {
	requests, inTarget, served         int
	neighborRequests, neighborInTarget int
	attempts, crossed                  int
	latencies                          []float64 // of answers, in s
	firstZoneAttempts, firstZoneAtHome []int     // attempts from the first zone, and those of them served there, by second
}

// newCounts returns zero counts for a simulation of the given duration.
func newCounts(duration time.Duration) counts {
	seconds := int(duration/time.Second) + drainSeconds
	return counts{firstZoneAttempts: make([]int, seconds), firstZoneAtHome: make([]int, seconds)}
}

// attempt counts an attempt of a request whose client is in the zone home.
func (c *counts) attempt(config Config, now time.Duration, home, zone int) {
	if now < config.FaultStart {
		return
	}
	c.attempts++
	if zone != home {
		c.crossed++
	}
	if second := int(now / time.Second); home == 0 && second < len(c.firstZoneAttempts) {
		c.firstZoneAttempts[second]++
		if zone == home {
			c.firstZoneAtHome[second]++
		}
	}
}

// answer counts the end of a request.
func (c *counts) answer(config Config, r request, latency time.Duration, served bool) {
	if r.arrivedAt < config.FaultStart {
		return
	}
	neighbor := r.home != 0
	c.requests++
	if neighbor {
		c.neighborRequests++
	}
	if !served {
		return
	}
	c.served++
	c.latencies = append(c.latencies, latency.Seconds())
	if latency <= config.LatencyTarget {
		c.inTarget++
		if neighbor {
			c.neighborInTarget++
		}
	}
}

// result computes the Result from the counts.
func (c *counts) result() Result {
	return Result{
		InTarget:         share(c.inTarget, c.requests),
		Served:           share(c.served, c.requests),
		P99:              c.p99(),
		CrossZoneShare:   share(c.crossed, c.attempts),
		Oscillations:     c.oscillations(),
		NeighborInTarget: share(c.neighborInTarget, c.neighborRequests),
	}
}

// p99 returns the 99th percentile of the latencies. It returns 0 if there are none.
func (c *counts) p99() time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	slices.Sort(c.latencies)
	return time.Duration(c.latencies[len(c.latencies)*99/100] * float64(time.Second))
}

// oscillations counts the direction changes of the share of the first zone's load that is served there. A change counts if
// it differs from the last extreme by at least oscillationThreshold.
func (c *counts) oscillations() int {
	turns := 0
	extreme, direction := math.NaN(), 0.0
	for second, attempts := range c.firstZoneAttempts {
		if attempts < minAttemptsPerSecond {
			continue
		}
		atHome := share(c.firstZoneAtHome[second], attempts)
		switch {
		case math.IsNaN(extreme):
			extreme = atHome
		case math.Abs(atHome-extreme) >= oscillationThreshold:
			if d := math.Copysign(1, atHome-extreme); d != direction {
				direction = d
				turns++
			}
			extreme = atHome
		case direction != 0 && (atHome-extreme)*direction > 0:
			extreme = atHome
		}
	}
	return turns
}

// share returns part / whole, or 0 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
