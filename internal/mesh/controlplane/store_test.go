package controlplane

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
	meshstorage "cranegrade/internal/mesh/storage"
)

// A member that starts on a full disk waits for space and keeps its state. A member that starts on corrupted files starts with an empty
// store.
func TestOpenStore(t *testing.T) {
	for name, damaged := range map[string]bool{"full disk": false, "full disk and damaged files": true} {
		t.Run(name, func(t *testing.T) {
			simulated := newDisk(t)
			if damaged {
				writeDamagedRecord(t, simulated)
			}
			freeAfterWrites(simulated, 2)
			opened, err := openStore(simulated, zerolog.Nop())
			assert.NilError(t, err)
			opened.store.Close()
			assert.Equal(t, opened.damaged, damaged)
			assert.Equal(t, opened.empty, damaged)
			assert.Equal(t, opened.state.Self == 7, !damaged)
		})
	}
}

var testReady = raft.Ready{HardState: &raft.HardState{Term: 3}}

// newTestWriter returns a writer to the store on a disk.
func newTestWriter(t *testing.T, simulated *disk.Disk, terminating <-chan struct{}) *stateWriter {
	t.Helper()
	opened, err := openStore(simulated, zerolog.Nop())
	assert.NilError(t, err)
	writer := &stateWriter{store: opened.store, log: zerolog.Nop(), terminating: terminating}
	t.Cleanup(writer.store.Close)
	return writer
}

func TestSaveWaitsForAFullDisk(t *testing.T) {
	simulated := newDisk(t)
	writer := newTestWriter(t, simulated, nil)
	simulated.SetFull(true)
	seen := ""
	simulated.OnAccess(func(disk.Access) {
		if fault := writer.fault(); fault != "" { // the first attempt has failed
			seen = fault
			simulated.SetFull(false)
		}
	})
	assert.Assert(t, writer.save(testReady, 0))
	assert.Assert(t, seen != "")
	assert.Equal(t, writer.fault(), "")
}

func TestSaveStopsRetryingOnShutdown(t *testing.T) {
	simulated := newDisk(t)
	terminating := make(chan struct{})
	close(terminating)
	writer := newTestWriter(t, simulated, terminating)
	simulated.SetFull(true)
	assert.Assert(t, !writer.save(testReady, 0))
	assert.Assert(t, writer.fault() != "")
}

// newDisk returns a disk with the store of member 7.
func newDisk(t *testing.T) *disk.Disk {
	t.Helper()
	simulated := disk.New()
	store, _, _, err := meshstorage.OpenFolder(simulated, meshstorage.Options{})
	assert.NilError(t, err)
	assert.NilError(t, store.Initialize(7, raft.Snapshot{}))
	store.Close()
	return simulated
}

// freeAfterWrites fills a disk, and frees it after a number of attempts to create files.
func freeAfterWrites(simulated *disk.Disk, writes int) {
	simulated.SetFull(true)
	created := 0
	simulated.OnAccess(func(access disk.Access) {
		if access.Kind == disk.AccessCreate {
			created++
		}
		if created > writes {
			simulated.SetFull(false)
		}
	})
}

// writeDamagedRecord writes a complete record with a wrong checksum and type to the write-ahead log of the store.
func writeDamagedRecord(t *testing.T, simulated *disk.Disk) {
	t.Helper()
	files, err := simulated.Open(false)
	assert.NilError(t, err)
	journals, err := files.List(storage.TypeJournal)
	assert.NilError(t, err)
	writer, err := files.Create(journals[0])
	assert.NilError(t, err)
	_, err = writer.Write([]byte{1, 2, 3, 4, 5, 0, 9, 'w', 'r', 'o', 'n', 'g'})
	assert.NilError(t, err)
	assert.NilError(t, files.Close())
}
