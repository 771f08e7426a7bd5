package raft

import (
	"slices"
	"time"
)

// Limits on the entries kept before a snapshot. They spare a follower that was disconnected for a short time a snapshot transfer.
const (
	// DefaultCatchUpEntries is the usual value of Config.MaxCatchUpEntries.
	DefaultCatchUpEntries = 4096
	maxCatchUpBytes       = 4 << 20 // of all kept entries
	entryOverheadBytes    = 64      // approximate size of an entry without its data
)

// raftLog is a member's log: the entries, the snapshot that replaces earlier entries, the indexes up to which entries are saved, committed
// and applied, and the latest configuration. It is always true that start.index <= snapshot.Index <= applied <= committed <= lastIndex(),
// except that a received snapshot counts as applied only once takeUnsavedSnapshot has returned it.
type raftLog struct {
	start    position // of the entry before the first of entries
	entries  []Entry  // without a gap; the first ones may be covered by the snapshot
	snapshot Snapshot

	savedIndex    uint64        // the entries up to here are on disk
	committed     uint64        // the entries up to here are on the disks of a quorum, and never change again
	applied       uint64        // the entries up to here were returned by takeCommittedEntries
	configuration Configuration // the latest in the log, committed or not

	firstUnsavedIndex uint64 // entries from here on have to be written; 0 if there are none
	snapshotUnsaved   bool   // the snapshot was received and has to be written
}

// newRaftLog returns the log as read from disk: a snapshot, the entries after it, and catch-up entries that end at the snapshot's index.
func newRaftLog(snapshot Snapshot, entries, catchUp []Entry) raftLog {
	l := raftLog{
		start:     position{snapshot.Index, snapshot.Term},
		entries:   entries,
		snapshot:  snapshot,
		committed: snapshot.Index,
		applied:   snapshot.Index,
	}
	l.restoreCatchUpEntries(catchUp)
	l.savedIndex = l.lastIndex()
	l.refreshConfiguration()
	return l
}

// restoreCatchUpEntries adds catch-up entries if they end at the snapshot's last entry. The oldest one only provides the start position.
func (l *raftLog) restoreCatchUpEntries(catchUp []Entry) {
	n := len(catchUp)
	if n == 0 || catchUp[n-1].Index != l.snapshot.Index || catchUp[n-1].Term != l.snapshot.Term {
		return
	}
	l.start = position{catchUp[0].Index, catchUp[0].Term}
	l.entries = append(slices.Clone(catchUp[1:]), l.entries...)
}

// lastIndex returns the index of the last entry, or of the snapshot if there is none after it.
func (l *raftLog) lastIndex() uint64 { return l.start.index + uint64(len(l.entries)) }

// entriesSinceSnapshot returns the number of entries after the snapshot.
func (l *raftLog) entriesSinceSnapshot() int { return int(l.lastIndex() - l.snapshot.Index) }

// entriesFrom returns the entries from an index on, which must be after start.
func (l *raftLog) entriesFrom(index uint64) []Entry { return l.entries[index-l.start.index-1:] }

// termAt returns the term of the entry at an index. found is false if the log does not contain the entry.
func (l *raftLog) termAt(index uint64) (term uint64, found bool) {
	switch {
	case index == l.start.index:
		return l.start.term, true
	case index < l.start.index || index > l.lastIndex():
		return 0, false
	}
	return l.entriesFrom(index)[0].Term, true
}

// lastTerm returns the term of the last entry.
func (l *raftLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// lastLogTime returns the log time of the last entry.
func (l *raftLog) lastLogTime() time.Duration {
	if n := len(l.entries); l.lastIndex() > l.snapshot.Index {
		return l.entries[n-1].LogTime
	}
	return l.snapshot.LogTime
}

// isUpToDate reports whether a log that ends at a position is at least as up to date as this one (Raft paper, section 5.4.1).
func (l *raftLog) isUpToDate(last position) bool {
	return last.term > l.lastTerm() || last.term == l.lastTerm() && last.index >= l.lastIndex()
}

// append adds entries at the end of the log, and switches to the latest configuration among them, if any.
func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.markUnsaved(entries[0].Index)
	for _, entry := range entries {
		if entry.Kind == EntryConfiguration {
			l.configuration = entry.configuration()
		}
	}
}

