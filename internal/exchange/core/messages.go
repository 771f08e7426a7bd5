package core

import (
	"slices"
	"time"
)

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
		c.takeNotMember(m)
		return
	case m.Kind == Ask:
		c.answerAsk(m)
		return
	case m.Kind == Asked:
		c.takeAsked(m)
		return
	case m.Term > c.term:
		if m.Kind == Elect && c.disturbs(m) {
			c.stranger(m)
			return
		}
		c.become(follower, m.Term, 0)
	case m.Term < c.term:
		c.refuseOld(m)
		return
	}
	c.stepTerm(m)
}

// refuseOld tells one of an earlier term of this one's.
func (c *Core) refuseOld(m Message) {
	switch m.Kind {
	case Append, Install, Chunk:
		c.after = append(c.after, Message{Kind: Appended, From: c.cfg.Self.ID, To: m.From, Term: c.term, Reject: true, Hint: c.last()})
	case Elect:
		c.after = append(c.after, Message{Kind: Elected, From: c.cfg.Self.ID, To: m.From, Term: c.term, Reject: true})
	}
}

// stepTerm takes a message of the present term.
func (c *Core) stepTerm(m Message) {
	switch m.Kind {
	case Append:
		c.hearLeader(m)
		c.takeAppend(m)
	case Install:
		c.hearLeader(m)
		c.install(m)
	case Chunk:
		c.hearLeader(m)
		c.takeChunk(m)
	case Chunked:
		c.takeChunked(m)
	case Yield:
		if c.role == follower && m.From == c.lead && contains(c.config.Members, c.cfg.Self.ID) {
			c.yielded = true
			c.campaign(candidate)
			c.yielded = false
		}
	case Appended:
		c.takeAppended(m)
	case Leave:
		c.takeLeave(m)
	case MayLeave:
		c.released = c.released || c.leaving && m.From == c.lead
	case Elect:
		c.answerElect(m)
	case Elected:
		if c.role == candidate && !m.Reject {
			c.votes[m.From] = true
			c.count()
		}
	}
}

// hearLeader notes that the term's leader is there.
func (c *Core) hearLeader(m Message) {
	if c.role != follower {
		c.become(follower, c.term, m.From)
	}
	changed := c.lead != m.From
	c.lead, c.heard, c.leaderVersion = m.From, c.now, m.Version
	c.rest()
	if changed && c.leaving {
		c.leaveSaid = 0
		c.depart()
	}
}

// keepUp notes whether this one has all that the leader says is committed.
func (c *Core) keepUp(m Message) {
	if c.commit >= m.Commit {
		c.fresh = c.now
	}
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
			c.keepUp(m)
			c.after = append(c.after, reply)
			return
		}
	}
	if t, known := c.termAt(m.Index); !known || t != m.LogTerm {
		reply.Reject, reply.Hint = true, c.hint(m.Index, known)
		c.after = append(c.after, reply)
		return
	}
	c.merge(m.Entries)
	if c.config.votes(c.cfg.Self.ID) {
		c.outsider, c.contacts = 0, nil
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.keepUp(m)
	c.after = append(c.after, reply)
}

// merge takes the leader's entries, whose place in the log agrees, over those that are of another term.
func (c *Core) merge(entries []Entry) {
	for i, e := range entries {
		t, known := c.termAt(e.Index)
		if known && t == e.Term {
			continue
		}
		if known {
			c.truncate(e.Index)
		}
		c.appendEntries(entries[i:]...)
		return
	}
}

// hint is where the log may agree with the leader's, whose entry at an index it lacks or has of another term (known).
func (c *Core) hint(index uint64, known bool) uint64 {
	hint := min(index-1, c.last())
	if !known {
		return hint
	}
	// All that this one has of that term is of a leader that is none any more: a try for each entry would take as long as
	// a beat each. What is committed agrees.
	for at := hint; at > c.commit; at-- {
		if x, _ := c.termAt(at); x != c.termOf(index) {
			break
		}
		hint = at - 1
	}
	return max(c.commit, hint)
}

func (c *Core) termOf(index uint64) uint64 { t, _ := c.termAt(index); return t }

func (c *Core) install(m Message) {
	if s := m.Snapshot; s != nil && s.Index > c.commit && len(s.Members) > 0 {
		c.restore(*s)
	}
	c.after = append(c.after, Message{Kind: Appended, From: c.cfg.Self.ID, To: m.From, Term: c.term, Index: c.commit, Seq: m.Seq})
}

// restore puts a snapshot in the place of the log up to it.
func (c *Core) restore(s Snapshot) {
	if t, known := c.termAt(s.Index); known && t == s.Term {
		c.log = slices.Clone(c.from(s.Index + 1))
	} else {
		c.log = nil
	}
	c.base = position{s.Index, s.Term}
	c.snap, c.snapDirty, c.commit, c.assembly = s, true, s.Index, nil
	c.saved = max(min(c.saved, c.last()), s.Index)
	c.dirtyFrom = 0
	if len(c.log) > 0 {
		c.dirtyFrom = s.Index + 1
	}
	c.findConfiguration()
}

func (c *Core) takeAppended(m Message) {
	p := c.peers.get(m.From)
	if c.role != leader || p == nil {
		return
	}
	p.hear(c.now, m)
	p.seq = max(p.seq, m.Seq)
	p.returned(m)
	if m.Reject {
		p.next, p.underWay = max(p.match+1, min(m.Hint+1, c.last()+1)), nil
		if !p.paused {
			c.send(p)
			p.paused = true
		}
	} else {
		p.acknowledge(m.Index)
		p.next = max(p.next, p.match+1)
		p.paused = false
		c.advance()
		if c.role == leader && p.next <= c.last() {
			c.send(p)
		}
	}
	c.confirmReads()
	c.release()
}
