package raft

import (
	"cmp"
	"slices"
	"time"
)

// campaignKind is the kind of election that a member starts.
type campaignKind uint8

const (
	campaignPreVote  campaignKind = iota // asks for pre-votes, and for votes once a quorum grants them (dissertation, section 9.6)
	campaignElection                     // asks for votes
	campaignTransfer                     // asks for votes because the leader transfers leadership (dissertation, section 3.10)
)

// campaign asks all voters for their pre-votes or votes. The requests are sent after the next save: a candidate's vote for itself has to be
// on disk before other members vote for it.
func (r *Raft) campaign(kind campaignKind) {
	term := r.term + 1
	request := Message{Kind: RequestVote, Term: term}
	if kind == campaignPreVote {
		request.Kind = PreVote
		r.changeRole(preCandidate, r.term, 0)
	} else {
		r.changeRole(candidate, term, 0)
		r.vote = r.config.Self.ID
		r.outbox.hardStateUnsaved = true
	}
	if kind == campaignTransfer {
		request.Hint = leadershipTransferHint
	}
	request.Index = r.log.lastIndex()
	request.LogTerm = r.log.lastTerm()
	r.votes = map[ID]bool{r.config.Self.ID: true}
	for _, voter := range r.log.configuration.voters() {
		if voter.ID != r.config.Self.ID {
			request.To = voter.ID
			r.sendAfterSave(request)
		}
	}
	r.countVotes()
}

// countVotes makes a pre-candidate a candidate, or a candidate the leader, once a quorum has voted for it. Any two quorums share a member,
// which votes once in a term, so a term has at most one leader (Raft paper, section 5.2: Election Safety).
func (r *Raft) countVotes() {
	if !r.log.configuration.hasQuorum(func(id ID) bool { return r.votes[id] }) {
		return
	}
	if r.role == preCandidate {
		r.campaign(campaignElection)
		return
	}
	r.becomeLeader()
}

// becomeLeader makes this member the leader and appends a no-op entry of its own term. Entries of earlier terms are only committed together
// with a later entry of the leader's term (Raft paper, section 5.4.2), and until then the leader does not know what is committed
// (section 8).
func (r *Raft) becomeLeader() {
	r.changeRole(leader, r.term, r.config.Self.ID)
	r.peers = nil
	r.leading.electedAt, r.leading.logTimeAtElection = r.now, r.log.lastLogTime()
	r.leading.committedAtHeartbeat = r.log.committed
	r.trackVoters()
	r.appendAsLeader(Entry{Kind: EntryNoOp})
	r.broadcastHeartbeat()
}

// hasActiveLeader reports whether this member leads, or has heard from its leader within the last election timeout.
func (r *Raft) hasActiveLeader() bool {
	return r.role == leader || r.leaderID != 0 && r.now-r.following.lastContactAt < r.config.ElectionTimeout
}

// isUpToDate reports whether the log of the sender of a pre-vote or vote request is at least as up to date as this member's log. Because
// voters check this, no member that lacks a committed entry gets the votes of a majority (Raft paper, section 5.4.1).
func (r *Raft) isUpToDate(request Message) bool {
	return r.log.isUpToDate(position{request.Index, request.LogTerm})
}

// handlePreVote answers a request for a pre-vote. The sender may have become a voter by an entry that has not reached this member's log.
// Therefore an unknown sender with an up-to-date log is answered like a voter: it decides by its own configuration whose votes it needs.
func (r *Raft) handlePreVote(m Message) {
	if m.From == r.leaderID && m.Term > r.term {
		r.leaderID = 0 // the leader asks for pre-votes, so it has restarted and no longer leads
	}
	granted := m.Term > r.term && !r.hasActiveLeader() && r.isUpToDate(m)
	if !granted && !r.log.configuration.isVoter(m.From) {
		r.sendNotMember(m)
		return
	}
	term := m.Term
	if !granted {
		term = r.term
	}
	r.sendAfterSave(Message{Kind: PreVoteResponse, To: m.From, Term: term, Reject: !granted})
	if !granted {
		r.preVoteAfterRejecting(m)
	}
}

// preVoteAfterRejecting starts a pre-vote of this member at once if it rejected a pre-vote only because the sender lacks entries. Neither
// member has a leader, and the sender can't be elected, so there is no reason to wait for this member's own election deadline.
func (r *Raft) preVoteAfterRejecting(rejected Message) {
	isBehind := rejected.Term > r.term && !r.isUpToDate(rejected)
	if isBehind && !r.hasActiveLeader() && r.role != candidate && !r.IsNonMember() {
		r.campaign(campaignPreVote)
	}
}

