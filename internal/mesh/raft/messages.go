package raft

import (
	"slices"
	"time"
)

// Step takes a message.
func (c *Raft) Step(now time.Duration, m Message) {
	c.now = max(c.now, now)
	switch {
	case m.Kind == JoinRequest:
		c.handleJoinRequest(m)
		return
	case m.To != c.config.Self.ID:
		return // meant for another that was at this address
	case m.Kind == NotMember:
		c.handleNotMember(m)
		return
	case m.Kind == PreVote:
		c.handlePreVote(m)
		return
	case m.Kind == PreVoteResponse:
		c.handlePreVoteResponse(m)
		return
	case m.Term > c.term:
		if m.Kind == RequestVote && c.isDisruptive(m) {
			c.sendNotMember(m)
			return
		}
		c.changeRole(follower, m.Term, 0)
	case m.Term < c.term:
		c.rejectStaleTerm(m)
		return
	}
	c.stepCurrentTerm(m)
}

// rejectStaleTerm tells one of an earlier term of this one's.
func (c *Raft) rejectStaleTerm(m Message) {
	switch m.Kind {
	case AppendEntries, InstallSnapshot, SnapshotChunk:
		c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: AppendResponse, From: c.config.Self.ID, To: m.From, Term: c.term, Reject: true, Hint: c.lastIndex()})
	case RequestVote:
		c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: VoteResponse, From: c.config.Self.ID, To: m.From, Term: c.term, Reject: true})
	}
}

// stepCurrentTerm takes a message of the present term.
func (c *Raft) stepCurrentTerm(m Message) {
	switch m.Kind {
	case AppendEntries:
		c.recordLeader(m)
		c.handleAppendEntries(m)
	case InstallSnapshot:
		c.recordLeader(m)
		c.handleInstallSnapshot(m)
	case SnapshotChunk:
		c.recordLeader(m)
		c.handleSnapshotChunk(m)
	case SnapshotChunkResponse:
		c.handleSnapshotChunkResponse(m)
	case TimeoutNow:
		if c.role == follower && m.From == c.leaderID && containsMember(c.configuration.Members, c.config.Self.ID) {
			c.electionByTransfer = true
			c.campaign(candidate)
			c.electionByTransfer = false
		}
	case AppendResponse:
		c.handleAppendResponse(m)
	case LeaveRequest:
		c.handleLeaveRequest(m)
	case LeaveGranted:
		c.leaveGranted = c.leaveGranted || c.leaving && m.From == c.leaderID
	case RequestVote:
		c.handleRequestVote(m)
	case VoteResponse:
		if c.role == candidate && !m.Reject {
			c.votes[m.From] = true
			c.countVotes()
		}
	}
}

// recordLeader notes that the term's leader is there.
func (c *Raft) recordLeader(m Message) {
	if c.role != follower {
		c.changeRole(follower, c.term, m.From)
	}
	changed := c.leaderID != m.From
	c.leaderID, c.leaderHeardAt, c.leaderProtocolVersion = m.From, c.now, m.ProtocolVersion
	c.resetElectionDeadline()
	if changed && c.leaving {
		c.leaveRequestedAt = 0
		c.advanceLeave()
	}
}

// recordCatchUp notes whether this one has all that the leader says is committed.
func (c *Raft) recordCatchUp(m Message) {
	if c.committed >= m.Commit {
		c.caughtUpAt = c.now
	}
}

