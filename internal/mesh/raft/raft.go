// Package raft implements the consensus algorithm of the control plane: one replicated log, a leader elected by a majority, and a
// membership that entries of the log change.
//
// It follows Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", extended version; "Raft paper" in
// this package) with the extensions of Ongaro's dissertation "Consensus: Bridging Theory and Practice" ("dissertation"): pre-vote
// (section 9.6), check quorum (6.2), linearizable reads (ReadIndex, 6.4), leadership transfer (3.10), learners (4.2.1) and joint
// consensus (4.3). Snapshots are sent in chunks (Raft paper, section 7). The planned departure of a member is an extension of this
// package; leave.go describes it.
//
// The package owns the state of one member: its term and vote, its log, and the progress of its peers. It is a pure state machine, like
// etcd's: the caller passes in messages and the time through Step, Tick and the other methods of Raft, and Ready returns what the caller
// has to write, send and apply. The package must never do I/O, read a clock, start a goroutine, log or use global state, so that the same
// calls give the same output. A Raft belongs to one goroutine, in production that of controlplane.Member, which calls it through package
// replica. No other goroutine may call it, not even to read.
//
// Raft's safety depends on the caller writing and sending in the right order: Ready documents what has to be on disk before which messages
// are sent.
//
// Files: step.go dispatches messages and ticks; election.go, replication.go, follower.go and read_index.go implement the algorithm;
// membership.go, join.go and leave.go change the membership; snapshot_send.go and snapshot_receive.go transfer snapshots; log.go,
// configuration.go and progress.go define the state; ready.go defines the output, stored_state.go the persistent state, and timeouts.go
// the timeouts and delays.
//
// A member is identified by an ID that is stored on its disk, not by its address: a member that has lost its disk comes back with
// another ID. It starts as a learner, which does not count towards any majority, until it has caught up. A joint configuration change
// then replaces the lost ID with the new one, so that no majority needs the votes and acknowledgements of the lost disk any more.
package raft

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// ID identifies a member as long as it keeps its disk. The ID 0 stands for no member.
type ID uint64

// Member is a voter or learner, and the address at which it listens for its peers.
type Member struct {
	ID   ID
	Addr string
}

// Config contains the settings of a member and the state read from its disk.
type Config struct {
	Self      Member
	HardState HardState
	Snapshot  Snapshot
	// Entries is the log after Snapshot.Index, without a gap.
	Entries []Entry
	// CatchUpEntries are the last entries up to and including Snapshot.Index, without a gap. They are kept for followers that lag.
	CatchUpEntries []Entry
	// MaxCatchUpEntries is how many entries before a snapshot a compaction keeps at most. DefaultCatchUpEntries suits most uses.
	MaxCatchUpEntries int
	// SnapshotChunkBytes is how many bytes of a snapshot's data one message carries. 0 stands for 32 KiB.
	SnapshotChunkBytes int
	// ClusterSize is the number of voters that the cluster should have. While there are fewer, learners that have caught up become voters.
	ClusterSize int
	// HeartbeatInterval is the time between two heartbeats of a leader. It has to be several times shorter than ElectionTimeout.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a leader has to be silent, at least, before another is elected. Followers wait for up to twice that.
	// The other timeouts of the algorithm are derived from it; see timeouts.go.
	ElectionTimeout time.Duration
	// DeadMemberTimeout is how long a voter has to be silent before a learner may replace it.
	DeadMemberTimeout time.Duration
	// Seed seeds the random part of election timeouts, which makes them reproducible. It has to differ between members.
	Seed uint64
	// legacyProtocol makes this member speak protocol version 0. Tests of mixed versions set it.
	legacyProtocol bool
}

// role is the role of a member in its current term.
type role uint8

