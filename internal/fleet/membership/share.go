package membership

import (
	"math"
	"slices"
	"time"
)

// Share is this node's share of the fleet's quotas: one part in Divisor, until Until.
type Share struct {
	Divisor int           // by which quotas are divided; what it would be if the share is not valid
	Members []string      // that the divisor counts, sorted
	Until   time.Duration // the share is valid before, unless it is renewed
	Granted int           // members that grant this node something now, with itself
	Wanted  int           // members that have to: a majority
	Voter   bool          // this node is a voter
	Reason  string        // of a share that is not valid, for operators
}

// IsValid reports whether this node may use its share at that time.
func (s Share) IsValid(now time.Duration) bool { return now < s.Until }

// Counts reports whether the divisor counts a member.
func (s Share) Counts(name string) bool {
	_, found := slices.BinarySearch(s.Members, name)
	return found
}

// DivisorAt returns what this node has to divide a quota by at that time. It is +Inf if it may use nothing.
func (s Share) DivisorAt(now time.Duration) float64 {
	if !s.IsValid(now) {
		return math.Inf(1)
	}
	return float64(max(1, s.Divisor))
}

// Share returns the share that this node may use now. It may make this node a voter, or commit the voters.
func (r *Roster) Share(now time.Duration) Share {
	r.advance(now)
	if r.leaving {
		return Share{Reason: "this node leaves"}
	}
	self := r.members[r.self]
	electorates, founding := r.electorates()
	if !self.Voter && !founding {
		// A new member is admitted by a majority with itself, and by one without.
		electorates = [][]*peer{append(slices.Clone(electorates[0]), self), electorates[0]}
	}
	share := Share{Until: r.majorityUntil(electorates, r.grantedUntil), Voter: self.Voter}
	objector := r.countMembers(&share, electorates)
	if founding && r.foundsTooEarly(len(electorates[0])) {
		share.Until = 0
	}
	share.Wanted = (len(electorates[0])+r.missingFounders(len(electorates[0])))/2 + 1
	share.Divisor = len(share.Members)
	if r.now-r.startedAt < r.lease.failureTimeout() { // members that were not heard yet may act, as far as this node can know
		share.Divisor += r.missingFounders(len(share.Members))
	}
	if self.Voter {
		r.commitVoters(electorates)
		r.withhold(&share)
	} else {
		r.seekAdmission(&share, founding, objector)
	}
	return share
}

// foundsTooEarly reports whether a fleet may exist already whose members have not had the time to answer this node.
func (r *Roster) foundsTooEarly(met int) bool {
	return r.now-r.startedAt < r.lease.Duration && (met < r.lease.Nodes || r.lease.Nodes == 1)
}

// countMembers fills in the members that the share counts and how many grant this node something, and limits the share to
// the end of each exclusion that it relies on. It returns the first counted member by name that has not admitted this node:
// one without a valid grant, or with another roster.
func (r *Roster) countMembers(share *Share, electorates [][]*peer) (objector string) {
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
		if objector == "" && (grantEnd <= r.now || !r.hasSameRoster(p)) {
			objector = p.Name
		}
	}
	return objector
}

// Reasons why a share is not valid. They are part of the status that operators read.
const (
	reasonNoMajority   = "no majority grants it anything"
	reasonJustAdmitted = "it has just been let in"
	reasonTooFew       = "it has met too few, or for too short a time, to found a fleet"
)

// withhold gives the reason why a voter may not use its share, and withholds that of one that was admitted a moment ago.
func (r *Roster) withhold(share *Share) {
	switch {
	case share.Until == 0:
		share.Reason = reasonNoMajority
	case r.admittedAt > 0 && r.now-r.admittedAt < r.lease.admissionDelay():
		share.Until = 0
		share.Reason = reasonJustAdmitted
	}
}

// seekAdmission makes this node a voter if every counted member agrees, and gives the reason if not.
func (r *Roster) seekAdmission(share *Share, founding bool, objector string) {
	switch {
	case share.Until == 0 && founding:
		share.Reason = reasonTooFew
	case share.Until == 0:
		share.Reason = reasonNoMajority
	case objector != "":
		share.Until = 0
		share.Reason = "it is new, and " + objector + " has not let it in"
	default:
		r.admitSelf(founding)
		share.Voter = true
		if !founding { // this node may act once the others are known to have heard that it is a voter
			share.Until = 0
			share.Reason = reasonJustAdmitted
			r.admittedAt = r.now
		}
	}
}