// handlePreVoteResponse counts a granted pre-vote. A granted response carries the requested term, which is this member's next one. A
// rejected response carries the sender's term, which this member adopts if it is later, so that its next request is not rejected for its
// term.
func (r *Raft) handlePreVoteResponse(m Message) {
	if r.role == preCandidate && m.Term == r.term+1 && !m.Reject {
		r.votes[m.From] = true
		r.countVotes()
	} else if m.Reject && m.Term > r.term {
		r.changeRole(follower, m.Term, 0)
	}
}

// isDisruptive reports whether a RequestVote of a later term has to be ignored: because this member is in contact with a leader, which the
// sender is not, or because the sender was removed from the configuration (dissertation, section 4.2.3). A request from an unknown sender
// with an up-to-date log is not ignored: it may be a new voter whose configuration entry has not reached this member.
func (r *Raft) isDisruptive(m Message) bool {
	return r.hasActiveLeader() && m.Hint != leadershipTransferHint ||
		!r.log.configuration.isVoter(m.From) && !r.isUpToDate(m)
}

// handleRequestVote votes at most once in a term, and only for a member whose log is up to date (Raft paper, sections 5.2 and 5.4.1).
func (r *Raft) handleRequestVote(m Message) {
	granted := (r.vote == 0 || r.vote == m.From) && r.isUpToDate(m)
	if granted && r.vote == 0 {
		r.vote = m.From
		r.outbox.hardStateUnsaved = true
		r.resetElectionDeadline()
	}
	r.sendAfterSave(Message{Kind: VoteResponse, To: m.From, Term: r.term, Reject: !granted})
}

// handleVoteResponse counts a granted vote. The vote is of the current term: Step has dropped responses of earlier terms, and a response of
// a later term has made this member a follower.
func (r *Raft) handleVoteResponse(m Message) {
	if r.role == candidate && !m.Reject {
		r.votes[m.From] = true
		r.countVotes()
	}
}

// handleTimeoutNow starts an election at once, because the leader that this member follows transfers leadership to it.
func (r *Raft) handleTimeoutNow(m Message) {
	if r.role == follower && m.From == r.leaderID && containsMember(r.log.configuration.Members, r.config.Self.ID) {
		r.campaign(campaignTransfer)
	}
}

// resetElectionDeadline sets when this member campaigns next, unless it hears from a leader before.
func (r *Raft) resetElectionDeadline() {
	switch r.role {
	case follower:
		r.electionDeadline = r.now + r.config.ElectionTimeout + r.electionDelay()
	case preCandidate:
		wait := r.config.preVoteRetryDelay()
		r.electionDeadline = r.now + wait + r.randomBelow(wait)
	case candidate, leader:
		r.electionDeadline = r.now + r.config.ElectionTimeout + r.randomBelow(r.config.ElectionTimeout)
	}
}

// electionDelay returns how much longer than the election timeout this follower waits before it campaigns. The delay grows with the
// member's rank, and its random part is too small for members of different ranks to campaign at the same time. With Raft's purely random
// timeouts (Raft paper, section 5.2) votes are split more often.
func (r *Raft) electionDelay() time.Duration {
	jitter := r.randomBelow(r.config.campaignJitter())
	return r.config.campaignRankDelay(r.voterRank(r.leaderID)) + jitter
}

// ReportLeaderExited tells this member that the process of another member has ended. The caller needs better evidence than silence: the
// host is reachable and refuses connections at the member's address. If the exited member is the leader that this one follows, isLeader is
// true and the caller has to call Tick after wait, which skips the rest of the election timeout. A wrong report does no harm: this member
// asks for pre-votes first, and follows a leader that is still alive again as soon as its next heartbeat arrives.
func (r *Raft) ReportLeaderExited(now time.Duration, id ID) (wait time.Duration, isLeader bool) {
	r.advanceTime(now)
	if r.role != follower || r.leaderID != id || id == r.config.Self.ID || r.IsNonMember() {
		return 0, false
	}
	wait = r.config.leaderExitDelay(r.voterRank(id))
	r.leaderID = 0
	r.electionDeadline = r.now + wait
	return wait, true
}

// voterRank returns this member's position, from 0, among the voters sorted by ID, without the excluded voter.
func (r *Raft) voterRank(excluded ID) int {
	rank := 0
	for _, voter := range r.sortedVoters() {
		switch voter.ID {
		case r.config.Self.ID:
			return rank
		case excluded:
		default:
			rank++
		}
	}
	return rank
}

// sortedVoters returns the voters sorted by ID, so that all members get the same order.
func (r *Raft) sortedVoters() []Member {
	return slices.SortedFunc(slices.Values(r.log.configuration.voters()), func(a, b Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
