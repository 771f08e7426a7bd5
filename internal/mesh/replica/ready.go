package replica

import (
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// This file keeps the order of etcd's Ready (raft.Ready): send what depends on nothing unsaved, save and sync, send the rest, apply,
// answer. A vote or an acknowledgement that was sent before its save could be lost with the disk's cache (Raft paper, section 5.6).

// ProcessReady processes what Raft has ready, until there is nothing more. It has to be called after every other call, or after several. It
// returns false if the state could not be saved; the owner must then call nothing but ProcessReady until it returns true. Meanwhile
// nothing is sent, applied or acknowledged.
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
			return false // nothing was sent that depends on the save
		}
	}
}

// isEmpty reports whether there is nothing to do.
func isEmpty(ready raft.Ready) bool {
	return len(ready.MessagesBeforeSave) == 0 && len(ready.MessagesAfterSave) == 0 && len(ready.CommittedEntries) == 0 &&
		len(ready.ReadStates) == 0 && !ready.MustSync()
}

// persistAndApply does everything in a Ready after MessagesBeforeSave. It returns false if the state could not be saved.
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
		r.compact() // snapshot.go
	}
	return true
}

// recordSaved records up to which entry the log is on disk. A received snapshot without entries after it ends the log.
func (r *Replica) recordSaved(ready raft.Ready) {
	if n := len(ready.Entries); n > 0 {
		r.savedIndex = ready.Entries[n-1].Index
	} else if ready.Snapshot != nil {
		r.savedIndex = ready.Snapshot.Index
	}
}

// applyEntry applies a committed entry to the state, sends sidecars what it has changed, and answers the proposal at its index.
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

// broadcastOutcome sends sidecars what an entry has changed.
func (r *Replica) broadcastOutcome(outcome Outcome) {
	if outcome.MaintenanceChanged && outcome.Err == nil {
		r.env.BroadcastToSidecars(r.state.Maintenance.MachinesMessage())
	}
	if len(outcome.UpdatedItems) > 0 {
		if r.raft.IsLeader() { // so that sidecars of other members do not have to wait for the next heartbeat
			r.raft.BroadcastCommit(r.now)
		}
		r.env.BroadcastToSidecars(config.ItemsToWire(outcome.UpdatedItems))
	}
	if outcome.PolicyActivated {
		r.env.BroadcastToSidecars(r.state.Policy.ActiveMessage())
	}
}
