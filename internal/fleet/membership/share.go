package membership

import (
	"math"
	"slices"
	"time"
)

// Share is the part of rations that this node may take.
type Share struct {
	Divisor int           // of what all share; with no Standing it tells what it would be
	Members []string      // whom it counts, sorted
	Until   time.Duration // when this is over unless more is heard
	Granted int           // members that grant this node something now, with itself
	Wanted  int           // how many would have to
	Seated  bool
	Reason  string // without standing: the reason
}

// IsValid says that this node may take its part at that time.
func (s Share) IsValid(now time.Duration) bool { return now < s.Until }

// Counts says that a name is among those that the divisor counts.
func (s Share) Counts(name string) bool {
	_, is := slices.BinarySearch(s.Members, name)
	return is
}

// DivisorAt is what a ration of all is divided by for this node at that time; +Inf: it may take nothing.
func (s Share) DivisorAt(now time.Duration) float64 {
	if !s.IsValid(now) {
		return math.Inf(1)
	}
	return float64(max(1, s.Divisor))
}

// Share computes the share that this node may use now. It may admit this node to the roster's majorities.
func (r *Roster) Share(now time.Duration) Share {
	r.advance(now)
	if r.leaving {
		return Share{Reason: "this node leaves"}
	}
	self := r.members[r.self]
	electorates, founding := r.electorates()
	if !self.Seated && !founding {
		// A new member is admitted by the majority without itself, and by the one with it.
		electorates = [][]*peer{append(slices.Clone(electorates[0]), self), electorates[0]}
	}
	sh := Share{Until: r.majorityUntil(electorates, r.grantedUntil), Seated: self.Seated}
	objector := r.countMembers(&sh, electorates)
	missing := r.missingFounders(len(electorates[0]))
	if founding && r.last-r.started < r.lease.Duration && (len(electorates[0]) < r.lease.Nodes || r.lease.Nodes == 1) {
		sh.Until = 0 // members that run already have not had the time to answer
	}
	sh.Wanted = (len(electorates[0])+missing)/2 + 1
	sh.Divisor = len(sh.Members)
	if r.last-r.started < r.lease.failureTimeout() { // members not heard of yet may act, as far as this node can know
		sh.Divisor += r.missingFounders(len(sh.Members))
	}
	if self.Seated {
		r.settleVoters(electorates)
		r.holdBack(&sh)
	} else {
		r.seekAdmission(&sh, founding, objector)
	}
	return sh
}

// countMembers fills in the members that the share counts and how many grant this node something, and limits the share to
// the end of each exclusion that it relies on. It returns the first counted member by name that has not admitted this node:
// one without a valid grant, or with another roster.
func (r *Roster) countMembers(sh *Share, electorates [][]*peer) (objector string) {
	for _, s := range r.sortedMembers() {
		if s.Gone {
			continue
		}
		grantEnd := r.grantedUntil(s)
		if grantEnd > r.last {
			sh.Granted++
		}
		if exclusionEnd := r.excludedUntil(electorates, s); exclusionEnd > 0 {
			sh.Until = min(sh.Until, exclusionEnd)
			continue
		}
		sh.Members = append(sh.Members, s.Name)
		if objector == "" && (grantEnd <= r.last || !r.hasSameRoster(s)) {
			objector = s.Name
		}
	}
	return objector
}

// Reasons for a share that may not be used.
const (
	reasonNoMajority   = "no majority grants it anything"
	reasonJustAdmitted = "it has just been let in"
	reasonTooFew       = "it has met too few, or for too short a time, to found a fleet"
)

// holdBack says why a member of the majorities may not use its share, and keeps back one that was admitted a moment ago.
func (r *Roster) holdBack(sh *Share) {
	switch {
	case sh.Until == 0:
		sh.Reason = reasonNoMajority
	case r.admittedAt > 0 && r.last-r.admittedAt < r.lease.admissionDelay():
		sh.Until, sh.Reason = 0, reasonJustAdmitted
	}
}

// seekAdmission admits this node to the majorities if every counted member agrees, and says why not otherwise.
func (r *Roster) seekAdmission(sh *Share, founding bool, objector string) {
	switch {
	case sh.Until == 0 && founding:
		sh.Reason = reasonTooFew
	case sh.Until == 0:
		sh.Reason = reasonNoMajority
	case objector != "":
		sh.Until, sh.Reason = 0, "it is new, and "+objector+" has not let it in"
	default:
		r.admitSelf(founding)
		sh.Seated = true
		if !founding { // its vote counts once the others are known to have heard of it
			sh.Until, sh.Reason, r.admittedAt = 0, reasonJustAdmitted, r.last
		}
	}
}

// admitSelf has this node take part in majorities from here on; at the founding, with all who let it in. Those seated before
// go on to be a electorate of their own until they are known to have heard of it.
func (r *Roster) admitSelf(founding bool) {
	clear(r.voters)
	for _, s := range r.members {
		s.Seated = s.Seated || founding && !s.Gone && r.grantedUntil(s) > r.last
		if s.Seated && !s.Gone {
			r.voters[s.Name] = true
		}
	}
	r.members[r.self].Seated = true
	r.rehash()
}

// hasSameRoster says that a member was heard to hold the same roster.
func (r *Roster) hasSameRoster(s *peer) bool { return s.Name == r.self || s.rosterHash == r.hash }

// votersSettled says that all who are known to be seated are voters.
func (r *Roster) votersSettled() bool {
	for _, s := range r.members {
		if s.Seated && !s.Gone && !r.voters[s.Name] {
			return false
		}
	}
	return r.members[r.self].Seated
}

// settleVoters goes over to those seated now once majorities before and after are known to have the same roster: from
// this node's own hearing, or by the word of a member that has the same and knows.
func (r *Roster) settleVoters(councils [][]*peer) {
	known := r.majorityUntil(councils, func(s *peer) time.Duration {
		if !r.hasSameRoster(s) {
			return 0
		}
		return r.grantedUntil(s)
	}) > 0
	for _, s := range r.members {
		known = known || s.Name != r.self && s.settled && r.hasSameRoster(s) && r.grantedUntil(s) > r.last
	}
	if !known {
		return
	}
	clear(r.voters)
	for _, s := range r.members {
		if s.Seated && !s.Gone {
			r.voters[s.Name] = true
		}
	}
}
