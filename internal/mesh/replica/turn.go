package replica

import (
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// ProcessReady carries out what the core wants, until it wants nothing. It is to be called after each other call, or after several.
// False: the disk does not take what must be on it; the owner calls nothing but Turn until it returns true.
func (r *Replica) ProcessReady() bool {
	if r.unsavedReady != nil && !r.persistAndApply(*r.unsavedReady) {
		return false
	}
	for {
		r.raft.Flush()
		ready := r.raft.Ready()
		if len(ready.MessagesBeforeSave)+len(ready.MessagesAfterSave)+len(ready.CommittedEntries)+len(ready.ReadStates) == 0 && !ready.MustSync() {
			if r.announceLeader() {
				continue
			}
			return true
		}
		r.sendAll(ready.MessagesBeforeSave)
		if !r.persistAndApply(ready) {
			return false // and nothing that rests on it was said
		}
	}
}

// persistAndApply does all of a Ready that follows its Before; false: it is not on disk.
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
	r.applyEntries(ready.CommittedEntries)
	r.completeReads(ready.ReadStates)
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

// installSnapshot takes the state of a snapshot that another replica sent.
func (r *Replica) installSnapshot(s raft.Snapshot) {
	if err := r.state.Decode(s.Data); err != nil {
		r.log.Error().Err(err).Msg("a snapshot was received that can't be read")
	}
	r.leaderGap = leaderGap{}
	r.env.BroadcastToSidecars(config.ItemsToWire(r.state.Items.Items()))
	r.env.BroadcastToSidecars(r.state.Maintenance.MachinesMessage())
	r.env.BroadcastToSidecars(r.state.Policy.ActiveMessage())
}

func (r *Replica) applyEntries(entries []raft.Entry) {
	for _, e := range entries {
		clock := r.state.Maintenance.Clock.LogTime
		var o Outcome
		if e.Kind == raft.EntryCommand {
			o = r.state.Apply(e)
		}
		r.leaderGap.observe(e, r.now, r.state.Maintenance.Clock.LogTime != clock)
		r.broadcastOutcome(o)
		if p, is := r.proposals[e.Index]; is {
			delete(r.proposals, e.Index)
			p.done(o, p.term == e.Term)
		}
	}
}

// broadcastOutcome tells the sidecars what an entry has changed.
func (r *Replica) broadcastOutcome(o Outcome) {
	if o.MaintenanceChanged && o.Err == nil {
		r.env.BroadcastToSidecars(r.state.Maintenance.MachinesMessage())
	}
	if len(o.UpdatedItems) > 0 {
		if r.raft.IsLeader() {
			r.raft.BroadcastCommit(r.now)
		}
		r.env.BroadcastToSidecars(config.ItemsToWire(o.UpdatedItems))
	}
	if o.PolicyActivated {
		r.env.BroadcastToSidecars(r.state.Policy.ActiveMessage())
	}
}

func (r *Replica) completeReads(reads []raft.ReadState) {
	for _, x := range reads {
		if done := r.pendingReads[x.RequestID]; done != nil {
			delete(r.pendingReads, x.RequestID)
			done(x.Index, x.Index > 0)
		}
	}
}

// resumeWaiters calls those that waited for what is applied by now.
func (r *Replica) resumeWaiters() {
	at := r.raft.AppliedIndex()
	var due, rest []waiter
	for _, w := range r.waiters {
		if w.index <= at {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	r.waiters = rest
	for _, w := range due {
		w.resume()
	}
}

// compact has a snapshot of the state stand for the log.
func (r *Replica) compact() {
	snapshot := r.raft.Compact(r.raft.AppliedIndex(), r.state.Encode())
	r.env.Compact(snapshot, r.raft.OldestRetainedIndex())
}