// merge adds the leader's entries to the log, which must agree with the leader's log at the entry before them. The log is only truncated at
// an entry that conflicts with one of them: a delayed message must not remove entries that were acknowledged after it was sent (Raft
// paper, section 5.3).
func (l *raftLog) merge(entries []Entry) {
	for i, entry := range entries {
		term, found := l.termAt(entry.Index)
		if found && term == entry.Term {
			continue
		}
		if found {
			l.truncateFrom(entry.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// truncateFrom removes the entries from an index on. If the latest configuration is among them, the one before it is in force again.
func (l *raftLog) truncateFrom(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.start.index-1])
	l.savedIndex = min(l.savedIndex, index-1)
	if l.configuration.Index >= index {
		l.refreshConfiguration()
	}
}

// markUnsaved records that the entries from an index on have to be written.
func (l *raftLog) markUnsaved(from uint64) {
	if l.firstUnsavedIndex == 0 || from < l.firstUnsavedIndex {
		l.firstUnsavedIndex = from
	}
}

// takeUnsavedEntries returns the entries that have to be written since the last call.
func (l *raftLog) takeUnsavedEntries() []Entry {
	if l.firstUnsavedIndex == 0 {
		return nil
	}
	entries := slices.Clone(l.entriesFrom(l.firstUnsavedIndex))
	l.firstUnsavedIndex = 0
	return entries
}

// takeUnsavedSnapshot returns a snapshot that was received since the last call and has to be written, or nil if there is none.
func (l *raftLog) takeUnsavedSnapshot() *Snapshot {
	if !l.snapshotUnsaved {
		return nil
	}
	snapshot := l.snapshot
	l.snapshotUnsaved = false
	l.applied = snapshot.Index
	return &snapshot
}

// takeCommittedEntries returns the entries that were committed since the last call.
func (l *raftLog) takeCommittedEntries() []Entry {
	if l.committed <= l.applied {
		return nil
	}
	entries := slices.Clone(l.entriesFrom(l.applied + 1)[:l.committed-l.applied])
	l.applied = l.committed
	return entries
}

// rejectHint returns the highest index at which the log may agree with the leader's log, given an index at which it does not, because the
// entry there is missing or has another term. All entries of that other term are skipped: they are from a former leader, and trying them
// one by one would take a heartbeat interval each (Raft paper, section 5.3). Committed entries always agree.
func (l *raftLog) rejectHint(index uint64) uint64 {
	hint := min(index-1, l.lastIndex())
	conflicting, found := l.termAt(index)
	if !found {
		return hint
	}
	for at := hint; at > l.committed; at-- {
		if term, _ := l.termAt(at); term != conflicting {
			break
		}
		hint = at - 1
	}
	return max(l.committed, hint)
}

// refreshConfiguration sets the configuration to the latest one in the log.
func (l *raftLog) refreshConfiguration() { l.configuration = l.configurationAt(l.lastIndex()) }

// configurationAt returns the latest configuration up to an index, which must not be before the end of the snapshot.
func (l *raftLog) configurationAt(index uint64) Configuration {
	for _, entry := range slices.Backward(l.entries[:index-l.start.index]) {
		if entry.Index <= l.snapshot.Index {
			break
		}
		if entry.Kind == EntryConfiguration {
			return entry.configuration()
		}
	}
	return l.snapshot.configuration()
}

// isConfigurationCommitted reports whether the latest configuration is committed and not joint: as far as this member knows, no
// configuration change is in progress.
func (l *raftLog) isConfigurationCommitted() bool {
	return l.configuration.Index <= l.committed && !l.configuration.isJoint()
}

// restore replaces the log up to the end of a received snapshot, which must be ahead of the commit index. Later entries are kept only
// if the log contains the snapshot's last entry, since only then do they follow it.
func (l *raftLog) restore(snapshot Snapshot) {
	if term, found := l.termAt(snapshot.Index); found && term == snapshot.Term {
		l.entries = slices.Clone(l.entriesFrom(snapshot.Index + 1))
	} else {
		l.entries = nil
	}
	l.start = position{snapshot.Index, snapshot.Term}
	l.snapshot, l.snapshotUnsaved = snapshot, true
	l.committed = snapshot.Index
	l.savedIndex = max(min(l.savedIndex, l.lastIndex()), snapshot.Index)
	l.firstUnsavedIndex = 0
	if len(l.entries) > 0 {
		l.firstUnsavedIndex = snapshot.Index + 1
	}
	l.refreshConfiguration()
}

// compact replaces the log up to an applied index with a snapshot, whose data is the encoded state machine at that index. Entries after
// keepFrom, which must not be greater than index, are kept as catch-up entries. Only applied entries are replaced: they are committed, so
// no leader will ever overwrite them (Raft paper, section 7).
func (l *raftLog) compact(index uint64, data []byte, keepFrom uint64) {
	entry, configuration := l.entriesFrom(index)[0], l.configurationAt(index)
	l.snapshot = Snapshot{
		Index:              index,
		Term:               entry.Term,
		LogTime:            entry.LogTime,
		ConfigurationIndex: configuration.Index,
		Members:            configuration.Members,
		Outgoing:           configuration.Outgoing,
		ProtocolVersion:    configuration.ProtocolVersion,
		Data:               data,
	}
	term, _ := l.termAt(keepFrom)
	l.entries = slices.Clone(l.entriesFrom(keepFrom + 1))
	l.start = position{keepFrom, term}
}

// entryBytes returns the size of an entry that counts towards the limits of this package.
func entryBytes(entry Entry) int { return len(entry.Data) + entryOverheadBytes }

// totalEntryBytes returns the sum of the entries' sizes.
func totalEntryBytes(entries []Entry) (bytes int) {
	for _, entry := range entries {
		bytes += entryBytes(entry)
	}
	return bytes
}
