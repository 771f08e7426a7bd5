package raft

import (
	"hash/crc32"
	"time"
)

// Snapshots go in chunks: at most chunkWindow of them are under way to a peer, so that a heartbeat never waits behind more than
// 64 KiB (0.26 s on a link of 2 Mbit/s). A transfer goes on with the snapshot that it began with, whatever is compacted
// meanwhile; the log behind that snapshot is kept for it, up to as many bytes as the snapshot has. Where more is written than that while
// it is being sent, it starts again with the latest. A receiver that restarts begins at the first chunk again; one that has a
// new leader goes on where it was if the new leader's snapshot is the same.
const (
	defaultSnapshotChunkBytes = 32 << 10
	maxInflightChunks         = 2
	maxSnapshotBytes          = 1 << 30 // bytes; a larger one is not taken
)

// wholeSnapshotResendFactor is the multiple of the election's time after which a peer of the first build, which takes a snapshot in one message
// only, is sent it again.
const wholeSnapshotResendFactor = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is a snapshot under way to a peer.
type snapshotTransfer struct {
	snapshot              Snapshot
	checksum              uint32
	ackedBytes, sentBytes uint64        // bytes
	hasSentAny            bool          // the chunk at sent was sent, if there is none behind it
	progressedAt          time.Duration // it made progress then, or was taken up again
}

func (t *snapshotTransfer) totalBytes() uint64 { return uint64(len(t.snapshot.Data)) }

// rewind has everything from an offset on sent again.
func (t *snapshotTransfer) rewind(offset uint64, now time.Duration) {
	offset = min(offset, t.totalBytes())
	t.ackedBytes, t.sentBytes, t.hasSentAny, t.progressedAt = offset, offset, false, now
}

// needsSnapshot says that the log does not reach back to what a peer has.
func (c *Raft) needsSnapshot(p *progress) bool {
	_, known := c.termAt(p.next - 1)
	return !known
}

// sendHeartbeat tells a peer that needs a snapshot that the leader is there: it says nothing of the log.
func (c *Raft) sendHeartbeat(p *progress) {
	p.sentAt = c.now
	c.messagesBeforeSave = append(c.messagesBeforeSave, Message{Kind: AppendEntries, From: c.config.Self.ID, To: p.ID, Term: c.term, Commit: c.committed, HeartbeatRound: c.heartbeatRound})
}

// sendSnapshot sends as much of a snapshot as may be under way.
func (c *Raft) sendSnapshot(p *progress) {
	switch {
	case !p.hasAnswered: // its answer to a heartbeat will say what it speaks
	case p.protocolVersion < 1 || c.protocolVersion() < 1:
		if p.wholeSnapshotSentAt == 0 || c.now-p.wholeSnapshotSentAt > wholeSnapshotResendFactor*c.config.ElectionTimeout {
			s := c.snapshot
			p.wholeSnapshotSentAt = max(c.now, 1)
			c.messagesBeforeSave = append(c.messagesBeforeSave, Message{Kind: InstallSnapshot, From: c.config.Self.ID, To: p.ID, Term: c.term, Commit: c.committed, HeartbeatRound: c.heartbeatRound, Snapshot: &s})
		}
	default:
		c.sendChunks(p)
	}
}

func (c *Raft) sendChunks(p *progress) {
	if p.transfer == nil || p.transfer.snapshot.Index < c.logStart.index {
		p.transfer = c.beginTransfer()
	}
	t := p.transfer
	if c.now-t.progressedAt > c.config.ElectionTimeout { // something was lost
		t.rewind(t.ackedBytes, c.now)
	}
	chunk := uint64(c.snapshotChunkBytes())
	for (t.sentBytes < t.totalBytes() || !t.hasSentAny) && t.sentBytes-t.ackedBytes < maxInflightChunks*chunk {
		s := t.snapshot
		s.Data = s.Data[t.sentBytes:min(t.sentBytes+chunk, t.totalBytes())]
		c.messagesBeforeSave = append(c.messagesBeforeSave, Message{Kind: SnapshotChunk, From: c.config.Self.ID, To: p.ID, Term: c.term, Commit: c.committed, Snapshot: &s,
			Offset: t.sentBytes, TotalBytes: t.totalBytes(), Checksum: t.checksum})
		t.sentBytes += uint64(len(s.Data))
		t.hasSentAny = true
	}
}

