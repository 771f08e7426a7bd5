package controlplane

import (
	"os"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/storage"
)

func TestContentsOfAnEmptyStore(t *testing.T) {
	dir := t.TempDir()
	opened, err := openStore(storage.Directory(dir), zerolog.Nop())
	assert.NilError(t, err)
	opened.store.Close()
	contents, err := Inspect(dir)
	assert.NilError(t, err)
	assert.Assert(t, contents.Empty)
	assert.Equal(t, contents.String(), "empty\n")
	_, err = RecoverConfiguration(dir)
	assert.ErrorIs(t, err, ErrEmptyDisk)

	_, err = Inspect(t.TempDir())
	assert.ErrorIs(t, err, os.ErrNotExist) // there never was a store
}

// The whole log is applied, since any entry on the disk of one member may have been committed.
func TestContentsIncludeTheWholeLog(t *testing.T) {
	dir := t.TempDir()
	opened, err := openStore(storage.Directory(dir), zerolog.Nop())
	assert.NilError(t, err)
	members := []raft.Member{{ID: 7, Addr: testAddress}}
	opened.initialize(raft.StoredState{Self: 7, Snapshot: raft.BootstrapSnapshot(members)}, zerolog.Nop())
	last := opened.state.Snapshot.Index
	added := append(members, raft.Member{ID: 8, Addr: "10.0.0.2:7000"})
	ready := raft.Ready{HardState: &raft.HardState{Term: 3, Vote: 7}, Entries: []raft.Entry{
		{Index: last + 1, Term: 3, Kind: raft.EntryNoOp},
		{Index: last + 2, Term: 3, Kind: raft.EntryConfiguration, Members: added},
	}}
	assert.NilError(t, opened.store.Save(ready, last))
	opened.store.Close()

	contents, err := Inspect(dir)
	assert.NilError(t, err)
	assert.Equal(t, contents.Self, raft.ID(7))
	assert.Equal(t, contents.Term, uint64(3))
	assert.Equal(t, contents.Vote, raft.ID(7))
	assert.Equal(t, contents.Last, last+2)
	assert.DeepEqual(t, contents.Members, added)
}
