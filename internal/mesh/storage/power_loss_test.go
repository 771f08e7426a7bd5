package storage

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
	"cranegrade/internal/testkit"
)

// After each loss of power, between any two accesses to the disk, everything that Save and Compact acknowledged is read
// back, and of the write in flight either all or nothing.
func TestPowerLoss(t *testing.T) {
	for _, c := range []struct {
		name      string
		schedules uint64
		options   Options
		maxBytes  int // of an entry
	}{
		{"small entries", 300, simulationOptions, 100},
		{"entries over blocks", 100, Options{Foreground: true, WriteBufferBytes: 256 << 10}, 40_000},
		{"tables compacted in the background", 60, Options{}, 200_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken, first := runSchedules(c.schedules, nil, c.options, c.maxBytes)
			assert.Equal(t, broken, 0, "of %d schedules; %v", c.schedules, first)
		})
	}
}

// A process that is killed between any two accesses loses nothing, and a disk that is full at times loses nothing either, with
// losses of power between.
func TestProcessKilledAndDiskFull(t *testing.T) {
	const schedules = 30
	for name, change := range map[string]func(*faultSchedule){
		"killed":                      func(s *faultSchedule) { s.killProcess = true },
		"full at times":               func(s *faultSchedule) { s.diskFills = true },
		"full at times, while killed": func(s *faultSchedule) { s.diskFills, s.killProcess = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			broken, first := runSchedules(schedules, change, Options{Foreground: true, WriteBufferBytes: 128 << 10}, 20_000)
			assert.Equal(t, broken, 0, "of %d schedules; %v", schedules, first)
		})
	}
}

// noSyncFolder is a folder whose sync does nothing.
type noSyncFolder struct{ *disk.Disk }

func (noSyncFolder) Sync() error { return nil }

// Each mutation is found.
func TestPowerLossFindsMutations(t *testing.T) {
	const schedules = 100
	for _, c := range []struct {
		name     string
		mutate   func(*faultSchedule)
		options  Options
		maxBytes int // of an entry
	}{
		{"no sync at all", func(s *faultSchedule) {
			s.beforeSave = func(store *Store, _ raft.Ready) { store.writeOptions.Sync = false }
		}, simulationOptions, 100},
		{"a vote not synced", func(s *faultSchedule) {
			s.beforeSave = func(store *Store, ready raft.Ready) { store.writeOptions.Sync = ready.HardState == nil }
		}, simulationOptions, 100},
		{"a disk that ignores syncs", func(s *faultSchedule) { s.disk.SetIgnoreSyncs(true) }, simulationOptions, 100},
		{"the name of a new write-ahead log not synced", func(s *faultSchedule) { s.folder = noSyncFolder{s.disk} }, Options{}, 200_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken, first := runSchedules(schedules, c.mutate, c.options, c.maxBytes)
			t.Logf("found in %d of %d schedules; %v", broken, schedules, first)
			assert.Assert(t, broken > 0)
		})
	}
}

// The same seed makes the same accesses in the same order and leaves the same bytes, at every one of them.
func TestSimulatedStoreIsDeterministic(t *testing.T) {
	testkit.ForSeeds(0, 8, func(seed uint64) {
		first, err := traceOfSchedule(seed)
		again, errAgain := traceOfSchedule(seed)
		assert.Check(t, err)
		assert.Check(t, errAgain)
		assert.Check(t, len(first) > 50, "seed %d: %d accesses", seed, len(first))
		assert.Check(t, is.DeepEqual(first, again), "seed %d", seed)
	})
}

// traceOfSchedule returns the fingerprints of the disk at each access of a schedule that may change it, and at the end.
func traceOfSchedule(seed uint64) (trace []uint64, err error) {
	s := newFaultSchedule(seed, simulationOptions, 3_000)
	s.disk.OnAccess(func(a disk.Access) {
		s.onAccess()
		if a.Kind != disk.AccessRead {
			trace = append(trace, s.disk.Fingerprint())
		}
	})
	err = s.run()
	s.closeAfterFault()
	return append(trace, s.disk.Fingerprint()), err
}

// A write in flight at a loss of power, and of which some sectors never reached the disk, leaves what was acknowledged.
func TestPowerLossWithLostSectors(t *testing.T) {
	const schedules = 100
	for _, maxBytes := range []int{300, 6_000, 60_000} {
		broken, first := runSchedules(schedules, func(s *faultSchedule) { s.tearModes = []disk.TearMode{disk.SectorsLost} },
			Options{Foreground: true, WriteBufferBytes: 256 << 10}, maxBytes)
		assert.Check(t, broken == 0, "entries of up to %d bytes: %d of %d schedules; %v", maxBytes, broken, schedules, first)
	}
}

