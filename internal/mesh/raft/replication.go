package raft

import (
	"slices"
	"time"
)

// Limits on the entries in one message, and on the bytes of entries in flight to one peer. A single entry of any size may be sent in one
// message. A heartbeat never waits behind more than maxInflightBytes.
const (
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 32 << 10
	maxInflightBytes     = 64 << 10
)

// Propose appends a command to the leader's log. ok is false if this member does not lead or is transferring leadership. The command is
// committed once Ready returns the entry with this index and term among CommittedEntries. It is lost if Ready returns an entry of another
// term at the index. Flush sends it to the other members.
func (r *Raft) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	r.advanceTime(now)
	if r.role != leader || r.isTransferringLeadership() {
		return 0, 0, false
	}
	entry := r.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	return entry.Index, entry.Term, true
}

// Flush sends the entries proposed since the last call. Callers propose several commands before a Flush to send them in one message.
func (r *Raft) Flush() {
	if r.role != leader {
		return
	}
	for _, p := range r.peers {
		if !p.paused && p.next <= r.log.lastIndex() {
			r.replicateTo(p)
		}
	}
}

// BroadcastCommit sends the commit index to the others at once, rather than with the next regular heartbeat. It does nothing on a follower.
func (r *Raft) BroadcastCommit(now time.Duration) {
	r.advanceTime(now)
	if r.role == leader {
		r.broadcastHeartbeat()
	}
}

// LogTime returns the current logical time of the log, at the leader. It continues from the last entry of the previous leader, so it never
// goes back and never runs faster than real time. The result is meaningless on a member that does not lead.
func (r *Raft) LogTime(now time.Duration) time.Duration {
	r.advanceTime(now)
	return max(r.log.lastLogTime(), r.leading.logTimeAtElection+r.now-r.leading.electedAt)
}

// IsCaughtUpLeader reports whether this member leads and has applied all that earlier leaders may have committed.
func (r *Raft) IsCaughtUpLeader() bool {
	term, _ := r.log.termAt(r.log.applied)
	return r.role == leader && term == r.term
}

// IsRecentlyActive reports whether the leader has heard from a member within the last election timeout.
func (r *Raft) IsRecentlyActive(id ID) bool {
	return id == r.config.Self.ID || r.peers.contactedAfter(id, r.now-r.config.ElectionTimeout)
}

// TransferLeadership asks the member with the longest matching log to start an election, because this leader is about to stop
// (dissertation, section 3.10). If the message is lost, this member remains the leader.
func (r *Raft) TransferLeadership(now time.Duration) {
	r.advanceTime(now)
	if r.role != leader {
		return
	}
	if target := r.transferTarget(); target != nil {
		r.sendAfterSave(Message{Kind: TimeoutNow, To: target.ID, Term: r.term})
	}
}

// transferTarget returns the member with the longest matching log among those that are active and not leaving, or nil if there is none.
func (r *Raft) transferTarget() (target *progress) {
	for _, member := range r.log.configuration.Members {
		p := r.peers.get(member.ID)
		if p == nil || !r.IsRecentlyActive(member.ID) {
			continue
		}
		if p.leaveGranted || p.isLeavingSince(r.now-r.config.ElectionTimeout) {
			continue
		}
		if target == nil || p.match > target.match {
			target = p
		}
	}
	return target
}

// appendAsLeader appends an entry of the current term.
func (r *Raft) appendAsLeader(entry Entry) Entry {
	entry.Index, entry.Term = r.log.lastIndex()+1, r.term
	entry.LogTime = r.LogTime(r.now)
	r.log.append(entry)
	if entry.Kind == EntryConfiguration {
		r.trackVoters()
	}
	return entry
}

// broadcastHeartbeat begins a heartbeat round: it sends each peer the entries that the peer lacks, or an empty AppendEntries.
func (r *Raft) broadcastHeartbeat() {
	r.leading.heartbeatRound++
	r.leading.nextHeartbeatAt = r.now + r.config.HeartbeatInterval
	for _, p := range r.peers {
		p.paused = false
		if r.needsSnapshot(p) {
			r.sendHeartbeat(p)
			r.sendSnapshot(p)
		} else {
			r.sendEntries(p)
		}
	}
}

// sendHeartbeat sends a heartbeat without a log position to a peer that needs a snapshot.
func (r *Raft) sendHeartbeat(p *progress) {
	r.sendBeforeSave(Message{
		Kind:           AppendEntries,
		To:             p.ID,
		Term:           r.term,
		Commit:         r.log.committed,
		HeartbeatRound: r.leading.heartbeatRound,
	})
}

