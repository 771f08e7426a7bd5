package controlplane

import (
	"testing"

	"github.com/rs/zerolog"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
	"cranegrade/internal/mesh/storage"
)

// A register that starts on a full disk waits for room and keeps what it holds; one that starts on damaged files begins anew.
func TestOpenVault(t *testing.T) {
	for _, damaged := range []bool{false, true} {
		d := disk.New()
		v, _, _, err := storage.OpenFolder(d, storage.Options{})
		assert.NilError(t, err)
		assert.NilError(t, v.Initialize(7, raft.Snapshot{}))
		v.Close()
		if damaged {
			writeDamagedRecord(t, d)
		}
		d.SetFull(true)
		writes := 0
		d.OnAccess(func(a disk.Access) {
			if a.Kind == disk.AccessCreate {
				writes++
			}
			if writes > 2 {
				d.SetFull(false)
			}
		})
		r := &Member{log: zerolog.Nop()}
		v, held, empty, told, err := r.openStore(d)
		assert.NilError(t, err)
		v.Close()
		assert.Equal(t, told, damaged)
		assert.Equal(t, empty, damaged)
		assert.Equal(t, held.Self == 7, !damaged)
	}
}

// writeDamagedRecord puts a whole record of a wrong checksum and type in the store's journal.
func writeDamagedRecord(t *testing.T, d *disk.Disk) {
	files, err := d.Open(false)
	assert.NilError(t, err)
	journals, err := files.List(ldbstorage.TypeJournal)
	assert.NilError(t, err)
	w, err := files.Create(journals[0])
	assert.NilError(t, err)
	_, err = w.Write([]byte{1, 2, 3, 4, 5, 0, 9, 'w', 'r', 'o', 'n', 'g'})
	assert.NilError(t, err)
	assert.NilError(t, files.Close())
}
