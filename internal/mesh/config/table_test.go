package config

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// A route whose service is not configured is refused, even if all versions of the request are older than those of the table.
func TestRouteToUnknownServiceIsRefused(t *testing.T) {
	table := withRequests(t, Table{}, serviceRequest("s"))
	_, _, err := table.ApplyItems(parse(t, routeRequest("r", "nobody", 0)))
	assert.Assert(t, errors.Is(err, ErrInvalid))
	assert.ErrorContains(t, err, `route r: ForwardAction: the service "nobody"`)
}

// Requests of two operators, with a lower version and a deletion among them, are applied in every order. Each order results in the newest
// version, and of two contents of the same version at most one is acknowledged.
func TestApplyInEveryOrder(t *testing.T) {
	key := Key{KindRoute, "r"}
	base := withRequests(t, Table{}, upsertRequest(routeJSON("r", "s", 1, ""), serviceJSON("s", 1)))
	requests := []string{
		routeRequest("r", "s", 2),
		routeRequest("r", "s", 3),
		upsertRequest(routeJSON("r", "s", 3, `,"X":1`), ""), // from the other operator
		`{"Remove":{"RouteTable":[{"Name":"r","ConfigVersion":4},{"Name":"r","ConfigVersion":4}]}}`,
	}
	orders := 0
	var try func(table Table, remaining []int, acknowledged map[int]bool)
	try = func(table Table, remaining []int, acknowledged map[int]bool) {
		if len(remaining) == 0 {
			orders++
			item, _ := table.Get(key)
			assert.Assert(t, item.Deleted && item.Version == 4)
			assert.Equal(t, len(table.Document().ListenerList), 0)
			return
		}
		for n, request := range remaining {
			before, _ := table.Get(key)
			next, updated, err := table.ApplyItems(parse(t, requests[request]))
			after, _ := next.Get(key)
			assert.Assert(t, after.Version >= before.Version)
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrConflict))
				assert.Assert(t, len(updated) == 0 && after.Version == before.Version)
			}
			now := map[int]bool{request: err == nil}
			maps.Copy(now, acknowledged)
			if now[1] && now[2] {
				t.Fatal("both contents of version 3 were acknowledged")
			}
			try(next, without(remaining, n), now)
		}
	}
	try(base, []int{0, 1, 2, 3}, nil)
	assert.Equal(t, orders, 24)
}

// Items are merged in every order, one of them twice: the newest version wins, and no version ever decreases.
func TestMergeInEveryOrder(t *testing.T) {
	key := Key{KindRoute, "r"}
	items := []Item{{Key: key, Version: 1}, {Key: key, Version: 2}, {Key: key, Version: 3, Deleted: true}, {Key: key, Version: 2}}
	var try func(table Table, remaining []int)
	try = func(table Table, remaining []int) {
		if len(remaining) == 0 {
			item, _ := table.Get(key)
			assert.Equal(t, item.Version, int64(3))
		}
		for n, item := range remaining {
			next, _ := table.Merge(items[item : item+1])
			before, _ := table.Get(key)
			after, _ := next.Get(key)
			assert.Assert(t, after.Version >= before.Version)
			try(next, without(remaining, n))
		}
	}
	try(Table{}, []int{0, 1, 2, 3})
}

// tombstonesBeyondBound returns more tombstones than a table keeps, with increasing log times.
func tombstonesBeyondBound() (tombstones []Item) {
	for n := range MaxTombstones + 10 {
		key := Key{KindRoute, fmt.Sprint("d", n)}
		tombstones = append(tombstones, Item{Key: key, Version: 1, Deleted: true, LogTime: time.Duration(n)})
	}
	return tombstones
}

// If there are more tombstones than the bound, the earliest are pruned, regardless of whether they arrived in one update or in several.
func TestTombstonesAreBounded(t *testing.T) {
	tombstones := tombstonesBeyondBound()
	inTwo, _ := Table{}.Merge(tombstones[:MaxTombstones])
	inTwo, _ = inTwo.Merge(tombstones[MaxTombstones:])
	inOne, _ := Table{}.Merge(tombstones)
	for _, table := range []Table{inTwo, inOne} {
		assert.Equal(t, table.Len(), MaxTombstones)
		_, exists := table.Get(tombstones[9].Key)
		assert.Assert(t, !exists)
		_, exists = table.Get(tombstones[10].Key)
		assert.Assert(t, exists)
	}
}

// A table has at most MaxItems items, not counting tombstones.
func TestItemsAreBounded(t *testing.T) {
	table, _ := Table{}.Merge(tombstonesBeyondBound())
	var services []Item
	for n := range MaxItems + 1 {
		services = append(services, Item{Key: Key{KindService, fmt.Sprint(n)}, Version: 1, Body: []byte("{}")})
	}
	_, _, err := table.ApplyItems(services)
	assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
	_, _, err = table.ApplyItems(services[1:])
	assert.NilError(t, err)
}
