package subset

import (
	"slices"
	"time"
)

// Mover takes a member from one set of servers to another at a bounded rate: each server that is new is a connection to
// open and a belief to form, and all members move at the same time. It closes nothing: what a set leaves only gets no
// first attempts any more.
type Mover struct {
	every time.Duration // between steps
	have  []string      // sorted
	want  []string
	next  time.Duration
	begun bool
}

// stepShare of the set is exchanged in a step, and one at the least.
const stepShare = 8

// NewMover returns a mover without any set; the first that it is told is taken at once.
func NewMover(every time.Duration) *Mover { return &Mover{every: every} }

// Aim tells what the set should be, sorted, and what is listed at all: what is not leaves at once, and what is wanted
// takes its place.
func (m *Mover) Aim(want []string, listed func(string) bool) {
	m.want = want
	if !m.begun {
		m.have, m.begun = slices.Clone(want), len(want) > 0
		return
	}
	before := len(m.have)
	m.have = slices.DeleteFunc(slices.Clone(m.have), func(s string) bool { return !listed(s) })
	m.add(min(before, len(want)) - len(m.have))
}

// add takes up to n wanted servers in.
func (m *Mover) add(n int) (added int) {
	for _, s := range m.want {
		if added >= n {
			break
		}
		if at, is := slices.BinarySearch(m.have, s); !is {
			m.have = slices.Insert(slices.Clone(m.have), at, s)
			added++
		}
	}
	return added
}

// Step gives the set for now, sorted; the caller must not change it. First it takes in, then it leaves, so that it is
// never smaller than both.
func (m *Mover) Step(now time.Duration) []string {
	if now < m.next || slices.Equal(m.have, m.want) {
		return m.have
	}
	m.next = now + m.every
	n := max(1, len(m.want)/stepShare)
	m.add(n)
	over := min(n, len(m.have)-len(m.want))
	for i := len(m.have) - 1; i >= 0 && over > 0; i-- {
		if _, is := slices.BinarySearch(m.want, m.have[i]); !is {
			m.have = slices.Delete(slices.Clone(m.have), i, i+1)
			over--
		}
	}
	return m.have
}

// Moving says that the set is not yet what it should be.
func (m *Mover) Moving() bool { return !slices.Equal(m.have, m.want) }
