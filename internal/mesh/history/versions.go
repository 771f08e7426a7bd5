package history

import (
	"fmt"
	"slices"
	"time"
)

// content is the content of an ItemVersion: equal contents are equal values.
type content struct {
	digest  string
	deleted bool
}

// itemNumber identifies a version of an item, whatever its content.
type itemNumber struct {
	Item
	version int64
}

// split separates which version it is from what is in it.
func split(v ItemVersion) (itemNumber, content) {
	return itemNumber{v.Item, v.Version}, content{v.Digest, v.Deleted}
}

// UniqueContent checks that no version of an item was acknowledged, fetched, sent to a sidecar or active with two contents. The
// acknowledgement of a version that a higher one may have overtaken by then is not evidence of its content, because it had no effect.
func UniqueContent(h *History) (broken []Violation) {
	first := map[itemNumber]content{}
	see := func(at time.Duration, where string, versions ...ItemVersion) {
		for _, v := range versions {
			number, is := split(v)
			was, known := first[number]
			if !known {
				first[number] = is
				continue
			}
			if was != is {
				broken = append(broken, Violation{
					CheckUniqueContent, at,
					fmt.Sprintf("%v version %d has %+v at %s, but %+v before", v.Item, v.Version, is, where, was),
				})
			}
		}
	}
	for _, c := range h.Changes {
		for _, v := range c.Items {
			if c.Outcome == Acknowledged && !overtaken(h, v, c.Return) {
				see(c.Return, c.Process+"'s change", v)
			}
		}
	}
	for _, f := range h.Fetches {
		if f.Outcome == Acknowledged {
			see(f.Return, "a fetch from "+f.Member, f.Items...)
		}
	}
	for _, t := range h.InitialTables {
		if t.Outcome == Acknowledged {
			see(t.Return, "a table of "+t.Member, t.Items...)
		}
	}
	for _, f := range h.ActiveVersions {
		see(f.At, f.Process, f.ItemVersion)
	}
	return broken
}

// mayBeDeleted reports whether a version deletes its item, or a higher one that may have been current before a time does.
func mayBeDeleted(h *History, v ItemVersion, before time.Duration) bool {
	return v.Deleted || slices.ContainsFunc(h.Changes, func(c Change) bool {
		other, found := find(c.Items, v.Item)
		return found && other.Deleted && other.Version > v.Version && c.Outcome != Refused && c.Begin <= before
	})
}

// overtaken reports whether a higher version of an item may have been current before a time.
func overtaken(h *History, v ItemVersion, before time.Duration) bool {
	return slices.ContainsFunc(h.Changes, func(c Change) bool {
		other, found := find(c.Items, v.Item)
		return found && other.Version > v.Version && c.Outcome != Refused && c.Begin <= before
	})
}

// RepeatedChanges checks that a change that was acknowledged, or whose content was seen after its answer was lost, is not refused
// when it is sent again: neither without another change in between, nor with all its items older than the current ones.
func RepeatedChanges(h *History) (broken []Violation) {
	for n, again := range h.Changes {
		if again.Outcome != Refused {
			continue
		}
		for i, first := range h.Changes {
			if i == n || !slices.Equal(first.Items, again.Items) || !hadEffect(h, first, again.Begin) {
				continue
			}
			if isUndisturbed(h, first, again) || superseded(h, again) {
				broken = append(broken, Violation{CheckRepeatedChange, again.Return, fmt.Sprintf(
					"%s's change of %v was accepted at %v, and refused by %s when it was sent again at %v",
					again.Process, again.Items, first.Begin, again.Member, again.Begin)})
				break
			}
		}
	}
	return broken
}

// hadEffect reports whether a change had taken effect before a time: it was acknowledged, or a fetch showed a content that no other
// change carries.
func hadEffect(h *History, c Change, before time.Duration) bool {
	if c.Outcome == Acknowledged {
		return c.Return <= before
	}
	if c.Outcome == Refused || len(c.Items) == 0 || c.Begin > before {
		return false
	}
	for _, f := range h.Fetches {
		if f.Outcome == Acknowledged && f.Return <= before && slices.Contains(f.Items, c.Items[0]) {
			return !slices.ContainsFunc(h.Changes, func(o Change) bool {
				return slices.Contains(o.Items, c.Items[0]) && !slices.Equal(o.Items, c.Items)
			})
		}
	}
	return false
}

// isUndisturbed reports whether no other change was in flight from the beginning of the first call to the end of the second.
func isUndisturbed(h *History, first, again Change) bool {
	return !slices.ContainsFunc(h.Changes, func(o Change) bool {
		over := o.Outcome != Unknown && o.Return < first.Begin
		return o.Outcome != Refused && !slices.Equal(o.Items, again.Items) && o.Begin <= again.Return && !over
	})
}

