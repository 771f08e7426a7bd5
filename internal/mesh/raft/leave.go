package raft

import (
	"slices"
	"time"
)

// A planned departure is an announced stop of a member's process. The process may start again later with its disk, or never. Raft allows a
// member to stop at any moment, but while it is down the loss of one more disk could lose the last copy of an acknowledged entry.
// Therefore the member sends LeaveRequest to the leader until the leader answers LeaveGranted. At that point everything committed is on
// the disks of a majority of the remaining members, and the leader ignores whatever the member acknowledges later. A leader that has to
// stop transfers leadership first and then leaves as a follower. The caller decides how long to wait for the permission.

// leaveState is the state of this member's planned departure.
type leaveState struct {
	requested   bool          // BeginLeave was called
	granted     bool          // the leader has answered LeaveGranted
	requestedAt time.Duration // when this member last sent LeaveRequest or transferred leadership, or 0 if it never has
}

// BeginLeave begins a planned departure. The member keeps running as before until MayLeave returns true.
func (r *Raft) BeginLeave(now time.Duration) {
	r.advanceTime(now)
	r.leave.requested = true
	r.advanceLeave()
}

// MayLeave reports whether the process of a leaving member may stop: everything committed is on the disks of a majority of the remaining
// members. It is also true if there is nothing to wait for, because the member is not a voter, is the only voter, all other voters leave
// as well, or the leader's protocol version does not support planned departures.
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
	return r.role == follower && r.leaderID != 0 && r.following.protocolVersion < versionWithLeave
}

// advanceLeave sends LeaveRequest to the leader, or transfers leadership if this member leads.
func (r *Raft) advanceLeave() {
	if r.leave.requestedAt > 0 && r.now-r.leave.requestedAt < r.config.leaveRequestInterval() {
		return
	}
	switch {
	case r.role == leader && r.log.configuration.Index > r.log.committed:
		// A new leader might not have the entry of the configuration change, so leadership is not transferred yet.
	case r.role == leader && r.isReplacementReady(r.config.Self.ID):
		r.maintainMembership() // leadership is transferred once this member is replaced
	case r.role == leader:
		if target := r.transferTarget(); target != nil && target.match >= r.log.committed && !r.isTransferringLeadership() {
			r.leave.requestedAt = max(r.now, 1)
			r.TransferLeadership(r.now)
		}
	case r.role == follower && r.leaderID != 0 && r.following.protocolVersion >= versionWithLeave:
		r.leave.requestedAt = max(r.now, 1)
		r.sendAfterSave(Message{Kind: LeaveRequest, To: r.leaderID, Term: r.term})
	}
}

// isTransferringLeadership reports whether a leaving leader has recently sent TimeoutNow. Entries appended during the transfer would
// probably be lost.
func (r *Raft) isTransferringLeadership() bool {
	return r.leave.requested && r.role == leader &&
		r.leave.requestedAt > 0 && r.now-r.leave.requestedAt < r.config.leadershipTransferTimeout()
}

// areAllVotersLeaving reports whether all voters are leaving, as far as the leader knows, so that no member remains to be waited for.
func (r *Raft) areAllVotersLeaving() bool {
	return !slices.ContainsFunc(r.log.configuration.voters(), func(member Member) bool {
		if member.ID == r.config.Self.ID {
			return !r.leave.requested
		}
		p := r.peers.get(member.ID)
		return p != nil && !p.leaveGranted && !p.isLeavingSince(r.now-r.config.leaveRequestTimeout())
	})
}

// handleLeaveRequest records that the sender is leaving, and grants leave if possible.
func (r *Raft) handleLeaveRequest(m Message) {
	p := r.peers.get(m.From)
	if r.role != leader || p == nil {
		return
	}
	p.recordContact(r.now, m)
	if !p.isLeavingSince(r.now - r.config.leaveRequestTimeout()) {
		r.broadcastHeartbeat() // an answer to this round proves that its sender still has its disk
		p.leaveRound = r.leading.heartbeatRound
	}
	p.lastLeaveRequestAt = max(r.now, 1)
	if p.leaveGranted {
		r.sendLeaveGranted(p) // the earlier LeaveGranted was lost
	}
	r.grantLeaves()
}

