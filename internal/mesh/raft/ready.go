package raft

// Ready is what the caller has to do, in this order: send MessagesBeforeSave; write Snapshot, HardState and Entries (which replace
// all from the first one's index on) and sync them; call MarkSaved; send MessagesAfterSave; replace the replicated state by
// Snapshot; apply CommittedEntries; answer ReadStates.
type Ready struct {
	MessagesBeforeSave, MessagesAfterSave []Message

	HardState        *HardState // nil: unchanged
	Entries          []Entry
	Snapshot         *Snapshot // received: it replaces the log and the replicated state; nil: none
	CommittedEntries []Entry
	ReadStates       []ReadState
}

// MustSync reports whether something of it must be on disk before MessagesAfterSave are sent.
func (r Ready) MustSync() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// outbox collects what the next Ready hands out beside the log.
type outbox struct {
	// beforeSave rest on nothing that is not on disk yet: a leader may replicate while its own disk writes (dissertation, section
	// 10.2.1).
	beforeSave []Message
	// afterSave may say what the next write puts on disk: votes and acknowledgements.
	afterSave        []Message
	readStates       []ReadState
	hardStateUnsaved bool
}

// sendBeforeSave sends a message that may go out before the next write.
func (r *Raft) sendBeforeSave(message Message) {
	message.From = r.config.Self.ID
	r.outbox.beforeSave = append(r.outbox.beforeSave, message)
}

// sendAfterSave sends a message once what is known now is on disk.
func (r *Raft) sendAfterSave(message Message) {
	message.From = r.config.Self.ID
	r.outbox.afterSave = append(r.outbox.afterSave, message)
}

// Ready returns what is to be done since the last call.
func (r *Raft) Ready() Ready {
	out := r.outbox
	r.outbox = outbox{}
	ready := Ready{MessagesBeforeSave: out.beforeSave, MessagesAfterSave: out.afterSave, ReadStates: out.readStates}
	if out.hardStateUnsaved {
		ready.HardState = &HardState{Term: r.term, Vote: r.vote}
		// A sole voter leads before its term is on disk. No message may tell of a term that could come again after a restart.
		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, append(ready.MessagesBeforeSave, ready.MessagesAfterSave...)
	}
	ready.Snapshot = r.log.takeUnsavedSnapshot()
	ready.Entries = r.log.takeUnsaved()
	ready.CommittedEntries = r.log.takeCommitted()
	if r.leave.granted { // it may end at any moment: nothing may rest on it any more
		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, nil
	}
	for _, messages := range [][]Message{ready.MessagesBeforeSave, ready.MessagesAfterSave} {
		for i := range messages {
			messages[i].ProtocolVersion, messages[i].Leaving = r.protocolVersion(), r.leave.requested
		}
	}
	return ready
}

// MarkSaved takes note that all that a Ready gave is on disk. A leader counts its own entries from then on.
func (r *Raft) MarkSaved(ready Ready) {
	if len(ready.Entries) > 0 {
		r.log.savedIndex = ready.Entries[len(ready.Entries)-1].Index
	}
	if ready.Snapshot != nil {
		r.log.savedIndex = max(r.log.savedIndex, ready.Snapshot.Index)
	}
	if r.role == leader {
		r.advanceCommit()
	}
}
