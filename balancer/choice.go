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
		if s.right {
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
	unfit := b.ruledOut(r)
	for _, from := range b.reach(r) {
		for _, limit := range []func(*server) int{b.crowded, b.roomy, unlimited} {
			warm, idle := b.narrow(r, from, unfit, limit)
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

// reach lists the servers that a request is drawn for, those first that come first: this copy's subset,
// or those of the first of its places.
func (b *Balancer) reach(r *request) [2][]*server {
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

// ruledOut marks the servers that health keeps out. When many look bad to one node, the fault is
// likelier its own or the tier below's, and those left would take all the load: only the worst are
// kept out, up to a set share of the list, and fewer the more is shed: in overload every server is
// missed, and time-outs show load rather than ill health.
func (b *Balancer) ruledOut(r *request) map[*server]bool {
	out := map[*server]bool{}
	var sick []*server
	for _, s := range b.ready {
		if b.unfit(s, r) {
			sick = append(sick, s)
		}
	}
	sort.SliceStable(sick, func(i, j int) bool { return sick[i].streak > sick[j].streak })
	for _, s := range sick[:min(len(sick), b.mostOut())] {
		out[s] = true
	}
	return out
}

// mostOut is how many servers health may keep out: of several at least one unless most is shed, for a share
// of a short list rounds to none, and a server that fails at once wins every pick.
func (b *Balancer) mostOut() int {
	most := int(mostOut * (1 - b.shed) * float64(len(b.ready)))
	if most == 0 && len(b.ready) > 1 && b.shed < 0.5 {
		return 1
	}
	return most
}

// narrow applies everything but the fallbacks. Apart it gives the idle cold servers: a request's first
// try may go to one, whatever the thinning, when a deploy has left no warm server in the whole list.
func (b *Balancer) narrow(r *request, from []*server, unfit map[*server]bool,
	limit func(*server) int) (warm, idle []*server) {
	var small []*server
	for _, s := range from {
		switch {
		case b.untold(s) || unfit[s] || s.calls >= limit(s) || !b.inScope(r, s) || tried(r, s):
		case r.among != nil && !r.among[s.ID]:
		case b.warmEnough(s) && b.sizeEnough(s):
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

// crowded is the count of own calls at which a server is passed over: uniform draws now and then
// meet the same few servers twice, and a crowd of several nodes' calls there chokes it. It is never
// under two, so that the pick, not a search for idle servers, decides between none and one.
func (b *Balancer) crowded(s *server) int {
	if n := len(s.open); n > 0 && n <= crowding && b.inFlight <= crowding*len(b.subset) &&
		b.now-s.open[0].sent > b.overlong(s.open[0].req.class) {
		return 0 // others' calls wait there as well; where there are more of ours, some are always long
	}
	return min(b.roomy(s), max(crowding, 1+b.inFlight/max(1, len(b.subset))))
}

// roomy is the count of own calls at which a server is passed over because it refused one more a
// while ago: its queue or its connections, which other copies hold idle, are full, and refusals
// come at once and drain its count. It is not ill, so the cap on those ruled out does not apply.
func (b *Balancer) roomy(s *server) int {
	if b.now < s.full {
		return s.room
	}
	return math.MaxInt
}

func unlimited(*server) int { return math.MaxInt }

// untold says that a server may drain or be gone without our having heard, though that counts as told by
// now: discovery has been silent for so long, and the server has taken nothing of ours in the later half of
// that. A server that drains turns calls away, but not at once: it is listed first.
func (b *Balancer) untold(s *server) bool {
	return b.set.ToldAfter > 0 && b.now > max(b.heard, s.took-b.set.ToldAfter/2)+b.set.ToldAfter
}

// tried says that the request has been to the server before.
func tried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s })
}

// inScope keeps a keyed request that may have run to the servers that discard its repeats.
func (b *Balancer) inScope(r *request, s *server) bool {
	if r.class.Effect != Keyed {
		return true
	}
	for _, a := range r.attempts {
		if a.unsent {
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
	if s.Size > 0 && (b.set.Sizes == SizesNominal || b.set.Sizes == SizesRough) {
		return s.Size
	}
	return 1
}

// sizeEnough thins the draw of a server to its size and, where its answers took longer than others',
// by that: uniform draws would crowd servers that are small, crowded by other programs or pausing.
func (b *Balancer) sizeEnough(s *server) bool {
	return b.rng.Float64()*b.largest < b.size(s)*math.Exp(-slowThins*max(0, s.slow))
}

// warmth is the share of its capacity that a server surely has.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.Boot
	if s.Boot <= 0 || age >= b.set.WarmAfter {
		return 1
	}
	grown := max(0, float64(age)/float64(b.set.WarmAfter))
	return b.set.ColdFrom + (1-b.set.ColdFrom)*grown
}

// warmEnough thins the draw of a cold server to its share of a warm one's, and bounds own calls at it.
func (b *Balancer) warmEnough(s *server) bool {
	w := b.warmth(s)
	return w == 1 || (float64(s.calls) < b.coldRoom(w) && b.rng.Float64() < w)
}

// coldRoom is how many own calls a server of that warmth gets at a time: its share of what is always
// admitted, divided among the copies, for many that each send a little would push it over together.
func (b *Balancer) coldRoom(warmth float64) float64 {
	return max(1, math.Floor(b.takes*warmth/b.divisor))
}
