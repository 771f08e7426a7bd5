package membership

import (
	"slices"
	"time"
)

// ChangeKind is a kind of change of a member. Its text is part of the status that operators read as JSON.
type ChangeKind string

// The kinds of changes.
const (
	ChangeUp             ChangeKind = "up"             // the gossip reports it as alive, for the first time or again
	ChangeRestarted      ChangeKind = "restarted"      // a new process replaced it before the gossip reported the old one as dead
	ChangeFailed         ChangeKind = "failed"         // the gossip reports it as dead
	ChangeLeft           ChangeKind = "left"           // it announced that it was leaving
	ChangeDuplicate      ChangeKind = "twins"          // two processes have the same name
	ChangeEstablished    ChangeKind = "counts"         // it became established, see Member.Established
	ChangeNotEstablished ChangeKind = "does not count" // it is no longer established
)

// maxRecordedChanges is the number of changes that are kept for operators.
const maxRecordedChanges = 20

// Change is a recorded change of a member, shown to operators.
type Change struct {
	At     time.Duration // elapsed time, see the package comment
	Name   string        // of the member
	Kind   ChangeKind
	Reason string
}

// history holds the latest changes, the oldest first.
type history []Change

// add appends a change, and drops the oldest one beyond maxRecordedChanges.
func (h *history) add(c Change) {
	*h = append(*h, c)
	if len(*h) > maxRecordedChanges {
		*h = slices.Delete(*h, 0, 1)
	}
}
