package storage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
)

// expectedState is what a store should hold: after a loss of power either acknowledged, or with the one batch that was under way.
type expectedState struct {
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

func (m expectedState) lastIndex() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

func (m expectedState) afterSave(r raft.Ready) expectedState {
	if r.HardState != nil {
		m.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		m.snapshot, m.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - m.snapshot.Index - 1
		m.entries = append(m.entries[:keep:keep], r.Entries...)
	}
	return m
}

func (m expectedState) afterCompact(s raft.Snapshot) expectedState {
	m.entries = m.entries[s.Index-m.snapshot.Index:]
	m.snapshot = s
	return m
}

// describe is all of a model as text, to compare.
func (m expectedState) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %d snapshot %d/%d %.20q\n", m.hardState.Term, m.hardState.Vote, m.snapshot.Index, m.snapshot.Term, m.snapshot.Data)
	for _, e := range m.entries {
		fmt.Fprintf(&b, "%d/%d %d %.20q\n", e.Index, e.Term, len(e.Data), e.Data)
	}
	return b.String()
}

func expectedFrom(h raft.StoredState) expectedState {
	return expectedState{hardState: h.HardState, snapshot: h.Snapshot, entries: h.Entries}
}

// faultSchedule is one run of a store under faults, all by seed.
type faultSchedule struct {
	rng           *rand.Rand
	disk          *disk.Disk
	folder        Folder // the disk, or around it
	options       Options
	maxEntryBytes int // the longest entry, in bytes
	store         *Store
	model         expectedState
	initialized   bool
	beforeSave    func(v *Store, r raft.Ready) // planted errors change the vault before a Save
	// crash is how many accesses there are until the power goes; crashRNG says what it leaves. Both are used by whichever
	// goroutine is at the disk then, one at a time.
	accessesUntilFault atomic.Int32
	faultRNG           *rand.Rand
	killProcess        bool // processes are killed, and the power stays
	diskFills          bool // the disk is full at times
	diskFull           bool
	tearModes          []disk.TearMode // of each loss of power; none: the disk's own
}

func newFaultSchedule(seed uint64, how Options, long int) *faultSchedule {
	s := &faultSchedule{rng: rand.New(rand.NewPCG(seed, seed)), faultRNG: rand.New(rand.NewPCG(seed, 0)), disk: disk.New(), options: how, maxEntryBytes: long}
	s.accessesUntilFault.Store(neverReached)
	s.folder = s.disk
	s.disk.OnAccess(func(disk.Access) { s.onAccess() })
	return s
}

// onAccess takes the power at the access that it was drawn for, of whichever goroutine.
func (s *faultSchedule) onAccess() {
	if s.accessesUntilFault.Add(-1) == -1 {
		s.injectFault()
	}
	if s.diskFills && s.faultRNG.IntN(accessesPerFullChange) == 0 {
		s.diskFull = !s.diskFull
		s.disk.SetFull(s.diskFull)
	}
}

// injectFault ends the process, and takes the power from the disk or not.
func (s *faultSchedule) injectFault() {
	if s.killProcess {
		s.disk.KillProcess()
		return
	}
	s.disk.LosePower(s.faultRNG, s.tearModes...)
}

// accessesPerFullChange is how seldom the disk becomes full, or has room again, with an access.
const accessesPerFullChange = 8

// neverReached is a number of accesses that is not reached.
const neverReached = math.MaxInt32

// run opens the store, writes, and takes the power from it, several times. It returns what the first broken promise was.
func (s *faultSchedule) run() error {
	for range 4 {
		if err := s.openAndCompare(); err != nil {
			return err
		}
		s.accessesUntilFault.Store(int32(s.rng.IntN(60)))
		if err := s.writeUntilFault(12); err != nil {
			return err
		}
		s.closeAfterFault()
	}
	return s.openAndCompare()
}

func (s *faultSchedule) closeAfterFault() {
	if s.store != nil {
		if s.accessesUntilFault.Swap(neverReached) >= 0 {
			s.injectFault()
		}
		s.store.Close()
		s.store = nil
	}
	s.accessesUntilFault.Store(neverReached)
}

