package vault

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/core"
)

func ready(hard core.Hard, entries ...core.Entry) core.Ready {
	return core.Ready{Hard: &hard, Entries: entries}
}

func entry(index, term uint64, text string) core.Entry {
	return core.Entry{Index: index, Term: term, Kind: core.Change, Stamp: 5, Data: []byte(text)}
}

func TestHeld(t *testing.T) {
	dir := t.TempDir()
	members := []core.Member{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}}
	v, _, empty, err := Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, empty)
	assert.NilError(t, v.Begin(1, core.Found(members)))
	assert.NilError(t, v.Save(ready(core.Hard{Term: 2, Vote: 1}, entry(2, 2, "x"), entry(3, 2, "y"), entry(4, 2, "z")), 1))
	// A new leader's entry takes the place of two.
	assert.NilError(t, v.Save(ready(core.Hard{Term: 3, Vote: 2}, core.Entry{Index: 3, Term: 3, Kind: core.View, Members: members[:1]}), 4))
	assert.NilError(t, v.Reopen())
	v.Close()
	held, empty, err := OpenReadOnly(dir)
	assert.NilError(t, err)
	assert.Assert(t, !empty)
	assert.DeepEqual(t, held.Hard, core.Hard{Term: 3, Vote: 2})
	assert.Assert(t, held.Self == 1 && held.Snapshot.Index == 1 && len(held.Snapshot.Members) == 2)
	assert.Equal(t, len(held.Log), 2)
	assert.DeepEqual(t, held.Log[0], entry(2, 2, "x"))
	assert.DeepEqual(t, held.Log[1].Members, members[:1])
	// The log's beginning goes into a snapshot, one from elsewhere takes the place of all.
	v, _, _, err = Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, v.Compact(core.Snapshot{Index: 2, Term: 2, View: 1, Members: members, Data: []byte("state")}, 1))
	v.Close()
	v, held, _, err = Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, string(held.Snapshot.Data) == "state" && len(held.Log) == 1 && held.Log[0].Index == 3)
	assert.NilError(t, v.Save(core.Ready{Snapshot: &core.Snapshot{Index: 9, Term: 4, Data: []byte("other")}}, 3))
	v.Close()
	held, _, err = OpenReadOnly(dir)
	assert.NilError(t, err)
	assert.Assert(t, held.Snapshot.Index == 9 && len(held.Log) == 0)
}

// A store that was torn or turned is told as damaged or holds what was acknowledged; it is never read wrongly.
func TestDamaged(t *testing.T) {
	for at := range 40 {
		dir := t.TempDir()
		v, _, _, err := Open(dir)
		assert.NilError(t, err)
		assert.NilError(t, v.Begin(7, core.Snapshot{}))
		for n := uint64(1); n < 20; n++ {
			assert.NilError(t, v.Save(ready(core.Hard{Term: n}, entry(n, n, "text")), n-1))
		}
		v.Close()
		files, err := filepath.Glob(filepath.Join(dir, "vault", "*.log"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), 1)
		text, err := os.ReadFile(files[0])
		assert.NilError(t, err)
		i := len(text) * at / 40
		if at%2 == 0 {
			text = text[:i] // torn
		} else {
			text[i] ^= 0x10
		}
		assert.NilError(t, os.WriteFile(files[0], text, 0o600))
		v, held, empty, err := Open(dir)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrDamaged) || errors.Is(err, ErrFormat), "%v", err)
			continue
		}
		v.Close()
		if empty {
			continue
		}
		for n, e := range held.Log { // a torn end is what a crash before the sync leaves
			assert.DeepEqual(t, e, entry(uint64(n+1), uint64(n+1), "text"))
		}
		assert.Assert(t, held.Hard.Term == uint64(len(held.Log)), "term %d, %d entries", held.Hard.Term, len(held.Log))
	}
}

func TestOtherFormat(t *testing.T) {
	dir := t.TempDir()
	v, _, _, err := Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, v.Begin(7, core.Snapshot{}))
	assert.NilError(t, v.db.Put([]byte("format"), seal(number(Format+1)), &v.sync))
	v.Close()
	_, _, _, err = Open(dir)
	assert.Assert(t, errors.Is(err, ErrFormat))
}
