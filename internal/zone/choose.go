package zone

import (
	"math"
	"slices"
	"time"
)

// Choose says where a request of a zone goes: places in order, the first for its first attempt and the others should
// that have no server for it. may says whether the budget lets it cross to a zone; it is asked once a zone at the
// most. Empty: nowhere, for every place that has servers is beyond the budget or the price.
func (s *Spreader) Choose(now time.Duration, from, class string, may func(to string) bool) []Place {
	s.Advance(now)
	order := s.orderOf(from)
	if len(order) == 0 {
		return []Place{}
	}
	first := -1
	allowed := make([]int8, len(order)) // 1: it may, 2: it may not
	ok := func(i int) bool {
		if allowed[i] == 0 {
			allowed[i] = 2
			if order[i].Zone == from || may(order[i].Zone) {
				allowed[i] = 1
			}
		}
		return allowed[i] == 1
	}
	for i := 0; i < len(order) && first < 0; i++ {
		if a := s.areas[order[i]]; a.room() && (i == 0 || a.better(s.areas[order[0]], class)) && ok(i) {
			first = i
		}
	}
	if first < 0 {
		// Nowhere is room: the place that is least over what it takes, and whether it is held or turned away
		// there is the decision module's. At equal loads the first in order.
		least := math.Inf(1)
		for i, p := range order {
			a := s.areas[p]
			load := float64(a.out+1) / a.limit()
			if a.sick {
				load *= sickLoad
			}
			if load < least*(1-margin) && ok(i) {
				first, least = i, load
			}
		}
	}
	if first < 0 {
		return []Place{}
	}
	l := []Place{order[first]}
	if a := s.areas[order[first]]; len(a.hosts) > 1 && !a.shaky && a.bad+a.turned == 0 {
		return l
	}
	for i, p := range order {
		// One alternative, and only where it may be needed: it costs a reservation of the budget until the request
		// has ended.
		if i != first && !s.areas[p].sick && ok(i) {
			return append(l, p)
		}
	}
	return l
}

// orderOf is the order in which a zone's load takes the places. Where the control plane gives weights to the zones
// of a priority, they are taken in an order drawn by these, as it means, and not by cost.
func (s *Spreader) orderOf(from string) []Place {
	l, known := s.orders[from]
	if !known {
		if len(s.orders) >= MaxZones {
			clear(s.orders)
		}
		l = s.cfg.order(from, s.places)
		s.orders[from] = l
	}
	if !s.weigh {
		return l
	}
	l = slices.Clone(l)
	for i := 0; i < len(l); {
		j := i
		for j < len(l) && l[j].Priority == l[i].Priority {
			j++
		}
		s.drawByWeight(l[i:j])
		i = j
	}
	return l
}

// drawByWeight puts places into an order drawn by their weights, without replacement; those without weight come last
// in their order.
func (s *Spreader) drawByWeight(l []Place) {
	slices.SortStableFunc(l, func(x, y Place) int {
		wx, wy := s.areas[x].weight, s.areas[y].weight
		switch {
		case wx > 0 && wy <= 0:
			return -1
		case wx <= 0 && wy > 0:
			return 1
		}
		return 0
	})
	for i := range l {
		total := 0.0
		for _, p := range l[i:] {
			total += s.areas[p].weight
		}
		if total <= 0 {
			return
		}
		x := s.rng.Float64() * total
		for j := i; j < len(l); j++ {
			if x -= s.areas[l[j]].weight; x < 0 {
				l[i], l[j] = l[j], l[i]
				break
			}
		}
	}
}

// Out says that a zone has lost most of what it takes: it has no servers, or is sick.
func (s *Spreader) Out(zone string) bool {
	any := false
	for _, p := range s.places {
		if p.Zone == zone {
			any = true
			if !s.areas[p].sick {
				return false
			}
		}
	}
	return any || len(s.places) > 0
}
