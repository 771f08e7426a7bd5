// Package raft is the consensus algorithm of the control plane: one replicated log, a leader elected by a majority, and the
// membership as entries of that log.
//
// It follows Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", extended version; "Raft paper" in
// this package) with the extensions of Ongaro's dissertation "Consensus: Bridging Theory and Practice" ("dissertation"): pre-vote
// (section 9.6), check quorum (6.2), confirmed reads (ReadIndex, 6.4), leadership transfer (3.10), learners (4.2.1) and joint
// consensus (4.3). Snapshots go in chunks (Raft paper, section 7). What is not from there is a planned departure, which leave.go
// describes.
//
// The package owns the state of one member: its term and vote, its log, and the progress of its peers. It is a pure state machine, like
// etcd's: messages and the time go in through Step, Tick and the other methods of Raft; what the caller has to write, send and apply
// comes out of Ready. It must never do I/O, read a clock, start a goroutine, log or use global state: the same calls give the same
// output. A Raft belongs to one goroutine, in production that of controlplane.Member, which calls it through package replica. Nobody else
// may call it, not even to read.
//
// The order of writing and sending is the caller's part in Raft's safety: Ready says what has to be on disk before what is sent.
//
// Files: step.go handles messages and the passing of time; election.go, replication.go, follower.go and read_index.go are the algorithm;
// membership.go, join.go and leave.go change the membership; snapshot_send.go and snapshot_receive.go carry snapshots; log.go,
// configuration.go and progress.go hold the state; ready.go is what the caller gets, stored_state.go what its disk holds; timeouts.go
// names the waits.
//
// A member is identified by an ID that is stored on its disk, not by its address: a member that has lost its disk comes back with
// another ID. It starts as a learner, which does not count towards any majority, until it has caught up. A joint configuration change
// then replaces the lost ID by the new one, so that the votes and acknowledgements of the lost disk are never needed again.
package raft

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// ID identifies a member for as long as it keeps its disk. No member has the ID 0, which stands for "none".
type ID uint64

// Member is a voter or learner, and the address at which it listens for its peers.
type Member struct {
	ID   ID
	Addr string
}

// Config is what New needs: the settings of a member, and the state that its disk holds.
type Config struct {
	Self      Member
	HardState HardState
	Snapshot  Snapshot
	// Entries is the log after Snapshot.Index, without a gap.
	Entries []Entry
	// CatchUpEntries is the end of the log up to Snapshot.Index, without a gap. It is kept for followers that lag.
	CatchUpEntries []Entry
	// MaxCatchUpEntries is how many entries before a snapshot a compaction keeps. DefaultCatchUpEntries suits most uses.
	MaxCatchUpEntries int
	// SnapshotChunkBytes is how many bytes of a snapshot's data one message holds. 0 stands for 32 KiB.
	SnapshotChunkBytes int
	// ClusterSize is the number of voters that the cluster should have. A learner is added while there are fewer.
	ClusterSize int
	// HeartbeatInterval is the time between two heartbeats of a leader. It has to be several times shorter than ElectionTimeout.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a leader has to be silent, at least, before another is elected. Followers wait for up to twice that.
	// The other waits of the algorithm are derived from it; see timeouts.go.
	ElectionTimeout time.Duration
	// DeadMemberTimeout is how long a voter has to be silent before a learner may replace it.
	DeadMemberTimeout time.Duration
	// Seed makes the random part of election timeouts reproducible. It has to differ between members.
	Seed uint64
	// legacyProtocol has this member speak protocol version 0. Tests of mixed versions set it.
	legacyProtocol bool
}

// role is what a member is in its present term.
type role uint8

const (
	follower     role = iota
	preCandidate      // has asked whether it would be elected (dissertation, section 9.6)
	candidate
	leader
)

// String returns the role's name.
func (r role) String() string {
	switch r {
	case follower:
		return "follower"
	case preCandidate:
		return "pre-candidate"
	case candidate:
		return "candidate"
	case leader:
		return "leader"
	}
	return "unknown role"
}

// Raft is the state machine of one member. It belongs to one goroutine.
//
// All times are durations since an instant that the caller chooses. They should not go back; if one does, the latest time before it is
// used instead.
type Raft struct {
	config   Config
	rng      *rand.Rand
	now      time.Duration
	role     role
	term     uint64
	vote     ID
	leaderID ID // as far as is known, or 0
	log      raftLog

	electionDeadline time.Duration // when to campaign unless the leader is heard before
	votes            map[ID]bool   // granted to this member, as pre-candidate or candidate

	followed leaderContact
	join     joinState
	leave    leaveState
	incoming *incomingSnapshot // being received, or nil

	// Of a leader.
	leading leaderState
	peers   progressTracker // voters and learners other than itself
	reads   readQueue

	outbox outbox
}

