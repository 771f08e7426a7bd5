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
			if c.commit >= m.Commit {
				c.fresh = c.now
			}
			c.after = append(c.after, reply)
			return
		}
	}
	if t, known := c.termAt(m.Index); !known || t != m.LogTerm {
		reply.Reject, reply.Hint = true, min(m.Index-1, c.last())
		if known {
			// All that this one has of that term is of a leader that is none any more: a try for each entry would take as long as
			// a beat each. What is committed agrees.
			for at := reply.Hint; at > c.commit; at-- {
				if x, _ := c.termAt(at); x != t {
					break
				}
				reply.Hint = at - 1
			}
			reply.Hint = max(c.commit, reply.Hint)
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
	if c.commit >= m.Commit {
		c.fresh = c.now
	}
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
	p := c.peers.get(m.From)
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
		p := c.peers.get(id)
		return id == c.cfg.Self.ID || p != nil && p.seq >= c.reads[0].seq
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
	p := c.peers.get(m.From)
	if p == nil {
		p = &progress{Member: Member{m.From, m.Addr}, next: c.last() + 1}
		c.peers.add(p)
	}
	if !c.isMember(m.From) {
		p.Addr = m.Addr
	}
	p.heard = c.now
	c.send(p)
}
