// Package toll is the budget of further tries: how many arrivals at a service's servers beyond the first of each request a
// line may cause. Each line keeps within its own requests' part of the rule, so that all together keep the rule without
// asking each other. It is pure; its owner locks it.
package toll

import "time"

// parts of a window that are counted apart.
const parts = 20

// Rule is what holds for one service.
type Rule struct {
	Window time.Duration
	Ratio  float64 // further arrivals for each request
	Slack  float64 // and beyond that, for this line
}

// Purse counts one service's requests and further tries over the last window.
type Purse struct {
	rule     Rule
	requests [parts]float64
	further  [parts]float64
	at       int64 // the part that is counted now
}

// New returns an empty purse.
func New(r Rule) *Purse { return &Purse{rule: r} }

// Set gives it another rule.
func (p *Purse) Set(r Rule) {
	if r.Window != p.rule.Window {
		*p = Purse{}
	}
	p.rule = r
}

func (p *Purse) turn(now time.Duration) int {
	part := max(1, p.rule.Window/parts)
	at := int64(now / part)
	for n := max(p.at+1, at-parts+1); n <= at; n++ {
		p.requests[n%parts], p.further[n%parts] = 0, 0
	}
	p.at = max(p.at, at)
	return int(p.at % parts)
}

// Request counts a request's first arrival.
func (p *Purse) Request(now time.Duration) { p.requests[p.turn(now)]++ }

// Further asks for a further try, and counts it if it may be.
func (p *Purse) Further(now time.Duration) bool {
	i := p.turn(now)
	var requests, further float64
	for n := range parts {
		if n != (i+1)%parts { // the oldest part is about to leave the window
			requests += p.requests[n]
		}
		further += p.further[n]
	}
	if further+1 > requests*p.rule.Ratio+p.rule.Slack {
		return false
	}
	p.further[i]++
	return true
}