// A write in flight at a loss of power, and of which some bits were flipped, is reported as corruption, or the store is as it
// was acknowledged: with the write or without it.
func TestPowerLossWithFlippedBits(t *testing.T) {
	const schedules = 200
	var reported atomic.Int64
	testkit.ForSeeds(0, schedules, func(seed uint64) {
		s := newFaultSchedule(seed, simulationOptions, 3_000)
		s.tearModes = []disk.TearMode{disk.BitsFlipped}
		err := s.run()
		s.closeAfterFault()
		if errors.Is(err, ErrCorrupted) {
			reported.Add(1)
			return
		}
		assert.Check(t, err, "seed %d", seed)
	})
	t.Logf("reported in %d of %d", reported.Load(), schedules)
	assert.Assert(t, reported.Load() > 0)
}

// A bit that is flipped anywhere in the files is reported as corruption, or changes nothing.
func TestFlippedBits(t *testing.T) {
	const schedules = 400
	var reported atomic.Int64
	testkit.ForSeeds(0, schedules, func(seed uint64) {
		found, err := openWithFlippedBit(seed)
		assert.Check(t, err, "seed %d", seed)
		if found {
			reported.Add(1)
		}
	})
	t.Logf("reported in %d of %d", reported.Load(), schedules)
	assert.Assert(t, reported.Load() > schedules/2)
}

// openWithFlippedBit plays a schedule, flips a bit and opens the store. reported says that the store is found to be corrupted. The error
// is that the store holds anything but what was acknowledged, or that it can't be opened for another reason.
func openWithFlippedBit(seed uint64) (reported bool, err error) {
	s := newFaultSchedule(seed, simulationOptions, 3_000)
	if err := s.run(); err != nil {
		return false, err
	}
	s.store.Close()
	name, at, _ := s.disk.FlipBit(s.rng)
	store, state, empty, err := OpenFolder(s.disk, simulationOptions)
	if errors.Is(err, ErrCorrupted) || errors.Is(err, ErrFormatVersion) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	store.Close()
	if got, want := expectedFrom(state).describe(), s.expected.describe(); empty || got != want {
		return false, errors.Errorf("%s flipped at byte %d: empty %v, the store holds\n%s\nin place of\n%s", name, at, empty, got, want)
	}
	return false, nil
}

// requireEnds fails the test if f does not end.
func requireEnds(t *testing.T, f func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end")
	}
}

// newStoreWithEntry makes a store of one entry.
func newStoreWithEntry(t *testing.T, d *disk.Disk) *Store {
	t.Helper()
	store, _, _, err := OpenFolder(d, Options{})
	assert.NilError(t, err)
	assert.NilError(t, store.Initialize(memberID, raft.Snapshot{}))
	assert.NilError(t, store.Save(readyWith(raft.HardState{Term: 1}, newEntry(1, 1, "x")), 0))
	return store
}

// A disk that was full refuses writes, also of a snapshot that is larger than the write buffer, and takes them once there is
// room and the store was opened again.
func TestFullDisk(t *testing.T) {
	for _, snapshotBytes := range []int{100, 3 * DefaultWriteBufferBytes} {
		t.Run(fmt.Sprint(snapshotBytes), func(t *testing.T) {
			d := disk.New()
			store := newStoreWithEntry(t, d)
			snapshot := raft.Ready{Snapshot: &raft.Snapshot{Index: 5, Term: 1, Data: []byte(strings.Repeat("s", snapshotBytes))}}
			d.SetFull(true)
			requireEnds(t, func() {
				for range 3 {
					assert.Check(t, errors.Is(store.Save(snapshot, 1), ErrWriteFailed))
					assert.Check(t, errors.Is(store.Reopen(), ErrWriteFailed))
				}
				d.SetFull(false)
				assert.Check(t, store.Reopen())
				assert.Check(t, store.Save(snapshot, 1))
				store.Close()
			})
			state, _, err := OpenFolderReadOnly(d) // of two write-ahead logs
			assert.NilError(t, err)
			assert.Equal(t, state.Snapshot.Index, uint64(5))
			assert.Equal(t, len(state.Snapshot.Data), snapshotBytes)
			assert.Equal(t, len(state.Entries), 0)
		})
	}
}

// A store that can't be opened on a full disk is not corrupted, and is complete once there is room.
func TestFullDiskAtStart(t *testing.T) {
	d := disk.New()
	store := newStoreWithEntry(t, d)
	d.KillProcess()
	store.Close()
	d.SetFull(true)
	for range 3 {
		_, _, _, err := OpenFolder(d, Options{})
		assert.Assert(t, errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrCorrupted), "%v", err)
	}
	d.SetFull(false)
	store, state, empty, err := OpenFolder(d, Options{})
	assert.NilError(t, err)
	store.Close()
	assert.Assert(t, !empty)
	assert.Equal(t, state.Self, memberID)
	assert.Equal(t, len(state.Entries), 1)
}
