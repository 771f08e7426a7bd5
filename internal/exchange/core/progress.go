package core

import (
	"cmp"
	"slices"
	"time"
)

// progress is what a leader knows of another.
type progress struct {
	Member
	match, next uint64
	heard       time.Duration
	seq         uint64        // latest round that it answered
	sent        time.Duration // the last Append
	underWay    []flight      // entries that it has not acknowledged
	transfer    *transfer     // of a snapshot; nil: none
	whole       time.Duration // a snapshot was sent in one message then
	paused      bool          // a rejection or a snapshot is under way until it answers or a beat is due
	answered    bool          // it has said something to this leader, so version is known
	version     uint32        // that it speaks
	voter       bool          // of the latest configuration
	leaving     time.Duration // it said last that it is told to end; 0: it has not
	leaveRound  uint64        // round of heartbeats that began when it first said so
	released    bool          // and was told that it may: what it holds from then on does not count
	joining     bool          // a learner that has asked to be taken in; one that was let go has to ask anew
}

// hear notes that a peer has said something.
func (p *progress) hear(now time.Duration, m Message) {
	p.heard, p.answered, p.version = now, true, m.Version
}

// flight is one message with entries.
type flight struct {
	last  uint64 // entry
	bytes int
}

// full says that no more entries may be under way.
func (p *progress) full() bool {
	bytes := 0
	for _, x := range p.underWay {
		bytes += x.bytes
	}
	return bytes >= mostUnderWay
}

// acknowledge notes up to where a peer has the log. Of one that was let go nothing new counts.
func (p *progress) acknowledge(index uint64) {
	if !p.released {
		p.match = max(p.match, index)
	}
	p.underWay = slices.DeleteFunc(p.underWay, func(x flight) bool { return x.last <= index })
	if p.transfer != nil && index >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
}

// progressList is a leader's progress records in ascending order of ID, so that whatever is done for each of them is done
// in the same order whenever the same events are replayed.
type progressList []*progress

func (l progressList) find(id ID) (at int, found bool) {
	return slices.BinarySearchFunc(l, id, func(p *progress, id ID) int { return cmp.Compare(p.ID, id) })
}

// get returns the record of a peer; nil: there is none.
func (l progressList) get(id ID) *progress {
	if at, found := l.find(id); found {
		return l[at]
	}
	return nil
}

// heardSince says that a peer was heard later than an instant.
func (l progressList) heardSince(id ID, instant time.Duration) bool {
	p := l.get(id)
	return p != nil && p.heard > instant
}

// add inserts a record that is not there yet.
func (l *progressList) add(p *progress) {
	at, _ := l.find(p.ID)
	*l = slices.Insert(*l, at, p)
}

// follow has a leader keep track of each voter. One that is none any more is told so by the log while it hears this one, and
// has to ask and to show anew what it holds: its disk may be what was lost.
func (c *Core) follow() {
	for _, p := range c.peers {
		votes := c.config.votes(p.ID)
		if p.voter && !votes {
			p.match = 0
		}
		if p.voter != votes {
			p.voter, p.joining = votes, false
		}
	}
	for _, m := range c.config.voters() {
		if p := c.peers.get(m.ID); p != nil {
			p.Member = m
		} else if m.ID != c.cfg.Self.ID {
			c.peers.add(&progress{Member: m, next: c.last() + 1, heard: c.now, voter: true})
		}
	}
}
