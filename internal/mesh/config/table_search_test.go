package config

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// tableSearch tries every order in which requests reach a member's table and what was committed reaches a sidecar's table: late,
// twice, out of order, or through a member that is behind.
type tableSearch struct {
	key      Key // the item that all requests are about
	base     Table
	requests [][]Item
	removal  int // the request that deletes the item; its version is the highest

	apply        func(Table, []Item) (Table, error)
	noTombstones bool // the sidecar's table forgets what was deleted
}

// tableState is one state of the search.
type tableState struct {
	member, sidecar Table
	unsent          []int
	undelivered     [][]Item // committed and not delivered to the sidecar; may be delivered once more at will
	acknowledged    map[int64]int
	trail           string
}

func (s *tableSearch) itemText(table Table) string {
	item, known := table.Get(s.key)
	return fmt.Sprint(known, item.Version, item.Deleted, len(item.Body))
}

func (s *tableSearch) stateKey(state tableState) string {
	key := fmt.Sprint(s.itemText(state.member), s.itemText(state.sidecar), state.unsent, len(state.undelivered), state.acknowledged)
	for _, items := range state.undelivered {
		key += fmt.Sprint(items[0].Version, len(items[0].Body))
	}
	return key
}

// run returns how many states there are and the first broken promise.
func (s *tableSearch) run() (states int, breach string) {
	seen := map[string]bool{}
	queue := []tableState{{member: s.base, sidecar: s.base, unsent: []int{0, 1, 2, 3, 4}, acknowledged: map[int64]int{}}}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		key := s.stateKey(state)
		if seen[key] {
			continue
		}
		seen[key] = true
		for n := range state.unsent {
			next, breach := s.send(state, n)
			if breach != "" {
				return len(seen), breach
			}
			queue = append(queue, next)
		}
		for n := range state.undelivered {
			next, breach := s.deliver(state, n)
			if breach != "" {
				return len(seen), breach
			}
			again := next
			again.undelivered = state.undelivered
			queue = append(queue, next, again)
		}
	}
	return len(seen), ""
}

// send has a request reach the member.
func (s *tableSearch) send(state tableState, n int) (next tableState, breach string) {
	request := state.unsent[n]
	items := s.requests[request]
	table, err := s.apply(state.member, items)
	next = state
	next.member, next.unsent, next.trail = table, without(state.unsent, n), state.trail+fmt.Sprint(" call", request)
	if err == nil {
		next.undelivered = with(state.undelivered, items)
		version := items[0].Version // one that is lower than the table's is acknowledged as well
		if before, known := state.acknowledged[version]; known && before != request {
			return next, next.trail + ": two contents of one version are acknowledged"
		}
		next.acknowledged = map[int64]int{version: request}
		maps.Copy(next.acknowledged, state.acknowledged)
	}
	removalVersion := s.requests[s.removal][0].Version
	if acknowledged, known := state.acknowledged[removalVersion]; known && acknowledged == s.removal {
		if item, known := table.Get(s.key); known && !item.Deleted {
			return next, next.trail + ": what was dropped is there again"
		}
	}
	return next, ""
}

// deliver has committed items reach the sidecar.
func (s *tableSearch) deliver(state tableState, n int) (next tableState, breach string) {
	items := state.undelivered[n]
	table, _ := state.sidecar.Merge(items)
	if s.noTombstones {
		table = withoutTombstones(table)
	}
	next = state
	next.sidecar, next.undelivered = table, without(state.undelivered, n)
	next.trail += fmt.Sprint(" tell", items[0].Version)
	before, _ := state.sidecar.Get(s.key)
	after, known := table.Get(s.key)
	if known && after.Version < before.Version || !known && before.Version > 0 && !s.noTombstones {
		return next, next.trail + ": the line goes back"
	}
	removalVersion := s.requests[s.removal][0].Version
	acknowledged := state.acknowledged[removalVersion] == s.removal
	delivered := strings.Contains(state.trail, fmt.Sprint("tell", removalVersion))
	if known && !after.Deleted && acknowledged && delivered {
		return next, next.trail + ": what was dropped is there again"
	}
	return next, ""
}

func withoutTombstones(table Table) Table {
	left := map[Key]Item{}
	for key, item := range table.items {
		if !item.Deleted {
			left[key] = item
		}
	}
	return Table{items: left}
}

// In no order does the sidecar go back to a lower version, is a version acknowledged with two contents, or does a deleted item come
// back. Two mutations show that the search would find it.
func TestSearchOrdersOfRequestsAndDeliveries(t *testing.T) {
	apply := func(table Table, items []Item) (Table, error) {
		next, _, err := table.ApplyItems(items)
		return next, err
	}
	mergeUnchecked := func(table Table, items []Item) (Table, error) {
		next, _ := table.Merge(items)
		return next, nil
	}
	for _, test := range []struct {
		name         string
		apply        func(Table, []Item) (Table, error)
		noTombstones bool
		breach       string // part of it; empty: none is found
	}{
		{"the code as it is", apply, false, ""},
		{"mutation: equal versions are not compared", mergeUnchecked, false, "two contents"},
		{"mutation: no tombstones", apply, true, "again"},
	} {
		t.Run(test.name, func(t *testing.T) {
			search := tableSearch{
				key:  Key{KindRoute, "r"},
				base: withRequests(t, Table{}, serviceRequest("s")),
				requests: [][]Item{
					parse(t, routeRequest("r", "s", 2)),
					parse(t, routeRequest("r", "s", 3)),
					parse(t, upsertRequest(routeJSON("r", "s", 3, `,"X":1`), "")),
					parse(t, removeRequest("RouteTable", "r", 4)),
					parse(t, routeRequest("r", "s", 1)),
				},
				removal:      3,
				apply:        test.apply,
				noTombstones: test.noTombstones,
			}
			states, breach := search.run()
			t.Logf("%d states: %s", states, breach)
			if test.breach == "" {
				assert.Equal(t, breach, "")
			}
			assert.Assert(t, strings.Contains(breach, test.breach), breach)
		})
	}
}
