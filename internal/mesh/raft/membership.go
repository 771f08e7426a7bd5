package raft

import "slices"

// Only the leader changes the membership, by configuration entries in the log. No operator has to order a change: a member asks to join
// (join.go), and the leader lets it replace a member that is lost or leaving, or adds it if the cluster is smaller than it should be. Only
// one change is made at a time, with joint consensus (Raft paper, section 6; dissertation, section 4.3), so that a majority of the former
// members and a majority of the new ones cannot make conflicting decisions.

// maintainMembership starts the next configuration change if one is due. It also drops learners that have been silent for too long.
func (r *Raft) maintainMembership() {
	r.peers = slices.DeleteFunc(r.peers, func(p *progress) bool {
		return !r.log.configuration.isVoter(p.ID) && r.now-p.lastContactAt > r.config.silentLearnerTimeout()
	})
	if !r.mayChangeMembership() || r.raiseProtocolVersion() {
		return
	}
	for _, p := range r.peers {
		if p.isJoining && r.now-p.lastContactAt <= r.config.ElectionTimeout && r.admitLearner(p) {
			return
		}
	}
}

// mayChangeMembership reports whether a change may begin. The previous change has to be complete, so that at most two configurations are
// in use at any time. In addition, an entry of the leader's own term has to be committed: until then another leader, elected by its own
// majority, may have replaced the configuration that this leader uses (Ongaro's correction of single-server changes, raft-dev mailing
// list, July 2015).
func (r *Raft) mayChangeMembership() bool {
	return r.hasCommittedOwnTerm() && r.log.isConfigurationCommitted()
}

// raiseProtocolVersion records in the log the protocol version that all members speak, once all have announced theirs. The leader then also
// knows the version of members that are silent. This takes one entry per version over the lifetime of a cluster.
func (r *Raft) raiseProtocolVersion() bool {
	common := r.protocolVersion()
	for _, member := range r.log.configuration.Members {
		if member.ID == r.config.Self.ID {
			continue
		}
		p := r.peers.get(member.ID)
		if p == nil || !p.hasAnswered || r.now-p.lastContactAt > r.config.ElectionTimeout {
			return false
		}
		common = min(common, p.protocolVersion)
	}
	return common > r.log.configuration.ProtocolVersion &&
		containsMember(r.log.configuration.Members, r.config.Self.ID) &&
		r.proposeConfiguration(Configuration{Members: r.log.configuration.Members, ProtocolVersion: common})
}

// noMemberIndex stands for no position in Members, like the -1 of package slices.
const noMemberIndex = -1

// admitLearner proposes to make a learner a voter, either replacing another member or in addition to all, and reports whether it did. The
// learner has to catch up first, so that the loss of another disk meanwhile leaves a majority that can commit (dissertation, section
// 4.2.1).
func (r *Raft) admitLearner(p *progress) bool {
	members := slices.Clone(r.log.configuration.Members)
	replaced, hasVacancy := r.replaceableMember(p)
	if replaced == noMemberIndex && !hasVacancy {
		return false
	}
	if replaced == noMemberIndex {
		return r.isCaughtUp(p) && r.proposeConfiguration(Configuration{
			Members:         append(members, p.Member),
			ProtocolVersion: r.protocolVersionWith(p, noMemberIndex),
		})
	}
	version := r.protocolVersionWith(p, replaced)
	if version < versionWithJointChange {
		// Not all members support joint changes, so the replaced member is removed first. Changing a single member is safe without a joint
		// change (dissertation, section 4.1).
		return r.proposeConfiguration(Configuration{Members: slices.Delete(members, replaced, replaced+1), ProtocolVersion: version})
	}
	if !r.isCaughtUp(p) {
		return false
	}
	members[replaced] = p.Member
	return r.proposeConfiguration(Configuration{Members: members, Outgoing: r.log.configuration.Members, ProtocolVersion: version})
}

// replaceableMember returns the position of the member that a learner may replace, or noMemberIndex. It is the member at the learner's own
// address, which has lost its disk and come back as this learner; or else, if the cluster has its full size, a member that has been silent
// for DeadMemberTimeout or is leaving. hasVacancy is true if the cluster is smaller than ClusterSize and the learner replaces nobody.
func (r *Raft) replaceableMember(p *progress) (replaced int, hasVacancy bool) {
	self := r.config.Self.ID
	members := r.log.configuration.Members
	sameAddr := slices.IndexFunc(members, func(member Member) bool { return member.Addr == p.Addr && member.ID != self })
	if sameAddr != noMemberIndex {
		return sameAddr, false
	}
	if len(members) < r.config.ClusterSize {
		return noMemberIndex, true
	}
	silent := slices.IndexFunc(members, func(member Member) bool {
		return member.ID != self && !r.peers.contactedAfter(member.ID, r.now-r.config.DeadMemberTimeout)
	})
	if silent != noMemberIndex {
		return silent, false
	}
	return slices.IndexFunc(members, func(member Member) bool { return r.isLeaving(member.ID) }), false
}

// isCaughtUp reports whether a learner has on disk all that was committed at the last regular heartbeat. It lacks entries committed since
// then for about one heartbeat interval at most.
func (r *Raft) isCaughtUp(p *progress) bool {
	return p.match > 0 && p.match >= r.leading.committedAtHeartbeat
}

// protocolVersionWith returns the highest version known to be spoken by the learner and all members except the one at the excluded
// position.
func (r *Raft) protocolVersionWith(p *progress, excluded int) uint32 {
	common := min(r.protocolVersion(), p.protocolVersion)
	for i, member := range r.log.configuration.Members {
		if i != excluded && member.ID != r.config.Self.ID {
			common = min(common, r.protocolVersionOf(member.ID))
		}
	}
	return common
}

// protocolVersionOf returns the version that a member has announced to this leader, or else the version that the log records for all
// members.
func (r *Raft) protocolVersionOf(id ID) uint32 {
	if p := r.peers.get(id); p != nil && p.hasAnswered {
		return p.protocolVersion
	}
	return r.log.configuration.ProtocolVersion
}

// proposeConfiguration appends a configuration if a quorum of its voters is active, and reports whether it did. A configuration that can't
// be committed would block the cluster, since it is in force as soon as it is appended.
func (r *Raft) proposeConfiguration(to Configuration) bool {
	if !to.hasQuorum(r.IsRecentlyActive) {
		return false
	}
	r.appendConfiguration(to)
	return true
}

// appendConfiguration appends a configuration, which is in force from now on, and replicates it.
func (r *Raft) appendConfiguration(to Configuration) {
	r.appendAsLeader(Entry{
		Kind:            EntryConfiguration,
		Members:         to.Members,
		Outgoing:        to.Outgoing,
		ProtocolVersion: to.ProtocolVersion,
	})
	r.Flush()
}

// continueConfigurationChange does the next step of a change once its configuration entry is committed. A joint configuration is followed
// by a configuration of the new members only. A leader that is not one of them transfers leadership and steps down (Raft paper, section
// 6).
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
		r.broadcastHeartbeat() // tells the others that the configuration is committed
		r.TransferLeadership(r.now)
		r.changeRole(follower, r.term, 0)
	}
}
