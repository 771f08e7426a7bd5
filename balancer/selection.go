package balancer

import (
	"math"
	"slices"
	"sort"
)

// pickLessLoaded is the power of two choices over two fixed groups: of one random server from each it returns
// the one with fewer calls. Ties go to the left group (Vöcking's "always go left"); if neither has calls, to
// a random group in proportion to its size. If a group is empty, the server is from the other one.
func (b *Balancer) pickLessLoaded(left, right []*server) *server {
	if len(left) == 0 || len(right) == 0 {
		return b.randomServer(append(left, right...))
	}
	l, r := b.randomServer(left), b.randomServer(right)
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

func (b *Balancer) randomServer(group []*server) *server {
	if len(group) == 0 {
		return nil
	}
	return group[b.rng.IntN(len(group))]
}

// selectServer selects a server for a request's next attempt. It returns nil if no server is eligible.
func (b *Balancer) selectServer(r *request) *server {
	var left, right []*server
	for _, s := range b.eligible(r) {
		if s.inRightGroup {
			right = append(right, s)
		} else {
			left = append(left, s)
		}
	}
	return b.pickLessLoaded(left, right)
}

// eligible returns the ready servers from which one is selected for a request: in its scope, not tried by it,
// healthy, not held back by slow start, and below the limits on calls unless all are above. It prefers the
// replica's subset. If slow start holds back all servers, it returns idle ones in slow start.
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

// searchOrder returns the preferred servers and the wider list to fall back to: this replica's subset and all
// servers, or the servers at the first of the request's places and at any of them.
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

// excluded returns the servers that are excluded for their health: the worst ones, up to maxExcluded. If many
// servers look unhealthy to one replica, the fault is more likely its own or in a deeper tier, and the
// remaining servers would get the whole load.
func (b *Balancer) excluded(r *request) map[*server]bool {
	excluded := map[*server]bool{}
	var worst []*server
	for _, s := range b.ready {
		if b.isExcluded(s, r) {
			worst = append(worst, s)
		}
	}
	sort.SliceStable(worst, func(i, j int) bool { return worst[i].failureStreak > worst[j].failureStreak })
	for _, s := range worst[:min(len(worst), b.maxExcluded())] {
		excluded[s] = true
	}
	return excluded
}

// maxExcluded is how many servers may be excluded for their health: fewer the more is shed, because in
// overload every server is needed and timeouts show load rather than faults. It is at least one of several
// servers unless most is shed: else it would be none of a few, and one that fails fast would get all calls.
func (b *Balancer) maxExcluded() int {
	most := int(maxExcludedShare * (1 - b.shedShare) * float64(len(b.ready)))
	if most == 0 && len(b.ready) > 1 && b.shedShare < 0.5 {
		return 1
	}
	return most
}

// filter returns the servers of a list that are eligible under a limit on calls. Separately it returns the
// idle ones in slow start: if there are no others, a first attempt may be sent there nevertheless.
func (b *Balancer) filter(r *request, from []*server, unhealthy map[*server]bool,
	limit func(*server) int,
) (warm, idle []*server) {
	var skipped []*server // warm servers that passesSizeSampling left out
	for _, s := range from {
		switch {
		case b.mayBeGone(s) || unhealthy[s] || s.calls >= limit(s) || !b.inScope(r, s) || wasTried(r, s):
		case r.candidates != nil && !r.candidates[s.ID]:
		case b.passesSlowStart(s) && b.passesSizeSampling(s):
			warm = append(warm, s)
		case b.slowStartShare(s) == 1:
			skipped = append(skipped, s)
		case s.calls == 0 && len(r.attempts) == 0:
			idle = append(idle, s)
		}
	}
	if warm == nil {
		warm = skipped
	}
	return warm, idle
}

// crowdLimit is the number of calls at which a server is skipped: uniform draws sometimes hit the same few
// servers repeatedly, and the calls of several replicas together overload them. It is at least crowdedCalls,
// so that pickLessLoaded decides between servers with one call and none, not a search for idle servers.
func (b *Balancer) crowdLimit(s *server) int {
	if n := len(s.waitingAttempts); n > 0 && n <= crowdedCalls && b.inFlight <= crowdedCalls*len(b.subset) &&
		b.now-s.waitingAttempts[0].sent > b.outlierWait(s.waitingAttempts[0].request.class) {
		return 0 // calls of other replicas probably wait there too; of many calls some are always late
	}
	return min(b.refusalLimit(s), max(crowdedCalls, 1+b.inFlight/max(1, len(b.subset))))
}

// refusalLimit is the number of calls at which a server is skipped because it recently refused one more: its
// queue is full or its connections are used up, perhaps by idle ones of other replicas, and quick refusals
// would make it look idle. The server is not unhealthy, so maxExcluded does not apply.
func (b *Balancer) refusalLimit(s *server) int {
	if b.now < s.callLimitUntil {
		return s.callLimit
	}
	return math.MaxInt
}

func noLimit(*server) int { return math.MaxInt }

// mayBeGone reports whether a server may be draining or gone unknown to this replica: for ToldAfter, after
// which a change counts as announced, no update came, and the server accepted no call in the later half of
// that time. A draining server refuses calls only some time after the announcement.
func (b *Balancer) mayBeGone(s *server) bool {
	staleAfter := b.settings.ToldAfter
	return staleAfter > 0 && b.now > max(b.lastDiscoveryUpdate, s.acceptedAt-staleAfter/2)+staleAfter
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

// size is a server's registered capacity relative to others if the list has it, else 1.
func (b *Balancer) size(s *server) float64 {
	if s.Size > 0 && (b.settings.Sizes == SizesNominal || b.settings.Sizes == SizesRough) {
		return s.Size
	}
	return 1
}

// passesSizeSampling accepts a server with a probability in proportion to its size, and lower if it is slow:
// uniform draws would overload servers that are small, share their machine or pause.
func (b *Balancer) passesSizeSampling(s *server) bool {
	return b.rng.Float64()*b.largestSize < b.size(s)*math.Exp(-slowSamplingPower*max(0, s.slowness))
}

// slowStartShare is the share of its capacity that a server has in slow start, and 1 afterwards (warm).
func (b *Balancer) slowStartShare(s *server) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.WarmAfter {
		return 1
	}
	progress := max(0, float64(age)/float64(b.settings.WarmAfter))
	return b.settings.ColdFrom + (1-b.settings.ColdFrom)*progress
}

// passesSlowStart accepts a server with the probability of its slowStartShare, and limits its calls.
func (b *Balancer) passesSlowStart(s *server) bool {
	share := b.slowStartShare(s)
	return share == 1 || (float64(s.calls) < b.slowStartLimit(share) && b.rng.Float64() < share)
}

// slowStartLimit is how many calls a server with a slowStartShare may have: that share of callsPerServer,
// divided among the replicas, because many replicas that send a few calls each would overload it together.
func (b *Balancer) slowStartLimit(share float64) float64 {
	return max(1, math.Floor(b.callsPerServer*share/b.divisor))
}
