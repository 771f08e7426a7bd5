package raft

import "slices"

// maintainMembership makes the next change of the membership, if one is due: one at a time.
func (r *Raft) maintainMembership() {
	r.peers = slices.DeleteFunc(r.peers, func(p *progress) bool {
		return !r.log.configuration.isVoter(p.ID) && r.now-p.heardAt > 4*r.config.DeadMemberTimeout
	})
	if !r.mayChangeMembership() || r.raiseProtocolVersion() {
		return
	}
	for _, p := range r.peers {
		if p.isJoining && r.now-p.heardAt <= r.config.ElectionTimeout && r.admitLearner(p) {
			return
		}
	}
}

// mayChangeMembership reports whether a change may begin. An entry of the leader's own term has to be committed: until then the
// configuration that it counts by may be one that another leader's majority has replaced (Ongaro's correction of single-server
// changes, raft-dev mailing list, July 2015).
func (r *Raft) mayChangeMembership() bool {
	return r.hasCommittedOwnTerm() && r.log.isConfigurationCommitted()
}

// raiseProtocolVersion has the log state what all members speak once each has said so, so that it is known also of those that are
// silent later. It takes one entry in a cluster's life for each version.
func (r *Raft) raiseProtocolVersion() bool {
	common := r.protocolVersion()
	for _, member := range r.log.configuration.Members {
		if member.ID == r.config.Self.ID {
			continue
		}
		p := r.peers.get(member.ID)
		if p == nil || !p.hasAnswered || r.now-p.heardAt > r.config.ElectionTimeout {
			return false
		}
		common = min(common, p.protocolVersion)
	}
	return common > r.log.configuration.ProtocolVersion && containsMember(r.log.configuration.Members, r.config.Self.ID) &&
		r.proposeConfiguration(Configuration{Members: r.log.configuration.Members, ProtocolVersion: common})
}

// noMember is the place of a member that there is not.
const noMember = -1

// admitLearner gives a learner the place of a lost member, or a free one, and reports whether a change was proposed. The learner has
// to catch up first, so that the loss of another disk meanwhile leaves a majority that can commit (dissertation, section 4.2.1).
func (r *Raft) admitLearner(p *progress) bool {
	members := slices.Clone(r.log.configuration.Members)
	replaced, isFree := r.replaceableMember(p)
	if replaced == noMember && !isFree {
		return false
	}
	if replaced == noMember {
		return r.isCaughtUp(p) && r.proposeConfiguration(Configuration{
			Members:         append(members, p.Member),
			ProtocolVersion: r.protocolVersionWith(p, noMember),
		})
	}
	version := r.protocolVersionWith(p, replaced)
	if version < 1 { // one of them knows no joint change: the place is cleared first, by a change of a single member
		return r.proposeConfiguration(Configuration{Members: slices.Delete(members, replaced, replaced+1), ProtocolVersion: version})
	}
	if !r.isCaughtUp(p) {
		return false
	}
	members[replaced] = p.Member
	return r.proposeConfiguration(Configuration{Members: members, Outgoing: r.log.configuration.Members, ProtocolVersion: version})
}

// replaceableMember is the place of the member that a learner may replace: one at the learner's own address, for it came back
// without its disk; else, where there are as many as there should be, one that was silent for long or is going to stop. isFree: there
// is room for one more instead.
func (r *Raft) replaceableMember(p *progress) (place int, isFree bool) {
	self := r.config.Self.ID
	members := r.log.configuration.Members
	sameAddr := slices.IndexFunc(members, func(member Member) bool { return member.Addr == p.Addr && member.ID != self })
	if sameAddr != noMember {
		return sameAddr, false
	}
	if len(members) < r.config.ClusterSize {
		return noMember, true
	}
	silent := slices.IndexFunc(members, func(member Member) bool {
		return member.ID != self && !r.peers.heardAfter(member.ID, r.now-r.config.DeadMemberTimeout)
	})
	if silent != noMember {
		return silent, false
	}
	return slices.IndexFunc(members, func(member Member) bool { return r.isLeaving(member.ID) }), false
}

// isCaughtUp reports whether a learner has all that was committed at the last regular heartbeat.
func (r *Raft) isCaughtUp(p *progress) bool {
	return p.match > 0 && p.match >= r.leading.committedAtHeartbeat
}

// protocolVersionWith is what a learner and all members but the one at a place speak, as far as it is known.
func (r *Raft) protocolVersionWith(p *progress, without int) uint32 {
	common := min(r.protocolVersion(), p.protocolVersion)
	for i, member := range r.log.configuration.Members {
		if i != without && member.ID != r.config.Self.ID {
			common = min(common, r.protocolVersionOf(member.ID))
		}
	}
	return common
}

// protocolVersionOf is what a member speaks: what it said to this leader, or else what the log states of all.
func (r *Raft) protocolVersionOf(id ID) uint32 {
	if p := r.peers.get(id); p != nil && p.hasAnswered {
		return p.protocolVersion
	}
	return r.log.configuration.ProtocolVersion
}

// proposeConfiguration appends a configuration if a quorum of it is there to commit it, and reports whether it did.
func (r *Raft) proposeConfiguration(to Configuration) bool {
	if !to.hasQuorum(r.IsRecentlyActive) {
		return false
	}
	r.appendConfiguration(to)
	return true
}

func (r *Raft) appendConfiguration(to Configuration) {
	r.appendAsLeader(Entry{
		Kind:            EntryConfiguration,
		Members:         to.Members,
		Outgoing:        to.Outgoing,
		ProtocolVersion: to.ProtocolVersion,
	})
	r.Flush()
}

// continueConfigurationChange goes on with a change whose entry is committed. Behind a joint configuration comes the one of the new
// members alone; a leader that is no member of that hands over and steps down (Raft paper, section 6).
func (r *Raft) continueConfigurationChange() {
	configuration := r.log.configuration
	if configuration.Index > r.log.committed || !r.hasCommittedOwnTerm() {
		return
	}
	if configuration.isJoint() {
		r.appendConfiguration(Configuration{Members: configuration.Members, ProtocolVersion: configuration.ProtocolVersion})
		return
	}
	if !containsMember(configuration.Members, r.config.Self.ID) {
		r.broadcastHeartbeat() // the others learn that it is committed
		r.TransferLeadership(r.now)
		r.changeRole(follower, r.term, 0)
	}
}