// openAndCompare opens the store and compares what it holds with what was acknowledged.
func (s *faultSchedule) openAndCompare() error {
	v, held, empty, err := s.openWhenPossible()
	if err != nil {
		return errors.Annotate(err, "open")
	}
	s.store = v
	if empty {
		if s.initialized {
			return errors.New("the store is empty")
		}
		for v.Initialize(7, raft.BootstrapSnapshot([]raft.Member{{ID: 7, Addr: "a"}})) != nil { // the disk is full
			_ = v.Reopen()
		}
		s.initialized, s.model = true, expectedState{snapshot: raft.BootstrapSnapshot([]raft.Member{{ID: 7, Addr: "a"}})}
		return nil
	}
	if got, want := expectedFrom(held).describe(), s.model.describe(); got != want {
		return errors.Errorf("held\n%s\nin place of\n%s", got, want)
	}
	return nil
}

// openWhenPossible opens the store, once there is room. One that was never begun may be damaged: it is discarded, as a register does.
func (s *faultSchedule) openWhenPossible() (v *Store, held raft.StoredState, empty bool, err error) {
	for {
		v, held, empty, err = OpenFolder(s.folder, s.options)
		switch {
		case errors.Is(err, ErrUnavailable):
		case errors.Is(err, ErrCorrupted) && !s.initialized:
			_ = s.folder.Discard()
		default:
			return v, held, empty, err
		}
	}
}

// writeUntilFault saves and compacts until the power goes. The batch that was under way then may be held or not: the store is asked
// which it is.
func (s *faultSchedule) writeUntilFault(n int) error {
	for range n {
		next, write := s.drawWrite()
		err := write()
		for err != nil && s.diskFills && s.accessesUntilFault.Load() >= 0 { // as a register does
			if err = s.store.Reopen(); err == nil {
				err = write()
			}
		}
		if err != nil {
			return s.resolveInterruptedWrite(next)
		}
		s.model = next
	}
	return nil
}

// drawWrite is a write and the model after it.
func (s *faultSchedule) drawWrite() (expectedState, func() error) {
	if len(s.model.entries) > 4 && s.rng.IntN(6) == 0 {
		at := s.model.snapshot.Index + 1 + s.rng.Uint64N(uint64(len(s.model.entries)))
		snapshot := raft.Snapshot{Index: at, Term: s.model.hardState.Term, ConfigurationIndex: 1, Data: s.randomText()}
		from := s.model.snapshot.Index
		return s.model.afterCompact(snapshot), func() error { return s.store.Compact(snapshot, from) }
	}
	r := raft.Ready{}
	if s.rng.IntN(3) == 0 {
		r.HardState = &raft.HardState{Term: s.model.hardState.Term + 1, Vote: raft.ID(s.rng.Uint64N(5))}
	}
	term := s.model.hardState.Term + 1
	last := s.model.lastIndex()
	if s.rng.IntN(12) == 0 {
		last += 10
		r.Snapshot = &raft.Snapshot{Index: last, Term: term, ConfigurationIndex: 1, Data: s.randomText()}
	}
	first := last + 1
	if r.Snapshot == nil && len(s.model.entries) > 1 && s.rng.IntN(5) == 0 {
		first -= 1 + s.rng.Uint64N(uint64(len(s.model.entries))) // of another leader
	}
	for n := range s.rng.Uint64N(4) {
		r.Entries = append(r.Entries, raft.Entry{Index: first + n, Term: term, Kind: raft.EntryCommand, Data: s.randomText()})
	}
	before := s.model.lastIndex()
	return s.model.afterSave(r), func() error {
		if s.beforeSave != nil {
			s.beforeSave(s.store, r)
		}
		return s.store.Save(r, before)
	}
}

func (s *faultSchedule) randomText() []byte {
	return []byte(strings.Repeat(string(rune('a'+s.rng.IntN(26))), 1+s.rng.IntN(s.maxEntryBytes)))
}

// resolveInterruptedWrite opens the store after a write whose end is not known: it holds the batch whole, or nothing of it.
func (s *faultSchedule) resolveInterruptedWrite(next expectedState) error {
	s.store.Close()
	s.store = nil
	s.accessesUntilFault.Store(neverReached)
	v, held, _, err := s.openWhenPossible()
	if err != nil {
		return errors.Annotate(err, "open after a loss of power")
	}
	v.Close()
	switch got := expectedFrom(held).describe(); got {
	case s.model.describe():
	case next.describe():
		s.model = next
	default:
		return errors.Errorf("held\n%s\nneither\n%s\nnor\n%s", got, s.model.describe(), next.describe())
	}
	return nil
}

