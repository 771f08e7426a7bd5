package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
)

func readyWith(hardState raft.HardState, entries ...raft.Entry) raft.Ready {
	return raft.Ready{HardState: &hardState, Entries: entries}
}

func newEntry(index, term uint64, text string) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, LogTime: 5, Data: []byte(text)}
}

// openDir opens the store below a data folder, which is closed with the test.
func openDir(t *testing.T, dir string) (store *Store, state raft.StoredState, empty bool) {
	t.Helper()
	store, state, empty, err := Open(dir)
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	return store, state, empty
}

// initialized makes a store without members below a data folder.
func initialized(t *testing.T, dir string) *Store {
	t.Helper()
	store, _, empty := openDir(t, dir)
	assert.Assert(t, empty)
	assert.NilError(t, store.Initialize(memberID, raft.Snapshot{}))
	return store
}

func TestStoreReadsBackWhatWasSaved(t *testing.T) {
	dir := t.TempDir()
	members := []raft.Member{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}}
	store, _, empty := openDir(t, dir)
	assert.Assert(t, empty)
	assert.NilError(t, store.Initialize(1, raft.BootstrapSnapshot(members)))
	assert.NilError(t, store.Save(readyWith(raft.HardState{Term: 2, Vote: 1},
		newEntry(2, 2, "x"), newEntry(3, 2, "y"), newEntry(4, 2, "z")), 1))
	// A new leader's entry replaces two.
	assert.NilError(t, store.Save(readyWith(raft.HardState{Term: 3, Vote: 2},
		raft.Entry{Index: 3, Term: 3, Kind: raft.EntryConfiguration, Members: members[:1], Outgoing: members, ProtocolVersion: 1}), 4))
	assert.NilError(t, store.Reopen())
	store.Close()

	state, empty, err := OpenReadOnly(dir)
	assert.NilError(t, err)
	assert.Assert(t, !empty)
	assert.DeepEqual(t, state.HardState, raft.HardState{Term: 3, Vote: 2})
	assert.Assert(t, state.Self == 1 && state.Snapshot.Index == 1 && len(state.Snapshot.Members) == 2)
	assert.Equal(t, len(state.Entries), 2)
	assert.DeepEqual(t, state.Entries[0], newEntry(2, 2, "x"))
	assert.DeepEqual(t, state.Entries[1].Members, members[:1])
	assert.DeepEqual(t, state.Entries[1].Outgoing, members)
	assert.Equal(t, state.Entries[1].ProtocolVersion, uint32(1))

	// A compaction has a snapshot stand for the beginning of the log.
	store, _, _ = openDir(t, dir)
	assert.NilError(t, store.Compact(raft.Snapshot{
		Index: 2, Term: 2, ConfigurationIndex: 1, Members: members, Outgoing: members[:1],
		ProtocolVersion: 1, Data: []byte("state"),
	}, 2))
	store.Close()
	store, state, _ = openDir(t, dir)
	assert.DeepEqual(t, state.Snapshot.Outgoing, members[:1])
	assert.Assert(t, string(state.Snapshot.Data) == "state" && state.Snapshot.ProtocolVersion == 1)
	assert.Assert(t, len(state.Entries) == 1 && state.Entries[0].Index == 3)
	assert.Assert(t, len(state.CatchUpEntries) == 1 && state.CatchUpEntries[0].Index == 2)

	// A snapshot that was received replaces everything.
	assert.NilError(t, store.Save(raft.Ready{Snapshot: &raft.Snapshot{Index: 9, Term: 4, Data: []byte("other")}}, 3))
	store.Close()
	state, _, err = OpenReadOnly(dir)
	assert.NilError(t, err)
	assert.Assert(t, state.Snapshot.Index == 9 && len(state.Entries) == 0)
}

// logFile is a write-ahead log of some writes, each of one entry.
type logFile struct {
	path    string
	content []byte
	sizes   []int // after each write
}

