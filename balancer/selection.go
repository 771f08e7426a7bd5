package balancer

import (
	"math"
	"slices"
	"sort"
)

// pick is the design's rule: one server drawn uniformly from each group, the fewer own calls
// win, equal counts above zero go left, and at zero the side is drawn by the groups' shares.
// An empty group leaves the draw to the other.
func (b *Balancer) pick(left, right []*server) *server {
	if len(left) == 0 || len(right) == 0 {
		return b.draw(append(left, right...))
	}
	l, r := b.draw(left), b.draw(right)
	switch {
	case l.calls < r.calls:
		return l
	case r.calls < l.calls:
		return r
	case l.calls > 0:
		return l
	case b.rng.IntN(len(left)+len(right)) < len(left):
		return l
	}
	return r
}

func (b *Balancer) draw(group []*server) *server {
	if len(group) == 0 {
		return nil
	}
	return group[b.rng.IntN(len(group))]
}

// choose keeps the eligible servers of each group and picks.
func (b *Balancer) choose(r *request) *server {
	var left, right []*server
	for _, s := range b.eligible(r) {
		if s.inRightGroup {
			right = append(right, s)
		} else {
			left = append(left, s)
		}
	}
	return b.pick(left, right)
}

// eligible says which ready servers may be drawn for a request: those in its scope that it has not
// tried, fit, warm enough and, as long as that leaves any, with room. A copy's subset comes first.
func (b *Balancer) eligible(r *request) (cold []*server) {
	unfit := b.excluded(r)
	for _, from := range b.searchOrder(r) {
		for _, limit := range []func(*server) int{b.crowdLimit, b.refusalLimit, noLimit} {
			warm, idle := b.filter(r, from, unfit, limit)
			if warm != nil {
				return warm
			}
			if cold == nil {
				cold = idle
			}
		}
	}
	return cold
}

// searchOrder lists the servers that a request is drawn for, those first that come first: this copy's subset,
// or those of the first of its places.
func (b *Balancer) searchOrder(r *request) [2][]*server {
	if r.places == nil {
		return [2][]*server{b.subset, b.ready}
	}
	var l [2][]*server
	for _, s := range b.ready {
		switch i := slices.Index(r.places, Place{s.Zone, s.Priority}); {
		case i == 0:
			l[0] = append(l[0], s)
			fallthrough
		case i > 0:
			l[1] = append(l[1], s)
		}
	}
	return l
}

// excluded marks the servers that health keeps out. When many look bad to one node, the fault is
// likelier its own or the tier below's, and those left would take all the load: only the worst are
// kept out, up to a set share of the list, and fewer the more is shed: in overload every server is
// missed, and time-outs show load rather than ill health.
func (b *Balancer) excluded(r *request) map[*server]bool {
	out := map[*server]bool{}
	var sick []*server
	for _, s := range b.ready {
		if b.isExcluded(s, r) {
			sick = append(sick, s)
		}
	}
	sort.SliceStable(sick, func(i, j int) bool { return sick[i].failureStreak > sick[j].failureStreak })
	for _, s := range sick[:min(len(sick), b.maxExcluded())] {
		out[s] = true
	}
	return out
}

// maxExcluded is how many servers health may keep out: of several at least one unless most is shed, for a
// share of a short list rounds to none, and a server that fails at once wins every pick.
func (b *Balancer) maxExcluded() int {
	most := int(maxExcludedShare * (1 - b.shedShare) * float64(len(b.ready)))
	if most == 0 && len(b.ready) > 1 && b.shedShare < 0.5 {
		return 1
	}
	return most
}

// filter applies everything but the fallbacks. Apart it gives the idle cold servers: a request's first
// try may go to one, whatever the thinning, when a deploy has left no warm server in the whole list.
func (b *Balancer) filter(r *request, from []*server, unfit map[*server]bool,
	limit func(*server) int,
) (warm, idle []*server) {
	var small []*server
	for _, s := range from {
		switch {
		case b.mayBeGone(s) || unfit[s] || s.calls >= limit(s) || !b.inScope(r, s) || wasTried(r, s):
		case r.candidates != nil && !r.candidates[s.ID]:
		case b.passesSlowStart(s) && b.passesSizeThinning(s):
			warm = append(warm, s)
		case b.warmth(s) == 1:
			small = append(small, s)
		case s.calls == 0 && len(r.attempts) == 0:
			idle = append(idle, s)
		}
	}
	if warm == nil {
		warm = small
	}
	return warm, idle
}

