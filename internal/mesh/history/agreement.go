package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// SingleLeader checks that no two members lead in one term (Raft, section 5.2, election safety).
func SingleLeader(h *History) (broken []Violation) {
	first := map[uint64]Leader{}
	for _, l := range inOrder(h.Leaders, func(l Leader) time.Duration { return l.At }) {
		before, known := first[l.Term]
		if !known {
			first[l.Term] = l
			continue
		}
		if before.ID != l.ID {
			broken = append(broken, Violation{CheckSingleLeader, l.At, fmt.Sprintf(
				"%s (%d) leads in term %d, which %s (%d) has led since %v",
				l.Process, l.ID, l.Term, before.Process, before.ID, before.At)})
		}
	}
	return broken
}

// Durability checks that an acknowledged index is on Tolerance+1 synced disks of the members that count, or on all of them if there
// are fewer, and that every later leader has it in its log (Raft, section 5.4, leader completeness).
func Durability(h *History) []Violation {
	return append(onEnoughDisks(h), heldByLeaders(h)...)
}

// onEnoughDisks checks that each acknowledged index was on enough synced disks.
func onEnoughDisks(h *History) (broken []Violation) {
	for _, s := range h.Synced {
		holding := 0
		for _, id := range s.Counted {
			if slices.Contains(s.Disks, id) {
				holding++
			}
		}
		if needed := min(s.Tolerance+1, len(s.Counted)); holding < needed {
			broken = append(broken, Violation{CheckDurability, s.At, fmt.Sprintf(
				"index %d was acknowledged on %d synced disks of %v that count, where %d are needed", s.Index, holding, s.Counted, needed)})
		}
	}
	return broken
}

// heldByLeaders checks that each leader has in its log what was acknowledged before its election.
func heldByLeaders(h *History) (broken []Violation) {
	for _, l := range h.Leaders {
		if l.LastIndex == 0 {
			continue
		}
		for _, s := range h.Synced {
			if s.At < l.At && s.Index > l.LastIndex {
				broken = append(broken, Violation{CheckDurability, l.At, fmt.Sprintf(
					"%s (%d) leads in term %d with a log to %d, but %d was acknowledged at %v",
					l.Process, l.ID, l.Term, l.LastIndex, s.Index, s.At)})
				break
			}
		}
	}
	return broken
}

// Membership checks that all processes that report the members from one index on agree on them, that each configuration follows from
// the one before by one committed step, and that their majorities overlap (Raft, section 6). A step is one voter more or less, the
// beginning of a joint configuration, or its end. Learners don't count.
func Membership(h *History) (broken []Violation) {
	var agreed []Members
	for _, m := range byIndex(h.Members) {
		if len(agreed) == 0 || agreed[len(agreed)-1].Index < m.Index {
			agreed = append(agreed, m)
			continue
		}
		if same := agreed[len(agreed)-1]; !slices.Equal(same.Voters, m.Voters) || !slices.Equal(same.Outgoing, m.Outgoing) {
			broken = append(broken, Violation{CheckMembership, m.At, fmt.Sprintf(
				"from index %d on the members are %v %v to %s, but %v %v to %s",
				m.Index, m.Voters, m.Outgoing, m.Process, same.Voters, same.Outgoing, same.Process)})
		}
	}
	for n := 1; n < len(agreed); n++ {
		broken = append(broken, checkMemberStep(agreed[n-1], agreed[n])...)
	}
	return broken
}

// byIndex returns the reports with sorted members, in order of their indexes.
func byIndex(reports []Members) []Members {
	sorted := make([]Members, 0, len(reports))
	for _, m := range reports {
		m.Voters = slices.Sorted(slices.Values(m.Voters))
		m.Outgoing = slices.Sorted(slices.Values(m.Outgoing))
		sorted = append(sorted, m)
	}
	slices.SortStableFunc(sorted, func(a, b Members) int { return cmp.Compare(a.Index, b.Index) })
	return sorted
}

// checkMemberStep judges the step from one configuration to the next. Both are sorted.
func checkMemberStep(from, to Members) (broken []Violation) {
	var valid bool
	switch {
	case len(from.Outgoing) > 0:
		valid = len(to.Outgoing) == 0 && (slices.Equal(to.Voters, from.Voters) || slices.Equal(to.Voters, from.Outgoing))
	case len(to.Outgoing) > 0:
		valid = slices.Equal(to.Outgoing, from.Voters)
	default:
		valid = len(without(from.Voters, to.Voters))+len(without(to.Voters, from.Voters)) <= 1
	}
	if !valid {
		broken = append(broken, Violation{CheckMembership, to.At, fmt.Sprintf(
			"from %v %v at index %d to %v %v at %d is more than one agreed step",
			from.Voters, from.Outgoing, from.Index, to.Voters, to.Outgoing, to.Index)})
	}
	if disjointMajorities(from, to) {
		broken = append(broken, Violation{CheckMembership, to.At, fmt.Sprintf(
			"%v at index %d and %v at %d have majorities without a common member", from.Voters, from.Index, to.Voters, to.Index)})
	}
	return broken
}

// disjointMajorities reports whether two configurations can each decide without a member in common. A joint configuration needs both
// of its majorities, so it is enough that one of them always overlaps with the other side's.
func disjointMajorities(a, b Members) bool {
	for _, x := range [][]uint64{a.Voters, a.Outgoing} {
		for _, y := range [][]uint64{b.Voters, b.Outgoing} {
			if len(x) > 0 && len(y) > 0 && majority(x)+majority(y) > len(x)+len(without(y, x)) {
				return false
			}
		}
	}
	return true
}

// majority returns how many voters are more than half.
func majority(voters []uint64) int { return len(voters)/2 + 1 }

// without returns the elements of a that are not in b.
func without(a, b []uint64) (rest []uint64) {
	for _, id := range a {
		if !slices.Contains(b, id) {
			rest = append(rest, id)
		}
	}
	return rest
}
