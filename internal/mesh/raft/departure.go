package raft

import (
	"slices"
	"time"
)

// A planned departure. A member that is told to end may hold the second copy of something that was acknowledged, and with it
// gone the loss of one more disk would be the loss of both. So it says Leave to the leader until that answers MayLeave:
// whatever is committed is held by a majority of those that stay, and what this one holds from then on does not count. A leader
// that is told to end hands over first and then leaves as a follower. How long to wait at most is the caller's to say.

// BeginLeave says that this one is told to end. It goes on as before until MayLeave.
func (c *Raft) BeginLeave(now time.Duration) {
	c.now = max(c.now, now)
	c.leaving = true
	c.advanceLeave()
}

// MayLeave says that a member that was told to end holds nothing that is not held by a majority of those that stay, or that
// nobody can tell: it is no voter, all others leave as well, or the leader is of a build that does not know of departures.
func (c *Raft) MayLeave() bool {
	if !c.leaving {
		return false
	}
	self := c.config.Self.ID
	return c.leaveGranted || !c.configuration.isVoter(self) && c.isConfigurationSettled() || c.configuration.isSoleVoter(self) || c.role == leader && c.areAllVotersLeaving() ||
		c.role == follower && c.leaderID != 0 && c.leaderProtocolVersion < 1
}

// advanceLeave says Leave to the leader, or has another lead.
func (c *Raft) advanceLeave() {
	if c.leaveRequestedAt > 0 && c.now-c.leaveRequestedAt < c.config.ElectionTimeout/8 {
		return
	}
	switch {
	case c.role == leader && c.configuration.Index > c.committed: // one that takes over now may not know of the change
	case c.role == leader && c.isReplacementReady(c.config.Self.ID):
		c.maintainMembership() // it hands over once it is a member no more
	case c.role == leader:
		if p := c.transferTarget(); p != nil && p.match >= c.committed && !c.isTransferringLeadership() {
			c.leaveRequestedAt = max(c.now, 1)
			c.TransferLeadership(c.now)
		}
	case c.role == follower && c.leaderID != 0 && c.leaderProtocolVersion >= 1:
		c.leaveRequestedAt = max(c.now, 1)
		c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: LeaveRequest, From: c.config.Self.ID, To: c.leaderID, Term: c.term})
	}
}

// isTransferringLeadership says that a leader has lately asked another to take over: what it added now would be lost.
func (c *Raft) isTransferringLeadership() bool {
	return c.leaving && c.role == leader && c.leaveRequestedAt > 0 && c.now-c.leaveRequestedAt < c.config.ElectionTimeout/2
}

// areAllVotersLeaving says that all voters were told to end: there is nobody to wait for.
func (c *Raft) areAllVotersLeaving() bool {
	return !slices.ContainsFunc(c.configuration.voters(), func(m Member) bool {
		p := c.peers.get(m.ID)
		return m.ID == c.config.Self.ID && !c.leaving || p != nil && !p.leaveGranted && !p.isLeavingSince(c.now-c.config.ElectionTimeout/2)
	})
}

// handleLeaveRequest notes that a member is told to end.
func (c *Raft) handleLeaveRequest(m Message) {
	p := c.peers.get(m.From)
	if c.role != leader || p == nil {
		return
	}
	p.recordContact(c.now, m)
	if !p.isLeavingSince(c.now - c.config.ElectionTimeout/2) {
		c.broadcastHeartbeat() // who answers this round has not lost its disk before
		p.leaveRound = c.heartbeatRound
	}
	p.leavingAt = max(c.now, 1)
	if p.leaveGranted {
		c.sendLeaveGranted(p) // the answer was lost
	}
	c.grantLeaves()
}

// grantLeaves answers those that are told to end, once what is committed is held by a majority of those that stay.
func (c *Raft) grantLeaves() {
	if c.role != leader || !c.hasCommittedOwnTerm() {
		return
	}
	for _, p := range c.peers {
		if c.isLeaving(p.ID) && (c.mayGrantLeave(p) || c.areAllVotersLeaving()) {
			p.leaveGranted, p.match = true, min(p.match, c.committed)
			c.sendLeaveGranted(p)
		}
	}
}

// mayGrantLeave says that nothing rests on a member that goes: neither what is committed nor a change of the members.
func (c *Raft) mayGrantLeave(p *progress) bool {
	return c.isConfigurationSettled() && !c.isReplacementReady(p.ID) && c.isCommittedWithout(p)
}

// isConfigurationSettled says that no change of the members is under way, as far as this one knows.
func (c *Raft) isConfigurationSettled() bool {
	return c.configuration.Index <= c.committed && !c.configuration.isJoint()
}

// isLeavingSince says that a member has said since an instant that it is told to end, and was not let go yet.
func (p *progress) isLeavingSince(since time.Duration) bool {
	return p.leavingAt > 0 && p.leavingAt > since && !p.leaveGranted
}

// recordReturn notes that a member that was let go has started again: what answers a round of heartbeats that began after it said
// Leave, and does not say that it leaves, is of a new life.
func (p *progress) recordReturn(m Message) {
	if p.leaveGranted && !m.Leaving && m.HeartbeatRound >= p.leaveRound {
		p.leaveGranted, p.leavingAt = false, 0
	}
}

// isCommittedWithout says that what is committed is held by a majority of the voters without one that goes, and that these have been
// heard since it said so. One that was let go before has to be back: else a restart of all, one after the other, would leave a
// single copy.
func (c *Raft) isCommittedWithout(goes *progress) bool {
	holds := func(id ID) bool {
		p := c.peers.get(id)
		return c.matchIndex(id) >= c.committed && (id == c.config.Self.ID && !c.leaving || p != nil && p.answeredRound >= goes.leaveRound)
	}
	held := func(members []Member) bool {
		stay := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == goes.ID })
		return len(stay) == 0 || hasMajority(stay, holds)
	}
	return held(c.configuration.Members) && held(c.configuration.Outgoing)
}

// isLeaving says that a member is told to end and was not let go yet, as far as the leader knows.
func (c *Raft) isLeaving(id ID) bool {
	if id == c.config.Self.ID {
		return c.leaving
	}
	p := c.peers.get(id)
	return p != nil && p.isLeavingSince(c.now-c.config.ElectionTimeout/2)
}

// isReplacementReady says that a learner that has all stands by for the place of a member that goes. That one goes once they are
// exchanged: with its vote gone as well, the loss of one more disk would leave no majority for good.
func (c *Raft) isReplacementReady(goes ID) bool {
	if c.configuration.isJoint() {
		return containsMember(c.configuration.Outgoing, goes) && !containsMember(c.configuration.Members, goes)
	}
	return slices.ContainsFunc(c.peers, func(p *progress) bool {
		if !p.isJoining || c.configuration.isVoter(p.ID) || c.now-p.heardAt > c.config.ElectionTimeout || !c.isCaughtUp(p) {
			return false
		}
		place, _ := c.replaceableMember(p)
		return place >= 0 && c.configuration.Members[place].ID == goes && c.protocolVersionWith(p, place) >= 1
	})
}

func (c *Raft) sendLeaveGranted(p *progress) {
	c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: LeaveGranted, From: c.config.Self.ID, To: p.ID, Term: c.term})
}
