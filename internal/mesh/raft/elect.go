package raft

import "time"

func (c *Raft) resetElectionDeadline() {
	least := c.config.ElectionTimeout
	if c.role == preCandidate { // asking disturbs nobody, and who was not there may be by now
		least /= 4
	}
	if c.role == follower {
		c.electionDeadline = c.now + least + c.electionDelay()
		return
	}
	c.electionDeadline = c.now + least + time.Duration(c.rng.Int64N(int64(least)))
}

// Tick lets time pass.
func (c *Raft) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.leaving {
		c.advanceLeave()
	}
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.IsNonMember() || c.wasToldNonMember() {
		c.requestJoin()
	}
	if now < c.electionDeadline {
		return
	}
	c.leaderID = 0
	if c.IsNonMember() || c.wasToldNonMember() {
		c.resetElectionDeadline()
	} else {
		c.campaign(preCandidate)
	}
}

func (c *Raft) tickLeader() {
	if c.now-c.electedAt > 2*c.config.ElectionTimeout && !c.isQuorumActive(c.now, 2*c.config.ElectionTimeout) { // check quorum
		c.changeRole(follower, c.term, 0)
		return
	}
	if c.now >= c.nextHeartbeatAt {
		c.committedAtHeartbeat = c.committed
		c.broadcastHeartbeat()
	}
	c.maintainMembership()
}

func (c *Raft) changeRole(r role, term uint64, lead ID) {
	if term > c.term {
		c.term, c.vote, c.hardStateUnsaved = term, 0, true
	}
	if c.role == leader && r != leader {
		c.rejectReads()
		c.peers = nil
	}
	c.role, c.leaderID = r, lead
	c.resetElectionDeadline()
}

func (c *Raft) campaign(r role) {
	term := c.term + 1
	kind := PreVote
	if r == candidate {
		c.changeRole(candidate, term, 0)
		c.vote, c.hardStateUnsaved, kind = c.config.Self.ID, true, RequestVote
	} else {
		c.changeRole(preCandidate, c.term, 0)
	}
	c.votes = map[ID]bool{c.config.Self.ID: true}
	for _, m := range c.configuration.voters() {
		if m.ID != c.config.Self.ID {
			x := Message{Kind: kind, From: c.config.Self.ID, To: m.ID, Term: term, Index: c.lastIndex(), LogTerm: c.lastTerm()}
			if c.electionByTransfer {
				x.Hint = leadershipTransferHint
			}
			c.messagesAfterSave = append(c.messagesAfterSave, x)
		}
	}
	c.countVotes()
}

func (c *Raft) countVotes() {
	if !c.configuration.hasQuorum(func(id ID) bool { return c.votes[id] }) {
		return
	}
	if c.role == preCandidate {
		c.campaign(candidate)
		return
	}
	c.changeRole(leader, c.term, c.config.Self.ID)
	c.peers, c.electedAt, c.logTimeAtElection = nil, c.now, c.lastLogTime()
	c.committedAtHeartbeat = c.committed
	c.trackVoters()
	c.appendAsLeader(Entry{Kind: EntryNoOp})
	c.broadcastHeartbeat()
}

// hearsLeader says that there is a leader as far as this one knows.
func (c *Raft) hearsLeader() bool {
	return c.role == leader || c.leaderID != 0 && c.now-c.leaderHeardAt < c.config.ElectionTimeout
}

func (c *Raft) isUpToDate(m Message) bool {
	return m.LogTerm > c.lastTerm() || m.LogTerm == c.lastTerm() && m.Index >= c.lastIndex()
}

// handlePreVote answers a pre-vote. One that is no member here may be one all the same, by entries that this one lacks: if its
// log is as long, it is answered like any other, and it alone knows whose votes it needs.
func (c *Raft) handlePreVote(m Message) {
	if m.From == c.leaderID && m.Term > c.term {
		c.leaderID = 0 // it asks for votes, so it has started again and leads no more
	}
	yes := m.Term > c.term && !c.hearsLeader() && c.isUpToDate(m)
	if !yes && !c.configuration.isVoter(m.From) {
		c.sendNotMember(m)
		return
	}
	term := m.Term
	if !yes {
		term = c.term
	}
	c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: PreVoteResponse, From: c.config.Self.ID, To: m.From, Term: term, Reject: !yes})
	if !yes {
		c.preVoteInstead(m)
	}
}

// handlePreVoteResponse takes the answer to a pre-vote.
func (c *Raft) handlePreVoteResponse(m Message) {
	if c.role == preCandidate && m.Term == c.term+1 && !m.Reject {
		c.votes[m.From] = true
		c.countVotes()
	} else if m.Reject && m.Term > c.term {
		c.changeRole(follower, m.Term, 0)
	}
}

// isDisruptive says that an Elect of a later term is not to be heard: its sender can't hear the leader that others hear, or it was
// let go.
func (c *Raft) isDisruptive(m Message) bool {
	return c.hearsLeader() && m.Hint != leadershipTransferHint || !c.configuration.isVoter(m.From) && !c.isUpToDate(m)
}

func (c *Raft) handleRequestVote(m Message) {
	yes := (c.vote == 0 || c.vote == m.From) && c.isUpToDate(m)
	if yes && c.vote == 0 {
		c.vote, c.hardStateUnsaved = m.From, true
		c.resetElectionDeadline()
	}
	c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: VoteResponse, From: c.config.Self.ID, To: m.From, Term: c.term, Reject: !yes})
}
