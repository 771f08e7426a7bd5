package history

import (
	"fmt"
	"slices"
	"time"
)

// CatchUpInTime checks that a member that began to catch up has caught up within the bound. A bound of 0 checks nothing. What counts is
// the time that the member had, also if a fault of it or the end of the run came first.
func CatchUpInTime(h *History, bound time.Duration) (broken []Violation) {
	if bound == 0 {
		return nil
	}
	begun := map[string]time.Duration{}
	over := func(process string, at time.Duration) {
		if since, open := begun[process]; open && at-since > bound {
			broken = append(broken, Violation{
				CheckCatchUp, at,
				fmt.Sprintf("%s began to catch up at %v and had not after %v, where %v is the bound", process, since, at-since, bound),
			})
		}
		delete(begun, process)
	}
	for _, s := range progressSteps(h) {
		switch {
		case s.fault, s.ended:
			over(s.process, s.at)
		default:
			if _, open := begun[s.process]; !open {
				begun[s.process] = s.at
			}
		}
	}
	for _, process := range sortedNames(begun) {
		over(process, h.End)
	}
	return broken
}

// progressStep is an event that ends or interrupts the catching up of a process or, with neither flag set, begins it.
type progressStep struct {
	at           time.Duration
	process      string
	fault, ended bool
}

// progressSteps returns the steps of all processes in the order of their times.
func progressSteps(h *History) []progressStep {
	var steps []progressStep
	for _, f := range h.Faults {
		if f.Kind != Restart && f.Kind != Heal && f.Kind != Thaw {
			steps = append(steps, progressStep{at: f.At, process: f.Process, fault: true})
		}
	}
	for _, c := range h.CatchUps {
		steps = append(steps, progressStep{at: c.At, process: c.Process, ended: c.Ended})
	}
	return inOrder(steps, func(s progressStep) time.Duration { return s.at })
}

// sortedNames returns the keys of a map in order.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Liveness checks that each uncontested change that begins in a stable period, and has the time of the bound left in it, is
// acknowledged at one of its attempts within the bound. A bound of 0 checks nothing.
func Liveness(h *History, bound time.Duration) (broken []Violation) {
	if bound == 0 {
		return nil
	}
	for _, attempts := range attemptsByChange(h) {
		begin := attempts[0].Begin
		stable := slices.ContainsFunc(h.StablePeriods, func(s StablePeriod) bool { return s.From <= begin && begin+bound <= s.To })
		if !stable || !slices.ContainsFunc(attempts, func(c Change) bool { return isUncontested(h, c) }) {
			continue
		}
		acknowledged := slices.ContainsFunc(attempts, func(c Change) bool {
			return c.Outcome == Acknowledged && c.Return <= begin+bound
		})
		if !acknowledged {
			broken = append(broken, Violation{CheckLiveness, begin + bound, fmt.Sprintf(
				"%s's change of %v, sent %d times from %v on, has no acknowledgement after %v of a stable period",
				attempts[0].Process, attempts[0].Items, len(attempts), begin, bound)})
		}
	}
	return broken
}

// attemptsByChange groups the attempts of each change, ordered by their beginnings. The groups are ordered by their first attempts.
func attemptsByChange(h *History) (joined [][]Change) {
	position := map[string]int{}
	for _, c := range inOrder(h.Changes, func(c Change) time.Duration { return c.Begin }) {
		n, known := position[c.ChangeID]
		if !known || c.ChangeID == "" {
			n = len(joined)
			position[c.ChangeID] = n
			joined = append(joined, nil)
		}
		joined[n] = append(joined[n], c)
	}
	return joined
}

// isUncontested reports whether a change is valid and no other carries another content under one of its versions.
func isUncontested(h *History, c Change) bool {
	if c.Invalid {
		return false
	}
	for _, o := range h.Changes {
		for _, v := range c.Items {
			if other, found := find(o.Items, v.Item); found && other.Version == v.Version && other != v {
				return false
			}
		}
	}
	return true
}