// crowdLimit is the count of own calls at which a server is passed over: uniform draws now and then
// meet the same few servers twice, and a crowd of several nodes' calls there chokes it. It is never
// under two, so that the pick, not a search for idle servers, decides between none and one.
func (b *Balancer) crowdLimit(s *server) int {
	if n := len(s.openAttempts); n > 0 && n <= crowdedCalls && b.inFlight <= crowdedCalls*len(b.subset) &&
		b.now-s.openAttempts[0].sent > b.overlong(s.openAttempts[0].request.class) {
		return 0 // others' calls wait there as well; where there are more of ours, some are always long
	}
	return min(b.refusalLimit(s), max(crowdedCalls, 1+b.inFlight/max(1, len(b.subset))))
}

// refusalLimit is the count of own calls at which a server is passed over because it refused one more a
// while ago: its queue or its connections, which other copies hold idle, are full, and refusals
// come at once and drain its count. It is not ill, so the cap on those ruled out does not apply.
func (b *Balancer) refusalLimit(s *server) int {
	if b.now < s.fullUntil {
		return s.refusalRoom
	}
	return math.MaxInt
}

func noLimit(*server) int { return math.MaxInt }

// mayBeGone says that a server may drain or be gone without our having heard, though that counts as told by
// now: discovery has been silent for so long, and the server has taken nothing of ours in the later half of
// that. A server that drains turns calls away, but not at once: it is listed first.
func (b *Balancer) mayBeGone(s *server) bool {
	staleAfter := b.settings.ToldAfter
	return staleAfter > 0 && b.now > max(b.discoveryHeardAt, s.acceptedAt-staleAfter/2)+staleAfter
}

// wasTried says that the request has been to the server before.
func wasTried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// inScope keeps a keyed request that may have run to the servers that discard its repeats.
func (b *Balancer) inScope(r *request, s *server) bool {
	if r.class.Effect != IdempotentByKey {
		return true
	}
	for _, a := range r.attempts {
		if a.neverRan {
			continue
		}
		if r.class.Scope == ScopeZone && a.zone != s.Zone {
			return false
		}
		if r.class.Scope == ScopeCell && (a.cell != s.Cell || a.zone != s.Zone) {
			return false
		}
	}
	return true
}

// size is a server's registered capacity against others', where the list tells it.
func (b *Balancer) size(s *server) float64 {
	if s.Size > 0 && (b.settings.Sizes == SizesNominal || b.settings.Sizes == SizesRough) {
		return s.Size
	}
	return 1
}

// passesSizeThinning thins the draw of a server to its size and, where its answers took longer than others',
// by that: uniform draws would crowd servers that are small, crowded by other programs or pausing.
func (b *Balancer) passesSizeThinning(s *server) bool {
	return b.rng.Float64()*b.largestSize < b.size(s)*math.Exp(-slowThinningPower*max(0, s.slowness))
}

// warmth is the share of its capacity that a server surely has.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.WarmAfter {
		return 1
	}
	grown := max(0, float64(age)/float64(b.settings.WarmAfter))
	return b.settings.ColdFrom + (1-b.settings.ColdFrom)*grown
}

// passesSlowStart thins the draw of a cold server to its share of a warm one's, and bounds own calls at it.
func (b *Balancer) passesSlowStart(s *server) bool {
	w := b.warmth(s)
	return w == 1 || (float64(s.calls) < b.slowStartLimit(w) && b.rng.Float64() < w)
}

// slowStartLimit is how many own calls a server of that warmth gets at a time: its share of what is always
// admitted, divided among the copies, for many that each send a little would push it over together.
func (b *Balancer) slowStartLimit(warmth float64) float64 {
	return max(1, math.Floor(b.serverCalls*warmth/b.divisor))
}
