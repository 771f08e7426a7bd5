package raft

import (
	"slices"
	"time"
)

// Propose adds an entry; ok: this one leads. It is committed once Ready gives it with this term.
func (c *Raft) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	c.now = max(c.now, now)
	if c.role != leader || c.isTransferringLeadership() {
		return 0, 0, false
	}
	e := c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	return e.Index, e.Term, true
}

// Flush sends what was proposed; several proposals go out together.
func (c *Raft) Flush() {
	if c.role != leader {
		return
	}
	for _, p := range c.peers {
		if !p.paused && p.next <= c.lastIndex() {
			c.replicateTo(p)
		}
	}
}

// TransferLeadership has the member that is furthest take over, for this one is about to end.
func (c *Raft) TransferLeadership(now time.Duration) {
	c.now = max(c.now, now)
	if c.role != leader {
		return
	}
	if best := c.transferTarget(); best != nil {
		c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: TimeoutNow, From: c.config.Self.ID, To: best.ID, Term: c.term})
	}
}

// transferTarget is the member that holds most of the log, of those that are there and stay; nil: there is none.
func (c *Raft) transferTarget() (best *progress) {
	for _, m := range c.configuration.Members {
		p := c.peers.get(m.ID)
		if p != nil && c.IsRecentlyActive(m.ID) && !p.leaveGranted && !p.isLeavingSince(c.now-c.config.ElectionTimeout) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

// BroadcastCommit has the others hear at once of what is committed, which goes with the next beat otherwise.
func (c *Raft) BroadcastCommit(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == leader {
		c.broadcastHeartbeat()
	}
}

// LogTime is the log's time now, at the leader.
func (c *Raft) LogTime(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return max(c.lastLogTime(), c.logTimeAtElection+c.now-c.electedAt)
}

// IsCaughtUpLeader says that this one leads and has applied all that leaders before it may have had agreed on.
func (c *Raft) IsCaughtUpLeader() bool {
	t, _ := c.termAt(c.applied)
	return c.role == leader && t == c.term
}

// IsRecentlyActive says that a member is there, as far as the leader knows.
func (c *Raft) IsRecentlyActive(id ID) bool {
	return id == c.config.Self.ID || c.peers.heardAfter(id, c.now-c.config.ElectionTimeout)
}

func (c *Raft) appendAsLeader(e Entry) Entry {
	e.Index, e.Term = c.lastIndex()+1, c.term
	e.LogTime = c.LogTime(c.now)
	c.appendEntries(e)
	if e.Kind == EntryConfiguration {
		c.trackVoters()
	}
	return e
}

// broadcastHeartbeat sends each what it lacks, at least the word that the leader is there.
func (c *Raft) broadcastHeartbeat() {
	c.heartbeatRound++
	c.nextHeartbeatAt = c.now + c.config.HeartbeatInterval
	for _, p := range c.peers {
		p.paused = false
		if c.needsSnapshot(p) {
			c.sendHeartbeat(p)
			c.sendSnapshot(p)
		} else {
			c.sendEntries(p)
		}
	}
}

// Bounds of the entries that go with one message, and of those that are under way to one peer, in bytes of their data; one goes
// whatever its size. A heartbeat waits behind no more.
const (
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 32 << 10
	maxInflightBytes     = 64 << 10
)

// replicateTo sends a peer what it lacks, as far as more may be under way.
func (c *Raft) replicateTo(p *progress) {
	if c.needsSnapshot(p) {
		c.sendSnapshot(p)
	} else if !p.isInflightFull() || p.next > c.lastIndex() {
		c.sendEntries(p)
	}
}

// sendEntries sends entries, none where enough are under way.
func (c *Raft) sendEntries(p *progress) {
	prev := p.next - 1
	t, _ := c.termAt(prev)
	m := Message{Kind: AppendEntries, From: c.config.Self.ID, To: p.ID, Term: c.term, Commit: c.committed, HeartbeatRound: c.heartbeatRound, Index: prev, LogTerm: t}
	if !p.isInflightFull() {
		m.Entries = limitBatch(c.entriesFrom(p.next))
	}
	if n := len(m.Entries); n > 0 {
		p.next += uint64(n) // what is lost is found missing by the next
		p.inflight = append(p.inflight, inflightAppend{p.next - 1, sizeOf(m.Entries)})
	}
	p.transfer, p.wholeSnapshotSentAt, p.sentAt = nil, 0, c.now
	c.messagesBeforeSave = append(c.messagesBeforeSave, m)
}

// limitBatch are as many of the entries as go with one message.
func limitBatch(entries []Entry) []Entry {
	n, bytes := 0, 0
	for n < min(len(entries), maxEntriesPerMessage) {
		if bytes += sizeOf(entries[n : n+1]); n > 0 && bytes > maxBytesPerMessage {
			break
		}
		n++
	}
	return slices.Clone(entries[:n])
}

func sizeOf(entries []Entry) (bytes int) {
	for _, e := range entries {
		bytes += len(e.Data) + entryOverhead
	}
	return bytes
}

// advanceCommit commits what a quorum has on disk. Only what this leader has added itself is committed by counting: an entry of a
// term before may be held by a majority and yet be replaced by a leader that lacks it.
func (c *Raft) advanceCommit() {
	for n := c.lastIndex(); n > c.committed; n-- {
		if t, _ := c.termAt(n); t != c.term {
			return
		}
		if c.configuration.hasQuorum(func(id ID) bool { return c.matchIndex(id) >= n }) {
			c.committed = n
			c.Flush()
			c.continueConfigurationChange()
			return
		}
	}
}

// matchIndex is up to where a voter has the leader's log on disk.
func (c *Raft) matchIndex(id ID) uint64 {
	if id == c.config.Self.ID {
		return c.savedIndex
	}
	if p := c.peers.get(id); p != nil {
		return p.match
	}
	return 0
}
