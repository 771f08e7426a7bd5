package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkUpdate measures an initial request with 10,000 routes (parsing its text and applying it as decoded from the log) and a change
// of one of these routes.
func BenchmarkUpdate(b *testing.B) {
	const routeCount = 10_000
	var routes []string
	for n := range routeCount {
		routes = append(routes, routeJSON(fmt.Sprintf("r-%06d", n), "s", 1, ""))
	}
	text := []byte(upsertRequest(strings.Join(routes, ","), serviceJSON("s", 1)))
	parsed, err := ParseUpdate(text)
	assert.NilError(b, err)
	logged := UpdateFromWire(UpdateToWire(parsed))
	table, _, _, err := Table{}.ApplyUpdate(logged)
	assert.NilError(b, err)
	change, err := ParseUpdate([]byte(routeRequest("r-000007", "s", 2)))
	assert.NilError(b, err)
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			_, _ = ParseUpdate(text)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, _, _, _ = Table{}.ApplyUpdate(logged)
		}
	})
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			_, _, _, _ = table.ApplyUpdate(change)
		}
	})
}
