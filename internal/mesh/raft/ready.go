package raft

// Ready tells the caller what to do, in this order:
//
//  1. send MessagesBeforeSave;
//  2. write Snapshot, HardState and Entries (which replace all stored entries from the index of the first one on) and sync them;
//  3. call MarkSaved;
//  4. send MessagesAfterSave;
//  5. restore the state machine from Snapshot;
//  6. apply CommittedEntries;
//  7. serve the reads of ReadStates.
//
// Step 2 comes before step 4 because otherwise a member could send a vote or an acknowledgement and then lose it in a crash, so that two
// leaders are elected or a committed entry is lost (Raft paper, section 5.6 and figure 2). If step 2 fails, the caller must repeat it
// until it succeeds, and call no method of this Raft before.
type Ready struct {
	MessagesBeforeSave, MessagesAfterSave []Message

	HardState        *HardState // nil if it is unchanged
	Entries          []Entry
	Snapshot         *Snapshot // received from the leader, replaces the log and the state machine; nil if none was received
	CommittedEntries []Entry
	ReadStates       []ReadState
}

// MustSync reports whether something has to be on disk before MessagesAfterSave are sent.
func (r Ready) MustSync() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// outbox collects what the next Ready returns, except for the changes of the log.
type outbox struct {
	// beforeSave are messages that do not depend on unsaved state: a leader may replicate entries while it writes them to its own disk
	//  (dissertation, section 10.2.1).
	beforeSave []Message
	// afterSave are messages that depend on the next write, such as votes and acknowledgements.
	afterSave        []Message
	readStates       []ReadState
	hardStateUnsaved bool
}

// sendBeforeSave adds a message to MessagesBeforeSave of the next Ready. It must not depend on unsaved state.
func (r *Raft) sendBeforeSave(message Message) {
	message.From = r.config.Self.ID
	r.outbox.beforeSave = append(r.outbox.beforeSave, message)
}

// sendAfterSave adds a message to MessagesAfterSave of the next Ready. It is sent once the current state is on disk.
func (r *Raft) sendAfterSave(message Message) {
	message.From = r.config.Self.ID
	r.outbox.afterSave = append(r.outbox.afterSave, message)
}

// Ready returns what the caller has to do as a result of the calls since the last Ready. The caller owns the result.
func (r *Raft) Ready() Ready {
	out := r.outbox
	r.outbox = outbox{}
	ready := Ready{MessagesBeforeSave: out.beforeSave, MessagesAfterSave: out.afterSave, ReadStates: out.readStates}
	if out.hardStateUnsaved {
		ready.HardState = &HardState{Term: r.term, Vote: r.vote}
		// A sole voter becomes leader before its term is on disk. No message may carry a term that is not saved: after a crash the member
		// could lead in the same term again.
		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, append(ready.MessagesBeforeSave, ready.MessagesAfterSave...)
	}
	ready.Snapshot = r.log.takeUnsavedSnapshot()
	ready.Entries = r.log.takeUnsavedEntries()
	ready.CommittedEntries = r.log.takeCommittedEntries()
	if r.leave.granted {
		// This process may stop at any moment, so no other member may rely on its messages.
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
