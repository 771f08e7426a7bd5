package raft

import "time"

type pendingRead struct {
	requestID, index, round uint64
}

// ReadState is a read that was confirmed: what is applied up to Index answers it. Index 0: it was not, and the asker must ask again.
type ReadState struct{ RequestID, Index uint64 }

// ReadIndex asks for a confirmed read, which Ready answers under this id; false: this one does not lead.
func (c *Raft) ReadIndex(now time.Duration, id uint64) bool {
	c.now = max(c.now, now)
	if c.role != leader || !c.hasCommittedOwnTerm() {
		return false
	}
	if c.configuration.isSoleVoter(c.config.Self.ID) {
		c.readStates = append(c.readStates, ReadState{id, c.committed})
		return true
	}
	c.broadcastHeartbeat() // a round that began before the read was asked for would prove nothing
	c.pendingReads = append(c.pendingReads, pendingRead{id, c.committed, c.heartbeatRound})
	return true
}

// confirmReads answers the reads whose round of heartbeats a quorum has answered.
func (c *Raft) confirmReads() {
	for len(c.pendingReads) > 0 && c.configuration.hasQuorum(func(id ID) bool {
		p := c.peers.get(id)
		return id == c.config.Self.ID || p != nil && p.answeredRound >= c.pendingReads[0].round
	}) {
		c.readStates = append(c.readStates, ReadState{c.pendingReads[0].requestID, c.pendingReads[0].index})
		c.pendingReads = c.pendingReads[1:]
	}
}

// rejectReads answers all that wait with Index 0.
func (c *Raft) rejectReads() {
	for _, x := range c.pendingReads {
		c.readStates = append(c.readStates, ReadState{RequestID: x.requestID})
	}
	c.pendingReads = nil
}
