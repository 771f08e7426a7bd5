package raft

// recordLeader records contact with the leader of the current term. A term has at most one leader, so a candidate of the same term has
// lost and becomes a follower (Raft paper, section 5.2).
func (r *Raft) recordLeader(m Message) {
	if r.role != follower {
		r.changeRole(follower, r.term, m.From)
	}
	isNew := r.leaderID != m.From
	r.leaderID = m.From
	r.following.lastContactAt = r.now
	r.following.protocolVersion = m.ProtocolVersion
	r.resetElectionDeadline()
	if isNew && r.leave.requested {
		r.leave.requestedAt = 0 // the new leader does not know yet that this member is leaving
		r.advanceLeave()
	}
}

// recordCatchUp records the time if this member has committed all that the leader had committed when it sent the message.
func (r *Raft) recordCatchUp(m Message) {
	if r.log.committed >= m.Commit {
		r.following.caughtUpAt = r.now
	}
}

// handleAppendEntries appends the leader's entries if the log agrees with the leader's at the entry before them. It acknowledges only up to
// the last entry of the message: later entries in this log have not been compared, and may be from another leader (Raft paper, section
// 5.3).
func (r *Raft) handleAppendEntries(m Message) {
	reply := Message{Kind: AppendResponse, To: m.From, Term: r.term, HeartbeatRound: m.HeartbeatRound}
	if snapshot := r.log.snapshot; m.Index < snapshot.Index {
		// The entries that the snapshot covers are committed, so the log of every later leader contains them (Raft paper, section 5.4:
		// Leader Completeness). Only the entries after the snapshot have to be compared.
		m.Entries = m.Entries[min(snapshot.Index-m.Index, uint64(len(m.Entries))):]
		m.Index, m.LogTerm = snapshot.Index, snapshot.Term
		if len(m.Entries) == 0 {
			reply.Index = snapshot.Index
			r.recordCatchUp(m)
			r.sendAfterSave(reply)
			return
		}
	}
	if term, found := r.log.termAt(m.Index); !found || term != m.LogTerm {
		reply.Reject, reply.Hint = true, r.log.rejectHint(m.Index)
		r.sendAfterSave(reply)
		return
	}
	r.log.merge(m.Entries)
	if !r.IsNonMember() {
		r.join.notMemberNoticeAt = 0
		r.join.noticeVoters = nil
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	// The leader may have committed further entries, which were not compared here, so the commit index advances at most to the last compared
	// one (Raft paper, section 5.3).
	r.log.committed = max(r.log.committed, min(m.Commit, reply.Index))
	r.recordCatchUp(m)
	r.sendAfterSave(reply)
}
