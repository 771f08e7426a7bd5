package raft

import (
	"slices"
	"time"
)

// EntryKind says what an entry is of.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNoOp          EntryKind = iota // the first of a leader
	EntryCommand                        // of the state that the members hold; the core does not read it
	EntryConfiguration                  // who the members are from here on
)

// Entry is one of the log. Stamp is log time: it goes on while there is a leader, never faster than real time.
type Entry struct {
	Index, Term     uint64
	Kind            EntryKind
	LogTime         time.Duration
	Data            []byte
	Members         []Member // of a View
	Outgoing        []Member // of a View: those before, while the change is joint
	ProtocolVersion uint32   // of a View: what all Members speak
}

// Snapshot stands for the log up to Index.
type Snapshot struct {
	Index, Term        uint64
	LogTime            time.Duration
	ConfigurationIndex uint64 // index of the entry that Members are of
	Members            []Member
	Data               []byte
	Outgoing           []Member // as in Entry
	ProtocolVersion    uint32   // as in Entry
}

func (s Snapshot) configuration() Configuration {
	return Configuration{Index: s.ConfigurationIndex, Members: s.Members, Outgoing: s.Outgoing, ProtocolVersion: s.ProtocolVersion}
}

// position is one entry's place.
type position struct{ index, term uint64 }

// EntriesSinceSnapshot is how many entries are held behind the snapshot.
func (c *Raft) EntriesSinceSnapshot() int { return int(c.lastIndex() - c.snapshot.Index) }

func (c *Raft) lastIndex() uint64 { return c.logStart.index + uint64(len(c.entries)) }

// entriesFrom are the log's entries from an index on, which must be behind base.
func (c *Raft) entriesFrom(index uint64) []Entry { return c.entries[index-c.logStart.index-1:] }

// termAt is the term of an entry; false: it is not known.
func (c *Raft) termAt(index uint64) (uint64, bool) {
	switch {
	case index == c.logStart.index:
		return c.logStart.term, true
	case index < c.logStart.index || index > c.lastIndex():
		return 0, false
	}
	return c.entriesFrom(index)[0].Term, true
}

func (c *Raft) lastTerm() uint64 { t, _ := c.termAt(c.lastIndex()); return t }

func (c *Raft) lastLogTime() time.Duration {
	if n := len(c.entries); c.lastIndex() > c.snapshot.Index {
		return c.entries[n-1].LogTime
	}
	return c.snapshot.LogTime
}

// hasCommittedOwnTerm says that an entry of the leader's own term is committed: until then it does not know what those before it
// had agreed on.
func (c *Raft) hasCommittedOwnTerm() bool {
	t, _ := c.termAt(c.committed)
	return t == c.term
}

// appendEntries puts entries at the log's end and follows the configurations in them.
func (c *Raft) appendEntries(l ...Entry) {
	c.entries = append(c.entries, l...)
	c.markUnsaved(l[0].Index)
	for _, e := range l {
		if e.Kind == EntryConfiguration {
			c.configuration = configurationOf(e)
		}
	}
}

// truncateFrom drops the entries from an index on.
func (c *Raft) truncateFrom(index uint64) {
	c.entries = slices.Clone(c.entries[:index-c.logStart.index-1])
	c.savedIndex = min(c.savedIndex, index-1)
	if c.configuration.Index >= index {
		c.refreshConfiguration()
	}
}

func (c *Raft) markUnsaved(from uint64) {
	if c.firstUnsavedIndex == 0 || from < c.firstUnsavedIndex {
		c.firstUnsavedIndex = from
	}
}

// refreshConfiguration looks for the latest in the log.
func (c *Raft) refreshConfiguration() { c.configuration = c.configurationAt(c.lastIndex()) }

// configurationAt is the one that holds as of an index, which is not before the snapshot's.
func (c *Raft) configurationAt(index uint64) Configuration {
	for _, e := range slices.Backward(c.entries[:index-c.logStart.index]) {
		if e.Index <= c.snapshot.Index {
			break
		}
		if e.Kind == EntryConfiguration {
			return configurationOf(e)
		}
	}
	return c.snapshot.configuration()
}

// Bounds of the log that is kept in front of a snapshot, so that one that was away for a short time needs none.
const (
	DefaultCatchUpEntries = 4096
	maxCatchUpBytes       = 4 << 20
	entryOverhead         = 64 // bytes that an entry takes beside its data, about
)

// restoreCatchUpEntries puts entries in front of the snapshot, if they lead up to it without a gap. The oldest stands for its place only.
func (c *Raft) restoreCatchUpEntries(tail []Entry) {
	if n := len(tail); n == 0 || tail[n-1].Index != c.snapshot.Index || tail[n-1].Term != c.snapshot.Term {
		return
	}
	c.logStart = position{tail[0].Index, tail[0].Term}
	c.entries = append(slices.Clone(tail[1:]), c.entries...)
}

// OldestRetainedIndex is the oldest entry that belongs on disk.
func (c *Raft) OldestRetainedIndex() uint64 { return c.logStart.index }

// catchUpStart is where the log is to begin behind which a snapshot at an index is compacted: Keep entries in front of it, or what those
// want that a snapshot is being sent to.
func (c *Raft) catchUpStart(index uint64) uint64 {
	sending, size := c.oldestTransfer()
	bytes, at := 0, index
	for ; at > c.logStart.index; at-- {
		bytes += len(c.entriesFrom(at)[0].Data) + entryOverhead
		kept := index-at < uint64(c.config.MaxCatchUpEntries) && bytes <= maxCatchUpBytes
		wanted := sending > 0 && at > sending && bytes <= max(maxCatchUpBytes, size)
		if !kept && !wanted {
			break
		}
	}
	return at
}

// Compact has data, the state as of an index that was applied, stand for the log up to it. It returns the snapshot to write;
// entries before Kept may go.
func (c *Raft) Compact(index uint64, data []byte) Snapshot {
	if index <= c.snapshot.Index || index > c.applied {
		return c.snapshot
	}
	e, f := c.entriesFrom(index)[0], c.configurationAt(index)
	c.snapshot = Snapshot{Index: index, Term: e.Term, LogTime: e.LogTime, ConfigurationIndex: f.Index, Members: f.Members, Outgoing: f.Outgoing,
		ProtocolVersion: f.ProtocolVersion, Data: data}
	at := c.catchUpStart(index)
	t, _ := c.termAt(at)
	c.entries, c.logStart = slices.Clone(c.entriesFrom(at+1)), position{at, t}
	return c.snapshot
}
