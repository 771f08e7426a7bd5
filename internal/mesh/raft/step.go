package raft

import "time"

// Step handles a message from another member. Messages may be lost, delayed, duplicated and reordered.
//
// A message of a later term makes this member a follower in that term. A message of an earlier term is rejected, so that the leader of an
// earlier term can't change this member's state (Raft paper, section 5.1). The cases before these two handle the messages that must not
// change the term: messages about joining, messages meant for another member, and pre-votes.
func (r *Raft) Step(now time.Duration, m Message) {
	r.advanceTime(now)
	switch {
	case m.Kind == JoinRequest: // its sender may only know this member's address, not its ID
		r.handleJoinRequest(m)
		return
	case m.To != r.config.Self.ID:
		return // meant for a member that used this address before
	case m.Kind == NotMember:
		r.handleNotMember(m)
		return
	case m.Kind == PreVote: // pre-votes and their responses do not change the term (dissertation, section 9.6)
		r.handlePreVote(m)
		return
	case m.Kind == PreVoteResponse:
		r.handlePreVoteResponse(m)
		return
	case m.Term > r.term:
		if m.Kind == RequestVote && r.isDisruptive(m) {
			r.sendNotMember(m)
			return
		}
		r.changeRole(follower, m.Term, 0)
	case m.Term < r.term:
		r.rejectStaleTerm(m)
		return
	}
	r.stepCurrentTerm(m)
}

// rejectStaleTerm tells the sender of a request with an earlier term the current term (Raft paper, section 5.1).
func (r *Raft) rejectStaleTerm(m Message) {
	switch m.Kind {
	case AppendEntries, InstallSnapshot, SnapshotChunk:
		r.sendAfterSave(Message{Kind: AppendResponse, To: m.From, Term: r.term, Reject: true, Hint: r.log.lastIndex()})
	case RequestVote:
		r.sendAfterSave(Message{Kind: VoteResponse, To: m.From, Term: r.term, Reject: true})
	default: // responses, and requests to the leader of an earlier term, are ignored
	}
}

// stepCurrentTerm handles a message of the current term.
func (r *Raft) stepCurrentTerm(m Message) {
	switch m.Kind {
	case AppendEntries:
		r.recordLeader(m)
		r.handleAppendEntries(m)
	case InstallSnapshot:
		r.recordLeader(m)
		r.handleInstallSnapshot(m)
	case SnapshotChunk:
		r.recordLeader(m)
		r.handleSnapshotChunk(m)
	case SnapshotChunkResponse:
		r.handleSnapshotChunkResponse(m)
	case AppendResponse:
		r.handleAppendResponse(m)
	case TimeoutNow:
		r.handleTimeoutNow(m)
	case RequestVote:
		r.handleRequestVote(m)
	case VoteResponse:
		r.handleVoteResponse(m)
	case LeaveRequest:
		r.handleLeaveRequest(m)
	case LeaveGranted:
		r.handleLeaveGranted(m)
	case JoinRequest, NotMember, PreVote, PreVoteResponse: // handled by Step regardless of their term
	}
}

// Tick performs the time-driven actions that are due, such as heartbeats and elections. It has to be called several times in each
// heartbeat interval.
func (r *Raft) Tick(now time.Duration) {
	r.advanceTime(now)
	if r.leave.requested {
		r.advanceLeave()
	}
	if r.role == leader {
		r.tickLeader()
		return
	}
	if r.mustJoin() {
		r.requestJoin()
	}
	if now < r.electionDeadline {
		return
	}
	r.leaderID = 0
	if r.mustJoin() {
		r.resetElectionDeadline()
	} else {
		r.campaign(campaignPreVote)
	}
}

// tickLeader sends heartbeats that are due, and maintains the membership. A leader that has not heard from a quorum for the check-quorum
// timeout steps down, so that clients look for another leader (dissertation, section 6.2). For a new leader the timeout starts with its
// election.
func (r *Raft) tickLeader() {
	span := r.config.checkQuorumTimeout()
	if r.now-r.leading.electedAt > span && !r.isQuorumActive(r.now, span) {
		r.changeRole(follower, r.term, 0)
		return
	}
	if r.now >= r.leading.nextHeartbeatAt {
		r.leading.committedAtHeartbeat = r.log.committed
		r.broadcastHeartbeat()
	}
	r.maintainMembership()
}

// changeRole changes the role and, if the given term is later, the term. A new term begins without a vote; term and vote are on disk before
// any message of the term is sent. If a leader steps down, its pending reads are rejected: responses to its heartbeats no longer prove that
// it leads.
func (r *Raft) changeRole(to role, term uint64, leaderID ID) {
	if term > r.term {
		r.term, r.vote = term, 0
		r.outbox.hardStateUnsaved = true
	}
	if r.role == leader && to != leader {
		r.rejectReads()
		r.peers = nil
	}
	r.role, r.leaderID = to, leaderID
	r.resetElectionDeadline()
}