const (
	follower     role = iota
	preCandidate      // asks for pre-votes before it starts an election (dissertation, section 9.6)
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
// All times are durations since an instant that the caller chooses. They should not go back; if one does, the latest time passed in
// before is used instead.
type Raft struct {
	config   Config
	rng      *rand.Rand
	now      time.Duration
	role     role
	term     uint64
	vote     ID
	leaderID ID // the leader of the term, or 0 if none is known
	log      raftLog

	electionDeadline time.Duration // when to campaign, unless a message of the leader arrives before
	votes            map[ID]bool   // pre-votes or votes granted to this member

	following followerState
	join      joinState
	leave     leaveState
	incoming  *incomingSnapshot // the snapshot being received, or nil

	// Only used by a leader.
	leading leaderState
	peers   progressTracker // voters and learners other than itself
	reads   readQueue

	outbox outbox
}

// followerState is the state of a follower with respect to its leader.
type followerState struct {
	lastContactAt   time.Duration // when the last message of the leader arrived
	caughtUpAt      time.Duration // when this member last had committed all that the leader had; 0 if never since its start
	protocolVersion uint32        // spoken by the leader
}

// leaderState is the state of a leader besides the progress of its peers.
type leaderState struct {
	electedAt            time.Duration
	logTimeAtElection    time.Duration
	heartbeatRound       uint64 // number of the latest round of heartbeats; a new term does not reset it
	nextHeartbeatAt      time.Duration
	committedAtHeartbeat uint64 // commit index at the last regular heartbeat
}

// pcgStream is the PCG stream of this package. Other users of the same seed choose other streams and get independent numbers.
const pcgStream = 0xc0de

// New returns a member that continues from the state in config, which was read from its disk.
func New(config Config, now time.Duration) *Raft {
	r := &Raft{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, pcgStream)),
		now:    now,
		term:   config.HardState.Term,
		vote:   config.HardState.Vote,
		log:    newRaftLog(config.Snapshot, config.Entries, config.CatchUpEntries),
	}
	r.electionDeadline = now + config.startupDelay() + r.randomBelow(config.startupJitter())
	return r
}

// BootstrapSnapshot returns the initial snapshot of a new cluster of these members. All of them must start with the same one.
func BootstrapSnapshot(members []Member) Snapshot {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return Snapshot{Index: 1, Term: 1, ConfigurationIndex: 1, Members: members}
}

// Leader returns the leader known to this member, or 0 if it knows none.
func (r *Raft) Leader() ID { return r.leaderID }

// IsLeader reports whether this member is the leader of its current term. A leader that is partitioned from the others may not know yet
// that another member leads a later term, so linearizable reads need ReadIndex.
func (r *Raft) IsLeader() bool { return r.role == leader }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// AppliedIndex returns the index of the last entry that Ready has returned as committed or that the latest snapshot covers.
func (r *Raft) AppliedIndex() uint64 { return r.log.applied }

// LastIndex returns the index of the log's last entry, on disk or not.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// EntriesSinceSnapshot returns the number of entries after the latest snapshot.
func (r *Raft) EntriesSinceSnapshot() int { return r.log.entriesSinceSnapshot() }

// OldestRetainedIndex returns the index of the oldest entry that has to stay on disk.
func (r *Raft) OldestRetainedIndex() uint64 { return r.log.start.index }

// Members returns the voters of the latest configuration in the log, without those that a joint change removes, and the index of the
// entry that defines the configuration.
func (r *Raft) Members() ([]Member, uint64) {
	return r.log.configuration.Members, r.log.configuration.Index
}

// Addr returns the address of a member, or "" if it is not known.
func (r *Raft) Addr(id ID) string {
	if p := r.peers.get(id); p != nil && r.role == leader {
		return p.Addr
	}
	for _, members := range [][]Member{r.log.configuration.Members, r.log.configuration.Outgoing, r.join.noticeVoters} {
		for _, member := range members {
			if member.ID == id {
				return member.Addr
			}
		}
	}
	return ""
}

// HasQuorumContact reports whether this member leads and has heard from a quorum within the last election timeout, or follows a leader and
// had committed all that the leader had at some time within it. Clients must not read from a member that is in contact with the leader but
// lags behind it. The result only suggests which members can serve clients: another member may lead a later term meanwhile, so
// linearizable reads need ReadIndex.
func (r *Raft) HasQuorumContact(now time.Duration) bool {
	if r.role == leader {
		return r.isQuorumActive(now, r.config.ElectionTimeout)
	}
	contact := r.following
	return r.leaderID != 0 && now-contact.lastContactAt < r.config.ElectionTimeout &&
		contact.caughtUpAt > 0 && now-contact.caughtUpAt < r.config.ElectionTimeout
}

// IsNonMember reports whether this member is not a voter in the latest configuration of its log, and therefore has to ask to join. A
// learner is a non-member too.
func (r *Raft) IsNonMember() bool { return !r.log.configuration.isVoter(r.config.Self.ID) }

// protocolVersion returns the protocol version that this member speaks.
func (r *Raft) protocolVersion() uint32 {
	if r.config.legacyProtocol {
		return 0
	}
	return ProtocolVersion
}

// isQuorumActive reports whether a quorum, which may include this member, has sent a message to this leader within the span before now.
func (r *Raft) isQuorumActive(now, span time.Duration) bool {
	return r.log.configuration.hasQuorum(func(id ID) bool {
		return id == r.config.Self.ID || r.peers.contactedAfter(id, now-span)
	})
}

// advanceTime sets the current time, unless that would make it go back.
func (r *Raft) advanceTime(now time.Duration) { r.now = max(r.now, now) }

// randomBelow returns a random duration in [0, limit).
func (r *Raft) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit)))
}
