package config

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// assertDuplicate shows that a request is known to have been accepted.
func assertDuplicate(t *testing.T, table Table, request string) {
	t.Helper()
	class, err := table.Admit(Update{Items: parse(t, request)})
	assert.Assert(t, err == nil && class == operations.Duplicate, "%s: %v", request, err)
}

// assertNotAdmitted shows that a request is turned down with an error of a type.
func assertNotAdmitted(t *testing.T, table Table, request string, errorType error) {
	t.Helper()
	err := admissionError(table, Update{Items: parse(t, request)})
	assert.Assert(t, errors.Is(err, errorType), "%s: %v", request, err)
}

// A request that was accepted is acknowledged again whatever was accepted since, and another content under its version is not; the
// same after a restart from disk.
func TestRepeatedRequestIsAcknowledged(t *testing.T) {
	first := routeRequest("r", "old", 5)
	both := upsertRequest(routeJSON("r", "old", 5, "")+","+routeJSON("q", "old", 5, ""), "")
	outdated := routeRequest("r", "new", 3)
	other := routeRequest("r", "new", 5)
	mixed := upsertRequest(routeJSON("r", "new", 5, "")+","+routeJSON("p", "new", 1, ""), "")
	table := withRequests(t, Table{}, serviceRequest("old", "new"), first, routeRequest("q", "old", 5), routeRequest("r", "new", 6),
		routeRequest("q", "new", 6), outdated, removeRequest("UpstreamGroups", "old", 6), removeRequest("RouteTable", "r", 8))
	accepted := []string{
		first, both, outdated, removeRequest("UpstreamGroups", "old", 6), routeRequest("r", "new", 6),
		removeRequest("RouteTable", "r", 8),
	}
	conflicting := []string{
		other, mixed, routeRequest("r", "old", 3), routeRequest("r", "old", 6), removeRequest("RouteTable", "r", 6),
		routeRequest("r", "new", 8),
	}
	for _, test := range []struct {
		name  string
		table Table
	}{
		{"as applied", table},
		{"after a restart", restarted(t, table)},
		{"after two restarts", restarted(t, restarted(t, table))},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, request := range accepted {
				assertDuplicate(t, test.table, request)
				_, raised, _, err := test.table.ApplyUpdate(Update{Items: parse(t, request)})
				assert.NilError(t, err, request)
				assert.Equal(t, len(raised), 0)
			}
			for _, request := range conflicting {
				assertNotAdmitted(t, test.table, request, ErrConflict)
			}
			_, _, err := test.table.ApplyItems(parse(t, other))
			assert.Assert(t, errors.Is(err, ErrConflict))
			// An invalid request stays invalid, also with versions that are older than the table's.
			_, _, err = test.table.ApplyItems(parse(t, routeRequest("r", "nobody", 2)))
			assert.Assert(t, errors.Is(err, ErrInvalid))
		})
	}
}

// Of items that were stored without a history no earlier version is known: a request with one is neither acknowledged nor refused.
// What is accepted later is remembered.
func TestTableStoredWithoutHistory(t *testing.T) {
	items := parse(t, upsertRequest(routeJSON("r", "s", 5, "")+","+routeJSON("q", "s", 5, ""), serviceJSON("s", 1)))
	table := TableFromStorage(ItemsToWire(items).List) // as builds before histories stored it
	for _, request := range []string{routeRequest("r", "s", 3), routeRequest("r", "gone", 3)} {
		_, raised, err := table.ApplyItems(parse(t, request))
		assert.Assert(t, errors.Is(err, ErrUndetermined) && len(raised) == 0, "%v", err)
	}
	_, _, err := table.ApplyItems(parse(t, routeRequest("r", "s", 5)))
	assert.NilError(t, err)
	table = withRequests(t, table, routeRequest("r", "s", 9), routeRequest("r", "s", 5), routeRequest("r", "s", 7))
	assertNotAdmitted(t, table, upsertRequest(routeJSON("r", "s", 7, `,"X":1`), ""), ErrConflict)
	// A new item beside one of an unknown version is not proposed.
	assertNotAdmitted(t, table, upsertRequest(routeJSON("r", "s", 3, "")+","+routeJSON("new", "s", 1, ""), ""), ErrUndetermined)
}

// countOperations counts what a table remembers, item by item.
func countOperations(table Table) (count int) {
	for _, item := range table.Items() {
		count += item.history.Len()
	}
	return count
}

// The operations of all items together are bounded. Past the bound the earliest are pruned, the same ones on a member that began
// with a snapshot, and a request among them is undetermined.
func TestOperationsAreBounded(t *testing.T) {
	const itemCount = 512
	const rounds = MaxOperations/itemCount + 10
	route := func(name, version int) Item {
		body := fmt.Appendf(nil, `{"ForwardAction":{"Service":"s"},"N":%d}`, version)
		return Item{Key: Key{KindRoute, fmt.Sprint(name)}, Version: int64(version), Host: "h", Body: body, LogTime: time.Duration(version)}
	}
	raiseAll := func(table Table, version int) Table {
		var items []Item
		for n := range itemCount {
			items = append(items, route(n, version))
		}
		next, _, err := table.ApplyItems(items)
		assert.NilError(t, err)
		return next
	}
	table := withRequests(t, Table{}, serviceRequest("s"))
	var joined Table // of a member that began with a snapshot half-way
	for version := 1; version <= rounds; version++ {
		if version == rounds/2 {
			joined = restarted(t, table)
		}
		table = raiseAll(table, version)
		if version >= rounds/2 {
			joined = raiseAll(joined, version)
		}
		assert.Assert(t, table.operationCount <= MaxOperations)
	}
	assert.Equal(t, table.operationCount, countOperations(table))
	assert.Equal(t, joined.operationCount, countOperations(joined))
	stored := func(table Table) []byte { return codec.EncodeTable(&wire.StateT{Items: TableToStorage(table)}) }
	assert.Assert(t, bytes.Equal(stored(joined), stored(table)))
	assert.Assert(t, countOperations(table) >= operationsAfterPruning)
	_, _, err := table.ApplyItems([]Item{route(3, 1)})
	assert.Assert(t, errors.Is(err, ErrUndetermined), "%v", err)
	_, _, err = table.ApplyItems([]Item{route(3, rounds-1)})
	assert.NilError(t, err)
}

