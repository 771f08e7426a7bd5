package raft

import (
	"slices"
	"time"
)

// ReportLeaderExited tells the core that the process of the member id has ended, by better evidence than silence: its host is there
// and refuses connections at its address. If id is the leader that this member follows, the wait for the rest of the election
// timeout is cut short: wait is how long after now Tick is due. Nothing is risked by wrong evidence: a member still asks for
// pre-votes first, and a leader that is alive is followed again with its next heartbeat.
func (c *Raft) ReportLeaderExited(now time.Duration, id ID) (wait time.Duration, is bool) {
	c.now = max(c.now, now)
	if c.role != follower || c.leaderID != id || id == c.config.Self.ID || c.IsNonMember() {
		return 0, false
	}
	wait = c.config.ElectionTimeout/50 + time.Duration(c.voterRank(id))*c.config.ElectionTimeout/8
	c.leaderID = 0
	c.electionDeadline = c.now + wait
	return wait, true
}

// voterRank is this member's place in the agreed list of members without one of them. Members that miss a leader together ask in
// this order, so that two candidates do not split the votes.
func (c *Raft) voterRank(without ID) int {
	rank := 0
	for _, m := range c.sortedVoters() {
		switch m.ID {
		case c.config.Self.ID:
			return rank
		case without:
		default:
			rank++
		}
	}
	return rank
}

// electionDelay is how much longer than the election timeout this member waits for the leader that it follows: each by its place,
// with too little chance in it for two to ask together.
func (c *Raft) electionDelay() time.Duration {
	chance := time.Duration(c.rng.Int64N(int64(c.config.ElectionTimeout / 10)))
	return time.Duration(c.voterRank(c.leaderID))*c.config.ElectionTimeout/5 + chance
}

func (c *Raft) sortedVoters() []Member {
	return slices.SortedFunc(slices.Values(c.configuration.voters()), func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// preVoteInstead has this member ask for pre-votes at once after it refused another's only because that one lacks entries: both
// miss the leader, and the other can't be elected before the next try of this one.
func (c *Raft) preVoteInstead(refused Message) {
	behind := refused.Term > c.term && !c.isUpToDate(refused)
	if behind && !c.hearsLeader() && c.role != candidate && !c.IsNonMember() {
		c.campaign(preCandidate)
	}
}
