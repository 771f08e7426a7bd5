package core

import (
	"slices"
	"time"
)

// Kind says what an entry is of.
type Kind uint8

// Kinds of entries.
const (
	Blank  Kind = iota // the first of a leader
	Change             // of the state that the members hold; the core does not read it
	View               // who the members are from here on
)

// Entry is one of the log. Stamp is log time: it goes on while there is a leader, never faster than real time.
type Entry struct {
	Index, Term uint64
	Kind        Kind
	Stamp       time.Duration
	Data        []byte
	Members     []Member // of a View
	Outgoing    []Member // of a View: those before, while the change is joint
	Version     uint32   // of a View: what all Members speak
}

// Snapshot stands for the log up to Index.
type Snapshot struct {
	Index, Term uint64
	Stamp       time.Duration
	View        uint64 // index of the entry that Members are of
	Members     []Member
	Data        []byte
	Outgoing    []Member // as in Entry
	Version     uint32   // as in Entry
}

func (s Snapshot) configuration() Configuration {
	return Configuration{Index: s.View, Members: s.Members, Outgoing: s.Outgoing, Version: s.Version}
}

// position is one entry's place.
type position struct{ index, term uint64 }

// Logged is how many entries are held behind the snapshot.
func (c *Core) Logged() int { return int(c.last() - c.snap.Index) }

func (c *Core) last() uint64 { return c.base.index + uint64(len(c.log)) }

// from are the log's entries from an index on, which must be behind base.
func (c *Core) from(index uint64) []Entry { return c.log[index-c.base.index-1:] }

// termAt is the term of an entry; false: it is not known.
func (c *Core) termAt(index uint64) (uint64, bool) {
	switch {
	case index == c.base.index:
		return c.base.term, true
	case index < c.base.index || index > c.last():
		return 0, false
	}
	return c.from(index)[0].Term, true
}

func (c *Core) lastTerm() uint64 { t, _ := c.termAt(c.last()); return t }

func (c *Core) lastStamp() time.Duration {
	if n := len(c.log); c.last() > c.snap.Index {
		return c.log[n-1].Stamp
	}
	return c.snap.Stamp
}

// committedOwn says that an entry of the leader's own term is committed: until then it does not know what those before it
// had agreed on.
func (c *Core) committedOwn() bool {
	t, _ := c.termAt(c.commit)
	return t == c.term
}

// appendEntries puts entries at the log's end and follows the configurations in them.
func (c *Core) appendEntries(l ...Entry) {
	c.log = append(c.log, l...)
	c.dirty(l[0].Index)
	for _, e := range l {
		if e.Kind == View {
			c.config = configurationOf(e)
		}
	}
}

// truncate drops the entries from an index on.
func (c *Core) truncate(index uint64) {
	c.log = slices.Clone(c.log[:index-c.base.index-1])
	c.saved = min(c.saved, index-1)
	if c.config.Index >= index {
		c.findConfiguration()
	}
}

func (c *Core) dirty(from uint64) {
	if c.dirtyFrom == 0 || from < c.dirtyFrom {
		c.dirtyFrom = from
	}
}

// findConfiguration looks for the latest in the log.
func (c *Core) findConfiguration() { c.config = c.configurationAt(c.last()) }

// configurationAt is the one that holds as of an index, which is not before the snapshot's.
func (c *Core) configurationAt(index uint64) Configuration {
	for _, e := range slices.Backward(c.log[:index-c.base.index]) {
		if e.Index <= c.snap.Index {
			break
		}
		if e.Kind == View {
			return configurationOf(e)
		}
	}
	return c.snap.configuration()
}

// Bounds of the log that is kept in front of a snapshot, so that one that was away for a short time needs none.
const (
	TailEntries   = 4096
	tailBytes     = 4 << 20
	entryOverhead = 64 // bytes that an entry takes beside its data, about
)

// takeTail puts entries in front of the snapshot, if they lead up to it without a gap. The oldest stands for its place only.
func (c *Core) takeTail(tail []Entry) {
	if n := len(tail); n == 0 || tail[n-1].Index != c.snap.Index || tail[n-1].Term != c.snap.Term {
		return
	}
	c.base = position{tail[0].Index, tail[0].Term}
	c.log = append(slices.Clone(tail[1:]), c.log...)
}

// Kept is the oldest entry that belongs on disk.
func (c *Core) Kept() uint64 { return c.base.index }

// tail is where the log is to begin behind which a snapshot at an index is compacted: Keep entries in front of it, or what those
// want that a snapshot is being sent to.
func (c *Core) tail(index uint64) uint64 {
	sending, size := c.transferred()
	bytes, at := 0, index
	for ; at > c.base.index; at-- {
		bytes += len(c.from(at)[0].Data) + entryOverhead
		kept := index-at < uint64(c.cfg.Keep) && bytes <= tailBytes
		wanted := sending > 0 && at > sending && bytes <= max(tailBytes, size)
		if !kept && !wanted {
			break
		}
	}
	return at
}

// Compact has data, the state as of an index that was applied, stand for the log up to it. It returns the snapshot to write;
// entries before Kept may go.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	if index <= c.snap.Index || index > c.applied {
		return c.snap
	}
	e, f := c.from(index)[0], c.configurationAt(index)
	c.snap = Snapshot{Index: index, Term: e.Term, Stamp: e.Stamp, View: f.Index, Members: f.Members, Outgoing: f.Outgoing,
		Version: f.Version, Data: data}
	at := c.tail(index)
	t, _ := c.termAt(at)
	c.log, c.base = slices.Clone(c.from(at+1)), position{at, t}
	return c.snap
}
