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
	if n := len(c.log); n > 0 {
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
		if e.Kind == View {
			return configurationOf(e)
		}
	}
	return c.snap.configuration()
}

// Compact forgets the log up to an index that was applied, whose state is data. It returns the snapshot to write.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	if index <= c.snap.Index || index > c.applied {
		return c.snap
	}
	e, f := c.from(index)[0], c.configurationAt(index)
	c.snap = Snapshot{Index: index, Term: e.Term, Stamp: e.Stamp, View: f.Index, Members: f.Members, Outgoing: f.Outgoing,
		Version: f.Version, Data: data}
	c.log = slices.Clone(c.from(index + 1))
	c.base = position{index, e.Term}
	return c.snap
}
