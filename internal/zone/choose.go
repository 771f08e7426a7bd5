package zone

import (
	"math"
	"slices"
	"time"
)

// saturatedUnhealthyFactor multiplies the load of unhealthy localities when all localities are at their limits.
const saturatedUnhealthyFactor = 16

// Choose returns the localities that a request from a zone may go to, in order of preference. Each one after the first is
// a fallback, used only while none of the earlier ones has a usable server. mayCross reserves budget for a zone and reports
// whether it succeeded; it is called only when needed, and at most once per locality. The result is empty if no locality has
// servers, or if all that do are over budget or of infinite cost.
func (s *Selector) Choose(now time.Duration, from, class string, mayCross func(to string) bool) []Locality {
	s.Advance(now)
	choice := localityChoice{selector: s, from: from, candidates: s.preferenceOrder(from), mayCross: mayCross}
	if len(choice.candidates) == 0 {
		return []Locality{}
	}
	choice.answers = make([]budgetAnswer, len(choice.candidates))
	first, found := choice.firstWithRoom(class)
	if !found {
		first, found = choice.leastLoaded()
	}
	if !found {
		return []Locality{}
	}
	chosen := []Locality{choice.candidates[first]}
	if s.states[chosen[0]].reliable() {
		return chosen
	}
	if alternative, found := choice.alternative(first); found {
		chosen = append(chosen, choice.candidates[alternative])
	}
	return chosen
}

// reliable reports whether a request to the locality is unlikely to need an alternative: it has a second server for a
// retry, and no call failed or was rejected recently.
func (l *localityState) reliable() bool {
	return len(l.servers) > 1 && !l.degraded && l.window.failed+l.window.rejected == 0
}

// budgetAnswer caches the result of mayCross for a candidate. mayCross is called once since it makes a reservation.
type budgetAnswer int8

const (
	notAsked budgetAnswer = iota
	permitted
	denied
)

// localityChoice is the choice for one request.
type localityChoice struct {
	selector   *Selector
	from       string
	candidates []Locality // in order of preference
	mayCross   func(to string) bool
	answers    []budgetAnswer // of each candidate
}

// state returns the selector's state of a candidate.
func (c *localityChoice) state(candidate int) *localityState {
	return c.selector.states[c.candidates[candidate]]
}

// permitted reports whether the request may go to a candidate, and reserves budget for it the first time.
func (c *localityChoice) permitted(candidate int) bool {
	if c.answers[candidate] == notAsked {
		c.answers[candidate] = denied
		if zone := c.candidates[candidate].Zone; zone == c.from || c.mayCross(zone) {
			c.answers[candidate] = permitted
		}
	}
	return c.answers[candidate] == permitted
}

// firstWithRoom finds the first candidate below its limit. A candidate other than the preferred one must also be faster
// than the preferred one.
func (c *localityChoice) firstWithRoom(class string) (candidate int, found bool) {
	for i := range c.candidates {
		state := c.state(i)
		if state.hasRoom() && (i == 0 || state.betterThan(c.state(0), class)) && c.permitted(i) {
			return i, true
		}
	}
	return 0, false
}

// leastLoaded finds the candidate whose limit is exceeded the least. To be chosen over an earlier
// candidate, a later one needs a load lower by betterMargin. It is used when all localities are at their limits; the
// decision module then queues or rejects the request.
func (c *localityChoice) leastLoaded() (candidate int, found bool) {
	least := math.Inf(1)
	for i := range c.candidates {
		state := c.state(i)
		load := float64(state.inFlight+1) / state.limit()
		if state.unhealthy {
			load *= saturatedUnhealthyFactor
		}
		if load < least*(1-betterMargin) && c.permitted(i) {
			candidate = i
			found = true
			least = load
		}
	}
	return candidate, found
}

// alternative finds a healthy fallback for the first candidate. Only one is offered, and only to requests that may need
// it, since it holds a budget reservation until the request ends.
func (c *localityChoice) alternative(first int) (candidate int, found bool) {
	for i := range c.candidates {
		if i != first && !c.state(i).unhealthy && c.permitted(i) {
			return i, true
		}
	}
	return 0, false
}

// preferenceOrder returns the localities in the order in which requests from a zone prefer them. If the control plane set
// locality weights, the localities of a priority are drawn by weight, as in EDS, rather than ordered by cost.
func (s *Selector) preferenceOrder(zone string) []Locality {
	order, cached := s.orders[zone]
	if !cached {
		if len(s.orders) >= MaxZones {
			clear(s.orders)
		}
		order = s.config.order(zone, s.localities)
		s.orders[zone] = order
	}
	if !s.weighted {
		return order
	}
	order = slices.Clone(order)
	for start := 0; start < len(order); {
		end := start
		for end < len(order) && order[end].Priority == order[start].Priority {
			end++
		}
		s.drawByWeight(order[start:end])
		start = end
	}
	return order
}

// drawByWeight shuffles localities by weighted sampling without replacement. Those without a weight come last, in their order.
func (s *Selector) drawByWeight(localities []Locality) {
	weight := func(l Locality) float64 { return s.states[l].weight }
	slices.SortStableFunc(localities, func(a, b Locality) int { return compareTrueFirst(weight(a) > 0, weight(b) > 0) })
	for i := range localities {
		total := 0.0
		for _, l := range localities[i:] {
			total += weight(l)
		}
		if total <= 0 {
			return
		}
		draw := s.random.Float64() * total
		for j := i; j < len(localities); j++ {
			draw -= weight(localities[j])
			if draw < 0 {
				localities[i], localities[j] = localities[j], localities[i]
				break
			}
		}
	}
}
