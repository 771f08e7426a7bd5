package core

import "time"

type read struct {
	id, index, seq uint64
}

// Read is a read that was confirmed: what is applied up to Index answers it. Index 0: it was not, and the asker must ask again.
type Read struct{ ID, Index uint64 }

// Ask asks for a confirmed read, which Ready answers under this id; false: this one does not lead.
func (c *Core) Ask(now time.Duration, id uint64) bool {
	c.now = max(c.now, now)
	if c.role != leader || !c.committedOwn() {
		return false
	}
	if c.config.alone(c.cfg.Self.ID) {
		c.readsDone = append(c.readsDone, Read{id, c.commit})
		return true
	}
	c.beat() // a round that began before the read was asked for would prove nothing
	c.reads = append(c.reads, read{id, c.commit, c.seq})
	return true
}

// confirmReads answers the reads whose round of heartbeats a quorum has answered.
func (c *Core) confirmReads() {
	for len(c.reads) > 0 && c.config.quorum(func(id ID) bool {
		p := c.peers.get(id)
		return id == c.cfg.Self.ID || p != nil && p.seq >= c.reads[0].seq
	}) {
		c.readsDone = append(c.readsDone, Read{c.reads[0].id, c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

// refuseReads answers all that wait with Index 0.
func (c *Core) refuseReads() {
	for _, x := range c.reads {
		c.readsDone = append(c.readsDone, Read{ID: x.id})
	}
	c.reads = nil
}
