package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// missingFounders is how many of the founding members have not been met yet, given how many present ones have. Members
// that left count as met.
func (r *Roster) missingFounders(met int) int {
	for _, s := range r.members {
		if s.Gone {
			met++
		}
	}
	return max(0, r.lease.Nodes-met)
}

// majorityEnd is the time at which a set of base members loses its majority, given when each member's grant or claim ends.
// It is zero if there is no majority now.
func majorityEnd(now time.Duration, base int, ends []time.Duration) time.Duration {
	need := base/2 + 1
	if len(ends) < need {
		return 0
	}
	slices.SortFunc(ends, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if ends[need-1] <= now {
		return 0
	}
	return ends[need-1]
}

// forever is the end of what this node grants itself.
const forever = time.Duration(math.MaxInt64)

// electorates are the sets of names whose majorities must all agree: first those known to be seated, then those that were
// when a majority was last known to agree on that. Before there is any, all that are met found the fleet.
func (r *Roster) electorates() (l [][]*peer, founding bool) {
	var all, seated, voters []*peer
	for _, s := range r.members {
		if s.Gone {
			continue
		}
		all = append(all, s)
		if s.Seated {
			seated = append(seated, s)
		}
		if r.voters[s.Name] {
			voters = append(voters, s)
		}
	}
	if len(seated) == 0 {
		return [][]*peer{all}, true
	}
	if len(voters) == 0 {
		return [][]*peer{seated}, false
	}
	return [][]*peer{seated, voters}, false
}

// majorityUntil is until when every electorate has a majority whose words last, word giving the end of one's; zero if not now.
func (r *Roster) majorityUntil(councils [][]*peer, word func(*peer) time.Duration) time.Duration {
	end := forever
	missing := r.missingFounders(len(councils[0])) // electorates[0] is the largest; who is in it is not missing in the others
	for _, c := range councils {
		var ends []time.Duration
		for _, s := range c {
			if at := word(s); at > 0 {
				ends = append(ends, at)
			}
		}
		end = min(end, majorityEnd(r.last, len(c)+missing, ends))
	}
	return end
}

// grantedUntil is until when a member's grant holds; its own word holds for itself.
func (r *Roster) grantedUntil(s *peer) time.Duration {
	switch {
	case s.Name == r.self:
		return forever
	case s.hasGrant:
		return s.grantedAt + r.lease.Duration
	}
	return 0
}

// excludedUntil is until when a member counts no more, by the word of majorities that this node shares; zero: it counts.
func (r *Roster) excludedUntil(councils [][]*peer, x *peer) time.Duration {
	if x.Name == r.self || !x.out {
		return 0
	}
	return r.majorityUntil(councils, func(s *peer) time.Duration {
		switch {
		case s.Name == r.self:
			return forever
		case s.hasClaim && s.claims[x.id]:
			return s.claimedAt + r.lease.Duration
		}
		return 0
	})
}
