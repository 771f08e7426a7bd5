package disk

import (
	"bytes"
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"gotest.tools/v3/assert"
)

const runs = 200

var (
	journal  = storage.FileDesc{Type: storage.TypeJournal, Num: 1}
	manifest = storage.FileDesc{Type: storage.TypeManifest, Num: 2}
	table    = storage.FileDesc{Type: storage.TypeTable, Num: 3}
)

func open(t *testing.T, d *Disk) storage.Storage {
	t.Helper()
	files, err := d.Open(false)
	assert.NilError(t, err)
	return files
}

func create(t *testing.T, files storage.Storage, fd storage.FileDesc, text string) storage.Writer {
	t.Helper()
	w, err := files.Create(fd)
	assert.NilError(t, err)
	_, err = w.Write([]byte(text))
	assert.NilError(t, err)
	return w
}

func read(t *testing.T, files storage.Storage, fd storage.FileDesc) (text string, exists bool) {
	t.Helper()
	r, err := files.Open(fd)
	if errors.Is(err, os.ErrNotExist) {
		return "", false
	}
	assert.NilError(t, err)
	p, err := io.ReadAll(r)
	assert.NilError(t, err)
	return string(p), true
}

// What was synced is there after every loss of power. A file whose folder was not synced is there in some of them.
func TestPowerLossKeepsSyncedData(t *testing.T) {
	var kept, torn int
	for seed := range uint64(runs) {
		d := New()
		files := open(t, d)
		w := create(t, files, journal, "synced")
		assert.NilError(t, w.Sync())
		assert.NilError(t, d.Sync())
		_, err := w.Write([]byte("unsynced"))
		assert.NilError(t, err)
		assert.NilError(t, create(t, files, table, "table").Sync())
		d.LosePower(rand.New(rand.NewPCG(seed, 1)), Truncated)
		text, exists := read(t, open(t, d), journal)
		assert.Assert(t, exists && text >= "synced" && len(text) <= len("syncedunsynced"), "%q", text)
		if len(text) < len("syncedunsynced") {
			torn++
		}
		if text, exists := read(t, open(t, d), table); exists {
			kept++
			assert.Equal(t, text, "table")
		}
	}
	assert.Assert(t, kept > 0 && kept < runs, "the unsynced name was kept in %d of %d", kept, runs)
	assert.Assert(t, torn > 0 && torn < runs, "the unsynced write was torn in %d of %d", torn, runs)
}

// Each name is kept or lost by itself: all four outcomes of a removal and a renaming are seen.
func TestPowerLossKeepsOrLosesEachName(t *testing.T) {
	seen := map[[3]bool]int{}
	renamed := storage.FileDesc{Type: storage.TypeTable, Num: 4}
	for seed := range uint64(runs) {
		d := New()
		files := open(t, d)
		assert.NilError(t, create(t, files, journal, "a").Sync())
		assert.NilError(t, create(t, files, table, "b").Sync())
		assert.NilError(t, d.Sync())
		assert.NilError(t, files.Remove(journal))
		assert.NilError(t, files.Rename(table, renamed))
		d.LosePower(rand.New(rand.NewPCG(seed, 2)))
		var exists [3]bool
		for n, fd := range []storage.FileDesc{journal, table, renamed} {
			_, exists[n] = read(t, open(t, d), fd)
		}
		assert.Assert(t, exists[1] != exists[2], "a renaming is kept or lost as one")
		seen[exists]++
	}
	assert.Equal(t, len(seen), 4, "%v", seen)
}

// A torn write leaves what its mode says, and the write itself is not changed.
func TestTornWrites(t *testing.T) {
	data := []byte("0123456789")
	rng := rand.New(rand.NewPCG(1, 1))
	for range runs {
		cut := tear(data, rng, Truncated)
		assert.Assert(t, len(cut) < len(data) && bytes.HasPrefix(data, cut))
		zeroed := tear(data, rng, ZeroFilled)
		assert.Equal(t, len(zeroed), len(data))
		assert.Assert(t, bytes.HasPrefix(data, bytes.TrimRight(zeroed, "\x00")) && zeroed[9] == 0)
		assert.Equal(t, len(tear(data, rng, BitsFlipped)), len(data))
	}
	assert.DeepEqual(t, data, []byte("0123456789"))
}

// Sectors that are lost are zeros, each of them is lost in some runs, and none that was synced is changed.
func TestLostSectors(t *testing.T) {
	content := bytes.Repeat([]byte("x"), 10*sectorBytes)
	const synced = sectorBytes + 100
	rng := rand.New(rand.NewPCG(1, 1))
	lost := map[int]bool{}
	for range runs {
		kept := loseSectors(content, synced, rng)
		assert.Assert(t, len(kept) == len(content) && bytes.HasPrefix(kept, content[:synced]))
		for start := synced; start < len(kept); start = start - start%sectorBytes + sectorBytes {
			lost[start] = lost[start] || kept[start] == 0
		}
	}
	for start, wasLost := range lost {
		assert.Assert(t, wasLost, "sector at byte %d", start)
	}
	assert.Equal(t, len(lost), 9)
}

