package core

import "slices"

// tend sees to the members: one change at a time, and only where those that stay are there to carry it.
func (c *Core) tend() {
	if t, _ := c.termAt(c.commit); t != c.term || c.view > c.commit {
		return
	}
	c.peers = slices.DeleteFunc(c.peers, func(p *progress) bool { return !c.isMember(p.ID) && c.now-p.heard > 4*c.cfg.Dead })
	for _, p := range c.peers {
		if c.isMember(p.ID) {
			continue
		}
		if c.now-p.heard > c.cfg.Election {
			continue
		}
		// One that came back without its disk, at the address that it had, takes its own place.
		if i := slices.IndexFunc(c.members, func(m Member) bool { return m.Addr == p.Addr && m.ID != p.ID }); i >= 0 {
			c.change(slices.Delete(slices.Clone(c.members), i, i+1))
			return
		}
		if len(c.members) >= c.cfg.Size {
			i := slices.IndexFunc(c.members, func(m Member) bool {
				q := c.peers.get(m.ID)
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
		if m.ID == c.cfg.Self.ID || c.peers.heardSince(m.ID, c.now-c.cfg.Election) {
			there++
		}
	}
	if there > len(to)/2 {
		c.add(Entry{Kind: View, Members: to})
		c.Flush()
	}
}
