package raft

import (
	"cmp"
	"slices"
	"time"
)

// campaignKind is why and how a member asks for votes.
type campaignKind uint8

const (
	campaignPreElection campaignKind = iota // asks first whether it would be elected (dissertation, section 9.6)
	campaignElection
	campaignTransfer // the leader asked for it (dissertation, section 3.10)
)

// campaign asks all voters for their pre-votes or votes. The requests are sent after the save, since this member's vote for itself, which
// they rely on, only counts once it is on disk.
func (r *Raft) campaign(kind campaignKind) {
	term := r.term + 1
	request := Message{Kind: RequestVote, Term: term}
	if kind == campaignPreElection {
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

// countVotes turns a pre-candidate into a candidate, or a candidate into the leader, once a quorum has voted for it. Two quorums share a
// member, which votes once in a term, so a term has at most one leader (Raft paper, section 5.2: Election Safety).
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

// becomeLeader appends an entry of the leader's own term: entries of earlier terms are only committed by committing a later one of its
// term (Raft paper, section 5.4.2), and until then the leader does not know what is committed (section 8).
func (r *Raft) becomeLeader() {
	r.changeRole(leader, r.term, r.config.Self.ID)
	r.peers = nil
	r.leading.electedAt, r.leading.logTimeAtElection = r.now, r.log.lastLogTime()
	r.leading.committedAtHeartbeat = r.log.committed
	r.trackVoters()
	r.appendAsLeader(Entry{Kind: EntryNoOp})
	r.broadcastHeartbeat()
}

// hearsLeader reports whether this member leads, or has heard from the leader in the last election timeout.
func (r *Raft) hearsLeader() bool {
	return r.role == leader || r.leaderID != 0 && r.now-r.followed.heardAt < r.config.ElectionTimeout
}

// isUpToDate reports whether the log of a member that asks for votes is at least as up to date as this one's. Because voters check that,
// no member that lacks a committed entry gets the votes of a majority (Raft paper, section 5.4.1).
func (r *Raft) isUpToDate(request Message) bool {
	return r.log.isUpToDate(position{request.Index, request.LogTerm})
}

// handlePreVote answers a pre-vote. The sender may have become a member by entries that are not in this log yet. So an unknown sender whose
// log is up to date is answered like a voter: it knows itself whose votes it needs.
func (r *Raft) handlePreVote(m Message) {
	if m.From == r.leaderID && m.Term > r.term {
		r.leaderID = 0 // the leader asks for votes, so it has restarted and no longer leads
	}
	granted := m.Term > r.term && !r.hearsLeader() && r.isUpToDate(m)
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
		r.preVoteInstead(m)
	}
}

// preVoteInstead starts a pre-vote of this member at once after it rejected another's only because the other lacks entries. Neither hears
// a leader, and the other can't be elected, so there is no reason to wait for this member's own deadline.
func (r *Raft) preVoteInstead(refused Message) {
	isBehind := refused.Term > r.term && !r.isUpToDate(refused)
	if isBehind && !r.hearsLeader() && r.role != candidate && !r.IsNonMember() {
		r.campaign(campaignPreElection)
	}
}

// handlePreVoteResponse counts a granted pre-vote. A granted one carries the term that was asked for, this member's next one; a
// rejected one carries the term of its sender, which this member adopts if it is later, so that its next request is not rejected for
// its term.
func (r *Raft) handlePreVoteResponse(m Message) {
	if r.role == preCandidate && m.Term == r.term+1 && !m.Reject {
		r.votes[m.From] = true
		r.countVotes()
	} else if m.Reject && m.Term > r.term {
		r.changeRole(follower, m.Term, 0)
	}
}

// isDisruptive reports whether a RequestVote of a later term has to be ignored, because its sender can't hear the leader that this member
// hears, or was removed from the configuration (dissertation, section 4.2.3). An unknown sender with an up-to-date log may be a new voter
// whose configuration entry has not come here yet, so it is heeded.
func (r *Raft) isDisruptive(m Message) bool {
	return r.hearsLeader() && m.Hint != leadershipTransferHint ||
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

// handleVoteResponse counts a granted vote. It is one of this term: Step has dropped those of earlier terms, and one of a later term has
// made this member a follower.
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

// resetElectionDeadline sets when this member campaigns next if it hears no leader until then.
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

// electionDelay returns how much longer than the election timeout this member waits before it campaigns. Members wait by their rank, and
// the random part is too small for two of them to campaign at the same time. With Raft's purely random timeouts (Raft paper, section
// 5.2) votes are split more often.
func (r *Raft) electionDelay() time.Duration {
	jitter := r.randomBelow(r.config.campaignJitter())
	return r.config.campaignRankDelay(r.voterRank(r.leaderID)) + jitter
}

// ReportLeaderExited reports that the process of a member has ended, by better evidence than silence: its host is reachable and refuses
// connections at its address. If that member is the leader that this one follows, isLeader is true, and the caller has to call Tick
// after wait, so that the rest of the election timeout is skipped. Wrong evidence does no harm: a member asks for pre-votes first, and
// follows a leader that is alive again with its next heartbeat.
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

// voterRank returns this member's position, from 0, among the voters other than one, in the order of their IDs.
func (r *Raft) voterRank(without ID) int {
	rank := 0
	for _, voter := range r.sortedVoters() {
		switch voter.ID {
		case r.config.Self.ID:
			return rank
		case without:
		default:
			rank++
		}
	}
	return rank
}

// sortedVoters returns the voters in the order of their IDs, which is the same on all members.
func (r *Raft) sortedVoters() []Member {
	return slices.SortedFunc(slices.Values(r.log.configuration.voters()), func(a, b Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