func newLogFile(t *testing.T, writes, repeats int) logFile {
	t.Helper()
	dir := t.TempDir()
	store := initialized(t, dir)
	files, err := filepath.Glob(filepath.Join(dir, "vault", "*.log"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 1)
	log := logFile{path: files[0]}
	for i := uint64(1); i < uint64(writes); i++ {
		assert.NilError(t, store.Save(readyWith(raft.HardState{Term: i}, newEntry(i, i, strings.Repeat("text", repeats))), i-1))
		info, err := os.Stat(log.path)
		assert.NilError(t, err)
		log.sizes = append(log.sizes, int(info.Size()))
	}
	store.Close()
	log.content, err = os.ReadFile(log.path)
	assert.NilError(t, err)
	return log
}

// openWith opens the store with another content of the log, and returns the number of entries; -1: the store is empty.
func (l logFile) openWith(t *testing.T, content []byte) (entries int, err error) {
	t.Helper()
	assert.NilError(t, os.WriteFile(l.path, content, 0o600))
	store, state, empty, err := Open(filepath.Dir(filepath.Dir(l.path)))
	if err != nil {
		assert.Assert(t, errors.Is(err, ErrCorrupted) || errors.Is(err, ErrFormatVersion), "%v", err)
		return 0, err
	}
	store.Close()
	if empty {
		return -1, nil
	}
	assert.Equal(t, state.HardState.Term, uint64(len(state.Entries)))
	return len(state.Entries), nil
}

// A store whose last record is torn, at every byte of it, holds all that was acknowledged before: a loss of power in the middle of a
// write leaves that, and may do so on all members at once. A log with a flipped bit, or one that is torn within what was
// acknowledged and written on, is reported as corrupted. It is never read wrongly.
func TestTornAndDamagedLog(t *testing.T) {
	const positions = 60 // that are tried, about
	for _, c := range []struct {
		name            string
		writes, repeats int
	}{
		{"records within a block", 20, 1},
		{"records over block ends", 4, 12_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := newLogFile(t, c.writes, c.repeats)
			last := len(log.sizes) - 1
			begin, end := log.sizes[last-1], log.sizes[last] // of the last record
			for at := begin; at < end; at += max(1, (end-begin)/positions) {
				short := log.content[:at:at]
				zeros := append(slices.Clone(short), bytes.Repeat([]byte{0}, end-at)...)
				for _, torn := range [][]byte{short, zeros} {
					got, err := log.openWith(t, torn)
					assert.NilError(t, err)
					assert.Equal(t, got, last, "torn at byte %d of %d to %d", at, begin, end)
				}
			}
			for at := 0; at < begin; at += max(1, begin/positions) {
				flipped := slices.Clone(log.content)
				flipped[at] ^= 0x10
				_, err := log.openWith(t, flipped)
				assert.Assert(t, errors.Is(err, ErrCorrupted), "flipped at byte %d of %d: %v", at, len(log.content), err)
			}
		})
	}
}

func TestUnknownFormatVersion(t *testing.T) {
	dir := t.TempDir()
	store := initialized(t, dir)
	assert.NilError(t, store.db.Put([]byte(keyFormat), addChecksum(encodeUint64(FormatVersion+1)), &store.writeOptions))
	store.Close()
	_, _, _, err := Open(dir)
	assert.Assert(t, errors.Is(err, ErrFormatVersion))
}

// A store that was discarded, or was being discarded at a loss of power, is gone, and another one begins in its place.
func TestDiscard(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	filesIn := func() int {
		files, err := os.ReadDir(dir)
		assert.NilError(t, err)
		return len(files)
	}
	initialized(t, dir).Close()
	assert.NilError(t, Discard(dir))
	assert.NilError(t, Discard(dir))
	assert.Equal(t, filesIn(), 0)
	initialized(t, dir).Close()
	assert.NilError(t, os.Rename(filepath.Join(dir, "vault"), filepath.Join(dir, "vault.discarded")))
	initialized(t, dir).Close()
	assert.Equal(t, filesIn(), 1)
}