// runSchedules plays schedules and counts those in which a promise was broken; first is the first such seed's.
func runSchedules(schedules uint64, plant func(*faultSchedule), how Options, long int) (broken int, first error) {
	for seed := range schedules {
		s := newFaultSchedule(seed, how, long)
		if plant != nil {
			plant(s)
		}
		err := s.run()
		s.closeAfterFault()
		if err != nil {
			broken++
			if first == nil {
				first = errors.Annotatef(err, "seed %d", seed)
			}
		}
	}
	return broken, first
}

// After each loss of power, between any two accesses to the disk, everything that Save and Compact acknowledged is read
// back, and of the write that was under way either all or nothing.
func TestPowerLoss(t *testing.T) {
	for _, c := range []struct {
		name      string
		schedules uint64
		how       Options
		long      int // the longest entry, in bytes
	}{
		{"small entries", 300, simulationOptions, 100},
		{"entries over blocks", 100, Options{Foreground: true, WriteBufferBytes: 256 << 10}, 40_000},
		{"tables and merges in the background", 60, Options{}, 200_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken, first := runSchedules(c.schedules, nil, c.how, c.long)
			assert.Equal(t, broken, 0, "of %d schedules; %v", c.schedules, first)
		})
	}
}

// A process that is killed between any two accesses loses nothing, and a disk that is full at times loses nothing either, with
// losses of power between.
func TestProcessKilledAndDiskFull(t *testing.T) {
	const schedules = 30
	for name, plant := range map[string]func(*faultSchedule){
		"killed":                      func(s *faultSchedule) { s.killProcess = true },
		"full at times":               func(s *faultSchedule) { s.diskFills = true },
		"full at times, while killed": func(s *faultSchedule) { s.diskFills, s.killProcess = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			broken, first := runSchedules(schedules, plant, Options{Foreground: true, WriteBufferBytes: 128 << 10}, 20_000)
			assert.Equal(t, broken, 0, "of %d schedules; %v", schedules, first)
		})
	}
}

// noSyncFolder is a folder whose sync does nothing.
type noSyncFolder struct{ *disk.Disk }

func (noSyncFolder) Sync() error { return nil }

// Each planted error is found.
func TestPowerLossFindsMutations(t *testing.T) {
	const schedules = 100
	for _, c := range []struct {
		name  string
		plant func(*faultSchedule)
		how   Options
		long  int
	}{
		{"no sync at all", func(s *faultSchedule) {
			s.beforeSave = func(v *Store, _ raft.Ready) { v.writeOptions.Sync = false }
		}, simulationOptions, 100},
		{"a vote not synced", func(s *faultSchedule) {
			s.beforeSave = func(v *Store, r raft.Ready) { v.writeOptions.Sync = r.HardState == nil }
		}, simulationOptions, 100},
		{"a disk that only says that it synced", func(s *faultSchedule) { s.disk.SetIgnoreSyncs(true) }, simulationOptions, 100},
		{"the name of a new journal not synced", func(s *faultSchedule) { s.folder = noSyncFolder{s.disk} }, Options{}, 200_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken, first := runSchedules(schedules, c.plant, c.how, c.long)
			t.Logf("found in %d of %d schedules; %v", broken, schedules, first)
			assert.Assert(t, broken > 0)
		})
	}
}

// The same seed makes the same accesses in the same order and leaves the same bytes, at every one of them.
func TestSimulatedStoreIsDeterministic(t *testing.T) {
	run := func(seed uint64) (trace []uint64) {
		s := newFaultSchedule(seed, simulationOptions, 3_000)
		s.disk.OnAccess(func(a disk.Access) {
			s.onAccess()
			if a.Kind != disk.AccessRead {
				trace = append(trace, s.disk.Fingerprint())
			}
		})
		assert.NilError(t, s.run())
		s.closeAfterFault()
		return append(trace, s.disk.Fingerprint())
	}
	for seed := range uint64(8) {
		first := run(seed)
		assert.Assert(t, len(first) > 50)
		assert.DeepEqual(t, first, run(seed))
	}
}

// A write that was under way when the power went, and of which sectors came in any order, leaves what was acknowledged.
func TestPowerLossWithLostSectors(t *testing.T) {
	const schedules = 100
	for _, long := range []int{300, 6_000, 60_000} {
		broken, first := runSchedules(schedules, func(s *faultSchedule) { s.tearModes = []disk.TearMode{disk.SectorsLost} },
			Options{Foreground: true, WriteBufferBytes: 256 << 10}, long)
		assert.Check(t, broken == 0, "entries of %d: %d of %d schedules; %v", long, broken, schedules, first)
	}
}

