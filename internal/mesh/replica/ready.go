package replica

import (
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// This file processes a raft.Ready in the same order as users of etcd's raft package: send the messages that depend on no unsaved state,
// save and sync, send the other messages, apply the committed entries, and answer calls. If a vote or an acknowledgement were sent before
// its save, a power loss could still erase the saved state from the disk's cache (Raft paper, section 5.6).

// ProcessReady processes all pending output of Raft. It must be called after every other call of the replica, or after several. It returns
// false if the state could not be saved; the owner must then call nothing but ProcessReady until it returns true. Meanwhile nothing is
// sent, applied or acknowledged.
func (r *Replica) ProcessReady() bool {
	if r.unsavedReady != nil && !r.persistAndApply(*r.unsavedReady) {
		return false
	}
	for {
		r.raft.Flush()
		ready := r.raft.Ready()
		if isEmpty(ready) {
			if r.announceLeader() {
				continue
			}
			return true
		}
		r.sendAll(ready.MessagesBeforeSave)
		if !r.persistAndApply(ready) {
			return false // no message was sent that depends on the save
		}
	}
}

// isEmpty reports whether a Ready contains no work.
func isEmpty(ready raft.Ready) bool {
	return len(ready.MessagesBeforeSave) == 0 && len(ready.MessagesAfterSave) == 0 && len(ready.CommittedEntries) == 0 &&
		len(ready.ReadStates) == 0 && !ready.MustSync()
}

// persistAndApply processes everything in a Ready except MessagesBeforeSave. It returns false if the state could not be saved.
func (r *Replica) persistAndApply(ready raft.Ready) bool {
	if ready.MustSync() {
		if !r.env.Save(ready, r.savedIndex) {
			r.unsavedReady = &ready
			return false
		}
		r.unsavedReady = nil
		r.recordSaved(ready)
		r.raft.MarkSaved(ready)
	}
	r.sendAll(ready.MessagesAfterSave)
	if ready.Snapshot != nil {
		r.installSnapshot(*ready.Snapshot)
	}
	for _, entry := range ready.CommittedEntries {
		r.applyEntry(entry)
	}
	for _, read := range ready.ReadStates {
		r.reads.complete(read)
	}
	r.resumeWaiters()
	if r.raft.EntriesSinceSnapshot() > r.compactionThreshold {
		r.compact()
	}
	return true
}

// recordSaved updates savedIndex after a save. If a received snapshot was saved without entries, the log ends with the snapshot.
func (r *Replica) recordSaved(ready raft.Ready) {
	if n := len(ready.Entries); n > 0 {
		r.savedIndex = ready.Entries[n-1].Index
	} else if ready.Snapshot != nil {
		r.savedIndex = ready.Snapshot.Index
	}
}

// applyEntry applies a committed entry to the state, broadcasts the changes to sidecars, and completes the proposal at the entry's index.
func (r *Replica) applyEntry(entry raft.Entry) {
	clockBefore := r.state.Maintenance.Clock.LogTime
	var outcome Outcome
	if entry.Kind == raft.EntryCommand {
		outcome = r.state.Apply(entry)
	}
	r.leaderGap.observe(entry, r.now, r.state.Maintenance.Clock.LogTime != clockBefore)
	r.broadcastOutcome(outcome)
	r.completeProposal(entry.Index, entry.Term, outcome)
}

// broadcastOutcome sends the changes that an entry has made to all connected sidecars.
func (r *Replica) broadcastOutcome(outcome Outcome) {
	if outcome.MaintenanceChanged && outcome.Err == nil {
		r.env.BroadcastToSidecars(r.state.Maintenance.MachinesMessage())
	}
	if len(outcome.UpdatedItems) > 0 {
		// Followers otherwise learn the commit index only with the next heartbeat, and their sidecars get the items later.
		if r.raft.IsLeader() {
			r.raft.BroadcastCommit(r.now)
		}
		r.env.BroadcastToSidecars(config.ItemsToWire(outcome.UpdatedItems))
	}
	if outcome.PolicyActivated {
		r.env.BroadcastToSidecars(r.state.Policy.ActiveMessage())
	}
}
