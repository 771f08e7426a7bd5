package raft

import "slices"

// Ready is what is to be done, in this order: send Before; write Snapshot, Hard and Entries (which replace all from the first one's
// index on) and sync; call Saved; send After; install Snapshot; apply Committed.
type Ready struct {
	MessagesBeforeSave, MessagesAfterSave []Message
	HardState                             *HardState
	Entries                               []Entry
	Snapshot                              *Snapshot // received; it replaces the log and the state
	CommittedEntries                      []Entry
	ReadStates                            []ReadState
}

// Ready takes what is to be done since the last call.
func (c *Raft) Ready() Ready {
	r := Ready{MessagesBeforeSave: c.messagesBeforeSave, MessagesAfterSave: c.messagesAfterSave, ReadStates: c.readStates}
	c.messagesBeforeSave, c.messagesAfterSave, c.readStates = nil, nil, nil
	if c.hardStateUnsaved {
		r.HardState, c.hardStateUnsaved = &HardState{c.term, c.vote}, false
		// A member that decides by itself leads before its term is on disk; nobody may hear of a term that could come again.
		r.MessagesBeforeSave, r.MessagesAfterSave = nil, append(r.MessagesBeforeSave, r.MessagesAfterSave...)
	}
	if c.snapshotUnsaved {
		s := c.snapshot
		r.Snapshot, c.snapshotUnsaved = &s, false
		c.applied = s.Index
	}
	if c.firstUnsavedIndex > 0 {
		r.Entries = slices.Clone(c.entriesFrom(c.firstUnsavedIndex))
		c.firstUnsavedIndex = 0
	}
	if c.committed > c.applied {
		r.CommittedEntries = slices.Clone(c.entriesFrom(c.applied + 1)[:c.committed-c.applied])
		c.applied = c.committed
	}
	if c.leaveGranted { // nothing may rest on it any more
		r.MessagesBeforeSave, r.MessagesAfterSave = nil, nil
	}
	for _, l := range [][]Message{r.MessagesBeforeSave, r.MessagesAfterSave} {
		for i := range l {
			l[i].ProtocolVersion, l[i].Leaving = c.protocolVersion(), c.leaving
		}
	}
	return r
}

// MustSync says that a Ready has something that has to be on disk.
func (r Ready) MustSync() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// MarkSaved says that all that Ready gave is on disk.
func (c *Raft) MarkSaved(r Ready) {
	if len(r.Entries) > 0 {
		c.savedIndex = r.Entries[len(r.Entries)-1].Index
	}
	if r.Snapshot != nil {
		c.savedIndex = max(c.savedIndex, r.Snapshot.Index)
	}
	if c.role == leader {
		c.advanceCommit()
	}
}