// Over hundreds of changes of the same few routes every request stays known: one that comes again, however late, is acknowledged,
// and another content under its version is not, also after a restart from disk.
func TestHundredsOfChangesStayKnown(t *testing.T) {
	const changes, routes = 600, 3
	request := func(n int, extra string) string {
		return upsertRequest(routeJSON(fmt.Sprint("r", n%routes), "s", n, extra), "")
	}
	table := withRequests(t, Table{}, serviceRequest("s"))
	for n := 1; n <= changes; n++ {
		if n%5 == 0 { // some overtake the next one
			table = withRequests(t, table, request(n+routes, ""))
		}
		table = withRequests(t, table, request(n, ""))
	}
	for _, table := range []Table{table, restarted(t, table)} {
		for n := 1; n <= changes; n++ {
			assertDuplicate(t, table, request(n, ""))
			assertNotAdmitted(t, table, request(n, `,"X":1`), ErrConflict)
		}
	}
}

// applyWithoutHistory is ApplyUpdate of the builds before histories, which may have applied the same log on another member.
func applyWithoutHistory(table Table, update Update) Table {
	if table.validate(update) != nil {
		return table
	}
	next, _ := table.Merge(update.Items)
	return next
}

// randomItem draws an item of few names and versions, so that items of different updates meet.
func randomItem(random *rand.Rand) Item {
	n := random.IntN(4)
	version := int64(1 + random.IntN(9))
	service := fmt.Sprint("s", random.IntN(2))
	switch {
	case n < 2:
		return Item{Key: Key{KindService, fmt.Sprint("s", n)}, Version: version, Deleted: random.IntN(3) == 0, Body: []byte("{}")}
	case random.IntN(4) == 0:
		return Item{Key: Key{KindRoute, fmt.Sprint("r", n)}, Version: version, Deleted: true}
	}
	body := fmt.Appendf(nil, `{"ForwardAction":{"Service":%q}}`, service)
	return Item{Key: Key{KindRoute, fmt.Sprint("r", n)}, Version: version, Host: "h", Body: body}
}

// randomUpdate draws an update of up to three items; ok is false if it contradicts itself.
func randomUpdate(random *rand.Rand, logTime time.Duration) (update Update, ok bool) {
	for range 1 + random.IntN(3) {
		update.Items = append(update.Items, randomItem(random))
	}
	items, err := deduplicate(update.Items)
	for n := range items {
		items[n].LogTime = logTime
	}
	return Update{Items: items}, err == nil
}

// Which items a table holds does not depend on what it remembers of their operations: otherwise members of two builds, or one that
// began with another's snapshot, would diverge.
func TestItemsDoNotDependOnHistories(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 7))
	raisedCount, refused, undetermined := 0, 0, 0
	for range 300 {
		var remembering, forgetful, earlierBuild Table
		for step := range 40 {
			update, ok := randomUpdate(random, time.Duration(step))
			if !ok {
				continue
			}
			next, raised, _, err := remembering.ApplyUpdate(update)
			remembering = next
			forgetful, _, _, _ = forgetful.ApplyUpdate(update)
			earlierBuild = applyWithoutHistory(earlierBuild, update)
			if random.IntN(5) == 0 {
				forgetful = TableFromStorage(ItemsToWire(forgetful.Items()).List)
			}
			raisedCount += len(raised)
			switch {
			case errors.Is(err, ErrUndetermined):
				undetermined++
			case err != nil:
				refused++
			}
			want := codec.EncodeTable(ItemsToWire(earlierBuild.Items()))
			assert.Assert(t, bytes.Equal(codec.EncodeTable(ItemsToWire(remembering.Items())), want))
			assert.Assert(t, bytes.Equal(codec.EncodeTable(ItemsToWire(forgetful.Items())), want))
		}
	}
	assert.Assert(t, raisedCount > 1000 && refused > 1000 && undetermined > 100,
		"%d raised, %d refused, %d undetermined: the updates meet too rarely", raisedCount, refused, undetermined)
}

// Whatever history a disk holds is read, and the table can be used.
func FuzzTableFromStorage(f *testing.F) {
	f.Add(Item{Key: Key{KindRoute, "r"}, Version: 3}.history.Encode(), int64(3))
	f.Fuzz(func(_ *testing.T, history []byte, version int64) {
		table := TableFromStorage([]*wire.ItemT{{Kind: byte(KindService), Name: "s", Version: version, Body: []byte("{}"), History: history}})
		_, _, _, _ = table.ApplyUpdate(Update{Items: []Item{{Key: Key{KindService, "s"}, Version: version - 1, Body: []byte("{}")}}})
	})
}
