package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerInput is an operation on one item, which porcupine checks as a register: a write of a content, or a read.
type registerInput struct {
	write   bool
	content ItemVersion // of a write
}

// registerOutput is the answer of an operation.
type registerOutput struct {
	unknown bool        // the caller does not know whether the write took effect
	found   bool        // the answer of a read has the item
	content ItemVersion // of a read that has it
}

// Linearizable checks, item by item, that the changes and fetches have a linearization: an order within their durations in which the
// highest version wins and every fetch shows the current one. Calls with an unknown outcome may take effect at any time from their
// beginning on, or never. That all items of a call take effect together is checked on the fetches. An item is undecided if its
// search takes longer than bound, in real time.
func Linearizable(h *History, bound time.Duration) (broken []Violation, undecided []Item) {
	if bound == 0 {
		bound = DefaultSearch
	}
	for _, item := range items(h) {
		operations, last := itemOperations(h, item)
		switch porcupine.CheckOperationsTimeout(itemRegister, operations, bound) {
		case porcupine.Illegal:
			broken = append(broken, Violation{
				CheckLinearizable, last,
				fmt.Sprintf("%v: no order of its %d calls explains their answers", item, len(operations)),
			})
		case porcupine.Ok:
		case porcupine.Unknown:
			undecided = append(undecided, item)
		}
	}
	return append(broken, partialChanges(h)...), undecided
}

// itemRegister models one item as a register in which the highest version wins.
var itemRegister = porcupine.Model{
	Init: func() any { return ItemVersion{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(ItemVersion), input.(registerInput), output.(registerOutput)
		if !in.write {
			return shows(out, current), current
		}
		switch {
		case in.content.Version > current.Version:
			return true, in.content
		case in.content.Version == current.Version:
			return out.unknown || in.content == current, current
		}
		return true, current
	},
}

// shows reports whether the answer of a read fits the current version. A deleted item may be missing.
func shows(read registerOutput, current ItemVersion) bool {
	if read.found {
		return read.content == current
	}
	return current.Version == 0 || current.Deleted
}

// items returns all items that were changed or fetched, in a fixed order.
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

// itemOperations returns the calls that concern one item, and the return of the last one.
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
		operations = append(operations, porcupine.Operation{
			Input:  registerInput{write: true, content: c.content},
			Call:   int64(c.Begin),
			Output: registerOutput{unknown: c.Outcome == Unknown},
			Return: returned,
		})
	}
	for _, f := range h.Fetches {
		if f.Outcome != Acknowledged {
			continue
		}
		content, found := find(f.Items, item)
		last = max(last, f.Return)
		operations = append(operations, porcupine.Operation{
			Input:  registerInput{},
			Call:   int64(f.Begin),
			Output: registerOutput{found: found, content: content},
			Return: int64(f.Return),
		})
	}
	return operations, last
}

// mergedChange is all attempts to write one content of an item, as one.
type mergedChange struct {
	Call
	content ItemVersion
}

// mergedChanges returns one write for all attempts of each content, in order of their first attempts. That is exactly as strict as
// all of them: active versions only rise, so once one attempt took effect the others change nothing and are rightly acknowledged.
// The content takes effect, if at all, between the first attempt and the first acknowledgement, or without one at any time from the
// first attempt on. It keeps the search short: every lost answer would be open until the end of the run.
func mergedChanges(h *History, item Item) (merged []mergedChange) {
	position := map[ItemVersion]int{}
	for _, c := range inOrder(h.Changes, func(c Change) time.Duration { return c.Begin }) {
		content, names := find(c.Items, item)
		if !names || c.Outcome == Refused {
			continue
		}
		n, known := position[content]
		if !known {
			position[content] = len(merged)
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

// find returns the version of an item in a list.
func find(versions []ItemVersion, item Item) (ItemVersion, bool) {
	for _, v := range versions {
		if v.Item == item {
			return v, true
		}
	}
	return ItemVersion{}, false
}

// partialChanges finds fetches that show one item of a call, and of another item an older version than that call's. Contents that
// several different calls carry prove nothing and are skipped.
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
				if got, found := find(f.Items, other.Item); got.Version < other.Version && (found || !mayBeDeleted(h, other, f.Return)) {
					broken = append(broken, Violation{CheckLinearizable, f.Return, fmt.Sprintf(
						"%s was shown half of a call by %s: %v at version %d, but %v at %d in place of %d",
						f.Process, f.Member, shown.Item, shown.Version, other.Item, got.Version, other.Version)})
				}
			}
		}
	}
	return broken
}
