package raft

import (
	"hash/crc32"
	"time"
)

// Snapshots are sent in chunks, of which at most maxInflightChunks are in flight to a peer, so that a heartbeat never waits behind more
// than 64 KiB (0.26 s on a link of 2 Mbit/s). A transfer continues with the snapshot that it began with, even if the log is compacted
// meanwhile. For that, the entries after the snapshot are kept, up to the size of the snapshot; if more is written during the transfer,
// it starts again with the latest snapshot. A receiver that restarts begins at the first chunk again. When the leader changes, a receiver
// continues where it was if the new leader's snapshot is the same.
const (
	defaultSnapshotChunkBytes = 32 << 10
	maxInflightChunks         = 2
	maxSnapshotBytes          = 1 << 30 // a larger one is rejected
)

// wholeSnapshotResendFactor is the number of election timeouts after which a snapshot in one message is sent again. Peers of protocol
// version 0, which has no chunks, are sent snapshots in this form.
const wholeSnapshotResendFactor = 8

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is a snapshot that is being sent to a peer.
type snapshotTransfer struct {
	snapshot     Snapshot
	checksum     uint32
	ackedBytes   uint64
	sentBytes    uint64
	hasSentAny   bool          // a chunk was sent since the start or last rewind; an empty snapshot needs one chunk, too
	progressedAt time.Duration // when it started, last had new bytes acknowledged, or was last rewound
}

// totalBytes returns the size of the snapshot's data.
func (t *snapshotTransfer) totalBytes() uint64 { return uint64(len(t.snapshot.Data)) }

// rewind restarts the transfer from an offset.
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

// mayContinue reports whether a transfer exists and may continue, because the log still contains all entries after its snapshot.
func (t *snapshotTransfer) mayContinue(l *raftLog) bool {
	return t != nil && t.snapshot.Index >= l.start.index
}

// needsSnapshot reports whether the log no longer contains the entry before the next one for a peer, so that a snapshot has to be sent.
func (r *Raft) needsSnapshot(p *progress) bool {
	_, found := r.log.termAt(p.next - 1)
	return !found
}

// sendSnapshot sends a snapshot, or as many of its chunks as may be in flight, depending on the peer's protocol version.
func (r *Raft) sendSnapshot(p *progress) {
	switch {
	case !p.hasAnswered: // its response to a heartbeat will carry its protocol version
	case min(p.protocolVersion, r.protocolVersion()) < versionWithSnapshotChunks:
		r.sendWholeSnapshot(p)
	default:
		r.sendChunks(p)
	}
}

// sendWholeSnapshot sends a snapshot in one message. It does not repeat it before wholeSnapshotResendFactor election timeouts have passed.
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

// sendChunks sends the next chunks of a transfer, and starts a new transfer if none can be continued.
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

// snapshotChunkBytes returns how many bytes of a snapshot's data one message carries.
func (r *Raft) snapshotChunkBytes() uint64 {
	if r.config.SnapshotChunkBytes > 0 {
		return uint64(r.config.SnapshotChunkBytes)
	}
	return defaultSnapshotChunkBytes
}

// beginTransfer starts a transfer. It uses the snapshot that is being sent to another peer, if there is one, so that at most two
// snapshots are kept in memory.
func (r *Raft) beginTransfer() *snapshotTransfer {
	for _, p := range r.peers {
		if other := p.transfer; other.mayContinue(&r.log) {
			return &snapshotTransfer{snapshot: other.snapshot, checksum: other.checksum, progressedAt: r.now}
		}
	}
	snapshot := r.log.snapshot
	return &snapshotTransfer{snapshot: snapshot, checksum: crc32.Checksum(snapshot.Data, castagnoliTable), progressedAt: r.now}
}

// handleSnapshotChunkResponse records how much of a snapshot a peer has received, and sends the next chunks.
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

// oldestTransfer returns the index and size of the oldest snapshot that is being sent, or index 0 if there is no transfer.
func (r *Raft) oldestTransfer() (index uint64, bytes int) {
	for _, p := range r.peers {
		if transfer := p.transfer; transfer != nil && (index == 0 || transfer.snapshot.Index < index) {
			index, bytes = transfer.snapshot.Index, len(transfer.snapshot.Data)
		}
	}
	return index, bytes
}

// Compact replaces the log up to an applied index with a snapshot, whose data is the encoded state machine at that index. It returns the
// snapshot for the caller to write. Once it is on disk, entries before OldestRetainedIndex may be deleted from disk. If the index is not
// applied, or the latest snapshot covers it, Compact changes nothing and returns the latest snapshot. The Raft keeps a reference to data,
// so the caller must not modify it.
func (r *Raft) Compact(index uint64, data []byte) Snapshot {
	if index <= r.log.snapshot.Index || index > r.log.applied {
		return r.log.snapshot
	}
	r.log.compact(index, data, r.catchUpStart(index))
	return r.log.snapshot
}

// catchUpStart returns the index after which entries are kept by a compaction at an index: up to MaxCatchUpEntries before it, or as many as
// the oldest transfer needs.
func (r *Raft) catchUpStart(index uint64) uint64 {
	transferIndex, transferBytes := r.oldestTransfer()
	bytes, start := 0, index
	for ; start > r.log.start.index; start-- {
		bytes += entryBytes(r.log.entriesFrom(start)[0])
		isCatchUp := index-start < uint64(r.config.MaxCatchUpEntries) && bytes <= maxCatchUpBytes
		isNeededByTransfer := transferIndex > 0 && start > transferIndex && bytes <= max(maxCatchUpBytes, transferBytes)
		if !isCatchUp && !isNeededByTransfer {
			break
		}
	}
	return start
}
