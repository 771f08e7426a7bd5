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

// progress is what a leader knows of another.
type progress struct {
	Member
	match, next uint64
	heard       time.Duration
	seq         uint64        // latest round that it answered
	sent        time.Duration // the last Append
	paused      bool          // a rejection or a snapshot is under way until it answers or a beat is due
}

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
	deadline time.Duration // of the silence
	outsider time.Duration // told so then
	joined   time.Duration // asked to be taken in then
	votes    map[ID]bool   // of this election, by id: yes or no
	yielded  bool          // the leader has asked for this one's election

	peers     map[ID]*progress // a leader's: members and joiners
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

// ---- What is known ----

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
	if p := c.peers[id]; p != nil && c.role == leader {
		return p.Addr
	}
	for _, m := range c.members {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

// InTouch says that this one hears of a leader that a majority follows.
func (c *Core) InTouch(now time.Duration) bool {
	if c.role == leader {
		return c.quorumHeard(now, c.cfg.Election)
	}
	return c.lead != 0 && now-c.heard < c.cfg.Election
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
		return id == c.cfg.Self.ID || c.peers[id] != nil && now-c.peers[id].heard < within
	})
}

// ---- Time ----

func (c *Core) rest() {
	least := c.cfg.Election
	if c.role == asking { // asking disturbs nobody, and who was not there may be by now
		least /= 4
	}
	c.deadline = c.now + least + time.Duration(c.rng.Int64N(int64(least)))
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == leader {
		switch {
		case now-c.elected > 2*c.cfg.Election && !c.quorumHeard(now, 2*c.cfg.Election):
			c.become(follower, c.term, 0)
		case now >= c.beatAt:
			c.beat()
		}
		if c.role == leader {
			c.tend()
		}
		return
	}
	if !c.isMember(c.cfg.Self.ID) || c.outsider > 0 && now-c.outsider < 2*c.cfg.Election {
		c.join()
	}
	if now < c.deadline {
		return
	}
	c.lead = 0
	if c.isMember(c.cfg.Self.ID) && !(c.outsider > 0 && now-c.outsider < 2*c.cfg.Election) {
		c.campaign(asking)
	} else {
		c.rest()
	}
}

// join asks all that are known to be taken in.
func (c *Core) join() {
	if c.joined > 0 && c.now-c.joined < c.cfg.Election/4 || c.now-c.heard < c.cfg.Election/2 && c.isMember(c.cfg.Self.ID) {
		return
	}
	c.joined = c.now
	for _, m := range c.members {
		if m.ID != c.cfg.Self.ID {
			c.after = append(c.after, Message{Kind: Join, From: c.cfg.Self.ID, To: m.ID, Addr: c.cfg.Self.Addr})
		}
	}
	// Those that it knows only by address are asked by the shell.
}

// Outside says that this one is no member, as far as it knows, and hears from no leader that may take it in.
func (c *Core) Outside() bool { return !c.isMember(c.cfg.Self.ID) }

// ---- Roles ----

func (c *Core) become(r role, term uint64, lead ID) {
	if term > c.term {
		c.term, c.vote, c.hardDirty = term, 0, true
	}
	if c.role == leader && r != leader {
		for _, x := range c.reads {
			c.readsDone = append(c.readsDone, Read{ID: x.id})
		}
		c.reads, c.peers = nil, nil
	}
	c.role, c.lead = r, lead
	c.rest()
}

func (c *Core) campaign(r role) {
	term := c.term + 1
	kind := Ask
	if r == candidate {
		c.become(candidate, term, 0)
		c.vote, c.hardDirty, kind = c.cfg.Self.ID, true, Elect
	} else {
		c.become(asking, c.term, 0)
	}
	c.votes = map[ID]bool{c.cfg.Self.ID: true}
	for _, m := range c.members {
		if m.ID != c.cfg.Self.ID {
			x := Message{Kind: kind, From: c.cfg.Self.ID, To: m.ID, Term: term, Index: c.last(), LogTerm: c.lastTerm()}
			if c.yielded {
				x.Hint = yielded
			}
			c.after = append(c.after, x)
		}
	}
	c.count()
}

func (c *Core) count() {
	if !c.most(func(id ID) bool { return c.votes[id] }) {
		return
	}
	if c.role == asking {
		c.campaign(candidate)
		return
	}
	c.become(leader, c.term, c.cfg.Self.ID)
	c.peers, c.elected, c.stampBase = map[ID]*progress{}, c.now, c.lastStamp()
	c.follow()
	c.add(Entry{Kind: Blank})
	c.beat()
}

