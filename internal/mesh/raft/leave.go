package raft

import (
	"slices"
	"time"
)

// A planned departure: the process of a member is told to stop, and comes back later with its disk, or not at all. Raft lets it go at
// any moment, but then one more lost disk could be the loss of the last copy of something that was acknowledged. So the member sends
// LeaveRequest to the leader until that answers LeaveGranted: whatever is committed is on the disks of a majority of the members that
// stay, and what the member holds from then on does not count. A leader that is told to stop hands over first, and then leaves as a
// follower. How long to wait at most is the caller's decision.

// leaveState is what a member that is told to stop keeps.
type leaveState struct {
	requested   bool          // it was told to stop
	granted     bool          // the leader has answered LeaveGranted
	requestedAt time.Duration // when it last asked the leader, or had another take over; 0: never
}

// BeginLeave tells this member that it is going to stop. It goes on as before until MayLeave.
func (r *Raft) BeginLeave(now time.Duration) {
	r.advanceTime(now)
	r.leave.requested = true
	r.advanceLeave()
}

// MayLeave reports whether a member that was told to stop holds nothing that is not on the disks of a majority of those that stay; or
// that nobody can tell: it is no voter, all others leave as well, or the leader's protocol version knows no departures.
func (r *Raft) MayLeave() bool {
	if !r.leave.requested {
		return false
	}
	self, configuration := r.config.Self.ID, r.log.configuration
	switch {
	case r.leave.granted:
		return true
	case !configuration.isVoter(self) && r.log.isConfigurationCommitted():
		return true
	case configuration.isSoleVoter(self):
		return true
	case r.role == leader && r.areAllVotersLeaving():
		return true
	}
	return r.role == follower && r.leaderID != 0 && r.followed.protocolVersion < 1
}

// advanceLeave asks the leader for leave, or has another lead.
func (r *Raft) advanceLeave() {
	if r.leave.requestedAt > 0 && r.now-r.leave.requestedAt < r.config.ElectionTimeout/8 {
		return
	}
	switch {
	case r.role == leader && r.log.configuration.Index > r.log.committed:
		// One that takes over now may not know of the change.
	case r.role == leader && r.isReplacementReady(r.config.Self.ID):
		r.maintainMembership() // it hands over once it is no member any more
	case r.role == leader:
		if target := r.transferTarget(); target != nil && target.match >= r.log.committed && !r.isTransferringLeadership() {
			r.leave.requestedAt = max(r.now, 1)
			r.TransferLeadership(r.now)
		}
	case r.role == follower && r.leaderID != 0 && r.followed.protocolVersion >= 1:
		r.leave.requestedAt = max(r.now, 1)
		r.sendAfterSave(Message{Kind: LeaveRequest, To: r.leaderID, Term: r.term})
	}
}

// isTransferringLeadership reports whether a leader that is told to stop has lately asked another to take over: what it appended now
// would be lost.
func (r *Raft) isTransferringLeadership() bool {
	return r.leave.requested && r.role == leader && r.leave.requestedAt > 0 && r.now-r.leave.requestedAt < r.config.ElectionTimeout/2
}

// areAllVotersLeaving reports whether all voters are told to stop, as far as the leader knows: there is nobody to wait for.
func (r *Raft) areAllVotersLeaving() bool {
	return !slices.ContainsFunc(r.log.configuration.voters(), func(member Member) bool {
		if member.ID == r.config.Self.ID {
			return !r.leave.requested
		}
		p := r.peers.get(member.ID)
		return p != nil && !p.leaveGranted && !p.isLeavingSince(r.now-r.config.ElectionTimeout/2)
	})
}

// handleLeaveRequest takes note that a member is told to stop.
func (r *Raft) handleLeaveRequest(m Message) {
	p := r.peers.get(m.From)
	if r.role != leader || p == nil {
		return
	}
	p.recordContact(r.now, m)
	if !p.isLeavingSince(r.now - r.config.ElectionTimeout/2) {
		r.broadcastHeartbeat() // who answers this round has not lost its disk before
		p.leaveRound = r.leading.heartbeatRound
	}
	p.leavingAt = max(r.now, 1)
	if p.leaveGranted {
		r.sendLeaveGranted(p) // the answer was lost
	}
	r.grantLeaves()
}

