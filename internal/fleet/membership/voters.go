package membership

import "time"

// admitSelf makes this node a voter; at the founding, together with all members that grant it something. The voters before stay an
// electorate of their own until a majority of them is known to have heard of the change, see commitVoters.
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

// hasSameRoster reports whether a member's latest heartbeat has the hash of this node's roster.
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

// commitVoters makes the voters the committed ones, once majorities of both are known to have this node's roster.
func (r *Roster) commitVoters(electorates [][]*peer) {
	if !r.votersAgreed(electorates) {
		return
	}
	clear(r.committedVoters)
	for _, p := range r.members {
		if p.Voter && !p.Removed {
			r.committedVoters[p.Name] = true
		}
	}
}

// votersAgreed reports whether majorities of all electorates have this node's roster: by their own heartbeats, or because a member with
// the same roster has committed its voters. The latter is needed where the committed voters have lost their majority since.
func (r *Roster) votersAgreed(electorates [][]*peer) bool {
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
