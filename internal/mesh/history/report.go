package history

import (
	"fmt"
	"time"
)

// Violation is a promise that a history shows to be broken.
type Violation struct {
	Checker string        // name of the checker that found it
	At      time.Duration // when it was seen
	Text    string
}

// String returns time, checker and text.
func (v Violation) String() string { return fmt.Sprintf("%v: %s: %s", v.At, v.Checker, v.Text) }

// Bounds are the limits of the promises that have a time in them. A promise with a bound of 0 is not checked.
type Bounds struct {
	// IsolatedRead is how long after its last contact with a majority a member may still serve the configuration.
	IsolatedRead time.Duration
	// CatchUp is the time from when a member begins to catch up until it has.
	CatchUp time.Duration
	// Acknowledgement is the time from a change's first attempt, in a stable period, to an acknowledgement.
	Acknowledgement time.Duration
	// Search is the real time of the search for a linearization of one item. 0 stands for DefaultSearch.
	Search time.Duration
}

// DefaultSearch is the limit of the search for a linearization of one item, in real time.
const DefaultSearch = 5 * time.Second

// Report is the result of all checkers.
type Report struct {
	Violations []Violation
	Undecided  []Item // items whose search was not over within Bounds.Search, so that nothing is known of them
}
