// Package toll is the budget of further tries: how many arrivals at a service's servers beyond the first of each request a
// line may cause. Each line keeps within its own requests' part of the rule, so that all together keep the rule without
// asking each other. It is pure; its owner locks it.
package retrybudget

import "time"

// windowBuckets of a window that are counted apart.
const windowBuckets = 20

// Limits is what holds for one service.
type Limits struct {
	Window     time.Duration
	Ratio      float64 // further arrivals for each request
	MinRetries float64 // and beyond that, for this line
}

// Budget counts one service's requests and further tries over the last window.
type Budget struct {
	limits   Limits
	requests [windowBuckets]float64
	retries  [windowBuckets]float64
	bucket   int64 // the part that is counted now
}

// New returns an empty purse.
func New(r Limits) *Budget { return &Budget{limits: r} }

// SetLimits gives it another rule.
func (p *Budget) SetLimits(r Limits) {
	if r.Window != p.limits.Window {
		*p = Budget{}
	}
	p.limits = r
}

func (p *Budget) advance(now time.Duration) int {
	part := max(1, p.limits.Window/windowBuckets)
	at := int64(now / part)
	for n := max(p.bucket+1, at-windowBuckets+1); n <= at; n++ {
		p.requests[n%windowBuckets], p.retries[n%windowBuckets] = 0, 0
	}
	p.bucket = max(p.bucket, at)
	return int(p.bucket % windowBuckets)
}

// RecordRequest counts a request's first arrival.
func (p *Budget) RecordRequest(now time.Duration) { p.requests[p.advance(now)]++ }

// AllowRetry asks for a further try, and counts it if it may be.
func (p *Budget) AllowRetry(now time.Duration) bool {
	i := p.advance(now)
	var requests, further float64
	for n := range windowBuckets {
		if n != (i+1)%windowBuckets { // the oldest part is about to leave the window
			requests += p.requests[n]
		}
		further += p.retries[n]
	}
	if further+1 > requests*p.limits.Ratio+p.limits.MinRetries {
		return false
	}
	p.retries[i]++
	return true
}
