// Package core is how the registers agree: one log, a leader that a majority chose, and who the members are as entries
// of that same log. It is pure: messages and the time go in, what is to be written, sent and applied comes out of Ready;
// no I/O, no clock, no goroutine, and the same events give the same outputs. It follows Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", with pre-vote, check quorum, learners and joint configurations of
// Ongaro's dissertation).
//
// A member is an id that its disk holds, not an address: a register whose disk is lost has another id. It is a learner,
// which counts for nothing, until it has caught up; then one joint change puts it in the place of the id that was lost, so
// what that had promised is never needed.
package core

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

// Hard is what must be on disk before a message that rests on it goes out.
type Hard struct {
	Term uint64
	Vote ID
}

// Config is what a core is made of.
type Config struct {
	Self     Member
	Hard     Hard
	Snapshot Snapshot // the state that the log goes on from
	Log      []Entry  // in order, from Snapshot.Index+1
	Tail     []Entry  // in order, up to Snapshot.Index: kept for those that lag
	Keep     int      // entries of Tail to keep at a compaction; TailEntries as a rule
	Chunk    int      // bytes of a snapshot that go at once; 0: 32 KiB
	Size     int      // members that there should be
	Beat     time.Duration
	Election time.Duration // the least silence after which another leader is sought; up to twice that
	Dead     time.Duration // silence after which a member may give its place to another
	Seed     uint64
	// FirstBuild has this one speak as the first build did (Version 0). Tests of both builds side by side set it.
	FirstBuild bool
}

type role uint8

const (
	follower role = iota
	asking
	candidate
	leader
)

// Core is one register's side. It belongs to one goroutine.
type Core struct {
	cfg   Config
	rng   *rand.Rand
	role  role
	term  uint64
	vote  ID
	lead  ID
	base  position // the log's entries follow it
	log   []Entry
	snap  Snapshot
	saved uint64 // log up to here is on disk

	commit, applied uint64
	config          Configuration // the latest in the log, committed or not

	now      time.Duration
	heard    time.Duration // from a leader
	fresh    time.Duration // had all that the leader had said was committed; 0: not since it began
	deadline time.Duration // of the silence
	outsider time.Duration // told then that it is no member
	contacts []Member      // the members, as those said that told it so: to be asked to be taken in, and nothing else
	joined   time.Duration // asked to be taken in then
	votes    map[ID]bool   // of this election, by id: yes or no
	yielded  bool          // the leader has asked for this one's election

	leaving       bool          // it was told to end
	released      bool          // what it holds is held by those that stay
	leaveSaid     time.Duration // to a leader, last; or Yield was sent then
	leaderVersion uint32        // that the leader speaks

	peers      progressList // a leader's: members and learners
	seq        uint64
	beatAt     time.Duration
	beatCommit uint64 // what was committed at the last heartbeat
	elected    time.Duration
	stampBase  time.Duration
	reads      []read

	assembly *assembly // a snapshot that is being received

	hardDirty bool
	dirtyFrom uint64 // log from here on is to be written; 0: nothing
	snapDirty bool
	before    []Message // may go out before the write
	after     []Message
	readsDone []Read
}

// New returns a core as its disk has it.
func New(cfg Config, now time.Duration) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xc0de)), term: cfg.Hard.Term, vote: cfg.Hard.Vote,
		log: cfg.Log, snap: cfg.Snapshot, now: now, commit: cfg.Snapshot.Index, applied: cfg.Snapshot.Index}
	c.base = position{c.snap.Index, c.snap.Term}
	c.takeTail(cfg.Tail)
	c.saved = c.last()
	c.findConfiguration()
	// One that starts asks early: where there is a leader the others say no, and where there is none time is dear.
	c.deadline = c.now + c.cfg.Election/8 + time.Duration(c.rng.Int64N(int64(c.cfg.Election/4)))
	return c
}

// Found returns the snapshot that a core begins with: these are its members.
func Found(members []Member) Snapshot {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return Snapshot{Index: 1, Term: 1, View: 1, Members: members}
}

// Leader is who leads, as far as is known; 0: nobody.
func (c *Core) Leader() ID { return c.lead }

// Leads says that this one does.
func (c *Core) Leads() bool { return c.role == leader }

// Term is the present term.
func (c *Core) Term() uint64 { return c.term }

// Applied is the index up to which Ready has given what is committed.
func (c *Core) Applied() uint64 { return c.applied }

// LastIndex is the index of the log's last entry, whether or not it is on disk.
func (c *Core) LastIndex() uint64 { return c.last() }

// Members are the voters of the latest configuration, without those that a joint change takes out, and its index.
func (c *Core) Members() ([]Member, uint64) { return c.config.Members, c.config.Index }

// Addr is where a member listens; "": it is none that is known.
func (c *Core) Addr(id ID) string {
	if p := c.peers.get(id); p != nil && c.role == leader {
		return p.Addr
	}
	for _, l := range [][]Member{c.config.Members, c.config.Outgoing, c.contacts} {
		for _, m := range l {
			if m.ID == id {
				return m.Addr
			}
		}
	}
	return ""
}

// InTouch says that this one hears of a leader that a majority follows, and has what that says is committed: one that hears
// it and lags is no source for anybody.
func (c *Core) InTouch(now time.Duration) bool {
	if c.role == leader {
		return c.quorumHeard(now, c.cfg.Election)
	}
	return c.lead != 0 && now-c.heard < c.cfg.Election && c.fresh > 0 && now-c.fresh < c.cfg.Election
}

// Outside says that this one is no member, as far as it knows, and has to be taken in.
func (c *Core) Outside() bool { return !c.config.votes(c.cfg.Self.ID) }

// version is what this one speaks.
func (c *Core) version() uint32 {
	if c.cfg.FirstBuild {
		return 0
	}
	return Version
}

// quorumHeard says that a quorum was heard within a span.
func (c *Core) quorumHeard(now, within time.Duration) bool {
	return c.config.quorum(func(id ID) bool {
		return id == c.cfg.Self.ID || c.peers.heardSince(id, now-within)
	})
}
