package replica

import (
	"time"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/directory"
)

// Self is this replica.
func (r *Replica) Self() core.Member { return r.self }

// State is the replicated state as of the last entry applied. It is only to be read.
func (r *Replica) State() *State { return &r.state }

// Records are the sidecars and their servers, as far as this replica has heard.
func (r *Replica) Records() directory.Table { return r.records }

// Members are the members of the latest list and the index of its entry.
func (r *Replica) Members() ([]core.Member, uint64) { return r.core.Members() }

// Leads says that this replica leads, as far as it knows.
func (r *Replica) Leads() bool { return r.core.Leads() }

// LeaderAddress is where the leader listens, as far as is known; "": none is.
func (r *Replica) LeaderAddress() string {
	if r.core.Leads() {
		return r.self.Addr
	}
	return r.core.Addr(r.core.Leader())
}

// Term is the present term.
func (r *Replica) Term() uint64 { return r.core.Term() }

// Applied is the last entry applied.
func (r *Replica) Applied() uint64 { return r.core.Applied() }

// Logged is the last entry on disk.
func (r *Replica) Logged() uint64 { return r.logged }

// Outside says that this replica is no member, as far as it knows.
func (r *Replica) Outside() bool { return r.core.Outside() }

// Held says that a maintenance order has this replica out.
func (r *Replica) Held() bool { return r.held }

// Hears says that the leader, which must be this replica, hears a member.
func (r *Replica) Hears(id core.ID) bool { return r.core.Hears(id) }

// Current says that this replica leads and has applied all that leaders before it may have had agreed on.
func (r *Replica) Current() bool { return r.core.Current() }

// Stamp is the log's time, at the leader.
func (r *Replica) Stamp(now time.Duration) time.Duration {
	r.at(now)
	return r.core.Stamp(r.now)
}

// LeaderlessFor is for how long nobody led since the last agreed time; night.GapUnknown: this replica can't tell.
func (r *Replica) LeaderlessFor() time.Duration { return r.leaderless.total }
