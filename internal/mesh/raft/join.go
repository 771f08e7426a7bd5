package raft

import "time"

// A non-member asks the leader to join, and is a learner from then on until admitLearner gives it a place. Members answer one that
// is none with the voters that they know, so that a removed member learns of its removal though the log does not reach it any more.

// maxLearners that a leader brings up to date at once.
const maxLearners = 16

// joinState is what a member that has to join keeps.
type joinState struct {
	toldNonMemberAt time.Duration // when one that knows a later configuration said so last; 0: none did
	contacts        []Member      // the voters that it named: to be asked to join, and nothing else
	requestedAt     time.Duration // last; 0: never
}

// mustJoin reports whether this member has to ask to join: it is no voter by its own log, or by what others have lately said.
func (r *Raft) mustJoin() bool { return r.IsNonMember() || r.wasToldNonMember() }

// wasToldNonMember reports whether one that knows a later configuration has lately told this member that it is no voter.
func (r *Raft) wasToldNonMember() bool {
	return r.join.toldNonMemberAt > 0 && r.now-r.join.toldNonMemberAt < 2*r.config.ElectionTimeout
}

// handleNotMember takes the word of one that knows a later configuration. It changes nothing of what this member counts by, which is
// the log's alone: it only names whom to ask.
func (r *Raft) handleNotMember(m Message) {
	if m.ConfigurationIndex > r.log.configuration.Index {
		r.join.toldNonMemberAt, r.join.contacts = max(r.now, 1), m.Members
	}
}

// sendNotMember tells one that is no voter by this member's log who the voters are.
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

// requestJoin asks all that are known to take this member in. Those that are known by their address only are asked by the caller.
func (r *Raft) requestJoin() {
	hasJustAsked := r.join.requestedAt > 0 && r.now-r.join.requestedAt < r.config.ElectionTimeout/4
	isFollowing := r.now-r.followed.heardAt < r.config.ElectionTimeout/2 && !r.IsNonMember()
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

// handleJoinRequest has a leader keep a learner up to date from now on. Others tell it who the voters are.
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
