package core

import (
	"slices"
	"time"
)

// LeaderGone tells the core that the process of the member id has ended, by better evidence than silence: its host is there
// and refuses connections at its address. If id is the leader that this member follows, the wait for the rest of the election
// timeout is cut short: wait is how long after now Tick is due. Nothing is risked by wrong evidence: a member still asks for
// pre-votes first, and a leader that is alive is followed again with its next heartbeat.
func (c *Core) LeaderGone(now time.Duration, id ID) (wait time.Duration, is bool) {
	c.now = max(c.now, now)
	if c.role != follower || c.lead != id || id == c.cfg.Self.ID || c.Outside() {
		return 0, false
	}
	wait = c.cfg.Election/50 + time.Duration(c.rank(id))*c.cfg.Election/8
	c.lead = 0
	c.deadline = c.now + wait
	return wait, true
}

// rank is this member's place in the agreed list of members without one of them. Members that miss a leader together ask in
// this order, so that two candidates do not split the votes.
func (c *Core) rank(without ID) int {
	rank := 0
	for _, m := range c.sortedMembers() {
		switch m.ID {
		case c.cfg.Self.ID:
			return rank
		case without:
		default:
			rank++
		}
	}
	return rank
}

// turnToAsk is how much longer than the election timeout this member waits for the leader that it follows: each by its place,
// with too little chance in it for two to ask together.
func (c *Core) turnToAsk() time.Duration {
	chance := time.Duration(c.rng.Int64N(int64(c.cfg.Election / 10)))
	return time.Duration(c.rank(c.lead))*c.cfg.Election/5 + chance
}

func (c *Core) sortedMembers() []Member {
	return slices.SortedFunc(slices.Values(c.config.voters()), func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// askInstead has this member ask for pre-votes at once after it refused another's only because that one lacks entries: both
// miss the leader, and the other can't be elected before the next try of this one.
func (c *Core) askInstead(refused Message) {
	behind := refused.Term > c.term && !c.upToDate(refused)
	if behind && !c.hears() && c.role != candidate && !c.Outside() {
		c.campaign(asking)
	}
}
