package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// forever is the end of what this node grants itself.
const forever = time.Duration(math.MaxInt64)

// missingFounders returns how many of the founding members have not been met yet if so many are present. Removed members count as met.
func (r *Roster) missingFounders(present int) int {
	met := present
	for _, p := range r.members {
		if p.Removed {
			met++
		}
	}
	return max(0, r.lease.Nodes-met)
}

// majorityEnd returns when a set of so many members loses its majority, given when each member's grant or report ends. It is zero if
// there is no majority now.
func majorityEnd(now time.Duration, size int, ends []time.Duration) time.Duration {
	quorum := size/2 + 1
	if len(ends) < quorum {
		return 0
	}
	slices.SortFunc(ends, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if ends[quorum-1] <= now {
		return 0
	}
	return ends[quorum-1]
}

// electorates returns the sets of members whose majorities must all agree: the voters, then the committed voters. While there are no
// voters the fleet is being founded, by all members that were met.
func (r *Roster) electorates() (electorates [][]*peer, founding bool) {
	var present, voters, committed []*peer
	for _, p := range r.members {
		if p.Removed {
			continue
		}
		present = append(present, p)
		if p.Voter {
			voters = append(voters, p)
		}
		if r.committedVoters[p.Name] {
			committed = append(committed, p)
		}
	}
	if len(voters) == 0 {
		return [][]*peer{present}, true
	}
	if len(committed) == 0 {
		return [][]*peer{voters}, false
	}
	return [][]*peer{voters, committed}, false
}

// majorityUntil returns until when every electorate has a majority of members that agree, where agreesUntil says that of one member.
// It returns zero if one has none now.
//
// Founding members that were not met may be voters elsewhere, so each electorate is taken as larger by as many. Of the members that
// were met only those of the first electorate and the removed ones are subtracted from their number. If there are others, for example a
// committed voter that has come back and is no voter yet, missing is too large. That is safe: it only raises the quorum.
func (r *Roster) majorityUntil(electorates [][]*peer, agreesUntil func(*peer) time.Duration) time.Duration {
	end := forever
	missing := r.missingFounders(len(electorates[0]))
	for _, electorate := range electorates {
		var ends []time.Duration
		for _, p := range electorate {
			if at := agreesUntil(p); at > 0 {
				ends = append(ends, at)
			}
		}
		end = min(end, majorityEnd(r.now, len(electorate)+missing, ends))
	}
	return end
}

// grantedUntil returns until when a member's grant to this node holds, or zero if it has given none. A node grants itself for ever.
func (r *Roster) grantedUntil(p *peer) time.Duration {
	switch {
	case p.Name == r.self:
		return forever
	case p.hasGrant:
		return p.grantedAt + r.lease.Duration
	}
	return 0
}

// excludedUntil returns until when a member does not count, because this node and majorities report it as failed. It
// returns 0 if the member counts.
//
// This is safe, because the target can't have a majority's grants while it is excluded:
//   - A member reports the target as failed after it has heard nothing from it for failureTimeout, which is longer than a lease.
//   - The target acts on a grant for one lease, counted from when it sent the heartbeat that the grant echoes. It sent that before the
//     member heard it. So the member's last grant has run out by the time of the report.
//   - The member gives no new grant until rejoinDelay after it hears the target again. This node relies on the report for one lease from
//     when it sent the heartbeat that came back with it, and rejoinDelay is longer, also by the round that a report may be old.
//   - So no member that reports the target is one whose grant the target can use. Any two majorities of an electorate have a member in
//     common, so the target has no majority.
func (r *Roster) excludedUntil(electorates [][]*peer, target *peer) time.Duration {
	if target.Name == r.self || !target.failed {
		return 0
	}
	return r.majorityUntil(electorates, func(p *peer) time.Duration {
		switch {
		case p.Name == r.self:
			return forever
		case p.hasReport && p.failureReports[target.id]:
			return p.reportedAt + r.lease.Duration
		}
		return 0
	})
}