// leaderContact is what a follower knows of the leader that it follows.
type leaderContact struct {
	heardAt         time.Duration
	caughtUpAt      time.Duration // when this member had last committed all that the leader had, or 0 if it never had since its start
	protocolVersion uint32        // that the leader speaks
}

// leaderState is what a leader needs to know beside the progress of its peers.
type leaderState struct {
	electedAt            time.Duration
	logTimeAtElection    time.Duration
	heartbeatRound       uint64 // number of the latest round of heartbeats; a new term does not reset it
	nextHeartbeatAt      time.Duration
	committedAtHeartbeat uint64 // commit index at the last regular heartbeat
}

// randomStream is the PCG stream of this package, so that others may draw from the same seed independently.
const randomStream = 0xc0de

// New returns a member in the state that its disk holds.
func New(config Config, now time.Duration) *Raft {
	r := &Raft{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, randomStream)),
		now:    now,
		term:   config.HardState.Term,
		vote:   config.HardState.Vote,
		log:    newRaftLog(config.Snapshot, config.Entries, config.CatchUpEntries),
	}
	r.electionDeadline = now + config.startupDelay() + r.randomBelow(config.startupJitter())
	return r
}

// BootstrapSnapshot returns the first snapshot of a cluster that these members bootstrap. All of them must start with the same one.
func BootstrapSnapshot(members []Member) Snapshot {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return Snapshot{Index: 1, Term: 1, ConfigurationIndex: 1, Members: members}
}

// Leader returns the leader as far as this member knows, or 0 if it knows none.
func (r *Raft) Leader() ID { return r.leaderID }

// IsLeader reports whether this member leads its term. A leader that is partitioned from the others may not know yet that another
// leads a later term: reads that must be up to date need ReadIndex.
func (r *Raft) IsLeader() bool { return r.role == leader }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// AppliedIndex returns the index of the last entry that Ready has handed out as committed.
func (r *Raft) AppliedIndex() uint64 { return r.log.applied }

// LastIndex returns the index of the log's last entry, on disk or not.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// EntriesSinceSnapshot returns the number of entries after the latest snapshot.
func (r *Raft) EntriesSinceSnapshot() int { return r.log.entriesSinceSnapshot() }

// OldestRetainedIndex returns the index of the oldest entry that has to stay on disk.
func (r *Raft) OldestRetainedIndex() uint64 { return r.log.start.index }

// Members returns the voters of the latest configuration in the log, without those that a joint change removes, and the index of the
// configuration's entry.
func (r *Raft) Members() ([]Member, uint64) {
	return r.log.configuration.Members, r.log.configuration.Index
}

// Addr returns the address of a member, or "" if it is not known.
func (r *Raft) Addr(id ID) string {
	if p := r.peers.get(id); p != nil && r.role == leader {
		return p.Addr
	}
	for _, members := range [][]Member{r.log.configuration.Members, r.log.configuration.Outgoing, r.join.contacts} {
		for _, member := range members {
			if member.ID == id {
				return member.Addr
			}
		}
	}
	return ""
}

// HasQuorumContact reports whether this member leads and has heard a quorum in the last election timeout, or follows a leader and has
// committed all that the leader had. Clients must not read from a member that hears the leader but lags behind it. It is a hint of
// where clients are served, and no proof: another member may lead a later term meanwhile, so linearizable reads need ReadIndex.
func (r *Raft) HasQuorumContact(now time.Duration) bool {
	if r.role == leader {
		return r.isQuorumActive(now, r.config.ElectionTimeout)
	}
	contact := r.followed
	return r.leaderID != 0 && now-contact.heardAt < r.config.ElectionTimeout &&
		contact.caughtUpAt > 0 && now-contact.caughtUpAt < r.config.ElectionTimeout
}

// IsNonMember reports whether this member is not a voter in the latest configuration of its log, and so has to ask to join. A learner is a
// non-member too.
func (r *Raft) IsNonMember() bool { return !r.log.configuration.isVoter(r.config.Self.ID) }

// protocolVersion returns the protocol version that this member speaks.
func (r *Raft) protocolVersion() uint32 {
	if r.config.legacyProtocol {
		return 0
	}
	return ProtocolVersion
}

// isQuorumActive reports whether a quorum, this member included, was heard from in the time span before now.
func (r *Raft) isQuorumActive(now, span time.Duration) bool {
	return r.log.configuration.hasQuorum(func(id ID) bool {
		return id == r.config.Self.ID || r.peers.heardAfter(id, now-span)
	})
}

// advanceTime sets the time, unless it would go back.
func (r *Raft) advanceTime(now time.Duration) { r.now = max(r.now, now) }

// randomBelow returns a random duration from 0 up to, but not including, a limit.
func (r *Raft) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit)))
}
