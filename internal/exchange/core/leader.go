package core

import (
	"slices"
	"time"
)

// Propose adds an entry; ok: this one leads. It is committed once Ready gives it with this term.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	c.now = max(c.now, now)
	if c.role != leader || c.handingOver() {
		return 0, 0, false
	}
	e := c.add(Entry{Kind: Change, Data: data})
	return e.Index, e.Term, true
}

// Flush sends what was proposed; several proposals go out together.
func (c *Core) Flush() {
	if c.role != leader {
		return
	}
	for _, p := range c.peers {
		if !p.paused && p.next <= c.last() {
			c.send(p)
		}
	}
}

// Yield has the member that is furthest take over, for this one is about to end.
func (c *Core) Yield(now time.Duration) {
	c.now = max(c.now, now)
	if c.role != leader {
		return
	}
	if best := c.successor(); best != nil {
		c.after = append(c.after, Message{Kind: Yield, From: c.cfg.Self.ID, To: best.ID, Term: c.term})
	}
}

// successor is the member that holds most of the log, of those that are there and stay; nil: there is none.
func (c *Core) successor() (best *progress) {
	for _, m := range c.config.Members {
		p := c.peers.get(m.ID)
		if p != nil && c.Hears(m.ID) && !p.released && !p.wantsToLeave(c.now-c.cfg.Election) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

// Tell has the others hear at once of what is committed, which goes with the next beat otherwise.
func (c *Core) Tell(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == leader {
		c.beat()
	}
}

// Stamp is the log's time now, at the leader.
func (c *Core) Stamp(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return max(c.lastStamp(), c.stampBase+c.now-c.elected)
}

// Current says that this one leads and has applied all that leaders before it may have had agreed on.
func (c *Core) Current() bool {
	t, _ := c.termAt(c.applied)
	return c.role == leader && t == c.term
}

// Hears says that a member is there, as far as the leader knows.
func (c *Core) Hears(id ID) bool {
	return id == c.cfg.Self.ID || c.peers.heardSince(id, c.now-c.cfg.Election)
}

func (c *Core) add(e Entry) Entry {
	e.Index, e.Term = c.last()+1, c.term
	e.Stamp = c.Stamp(c.now)
	c.appendEntries(e)
	if e.Kind == View {
		c.follow()
	}
	return e
}

// beat sends each what it lacks, at least the word that the leader is there.
func (c *Core) beat() {
	c.seq++
	c.beatAt = c.now + c.cfg.Beat
	for _, p := range c.peers {
		p.paused = false
		if c.needsSnapshot(p) {
			c.heartbeat(p)
			c.sendSnapshot(p)
		} else {
			c.sendEntries(p)
		}
	}
}

// Bounds of the entries that go with one message, and of those that are under way to one peer, in bytes of their data; one goes
// whatever its size. A heartbeat waits behind no more.
const (
	mostSent     = 256
	mostBytes    = 32 << 10
	mostUnderWay = 64 << 10
)

// send sends a peer what it lacks, as far as more may be under way.
func (c *Core) send(p *progress) {
	if c.needsSnapshot(p) {
		c.sendSnapshot(p)
	} else if !p.full() || p.next > c.last() {
		c.sendEntries(p)
	}
}

// sendEntries sends entries, none where enough are under way.
func (c *Core) sendEntries(p *progress) {
	prev := p.next - 1
	t, _ := c.termAt(prev)
	m := Message{Kind: Append, From: c.cfg.Self.ID, To: p.ID, Term: c.term, Commit: c.commit, Seq: c.seq, Index: prev, LogTerm: t}
	if !p.full() {
		m.Entries = batch(c.from(p.next))
	}
	if n := len(m.Entries); n > 0 {
		p.next += uint64(n) // what is lost is found missing by the next
		p.underWay = append(p.underWay, flight{p.next - 1, size(m.Entries)})
	}
	p.transfer, p.whole, p.sent = nil, 0, c.now
	c.before = append(c.before, m)
}

// batch are as many of the entries as go with one message.
func batch(entries []Entry) []Entry {
	n, bytes := 0, 0
	for n < min(len(entries), mostSent) {
		if bytes += size(entries[n : n+1]); n > 0 && bytes > mostBytes {
			break
		}
		n++
	}
	return slices.Clone(entries[:n])
}

func size(entries []Entry) (bytes int) {
	for _, e := range entries {
		bytes += len(e.Data) + entryOverhead
	}
	return bytes
}

// advance commits what a quorum has on disk. Only what this leader has added itself is committed by counting: an entry of a
// term before may be held by a majority and yet be replaced by a leader that lacks it.
func (c *Core) advance() {
	for n := c.last(); n > c.commit; n-- {
		if t, _ := c.termAt(n); t != c.term {
			return
		}
		if c.config.quorum(func(id ID) bool { return c.stored(id) >= n }) {
			c.commit = n
			c.Flush()
			c.completeChange()
			return
		}
	}
}

// stored is up to where a voter has the leader's log on disk.
func (c *Core) stored(id ID) uint64 {
	if id == c.cfg.Self.ID {
		return c.saved
	}
	if p := c.peers.get(id); p != nil {
		return p.match
	}
	return 0
}
