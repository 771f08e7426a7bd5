package raft

import (
	"hash/crc32"
	"time"
)

// Snapshots are sent in chunks, of which at most maxInflightChunks are in flight to a peer, so that a heartbeat never waits behind more
// than 64 KiB (0.26 s on a link of 2 Mbit/s). A transfer continues with the snapshot that it began with, whatever is compacted
// meanwhile. For that, the log after the snapshot is kept, up to as many bytes as the snapshot has; if more is written during the
// transfer, it starts again with the latest snapshot. A receiver that restarts begins at the first chunk again. A receiver with a new
// leader continues where it was if the new leader's snapshot is the same.
const (
	defaultSnapshotChunkBytes = 32 << 10
	maxInflightChunks         = 2
	maxSnapshotBytes          = 1 << 30 // a larger one is rejected
)

// wholeSnapshotResendFactor is after how many election timeouts a snapshot in one message is sent again. Peers of protocol version 0, which
// has no chunks, get snapshots in this form.
const wholeSnapshotResendFactor = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is a snapshot that is being sent to a peer.
type snapshotTransfer struct {
	snapshot     Snapshot
	checksum     uint32
	ackedBytes   uint64
	sentBytes    uint64
	hasSentAny   bool          // a chunk was sent since the transfer began or was rewound: an empty snapshot needs one as well
	progressedAt time.Duration // when it last began, was acknowledged further, or was rewound
}

// totalBytes returns the size of the snapshot's data.
func (t *snapshotTransfer) totalBytes() uint64 { return uint64(len(t.snapshot.Data)) }

// rewind makes the transfer send everything from an offset on again.
func (t *snapshotTransfer) rewind(offset uint64, now time.Duration) {
	offset = min(offset, t.totalBytes())
	t.ackedBytes, t.sentBytes = offset, offset
	t.hasSentAny, t.progressedAt = false, now
}

// acknowledge records that the peer has the bytes up to an offset.
func (t *snapshotTransfer) acknowledge(offset uint64, now time.Duration) {
	if offset <= t.ackedBytes || offset > t.totalBytes() {
		return
	}
	t.ackedBytes, t.sentBytes = offset, max(t.sentBytes, offset)
	t.progressedAt = now
}

// mayContinue reports whether a transfer may continue: the log still reaches back to the end of its snapshot.
func (t *snapshotTransfer) mayContinue(l *raftLog) bool {
	return t != nil && t.snapshot.Index >= l.start.index
}

// needsSnapshot reports whether the log no longer holds the next entry for a peer.
func (r *Raft) needsSnapshot(p *progress) bool {
	_, known := r.log.termAt(p.next - 1)
	return !known
}

// sendSnapshot sends as much of a snapshot as may be in flight.
func (r *Raft) sendSnapshot(p *progress) {
	switch {
	case !p.hasAnswered: // its response to a heartbeat will carry its protocol version
	case min(p.protocolVersion, r.protocolVersion()) < versionWithSnapshotChunks:
		r.sendWholeSnapshot(p)
	default:
		r.sendChunks(p)
	}
}

// sendWholeSnapshot sends a snapshot in one message, but does not repeat it with every heartbeat.
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

// sendChunks sends the next chunks of a transfer, and begins one if there is none that may continue.
func (r *Raft) sendChunks(p *progress) {
	if !p.transfer.mayContinue(&r.log) {
		p.transfer = r.beginTransfer()
	}
	transfer := p.transfer
	if r.now-transfer.progressedAt > r.config.ElectionTimeout { // a chunk or its response was lost
		transfer.rewind(transfer.ackedBytes, r.now)
	}
	chunkBytes, total := r.snapshotChunkBytes(), transfer.totalBytes()
	for (transfer.sentBytes < total || !transfer.hasSentAny) &&
		transfer.sentBytes-transfer.ackedBytes < maxInflightChunks*chunkBytes {
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

// snapshotChunkBytes returns how many bytes of a snapshot's data one message holds.
func (r *Raft) snapshotChunkBytes() uint64 {
	if r.config.SnapshotChunkBytes > 0 {
		return uint64(r.config.SnapshotChunkBytes)
	}
	return defaultSnapshotChunkBytes
}

// beginTransfer starts a transfer. It uses the snapshot that is being sent to another peer, if there is one, so that at most two snapshots
// are kept in memory.
func (r *Raft) beginTransfer() *snapshotTransfer {
	for _, p := range r.peers {
		if other := p.transfer; other.mayContinue(&r.log) {
			return &snapshotTransfer{snapshot: other.snapshot, checksum: other.checksum, progressedAt: r.now}
		}
	}
	snapshot := r.log.snapshot
	return &snapshotTransfer{snapshot: snapshot, checksum: crc32.Checksum(snapshot.Data, castagnoli), progressedAt: r.now}
}

// handleSnapshotChunkResponse records how much of a snapshot a peer has, and sends the next chunks.
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

// oldestTransfer returns the index and size of the oldest snapshot that is being sent, or index 0 if none is.
func (r *Raft) oldestTransfer() (index uint64, bytes int) {
	for _, p := range r.peers {
		if transfer := p.transfer; transfer != nil && (index == 0 || transfer.snapshot.Index < index) {
			index, bytes = transfer.snapshot.Index, len(transfer.snapshot.Data)
		}
	}
	return index, bytes
}

// Compact replaces the log up to an applied index by a snapshot with data, the state machine at that index. It returns the snapshot for the
// caller to write; entries before OldestRetainedIndex may be deleted from disk once it is on disk. An index that is not applied, or that
// the latest snapshot covers, changes nothing: Compact then returns the latest snapshot. It keeps data, which the caller must not change.
func (r *Raft) Compact(index uint64, data []byte) Snapshot {
	if index <= r.log.snapshot.Index || index > r.log.applied {
		return r.log.snapshot
	}
	r.log.compact(index, data, r.catchUpStart(index))
	return r.log.snapshot
}

// catchUpStart returns where the log has to start after a compaction at an index: up to MaxCatchUpEntries before it, or as early as the
// oldest transfer needs.
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
