package raft

import "time"

// A non-member asks the leader to let it join. It is a learner from then on, until admitLearner makes it a voter. Other members answer the
// request with the voters that they know, so that a removed member learns of its removal although the log is no longer replicated to it.

// maxLearners is how many learners a leader replicates to at once.
const maxLearners = 16

// joinState is the state of a member with respect to joining the cluster.
type joinState struct {
	// notMemberNoticeAt is when this member last received a NotMember message with a later configuration than its own, or 0 if it never has.
	notMemberNoticeAt time.Duration
	noticeVoters      []Member      // the voters listed in that message; used only as receivers of JoinRequest
	requestedAt       time.Duration // when this member last sent JoinRequest, or 0 if it never has
}

// mustJoin reports whether this member has to ask to join: it is not a voter according to its own log or to a recent NotMember message.
func (r *Raft) mustJoin() bool { return r.IsNonMember() || r.hasNotMemberNotice() }

// hasNotMemberNotice reports whether this member has recently received a NotMember message with a later configuration than its own.
func (r *Raft) hasNotMemberNotice() bool {
	return r.join.notMemberNoticeAt > 0 && r.now-r.join.notMemberNoticeAt < r.config.notMemberNoticeTimeout()
}

// handleNotMember records a NotMember message if its configuration is later than this member's. The voters in the message are only asked to
// let this member join. For counting votes, this member keeps using the configuration of its log, since only the log is known to be agreed
// upon (Raft paper, section 6).
func (r *Raft) handleNotMember(m Message) {
	if m.ConfigurationIndex > r.log.configuration.Index {
		r.join.notMemberNoticeAt = max(r.now, 1)
		r.join.noticeVoters = m.Members
	}
}

// sendNotMember sends NotMember with the current voters to the sender of a message, unless the sender is a voter according to this
// member's log.
func (r *Raft) sendNotMember(m Message) {
	configuration := r.log.configuration
	if configuration.isVoter(m.From) {
		return
	}
	r.sendAfterSave(Message{
		Kind:               NotMember,
		To:                 m.From,
		Term:               r.term,
		Members:            configuration.voters(),
		ConfigurationIndex: configuration.Index,
		Addr:               m.Addr,
	})
}

// requestJoin sends JoinRequest to all known voters. The caller of this package sends it to members of which only the address is known.
func (r *Raft) requestJoin() {
	hasRequestedLately := r.join.requestedAt > 0 && r.now-r.join.requestedAt < r.config.joinRequestInterval()
	isFollowing := r.now-r.following.lastContactAt < r.config.leaderContactTimeout() && !r.IsNonMember()
	if hasRequestedLately || isFollowing {
		return
	}
	r.join.requestedAt = max(r.now, 1)
	receivers := Configuration{Members: r.log.configuration.voters(), Outgoing: r.join.noticeVoters}
	for _, member := range receivers.voters() {
		if member.ID != r.config.Self.ID {
			r.sendAfterSave(Message{Kind: JoinRequest, To: member.ID, Addr: r.config.Self.Addr})
		}
	}
}

// handleJoinRequest makes the sender a learner, to which the leader replicates from now on. A member that does not lead answers with
// NotMember. A learner counts towards no majority, so any sender may become one; admitLearner decides whether it becomes a voter.
func (r *Raft) handleJoinRequest(m Message) {
	if r.role != leader {
		r.sendNotMember(m)
		return
	}
	p := r.peers.get(m.From)
	if p == nil {
		if len(r.peers) >= len(r.log.configuration.voters())+maxLearners {
			return
		}
		p = &progress{Member: Member{ID: m.From, Addr: m.Addr}, next: r.log.lastIndex() + 1}
		r.peers.insert(p)
		p.recordContact(r.now, m)
		r.replicateTo(p)
	}
	if !r.log.configuration.isVoter(m.From) {
		p.Addr, p.isJoining = m.Addr, true
	}
	p.recordContact(r.now, m)
}
