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
	paused      bool          // a rejection or a snapshot is under way until it answers or a beat is due
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
