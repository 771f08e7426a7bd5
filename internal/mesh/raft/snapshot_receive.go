package raft

import "hash/crc32"

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	position   position
	totalBytes uint64
	checksum   uint32
	data       []byte // received so far
}

// contains reports whether a chunk belongs to the snapshot.
func (s *incomingSnapshot) contains(m Message) bool {
	return s != nil && s.position == position{m.Snapshot.Index, m.Snapshot.Term} &&
		s.totalBytes == m.TotalBytes && s.checksum == m.Checksum
}

// handleInstallSnapshot installs a snapshot that was sent in one message, unless this member has already committed everything in it.
func (r *Raft) handleInstallSnapshot(m Message) {
	if snapshot := m.Snapshot; snapshot != nil && snapshot.Index > r.log.committed && len(snapshot.Members) > 0 {
		r.restoreSnapshot(*snapshot)
	}
	r.sendAfterSave(Message{Kind: AppendResponse, To: m.From, Term: r.term, Index: r.log.committed, HeartbeatRound: m.HeartbeatRound})
}

// handleSnapshotChunk appends a chunk if it is the next one, and asks for the missing data if it is a later one. After the last chunk it
// installs the snapshot if the checksum matches, and otherwise asks for all the data again.
func (r *Raft) handleSnapshotChunk(m Message) {
	snapshot := m.Snapshot
	if snapshot == nil || len(snapshot.Members) == 0 || m.TotalBytes > maxSnapshotBytes ||
		m.Offset+uint64(len(snapshot.Data)) > m.TotalBytes {
		return
	}
	if snapshot.Index <= r.log.committed { // installing it would remove committed entries
		r.incoming = nil
		r.acknowledgeSnapshot(m)
		return
	}
	if !r.incoming.contains(m) {
		r.incoming = &incomingSnapshot{
			position:   position{snapshot.Index, snapshot.Term},
			totalBytes: m.TotalBytes,
			checksum:   m.Checksum,
		}
	}
	incoming := r.incoming
	reply := Message{Kind: SnapshotChunkResponse, To: m.From, Term: r.term, Index: snapshot.Index, LogTerm: snapshot.Term}
	if m.Offset == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, snapshot.Data...)
	} else {
		reply.Reject = m.Offset > uint64(len(incoming.data)) // otherwise it is a duplicate
	}
	reply.Offset = uint64(len(incoming.data))
	if reply.Offset < incoming.totalBytes {
		r.sendAfterSave(reply)
		return
	}
	r.incoming = nil
	if crc32.Checksum(incoming.data, castagnoliTable) != incoming.checksum {
		reply.Reject, reply.Offset = true, 0
		r.sendAfterSave(reply)
		return
	}
	complete := *snapshot
	complete.Data = incoming.data
	r.restoreSnapshot(complete)
	r.acknowledgeSnapshot(m)
}

// acknowledgeSnapshot acknowledges the log up to the commit index, and not beyond: later entries may be from another leader.
func (r *Raft) acknowledgeSnapshot(m Message) {
	r.sendAfterSave(Message{Kind: AppendResponse, To: m.From, Term: r.term, Index: r.log.committed})
}

// restoreSnapshot replaces the log with a snapshot. The next Ready returns it, so that it is on disk before it is acknowledged.
func (r *Raft) restoreSnapshot(snapshot Snapshot) {
	r.log.restore(snapshot)
	r.incoming = nil
}
