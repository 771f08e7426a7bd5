package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCall is a first call of 10,000 routes: read from its text, taken from the log, and one change on top of it.
func BenchmarkCall(b *testing.B) {
	const routes = 10_000
	var rules []string
	for n := range routes {
		rules = append(rules, rule(fmt.Sprintf("r-%06d", n), "s", 1, ""))
	}
	text := []byte(call(strings.Join(rules, ","), fmt.Sprintf(service, "s", 1)))
	c, err := ParseUpdate(text)
	assert.NilError(b, err)
	logged := UpdateFromWire(UpdateToWire(c))
	table, _, _, err := Table{}.ApplyUpdate(logged)
	assert.NilError(b, err)
	one, err := ParseUpdate([]byte(call(rule("r-000007", "s", 2, ""), "")))
	assert.NilError(b, err)
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			ParseUpdate(text)
		}
	})
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			Table{}.ApplyUpdate(logged)
		}
	})
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			table.ApplyUpdate(one)
		}
	})
}
