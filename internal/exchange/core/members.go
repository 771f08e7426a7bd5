package core

import (
	"slices"
	"time"
)

// mostLearners is how many that are no members a leader brings up to date at once.
const mostLearners = 16

// tend sees to the members: one change at a time, and only once an entry of this leader's own term is committed.
func (c *Core) tend() {
	c.peers = slices.DeleteFunc(c.peers, func(p *progress) bool { return !c.config.votes(p.ID) && c.now-p.heard > 4*c.cfg.Dead })
	if !c.mayChange() || c.raiseVersion() {
		return
	}
	for _, p := range c.peers {
		if p.joining && c.now-p.heard <= c.cfg.Election && c.admit(p) {
			return
		}
	}
}

// mayChange says that a change of members may begin. An entry of the leader's own term has to be committed: until then the
// configuration that it counts by may be one that another leader's majority has replaced.
func (c *Core) mayChange() bool {
	return c.committedOwn() && c.config.Index <= c.commit && !c.config.joint()
}

// raiseVersion has the log say what all members speak once that is known of each, so that it is known also of those that
// are silent later. It is one entry in a fleet's life for each version.
func (c *Core) raiseVersion() bool {
	least := c.version()
	for _, m := range c.config.Members {
		if m.ID == c.cfg.Self.ID {
			continue
		}
		p := c.peers.get(m.ID)
		if p == nil || !p.answered || c.now-p.heard > c.cfg.Election {
			return false
		}
		least = min(least, p.version)
	}
	return least > c.config.Version && contains(c.config.Members, c.cfg.Self.ID) && c.change(Configuration{Members: c.config.Members, Version: least})
}

// admit sees to one learner: it takes the place of a member that was lost, or a free one. true: a change was proposed.
func (c *Core) admit(p *progress) bool {
	members := slices.Clone(c.config.Members)
	lost, free := c.lost(p)
	if lost < 0 && !free {
		return false
	}
	if lost < 0 {
		return c.caughtUp(p) && c.change(Configuration{Members: append(members, p.Member), Version: c.versionWith(p, -1)})
	}
	version := c.versionWith(p, lost)
	if version < 1 { // one of them knows no joint change: the place is cleared first
		return c.change(Configuration{Members: slices.Delete(members, lost, lost+1), Version: version})
	}
	if !c.caughtUp(p) {
		return false
	}
	members[lost] = p.Member
	return c.change(Configuration{Members: members, Outgoing: c.config.Members, Version: version})
}

// lost is the member whose place a learner may take: one at its own address, for it came back without its disk; else, where
// there are as many as there should be, one that was silent for long. -1: none; free: there is room for one more.
func (c *Core) lost(p *progress) (member int, free bool) {
	self := c.cfg.Self.ID
	if i := slices.IndexFunc(c.config.Members, func(m Member) bool { return m.Addr == p.Addr && m.ID != self }); i >= 0 {
		return i, false
	}
	if len(c.config.Members) < c.cfg.Size {
		return -1, true
	}
	silent := slices.IndexFunc(c.config.Members, func(m Member) bool {
		return m.ID != self && !c.peers.heardSince(m.ID, c.now-c.cfg.Dead)
	})
	if silent >= 0 {
		return silent, false
	}
	return slices.IndexFunc(c.config.Members, func(m Member) bool { return c.goes(m.ID) }), false
}

// caughtUp says that a learner has all that was committed a heartbeat ago.
func (c *Core) caughtUp(p *progress) bool { return p.match > 0 && p.match >= c.beatCommit }

// versionWith is what a learner and all members but one speak, as far as it is known. but: that member's place; -1: none.
func (c *Core) versionWith(p *progress, but int) uint32 {
	least := min(c.version(), p.version)
	for i, m := range c.config.Members {
		if i != but && m.ID != c.cfg.Self.ID {
			least = min(least, c.versionOf(m.ID))
		}
	}
	return least
}

// versionOf is what a member speaks: what it said to this leader, else what the log says of all.
func (c *Core) versionOf(id ID) uint32 {
	if p := c.peers.get(id); p != nil && p.answered {
		return p.version
	}
	return c.config.Version
}

// change proposes a configuration if a quorum of it is there to carry it.
func (c *Core) change(to Configuration) bool {
	if !to.quorum(func(id ID) bool { return c.Hears(id) }) {
		return false
	}
	c.add(Entry{Kind: View, Members: to.Members, Outgoing: to.Outgoing, Version: to.Version})
	c.Flush()
	return true
}

// completeChange goes on with a change whose entry was committed: the second half of a joint one is proposed, and a leader
// that is no member any more has another take over.
func (c *Core) completeChange() {
	if c.config.Index > c.commit || !c.committedOwn() {
		return
	}
	if c.config.joint() {
		c.add(Entry{Kind: View, Members: c.config.Members, Version: c.config.Version})
		c.Flush()
		return
	}
	if !contains(c.config.Members, c.cfg.Self.ID) {
		c.beat() // the others hear that it is committed
		c.Yield(c.now)
		c.become(follower, c.term, 0)
	}
}

// toldOutside says that others that know more have lately told this one that it is no member.
func (c *Core) toldOutside() bool { return c.outsider > 0 && c.now-c.outsider < 2*c.cfg.Election }

// takeNotMember takes the word of one that knows later members. It changes nothing of what this one counts by, which is the
// log's alone: it asks those to be taken in.
func (c *Core) takeNotMember(m Message) {
	if m.View > c.config.Index {
		c.outsider, c.contacts = max(c.now, 1), m.Members
	}
}

// stranger tells one that is no member, as far as this one knows, who they are.
func (c *Core) stranger(m Message) {
	if !c.config.votes(m.From) {
		c.after = append(c.after, Message{Kind: NotMember, From: c.cfg.Self.ID, To: m.From, Term: c.term, Members: c.config.voters(),
			View: c.config.Index, Addr: m.Addr})
	}
}

// join asks all that are known to be taken in. Those that it knows only by address are asked by the shell.
func (c *Core) join() {
	if c.joined > 0 && c.now-c.joined < c.cfg.Election/4 || c.now-c.heard < c.cfg.Election/2 && !c.Outside() {
		return
	}
	c.joined = max(c.now, time.Duration(1))
	known := Configuration{Members: c.config.voters(), Outgoing: c.contacts}
	for _, m := range known.voters() {
		if m.ID != c.cfg.Self.ID {
			c.after = append(c.after, Message{Kind: Join, From: c.cfg.Self.ID, To: m.ID, Addr: c.cfg.Self.Addr})
		}
	}
}

// takeJoin has a leader keep a learner up to date from now on; others tell who the members are.
func (c *Core) takeJoin(m Message) {
	if c.role != leader {
		c.stranger(m)
		return
	}
	p := c.peers.get(m.From)
	if p == nil {
		if len(c.peers) >= len(c.config.voters())+mostLearners {
			return
		}
		p = &progress{Member: Member{m.From, m.Addr}, next: c.last() + 1}
		c.peers.add(p)
		p.hear(c.now, m)
		c.send(p)
	}
	if !c.config.votes(m.From) {
		p.Addr, p.joining = m.Addr, true
	}
	p.hear(c.now, m)
}