// handleLeaveGranted records the leader's permission, which is never withdrawn: no committed entry depends on this member's disk any more.
func (r *Raft) handleLeaveGranted(m Message) {
	r.leave.granted = r.leave.granted || r.leave.requested && m.From == r.leaderID
}

// grantLeaves sends LeaveGranted to leaving members once nothing depends on them. Whatever they acknowledge afterwards is ignored. Entries
// that they have acknowledged beyond the commit index are ignored too, since it was not checked that other members have them.
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

// mayGrantLeave reports whether neither a committed entry nor a configuration change depends on a leaving member.
func (r *Raft) mayGrantLeave(p *progress) bool {
	return r.log.isConfigurationCommitted() && !r.isReplacementReady(p.ID) && r.isCommittedWithout(p)
}

// isLeavingSince reports whether a member has sent LeaveRequest after an instant and was not granted leave yet.
func (p *progress) isLeavingSince(since time.Duration) bool {
	return p.lastLeaveRequestAt > 0 && p.lastLeaveRequestAt > since && !p.leaveGranted
}

// recordRestart records that a member that was granted leave has started again. A response without Leaving to a heartbeat round that began
// after the LeaveRequest is from the new process. Other responses may have been sent by the former process, and must not count.
func (p *progress) recordRestart(m Message) {
	if p.leaveGranted && !m.Leaving && m.HeartbeatRound >= p.leaveRound {
		p.leaveGranted, p.lastLeaveRequestAt = false, 0
	}
}

// isCommittedWithout reports whether a majority of the voters other than the leaving one has everything committed on disk, and has answered
// the leader since the LeaveRequest. A voter that was granted leave before does not count until it has restarted: otherwise restarting all
// members one after the other could leave a single copy of an entry.
func (r *Raft) isCommittedWithout(leaving *progress) bool {
	hasCommitted := func(id ID) bool {
		if r.matchIndex(id) < r.log.committed {
			return false
		}
		if id == r.config.Self.ID {
			return !r.leave.requested
		}
		p := r.peers.get(id)
		return p != nil && p.answeredRound >= leaving.leaveRound
	}
	isOnMajorityOf := func(members []Member) bool {
		remaining := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.ID == leaving.ID })
		return len(remaining) == 0 || hasMajority(remaining, hasCommitted)
	}
	return isOnMajorityOf(r.log.configuration.Members) && isOnMajorityOf(r.log.configuration.Outgoing)
}

// isLeaving reports whether a member is leaving and was not granted leave yet, as far as the leader knows.
func (r *Raft) isLeaving(id ID) bool {
	if id == r.config.Self.ID {
		return r.leave.requested
	}
	p := r.peers.get(id)
	return p != nil && p.isLeavingSince(r.now-r.config.leaveRequestTimeout())
}

// isReplacementReady reports whether a learner that has caught up is about to replace a leaving member, or whether a joint change in
// progress replaces it. The leaving member may only stop once it is replaced: if it stopped as a voter, the loss of one more disk could
// leave the cluster without a majority permanently.
func (r *Raft) isReplacementReady(leaving ID) bool {
	configuration := r.log.configuration
	if configuration.isJoint() {
		return containsMember(configuration.Outgoing, leaving) && !containsMember(configuration.Members, leaving)
	}
	return slices.ContainsFunc(r.peers, func(p *progress) bool {
		if !p.isJoining || configuration.isVoter(p.ID) || r.now-p.lastContactAt > r.config.ElectionTimeout || !r.isCaughtUp(p) {
			return false
		}
		replaced, _ := r.replaceableMember(p)
		return replaced != noMemberIndex && configuration.Members[replaced].ID == leaving &&
			r.protocolVersionWith(p, replaced) >= versionWithJointChange
	})
}

// sendLeaveGranted tells a leaving member that it may stop.
func (r *Raft) sendLeaveGranted(p *progress) {
	r.sendAfterSave(Message{Kind: LeaveGranted, To: p.ID, Term: r.term})
}
