package core

import (
	"slices"
	"time"
)

// A planned departure. A member that is told to end may hold the second copy of something that was acknowledged, and with it
// gone the loss of one more disk would be the loss of both. So it says Leave to the leader until that answers MayLeave:
// whatever is committed is held by a majority of those that stay, and what this one holds from then on does not count. A leader
// that is told to end hands over first and then leaves as a follower. How long to wait at most is the caller's to say.

// Leave says that this one is told to end. It goes on as before until MayLeave.
func (c *Core) Leave(now time.Duration) {
	c.now = max(c.now, now)
	c.leaving = true
	c.depart()
}

// MayLeave says that a member that was told to end holds nothing that is not held by a majority of those that stay, or that
// nobody can tell: it is no voter, all others leave as well, or the leader is of a build that does not know of departures.
func (c *Core) MayLeave() bool {
	if !c.leaving {
		return false
	}
	self := c.cfg.Self.ID
	return c.released || !c.config.votes(self) && c.settled() || c.config.alone(self) || c.role == leader && c.nobodyStays() ||
		c.role == follower && c.lead != 0 && c.leaderVersion < 1
}

// depart says Leave to the leader, or has another lead.
func (c *Core) depart() {
	if c.leaveSaid > 0 && c.now-c.leaveSaid < c.cfg.Election/8 {
		return
	}
	switch {
	case c.role == leader && c.config.Index > c.commit: // one that takes over now may not know of the change
	case c.role == leader && c.givesPlace(c.cfg.Self.ID):
		c.tend() // it hands over once it is a member no more
	case c.role == leader:
		if p := c.successor(); p != nil && p.match >= c.commit && !c.handingOver() {
			c.leaveSaid = max(c.now, 1)
			c.Yield(c.now)
		}
	case c.role == follower && c.lead != 0 && c.leaderVersion >= 1:
		c.leaveSaid = max(c.now, 1)
		c.after = append(c.after, Message{Kind: Leave, From: c.cfg.Self.ID, To: c.lead, Term: c.term})
	}
}

// handingOver says that a leader has lately asked another to take over: what it added now would be lost.
func (c *Core) handingOver() bool {
	return c.leaving && c.role == leader && c.leaveSaid > 0 && c.now-c.leaveSaid < c.cfg.Election/2
}

// nobodyStays says that all voters were told to end: there is nobody to wait for.
func (c *Core) nobodyStays() bool {
	return !slices.ContainsFunc(c.config.voters(), func(m Member) bool {
		p := c.peers.get(m.ID)
		return m.ID == c.cfg.Self.ID && !c.leaving || p != nil && !p.released && !p.wantsToLeave(c.now-c.cfg.Election/2)
	})
}

// takeLeave notes that a member is told to end.
func (c *Core) takeLeave(m Message) {
	p := c.peers.get(m.From)
	if c.role != leader || p == nil {
		return
	}
	p.hear(c.now, m)
	if !p.wantsToLeave(c.now - c.cfg.Election/2) {
		c.beat() // who answers this round has not lost its disk before
		p.leaveRound = c.seq
	}
	p.leaving = max(c.now, 1)
	if p.released {
		c.sayMayLeave(p) // the answer was lost
	}
	c.release()
}

// release answers those that are told to end, once what is committed is held by a majority of those that stay.
func (c *Core) release() {
	if c.role != leader || !c.committedOwn() {
		return
	}
	for _, p := range c.peers {
		if c.goes(p.ID) && (c.mayRelease(p) || c.nobodyStays()) {
			p.released, p.match = true, min(p.match, c.commit)
			c.sayMayLeave(p)
		}
	}
}

// mayRelease says that nothing rests on a member that goes: neither what is committed nor a change of the members.
func (c *Core) mayRelease(p *progress) bool {
	return c.settled() && !c.givesPlace(p.ID) && c.heldWithout(p)
}

// settled says that no change of the members is under way, as far as this one knows.
func (c *Core) settled() bool { return c.config.Index <= c.commit && !c.config.joint() }

// wantsToLeave says that a member has said since an instant that it is told to end, and was not let go yet.
func (p *progress) wantsToLeave(since time.Duration) bool {
	return p.leaving > 0 && p.leaving > since && !p.released
}

// returned notes that a member that was let go has started again: what answers a round of heartbeats that began after it said
// Leave, and does not say that it leaves, is of a new life.
func (p *progress) returned(m Message) {
	if p.released && !m.Leaving && m.Seq >= p.leaveRound {
		p.released, p.leaving = false, 0
	}
}

// heldWithout says that what is committed is held by a majority of the voters without one that goes, and that these have been
// heard since it said so. One that was let go before has to be back: else a restart of all, one after the other, would leave a
// single copy.
func (c *Core) heldWithout(goes *progress) bool {
	holds := func(id ID) bool {
		p := c.peers.get(id)
		return c.stored(id) >= c.commit && (id == c.cfg.Self.ID && !c.leaving || p != nil && p.seq >= goes.leaveRound)
	}
	held := func(members []Member) bool {
		stay := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == goes.ID })
		return len(stay) == 0 || majority(stay, holds)
	}
	return held(c.config.Members) && held(c.config.Outgoing)
}

// goes says that a member is told to end and was not let go yet, as far as the leader knows.
func (c *Core) goes(id ID) bool {
	if id == c.cfg.Self.ID {
		return c.leaving
	}
	p := c.peers.get(id)
	return p != nil && p.wantsToLeave(c.now-c.cfg.Election/2)
}

// givesPlace says that a learner that has all stands by for the place of a member that goes. That one goes once they are
// exchanged: with its vote gone as well, the loss of one more disk would leave no majority for good.
func (c *Core) givesPlace(goes ID) bool {
	if c.config.joint() {
		return contains(c.config.Outgoing, goes) && !contains(c.config.Members, goes)
	}
	return slices.ContainsFunc(c.peers, func(p *progress) bool {
		if !p.joining || c.config.votes(p.ID) || c.now-p.heard > c.cfg.Election || !c.caughtUp(p) {
			return false
		}
		place, _ := c.lost(p)
		return place >= 0 && c.config.Members[place].ID == goes && c.versionWith(p, place) >= 1
	})
}

func (c *Core) sayMayLeave(p *progress) {
	c.after = append(c.after, Message{Kind: MayLeave, From: c.cfg.Self.ID, To: p.ID, Term: c.term})
}
