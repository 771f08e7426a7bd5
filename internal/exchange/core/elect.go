package core

import "time"

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
	c.peers, c.elected, c.stampBase = nil, c.now, c.lastStamp()
	c.follow()
	c.add(Entry{Kind: Blank})
	c.beat()
}

// follow has a leader keep track of each member.
func (c *Core) follow() {
	for _, m := range c.members {
		if p := c.peers.get(m.ID); p != nil {
			p.Member = m
		} else if m.ID != c.cfg.Self.ID {
			c.peers.add(&progress{Member: m, next: c.last() + 1, heard: c.now})
		}
	}
}
