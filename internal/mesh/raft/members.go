package raft

import (
	"slices"
	"time"
)

// maxLearners is how many that are no members a leader brings up to date at once.
const maxLearners = 16

// maintainMembership sees to the members: one change at a time, and only once an entry of this leader's own term is committed.
func (c *Raft) maintainMembership() {
	c.peers = slices.DeleteFunc(c.peers, func(p *progress) bool {
		return !c.configuration.isVoter(p.ID) && c.now-p.heardAt > 4*c.config.DeadMemberTimeout
	})
	if !c.mayChangeMembership() || c.raiseProtocolVersion() {
		return
	}
	for _, p := range c.peers {
		if p.isJoining && c.now-p.heardAt <= c.config.ElectionTimeout && c.admitLearner(p) {
			return
		}
	}
}

// mayChangeMembership says that a change of members may begin. An entry of the leader's own term has to be committed: until then the
// configuration that it counts by may be one that another leader's majority has replaced.
func (c *Raft) mayChangeMembership() bool {
	return c.hasCommittedOwnTerm() && c.configuration.Index <= c.committed && !c.configuration.isJoint()
}

// raiseProtocolVersion has the log say what all members speak once that is known of each, so that it is known also of those that
// are silent later. It is one entry in a fleet's life for each version.
func (c *Raft) raiseProtocolVersion() bool {
	least := c.protocolVersion()
	for _, m := range c.configuration.Members {
		if m.ID == c.config.Self.ID {
			continue
		}
		p := c.peers.get(m.ID)
		if p == nil || !p.hasAnswered || c.now-p.heardAt > c.config.ElectionTimeout {
			return false
		}
		least = min(least, p.protocolVersion)
	}
	return least > c.configuration.ProtocolVersion && containsMember(c.configuration.Members, c.config.Self.ID) && c.proposeConfiguration(Configuration{Members: c.configuration.Members, ProtocolVersion: least})
}

// admitLearner sees to one learner: it takes the place of a member that was lost, or a free one. true: a change was proposed.
func (c *Raft) admitLearner(p *progress) bool {
	members := slices.Clone(c.configuration.Members)
	lost, free := c.replaceableMember(p)
	if lost < 0 && !free {
		return false
	}
	if lost < 0 {
		return c.isCaughtUp(p) && c.proposeConfiguration(Configuration{Members: append(members, p.Member), ProtocolVersion: c.protocolVersionWith(p, -1)})
	}
	version := c.protocolVersionWith(p, lost)
	if version < 1 { // one of them knows no joint change: the place is cleared first
		return c.proposeConfiguration(Configuration{Members: slices.Delete(members, lost, lost+1), ProtocolVersion: version})
	}
	if !c.isCaughtUp(p) {
		return false
	}
	members[lost] = p.Member
	return c.proposeConfiguration(Configuration{Members: members, Outgoing: c.configuration.Members, ProtocolVersion: version})
}

// replaceableMember is the member whose place a learner may take: one at its own address, for it came back without its disk; else, where
// there are as many as there should be, one that was silent for long. -1: none; free: there is room for one more.
func (c *Raft) replaceableMember(p *progress) (member int, free bool) {
	self := c.config.Self.ID
	if i := slices.IndexFunc(c.configuration.Members, func(m Member) bool { return m.Addr == p.Addr && m.ID != self }); i >= 0 {
		return i, false
	}
	if len(c.configuration.Members) < c.config.ClusterSize {
		return -1, true
	}
	silent := slices.IndexFunc(c.configuration.Members, func(m Member) bool {
		return m.ID != self && !c.peers.heardAfter(m.ID, c.now-c.config.DeadMemberTimeout)
	})
	if silent >= 0 {
		return silent, false
	}
	return slices.IndexFunc(c.configuration.Members, func(m Member) bool { return c.isLeaving(m.ID) }), false
}

// isCaughtUp says that a learner has all that was committed a heartbeat ago.
func (c *Raft) isCaughtUp(p *progress) bool { return p.match > 0 && p.match >= c.committedAtHeartbeat }

