// Package raft is the consensus algorithm of the control plane: one replicated log, a leader elected by a majority, and the
// membership as entries of that log.
//
// It follows Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", extended version; "Raft paper" in
// this package) with the extensions of Ongaro's dissertation "Consensus: Bridging Theory and Practice" ("dissertation"): pre-vote
// (section 9.6), check quorum (6.2), confirmed reads (ReadIndex, 6.4), leadership transfer (3.10), learners (4.2.1) and joint
// consensus (4.3). Snapshots go in chunks (Raft paper, section 7). What is not from there is a planned departure, which leave.go
// describes.
//
// The package owns the state of one member: its term and vote, its log, the progress of its peers. It is a pure state machine, like
// etcd's: messages and the time go in through Step, Tick and the calls of Raft; what is to be written, sent and applied comes out of
// Ready. It must never do I/O, read a clock, start a goroutine, log or use global state: the same calls give the same output.
//
// A member is identified by an ID that its disk holds, not by its address: one that lost its disk has another ID. It starts as a
// learner, which does not count for any majority, until it has caught up. A joint configuration change then gives it the place of
// the ID that was lost, so the votes and acknowledgements of the lost disk are never needed again.
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

// HardState must be on disk before any message that rests on it is sent (Raft paper, figure 2: persistent state).
type HardState struct {
	Term uint64
	Vote ID // given in Term; 0: none
}

// Config is what New needs: the settings of a member, and the state that its disk holds.
type Config struct {
	Self      Member
	HardState HardState
	Snapshot  Snapshot
	// Entries of the log behind Snapshot.Index, without a gap.
	Entries []Entry
	// CatchUpEntries of the log up to Snapshot.Index, without a gap: kept for followers that lag.
	CatchUpEntries []Entry
	// MaxCatchUpEntries to keep in front of a snapshot at a compaction; DefaultCatchUpEntries as a rule.
	MaxCatchUpEntries  int
	SnapshotChunkBytes int // in one message; 0: 32 KiB
	ClusterSize        int // number of voters that there should be
	HeartbeatInterval  time.Duration
	// ElectionTimeout is the least silence of a leader after which another is elected. Followers wait for up to twice that.
	ElectionTimeout time.Duration
	// DeadMemberTimeout is the silence after which a learner may take a voter's place.
	DeadMemberTimeout time.Duration
	Seed              uint64 // of the random part of election timeouts
	// legacyProtocol has this member speak protocol version 0. Tests of mixed versions set it.
	legacyProtocol bool
}

// role is what a member is in its present term.
type role uint8

const (
	follower     role = iota
	preCandidate      // asks whether it would be elected (dissertation, section 9.6)
	candidate
	leader
)

// String is the role's name.
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
// All times are durations since an instant that the caller chooses. They must not go back; where one does, the latest counts.
type Raft struct {
	config   Config
	rng      *rand.Rand
	now      time.Duration
	role     role
	term     uint64
	vote     ID
	leaderID ID // as far as is known; 0: none
	log      raftLog

	electionDeadline time.Duration // until which silence of the leader is borne
	votes            map[ID]bool   // granted to this member, as pre-candidate or candidate

	followed leaderContact
	join     joinState
	leave    leaveState
	incoming *incomingSnapshot // being received; nil: none

	// Of a leader.
	leading leaderState
	peers   progressTracker // voters and learners other than itself
	reads   readQueue

	outbox outbox
}

// leaderContact is what a follower knows of the leader that it follows.
type leaderContact struct {
	heardAt         time.Duration
	caughtUpAt      time.Duration // when all that the leader had committed was committed here; 0: never since the start
	protocolVersion uint32        // that the leader speaks
}

// leaderState is what a leader needs to know beside the progress of its peers.
type leaderState struct {
	electedAt            time.Duration
	logTimeAtElection    time.Duration
	heartbeatRound       uint64 // number of the latest round of heartbeats; it goes on over terms
	nextHeartbeatAt      time.Duration
	committedAtHeartbeat uint64 // commit index at the last regular heartbeat
}

