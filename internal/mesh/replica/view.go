package replica

import (
	"time"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft"
)

// Self returns the ID and address of this replica.
func (r *Replica) Self() raft.Member { return r.self }

// State returns the replicated state as of the last applied entry. The caller must not modify it.
func (r *Replica) State() *State { return &r.state }

// Records returns the records of the known sidecars and their servers.
func (r *Replica) Records() directory.Table { return r.records }

// Members returns the members in the latest membership configuration, and the index of its entry.
func (r *Replica) Members() ([]raft.Member, uint64) { return r.raft.Members() }

// IsLeader reports whether this replica considers itself the leader. Another replica may have been elected in a later term.
func (r *Replica) IsLeader() bool { return r.raft.IsLeader() }

// IsReadyLeader reports whether this replica leads and has applied all entries that earlier leaders may have committed.
func (r *Replica) IsReadyLeader() bool { return r.raft.IsCaughtUpLeader() }

// IsNonMember reports whether this replica is not a voter in the latest membership configuration of its log.
func (r *Replica) IsNonMember() bool { return r.raft.IsNonMember() }

// InMaintenance reports whether a maintenance order has taken this replica's machine out of service, as of the last Tick.
func (r *Replica) InMaintenance() bool { return r.inMaintenance }

// IsRecentlyActive reports whether this replica has received a message from a member within the last election timeout. This replica must be
// the leader.
func (r *Replica) IsRecentlyActive(id raft.ID) bool { return r.raft.IsRecentlyActive(id) }

// LeaderAddress returns the address of the leader, or "" if no leader is known.
func (r *Replica) LeaderAddress() string {
	if r.raft.IsLeader() {
		return r.self.Addr
	}
	return r.raft.Addr(r.raft.Leader())
}

// Term returns the current Raft term.
func (r *Replica) Term() uint64 { return r.raft.Term() }

// AppliedIndex returns the index of the last applied entry.
func (r *Replica) AppliedIndex() uint64 { return r.raft.AppliedIndex() }

// SavedIndex returns the index of the last entry on disk.
func (r *Replica) SavedIndex() uint64 { return r.savedIndex }

// LogTime returns the log time at the time now. This replica must be the leader.
func (r *Replica) LogTime(now time.Duration) time.Duration {
	r.advanceTime(now)
	return r.raft.LogTime(r.now)
}

// LeaderGap returns for how long there was no leader since the members last agreed on the time of day, or maintenance.LeaderlessUnknown if
// this replica does not know.
func (r *Replica) LeaderGap() time.Duration { return r.leaderGap.duration }