// follow has a leader keep track of each member.
func (c *Core) follow() {
	for _, m := range c.members {
		if p := c.peers[m.ID]; p != nil {
			p.Member = m
		} else if m.ID != c.cfg.Self.ID {
			c.peers[m.ID] = &progress{Member: m, next: c.last() + 1, heard: c.now}
		}
	}
}

// ---- A leader ----

// Propose adds an entry; ok: this one leads. It is committed once Ready gives it with this term.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	c.now = max(c.now, now)
	if c.role != leader {
		return 0, 0, false
	}
	e := c.add(Entry{Kind: Change, Data: data})
	return e.Index, e.Term, true
}

// Flush sends what was proposed; several proposals go out together.
func (c *Core) Flush() {
	if c.role == leader {
		for _, p := range c.peers {
			if !p.paused && p.next <= c.last() {
				c.send(p)
			}
		}
	}
}

// Yield has the member that is furthest take over, for this one is about to end.
func (c *Core) Yield(now time.Duration) {
	c.now = max(c.now, now)
	if c.role != leader {
		return
	}
	var best *progress
	for _, m := range c.members {
		if p := c.peers[m.ID]; p != nil && c.now-p.heard < c.cfg.Election && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best != nil {
		c.after = append(c.after, Message{Kind: Yield, From: c.cfg.Self.ID, To: best.ID, Term: c.term})
	}
}

// Tell has the others hear at once of what is committed, which goes with the next beat otherwise.
func (c *Core) Tell(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == leader {
		c.beat()
	}
}

// Ask asks for a confirmed read, which Ready answers under this id; false: this one does not lead.
func (c *Core) Ask(now time.Duration, id uint64) bool {
	c.now = max(c.now, now)
	if t, _ := c.termAt(c.commit); c.role != leader || t != c.term {
		return false
	}
	if len(c.members) == 1 {
		c.readsDone = append(c.readsDone, Read{id, c.commit})
		return true
	}
	if len(c.reads) == 0 || c.reads[len(c.reads)-1].seq <= c.seq {
		c.beat()
	}
	c.reads = append(c.reads, read{id, c.commit, c.seq})
	return true
}

func (c *Core) add(e Entry) Entry {
	e.Index, e.Term = c.last()+1, c.term
	e.Stamp = max(c.lastStamp(), c.stampBase+c.now-c.elected)
	c.log = append(c.log, e)
	c.dirty(e.Index)
	if e.Kind == View {
		c.members, c.view = e.Members, e.Index
		c.follow()
	}
	return e
}

func (c *Core) dirty(from uint64) {
	if c.dirtyFrom == 0 || from < c.dirtyFrom {
		c.dirtyFrom = from
	}
}

// beat sends each what it lacks, at least the word that the leader is there.
func (c *Core) beat() {
	c.seq++
	c.beatAt = c.now + c.cfg.Beat
	for _, p := range c.peers {
		p.paused = false
		c.send(p)
	}
}

// mostSent is how many entries go with one message.
const mostSent = 256

func (c *Core) send(p *progress) {
	m := Message{Kind: Append, From: c.cfg.Self.ID, To: p.ID, Term: c.term, Commit: c.commit, Seq: c.seq}
	prev := p.next - 1
	t, known := c.termAt(prev)
	if !known {
		s := c.snap
		m.Kind, m.Snapshot = Install, &s
		p.paused = true
	} else {
		m.Index, m.LogTerm = prev, t
		m.Entries = slices.Clone(c.log[prev-c.snap.Index:])
		if len(m.Entries) > mostSent {
			m.Entries = m.Entries[:mostSent]
		}
		p.next += uint64(len(m.Entries)) // what is lost is found missing by the next
	}
	p.sent = c.now
	c.before = append(c.before, m)
}

// advance commits what more than half of the members have on disk.
func (c *Core) advance() {
	for n := c.last(); n > c.commit; n-- {
		if t, _ := c.termAt(n); t != c.term {
			return // only what this leader has added itself is committed by counting
		}
		if c.most(func(id ID) bool {
			if id == c.cfg.Self.ID {
				return c.saved >= n
			}
			return c.peers[id] != nil && c.peers[id].match >= n
		}) {
			c.commit = n
			c.Flush()
			return
		}
	}
}

// tend sees to the members: one change at a time, and only where those that stay are there to carry it.
func (c *Core) tend() {
	if t, _ := c.termAt(c.commit); t != c.term || c.view > c.commit {
		return
	}
	for id, p := range c.peers {
		if c.isMember(id) {
			continue
		}
		if c.now-p.heard > 4*c.cfg.Dead {
			delete(c.peers, id)
			continue
		}
		if c.now-p.heard > c.cfg.Election {
			continue
		}
		// One that came back without its disk, at the address that it had, takes its own place.
		if i := slices.IndexFunc(c.members, func(m Member) bool { return m.Addr == p.Addr && m.ID != id }); i >= 0 {
			c.change(slices.Delete(slices.Clone(c.members), i, i+1))
			return
		}
		if len(c.members) >= c.cfg.Size {
			i := slices.IndexFunc(c.members, func(m Member) bool {
				q := c.peers[m.ID]
				return m.ID != c.cfg.Self.ID && (q == nil || c.now-q.heard > c.cfg.Dead)
			})
			if i >= 0 {
				c.change(slices.Delete(slices.Clone(c.members), i, i+1))
				return
			}
			continue
		}
		if p.match >= c.commit {
			c.change(append(slices.Clone(c.members), p.Member))
			return
		}
	}
}

// change proposes a view if more than half of it is there.
func (c *Core) change(to []Member) {
	there := 0
	for _, m := range to {
		if m.ID == c.cfg.Self.ID || c.peers[m.ID] != nil && c.now-c.peers[m.ID].heard < c.cfg.Election {
			there++
		}
	}
	if there > len(to)/2 {
		c.add(Entry{Kind: View, Members: to})
		c.Flush()
	}
}

// ---- Messages ----

// Step takes a message.
func (c *Core) Step(now time.Duration, m Message) {
	c.now = max(c.now, now)
	switch {
	case m.Kind == Join:
		c.takeJoin(m)
		return
	case m.To != c.cfg.Self.ID:
		return // meant for another that was at this address
	case m.Kind == NotMember:
		if m.View > c.view {
			c.outsider = c.now
			if !c.isMember(c.cfg.Self.ID) || m.View > c.last() {
				c.members = m.Members // to be asked; the log has its own word later
			}
		}
		return
	case m.Kind == Ask:
		c.answerAsk(m)
		return
	case m.Kind == Asked:
		if c.role == asking && m.Term == c.term+1 && !m.Reject {
			c.votes[m.From] = true
			c.count()
		} else if m.Reject && m.Term > c.term {
			c.become(follower, m.Term, 0)
		}
		return
	case m.Term > c.term:
		if m.Kind == Elect && (!c.isMember(m.From) || c.hears() && m.Hint != yielded) {
			c.stranger(m)
			return // one that was let go, or can't hear the leader, does not unseat it
		}
		lead := ID(0)
		if m.Kind == Append || m.Kind == Install {
			lead = m.From
		}
		c.become(follower, m.Term, lead)
	case m.Term < c.term:
		switch m.Kind {
		case Append, Install: // an old leader learns of the new term
			c.after = append(c.after, Message{Kind: Appended, From: c.cfg.Self.ID, To: m.From, Term: c.term, Reject: true, Hint: c.last()})
		case Elect:
			c.after = append(c.after, Message{Kind: Elected, From: c.cfg.Self.ID, To: m.From, Term: c.term, Reject: true})
		}
		return
	}
	switch m.Kind {
	case Append, Install:
		if c.role != follower {
			c.become(follower, c.term, m.From)
		}
		c.lead, c.heard = m.From, c.now
		c.rest()
		if m.Kind == Install {
			c.install(m)
		} else {
			c.takeAppend(m)
		}
	case Yield:
		if c.role == follower && m.From == c.lead && c.isMember(c.cfg.Self.ID) {
			c.yielded = true
			c.campaign(candidate)
			c.yielded = false
		}
	case Appended:
		c.takeAppended(m)
	case Elect:
		yes := (c.vote == 0 || c.vote == m.From) && c.upToDate(m)
		if yes && c.vote == 0 {
			c.vote, c.hardDirty = m.From, true
			c.rest()
		}
		c.after = append(c.after, Message{Kind: Elected, From: c.cfg.Self.ID, To: m.From, Term: c.term, Reject: !yes})
	case Elected:
		if c.role == candidate && !m.Reject {
			c.votes[m.From] = true
			c.count()
		}
	}
}

// hears says that there is a leader as far as this one knows.
func (c *Core) hears() bool {
	return c.role == leader || c.lead != 0 && c.now-c.heard < c.cfg.Election
}

func (c *Core) upToDate(m Message) bool {
	return m.LogTerm > c.lastTerm() || m.LogTerm == c.lastTerm() && m.Index >= c.last()
}

// stranger tells one that is no member, as far as this one knows, who they are.
func (c *Core) stranger(m Message) {
	if !c.isMember(m.From) {
		c.after = append(c.after, Message{Kind: NotMember, From: c.cfg.Self.ID, To: m.From, Term: c.term, Members: c.members, View: c.view})
	}
}

func (c *Core) answerAsk(m Message) {
	if !c.isMember(m.From) {
		c.stranger(m)
		return
	}
	yes := m.Term > c.term && !c.hears() && c.upToDate(m)
	term := m.Term
	if !yes {
		term = c.term
	}
	c.after = append(c.after, Message{Kind: Asked, From: c.cfg.Self.ID, To: m.From, Term: term, Reject: !yes})
}

func (c *Core) takeAppend(m Message) {
	reply := Message{Kind: Appended, From: c.cfg.Self.ID, To: m.From, Term: c.term, Seq: m.Seq}
	if m.Index < c.snap.Index { // what the snapshot stands for is committed, and agrees
		skip := min(c.snap.Index-m.Index, uint64(len(m.Entries)))
		m.Entries = m.Entries[skip:]
		m.Index = c.snap.Index
		m.LogTerm = c.snap.Term
		if len(m.Entries) == 0 {
			reply.Index = c.snap.Index
			c.after = append(c.after, reply)
			return
		}
	}
	if t, known := c.termAt(m.Index); !known || t != m.LogTerm {
		reply.Reject, reply.Hint = true, min(m.Index-1, c.last())
		if known {
			reply.Hint = max(c.commit, min(reply.Hint, m.Index-1))
		}
		c.after = append(c.after, reply)
		return
	}
	for i, e := range m.Entries {
		t, known := c.termAt(e.Index)
		if known && t == e.Term {
			continue
		}
		if known {
			c.log = slices.Clone(c.log[:e.Index-c.snap.Index-1])
			c.saved = min(c.saved, e.Index-1)
		}
		c.log = append(c.log, m.Entries[i:]...)
		c.dirty(e.Index)
		break
	}
	c.findView()
	if c.isMember(c.cfg.Self.ID) {
		c.outsider = 0
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.after = append(c.after, reply)
}

func (c *Core) install(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > c.commit {
		if t, known := c.termAt(s.Index); known && t == s.Term {
			c.log = slices.Clone(c.log[s.Index-c.snap.Index:])
		} else {
			c.log = nil
		}
		c.snap, c.snapDirty, c.commit = *s, true, s.Index
		c.saved = max(min(c.saved, c.last()), s.Index)
		c.dirtyFrom = 0
		if len(c.log) > 0 {
			c.dirtyFrom = s.Index + 1
		}
		c.findView()
	}
	c.after = append(c.after, Message{Kind: Appended, From: c.cfg.Self.ID, To: m.From, Term: c.term, Index: c.commit, Seq: m.Seq})
}

func (c *Core) takeAppended(m Message) {
	p := c.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.heard = c.now
	p.seq = max(p.seq, m.Seq)
	if m.Reject {
		p.next = max(p.match+1, min(m.Hint+1, c.last()+1))
		if !p.paused {
			c.send(p)
			p.paused = true
		}
	} else {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		p.paused = false
		c.advance()
		if p.next <= c.last() {
			c.send(p)
		}
	}
	for len(c.reads) > 0 && c.most(func(id ID) bool {
		return id == c.cfg.Self.ID || c.peers[id] != nil && c.peers[id].seq >= c.reads[0].seq
	}) {
		c.readsDone = append(c.readsDone, Read{c.reads[0].id, c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

func (c *Core) takeJoin(m Message) {
	if c.role != leader {
		if !c.isMember(m.From) {
			c.after = append(c.after, Message{Kind: NotMember, From: c.cfg.Self.ID, To: m.From, Term: c.term, Members: c.members, View: c.view, Addr: m.Addr})
		}
		return
	}
	p := c.peers[m.From]
	if p == nil {
		p = &progress{Member: Member{m.From, m.Addr}, next: c.last() + 1}
		c.peers[m.From] = p
	}
	if !c.isMember(m.From) {
		p.Addr = m.Addr
	}
	p.heard = c.now
	c.send(p)
}
