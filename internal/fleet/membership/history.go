package membership

import (
	"slices"
	"time"
)

// ChangeKind is what happened to a member. Its text is part of the status that operators read as JSON.
type ChangeKind string

// The kinds of changes.
const (
	ChangeUp             ChangeKind = "up"             // it is seen, for the first time or again
	ChangeRestarted      ChangeKind = "restarted"      // another process of its name took its place before it was missed
	ChangeFailed         ChangeKind = "failed"         // the gossip reports it as dead
	ChangeLeft           ChangeKind = "left"           // it announced that it leaves
	ChangeDuplicate      ChangeKind = "twins"          // two processes have its name
	ChangeEstablished    ChangeKind = "counts"         // it is established from now on, see Member.Established
	ChangeNotEstablished ChangeKind = "does not count" // it is not established any more
)

// maxRecordedChanges bounds how many changes are kept for operators.
const maxRecordedChanges = 20

// Change is something that happened to a member, for operators.
type Change struct {
	At     time.Duration // elapsed time, see the package comment
	Name   string        // of the member
	Kind   ChangeKind
	Reason string
}

// history holds the latest changes, the oldest first.
type history []Change

// add adds a change, and drops the oldest one if there are too many.
func (h *history) add(c Change) {
	*h = append(*h, c)
	if len(*h) > maxRecordedChanges {
		*h = slices.Delete(*h, 0, 1)
	}
}
