package replica

import (
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// ProcessReady processes what Raft has ready, until there is nothing more. It has to be called after every other call, or after several. It
// returns false if the state could not be saved; the owner must then call nothing but ProcessReady until it returns true.
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
			return false // and nothing was sent that depends on the save
		}
	}
}

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
		r.compact()
	}
	return true
}

func (r *Replica) recordSaved(ready raft.Ready) {
	if n := len(ready.Entries); n > 0 {
		r.savedIndex = ready.Entries[n-1].Index
	} else if ready.Snapshot != nil {
		r.savedIndex = ready.Snapshot.Index
	}
}

// installSnapshot replaces the state by that of a snapshot from the leader, and sends the new state to the sidecars.
func (r *Replica) installSnapshot(snapshot raft.Snapshot) {
	if err := r.state.Decode(snapshot.Data); err != nil {
		r.log.Error().Err(err).Uint64("snapshot_index", snapshot.Index).Msg("received snapshot unreadable")
	}
	r.leaderGap = leaderGap{}
	r.env.BroadcastToSidecars(config.ItemsToWire(r.state.Items.Items()))
	r.env.BroadcastToSidecars(r.state.Maintenance.MachinesMessage())
	r.env.BroadcastToSidecars(r.state.Policy.ActiveMessage())
}

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

// compact replaces the log up to the last applied entry by a snapshot of the state.
func (r *Replica) compact() {
	snapshot := r.raft.Compact(r.raft.AppliedIndex(), r.state.Encode())
	r.env.Compact(snapshot, r.raft.OldestRetainedIndex())
}
