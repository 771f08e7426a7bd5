package zone

import (
	"math"
	"slices"
	"time"
)

// saturatedUnhealthyFactor is how much more a call to an unhealthy locality counts where no locality has room.
const saturatedUnhealthyFactor = 16

// Choose returns the localities that a request of a zone may go to: the first is for its first attempt, each of the others
// is used only as long as no server of the localities before it is usable. mayCross says whether the budget lets the
// request cross to a zone. It is asked only where the answer matters, and once for each locality at most. An empty result
// means nowhere: no locality has servers, or those that have are beyond the budget or of infinite cost.
func (s *Selector) Choose(now time.Duration, from, class string, mayCross func(to string) bool) []Locality {
	s.Advance(now)
	choice := localityChoice{selector: s, from: from, candidates: s.orderFrom(from), mayCross: mayCross}
	if len(choice.candidates) == 0 {
		return []Locality{}
	}
	choice.answers = make([]budgetAnswer, len(choice.candidates))
	first, found := choice.withRoom(class)
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

// reliable reports whether a request sent to the locality will hardly need an alternative: another server is there for a
// retry, and nothing has failed lately.
func (l *localityState) reliable() bool {
	return len(l.servers) > 1 && !l.degraded && l.window.failed+l.window.rejected == 0
}

// budgetAnswer is what the budget said of a candidate, which is asked once since its consent is a reservation.
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

// state returns what the selector has learned of a candidate.
func (c *localityChoice) state(candidate int) *localityState {
	return c.selector.states[c.candidates[candidate]]
}

// permitted reports whether the request may go to a candidate, for which the budget is asked if need be.
func (c *localityChoice) permitted(candidate int) bool {
	if c.answers[candidate] == notAsked {
		c.answers[candidate] = denied
		if zone := c.candidates[candidate].Zone; zone == c.from || c.mayCross(zone) {
			c.answers[candidate] = permitted
		}
	}
	return c.answers[candidate] == permitted
}

// withRoom finds the first candidate that has room. One other than the preferred candidate also has to answer faster than
// that does.
func (c *localityChoice) withRoom(class string) (candidate int, found bool) {
	for i := range c.candidates {
		state := c.state(i)
		if state.hasRoom() && (i == 0 || state.betterThan(c.state(0), class)) && c.permitted(i) {
			return i, true
		}
	}
	return 0, false
}

// leastLoaded finds the candidate whose limit is exceeded the least. A candidate has to be better by betterMargin than
// those before it in the order of preference. It is for requests that no locality has room for; whether they wait there or
// are rejected is the decision module's choice.
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

// alternative finds a healthy candidate beside the first. One is enough, and only for requests that may need it: it costs a
// reservation of the budget until the request has ended.
func (c *localityChoice) alternative(first int) (candidate int, found bool) {
	for i := range c.candidates {
		if i != first && !c.state(i).unhealthy && c.permitted(i) {
			return i, true
		}
	}
	return 0, false
}

// orderFrom is the order in which the requests of a zone prefer the localities. Where the control plane gives weights to the
// localities of a priority, these are drawn by weight, as EDS defines it, and not ordered by cost.
func (s *Selector) orderFrom(zone string) []Locality {
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
	slices.SortStableFunc(localities, func(a, b Locality) int { return trueFirst(weight(a) > 0, weight(b) > 0) })
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
