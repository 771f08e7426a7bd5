package config

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// tableSearch explores every order in which requests reach a member's table and committed items reach a sidecar's table: late, twice,
// out of order, or from a member that lags behind.
type tableSearch struct {
	key      Key // the item that all requests change
	base     Table
	requests [][]Item
	removal  int // index of the request that deletes the item; its version is the highest

	apply        func(Table, []Item) (Table, error)
	noTombstones bool // whether the sidecar's table discards tombstones
}

// tableState is one state of the search.
type tableState struct {
	member, sidecar Table
	unsent          []int
	undelivered     [][]Item      // committed but not delivered to the sidecar; may be delivered repeatedly
	acknowledged    map[int64]int // acknowledged request, by version
	trace           string
}

func (s *tableSearch) itemText(table Table) string {
	item, exists := table.Get(s.key)
	return fmt.Sprint(exists, item.Version, item.Deleted, len(item.Body))
}

func (s *tableSearch) stateKey(state tableState) string {
	key := fmt.Sprint(s.itemText(state.member), s.itemText(state.sidecar), state.unsent, len(state.undelivered), state.acknowledged)
	for _, items := range state.undelivered {
		key += fmt.Sprint(items[0].Version, len(items[0].Body))
	}
	return key
}

// run returns the number of states and the first violation.
func (s *tableSearch) run() (states int, violation string) {
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
			next, violation := s.send(state, n)
			if violation != "" {
				return len(seen), violation
			}
			queue = append(queue, next)
		}
		for n := range state.undelivered {
			next, violation := s.deliver(state, n)
			if violation != "" {
				return len(seen), violation
			}
			again := next
			again.undelivered = state.undelivered
			queue = append(queue, next, again)
		}
	}
	return len(seen), ""
}

// send delivers a request to the member.
func (s *tableSearch) send(state tableState, n int) (next tableState, violation string) {
	request := state.unsent[n]
	items := s.requests[request]
	table, err := s.apply(state.member, items)
	next = state
	next.member, next.unsent, next.trace = table, without(state.unsent, n), state.trace+fmt.Sprint(" send", request)
	if err == nil {
		next.undelivered = with(state.undelivered, items)
		version := items[0].Version // versions lower than that of the table are acknowledged, too
		if before, exists := state.acknowledged[version]; exists && before != request {
			return next, next.trace + ": two contents of one version are acknowledged"
		}
		next.acknowledged = map[int64]int{version: request}
		maps.Copy(next.acknowledged, state.acknowledged)
	}
	removalVersion := s.requests[s.removal][0].Version
	if acknowledged, exists := state.acknowledged[removalVersion]; exists && acknowledged == s.removal {
		if item, exists := table.Get(s.key); exists && !item.Deleted {
			return next, next.trace + ": the deleted item exists again"
		}
	}
	return next, ""
}

// deliver delivers committed items to the sidecar.
func (s *tableSearch) deliver(state tableState, n int) (next tableState, violation string) {
	items := state.undelivered[n]
	table, _ := state.sidecar.Merge(items)
	if s.noTombstones {
		table = withoutTombstones(table)
	}
	next = state
	next.sidecar, next.undelivered = table, without(state.undelivered, n)
	next.trace += fmt.Sprint(" deliver", items[0].Version)
	before, _ := state.sidecar.Get(s.key)
	after, exists := table.Get(s.key)
	if exists && after.Version < before.Version || !exists && before.Version > 0 && !s.noTombstones {
		return next, next.trace + ": the version of the sidecar's item decreases"
	}
	removalVersion := s.requests[s.removal][0].Version
	acknowledged := state.acknowledged[removalVersion] == s.removal
	delivered := strings.Contains(state.trace, fmt.Sprint("deliver", removalVersion))
	if exists && !after.Deleted && acknowledged && delivered {
		return next, next.trace + ": the deleted item exists again"
	}
	return next, ""
}

func withoutTombstones(table Table) Table {
	remaining := map[Key]Item{}
	for key, item := range table.items {
		if !item.Deleted {
			remaining[key] = item
		}
	}
	return Table{items: remaining}
}

// Whatever the order, the version of the sidecar's item never decreases, no version is acknowledged with two contents, and a deleted
// item does not reappear. Two mutations show that the search detects violations.
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
		violation    string // part of the expected violation; empty if there must be none
	}{
		{"unchanged code", apply, false, ""},
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
			states, violation := search.run()
			t.Logf("%d states: %s", states, violation)
			if test.violation == "" {
				assert.Equal(t, violation, "")
			}
			assert.Assert(t, strings.Contains(violation, test.violation), violation)
		})
	}
}
