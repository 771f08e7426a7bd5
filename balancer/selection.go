package balancer

import (
	"math"
	"slices"
	"sort"
)

// pick is the power of two choices over two fixed groups: one server is drawn uniformly from each, and the
// one with fewer own calls wins. Equal counts above zero go to the left group (Vöcking's "always go left");
// at zero the group is drawn in proportion to its size. If a group is empty, the other one's draw wins.
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

// choose picks a server for a request's next attempt. It returns nil if no server may take it.
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

// eligible returns the ready servers that may be drawn for a request: in its scope, not tried by it, healthy,
// warm enough, and below the limits on own calls as long as there are any such. The copy's subset comes
// first. Where no server is warm, it returns idle cold ones.
func (b *Balancer) eligible(r *request) (cold []*server) {
	unhealthy := b.excluded(r)
	for _, from := range b.searchOrder(r) {
		for _, limit := range []func(*server) int{b.crowdLimit, b.refusalLimit, noLimit} {
			warm, idle := b.filter(r, from, unhealthy, limit)
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

// searchOrder returns the servers to draw from, and the wider list to fall back to: this copy's subset and
// all, or the servers at the first of the request's places and at any of them.
func (b *Balancer) searchOrder(r *request) [2][]*server {
	if r.places == nil {
		return [2][]*server{b.subset, b.ready}
	}
	var order [2][]*server
	for _, s := range b.ready {
		switch i := slices.Index(r.places, Place{s.Zone, s.Priority}); {
		case i == 0:
			order[0] = append(order[0], s)
			fallthrough
		case i > 0:
			order[1] = append(order[1], s)
		}
	}
	return order
}

// excluded returns the servers that are excluded for their health: the worst ones, up to maxExcluded. When
// many servers look unhealthy to one node, the fault is more likely its own or of the tier below, and the
// remaining servers would take the whole load.
func (b *Balancer) excluded(r *request) map[*server]bool {
	out := map[*server]bool{}
	var worst []*server
	for _, s := range b.ready {
		if b.isExcluded(s, r) {
			worst = append(worst, s)
		}
	}
	sort.SliceStable(worst, func(i, j int) bool { return worst[i].failureStreak > worst[j].failureStreak })
	for _, s := range worst[:min(len(worst), b.maxExcluded())] {
		out[s] = true
	}
	return out
}

// maxExcluded is how many servers may be excluded for their health: fewer the more is shed, because in
// overload every server is needed and timeouts show load rather than faults. Of several servers it is at
// least one unless most is shed: a share of a short list rounds to none, and a fast failure wins all picks.
func (b *Balancer) maxExcluded() int {
	most := int(maxExcludedShare * (1 - b.shedShare) * float64(len(b.ready)))
	if most == 0 && len(b.ready) > 1 && b.shedShare < 0.5 {
		return 1
	}
	return most
}

// filter returns the servers of a list that may be drawn under a limit on own calls. Separately it returns
// the idle cold ones: a first attempt may go there despite slow start if no server is warm.
func (b *Balancer) filter(r *request, from []*server, unhealthy map[*server]bool,
	limit func(*server) int,
) (warm, idle []*server) {
	var thinned []*server // warm servers that passesSizeThinning left out
	for _, s := range from {
		switch {
		case b.mayBeGone(s) || unhealthy[s] || s.calls >= limit(s) || !b.inScope(r, s) || wasTried(r, s):
		case r.candidates != nil && !r.candidates[s.ID]:
		case b.passesSlowStart(s) && b.passesSizeThinning(s):
			warm = append(warm, s)
		case b.warmth(s) == 1:
			thinned = append(thinned, s)
		case s.calls == 0 && len(r.attempts) == 0:
			idle = append(idle, s)
		}
	}
	if warm == nil {
		warm = thinned
	}
	return warm, idle
}

// crowdLimit is the number of own calls at which a server is skipped: uniform draws sometimes hit the same
// few servers repeatedly, and calls of several nodes together overload them. It is at least crowdedCalls, so
// that pick and not a search for idle servers decides between none and one.
func (b *Balancer) crowdLimit(s *server) int {
	if n := len(s.openAttempts); n > 0 && n <= crowdedCalls && b.inFlight <= crowdedCalls*len(b.subset) &&
		b.now-s.openAttempts[0].sent > b.overlong(s.openAttempts[0].request.class) {
		return 0 // other nodes' calls probably wait there too; with more own calls some are always late
	}
	return min(b.refusalLimit(s), max(crowdedCalls, 1+b.inFlight/max(1, len(b.subset))))
}

// refusalLimit is the number of own calls at which a server is skipped because it recently refused one more:
// its queue, or its connections (which other copies may hold idle), are full, and quick refusals would make
// it look idle. The server is not unhealthy, so maxExcluded does not apply.
func (b *Balancer) refusalLimit(s *server) int {
	if b.now < s.fullUntil {
		return s.refusalRoom
	}
	return math.MaxInt
}

func noLimit(*server) int { return math.MaxInt }

// mayBeGone reports whether a server may be draining or gone without this copy knowing: discovery has been
// silent for ToldAfter, after which a change counts as announced, and the server has accepted no call in the
// later half of that. A draining server is announced first and refuses calls only later.
func (b *Balancer) mayBeGone(s *server) bool {
	staleAfter := b.settings.ToldAfter
	return staleAfter > 0 && b.now > max(b.discoveryHeardAt, s.acceptedAt-staleAfter/2)+staleAfter
}

// wasTried reports whether the request had an attempt at the server.
func wasTried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// inScope restricts a keyed request that may have run to the servers that deduplicate its key.
func (b *Balancer) inScope(r *request, s *server) bool {
	if r.class.Effect != IdempotentByKey {
		return true
	}
	for _, a := range r.attempts {
		if a.neverRan {
			continue
		}
		if r.class.Scope <= ScopeZone && a.zone != s.Zone || r.class.Scope == ScopeCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// size is a server's registered capacity relative to others, where the list has it; else 1.
func (b *Balancer) size(s *server) float64 {
	if s.Size > 0 && (b.settings.Sizes == SizesNominal || b.settings.Sizes == SizesRough) {
		return s.Size
	}
	return 1
}

// passesSizeThinning accepts a draw with a probability in proportion to the server's size, less for slow
// servers: uniform draws would overload servers that are small, share their machine or pause.
func (b *Balancer) passesSizeThinning(s *server) bool {
	return b.rng.Float64()*b.largestSize < b.size(s)*math.Exp(-slowThinningPower*max(0, s.slowness))
}

// warmth is the share of its capacity that a server has in slow start, and 1 once it is warm.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.WarmAfter {
		return 1
	}
	progress := max(0, float64(age)/float64(b.settings.WarmAfter))
	return b.settings.ColdFrom + (1-b.settings.ColdFrom)*progress
}

// passesSlowStart accepts a draw of a cold server with the probability of its warmth, and limits its calls.
func (b *Balancer) passesSlowStart(s *server) bool {
	w := b.warmth(s)
	return w == 1 || (float64(s.calls) < b.slowStartLimit(w) && b.rng.Float64() < w)
}

// slowStartLimit is how many own calls a server of a warmth may have: its share of the calls that are always
// admitted, divided among the copies, because many copies that each send a few would overload it together.
func (b *Balancer) slowStartLimit(warmth float64) float64 {
	return max(1, math.Floor(b.serverCalls*warmth/b.divisor))
}
