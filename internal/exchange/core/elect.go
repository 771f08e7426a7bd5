package core

import "time"

func (c *Core) rest() {
	least := c.cfg.Election
	if c.role == asking { // asking disturbs nobody, and who was not there may be by now
		least /= 4
	}
	if c.role == follower {
		c.deadline = c.now + least + c.turnToAsk()
		return
	}
	c.deadline = c.now + least + time.Duration(c.rng.Int64N(int64(least)))
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.leaving {
		c.depart()
	}
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.Outside() || c.toldOutside() {
		c.join()
	}
	if now < c.deadline {
		return
	}
	c.lead = 0
	if c.Outside() || c.toldOutside() {
		c.rest()
	} else {
		c.campaign(asking)
	}
}

func (c *Core) tickLeader() {
	if c.now-c.elected > 2*c.cfg.Election && !c.quorumHeard(c.now, 2*c.cfg.Election) { // check quorum
		c.become(follower, c.term, 0)
		return
	}
	if c.now >= c.beatAt {
		c.beatCommit = c.commit
		c.beat()
	}
	c.tend()
}

func (c *Core) become(r role, term uint64, lead ID) {
	if term > c.term {
		c.term, c.vote, c.hardDirty = term, 0, true
	}
	if c.role == leader && r != leader {
		c.refuseReads()
		c.peers = nil
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
	for _, m := range c.config.voters() {
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
	if !c.config.quorum(func(id ID) bool { return c.votes[id] }) {
		return
	}
	if c.role == asking {
		c.campaign(candidate)
		return
	}
	c.become(leader, c.term, c.cfg.Self.ID)
	c.peers, c.elected, c.stampBase = nil, c.now, c.lastStamp()
	c.beatCommit = c.commit
	c.follow()
	c.add(Entry{Kind: Blank})
	c.beat()
}

// hears says that there is a leader as far as this one knows.
func (c *Core) hears() bool {
	return c.role == leader || c.lead != 0 && c.now-c.heard < c.cfg.Election
}

func (c *Core) upToDate(m Message) bool {
	return m.LogTerm > c.lastTerm() || m.LogTerm == c.lastTerm() && m.Index >= c.last()
}

// answerAsk answers a pre-vote. One that is no member here may be one all the same, by entries that this one lacks: if its
// log is as long, it is answered like any other, and it alone knows whose votes it needs.
func (c *Core) answerAsk(m Message) {
	if m.From == c.lead && m.Term > c.term {
		c.lead = 0 // it asks for votes, so it has started again and leads no more
	}
	yes := m.Term > c.term && !c.hears() && c.upToDate(m)
	if !yes && !c.config.votes(m.From) {
		c.stranger(m)
		return
	}
	term := m.Term
	if !yes {
		term = c.term
	}
	c.after = append(c.after, Message{Kind: Asked, From: c.cfg.Self.ID, To: m.From, Term: term, Reject: !yes})
	if !yes {
		c.askInstead(m)
	}
}

// takeAsked takes the answer to a pre-vote.
func (c *Core) takeAsked(m Message) {
	if c.role == asking && m.Term == c.term+1 && !m.Reject {
		c.votes[m.From] = true
		c.count()
	} else if m.Reject && m.Term > c.term {
		c.become(follower, m.Term, 0)
	}
}

// disturbs says that an Elect of a later term is not to be heard: its sender can't hear the leader that others hear, or it was
// let go.
func (c *Core) disturbs(m Message) bool {
	return c.hears() && m.Hint != yielded || !c.config.votes(m.From) && !c.upToDate(m)
}

func (c *Core) answerElect(m Message) {
	yes := (c.vote == 0 || c.vote == m.From) && c.upToDate(m)
	if yes && c.vote == 0 {
		c.vote, c.hardDirty = m.From, true
		c.rest()
	}
	c.after = append(c.after, Message{Kind: Elected, From: c.cfg.Self.ID, To: m.From, Term: c.term, Reject: !yes})
}
