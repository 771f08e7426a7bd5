package membership

import (
	"math"
	"slices"
	"time"
)

// Share is this node's share of the fleet's quotas: the fraction 1/Divisor until the time Until.
type Share struct {
	Divisor int           // by which quotas are divided, or would be if the share were valid
	Members []string      // names of the members that the divisor includes, sorted
	Until   time.Duration // end of the share's validity, unless it is renewed
	Granted int           // number of members with a valid grant to this node, including itself
	Wanted  int           // number of grants that a majority needs
	Voter   bool          // this node is a voter
	Reason  string        // why the share is not valid, for operators
}

// IsValid reports whether this node may use its share at that time.
func (s Share) IsValid(now time.Duration) bool { return now < s.Until }

// Counts reports whether the divisor includes a member.
func (s Share) Counts(name string) bool {
	_, found := slices.BinarySearch(s.Members, name)
	return found
}

// DivisorAt returns the number by which this node has to divide quotas at that time. It is +Inf if the share is not valid.
func (s Share) DivisorAt(now time.Duration) float64 {
	if !s.IsValid(now) {
		return math.Inf(1)
	}
	return float64(max(1, s.Divisor))
}

// Share returns the share that this node may use now. As a side effect it may make this node a voter, or commit the voters.
func (r *Roster) Share(now time.Duration) Share {
	r.advance(now)
	if r.leaving {
		return Share{Reason: "this node leaves"}
	}
	self := r.members[r.self]
	electorates, founding := r.electorates()
	if !self.Voter && !founding {
		// A new member needs a majority of the voters including itself, and a majority of the voters without it.
		electorates = [][]*peer{append(slices.Clone(electorates[0]), self), electorates[0]}
	}
	share := Share{Until: r.majorityUntil(electorates, r.grantedUntil), Voter: self.Voter}
	notAdmittedBy := r.countMembers(&share, electorates)
	if founding && r.isTooEarlyToFound(len(electorates[0])) {
		share.Until = 0
	}
	share.Wanted = (len(electorates[0])+r.missingFounders(len(electorates[0])))/2 + 1
	share.Divisor = len(share.Members)
	if r.now-r.startedAt < r.lease.failureTimeout() { // members that this node doesn't know yet may be acting
		share.Divisor += r.missingFounders(len(share.Members))
	}
	if self.Voter {
		r.commitVoters(electorates)
		r.applyAdmissionDelay(&share)
	} else {
		r.tryAdmission(&share, founding, notAdmittedBy)
	}
	return share
}

// isTooEarlyToFound reports whether a fleet may exist already whose members have not had enough time to answer this node. present is the
// number of known members that are not removed.
func (r *Roster) isTooEarlyToFound(present int) bool {
	return r.now-r.startedAt < r.lease.Duration && (present < r.lease.Nodes || r.lease.Nodes == 1)
}

// countMembers fills in the members that the divisor includes and the number of valid grants, and limits the share to the end of each
// exclusion that it relies on. It returns the first included member by name that has not admitted this node, because it has given no valid
// grant or has a different roster.
func (r *Roster) countMembers(share *Share, electorates [][]*peer) (notAdmittedBy string) {
	for _, p := range r.sortedMembers() {
		if p.Removed {
			continue
		}
		grantEnd := r.grantedUntil(p)
		if grantEnd > r.now {
			share.Granted++
		}
		if exclusionEnd := r.excludedUntil(electorates, p); exclusionEnd > 0 {
			share.Until = min(share.Until, exclusionEnd)
			continue
		}
		share.Members = append(share.Members, p.Name)
		if notAdmittedBy == "" && (grantEnd <= r.now || !r.hasSameRoster(p)) {
			notAdmittedBy = p.Name
		}
	}
	return notAdmittedBy
}

// Reasons why a share is not valid, shown to operators.
const (
	reasonNoMajority      = "no majority grants it anything"
	reasonJustAdmitted    = "it has just been let in"
	reasonTooEarlyToFound = "it has met too few, or for too short a time, to found a fleet"
)

// applyAdmissionDelay sets the reason if a voter's share is not valid, and invalidates the share during the admission delay.
func (r *Roster) applyAdmissionDelay(share *Share) {
	switch {
	case share.Until == 0:
		share.Reason = reasonNoMajority
	case r.admittedAt > 0 && r.now-r.admittedAt < r.lease.admissionDelay():
		share.Until = 0
		share.Reason = reasonJustAdmitted
	}
}

// tryAdmission makes this node a voter if all members that the divisor includes have admitted it. Otherwise it sets the reason.
func (r *Roster) tryAdmission(share *Share, founding bool, notAdmittedBy string) {
	switch {
	case share.Until == 0 && founding:
		share.Reason = reasonTooEarlyToFound
	case share.Until == 0:
		share.Reason = reasonNoMajority
	case notAdmittedBy != "":
		share.Until = 0
		share.Reason = "it is new, and " + notAdmittedBy + " has not let it in"
	default:
		r.admitSelf(founding)
		share.Voter = true
		if !founding { // this node may act only after the admission delay, when the other members know that it is a voter
			share.Until = 0
			share.Reason = reasonJustAdmitted
			r.admittedAt = r.now
		}
	}
}
