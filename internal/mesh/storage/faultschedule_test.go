package storage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
	"cranegrade/internal/testkit"
)

// expectedState is what a store should hold.
type expectedState struct {
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

func (e expectedState) lastIndex() uint64 { return e.snapshot.Index + uint64(len(e.entries)) }

func (e expectedState) afterSave(ready raft.Ready) expectedState {
	if ready.HardState != nil {
		e.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		e.snapshot, e.entries = *ready.Snapshot, nil
	}
	if len(ready.Entries) > 0 {
		kept := ready.Entries[0].Index - e.snapshot.Index - 1
		e.entries = append(e.entries[:kept:kept], ready.Entries...)
	}
	return e
}

func (e expectedState) afterCompact(snapshot raft.Snapshot) expectedState {
	e.entries = e.entries[snapshot.Index-e.snapshot.Index:]
	e.snapshot = snapshot
	return e
}

// describe returns the state as text, to compare.
func (e expectedState) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %d snapshot %d/%d %.20q\n", e.hardState.Term, e.hardState.Vote, e.snapshot.Index, e.snapshot.Term,
		e.snapshot.Data)
	for _, entry := range e.entries {
		fmt.Fprintf(&b, "%d/%d %d %.20q\n", entry.Index, entry.Term, len(entry.Data), entry.Data)
	}
	return b.String()
}

func expectedFrom(state raft.StoredState) expectedState {
	return expectedState{hardState: state.HardState, snapshot: state.Snapshot, entries: state.Entries}
}

// Bounds of a schedule.
const (
	runsPerSchedule       = 4  // of the store, each until a fault
	writesPerRun          = 12 // unless the fault comes before
	maxAccessesUntilFault = 60
	accessesPerFullChange = 8             // how seldom the disk becomes full, or has room again
	neverReached          = math.MaxInt32 // a number of accesses
)

// memberID is the id of the member whose store it is.
const memberID raft.ID = 7

// faultSchedule is one run of a store under faults, all by seed.
type faultSchedule struct {
	rng           *rand.Rand
	disk          *disk.Disk
	folder        Folder // the disk, or around it
	options       Options
	maxEntryBytes int
	store         *Store // nil while it is not open
	expected      expectedState
	initialized   bool
	beforeSave    func(store *Store, ready raft.Ready) // mutations change the store before a Save
	// accessesUntilFault and faultRNG, which says what a fault leaves, are used by whichever goroutine is at the disk, one at a time.
	accessesUntilFault atomic.Int32
	faultRNG           *rand.Rand
	killProcess        bool // the fault is the end of the process, and not a loss of power
	diskFills          bool // the disk is full at times
	diskFull           bool
	tearModes          []disk.TearMode // of each loss of power; those of the disk if there are none
}

func newFaultSchedule(seed uint64, options Options, maxEntryBytes int) *faultSchedule {
	s := &faultSchedule{
		rng: rand.New(rand.NewPCG(seed, seed)), faultRNG: rand.New(rand.NewPCG(seed, 0)), disk: disk.New(), options: options,
		maxEntryBytes: maxEntryBytes,
	}
	s.accessesUntilFault.Store(neverReached)
	s.folder = s.disk
	s.disk.OnAccess(func(disk.Access) { s.onAccess() })
	return s
}

// onAccess injects the fault at the access that it was drawn for, of whichever goroutine.
func (s *faultSchedule) onAccess() {
	if s.accessesUntilFault.Add(-1) == -1 {
		s.injectFault()
	}
	if s.diskFills && s.faultRNG.IntN(accessesPerFullChange) == 0 {
		s.diskFull = !s.diskFull
		s.disk.SetFull(s.diskFull)
	}
}

// injectFault ends the process, or takes the power from the disk.
func (s *faultSchedule) injectFault() {
	if s.killProcess {
		s.disk.KillProcess()
		return
	}
	s.disk.LosePower(s.faultRNG, s.tearModes...)
}

// run opens the store and writes until a fault, several times. The error is the first broken promise.
func (s *faultSchedule) run() error {
	for range runsPerSchedule {
		if err := s.openAndCompare(); err != nil {
			return err
		}
		s.accessesUntilFault.Store(int32(s.rng.IntN(maxAccessesUntilFault)))
		if err := s.writeUntilFault(writesPerRun); err != nil {
			return err
		}
		s.closeAfterFault()
	}
	return s.openAndCompare()
}

// closeAfterFault closes the store, after a fault if none has come so far.
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
	store, state, empty, err := s.openWhenPossible()
	if err != nil {
		return errors.Annotate(err, "open")
	}
	s.store = store
	if empty {
		if s.initialized {
			return errors.New("the store is empty")
		}
		s.initialize()
		return nil
	}
	if got, want := expectedFrom(state).describe(), s.expected.describe(); got != want {
		return errors.Errorf("the store holds\n%s\nin place of\n%s", got, want)
	}
	return nil
}

