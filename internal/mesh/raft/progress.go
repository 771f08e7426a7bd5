package raft

import (
	"cmp"
	"slices"
	"time"
)

// progress is a leader's record of one peer.
type progress struct {
	Member

	match uint64 // up to here the peer's log agrees with the leader's and is on the peer's disk
	next  uint64 // the next entry to send

	lastContactAt   time.Duration // when the last message of the peer arrived, or when its record was added if none has
	hasAnswered     bool          // the peer has sent a message to this leader, so protocolVersion is known
	protocolVersion uint32        // spoken by the peer
	answeredRound   uint64        // the latest heartbeat round that the peer has answered
	isVoter         bool          // in the latest configuration
	isJoining       bool          // the peer is a learner that has asked to join; a removed voter has to ask again

	inflight []inflightAppend // messages whose entries the peer has not acknowledged
	paused   bool             // send no entries until the peer answers or a heartbeat is due

	transfer            *snapshotTransfer // the transfer of a snapshot in chunks, or nil
	wholeSnapshotSentAt time.Duration     // when a snapshot was last sent in one message, or 0

	// Only used during a planned departure of the peer; see leave.go.
	lastLeaveRequestAt time.Duration // when its last LeaveRequest arrived, or 0 if none did
	leaveRound         uint64        // the heartbeat round that began with its first LeaveRequest
	leaveGranted       bool          // LeaveGranted was sent; later acknowledgements are ignored
}

// inflightAppend is a message with entries that is not acknowledged yet.
type inflightAppend struct {
	lastIndex uint64
	bytes     int
}

// recordContact records that a message of the peer has arrived.
func (p *progress) recordContact(now time.Duration, m Message) {
	p.lastContactAt, p.hasAnswered, p.protocolVersion = now, true, m.ProtocolVersion
}

// isInflightFull reports whether the entries in flight have reached maxInflightBytes, so that no more may be sent.
func (p *progress) isInflightFull() bool {
	bytes := 0
	for _, message := range p.inflight {
		bytes += message.bytes
	}
	return bytes >= maxInflightBytes
}

// acknowledge records that the peer's log agrees with the leader's up to an index and is on the peer's disk. It does not advance the match
// index of a peer that was granted leave, since that peer may stop at any moment.
func (p *progress) acknowledge(index uint64) {
	if !p.leaveGranted {
		p.match = max(p.match, index)
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(message inflightAppend) bool { return message.lastIndex <= index })
	if p.transfer != nil && index >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

// progressTracker is a leader's progress records sorted by ID, so that they are always processed in the same order.
type progressTracker []*progress

// find returns the position of a peer's record, or the position at which it would be inserted.
func (t progressTracker) find(id ID) (i int, found bool) {
	return slices.BinarySearchFunc(t, id, func(p *progress, id ID) int { return cmp.Compare(p.ID, id) })
}

// get returns the record of a peer, or nil if there is none.
func (t progressTracker) get(id ID) *progress {
	if i, found := t.find(id); found {
		return t[i]
	}
	return nil
}

// contactedAfter reports whether a message of a peer arrived, or its record was added, after an instant.
func (t progressTracker) contactedAfter(id ID, instant time.Duration) bool {
	p := t.get(id)
	return p != nil && p.lastContactAt > instant
}

// insert adds a record. There must be none with the same ID yet.
func (t *progressTracker) insert(p *progress) {
	i, _ := t.find(p.ID)
	*t = slices.Insert(*t, i, p)
}

// trackVoters adds a progress record for each other voter of the latest configuration. The record of a removed voter is kept while
// messages of it arrive, so that it learns of its removal from the log. Its match index is reset: it may have been removed because its disk
// was lost, so it has to acknowledge its log again before it can rejoin.
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
			r.peers.insert(&progress{Member: voter, next: r.log.lastIndex() + 1, lastContactAt: r.now, isVoter: true})
		}
	}
}
