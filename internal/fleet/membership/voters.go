package membership

import "time"

// admitSelf makes this node a voter. At the founding of the fleet it also makes all members with a valid grant to this node voters. The
// previous voters remain a separate electorate until a majority of them is known to have received the change, see commitVoters.
func (r *Roster) admitSelf(founding bool) {
	clear(r.committedVoters)
	for _, p := range r.members {
		p.Voter = p.Voter || founding && !p.Removed && r.grantedUntil(p) > r.now
		if p.Voter && !p.Removed {
			r.committedVoters[p.Name] = true
		}
	}
	r.members[r.self].Voter = true
	r.updateHash()
}

// hasSameRoster reports whether a member's latest heartbeat has the same roster hash as this node.
func (r *Roster) hasSameRoster(p *peer) bool { return p.Name == r.self || p.rosterHash == r.hash }

// hasCommittedVoters reports whether this node is a voter and all voters are committed.
func (r *Roster) hasCommittedVoters() bool {
	for _, p := range r.members {
		if p.Voter && !p.Removed && !r.committedVoters[p.Name] {
			return false
		}
	}
	return r.members[r.self].Voter
}

// commitVoters replaces the committed voters by the voters, once majorities of both are known to have this node's roster.
func (r *Roster) commitVoters(electorates [][]*peer) {
	if !r.votersAreAgreed(electorates) {
		return
	}
	clear(r.committedVoters)
	for _, p := range r.members {
		if p.Voter && !p.Removed {
			r.committedVoters[p.Name] = true
		}
	}
}

// votersAreAgreed reports whether majorities of all electorates have this node's roster. That is known from their own heartbeats, or from a
// member with the same roster that has committed its voters. The latter is needed if the committed voters have lost their majority since.
func (r *Roster) votersAreAgreed(electorates [][]*peer) bool {
	sameRosterUntil := func(p *peer) time.Duration {
		if !r.hasSameRoster(p) {
			return 0
		}
		return r.grantedUntil(p)
	}
	if r.majorityUntil(electorates, sameRosterUntil) > 0 {
		return true
	}
	for _, p := range r.members {
		if p.Name != r.self && p.votersCommitted && r.hasSameRoster(p) && r.grantedUntil(p) > r.now {
			return true
		}
	}
	return false
}
