package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// forever is the end of this node's grant to itself.
const forever = time.Duration(math.MaxInt64)

// missingFounders returns how many of the founding members this node doesn't know yet, given the number of known members that are not
// removed. Removed members count as known.
func (r *Roster) missingFounders(present int) int {
	known := present
	for _, p := range r.members {
		if p.Removed {
			known++
		}
	}
	return max(0, r.lease.Nodes-known)
}

// majorityEnd returns when an electorate with size members loses its majority. ends has the times at which the members' grants or reports
// end. The result is zero if there is no majority now.
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

// electorates returns the sets of members that each have to reach a majority: the voters, then the committed voters. While there are no
// voters the fleet is being founded, and all known members are the only electorate.
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

// majorityUntil returns until when every electorate has a majority of members that agree. agreesUntil returns until when one member agrees,
// or zero if it doesn't. The result is zero if an electorate has no majority now.
//
// Founding members that this node doesn't know yet may be voters according to other members, so their number is added to the size of each
// electorate. That number is computed only from the members of the first electorate and the removed ones. It is too large if there are
// other known members, for example a committed voter that has rejoined and is not a voter yet. That is safe: it only raises the quorum.
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

// grantedUntil returns until when a member's grant to this node is valid, or zero if it has given none. This node's grant to itself never
// ends.
func (r *Roster) grantedUntil(p *peer) time.Duration {
	switch {
	case p.Name == r.self:
		return forever
	case p.hasGrant:
		return p.grantedAt + r.lease.Duration
	}
	return 0
}

// excludedUntil returns until when the divisor excludes a member, because this node and a majority of each electorate report it as failed.
// It returns 0 if the member is not excluded.
//
// This is safe, because the target can't have the grants of a majority while it is excluded:
//   - A member reports the target as failed after it has received no heartbeat from it for failureTimeout, which is longer than a lease.
//   - The target uses a grant for one lease, counted from when it sent the heartbeat that the grant echoes. It sent that heartbeat before
//     the member received it. So the member's last grant has expired by the time of the report.
//   - The member gives no new grant until rejoinDelay after the target's next heartbeat. This node relies on a report for one lease,
//     counted from when it sent the heartbeat that the report echoes. rejoinDelay exceeds that by more than the one round that a report
//     may be old.
//   - So the target can't use the grant of any member that reports it. Any two majorities of an electorate have a member in common, so the
//     target has no majority.
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