// randomStream tells this package's random numbers from others that are drawn from the same seed.
const randomStream = 0xc0de

// New returns a member that continues from what its disk holds.
func New(config Config, now time.Duration) *Raft {
	r := &Raft{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, randomStream)),
		now:    now,
		term:   config.HardState.Term,
		vote:   config.HardState.Vote,
		log:    newRaftLog(config.Snapshot, config.Entries, config.CatchUpEntries),
	}
	// A member that has just started asks for pre-votes early: where there is a leader the others refuse, and where there is none
	// the cluster should not wait.
	r.electionDeadline = now + config.ElectionTimeout/8 + r.randomBelow(config.ElectionTimeout/4)
	return r
}

// BootstrapSnapshot is the first snapshot of a cluster that these members found. All of them must start with the same.
func BootstrapSnapshot(members []Member) Snapshot {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return Snapshot{Index: 1, Term: 1, ConfigurationIndex: 1, Members: members}
}

// Leader is the leader as far as this member knows; 0: none.
func (r *Raft) Leader() ID { return r.leaderID }

// IsLeader reports whether this member leads its term. A leader that was cut off may not know yet that another leads a later one:
// what must be up to date takes ReadIndex.
func (r *Raft) IsLeader() bool { return r.role == leader }

// Term is the present term.
func (r *Raft) Term() uint64 { return r.term }

// AppliedIndex is the index of the last entry that Ready has handed out as committed.
func (r *Raft) AppliedIndex() uint64 { return r.log.applied }

// LastIndex is the index of the log's last entry, on disk or not.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// EntriesSinceSnapshot is the number of entries that the log holds behind the latest snapshot.
func (r *Raft) EntriesSinceSnapshot() int { return r.log.entriesSinceSnapshot() }

// OldestRetainedIndex is the index of the oldest entry that belongs on disk.
func (r *Raft) OldestRetainedIndex() uint64 { return r.log.start.index }

// Members are the voters of the latest configuration in the log, without those that a joint change takes out, and the index of its
// entry.
func (r *Raft) Members() ([]Member, uint64) {
	return r.log.configuration.Members, r.log.configuration.Index
}

// Addr is the address of a member; "": it is not known.
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

// HasQuorumContact reports whether this member leads and is heard by a quorum, or hears the leader and has committed all that the
// leader had. A member that hears the leader but lags must not serve others as a source.
func (r *Raft) HasQuorumContact(now time.Duration) bool {
	if r.role == leader {
		return r.isQuorumActive(now, r.config.ElectionTimeout)
	}
	contact := r.followed
	return r.leaderID != 0 && now-contact.heardAt < r.config.ElectionTimeout &&
		contact.caughtUpAt > 0 && now-contact.caughtUpAt < r.config.ElectionTimeout
}

// IsNonMember reports whether this member is no voter of the latest configuration in its log, so that it has to ask to join.
func (r *Raft) IsNonMember() bool { return !r.log.configuration.isVoter(r.config.Self.ID) }

// protocolVersion is the version that this member speaks.
func (r *Raft) protocolVersion() uint32 {
	if r.config.legacyProtocol {
		return 0
	}
	return ProtocolVersion
}

// isQuorumActive reports whether a quorum was heard in the span before now.
func (r *Raft) isQuorumActive(now, span time.Duration) bool {
	return r.log.configuration.hasQuorum(func(id ID) bool {
		return id == r.config.Self.ID || r.peers.heardAfter(id, now-span)
	})
}

// advanceTime takes the caller's time, which never goes back.
func (r *Raft) advanceTime(now time.Duration) { r.now = max(r.now, now) }

// randomBelow draws a duration from 0 up to, but not including, a limit.
func (r *Raft) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit)))
}
