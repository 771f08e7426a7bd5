package raft

import "time"

// A non-member asks the leader to join. From then on it is a learner, until admitLearner makes it a voter. Members answer a non-member with
// the voters that they know, so that a removed member learns of its removal although it is not sent the log any more.

// maxLearners is how many learners a leader replicates to at once.
const maxLearners = 16

// joinState is the state of a member that has to join.
type joinState struct {
	// toldNonMemberAt is when a member that knows a later configuration last said that this one is no voter, or 0 if none has.
	toldNonMemberAt time.Duration
	contacts        []Member      // the voters that it named, which are only used to ask them to join
	requestedAt     time.Duration // when this member last asked to join, or 0 if it never has
}

// mustJoin reports whether this member has to ask to join: it is not a voter according to its own log, or to what others have lately said.
func (r *Raft) mustJoin() bool { return r.IsNonMember() || r.wasToldNonMember() }

// wasToldNonMember reports whether a member that knows a later configuration has lately said that this one is not a voter.
func (r *Raft) wasToldNonMember() bool {
	return r.join.toldNonMemberAt > 0 && r.now-r.join.toldNonMemberAt < r.config.notMemberSpan()
}

// handleNotMember handles the notice of a member that knows a later configuration. The notice only names the members to ask: the
// configuration that this member counts votes by stays that of its log, since only what is in the log is known to be agreed upon (Raft
// paper, section 6).
func (r *Raft) handleNotMember(m Message) {
	if m.ConfigurationIndex > r.log.configuration.Index {
		r.join.toldNonMemberAt = max(r.now, 1)
		r.join.contacts = m.Members
	}
}

// sendNotMember sends the voters to the sender of a message, unless it is a voter according to this member's log.
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

// requestJoin asks all known members to let this one join. The owner of this Raft asks those of whom it only knows the address.
func (r *Raft) requestJoin() {
	hasJustAsked := r.join.requestedAt > 0 && r.now-r.join.requestedAt < r.config.joinRequestInterval()
	isFollowing := r.now-r.followed.heardAt < r.config.leaderContactSpan() && !r.IsNonMember()
	if hasJustAsked || isFollowing {
		return
	}
	r.join.requestedAt = max(r.now, 1)
	known := Configuration{Members: r.log.configuration.voters(), Outgoing: r.join.contacts}
	for _, member := range known.voters() {
		if member.ID != r.config.Self.ID {
			r.sendAfterSave(Message{Kind: JoinRequest, To: member.ID, Addr: r.config.Self.Addr})
		}
	}
}

// handleJoinRequest makes the sender a learner, which the leader replicates to from now on. Other members answer with the voters. A learner
// counts for nothing, so any sender may become one; the leader decides in admitLearner whether it becomes a voter.
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