func (c *Raft) handleAppendEntries(m Message) {
	reply := Message{Kind: AppendResponse, From: c.config.Self.ID, To: m.From, Term: c.term, HeartbeatRound: m.HeartbeatRound}
	if m.Index < c.snapshot.Index { // what the snapshot stands for is committed, and agrees
		skip := min(c.snapshot.Index-m.Index, uint64(len(m.Entries)))
		m.Entries = m.Entries[skip:]
		m.Index = c.snapshot.Index
		m.LogTerm = c.snapshot.Term
		if len(m.Entries) == 0 {
			reply.Index = c.snapshot.Index
			c.recordCatchUp(m)
			c.messagesAfterSave = append(c.messagesAfterSave, reply)
			return
		}
	}
	if t, known := c.termAt(m.Index); !known || t != m.LogTerm {
		reply.Reject, reply.Hint = true, c.rejectHint(m.Index, known)
		c.messagesAfterSave = append(c.messagesAfterSave, reply)
		return
	}
	c.mergeEntries(m.Entries)
	if c.configuration.isVoter(c.config.Self.ID) {
		c.toldNonMemberAt, c.joinContacts = 0, nil
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.committed = max(c.committed, min(m.Commit, reply.Index))
	c.recordCatchUp(m)
	c.messagesAfterSave = append(c.messagesAfterSave, reply)
}

// mergeEntries takes the leader's entries, whose place in the log agrees, over those that are of another term.
func (c *Raft) mergeEntries(entries []Entry) {
	for i, e := range entries {
		t, known := c.termAt(e.Index)
		if known && t == e.Term {
			continue
		}
		if known {
			c.truncateFrom(e.Index)
		}
		c.appendEntries(entries[i:]...)
		return
	}
}

// rejectHint is where the log may agree with the leader's, whose entry at an index it lacks or has of another term (known).
func (c *Raft) rejectHint(index uint64, known bool) uint64 {
	hint := min(index-1, c.lastIndex())
	if !known {
		return hint
	}
	// All that this one has of that term is of a leader that is none any more: a try for each entry would take as long as
	// a beat each. What is committed agrees.
	for at := hint; at > c.committed; at-- {
		if x, _ := c.termAt(at); x != c.termOf(index) {
			break
		}
		hint = at - 1
	}
	return max(c.committed, hint)
}

func (c *Raft) termOf(index uint64) uint64 { t, _ := c.termAt(index); return t }

func (c *Raft) handleInstallSnapshot(m Message) {
	if s := m.Snapshot; s != nil && s.Index > c.committed && len(s.Members) > 0 {
		c.restoreSnapshot(*s)
	}
	c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: AppendResponse, From: c.config.Self.ID, To: m.From, Term: c.term, Index: c.committed, HeartbeatRound: m.HeartbeatRound})
}

// restoreSnapshot puts a snapshot in the place of the log up to it.
func (c *Raft) restoreSnapshot(s Snapshot) {
	if t, known := c.termAt(s.Index); known && t == s.Term {
		c.entries = slices.Clone(c.entriesFrom(s.Index + 1))
	} else {
		c.entries = nil
	}
	c.logStart = position{s.Index, s.Term}
	c.snapshot, c.snapshotUnsaved, c.committed, c.incoming = s, true, s.Index, nil
	c.savedIndex = max(min(c.savedIndex, c.lastIndex()), s.Index)
	c.firstUnsavedIndex = 0
	if len(c.entries) > 0 {
		c.firstUnsavedIndex = s.Index + 1
	}
	c.refreshConfiguration()
}

func (c *Raft) handleAppendResponse(m Message) {
	p := c.peers.get(m.From)
	if c.role != leader || p == nil {
		return
	}
	p.recordContact(c.now, m)
	p.answeredRound = max(p.answeredRound, m.HeartbeatRound)
	p.recordReturn(m)
	if m.Reject {
		p.next, p.inflight = max(p.match+1, min(m.Hint+1, c.lastIndex()+1)), nil
		if !p.paused {
			c.replicateTo(p)
			p.paused = true
		}
	} else {
		p.acknowledge(m.Index)
		p.next = max(p.next, p.match+1)
		p.paused = false
		c.advanceCommit()
		if c.role == leader && p.next <= c.lastIndex() {
			c.replicateTo(p)
		}
	}
	c.confirmReads()
	c.grantLeaves()
}
