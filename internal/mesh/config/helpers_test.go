package config

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// serviceJSON returns the JSON of a service in a request.
func serviceJSON(name string, version int) string {
	return fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":110,"Protocol":"h1","TlsEnabled":false,"DedupEnabled":false,`+
		`"ConfigVersion":%d}`, name, version)
}

// routeJSON returns the JSON of a route in a request, with the given service as its destination. extra is JSON that is inserted after
// the last field of ForwardAction.
func routeJSON(name, service string, version int, extra string) string {
	return fmt.Sprintf(`{"Name":%q,"RouteType":"idempotent","TargetLatencyS":0.8,"Priority":2,"ConfigVersion":%d,`+
		`"MatchCriteria":{"PathPrefix":"/p/"},"ForwardAction":{"Service":%q,"TimeoutS":2,"RetryCount":2%s}}`, name, version, service, extra)
}

// upsertRequest returns a request that upserts a list of routes for one host and a list of services.
func upsertRequest(routes, services string) string {
	return fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[%s]}],"UpstreamGroups":[%s]}}`, routes, services)
}

// routeRequest returns a request that upserts one route.
func routeRequest(name, service string, version int) string {
	return upsertRequest(routeJSON(name, service, version, ""), "")
}

// serviceRequest returns a request that upserts services with version 1.
func serviceRequest(names ...string) string {
	services := ""
	for n, name := range names {
		if n > 0 {
			services += ","
		}
		services += serviceJSON(name, 1)
	}
	return upsertRequest("", services)
}

// removeRequest returns a request that deletes one item. list is the JSON name of the list of removals of its kind.
func removeRequest(list, name string, version int) string {
	return fmt.Sprintf(`{"Remove":{%q:[{"Name":%q,"ConfigVersion":%d}]}}`, list, name, version)
}

func parse(t *testing.T, text string) []Item {
	t.Helper()
	items, err := ParseItems([]byte(text))
	assert.NilError(t, err)
	return items
}

// withRequests returns the table after the requests were applied to it.
func withRequests(t *testing.T, table Table, texts ...string) Table {
	t.Helper()
	for _, text := range texts {
		next, _, err := table.ApplyItems(parse(t, text))
		assert.NilError(t, err, text)
		table = next
	}
	return table
}

// admissionError returns the error with which a table refuses to admit an update, or nil if it admits the update.
func admissionError(table Table, update Update) error {
	_, err := table.Admit(update)
	return err
}

// reloaded returns a table after it was stored and read back, as when a member restarts.
func reloaded(t *testing.T, table Table) Table {
	t.Helper()
	text := codec.EncodeTable(&wire.StateT{Items: TableToStorage(table)})
	state, err := codec.DecodeTable(text, func(p []byte) *wire.StateT { return wire.GetRootAsState(p, 0).UnPack() })
	assert.NilError(t, err)
	return TableFromStorage(state.Items)
}

// without returns a copy of a list without the element with index n.
func without[E any](list []E, n int) []E { return slices.Delete(slices.Clone(list), n, n+1) }

// with returns a copy of a list with an element appended.
func with[E any](list []E, element E) []E { return append(slices.Clone(list), element) }
