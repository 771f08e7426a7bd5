package core

import "slices"

// Ready is what is to be done, in this order: send Before; write Snapshot, Hard and Entries (which replace all from the first one's
// index on) and sync; call Saved; send After; install Snapshot; apply Committed.
type Ready struct {
	Before, After []Message
	Hard          *Hard
	Entries       []Entry
	Snapshot      *Snapshot // received; it replaces the log and the state
	Committed     []Entry
	Reads         []Read
}

// Ready takes what is to be done since the last call.
func (c *Core) Ready() Ready {
	r := Ready{Before: c.before, After: c.after, Reads: c.readsDone}
	c.before, c.after, c.readsDone = nil, nil, nil
	if c.hardDirty {
		r.Hard, c.hardDirty = &Hard{c.term, c.vote}, false
		// A member that decides by itself leads before its term is on disk; nobody may hear of a term that could come again.
		r.Before, r.After = nil, append(r.Before, r.After...)
	}
	if c.snapDirty {
		s := c.snap
		r.Snapshot, c.snapDirty = &s, false
		c.applied = s.Index
	}
	if c.dirtyFrom > 0 {
		r.Entries = slices.Clone(c.from(c.dirtyFrom))
		c.dirtyFrom = 0
	}
	if c.commit > c.applied {
		r.Committed = slices.Clone(c.from(c.applied + 1)[:c.commit-c.applied])
		c.applied = c.commit
	}
	if c.released { // nothing may rest on it any more
		r.Before, r.After = nil, nil
	}
	for _, l := range [][]Message{r.Before, r.After} {
		for i := range l {
			l[i].Version, l[i].Leaving = c.version(), c.leaving
		}
	}
	return r
}

// Must says that a Ready has something that has to be on disk.
func (r Ready) Must() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Saved says that all that Ready gave is on disk.
func (c *Core) Saved(r Ready) {
	if len(r.Entries) > 0 {
		c.saved = r.Entries[len(r.Entries)-1].Index
	}
	if r.Snapshot != nil {
		c.saved = max(c.saved, r.Snapshot.Index)
	}
	if c.role == leader {
		c.advance()
	}
}
