package config

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// serviceJSON is a service as a request carries it.
func serviceJSON(name string, version int) string {
	return fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":110,"Protocol":"h1","TlsEnabled":false,"DedupEnabled":false,`+
		`"ConfigVersion":%d}`, name, version)
}

// routeJSON is a route to a service as a request carries it. extra is JSON behind its last field.
func routeJSON(name, service string, version int, extra string) string {
	return fmt.Sprintf(`{"Name":%q,"RouteType":"idempotent","TargetLatencyS":0.8,"Priority":2,"ConfigVersion":%d,`+
		`"MatchCriteria":{"PathPrefix":"/p/"},"ForwardAction":{"Service":%q,"TimeoutS":2,"RetryCount":2%s}}`, name, version, service, extra)
}

// upsertRequest is a request with a list of routes of one host and a list of services.
func upsertRequest(routes, services string) string {
	return fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[%s]}],"UpstreamGroups":[%s]}}`, routes, services)
}

// routeRequest is a request with one route.
func routeRequest(name, service string, version int) string {
	return upsertRequest(routeJSON(name, service, version, ""), "")
}

// serviceRequest is a request with services of version 1.
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

// removeRequest is a request that deletes an item of a list.
func removeRequest(list, name string, version int) string {
	return fmt.Sprintf(`{"Remove":{%q:[{"Name":%q,"ConfigVersion":%d}]}}`, list, name, version)
}

func parse(t *testing.T, text string) []Item {
	t.Helper()
	items, err := ParseItems([]byte(text))
	assert.NilError(t, err)
	return items
}

// withRequests is a table to which requests were applied.
func withRequests(t *testing.T, table Table, texts ...string) Table {
	t.Helper()
	for _, text := range texts {
		next, _, err := table.ApplyItems(parse(t, text))
		assert.NilError(t, err, text)
		table = next
	}
	return table
}

// admissionError is why a table does not admit an update; nil if it does.
func admissionError(table Table, update Update) error {
	_, err := table.Admit(update)
	return err
}

// restarted is a table as it is read back from a member's disk.
func restarted(t *testing.T, table Table) Table {
	t.Helper()
	text := codec.EncodeTable(&wire.StateT{Items: TableToStorage(table)})
	state, err := codec.DecodeTable(text, func(p []byte) *wire.StateT { return wire.GetRootAsState(p, 0).UnPack() })
	assert.NilError(t, err)
	return TableFromStorage(state.Items)
}

// without is a copy of a list without one element.
func without[E any](list []E, n int) []E { return slices.Delete(slices.Clone(list), n, n+1) }

// with is a copy of a list with one more element.
func with[E any](list []E, element E) []E { return append(slices.Clone(list), element) }
