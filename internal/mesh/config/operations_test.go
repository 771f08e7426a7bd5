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

// assertDuplicate checks that a table recognizes a request as accepted before.
func assertDuplicate(t *testing.T, table Table, request string) {
	t.Helper()
	class, err := table.Admit(Update{Items: parse(t, request)})
	assert.Assert(t, err == nil && class == operations.Duplicate, "%s: %v", request, err)
}

// assertNotAdmitted checks that a table does not admit a request, with an error of the given type.
func assertNotAdmitted(t *testing.T, table Table, request string, errorType error) {
	t.Helper()
	err := admissionError(table, Update{Items: parse(t, request)})
	assert.Assert(t, errors.Is(err, errorType), "%s: %v", request, err)
}

// A repeated request that was accepted before is acknowledged, whatever was accepted in the meantime, and the same version with another
// content is not. This also holds after a member has restarted from its disk.
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
		{"after a restart", reloaded(t, table)},
		{"after two restarts", reloaded(t, reloaded(t, table))},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, request := range accepted {
				assertDuplicate(t, test.table, request)
				_, updated, _, err := test.table.ApplyUpdate(Update{Items: parse(t, request)})
				assert.NilError(t, err, request)
				assert.Equal(t, len(updated), 0)
			}
			for _, request := range conflicting {
				assertNotAdmitted(t, test.table, request, ErrConflict)
			}
			_, _, err := test.table.ApplyItems(parse(t, other))
			assert.Assert(t, errors.Is(err, ErrConflict))
			// An invalid request is refused even if its versions are older than those of the table.
			_, _, err = test.table.ApplyItems(parse(t, routeRequest("r", "nobody", 2)))
			assert.Assert(t, errors.Is(err, ErrInvalid))
		})
	}
}

// For items that were stored without a history it is unknown which earlier versions were accepted: a request with such a version is
// neither acknowledged nor refused. Operations that are accepted later are remembered.
func TestTableStoredWithoutHistory(t *testing.T) {
	items := parse(t, upsertRequest(routeJSON("r", "s", 5, "")+","+routeJSON("q", "s", 5, ""), serviceJSON("s", 1)))
	table := TableFromStorage(ItemsToWire(items).List) // as stored by versions of the program before histories
	for _, request := range []string{routeRequest("r", "s", 3), routeRequest("r", "gone", 3)} {
		_, updated, err := table.ApplyItems(parse(t, request))
		assert.Assert(t, errors.Is(err, ErrUndetermined) && len(updated) == 0, "%v", err)
	}
	_, _, err := table.ApplyItems(parse(t, routeRequest("r", "s", 5)))
	assert.NilError(t, err)
	table = withRequests(t, table, routeRequest("r", "s", 9), routeRequest("r", "s", 5), routeRequest("r", "s", 7))
	assertNotAdmitted(t, table, upsertRequest(routeJSON("r", "s", 7, `,"X":1`), ""), ErrConflict)
	// An update with a new item and an item of unknown version is not proposed.
	assertNotAdmitted(t, table, upsertRequest(routeJSON("r", "s", 3, "")+","+routeJSON("new", "s", 1, ""), ""), ErrUndetermined)
}

// countOperations returns the number of operations in the histories of all items.
func countOperations(table Table) (count int) {
	for _, item := range table.Items() {
		count += item.history.Len()
	}
	return count
}

// The total number of operations of all items is bounded. Beyond the bound the earliest are pruned, the same ones on a member that
// started from a snapshot, and repeating a request whose operation was pruned is undetermined.
func TestOperationsAreBounded(t *testing.T) {
	const itemCount = 512
	const rounds = MaxOperations/itemCount + 10
	route := func(name, version int) Item {
		body := fmt.Appendf(nil, `{"ForwardAction":{"Service":"s"},"N":%d}`, version)
		return Item{Key: Key{KindRoute, fmt.Sprint(name)}, Version: int64(version), Host: "h", Body: body, LogTime: time.Duration(version)}
	}
	updateAll := func(table Table, version int) Table {
		var items []Item
		for n := range itemCount {
			items = append(items, route(n, version))
		}
		next, _, err := table.ApplyItems(items)
		assert.NilError(t, err)
		return next
	}
	table := withRequests(t, Table{}, serviceRequest("s"))
	var snapshotTable Table // table of a member that starts from a snapshot after half of the rounds
	for version := 1; version <= rounds; version++ {
		if version == rounds/2 {
			snapshotTable = reloaded(t, table)
		}
		table = updateAll(table, version)
		if version >= rounds/2 {
			snapshotTable = updateAll(snapshotTable, version)
		}
		assert.Assert(t, table.operationCount <= MaxOperations)
	}
	assert.Equal(t, table.operationCount, countOperations(table))
	assert.Equal(t, snapshotTable.operationCount, countOperations(snapshotTable))
	stored := func(table Table) []byte { return codec.EncodeTable(&wire.StateT{Items: TableToStorage(table)}) }
	assert.Assert(t, bytes.Equal(stored(snapshotTable), stored(table)))
	assert.Assert(t, countOperations(table) >= operationsAfterPruning)
	_, _, err := table.ApplyItems([]Item{route(3, 1)})
	assert.Assert(t, errors.Is(err, ErrUndetermined), "%v", err)
	_, _, err = table.ApplyItems([]Item{route(3, rounds-1)})
	assert.NilError(t, err)
}

