// Package core is how the registers agree: one log, a leader that a majority chose, and who the members are as entries
// of that same log. It is pure: messages and the time go in, what is to be written, sent and applied comes out of Ready;
// no I/O, no clock, no goroutine. It follows Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", with the asking before an election and the single changes of members of Ongaro's dissertation).
//
// A member is an id that its disk holds, not an address: a register whose disk is lost has another id, which nobody asks
// for a vote until the others have taken it in anew, so what it had promised is never needed from it.
package core

import (
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

// Kind says what an entry is of.
type Kind uint8

// Kinds of entries.
const (
	Blank  Kind = iota // the first of a leader
	Change             // of the state that the members hold; the core does not read it
	View               // who the members are from here on
)

// Entry is one of the log. Stamp is log time: it goes on while there is a leader, never faster than real time.
type Entry struct {
	Index, Term uint64
	Kind        Kind
	Stamp       time.Duration
	Data        []byte
	Members     []Member // of a View
}

// Hard is what must be on disk before a message that rests on it goes out.
type Hard struct {
	Term uint64
	Vote ID
}

// Snapshot stands for the log up to Index.
type Snapshot struct {
	Index, Term uint64
	Stamp       time.Duration
	View        uint64 // index of the entry that Members are of
	Members     []Member
	Data        []byte
}

// MessageKind says what a message is.
type MessageKind uint8

// Kinds of messages.
const (
	Append    MessageKind = iota // entries behind Index, LogTerm; also the leader's beat
	Appended                     // Index: so far the log agrees; Reject with Hint: it does not
	Ask                          // would you vote for me
	Asked                        // the answer
	Elect                        // vote for me
	Elected                      // the answer
	Install                      // a snapshot
	Join                         // take me in
	NotMember                    // you are none; Members are
	Yield                        // the leader ends: take over
)

// Message goes between registers. To is the id that it is meant for; another at that address drops it.
type Message struct {
	Kind           MessageKind
	From, To       ID
	Term           uint64
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	Reject         bool
	Hint           uint64
	Seq            uint64 // round of beats that an Appended answers
	Snapshot       *Snapshot
	Addr           string // of a Join, and where to answer
	Members        []Member
	View           uint64
}

// Config is what a core is made of.
type Config struct {
	Self     Member
	Hard     Hard
	Snapshot Snapshot // what the log begins behind
	Log      []Entry  // in order, from Snapshot.Index+1
	Size     int      // members that there should be
	Beat     time.Duration
	Election time.Duration // the least silence after which another leader is sought; up to twice that
	Dead     time.Duration // silence after which a member may give its place to another
	Seed     uint64
}

type role uint8

const (
	follower role = iota
	asking
	candidate
	leader
)

// yielded is the Hint of an Elect that the leader asked for: those who hear of it vote all the same.
const yielded = 1

// Core is one register's side. It belongs to one goroutine.
type Core struct {
	cfg   Config
	rng   *rand.Rand
	role  role
	term  uint64
	vote  ID
	lead  ID
	log   []Entry // behind snap
	snap  Snapshot
	saved uint64 // log up to here is on disk

	commit, applied uint64
	view            uint64 // index of the entry that members are of
	members         []Member

	now      time.Duration
	heard    time.Duration // from a leader
	fresh    time.Duration // had all that the leader had said was committed; 0: not since it began
	deadline time.Duration // of the silence
	outsider time.Duration // told so then
	joined   time.Duration // asked to be taken in then
	votes    map[ID]bool   // of this election, by id: yes or no
	yielded  bool          // the leader has asked for this one's election

	peers     progressList // a leader's: members and joiners
	seq       uint64
	beatAt    time.Duration
	elected   time.Duration
	stampBase time.Duration
	reads     []read

	hardDirty bool
	dirtyFrom uint64 // log from here on is to be written; 0: nothing
	snapDirty bool
	before    []Message // may go out before the write
	after     []Message
	readsDone []Read
}

type read struct {
	id, index, seq uint64
}

// Read is a read that was confirmed: what is applied up to Index answers it. Index 0: it was not, and the asker must ask again.
type Read struct{ ID, Index uint64 }

// New returns a core as its disk has it.
func New(cfg Config, now time.Duration) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xc0de)), term: cfg.Hard.Term, vote: cfg.Hard.Vote,
		log: cfg.Log, snap: cfg.Snapshot, now: now, commit: cfg.Snapshot.Index, applied: cfg.Snapshot.Index}
	c.saved = c.last()
	c.findView()
	// One that starts asks early: where there is a leader the others say no, and where there is none time is dear.
	c.deadline = c.now + c.cfg.Election/8 + time.Duration(c.rng.Int64N(int64(c.cfg.Election/4)))
	return c
}

