package storage

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
)

// simulationOptions is how simulations open a store.
var simulationOptions = Options{Foreground: true, WriteBufferBytes: 32 << 10}

func benchmarkOptions(b *testing.B, run func(b *testing.B, how Options)) {
	b.Run("as a register", func(b *testing.B) { run(b, Options{}) })
	b.Run("as in simulations", func(b *testing.B) { run(b, simulationOptions) })
}

// BenchmarkSimulatedOpen opens a store of 100 entries on the simulated disk.
func BenchmarkSimulatedOpen(b *testing.B) {
	benchmarkOptions(b, func(b *testing.B, how Options) {
		d := disk.New()
		v, _, _, err := OpenFolder(d, how)
		assert.NilError(b, err)
		assert.NilError(b, v.Initialize(7, raft.Snapshot{}))
		for n := range uint64(100) {
			assert.NilError(b, v.Save(readyWith(raft.HardState{Term: 1}, newEntry(n+1, 1, "text")), n))
		}
		v.Close()
		b.ResetTimer()
		for range b.N {
			v, _, _, err := OpenFolder(d, how)
			assert.NilError(b, err)
			v.Close()
		}
	})
}

// BenchmarkSimulatedSave makes synced writes of one entry on the simulated disk.
func BenchmarkSimulatedSave(b *testing.B) {
	benchmarkOptions(b, func(b *testing.B, how Options) {
		v, _, _, err := OpenFolder(disk.New(), how)
		assert.NilError(b, err)
		defer v.Close()
		assert.NilError(b, v.Initialize(7, raft.Snapshot{}))
		b.ResetTimer()
		for n := range b.N {
			assert.NilError(b, v.Save(readyWith(raft.HardState{Term: 1}, newEntry(uint64(n)+1, 1, "text")), uint64(n)))
		}
	})
}
