package raft

import (
	"slices"
	"time"
)

// A planned departure is the stop of a member's process that was announced: it comes back later with its disk, or not at all. Raft allows a
// member to stop at any moment, but until it is back the loss of one more disk could lose the last copy of an acknowledged entry. So
// the member sends LeaveRequest to the leader until the leader answers LeaveGranted: everything committed is then on the disks of a
// majority of the members that stay, and whatever the member acknowledges later does not count. A leader that is to stop transfers
// leadership first, and then leaves as a follower. The caller decides how long to wait at most.

// leaveState is the state of a member's own planned departure.
type leaveState struct {
	requested   bool          // BeginLeave was called
	granted     bool          // the leader has answered LeaveGranted
	requestedAt time.Duration // when this member last sent LeaveRequest or transferred leadership, or 0 if it never has
}

// BeginLeave begins a planned departure. The member goes on as before until MayLeave.
func (r *Raft) BeginLeave(now time.Duration) {
	r.advanceTime(now)
	r.leave.requested = true
	r.advanceLeave()
}

// MayLeave reports whether the process of a member that leaves may stop: everything that it holds is on the disks of a majority of the
// members that stay. It is also true where there is nothing to wait for, because the member is not a voter, all others leave as well,
// or the leader's protocol version has no planned departures.
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
	return r.role == follower && r.leaderID != 0 && r.followed.protocolVersion < versionWithLeave
}

// advanceLeave sends LeaveRequest to the leader, or transfers leadership if this member leads.
func (r *Raft) advanceLeave() {
	if r.leave.requestedAt > 0 && r.now-r.leave.requestedAt < r.config.leaveRequestInterval() {
		return
	}
	switch {
	case r.role == leader && r.log.configuration.Index > r.log.committed:
		// A member that took over now might not know of the configuration change.
	case r.role == leader && r.isReplacementReady(r.config.Self.ID):
		r.maintainMembership() // leadership is transferred once this member is replaced
	case r.role == leader:
		if target := r.transferTarget(); target != nil && target.match >= r.log.committed && !r.isTransferringLeadership() {
			r.leave.requestedAt = max(r.now, 1)
			r.TransferLeadership(r.now)
		}
	case r.role == follower && r.leaderID != 0 && r.followed.protocolVersion >= versionWithLeave:
		r.leave.requestedAt = max(r.now, 1)
		r.sendAfterSave(Message{Kind: LeaveRequest, To: r.leaderID, Term: r.term})
	}
}

// isTransferringLeadership reports whether a leader that leaves has lately sent TimeoutNow. Entries that it appended now would probably be
// lost.
func (r *Raft) isTransferringLeadership() bool {
	return r.leave.requested && r.role == leader &&
		r.leave.requestedAt > 0 && r.now-r.leave.requestedAt < r.config.transferSpan()
}

// areAllVotersLeaving reports whether all voters leave, as far as the leader knows, so that there is nobody to wait for.
func (r *Raft) areAllVotersLeaving() bool {
	return !slices.ContainsFunc(r.log.configuration.voters(), func(member Member) bool {
		if member.ID == r.config.Self.ID {
			return !r.leave.requested
		}
		p := r.peers.get(member.ID)
		return p != nil && !p.leaveGranted && !p.isLeavingSince(r.now-r.config.leaveRequestSpan())
	})
}

// handleLeaveRequest records that a member leaves.
func (r *Raft) handleLeaveRequest(m Message) {
	p := r.peers.get(m.From)
	if r.role != leader || p == nil {
		return
	}
	p.recordContact(r.now, m)
	if !p.isLeavingSince(r.now - r.config.leaveRequestSpan()) {
		r.broadcastHeartbeat() // a member that answers this round still has its disk
		p.leaveRound = r.leading.heartbeatRound
	}
	p.leavingAt = max(r.now, 1)
	if p.leaveGranted {
		r.sendLeaveGranted(p) // the first one was lost
	}
	r.grantLeaves()
}

// handleLeaveGranted records the leader's permission, which is not withdrawn: from now on nothing depends on this member's disk.
func (r *Raft) handleLeaveGranted(m Message) {
	r.leave.granted = r.leave.granted || r.leave.requested && m.From == r.leaderID
}

// grantLeaves answers the members that leave, once nothing depends on them. From then on nothing that they acknowledge counts, and neither
// does what they have acknowledged beyond the commit index, since nobody has checked that others hold it.
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

// mayGrantLeave reports whether nothing depends on a member that leaves: neither a committed entry nor a configuration change.
func (r *Raft) mayGrantLeave(p *progress) bool {
	return r.log.isConfigurationCommitted() && !r.isReplacementReady(p.ID) && r.isCommittedWithout(p)
}

// isLeavingSince reports whether a member has sent LeaveRequest since an instant, and was not granted leave yet.
func (p *progress) isLeavingSince(since time.Duration) bool {
	return p.leavingAt > 0 && p.leavingAt > since && !p.leaveGranted
}

// recordReturn records that a member that was granted leave has started again. A response to a round of heartbeats that began after its
// LeaveRequest, and that does not say that the member is leaving, is from its new process. Other responses may be from the former
// process, still in flight, and must not count.
func (p *progress) recordReturn(m Message) {
	if p.leaveGranted && !m.Leaving && m.HeartbeatRound >= p.leaveRound {
		p.leaveGranted, p.leavingAt = false, 0
	}
}

// isCommittedWithout reports whether everything committed is held by a majority of the voters other than one that leaves, and whether that
// majority was heard since its LeaveRequest. A voter that was granted leave before does not count until it is back: otherwise
// restarting all members one after the other could leave a single copy.
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

// isLeaving reports whether a member leaves and was not granted that yet, as far as the leader knows.
func (r *Raft) isLeaving(id ID) bool {
	if id == r.config.Self.ID {
		return r.leave.requested
	}
	p := r.peers.get(id)
	return p != nil && p.isLeavingSince(r.now-r.config.leaveRequestSpan())
}

// isReplacementReady reports whether a learner that has caught up is about to replace a member that leaves, or is just doing so. That
// member may only stop once it is replaced: without its vote, the loss of one more disk could leave no majority for good.
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
		return place != noMember && configuration.Members[place].ID == leaving &&
			r.protocolVersionWith(p, place) >= versionWithJointChange
	})
}

// sendLeaveGranted tells a member that nothing depends on it any more.
func (r *Raft) sendLeaveGranted(p *progress) {
	r.sendAfterSave(Message{Kind: LeaveGranted, To: p.ID, Term: r.term})
}