// replicateTo sends a peer the entries or the snapshot that it lacks, within the limits of what may be in flight.
func (r *Raft) replicateTo(p *progress) {
	if r.needsSnapshot(p) {
		r.sendSnapshot(p)
	} else if !p.isInflightFull() || p.next > r.log.lastIndex() {
		r.sendEntries(p)
	}
}

// sendEntries sends the next entries to a peer, or a heartbeat if enough entries are in flight. It does not wait for responses to earlier
// messages: if one is lost, the peer rejects the entries after it (dissertation, section 10.2.2: pipelining).
func (r *Raft) sendEntries(p *progress) {
	previous := p.next - 1
	previousTerm, _ := r.log.termAt(previous)
	message := Message{
		Kind:           AppendEntries,
		To:             p.ID,
		Term:           r.term,
		Index:          previous,
		LogTerm:        previousTerm,
		Commit:         r.log.committed,
		HeartbeatRound: r.leading.heartbeatRound,
	}
	if !p.isInflightFull() {
		message.Entries = limitBatch(r.log.entriesFrom(p.next))
	}
	if n := len(message.Entries); n > 0 {
		p.next += uint64(n)
		p.inflight = append(p.inflight, inflightAppend{lastIndex: p.next - 1, bytes: totalEntryBytes(message.Entries)})
	}
	p.transfer = nil
	p.wholeSnapshotSentAt = 0
	r.sendBeforeSave(message)
}

// limitBatch returns as many of the entries as may be sent in one message.
func limitBatch(entries []Entry) []Entry {
	n, bytes := 0, 0
	for n < min(len(entries), maxEntriesPerMessage) {
		if bytes += entryBytes(entries[n]); n > 0 && bytes > maxBytesPerMessage {
			break
		}
		n++
	}
	return slices.Clone(entries[:n])
}

// handleAppendResponse records the acknowledgement or rejection of a peer, and sends the peer what it lacks.
func (r *Raft) handleAppendResponse(m Message) {
	p := r.peers.get(m.From)
	if r.role != leader || p == nil {
		return
	}
	p.recordContact(r.now, m)
	p.answeredRound = max(p.answeredRound, m.HeartbeatRound)
	p.recordRestart(m)
	if m.Reject {
		r.handleRejection(p, m.Hint)
	} else {
		r.handleAcknowledgement(p, m.Index)
	}
	r.confirmReads()
	r.grantLeaves()
}

// handleRejection moves next back to where the peer's log may agree, but not before the entries that the peer has acknowledged. Only one
// attempt is made until the peer answers or a heartbeat is due, since the peer will also reject all messages that were in flight.
func (r *Raft) handleRejection(p *progress, hint uint64) {
	p.next = max(p.match+1, min(hint+1, r.log.lastIndex()+1))
	p.inflight = nil
	if !p.paused {
		r.replicateTo(p)
		p.paused = true
	}
}

// handleAcknowledgement records that a peer has the log on disk up to an index, advances the commit index, and sends the entries that
// follow.
func (r *Raft) handleAcknowledgement(p *progress, index uint64) {
	p.acknowledge(index)
	p.next = max(p.next, p.match+1)
	p.paused = false
	r.advanceCommit()
	if r.role == leader && p.next <= r.log.lastIndex() {
		r.replicateTo(p)
	}
}

// advanceCommit commits the entries that a quorum has on disk. Only entries of the leader's own term are committed by counting replicas;
// all earlier entries are committed with them. An entry of an earlier term may be on a majority of disks and still be replaced by a
// leader that lacks it (Raft paper, section 5.4.2).
func (r *Raft) advanceCommit() {
	for index := r.log.lastIndex(); index > r.log.committed; index-- {
		if term, _ := r.log.termAt(index); term != r.term {
			return
		}
		if r.log.configuration.hasQuorum(func(id ID) bool { return r.matchIndex(id) >= index }) {
			r.log.committed = index
			r.Flush()
			r.continueConfigurationChange()
			return
		}
	}
}

// matchIndex returns the index up to which a voter has the leader's log on disk. The leader's own disk may lag behind those of its peers
// (dissertation, section 10.2.1).
func (r *Raft) matchIndex(id ID) uint64 {
	if id == r.config.Self.ID {
		return r.log.savedIndex
	}
	if p := r.peers.get(id); p != nil {
		return p.match
	}
	return 0
}

// hasCommittedOwnTerm reports whether an entry of the leader's own term is committed. Until then the leader does not know what earlier
// leaders have committed (Raft paper, section 8).
func (r *Raft) hasCommittedOwnTerm() bool {
	term, _ := r.log.termAt(r.log.committed)
	return term == r.term
}
