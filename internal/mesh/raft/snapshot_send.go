package raft

import (
	"hash/crc32"
	"time"
)

// Snapshots go in chunks, of which at most maxInflightChunks are in flight to a peer, so that a heartbeat never waits behind more
// than 64 KiB (0.26 s on a link of 2 Mbit/s). A transfer goes on with the snapshot that it began with, whatever is compacted
// meanwhile. The log behind that snapshot is kept for it, up to as many bytes as the snapshot has; where more is written while it is
// being sent, the transfer starts again with the latest. A receiver that restarts begins at the first chunk again. One that has a new
// leader goes on where it was if the new leader's snapshot is the same.
const (
	defaultSnapshotChunkBytes = 32 << 10
	maxInflightChunks         = 2
	maxSnapshotBytes          = 1 << 30 // a larger one is not taken
)

// wholeSnapshotResendFactor is how many election timeouts after a snapshot in one message it is sent again, to a peer of protocol
// version 0, which knows no chunks.
const wholeSnapshotResendFactor = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is a snapshot that is being sent to a peer.
type snapshotTransfer struct {
	snapshot     Snapshot
	checksum     uint32
	ackedBytes   uint64
	sentBytes    uint64
	hasSentAny   bool          // a chunk was sent since the transfer began or was rewound: an empty snapshot takes one as well
	progressedAt time.Duration // when it began, was acknowledged further, or was rewound
}

func (t *snapshotTransfer) totalBytes() uint64 { return uint64(len(t.snapshot.Data)) }

// rewind has everything from an offset on sent again.
func (t *snapshotTransfer) rewind(offset uint64, now time.Duration) {
	offset = min(offset, t.totalBytes())
	t.ackedBytes, t.sentBytes = offset, offset
	t.hasSentAny, t.progressedAt = false, now
}

// acknowledge takes note that a peer has the bytes up to an offset.
func (t *snapshotTransfer) acknowledge(offset uint64, now time.Duration) {
	if offset <= t.ackedBytes || offset > t.totalBytes() {
		return
	}
	t.ackedBytes, t.sentBytes = offset, max(t.sentBytes, offset)
	t.progressedAt = now
}

// mayContinue reports whether a transfer may go on: the log still reaches back to its snapshot.
func (t *snapshotTransfer) mayContinue(l *raftLog) bool {
	return t != nil && t.snapshot.Index >= l.start.index
}

// needsSnapshot reports whether the log does not reach back to what a peer has.
func (r *Raft) needsSnapshot(p *progress) bool {
	_, known := r.log.termAt(p.next - 1)
	return !known
}

// sendSnapshot sends as much of a snapshot as may be in flight.
func (r *Raft) sendSnapshot(p *progress) {
	switch {
	case !p.hasAnswered: // its answer to a heartbeat will say what it speaks
	case p.protocolVersion < 1 || r.protocolVersion() < 1:
		r.sendWholeSnapshot(p)
	default:
		r.sendChunks(p)
	}
}

// sendWholeSnapshot sends a snapshot in one message, not again with every heartbeat.
func (r *Raft) sendWholeSnapshot(p *progress) {
	if p.wholeSnapshotSentAt != 0 && r.now-p.wholeSnapshotSentAt <= wholeSnapshotResendFactor*r.config.ElectionTimeout {
		return
	}
	snapshot := r.log.snapshot
	p.wholeSnapshotSentAt = max(r.now, 1)
	r.sendBeforeSave(Message{
		Kind:           InstallSnapshot,
		To:             p.ID,
		Term:           r.term,
		Commit:         r.log.committed,
		HeartbeatRound: r.leading.heartbeatRound,
		Snapshot:       &snapshot,
	})
}

