// Package core is how the registers agree: one log, a leader that a majority chose, and who the members are as entries
// of that same log. It is pure: messages and the time go in, what is to be written, sent and applied comes out of Ready;
// no I/O, no clock, no goroutine, and the same events give the same outputs. It follows Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", with pre-vote, check quorum, learners and joint configurations of
// Ongaro's dissertation).
//
// A member is an id that its disk holds, not an address: a register whose disk is lost has another id. It is a learner,
// which counts for nothing, until it has caught up; then one joint change puts it in the place of the id that was lost, so
// what that had promised is never needed.
package raft

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// ID names a register's life on one disk.
type ID uint64

// Member is a voter and where its trunk listens.
type Member struct {
	ID   ID
	Addr string
}

// HardState is what must be on disk before a message that rests on it goes out.
type HardState struct {
	Term uint64
	Vote ID
}

// Config is what a core is made of.
type Config struct {
	Self               Member
	HardState          HardState
	Snapshot           Snapshot // the state that the log goes on from
	Entries            []Entry  // in order, from Snapshot.Index+1
	CatchUpEntries     []Entry  // in order, up to Snapshot.Index: kept for those that lag
	MaxCatchUpEntries  int      // entries of Tail to keep at a compaction; TailEntries as a rule
	SnapshotChunkBytes int      // bytes of a snapshot that go at once; 0: 32 KiB
	ClusterSize        int      // members that there should be
	HeartbeatInterval  time.Duration
	ElectionTimeout    time.Duration // the least silence after which another leader is sought; up to twice that
	DeadMemberTimeout  time.Duration // silence after which a member may give its place to another
	Seed               uint64
	// FirstBuild has this one speak as the first build did (Version 0). Tests of both builds side by side set it.
	legacyProtocol bool
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Raft is one register's side. It belongs to one goroutine.
type Raft struct {
	config     Config
	rng        *rand.Rand
	role       role
	term       uint64
	vote       ID
	leaderID   ID
	logStart   position // the log's entries follow it
	entries    []Entry
	snapshot   Snapshot
	savedIndex uint64 // log up to here is on disk

	committed, applied uint64
	configuration      Configuration // the latest in the log, committed or not

	now                time.Duration
	leaderHeardAt      time.Duration // from a leader
	caughtUpAt         time.Duration // had all that the leader had said was committed; 0: not since it began
	electionDeadline   time.Duration // of the silence
	toldNonMemberAt    time.Duration // told then that it is no member
	joinContacts       []Member      // the members, as those said that told it so: to be asked to be taken in, and nothing else
	joinRequestedAt    time.Duration // asked to be taken in then
	votes              map[ID]bool   // of this election, by id: yes or no
	electionByTransfer bool          // the leader has asked for this one's election

	leaving               bool          // it was told to end
	leaveGranted          bool          // what it holds is held by those that stay
	leaveRequestedAt      time.Duration // to a leader, last; or Yield was sent then
	leaderProtocolVersion uint32        // that the leader speaks

	peers                progressTracker // a leader's: members and learners
	heartbeatRound       uint64
	nextHeartbeatAt      time.Duration
	committedAtHeartbeat uint64 // what was committed at the last heartbeat
	electedAt            time.Duration
	logTimeAtElection    time.Duration
	pendingReads         []pendingRead

	incoming *incomingSnapshot // a snapshot that is being received

	hardStateUnsaved   bool
	firstUnsavedIndex  uint64 // log from here on is to be written; 0: nothing
	snapshotUnsaved    bool
	messagesBeforeSave []Message // may go out before the write
	messagesAfterSave  []Message
	readStates         []ReadState
}

// New returns a core as its disk has it.
func New(cfg Config, now time.Duration) *Raft {
	c := &Raft{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xc0de)), term: cfg.HardState.Term, vote: cfg.HardState.Vote,
		entries: cfg.Entries, snapshot: cfg.Snapshot, now: now, committed: cfg.Snapshot.Index, applied: cfg.Snapshot.Index}
	c.logStart = position{c.snapshot.Index, c.snapshot.Term}
	c.restoreCatchUpEntries(cfg.CatchUpEntries)
	c.savedIndex = c.lastIndex()
	c.refreshConfiguration()
	// One that starts asks early: where there is a leader the others say no, and where there is none time is dear.
	c.electionDeadline = c.now + c.config.ElectionTimeout/8 + time.Duration(c.rng.Int64N(int64(c.config.ElectionTimeout/4)))
	return c
}

// BootstrapSnapshot returns the snapshot that a core begins with: these are its members.
func BootstrapSnapshot(members []Member) Snapshot {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return Snapshot{Index: 1, Term: 1, ConfigurationIndex: 1, Members: members}
}

// Leader is who leads, as far as is known; 0: nobody.
func (c *Raft) Leader() ID { return c.leaderID }

// IsLeader says that this one does.
func (c *Raft) IsLeader() bool { return c.role == leader }

// Term is the present term.
func (c *Raft) Term() uint64 { return c.term }

// AppliedIndex is the index up to which Ready has given what is committed.
func (c *Raft) AppliedIndex() uint64 { return c.applied }

// LastIndex is the index of the log's last entry, whether or not it is on disk.
func (c *Raft) LastIndex() uint64 { return c.lastIndex() }

// Members are the voters of the latest configuration, without those that a joint change takes out, and its index.
func (c *Raft) Members() ([]Member, uint64) { return c.configuration.Members, c.configuration.Index }

// Addr is where a member listens; "": it is none that is known.
func (c *Raft) Addr(id ID) string {
	if p := c.peers.get(id); p != nil && c.role == leader {
		return p.Addr
	}
	for _, l := range [][]Member{c.configuration.Members, c.configuration.Outgoing, c.joinContacts} {
		for _, m := range l {
			if m.ID == id {
				return m.Addr
			}
		}
	}
	return ""
}

// HasQuorumContact says that this one hears of a leader that a majority follows, and has what that says is committed: one that hears
// it and lags is no source for anybody.
func (c *Raft) HasQuorumContact(now time.Duration) bool {
	if c.role == leader {
		return c.isQuorumActive(now, c.config.ElectionTimeout)
	}
	return c.leaderID != 0 && now-c.leaderHeardAt < c.config.ElectionTimeout && c.caughtUpAt > 0 && now-c.caughtUpAt < c.config.ElectionTimeout
}

// IsNonMember says that this one is no member, as far as it knows, and has to be taken in.
func (c *Raft) IsNonMember() bool { return !c.configuration.isVoter(c.config.Self.ID) }

// protocolVersion is what this one speaks.
func (c *Raft) protocolVersion() uint32 {
	if c.config.legacyProtocol {
		return 0
	}
	return ProtocolVersion
}

// isQuorumActive says that a quorum was heard within a span.
func (c *Raft) isQuorumActive(now, within time.Duration) bool {
	return c.configuration.hasQuorum(func(id ID) bool {
		return id == c.config.Self.ID || c.peers.heardAfter(id, now-within)
	})
}