// initialize makes the empty store a member's, once there is room.
func (s *faultSchedule) initialize() {
	snapshot := raft.BootstrapSnapshot([]raft.Member{{ID: memberID, Addr: "a"}})
	for s.store.Initialize(memberID, snapshot) != nil {
		_ = s.store.Reopen()
	}
	s.initialized, s.expected = true, expectedState{snapshot: snapshot}
}

// openWhenPossible opens the store, once there is room. One that was never initialized may be corrupted: it is discarded, as a
// member does.
func (s *faultSchedule) openWhenPossible() (store *Store, state raft.StoredState, empty bool, err error) {
	for {
		store, state, empty, err = OpenFolder(s.folder, s.options)
		switch {
		case errors.Is(err, ErrUnavailable):
		case errors.Is(err, ErrCorrupted) && !s.initialized:
			_ = s.folder.Discard()
		default:
			return store, state, empty, err
		}
	}
}

// writeUntilFault saves and compacts until the fault. The store may hold the batch that was in flight then or not: it is opened to
// find out.
func (s *faultSchedule) writeUntilFault(n int) error {
	for range n {
		next, write := s.drawWrite()
		err := write()
		for err != nil && s.diskFills && s.accessesUntilFault.Load() >= 0 { // as a member does
			if err = s.store.Reopen(); err == nil {
				err = write()
			}
		}
		if err != nil {
			return s.resolveInterruptedWrite(next)
		}
		s.expected = next
	}
	return nil
}

// drawWrite draws a write and returns the state after it.
func (s *faultSchedule) drawWrite() (next expectedState, write func() error) {
	if len(s.expected.entries) > 4 && s.rng.IntN(6) == 0 {
		return s.drawCompact()
	}
	return s.drawSave()
}

func (s *faultSchedule) drawCompact() (next expectedState, write func() error) {
	index := s.expected.snapshot.Index + 1 + s.rng.Uint64N(uint64(len(s.expected.entries)))
	snapshot := raft.Snapshot{Index: index, Term: s.expected.hardState.Term, ConfigurationIndex: 1, Data: s.randomText()}
	oldestKept := s.expected.snapshot.Index
	return s.expected.afterCompact(snapshot), func() error { return s.store.Compact(snapshot, oldestKept) }
}

func (s *faultSchedule) drawSave() (next expectedState, write func() error) {
	ready := raft.Ready{}
	if s.rng.IntN(3) == 0 {
		ready.HardState = &raft.HardState{Term: s.expected.hardState.Term + 1, Vote: raft.ID(s.rng.Uint64N(5))}
	}
	term := s.expected.hardState.Term + 1
	last := s.expected.lastIndex()
	if s.rng.IntN(12) == 0 {
		last += 10
		ready.Snapshot = &raft.Snapshot{Index: last, Term: term, ConfigurationIndex: 1, Data: s.randomText()}
	}
	first := last + 1
	if ready.Snapshot == nil && len(s.expected.entries) > 1 && s.rng.IntN(5) == 0 {
		first -= 1 + s.rng.Uint64N(uint64(len(s.expected.entries))) // another leader replaces some entries
	}
	for n := range s.rng.Uint64N(4) {
		ready.Entries = append(ready.Entries, raft.Entry{Index: first + n, Term: term, Kind: raft.EntryCommand, Data: s.randomText()})
	}
	lastStored := s.expected.lastIndex()
	return s.expected.afterSave(ready), func() error {
		if s.beforeSave != nil {
			s.beforeSave(s.store, ready)
		}
		return s.store.Save(ready, lastStored)
	}
}

func (s *faultSchedule) randomText() []byte {
	return []byte(strings.Repeat(string(rune('a'+s.rng.IntN(26))), 1+s.rng.IntN(s.maxEntryBytes)))
}

// resolveInterruptedWrite opens the store after a write whose end is not known: it holds the complete batch, or nothing of it.
func (s *faultSchedule) resolveInterruptedWrite(next expectedState) error {
	s.store.Close()
	s.store = nil
	s.accessesUntilFault.Store(neverReached)
	store, state, _, err := s.openWhenPossible()
	if err != nil {
		return errors.Annotate(err, "open after a fault")
	}
	store.Close()
	switch got := expectedFrom(state).describe(); got {
	case s.expected.describe():
	case next.describe():
		s.expected = next
	default:
		return errors.Errorf("the store holds\n%s\nneither\n%s\nnor\n%s", got, s.expected.describe(), next.describe())
	}
	return nil
}

// runSchedules plays schedules and counts those in which a promise was broken. first is the error of the first of them. change
// may be nil.
func runSchedules(schedules uint64, change func(*faultSchedule), options Options, maxEntryBytes int) (broken int, first error) {
	failures := make([]error, schedules)
	testkit.ForSeeds(0, schedules, func(seed uint64) {
		s := newFaultSchedule(seed, options, maxEntryBytes)
		if change != nil {
			change(s)
		}
		failures[seed] = s.run()
		s.closeAfterFault()
	})
	for seed, err := range failures {
		if err == nil {
			continue
		}
		broken++
		if first == nil {
			first = errors.Annotatef(err, "seed %d", seed)
		}
	}
	return broken, first
}