func (r *Raft) sendChunks(p *progress) {
	if !p.transfer.mayContinue(&r.log) {
		p.transfer = r.beginTransfer()
	}
	transfer := p.transfer
	if r.now-transfer.progressedAt > r.config.ElectionTimeout { // a chunk or its response was lost
		transfer.rewind(transfer.ackedBytes, r.now)
	}
	chunkBytes, total := r.snapshotChunkBytes(), transfer.totalBytes()
	for (transfer.sentBytes < total || !transfer.hasSentAny) && transfer.sentBytes-transfer.ackedBytes < maxInflightChunks*chunkBytes {
		chunk := transfer.snapshot
		chunk.Data = chunk.Data[transfer.sentBytes:min(transfer.sentBytes+chunkBytes, total)]
		r.sendBeforeSave(Message{
			Kind:       SnapshotChunk,
			To:         p.ID,
			Term:       r.term,
			Commit:     r.log.committed,
			Snapshot:   &chunk,
			Offset:     transfer.sentBytes,
			TotalBytes: total,
			Checksum:   transfer.checksum,
		})
		transfer.sentBytes += uint64(len(chunk.Data))
		transfer.hasSentAny = true
	}
}

func (r *Raft) snapshotChunkBytes() uint64 {
	if r.config.SnapshotChunkBytes > 0 {
		return uint64(r.config.SnapshotChunkBytes)
	}
	return defaultSnapshotChunkBytes
}

// beginTransfer takes the snapshot that is being sent to another peer, if that may go on, so that at most two are held in memory.
func (r *Raft) beginTransfer() *snapshotTransfer {
	for _, p := range r.peers {
		if other := p.transfer; other.mayContinue(&r.log) {
			return &snapshotTransfer{snapshot: other.snapshot, checksum: other.checksum, progressedAt: r.now}
		}
	}
	snapshot := r.log.snapshot
	return &snapshotTransfer{snapshot: snapshot, checksum: crc32.Checksum(snapshot.Data, castagnoli), progressedAt: r.now}
}

// handleSnapshotChunkResponse takes note of how much of a snapshot a peer has, and sends the next chunks.
func (r *Raft) handleSnapshotChunkResponse(m Message) {
	p := r.peers.get(m.From)
	if r.role != leader || p == nil {
		return
	}
	p.recordContact(r.now, m)
	transfer := p.transfer
	if transfer == nil || transfer.snapshot.Index != m.Index || transfer.snapshot.Term != m.LogTerm {
		return
	}
	if m.Reject {
		transfer.rewind(m.Offset, r.now)
	} else {
		transfer.acknowledge(m.Offset, r.now)
	}
	r.sendSnapshot(p)
}

// oldestTransfer is the index of the oldest snapshot that is being sent, and how many bytes it has; 0: none is.
func (r *Raft) oldestTransfer() (index uint64, bytes int) {
	for _, p := range r.peers {
		if transfer := p.transfer; transfer != nil && (index == 0 || transfer.snapshot.Index < index) {
			index, bytes = transfer.snapshot.Index, len(transfer.snapshot.Data)
		}
	}
	return index, bytes
}

// Compact has data, the replicated state as of an index that was applied, replace the log up to there. It returns the snapshot to
// write; entries before OldestRetainedIndex may be deleted from disk.
func (r *Raft) Compact(index uint64, data []byte) Snapshot {
	if index <= r.log.snapshot.Index || index > r.log.applied {
		return r.log.snapshot
	}
	r.log.compact(index, data, r.catchUpStart(index))
	return r.log.snapshot
}

// catchUpStart is where the log is to begin behind which a snapshot at an index is compacted: MaxCatchUpEntries in front of it, or
// where the oldest transfer needs it to.
func (r *Raft) catchUpStart(index uint64) uint64 {
	transferIndex, transferBytes := r.oldestTransfer()
	bytes, start := 0, index
	for ; start > r.log.start.index; start-- {
		bytes += entryBytes(r.log.entriesFrom(start)[0])
		isCatchUp := index-start < uint64(r.config.MaxCatchUpEntries) && bytes <= maxCatchUpBytes
		isTransferred := transferIndex > 0 && start > transferIndex && bytes <= max(maxCatchUpBytes, transferBytes)
		if !isCatchUp && !isTransferred {
			break
		}
	}
	return start
}
