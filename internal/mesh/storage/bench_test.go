package storage

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
)

// simulationOptions are those with which simulations open a store.
var simulationOptions = Options{Foreground: true, WriteBufferBytes: 32 << 10}

// benchmarkOptions runs a benchmark with the options of members and with those of simulations.
func benchmarkOptions(b *testing.B, run func(b *testing.B, options Options)) {
	b.Run("as a member", func(b *testing.B) { run(b, Options{}) })
	b.Run("as in simulations", func(b *testing.B) { run(b, simulationOptions) })
}

// saveEntry saves one entry of a length that hardly matters.
func saveEntry(b *testing.B, store *Store, index uint64) {
	b.Helper()
	assert.NilError(b, store.Save(readyWith(raft.HardState{Term: 1}, newEntry(index, 1, "text")), index-1))
}

// BenchmarkSimulatedOpen opens a store of 100 entries on the simulated disk.
func BenchmarkSimulatedOpen(b *testing.B) {
	benchmarkOptions(b, func(b *testing.B, options Options) {
		d := disk.New()
		store, _, _, err := OpenFolder(d, options)
		assert.NilError(b, err)
		assert.NilError(b, store.Initialize(memberID, raft.Snapshot{}))
		for n := range uint64(100) {
			saveEntry(b, store, n+1)
		}
		store.Close()
		b.ResetTimer()
		for range b.N {
			store, _, _, err := OpenFolder(d, options)
			assert.NilError(b, err)
			store.Close()
		}
	})
}

// BenchmarkSimulatedSave makes synced writes of one entry on the simulated disk.
func BenchmarkSimulatedSave(b *testing.B) {
	benchmarkOptions(b, func(b *testing.B, options Options) {
		store, _, _, err := OpenFolder(disk.New(), options)
		assert.NilError(b, err)
		defer store.Close()
		assert.NilError(b, store.Initialize(memberID, raft.Snapshot{}))
		b.ResetTimer()
		for n := range b.N {
			saveEntry(b, store, uint64(n)+1)
		}
	})
}
