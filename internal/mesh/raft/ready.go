package raft

// Ready is what the caller has to do, in this order:
//
//  1. send MessagesBeforeSave;
//  2. write Snapshot, HardState and Entries (which replace all entries from the index of the first one on) and sync them;
//  3. call MarkSaved;
//  4. send MessagesAfterSave;
//  5. replace the state machine by Snapshot;
//  6. apply CommittedEntries;
//  7. serve the reads of ReadStates.
//
// Step 2 comes before step 4 because a vote or an acknowledgement that is sent and then lost with the disk's cache lets two leaders be
// elected, or a committed entry vanish (Raft paper, section 5.6 and figure 2). If step 2 fails, the caller repeats it and does nothing
// else with this Raft before it succeeds.
type Ready struct {
	MessagesBeforeSave, MessagesAfterSave []Message

	HardState        *HardState // nil if it is unchanged
	Entries          []Entry
	Snapshot         *Snapshot // received from the leader: it replaces the log and the state machine. Nil if none was received.
	CommittedEntries []Entry
	ReadStates       []ReadState
}

// MustSync reports whether something has to be on disk before MessagesAfterSave are sent.
func (r Ready) MustSync() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// outbox collects what the next Ready hands out beside the log.
type outbox struct {
	// beforeSave holds messages that do not depend on anything unsaved: a leader may replicate entries while it writes them to its own
	// disk (dissertation, section 10.2.1).
	beforeSave []Message
	// afterSave holds messages that depend on the next write: votes and acknowledgements.
	afterSave        []Message
	readStates       []ReadState
	hardStateUnsaved bool
}

// sendBeforeSave sends a message that does not depend on the next write.
func (r *Raft) sendBeforeSave(message Message) {
	message.From = r.config.Self.ID
	r.outbox.beforeSave = append(r.outbox.beforeSave, message)
}

// sendAfterSave sends a message once the present state is on disk.
func (r *Raft) sendAfterSave(message Message) {
	message.From = r.config.Self.ID
	r.outbox.afterSave = append(r.outbox.afterSave, message)
}

// Ready returns what has come up to be done since the last call. The caller owns the result.
func (r *Raft) Ready() Ready {
	out := r.outbox
	r.outbox = outbox{}
	ready := Ready{MessagesBeforeSave: out.beforeSave, MessagesAfterSave: out.afterSave, ReadStates: out.readStates}
	if out.hardStateUnsaved {
		ready.HardState = &HardState{Term: r.term, Vote: r.vote}
		// A sole voter becomes leader before its term is on disk. No message may carry a term that could be used again after a restart.
		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, append(ready.MessagesBeforeSave, ready.MessagesAfterSave...)
	}
	ready.Snapshot = r.log.takeUnsavedSnapshot()
	ready.Entries = r.log.takeUnsaved()
	ready.CommittedEntries = r.log.takeCommitted()
	if r.leave.granted {
		// This process may end at any moment, so nobody may rely on its messages.
		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, nil
	}
	for _, messages := range [][]Message{ready.MessagesBeforeSave, ready.MessagesAfterSave} {
		for i := range messages {
			messages[i].ProtocolVersion = r.protocolVersion()
			messages[i].Leaving = r.leave.requested
		}
	}
	return ready
}

// MarkSaved records that everything in a Ready is on disk. From then on a leader counts its own entries towards the majority that commits
// them (dissertation, section 10.2.1).
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