// Found returns the snapshot that a core begins with: these are its members.
func Found(members []Member) Snapshot {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int {
		if a.Addr < b.Addr {
			return -1
		}
		return 1
	})
	return Snapshot{Index: 1, Term: 1, View: 1, Members: members}
}

// Ready is what is to be done, in this order: send Before; write Snapshot, Hard and Entries (which replace all from the first one's
// index on) and sync; call Saved; send After; install Snapshot; apply Committed.
type Ready struct {
	Before, After []Message
	Hard          *Hard
	Entries       []Entry
	Snapshot      *Snapshot // received; it replaces the log and the state
	Committed     []Entry
	Reads         []Read
}

// Ready takes what is to be done since the last call.
func (c *Core) Ready() Ready {
	r := Ready{Before: c.before, After: c.after, Reads: c.readsDone}
	c.before, c.after, c.readsDone = nil, nil, nil
	if c.hardDirty {
		r.Hard, c.hardDirty = &Hard{c.term, c.vote}, false
	}
	if c.snapDirty {
		s := c.snap
		r.Snapshot, c.snapDirty = &s, false
		c.applied = s.Index
	}
	if c.dirtyFrom > 0 {
		r.Entries = slices.Clone(c.log[c.dirtyFrom-c.snap.Index-1:])
		c.dirtyFrom = 0
	}
	if c.commit > c.applied {
		r.Committed = slices.Clone(c.log[c.applied-c.snap.Index : c.commit-c.snap.Index])
		c.applied = c.commit
	}
	return r
}

// Must says that a Ready has something that has to be on disk.
func (r Ready) Must() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Saved says that all that Ready gave is on disk.
func (c *Core) Saved(r Ready) {
	if len(r.Entries) > 0 {
		c.saved = r.Entries[len(r.Entries)-1].Index
	}
	if r.Snapshot != nil {
		c.saved = max(c.saved, r.Snapshot.Index)
	}
	if c.role == leader {
		c.advance()
	}
}

// Compact forgets the log up to an index that was applied, whose state is data. It returns the snapshot to write.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	if index <= c.snap.Index || index > c.applied {
		return c.snap
	}
	members, view := c.snap.Members, c.snap.View
	for _, e := range c.log[:index-c.snap.Index] {
		if e.Kind == View {
			members, view = e.Members, e.Index
		}
	}
	e := c.log[index-c.snap.Index-1]
	c.log = slices.Clone(c.log[index-c.snap.Index:])
	c.snap = Snapshot{Index: index, Term: e.Term, Stamp: e.Stamp, View: view, Members: members, Data: data}
	return c.snap
}

// Leader is who leads, as far as is known; 0: nobody.
func (c *Core) Leader() ID { return c.lead }

// Leads says that this one does.
func (c *Core) Leads() bool { return c.role == leader }

// Term is the present term.
func (c *Core) Term() uint64 { return c.term }

// Applied is the index up to which Ready has given what is committed.
func (c *Core) Applied() uint64 { return c.applied }

// Logged is how many entries are held behind the snapshot.
func (c *Core) Logged() int { return len(c.log) }

// Members are those of the latest view, and its index.
func (c *Core) Members() ([]Member, uint64) { return c.members, c.view }

// Addr is where a member listens; "": it is none that is known.
func (c *Core) Addr(id ID) string {
	if p := c.peers.get(id); p != nil && c.role == leader {
		return p.Addr
	}
	for _, m := range c.members {
		if m.ID == id {
			return m.Addr
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

func (c *Core) last() uint64 { return c.snap.Index + uint64(len(c.log)) }

// termAt is the term of an entry; false: it is not known.
func (c *Core) termAt(index uint64) (uint64, bool) {
	switch {
	case index == c.snap.Index:
		return c.snap.Term, true
	case index < c.snap.Index || index > c.last():
		return 0, false
	}
	return c.log[index-c.snap.Index-1].Term, true
}

func (c *Core) lastTerm() uint64 { t, _ := c.termAt(c.last()); return t }

func (c *Core) lastStamp() time.Duration {
	if n := len(c.log); n > 0 {
		return c.log[n-1].Stamp
	}
	return c.snap.Stamp
}

func (c *Core) findView() {
	c.members, c.view = c.snap.Members, c.snap.View
	for _, e := range slices.Backward(c.log) {
		if e.Kind == View {
			c.members, c.view = e.Members, e.Index
			return
		}
	}
}

func (c *Core) isMember(id ID) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.ID == id })
}

// most says that more than half of the members are counted.
func (c *Core) most(counts func(ID) bool) bool {
	n := 0
	for _, m := range c.members {
		if counts(m.ID) {
			n++
		}
	}
	return n > len(c.members)/2
}

func (c *Core) quorumHeard(now, within time.Duration) bool {
	return c.most(func(id ID) bool {
		return id == c.cfg.Self.ID || c.peers.heardSince(id, now-within)
	})
}
