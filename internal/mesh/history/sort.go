package history

import (
	"cmp"
	"slices"
	"time"
)

// inOrder returns the events ordered by time. Events of one time stay in the order in which they were recorded.
func inOrder[E any](events []E, at func(E) time.Duration) []E {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b E) int { return cmp.Compare(at(a), at(b)) })
	return sorted
}

// sortedItems returns the keys of a map in a fixed order.
func sortedItems[V any](m map[Item]V) []Item {
	all := make([]Item, 0, len(m))
	for item := range m {
		all = append(all, item)
	}
	slices.SortFunc(all, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return all
}