func (r *Raft) handleLeaveGranted(m Message) {
	r.leave.granted = r.leave.granted || r.leave.requested && m.From == r.leaderID
}

// grantLeaves answers the members that are told to stop, once nothing rests on them. From then on nothing that they acknowledge
// counts, nor what they have acknowledged beyond the commit index: nobody has checked that it is held by others.
func (r *Raft) grantLeaves() {
	if r.role != leader || !r.hasCommittedOwnTerm() {
		return
	}
	for _, p := range r.peers {
		if r.isLeaving(p.ID) && (r.mayGrantLeave(p) || r.areAllVotersLeaving()) {
			p.leaveGranted, p.match = true, min(p.match, r.log.committed)
			r.sendLeaveGranted(p)
		}
	}
}

// mayGrantLeave reports whether nothing rests on a member that goes: neither what is committed nor a change of the membership.
func (r *Raft) mayGrantLeave(p *progress) bool {
	return r.log.isConfigurationCommitted() && !r.isReplacementReady(p.ID) && r.isCommittedWithout(p)
}

// isLeavingSince reports whether a member has said since an instant that it is told to stop, and was not granted leave yet.
func (p *progress) isLeavingSince(since time.Duration) bool {
	return p.leavingAt > 0 && p.leavingAt > since && !p.leaveGranted
}

// recordReturn takes note that a member that was granted leave has started again: what answers a round of heartbeats that began after
// its LeaveRequest, and does not say that it is leaving, is from its next process. An answer of the former process that was under way
// must not count.
func (p *progress) recordReturn(m Message) {
	if p.leaveGranted && !m.Leaving && m.HeartbeatRound >= p.leaveRound {
		p.leaveGranted, p.leavingAt = false, 0
	}
}

// isCommittedWithout reports whether what is committed is held by a majority of the voters without one that goes, and whether these
// were heard since it said so. One that was granted leave before has to be back: else a restart of all, one after the other, would
// leave a single copy.
func (r *Raft) isCommittedWithout(leaving *progress) bool {
	holds := func(id ID) bool {
		if r.matchIndex(id) < r.log.committed {
			return false
		}
		if id == r.config.Self.ID {
			return !r.leave.requested
		}
		p := r.peers.get(id)
		return p != nil && p.answeredRound >= leaving.leaveRound
	}
	isHeldBy := func(members []Member) bool {
		staying := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.ID == leaving.ID })
		return len(staying) == 0 || hasMajority(staying, holds)
	}
	return isHeldBy(r.log.configuration.Members) && isHeldBy(r.log.configuration.Outgoing)
}

// isLeaving reports whether a member is told to stop and was not granted leave yet, as far as the leader knows.
func (r *Raft) isLeaving(id ID) bool {
	if id == r.config.Self.ID {
		return r.leave.requested
	}
	p := r.peers.get(id)
	return p != nil && p.isLeavingSince(r.now-r.config.ElectionTimeout/2)
}

// isReplacementReady reports whether a learner that has caught up is to take the place of a member that goes, or is just taking it.
// That member may go only once it is replaced: with its vote gone as well, the loss of one more disk would leave no majority for good.
func (r *Raft) isReplacementReady(leaving ID) bool {
	configuration := r.log.configuration
	if configuration.isJoint() {
		return containsMember(configuration.Outgoing, leaving) && !containsMember(configuration.Members, leaving)
	}
	return slices.ContainsFunc(r.peers, func(p *progress) bool {
		if !p.isJoining || configuration.isVoter(p.ID) || r.now-p.heardAt > r.config.ElectionTimeout || !r.isCaughtUp(p) {
			return false
		}
		place, _ := r.replaceableMember(p)
		return place != noMember && configuration.Members[place].ID == leaving && r.protocolVersionWith(p, place) >= 1
	})
}

func (r *Raft) sendLeaveGranted(p *progress) {
	r.sendAfterSave(Message{Kind: LeaveGranted, To: p.ID, Term: r.term})
}
