package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerInput is an operation on one item: a write of a content, or a read.
type registerInput struct {
	write   bool
	content ItemVersion // of a write
}

// registerOutput is what the caller was told.
type registerOutput struct {
	unknown bool
	told    bool        // a read's answer names the item
	content ItemVersion // of a read that names it
}

// Linearizable checks, item by item, that each history of changes and fetches has an order in which the highest version
// holds and every fetch shows what stands. Calls with an unknown outcome may take effect at any time from their beginning
// on, or never. A call's items taking effect together is checked on the fetches. An item whose search takes longer than
// bound is undecided.
func Linearizable(h *History, bound time.Duration) (broken []Violation, undecided []Item) {
	if bound == 0 {
		bound = DefaultSearch
	}
	for _, item := range items(h) {
		operations, last := itemOperations(h, item)
		switch porcupine.CheckOperationsTimeout(itemRegister, operations, bound) {
		case porcupine.Illegal:
			broken = append(broken, Violation{CheckLinearizable, last,
				fmt.Sprintf("%v: no order of its %d calls explains what was told", item, len(operations))})
		case porcupine.Unknown:
			undecided = append(undecided, item)
		}
	}
	return append(broken, partialChanges(h)...), undecided
}

// itemRegister is one item as a register in which the highest version holds.
var itemRegister = porcupine.Model{
	Init: func() any { return ItemVersion{} },
	Step: func(state, input, output any) (bool, any) {
		stands, in, out := state.(ItemVersion), input.(registerInput), output.(registerOutput)
		if !in.write {
			return shows(out, stands), stands
		}
		switch {
		case in.content.Version > stands.Version:
			return true, in.content
		case in.content.Version == stands.Version:
			return out.unknown || in.content == stands, stands
		}
		return true, stands
	},
}

// shows says that a read's answer fits what stands. An item that was dropped may be left out.
func shows(read registerOutput, stands ItemVersion) bool {
	if read.told {
		return read.content == stands
	}
	return stands.Version == 0 || stands.Deleted
}

// items are all that were changed or fetched, in a fixed order.
func items(h *History) []Item {
	var all []Item
	for _, c := range h.Changes {
		for _, v := range c.Items {
			all = append(all, v.Item)
		}
	}
	for _, f := range h.Fetches {
		for _, v := range f.Items {
			all = append(all, v.Item)
		}
	}
	slices.SortFunc(all, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return slices.Compact(all)
}

// itemOperations are the calls that bear on one item, and the return of the last one.
func itemOperations(h *History, item Item) (operations []porcupine.Operation, last time.Duration) {
	for _, c := range h.Changes {
		if _, names := find(c.Items, item); names && c.Outcome != Refused {
			last = max(last, c.Return)
		}
	}
	for _, c := range mergedChanges(h, item) {
		returned := int64(c.Return)
		if c.Outcome == Unknown {
			returned = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{Input: registerInput{true, c.content}, Call: int64(c.Begin),
			Output: registerOutput{unknown: c.Outcome == Unknown}, Return: returned})
	}
	for _, f := range h.Fetches {
		if f.Outcome != Acknowledged {
			continue
		}
		content, told := find(f.Items, item)
		last = max(last, f.Return)
		operations = append(operations, porcupine.Operation{Input: registerInput{}, Call: int64(f.Begin),
			Output: registerOutput{told: told, content: content}, Return: int64(f.Return)})
	}
	return operations, last
}

// mergedChange is all tries to write one content of an item, as one.
type mergedChange struct {
	Call
	content ItemVersion
}

// mergedChanges has one write for all tries of each content, in order of their first tries. That is exactly as strict as all
// of them: versions in force only rise, so once one try took effect the others change nothing and are acknowledged
// rightly. The content takes effect, if at all, between the first try and the first acknowledgement; without one at any
// time from the first try on. It keeps the search short: every lost answer would be open until the end of the run.
func mergedChanges(h *History, item Item) (merged []mergedChange) {
	place := map[ItemVersion]int{}
	for _, c := range inOrder(h.Changes, func(c Change) time.Duration { return c.Begin }) {
		content, names := find(c.Items, item)
		if !names || c.Outcome == Refused {
			continue
		}
		n, known := place[content]
		if !known {
			place[content] = len(merged)
			merged = append(merged, mergedChange{c.Call, content})
			continue
		}
		m := &merged[n]
		switch {
		case c.Outcome != Acknowledged:
		case m.Outcome != Acknowledged:
			m.Outcome, m.Return = Acknowledged, c.Return
		default:
			m.Return = min(m.Return, c.Return)
		}
	}
	return merged
}

func find(versions []ItemVersion, item Item) (ItemVersion, bool) {
	for _, v := range versions {
		if v.Item == item {
			return v, true
		}
	}
	return ItemVersion{}, false
}

// partialChanges finds fetches that show one item of a call and of another an older version than that call's. Contents that
// several different calls carry prove nothing and are left out.
func partialChanges(h *History) (broken []Violation) {
	carriers := map[ItemVersion][]ItemVersion{}
	for _, c := range h.Changes {
		for _, v := range c.Items {
			if others, known := carriers[v]; known && !slices.Equal(others, c.Items) {
				carriers[v] = nil
				continue
			}
			carriers[v] = c.Items
		}
	}
	for _, f := range h.Fetches {
		if f.Outcome != Acknowledged {
			continue
		}
		for _, shown := range f.Items {
			for _, other := range carriers[shown] {
				if got, told := find(f.Items, other.Item); got.Version < other.Version && (told || !mayBeDeleted(h, other, f.Return)) {
					broken = append(broken, Violation{CheckLinearizable, f.Return, fmt.Sprintf(
						"%s was shown half of a call by %s: %v at version %d, but %v at %d in place of %d",
						f.Process, f.Member, shown.Item, shown.Version, other.Item, got.Version, other.Version)})
				}
			}
		}
	}
	return broken
}