// After hundreds of changes of the same few routes, every earlier request is still recognized: a repeated request is acknowledged, and
// the same version with another content is not. This also holds after a restart from disk.
func TestHistoryCoversHundredsOfChanges(t *testing.T) {
	const changes, routes = 600, 3
	request := func(n int, extra string) string {
		return upsertRequest(routeJSON(fmt.Sprint("r", n%routes), "s", n, extra), "")
	}
	table := withRequests(t, Table{}, serviceRequest("s"))
	for n := 1; n <= changes; n++ {
		if n%5 == 0 { // some changes arrive before the previous one of the same route
			table = withRequests(t, table, request(n+routes, ""))
		}
		table = withRequests(t, table, request(n, ""))
	}
	for _, table := range []Table{table, reloaded(t, table)} {
		for n := 1; n <= changes; n++ {
			assertDuplicate(t, table, request(n, ""))
			assertNotAdmitted(t, table, request(n, `,"X":1`), ErrConflict)
		}
	}
}

// applyWithoutHistory is ApplyUpdate as it was in versions of the program before histories, which may run on other members.
func applyWithoutHistory(table Table, update Update) Table {
	if table.validate(update) != nil {
		return table
	}
	next, _ := table.Merge(update.Items)
	return next
}

// randomItem returns a random item with one of a few names and versions, so that different updates often contain the same item.
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

// randomUpdate returns a random update of up to three items. ok is false if it contains two contents for one version.
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

// The items of a table do not depend on the histories of their operations. Otherwise members that run different versions of the
// program, or a member that started from the snapshot of another, would diverge.
func TestItemsDoNotDependOnHistories(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 7))
	updatedCount, refused, undetermined := 0, 0, 0
	for range 300 {
		var withHistory, withLostHistory, withoutHistory Table
		for step := range 40 {
			update, ok := randomUpdate(random, time.Duration(step))
			if !ok {
				continue
			}
			next, updated, _, err := withHistory.ApplyUpdate(update)
			withHistory = next
			withLostHistory, _, _, _ = withLostHistory.ApplyUpdate(update)
			withoutHistory = applyWithoutHistory(withoutHistory, update)
			if random.IntN(5) == 0 {
				withLostHistory = TableFromStorage(ItemsToWire(withLostHistory.Items()).List)
			}
			updatedCount += len(updated)
			switch {
			case errors.Is(err, ErrUndetermined):
				undetermined++
			case err != nil:
				refused++
			}
			want := codec.EncodeTable(ItemsToWire(withoutHistory.Items()))
			assert.Assert(t, bytes.Equal(codec.EncodeTable(ItemsToWire(withHistory.Items())), want))
			assert.Assert(t, bytes.Equal(codec.EncodeTable(ItemsToWire(withLostHistory.Items())), want))
		}
	}
	assert.Assert(t, updatedCount > 1000 && refused > 1000 && undetermined > 100,
		"%d updated, %d refused, %d undetermined: too few updates have items in common", updatedCount, refused, undetermined)
}

// FuzzTableFromStorage checks that a table with any stored history, valid or not, can be loaded and updated.
func FuzzTableFromStorage(f *testing.F) {
	f.Add(Item{Key: Key{KindRoute, "r"}, Version: 3}.history.Encode(), int64(3))
	f.Fuzz(func(_ *testing.T, history []byte, version int64) {
		table := TableFromStorage([]*wire.ItemT{{Kind: byte(KindService), Name: "s", Version: version, Body: []byte("{}"), History: history}})
		_, _, _, _ = table.ApplyUpdate(Update{Items: []Item{{Key: Key{KindService, "s"}, Version: version - 1, Body: []byte("{}")}}})
	})
}
