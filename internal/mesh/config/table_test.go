package config

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// A route is refused if nobody has configured its service, also where all versions of the request are older than the table's.
func TestRouteToUnknownServiceIsRefused(t *testing.T) {
	table := withRequests(t, Table{}, serviceRequest("s"))
	_, _, err := table.ApplyItems(parse(t, routeRequest("r", "nobody", 0)))
	assert.Assert(t, errors.Is(err, ErrInvalid))
	assert.ErrorContains(t, err, `route r: ForwardAction: the service "nobody"`)
}

// Requests of two operators, an older one that comes again and a deletion are applied in every order: each ends in the newest
// version, and of two contents under one version one is acknowledged.
func TestApplyInEveryOrder(t *testing.T) {
	key := Key{KindRoute, "r"}
	base := withRequests(t, Table{}, upsertRequest(routeJSON("r", "s", 1, ""), serviceJSON("s", 1)))
	requests := []string{
		routeRequest("r", "s", 2),
		routeRequest("r", "s", 3),
		upsertRequest(routeJSON("r", "s", 3, `,"X":1`), ""), // the other operator
		`{"Remove":{"RouteTable":[{"Name":"r","ConfigVersion":4},{"Name":"r","ConfigVersion":4}]}}`,
	}
	orders := 0
	var try func(table Table, left []int, acknowledged map[int]bool)
	try = func(table Table, left []int, acknowledged map[int]bool) {
		if len(left) == 0 {
			orders++
			item, _ := table.Get(key)
			assert.Assert(t, item.Deleted && item.Version == 4)
			assert.Equal(t, len(table.Document().ListenerList), 0)
			return
		}
		for n, request := range left {
			before, _ := table.Get(key)
			next, raised, err := table.ApplyItems(parse(t, requests[request]))
			after, _ := next.Get(key)
			assert.Assert(t, after.Version >= before.Version)
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrConflict))
				assert.Assert(t, len(raised) == 0 && after.Version == before.Version)
			}
			now := map[int]bool{request: err == nil}
			maps.Copy(now, acknowledged)
			if now[1] && now[2] {
				t.Fatal("both contents of version 3 were acknowledged")
			}
			try(next, without(left, n), now)
		}
	}
	try(base, []int{0, 1, 2, 3}, nil)
	assert.Equal(t, orders, 24)
}

// In whatever order and however often items are merged, tables end equal and no version goes down.
func TestMergeInEveryOrder(t *testing.T) {
	key := Key{KindRoute, "r"}
	items := []Item{{Key: key, Version: 1}, {Key: key, Version: 2}, {Key: key, Version: 3, Deleted: true}, {Key: key, Version: 2}}
	var try func(table Table, left []int)
	try = func(table Table, left []int) {
		if len(left) == 0 {
			item, _ := table.Get(key)
			assert.Equal(t, item.Version, int64(3))
		}
		for n, item := range left {
			next, _ := table.Merge(items[item : item+1])
			before, _ := table.Get(key)
			after, _ := next.Get(key)
			assert.Assert(t, after.Version >= before.Version)
			try(next, without(left, n))
		}
	}
	try(Table{}, []int{0, 1, 2, 3})
}

// tombstonesBeyondBound are more tombstones than a table keeps, of rising log times.
func tombstonesBeyondBound() (tombstones []Item) {
	for n := range MaxTombstones + 10 {
		key := Key{KindRoute, fmt.Sprint("d", n)}
		tombstones = append(tombstones, Item{Key: key, Version: 1, Deleted: true, LogTime: time.Duration(n)})
	}
	return tombstones
}

// Tombstones beyond the bound are pruned, the earliest first and the same ones whether they came in one update or in several.
func TestTombstonesAreBounded(t *testing.T) {
	tombstones := tombstonesBeyondBound()
	inTwo, _ := Table{}.Merge(tombstones[:MaxTombstones])
	inTwo, _ = inTwo.Merge(tombstones[MaxTombstones:])
	inOne, _ := Table{}.Merge(tombstones)
	for _, table := range []Table{inTwo, inOne} {
		assert.Equal(t, table.Len(), MaxTombstones)
		_, known := table.Get(tombstones[9].Key)
		assert.Assert(t, !known)
		_, known = table.Get(tombstones[10].Key)
		assert.Assert(t, known)
	}
}

// No more than MaxItems get into a table, besides its tombstones.
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
