package directory

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// tableOf returns a table with the given number of sidecars, spread over three services.
func tableOf(sidecars int) Table {
	records := make([]Record, sidecars)
	for i := range records {
		records[i] = Record{Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Service: fmt.Sprint("service-", i%3), Incarnation: 1}
	}
	table, _ := Table{}.Merge(0, records)
	return table
}

// All makes a single allocation, whatever the size of the table: every sidecar calls it for each record that it receives.
func TestAllAllocatesOnce(t *testing.T) {
	table := tableOf(300)
	assert.Equal(t, testing.AllocsPerRun(10, func() { table.All() }), 1.0)
}

func BenchmarkAll(b *testing.B) {
	for _, sidecars := range []int{70, 300} {
		table := tableOf(sidecars)
		b.Run(fmt.Sprint(sidecars), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.All()
			}
		})
	}
}
