package raft

import "time"

// ReadState is the result of a ReadIndex. The read may be served once everything up to Index is applied. Index 0 says that it was not
// confirmed, so that the caller has to ask again.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

// pendingRead waits until a quorum has answered a round of heartbeats.
type pendingRead struct {
	requestID uint64
	index     uint64 // the commit index when the read was requested
	round     uint64
}

// readQueue holds a leader's pending reads in the order of their rounds.
type readQueue []pendingRead

// ReadIndex requests a linearizable read. Ready returns its result as a ReadState with this request ID. It returns false if this member
// does not lead, or does not know yet what earlier leaders have committed; the caller then has to ask again later (dissertation,
// section 6.4). The clock is not relied upon: there is no lease by which a leader could read without a round of heartbeats.
func (r *Raft) ReadIndex(now time.Duration, requestID uint64) bool {
	r.advanceTime(now)
	if r.role != leader || !r.hasCommittedOwnTerm() {
		return false
	}
	if r.log.configuration.isSoleVoter(r.config.Self.ID) {
		r.answerRead(ReadState{RequestID: requestID, Index: r.log.committed})
		return true
	}
	// Responses to a round that began before the request would not show that no other member has become leader since.
	r.broadcastHeartbeat()
	r.reads = append(r.reads, pendingRead{requestID: requestID, index: r.log.committed, round: r.leading.heartbeatRound})
	return true
}

// confirmReads confirms the reads whose round of heartbeats a quorum has answered, which shows that this member still led when the round
// began.
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

// rejectReads answers all pending reads as not confirmed, because this member has stopped leading.
func (r *Raft) rejectReads() {
	for _, read := range r.reads {
		r.answerRead(ReadState{RequestID: read.requestID})
	}
	r.reads = nil
}

// answerRead hands out the result of a read with the next Ready.
func (r *Raft) answerRead(state ReadState) { r.outbox.readStates = append(r.outbox.readStates, state) }
