package raft

import "slices"

// The membership is changed by the leader alone, by configuration entries in the log. Nobody orders a change: a member asks to join
// (join.go), and the leader puts it in the place of one that is lost or leaves, or in a place that is free. One change is made at a
// time, and with joint consensus (Raft paper, section 6; dissertation, section 4.3), so that no majority of the members before can
// decide otherwise than a majority of those after.

// maintainMembership starts the next configuration change if one is due. It also forgets learners that have gone.
func (r *Raft) maintainMembership() {
	r.peers = slices.DeleteFunc(r.peers, func(p *progress) bool {
		return !r.log.configuration.isVoter(p.ID) && r.now-p.heardAt > r.config.forgetLearnerSpan()
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

// mayChangeMembership reports whether a change may begin. The change before it has to be complete, so that at most two memberships are
// ever in use. An entry of the leader's own term has to be committed as well: until then a majority of another leader may have replaced
// the configuration that this leader uses (Ongaro's correction of single-server changes, raft-dev mailing list, July 2015).
func (r *Raft) mayChangeMembership() bool {
	return r.hasCommittedOwnTerm() && r.log.isConfigurationCommitted()
}

// raiseProtocolVersion records in the log the protocol version that all members speak, once each has announced it, so that it is known
// also of members that are silent later. It needs one entry per version over the lifetime of a cluster.
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
	return common > r.log.configuration.ProtocolVersion &&
		containsMember(r.log.configuration.Members, r.config.Self.ID) &&
		r.proposeConfiguration(Configuration{Members: r.log.configuration.Members, ProtocolVersion: common})
}

// noMember is the position of a member that does not exist.
const noMember = -1

// admitLearner proposes to make a learner a voter, in place of a lost member or in addition, and reports whether it did. The learner has to
// catch up first, so that the loss of another disk meanwhile leaves a majority that can commit (dissertation, section 4.2.1).
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
	if version < versionWithJointChange {
		// One of them knows no joint change, so the place is cleared first by a change of a single member, which is safe by itself
		// (dissertation, section 4.1).
		return r.proposeConfiguration(Configuration{Members: slices.Delete(members, replaced, replaced+1), ProtocolVersion: version})
	}
	if !r.isCaughtUp(p) {
		return false
	}
	members[replaced] = p.Member
	return r.proposeConfiguration(Configuration{Members: members, Outgoing: r.log.configuration.Members, ProtocolVersion: version})
}

// replaceableMember returns the position of the member that a learner may replace. That is the one at the learner's own address, which has
// come back without its disk; or else, if the cluster has its full size, one that has been silent for long or that leaves. isFree says
// that the cluster is smaller than it should be, so that the learner replaces nobody.
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

// isCaughtUp reports whether a learner has on disk all that was committed at the last regular heartbeat. What has been committed since then
// it lacks for at most about a heartbeat interval.
func (r *Raft) isCaughtUp(p *progress) bool {
	return p.match > 0 && p.match >= r.leading.committedAtHeartbeat
}

// protocolVersionWith returns the version that a learner and all members but the one at a position speak, as far as is known.
func (r *Raft) protocolVersionWith(p *progress, without int) uint32 {
	common := min(r.protocolVersion(), p.protocolVersion)
	for i, member := range r.log.configuration.Members {
		if i != without && member.ID != r.config.Self.ID {
			common = min(common, r.protocolVersionOf(member.ID))
		}
	}
	return common
}

// protocolVersionOf returns the version that a member speaks: what it announced to this leader, or else what the log records for all.
func (r *Raft) protocolVersionOf(id ID) uint32 {
	if p := r.peers.get(id); p != nil && p.hasAnswered {
		return p.protocolVersion
	}
	return r.log.configuration.ProtocolVersion
}

// proposeConfiguration appends a configuration if a quorum of it is active and can commit it, and reports whether it did. A
// configuration that can't be committed would block the cluster, since it is used from the moment it is appended.
func (r *Raft) proposeConfiguration(to Configuration) bool {
	if !to.hasQuorum(r.IsRecentlyActive) {
		return false
	}
	r.appendConfiguration(to)
	return true
}

// appendConfiguration appends a configuration, which is used from now on, and sends it.
func (r *Raft) appendConfiguration(to Configuration) {
	r.appendAsLeader(Entry{
		Kind:            EntryConfiguration,
		Members:         to.Members,
		Outgoing:        to.Outgoing,
		ProtocolVersion: to.ProtocolVersion,
	})
	r.Flush()
}

// continueConfigurationChange continues a change whose entry is committed. A joint configuration is followed by that of the new members
// alone. A leader that is not among them transfers leadership and steps down (Raft paper, section 6).
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