// protocolVersionWith is what a learner and all members but one speak, as far as it is known. but: that member's place; -1: none.
func (c *Raft) protocolVersionWith(p *progress, but int) uint32 {
	least := min(c.protocolVersion(), p.protocolVersion)
	for i, m := range c.configuration.Members {
		if i != but && m.ID != c.config.Self.ID {
			least = min(least, c.protocolVersionOf(m.ID))
		}
	}
	return least
}

// protocolVersionOf is what a member speaks: what it said to this leader, else what the log says of all.
func (c *Raft) protocolVersionOf(id ID) uint32 {
	if p := c.peers.get(id); p != nil && p.hasAnswered {
		return p.protocolVersion
	}
	return c.configuration.ProtocolVersion
}

// proposeConfiguration proposes a configuration if a quorum of it is there to carry it.
func (c *Raft) proposeConfiguration(to Configuration) bool {
	if !to.hasQuorum(func(id ID) bool { return c.IsRecentlyActive(id) }) {
		return false
	}
	c.appendAsLeader(Entry{Kind: EntryConfiguration, Members: to.Members, Outgoing: to.Outgoing, ProtocolVersion: to.ProtocolVersion})
	c.Flush()
	return true
}

// continueConfigurationChange goes on with a change whose entry was committed: the second half of a joint one is proposed, and a leader
// that is no member any more has another take over.
func (c *Raft) continueConfigurationChange() {
	if c.configuration.Index > c.committed || !c.hasCommittedOwnTerm() {
		return
	}
	if c.configuration.isJoint() {
		c.appendAsLeader(Entry{Kind: EntryConfiguration, Members: c.configuration.Members, ProtocolVersion: c.configuration.ProtocolVersion})
		c.Flush()
		return
	}
	if !containsMember(c.configuration.Members, c.config.Self.ID) {
		c.broadcastHeartbeat() // the others hear that it is committed
		c.TransferLeadership(c.now)
		c.changeRole(follower, c.term, 0)
	}
}

// wasToldNonMember says that others that know more have lately told this one that it is no member.
func (c *Raft) wasToldNonMember() bool {
	return c.toldNonMemberAt > 0 && c.now-c.toldNonMemberAt < 2*c.config.ElectionTimeout
}

// handleNotMember takes the word of one that knows later members. It changes nothing of what this one counts by, which is the
// log's alone: it asks those to be taken in.
func (c *Raft) handleNotMember(m Message) {
	if m.ConfigurationIndex > c.configuration.Index {
		c.toldNonMemberAt, c.joinContacts = max(c.now, 1), m.Members
	}
}

// sendNotMember tells one that is no member, as far as this one knows, who they are.
func (c *Raft) sendNotMember(m Message) {
	if !c.configuration.isVoter(m.From) {
		c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: NotMember, From: c.config.Self.ID, To: m.From, Term: c.term, Members: c.configuration.voters(),
			ConfigurationIndex: c.configuration.Index, Addr: m.Addr})
	}
}

// requestJoin asks all that are known to be taken in. Those that it knows only by address are asked by the shell.
func (c *Raft) requestJoin() {
	if c.joinRequestedAt > 0 && c.now-c.joinRequestedAt < c.config.ElectionTimeout/4 || c.now-c.leaderHeardAt < c.config.ElectionTimeout/2 && !c.IsNonMember() {
		return
	}
	c.joinRequestedAt = max(c.now, time.Duration(1))
	known := Configuration{Members: c.configuration.voters(), Outgoing: c.joinContacts}
	for _, m := range known.voters() {
		if m.ID != c.config.Self.ID {
			c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: JoinRequest, From: c.config.Self.ID, To: m.ID, Addr: c.config.Self.Addr})
		}
	}
}

// handleJoinRequest has a leader keep a learner up to date from now on; others tell who the members are.
func (c *Raft) handleJoinRequest(m Message) {
	if c.role != leader {
		c.sendNotMember(m)
		return
	}
	p := c.peers.get(m.From)
	if p == nil {
		if len(c.peers) >= len(c.configuration.voters())+maxLearners {
			return
		}
		p = &progress{Member: Member{m.From, m.Addr}, next: c.lastIndex() + 1}
		c.peers.insert(p)
		p.recordContact(c.now, m)
		c.replicateTo(p)
	}
	if !c.configuration.isVoter(m.From) {
		p.Addr, p.isJoining = m.Addr, true
	}
	p.recordContact(c.now, m)
}
