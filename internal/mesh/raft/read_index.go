package raft

import "time"

// ReadState is the result of a ReadIndex call. The read may be served once all entries up to Index are applied. Index 0 means that the read
// was not confirmed and the caller has to request it again.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

// pendingRead is a read that waits until a quorum has answered a heartbeat round.
type pendingRead struct {
	requestID uint64
	index     uint64 // the commit index when the read was requested
	round     uint64 // the heartbeat round that confirms it
}

// readQueue is a leader's pending reads in the order of their heartbeat rounds.
type readQueue []pendingRead

// ReadIndex requests a linearizable read. Ready returns the result as a ReadState with this request ID. ReadIndex returns false if this
// member does not lead, or does not know yet what earlier leaders have committed; the caller then has to ask again later (dissertation,
// section 6.4). Reads do not rely on clocks: there is no leader lease that would replace the heartbeat round.
func (r *Raft) ReadIndex(now time.Duration, requestID uint64) bool {
	r.advanceTime(now)
	if r.role != leader || !r.hasCommittedOwnTerm() {
		return false
	}
	if r.log.configuration.isSoleVoter(r.config.Self.ID) {
		r.answerRead(ReadState{RequestID: requestID, Index: r.log.committed})
		return true
	}
	// Responses to a round that began before this request would not prove that no other member has become leader since.
	r.broadcastHeartbeat()
	r.reads = append(r.reads, pendingRead{requestID: requestID, index: r.log.committed, round: r.leading.heartbeatRound})
	return true
}

// confirmReads completes the reads whose heartbeat round a quorum has answered. The answers prove that this member was still the leader
// when the round began.
func (r *Raft) confirmReads() {
	for len(r.reads) > 0 {
		read := r.reads[0]
		isConfirmed := r.log.configuration.hasQuorum(func(id ID) bool {
			p := r.peers.get(id)
			return id == r.config.Self.ID || p != nil && p.answeredRound >= read.round
		})
		if !isConfirmed {
			return
		}
		r.answerRead(ReadState{RequestID: read.requestID, Index: read.index})
		r.reads = r.reads[1:]
	}
}

// rejectReads completes all pending reads as not confirmed, because this member no longer leads.
func (r *Raft) rejectReads() {
	for _, read := range r.reads {
		r.answerRead(ReadState{RequestID: read.requestID})
	}
	r.reads = nil
}

// answerRead adds the result of a read to the next Ready.
func (r *Raft) answerRead(state ReadState) { r.outbox.readStates = append(r.outbox.readStates, state) }
