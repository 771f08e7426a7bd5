package replica

import (
	"time"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft"
)

// Self is this replica.
func (r *Replica) Self() raft.Member { return r.self }

// State is the replicated state as of the last entry applied. It is only to be read.
func (r *Replica) State() *State { return &r.state }

// Records are the sidecars and their servers, as far as this replica has heard.
func (r *Replica) Records() directory.Table { return r.records }

// Members are the members of the latest list and the index of its entry.
func (r *Replica) Members() ([]raft.Member, uint64) { return r.raft.Members() }

// IsLeader says that this replica leads, as far as it knows.
func (r *Replica) IsLeader() bool { return r.raft.IsLeader() }

// LeaderAddress is where the leader listens, as far as is known; "": none is.
func (r *Replica) LeaderAddress() string {
	if r.raft.IsLeader() {
		return r.self.Addr
	}
	return r.raft.Addr(r.raft.Leader())
}

// Term is the present term.
func (r *Replica) Term() uint64 { return r.raft.Term() }

// AppliedIndex is the last entry applied.
func (r *Replica) AppliedIndex() uint64 { return r.raft.AppliedIndex() }

// SavedIndex is the last entry on disk.
func (r *Replica) SavedIndex() uint64 { return r.savedIndex }

// IsNonMember says that this replica is no member, as far as it knows.
func (r *Replica) IsNonMember() bool { return r.raft.IsNonMember() }

// InMaintenance says that a maintenance order has this replica out.
func (r *Replica) InMaintenance() bool { return r.inMaintenance }

// HearsFrom says that the leader, which must be this replica, hears a member.
func (r *Replica) HearsFrom(id raft.ID) bool { return r.raft.IsRecentlyActive(id) }

// IsReadyLeader says that this replica leads and has applied all that leaders before it may have had agreed on.
func (r *Replica) IsReadyLeader() bool { return r.raft.IsCaughtUpLeader() }

// LogTime is the log's time, at the leader.
func (r *Replica) LogTime(now time.Duration) time.Duration {
	r.advanceTime(now)
	return r.raft.LogTime(r.now)
}

// LeaderGap is for how long nobody led since the last agreed time; night.GapUnknown: this replica can't tell.
func (r *Replica) LeaderGap() time.Duration { return r.leaderGap.duration }
