package raft

import (
	"cmp"
	"slices"
	"time"
)

// progress is what a leader knows of one peer.
type progress struct {
	Member

	match uint64 // up to here the peer's log agrees with the leader's and is on the peer's disk
	next  uint64 // the next entry to send

	heardAt         time.Duration
	hasAnswered     bool   // it has sent something to this leader, so protocolVersion is known
	protocolVersion uint32 // that it speaks
	answeredRound   uint64 // latest round of heartbeats that it has answered
	isVoter         bool   // of the latest configuration
	isJoining       bool   // a learner that has asked to join; a removed voter has to ask again

	inflight []inflightAppend // messages with entries that the peer has not acknowledged
	paused   bool             // no more is sent until the peer answers or a heartbeat is due

	transfer            *snapshotTransfer // of a snapshot in chunks, or nil
	wholeSnapshotSentAt time.Duration     // when a snapshot was sent in one message, or 0 if none was

	// Of a member in a planned departure; see leave.go.
	leavingAt    time.Duration // when its last LeaveRequest came, or 0 if none did
	leaveRound   uint64        // round of heartbeats that began with its first LeaveRequest
	leaveGranted bool          // it was sent LeaveGranted: what it acknowledges from then on does not count
}

// inflightAppend is one message with entries that is not acknowledged yet.
type inflightAppend struct {
	lastIndex uint64
	bytes     int
}

// recordContact records that a message of the peer came.
func (p *progress) recordContact(now time.Duration, m Message) {
	p.heardAt, p.hasAnswered, p.protocolVersion = now, true, m.ProtocolVersion
}

// isInflightFull reports whether no more entries may be in flight.
func (p *progress) isInflightFull() bool {
	bytes := 0
	for _, message := range p.inflight {
		bytes += message.bytes
	}
	return bytes >= maxInflightBytes
}

// acknowledge records up to which index the peer has the log. Nothing new counts of a peer that was granted leave, since it may stop at any
// moment.
func (p *progress) acknowledge(index uint64) {
	if !p.leaveGranted {
		p.match = max(p.match, index)
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(message inflightAppend) bool { return message.lastIndex <= index })
	if p.transfer != nil && index >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

// progressTracker holds a leader's progress records in ascending order of ID, so that the same events always handle them in the same order.
type progressTracker []*progress

// find returns the position of a peer's record, or the one at which it would be inserted.
func (t progressTracker) find(id ID) (at int, found bool) {
	return slices.BinarySearchFunc(t, id, func(p *progress, id ID) int { return cmp.Compare(p.ID, id) })
}

// get returns the record of a peer, or nil if there is none.
func (t progressTracker) get(id ID) *progress {
	if at, found := t.find(id); found {
		return t[at]
	}
	return nil
}

// heardAfter reports whether a message of a peer came after an instant.
func (t progressTracker) heardAfter(id ID, instant time.Duration) bool {
	p := t.get(id)
	return p != nil && p.heardAt > instant
}

// insert adds a record that is not there yet.
func (t *progressTracker) insert(p *progress) {
	at, _ := t.find(p.ID)
	*t = slices.Insert(*t, at, p)
}

// trackVoters adds a progress record for each other voter of the latest configuration. The record of a removed voter is kept while it
// is heard, so that it learns of its removal from the log. If it asks to join again it has to acknowledge its log again, since it may
// have been removed because its disk was lost.
func (r *Raft) trackVoters() {
	for _, p := range r.peers {
		isVoter := r.log.configuration.isVoter(p.ID)
		if p.isVoter && !isVoter {
			p.match = 0
		}
		if p.isVoter != isVoter {
			p.isVoter, p.isJoining = isVoter, false
		}
	}
	for _, voter := range r.log.configuration.voters() {
		if p := r.peers.get(voter.ID); p != nil {
			p.Member = voter
		} else if voter.ID != r.config.Self.ID {
			r.peers.insert(&progress{Member: voter, next: r.log.lastIndex() + 1, heardAt: r.now, isVoter: true})
		}
	}
}
