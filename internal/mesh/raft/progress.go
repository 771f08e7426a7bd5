package raft

import (
	"cmp"
	"slices"
	"time"
)

// progress is what a leader knows of one peer.
type progress struct {
	Member

	match uint64 // the peer's log agrees with the leader's up to here, on disk
	next  uint64 // the next entry to send

	heardAt         time.Duration
	hasAnswered     bool   // it has said something to this leader, so protocolVersion is known
	protocolVersion uint32 // that it speaks
	answeredRound   uint64 // latest round of heartbeats that it has answered
	isVoter         bool   // of the latest configuration
	isJoining       bool   // a learner that has asked to join; one that was removed has to ask anew

	inflight []inflightAppend // messages with entries that it has not acknowledged
	paused   bool             // no more is sent until it answers or a heartbeat is due

	transfer            *snapshotTransfer // of a snapshot in chunks; nil: none
	wholeSnapshotSentAt time.Duration     // of a snapshot in one message; 0: none

	// Of a member that is going to stop; see leave.go.
	leavingAt    time.Duration // when it last said so; 0: it has not
	leaveRound   uint64        // round of heartbeats that began when it first said so
	leaveGranted bool          // it was told that it may stop: what it holds from then on does not count
}

// inflightAppend is one message with entries that is not acknowledged yet.
type inflightAppend struct {
	lastIndex uint64
	bytes     int
}

// recordContact takes note that the peer has said something.
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

// acknowledge takes note of up to where the peer has the log. Of one that was granted leave nothing new counts: it may stop at any
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

// progressTracker is a leader's progress records in ascending order of ID, so that whatever is done for each of them is done in the
// same order when the same events are replayed.
type progressTracker []*progress

func (t progressTracker) find(id ID) (at int, found bool) {
	return slices.BinarySearchFunc(t, id, func(p *progress, id ID) int { return cmp.Compare(p.ID, id) })
}

// get returns the record of a peer; nil: there is none.
func (t progressTracker) get(id ID) *progress {
	if at, found := t.find(id); found {
		return t[at]
	}
	return nil
}

// heardAfter reports whether a peer was heard later than an instant.
func (t progressTracker) heardAfter(id ID, instant time.Duration) bool {
	p := t.get(id)
	return p != nil && p.heardAt > instant
}

// insert adds a record that is not there yet.
func (t *progressTracker) insert(p *progress) {
	at, _ := t.find(p.ID)
	*t = slices.Insert(*t, at, p)
}

// trackVoters has a leader keep a record of each other voter of the latest configuration. A removed one learns from the log that it
// is none any more, while it hears the leader. If it asks to join again it has to show anew what it holds: its disk may be what was
// lost.
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