// A write that was under way when the power went, and of which some bits were turned on the way, is told as damage, or what is
// held is whole: with the write or without it.
func TestPowerLossWithFlippedBits(t *testing.T) {
	const schedules = 200
	var told int
	for seed := range uint64(schedules) {
		s := newFaultSchedule(seed, simulationOptions, 3_000)
		s.tearModes = []disk.TearMode{disk.BitsFlipped}
		err := s.run()
		s.closeAfterFault()
		if errors.Is(err, ErrCorrupted) {
			told++
			continue
		}
		assert.NilError(t, err, "seed %d", seed)
	}
	t.Logf("told in %d of %d", told, schedules)
	assert.Assert(t, told > 0)
}

// A bit that is turned anywhere in the files is told as damage, or changes nothing of what is held.
func TestFlippedBits(t *testing.T) {
	const schedules = 400
	var told int
	for seed := range uint64(schedules) {
		s := newFaultSchedule(seed, simulationOptions, 3_000)
		assert.NilError(t, s.run())
		s.store.Close()
		name, at, _ := s.disk.FlipBit(s.rng)
		v, held, empty, err := OpenFolder(s.disk, simulationOptions)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrCorrupted) || errors.Is(err, ErrFormatVersion), "%v", err)
			told++
			continue
		}
		v.Close()
		assert.Assert(t, !empty && expectedFrom(held).describe() == s.model.describe(),
			"seed %d: %s turned at byte %d: held\n%s\nin place of\n%s", seed, name, at, expectedFrom(held).describe(), s.model.describe())
	}
	t.Logf("told in %d of %d", told, schedules)
	assert.Assert(t, told > schedules/2)
}

// requireEnds fails the test if f does not end.
func requireEnds(t *testing.T, f func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() { defer close(ended); f() }()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("hangs")
	}
}

// A disk that was full refuses writes, also of a snapshot that is larger than the write buffer, and takes them once there is
// room and the store was opened again.
func TestFullDisk(t *testing.T) {
	for _, long := range []int{100, 3 * DefaultWriteBufferBytes} {
		t.Run(fmt.Sprint(long), func(t *testing.T) {
			d := disk.New()
			v, _, _, err := OpenFolder(d, Options{})
			assert.NilError(t, err)
			assert.NilError(t, v.Initialize(7, raft.Snapshot{}))
			assert.NilError(t, v.Save(readyWith(raft.HardState{Term: 1}, newEntry(1, 1, "x")), 0))
			snapshot := raft.Ready{Snapshot: &raft.Snapshot{Index: 5, Term: 1, Data: []byte(strings.Repeat("s", long))}}
			d.SetFull(true)
			requireEnds(t, func() {
				for range 3 {
					assert.Check(t, errors.Is(v.Save(snapshot, 1), ErrWriteFailed))
					assert.Check(t, errors.Is(v.Reopen(), ErrWriteFailed))
				}
				d.SetFull(false)
				assert.Check(t, v.Reopen())
				assert.Check(t, v.Save(snapshot, 1))
				v.Close()
			})
			held, _, err := OpenFolderReadOnly(d) // of two journals
			assert.NilError(t, err)
			assert.Assert(t, held.Snapshot.Index == 5 && len(held.Snapshot.Data) == long && len(held.Entries) == 0)
		})
	}
}

// A store that can't be opened on a full disk is not damaged, and is whole once there is room.
func TestFullDiskAtStart(t *testing.T) {
	d := disk.New()
	v, _, _, err := OpenFolder(d, Options{})
	assert.NilError(t, err)
	assert.NilError(t, v.Initialize(7, raft.Snapshot{}))
	assert.NilError(t, v.Save(readyWith(raft.HardState{Term: 1}, newEntry(1, 1, "x")), 0))
	d.KillProcess()
	v.Close()
	d.SetFull(true)
	for range 3 {
		_, _, _, err = OpenFolder(d, Options{})
		assert.Assert(t, errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrCorrupted), "%v", err)
	}
	d.SetFull(false)
	v, held, empty, err := OpenFolder(d, Options{})
	assert.NilError(t, err)
	v.Close()
	assert.Assert(t, !empty && held.Self == 7 && len(held.Entries) == 1)
}
