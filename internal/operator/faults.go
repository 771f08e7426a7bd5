package operator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Fault is one mistake in a file.
type Fault struct {
	File string
	Line int    // from 1; 0 if the fault is of the file as a whole
	Key  string // path as in the file, with indices from 0: pools[1].classes[0].effect; empty if it is of the file as a whole
	Text string // what is wrong, and what is allowed
}

// Error returns the fault in one line: file, line, key and text, as far as they are known.
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		at += ": " + f.Key
	}
	return at + ": " + f.Text
}

// Faults are all mistakes of a file, sorted by line and then by key.
type Faults []Fault

// Error returns a line for each fault.
func (l Faults) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the faults by line, and by key within a line.
func (l Faults) sorted() Faults {
	slices.SortStableFunc(l, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return l
}
