package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
)

func readyWith(hard raft.HardState, entries ...raft.Entry) raft.Ready {
	return raft.Ready{HardState: &hard, Entries: entries}
}

func newEntry(index, term uint64, text string) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, LogTime: 5, Data: []byte(text)}
}

func TestStoreReadsBackWhatWasSaved(t *testing.T) {
	dir := t.TempDir()
	members := []raft.Member{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}}
	v, _, empty, err := Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, empty)
	assert.NilError(t, v.Initialize(1, raft.BootstrapSnapshot(members)))
	assert.NilError(t, v.Save(readyWith(raft.HardState{Term: 2, Vote: 1}, newEntry(2, 2, "x"), newEntry(3, 2, "y"), newEntry(4, 2, "z")), 1))
	// A new leader's entry takes the place of two.
	assert.NilError(t, v.Save(readyWith(raft.HardState{Term: 3, Vote: 2}, raft.Entry{Index: 3, Term: 3, Kind: raft.EntryConfiguration, Members: members[:1], Outgoing: members, ProtocolVersion: 1}), 4))
	assert.NilError(t, v.Reopen())
	v.Close()
	held, empty, err := OpenReadOnly(dir)
	assert.NilError(t, err)
	assert.Assert(t, !empty)
	assert.DeepEqual(t, held.HardState, raft.HardState{Term: 3, Vote: 2})
	assert.Assert(t, held.Self == 1 && held.Snapshot.Index == 1 && len(held.Snapshot.Members) == 2)
	assert.Equal(t, len(held.Entries), 2)
	assert.DeepEqual(t, held.Entries[0], newEntry(2, 2, "x"))
	assert.DeepEqual(t, held.Entries[1].Members, members[:1])
	assert.DeepEqual(t, held.Entries[1].Outgoing, members)
	assert.Equal(t, held.Entries[1].ProtocolVersion, uint32(1))
	// The log's beginning goes into a snapshot, one from elsewhere takes the place of all.
	v, _, _, err = Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, v.Compact(raft.Snapshot{Index: 2, Term: 2, ConfigurationIndex: 1, Members: members, Outgoing: members[:1], ProtocolVersion: 1, Data: []byte("state")}, 2))
	v.Close()
	v, held, _, err = Open(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, held.Snapshot.Outgoing, members[:1])
	assert.Assert(t, string(held.Snapshot.Data) == "state" && held.Snapshot.ProtocolVersion == 1 && len(held.Entries) == 1 && held.Entries[0].Index == 3)
	assert.Assert(t, len(held.CatchUpEntries) == 1 && held.CatchUpEntries[0].Index == 2)
	assert.NilError(t, v.Save(raft.Ready{Snapshot: &raft.Snapshot{Index: 9, Term: 4, Data: []byte("other")}}, 3))
	v.Close()
	held, _, err = OpenReadOnly(dir)
	assert.NilError(t, err)
	assert.Assert(t, held.Snapshot.Index == 9 && len(held.Entries) == 0)
}

// A store whose last record is torn, at every byte of it, holds all that was acknowledged before: what a loss of power in the
// middle of a write leaves, on all registers at once for all that is known. One that was turned, or torn within what was
// acknowledged and written on, is told as damaged; it is never read wrongly.
func TestTornAndDamagedLog(t *testing.T) {
	const writes = 20
	make := func(t *testing.T, n, long int) (file string, text []byte, sizes []int) {
		dir := t.TempDir()
		v, _, _, err := Open(dir)
		assert.NilError(t, err)
		assert.NilError(t, v.Initialize(7, raft.Snapshot{}))
		files, err := filepath.Glob(filepath.Join(dir, "vault", "*.log"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), 1)
		for i := uint64(1); i < uint64(n); i++ {
			assert.NilError(t, v.Save(readyWith(raft.HardState{Term: i}, newEntry(i, i, strings.Repeat("text", long))), i-1))
			info, err := os.Stat(files[0])
			assert.NilError(t, err)
			sizes = append(sizes, int(info.Size()))
		}
		v.Close()
		text, err = os.ReadFile(files[0])
		assert.NilError(t, err)
		return files[0], text, sizes
	}
	open := func(t *testing.T, file string, text []byte) (int, error) {
		assert.NilError(t, os.WriteFile(file, text, 0o600))
		v, held, empty, err := Open(filepath.Dir(filepath.Dir(file)))
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrCorrupted) || errors.Is(err, ErrFormatVersion), "%v", err)
			return 0, err
		}
		v.Close()
		if empty {
			return -1, nil
		}
		assert.Equal(t, held.HardState.Term, uint64(len(held.Entries)))
		return len(held.Entries), nil
	}
	for _, long := range []int{1, 12_000} { // the latter over block ends
		n := writes
		if long > 1 {
			n = 4
		}
		file, text, sizes := make(t, n, long)
		last := len(sizes) - 1
		step := max(1, (sizes[last]-sizes[last-1])/60)
		for at := sizes[last-1]; at < sizes[last]; at += step {
			short := text[:at:at]
			zeros := append(append([]byte(nil), short...), bytes.Repeat([]byte{0}, sizes[last]-at)...)
			for _, torn := range [][]byte{short, zeros} {
				got, err := open(t, file, torn)
				assert.NilError(t, err)
				assert.Equal(t, got, last, "torn at byte %d of %d to %d", at, sizes[last-1], sizes[last])
			}
		}
		for at := 0; at < sizes[last-1]; at += max(1, sizes[last-1]/60) {
			turned := append([]byte(nil), text...)
			turned[at] ^= 0x10
			_, err := open(t, file, turned)
			assert.Assert(t, errors.Is(err, ErrCorrupted), "turned at byte %d of %d: %v", at, len(text), err)
		}
	}
}

func TestUnknownFormatVersion(t *testing.T) {
	dir := t.TempDir()
	v, _, _, err := Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, v.Initialize(7, raft.Snapshot{}))
	assert.NilError(t, v.db.Put([]byte("format"), addChecksum(encodeUint64(FormatVersion+1)), &v.writeOptions))
	v.Close()
	_, _, _, err = Open(dir)
	assert.Assert(t, errors.Is(err, ErrFormatVersion))
}

// A store that was discarded, or was being discarded when the power went, is gone, and another begins in its place.
func TestDiscard(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	begin := func() {
		v, _, empty, err := Open(dir)
		assert.NilError(t, err)
		assert.Assert(t, empty)
		assert.NilError(t, v.Initialize(7, raft.Snapshot{}))
		v.Close()
	}
	begin()
	assert.NilError(t, Discard(dir))
	assert.NilError(t, Discard(dir))
	left, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
	begin()
	assert.NilError(t, os.Rename(filepath.Join(dir, "vault"), filepath.Join(dir, "vault.discarded")))
	begin()
	left, err = os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 1)
}