// The sync of a manifest makes the names in the folder durable, and its pointer outlasts every loss of power.
func TestManifestPointerIsDurable(t *testing.T) {
	for seed := range uint64(runs) {
		d := New()
		files := open(t, d)
		create(t, files, journal, "")
		assert.NilError(t, create(t, files, manifest, "m").Sync())
		assert.NilError(t, files.SetMeta(manifest))
		d.LosePower(rand.New(rand.NewPCG(seed, 3)))
		files = open(t, d)
		inUse, err := files.GetMeta()
		assert.NilError(t, err)
		assert.Equal(t, inUse, manifest)
		_, exists := read(t, files, journal)
		assert.Assert(t, exists)
	}
}

// A loss of power at each step of the change from one manifest to another leaves one of the two, and no wrong pointer.
func TestPowerLossWithinSetMeta(t *testing.T) {
	next := storage.FileDesc{Type: storage.TypeManifest, Num: 9}
	const steps = 8
	seen := map[storage.FileDesc]int{}
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 4))
		d := New()
		files := open(t, d)
		assert.NilError(t, create(t, files, manifest, "m").Sync())
		assert.NilError(t, files.SetMeta(manifest))
		assert.NilError(t, create(t, files, next, "n").Sync())
		losePowerAt(d, rng, rng.IntN(steps))
		_ = files.SetMeta(next)
		d.OnAccess(nil)
		d.KillProcess()
		inUse, err := open(t, d).GetMeta()
		assert.NilError(t, err)
		seen[inUse]++
	}
	assert.Equal(t, len(seen), 2, "%v", seen)
}

// losePowerAt has the power lost before the n-th access from now on.
func losePowerAt(d *Disk, rng *rand.Rand, n int) {
	d.OnAccess(func(Access) {
		if n == 0 {
			d.LosePower(rng)
		}
		n--
	})
}

// A process that was killed keeps what it wrote, synced or not; its handles are closed.
func TestKilledProcessKeepsItsWritesAndLosesItsHandles(t *testing.T) {
	d := New()
	files := open(t, d)
	w := create(t, files, journal, "unsynced")
	d.KillProcess()
	_, err := w.Write([]byte("late"))
	assert.Assert(t, errors.Is(err, storage.ErrClosed), "%v", err)
	_, err = files.List(storage.TypeAll)
	assert.Assert(t, errors.Is(err, storage.ErrClosed), "%v", err)
	text, _ := read(t, open(t, d), journal)
	assert.Equal(t, text, "unsynced")
}

// A full disk refuses writes, one with read errors refuses reads, and one that is wiped is empty and unlocked.
func TestFullUnreadableWipedAndLocked(t *testing.T) {
	d := New()
	files := open(t, d)
	w := create(t, files, journal, "text")
	d.SetFull(true)
	_, err := w.Write([]byte("more"))
	assert.Assert(t, errors.Is(err, syscall.ENOSPC), "%v", err)
	_, err = files.Create(table)
	assert.Assert(t, errors.Is(err, syscall.ENOSPC), "%v", err)
	assert.Assert(t, errors.Is(files.SetMeta(manifest), syscall.ENOSPC))
	d.SetFull(false)
	d.SetReadErrors(true)
	r, err := files.Open(journal)
	assert.NilError(t, err)
	_, err = io.ReadAll(r)
	assert.Assert(t, errors.Is(err, syscall.EIO), "%v", err)
	d.SetReadErrors(false)

	lock, err := files.Lock()
	assert.NilError(t, err)
	_, err = open(t, d).Lock()
	assert.Assert(t, errors.Is(err, storage.ErrLocked), "%v", err)
	lock.Unlock()
	_, err = open(t, d).Lock()
	assert.NilError(t, err)

	d.Wipe()
	assert.Equal(t, len(d.FileNames()), 0)
	_, err = open(t, d).Lock()
	assert.NilError(t, err)
}

// A disk that ignores syncs loses what was synced in some losses of power.
func TestIgnoredSyncsLoseData(t *testing.T) {
	var lost int
	for seed := range uint64(runs) {
		d := New()
		d.SetIgnoreSyncs(true)
		assert.NilError(t, create(t, open(t, d), journal, "text").Sync())
		assert.NilError(t, d.Sync())
		d.LosePower(rand.New(rand.NewPCG(seed, 5)))
		if text, _ := read(t, open(t, d), journal); text != "text" {
			lost++
		}
	}
	assert.Assert(t, lost > 0)
}

// The same calls and the same seed leave the same bytes. An access is observed with its file and bytes.
func TestSameSeedSameDisk(t *testing.T) {
	run := func(seed uint64) (uint64, []Access) {
		var accesses []Access
		d := New()
		d.OnAccess(func(a Access) { accesses = append(accesses, a) })
		files := open(t, d)
		create(t, files, journal, "one")
		create(t, files, table, "two")
		assert.NilError(t, files.Remove(journal))
		d.LosePower(rand.New(rand.NewPCG(seed, 6)))
		_, _, _ = d.FlipBit(rand.New(rand.NewPCG(seed, 7)))
		return d.Fingerprint(), accesses
	}
	sums := map[uint64]bool{}
	for seed := range uint64(20) {
		first, accesses := run(seed)
		again, _ := run(seed)
		assert.Equal(t, first, again)
		assert.DeepEqual(t, accesses[1], Access{Kind: AccessWrite, File: "000001.log", Bytes: 3})
		sums[first] = true
	}
	assert.Assert(t, len(sums) > 3, "seeds differ")
}
