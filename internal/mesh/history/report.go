package history

import (
	"fmt"
	"time"
)

// Violation is a promise that a history shows to be broken.
type Violation struct {
	Checker string        // its name, as in Report
	At      time.Duration // when it was seen
	Text    string
}

// String words it for a reader.
func (v Violation) String() string { return fmt.Sprintf("%v: %s: %s", v.At, v.Checker, v.Text) }

// Bounds are the figures that the promises with a time in them are judged by; a zero leaves that promise unjudged.
type Bounds struct {
	IsolatedRead    time.Duration // how long after its last contact with a majority a member may still hand out the configuration
	CatchUp         time.Duration // from the beginning of a member's catching up to its end
	Acknowledgement time.Duration // from an order's first call, in settled times, to an acknowledgement
	Search          time.Duration // real time for the search of linearizations of one item; zero: DefaultSearch
}

// DefaultSearch bounds the search for a linearization of one item's history, in real time.
const DefaultSearch = 5 * time.Second

// Report is what the checkers say of a history.
type Report struct {
	Violations []Violation
	Undecided  []Item // items whose linearizability was not decided within Bounds.Search
}
