package raft

import (
	"cmp"
	"slices"
	"time"
)

// progress is what a leader knows of another.
type progress struct {
	Member
	match, next         uint64
	heardAt             time.Duration
	answeredRound       uint64            // latest round that it answered
	sentAt              time.Duration     // the last Append
	inflight            []inflightAppend  // entries that it has not acknowledged
	transfer            *snapshotTransfer // of a snapshot; nil: none
	wholeSnapshotSentAt time.Duration     // a snapshot was sent in one message then
	paused              bool              // a rejection or a snapshot is under way until it answers or a beat is due
	hasAnswered         bool              // it has said something to this leader, so version is known
	protocolVersion     uint32            // that it speaks
	isVoter             bool              // of the latest configuration
	leavingAt           time.Duration     // it said last that it is told to end; 0: it has not
	leaveRound          uint64            // round of heartbeats that began when it first said so
	leaveGranted        bool              // and was told that it may: what it holds from then on does not count
	isJoining           bool              // a learner that has asked to be taken in; one that was let go has to ask anew
}

// recordContact notes that a peer has said something.
func (p *progress) recordContact(now time.Duration, m Message) {
	p.heardAt, p.hasAnswered, p.protocolVersion = now, true, m.ProtocolVersion
}

// inflightAppend is one message with entries.
type inflightAppend struct {
	lastIndex uint64 // entry
	bytes     int
}

// isInflightFull says that no more entries may be under way.
func (p *progress) isInflightFull() bool {
	bytes := 0
	for _, x := range p.inflight {
		bytes += x.bytes
	}
	return bytes >= maxInflightBytes
}

// acknowledge notes up to where a peer has the log. Of one that was let go nothing new counts.
func (p *progress) acknowledge(index uint64) {
	if !p.leaveGranted {
		p.match = max(p.match, index)
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(x inflightAppend) bool { return x.lastIndex <= index })
	if p.transfer != nil && index >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

// progressTracker is a leader's progress records in ascending order of ID, so that whatever is done for each of them is done
// in the same order whenever the same events are replayed.
type progressTracker []*progress

func (l progressTracker) find(id ID) (at int, found bool) {
	return slices.BinarySearchFunc(l, id, func(p *progress, id ID) int { return cmp.Compare(p.ID, id) })
}

// get returns the record of a peer; nil: there is none.
func (l progressTracker) get(id ID) *progress {
	if at, found := l.find(id); found {
		return l[at]
	}
	return nil
}

// heardAfter says that a peer was heard later than an instant.
func (l progressTracker) heardAfter(id ID, instant time.Duration) bool {
	p := l.get(id)
	return p != nil && p.heardAt > instant
}

// insert inserts a record that is not there yet.
func (l *progressTracker) insert(p *progress) {
	at, _ := l.find(p.ID)
	*l = slices.Insert(*l, at, p)
}

// trackVoters has a leader keep track of each voter. One that is none any more is told so by the log while it hears this one, and
// has to ask and to show anew what it holds: its disk may be what was lost.
func (c *Raft) trackVoters() {
	for _, p := range c.peers {
		votes := c.configuration.isVoter(p.ID)
		if p.isVoter && !votes {
			p.match = 0
		}
		if p.isVoter != votes {
			p.isVoter, p.isJoining = votes, false
		}
	}
	for _, m := range c.configuration.voters() {
		if p := c.peers.get(m.ID); p != nil {
			p.Member = m
		} else if m.ID != c.config.Self.ID {
			c.peers.insert(&progress{Member: m, next: c.lastIndex() + 1, heardAt: c.now, isVoter: true})
		}
	}
}