func (c *Raft) snapshotChunkBytes() int {
	if c.config.SnapshotChunkBytes > 0 {
		return c.config.SnapshotChunkBytes
	}
	return defaultSnapshotChunkBytes
}

// beginTransfer takes the snapshot that is being sent to another, if the log still goes on from it, so that two at most are held.
func (c *Raft) beginTransfer() *snapshotTransfer {
	for _, p := range c.peers {
		if t := p.transfer; t != nil && t.snapshot.Index >= c.logStart.index {
			return &snapshotTransfer{snapshot: t.snapshot, checksum: t.checksum, progressedAt: c.now}
		}
	}
	return &snapshotTransfer{snapshot: c.snapshot, checksum: crc32.Checksum(c.snapshot.Data, castagnoli), progressedAt: c.now}
}

// oldestTransfer is the index of the oldest snapshot that is being sent, and how many bytes it has; 0: none is.
func (c *Raft) oldestTransfer() (index uint64, bytes int) {
	for _, p := range c.peers {
		if t := p.transfer; t != nil && (index == 0 || t.snapshot.Index < index) {
			index, bytes = t.snapshot.Index, len(t.snapshot.Data)
		}
	}
	return index, bytes
}

// handleSnapshotChunkResponse takes a peer's word on how much of a snapshot it has.
func (c *Raft) handleSnapshotChunkResponse(m Message) {
	p := c.peers.get(m.From)
	if c.role != leader || p == nil {
		return
	}
	p.recordContact(c.now, m)
	t := p.transfer
	if t == nil || t.snapshot.Index != m.Index || t.snapshot.Term != m.LogTerm {
		return
	}
	switch {
	case m.Reject:
		t.rewind(m.Offset, c.now)
	case m.Offset > t.ackedBytes && m.Offset <= t.totalBytes():
		t.ackedBytes, t.sentBytes, t.progressedAt = m.Offset, max(t.sentBytes, m.Offset), c.now
	}
	c.sendSnapshot(p)
}

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	index, term, totalBytes uint64
	checksum                uint32
	data                    []byte
}

// contains says that a chunk is one of it.
func (a *incomingSnapshot) contains(m Message) bool {
	return a != nil && a.index == m.Snapshot.Index && a.term == m.Snapshot.Term && a.totalBytes == m.TotalBytes && a.checksum == m.Checksum
}

// handleSnapshotChunk takes one chunk, if it is the next; the last of them installs the snapshot, if its sum is right.
func (c *Raft) handleSnapshotChunk(m Message) {
	s := m.Snapshot
	if s == nil || len(s.Members) == 0 || m.TotalBytes > maxSnapshotBytes || m.Offset+uint64(len(s.Data)) > m.TotalBytes {
		return
	}
	if s.Index <= c.committed {
		c.incoming = nil
		c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: AppendResponse, From: c.config.Self.ID, To: m.From, Term: c.term, Index: c.committed})
		return
	}
	if !c.incoming.contains(m) {
		c.incoming = &incomingSnapshot{index: s.Index, term: s.Term, totalBytes: m.TotalBytes, checksum: m.Checksum}
	}
	a := c.incoming
	reply := Message{Kind: SnapshotChunkResponse, From: c.config.Self.ID, To: m.From, Term: c.term, Index: s.Index, LogTerm: s.Term}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, s.Data...)
	} else {
		reply.Reject = m.Offset > uint64(len(a.data)) // else it has come before
	}
	reply.Offset = uint64(len(a.data))
	if reply.Offset < a.totalBytes {
		c.messagesAfterSave = append(c.messagesAfterSave, reply)
		return
	}
	c.incoming = nil
	if crc32.Checksum(a.data, castagnoli) != a.checksum {
		reply.Reject, reply.Offset = true, 0
		c.messagesAfterSave = append(c.messagesAfterSave, reply)
		return
	}
	whole := *s
	whole.Data = a.data
	c.restoreSnapshot(whole)
	c.messagesAfterSave = append(c.messagesAfterSave, Message{Kind: AppendResponse, From: c.config.Self.ID, To: m.From, Term: c.term, Index: c.committed})
}