// superseded reports whether of each item of a change a higher version had been acknowledged before its call.
func superseded(h *History, c Change) bool {
	newest := acknowledgedBefore(h, c.Begin)
	for _, v := range c.Items {
		if newest[v.Item] <= v.Version {
			return false
		}
	}
	return len(c.Items) > 0
}

// acknowledgedBefore returns the highest version of each item that was acknowledged before a time.
func acknowledgedBefore(h *History, at time.Duration) map[Item]int64 {
	highest := map[Item]int64{}
	for _, c := range h.Changes {
		if c.Outcome != Acknowledged || c.Return >= at {
			continue
		}
		for _, v := range c.Items {
			highest[v.Item] = max(highest[v.Item], v.Version)
		}
	}
	return highest
}

// MonotonicVersions checks that active versions only rise in one incarnation of a process while it is in contact.
func MonotonicVersions(h *History) (broken []Violation) {
	type holder struct {
		process     string
		incarnation uint64
		item        Item
	}
	highest := map[holder]int64{}
	for _, f := range inOrder(h.ActiveVersions, func(f ActiveVersion) time.Duration { return f.At }) {
		at := holder{f.Process, f.Incarnation, f.Item}
		if f.InContact && f.Version < highest[at] {
			broken = append(broken, Violation{CheckMonotonicVersions, f.At, fmt.Sprintf(
				"%s (incarnation %d) went from version %d of %v back to %d", f.Process, f.Incarnation, highest[at], f.Item, f.Version)})
		}
		highest[at] = max(highest[at], f.Version)
	}
	return broken
}

// StaleReads checks that no fetch and no initial table is older than what was acknowledged before it was asked for, and that no member
// serves one more than isolated after its last contact with a majority. If isolated is 0 the latter is not checked.
func StaleReads(h *History, isolated time.Duration) (broken []Violation) {
	acknowledged := acknowledgedVersions(h)
	contacts := inOrder(h.Contacts, func(c Contact) time.Duration { return c.At })
	read := func(what string, c Call, member string, versions []ItemVersion) {
		if c.Outcome != Acknowledged {
			return
		}
		broken = append(broken, acknowledged.older(h, what, c, member, versions)...)
		if lost, cut := withoutMajority(contacts, member, c.Return); cut && isolated > 0 && c.Return-lost > isolated {
			broken = append(broken, Violation{CheckStaleRead, c.Return, fmt.Sprintf(
				"%s served %s %v after its last contact with a majority", member, what, c.Return-lost)})
		}
	}
	for _, f := range h.Fetches {
		read("a fetch", f.Call, f.Member, f.Items)
	}
	for _, t := range h.InitialTables {
		read("an initial table", t.Call, t.Member, t.Items)
	}
	return broken
}

// acknowledgements is the acknowledged versions of each item.
type acknowledgements struct {
	items   []Item // in a fixed order
	changes map[Item][]acknowledgement
}

// acknowledgement is the acknowledgement of a version.
type acknowledgement struct {
	at time.Duration
	ItemVersion
}

// acknowledgedVersions returns the acknowledged versions of each item.
func acknowledgedVersions(h *History) acknowledgements {
	s := acknowledgements{changes: map[Item][]acknowledgement{}}
	for _, c := range h.Changes {
		if c.Outcome != Acknowledged {
			continue
		}
		for _, v := range c.Items {
			s.changes[v.Item] = append(s.changes[v.Item], acknowledgement{c.Return, v})
		}
	}
	s.items = sortedItems(s.changes)
	return s
}

// older finds items of a read that are older than what was acknowledged before its call. A deleted item may be missing.
func (s acknowledgements) older(h *History, what string, c Call, member string, versions []ItemVersion) (broken []Violation) {
	shown := map[Item]int64{}
	for _, v := range versions {
		shown[v.Item] = v.Version
	}
	for _, item := range s.items {
		var newest ItemVersion
		for _, a := range s.changes[item] {
			if a.at < c.Begin && a.Version > newest.Version {
				newest = a.ItemVersion
			}
		}
		version, found := shown[item]
		if version < newest.Version && (found || !mayBeDeleted(h, newest, c.Return)) {
			broken = append(broken, Violation{CheckStaleRead, c.Return, fmt.Sprintf(
				"%s of %s by %s at %v shows %v at version %d, but %d had been acknowledged",
				what, c.Process, member, c.Begin, item, version, newest.Version)})
		}
	}
	return broken
}

// withoutMajority reports whether a member has no contact with a majority at a time, and since when. The contacts are in order.
func withoutMajority(contacts []Contact, member string, at time.Duration) (since time.Duration, cut bool) {
	for _, c := range contacts {
		if c.Process != member || c.At > at {
			continue
		}
		if !cut {
			since = c.At
		}
		cut = !c.Majority
	}
	return since, cut
}
