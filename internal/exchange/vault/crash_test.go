package vault

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

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/mesh/sim/disk"
)

// model is what a store should hold: after a loss of power either acknowledged, or with the one batch that was under way.
type model struct {
	hard     core.Hard
	snapshot core.Snapshot
	log      []core.Entry
}

func (m model) last() uint64 { return m.snapshot.Index + uint64(len(m.log)) }

func (m model) saved(r core.Ready) model {
	if r.Hard != nil {
		m.hard = *r.Hard
	}
	if r.Snapshot != nil {
		m.snapshot, m.log = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - m.snapshot.Index - 1
		m.log = append(m.log[:keep:keep], r.Entries...)
	}
	return m
}

func (m model) compacted(s core.Snapshot) model {
	m.log = m.log[s.Index-m.snapshot.Index:]
	m.snapshot = s
	return m
}

// describe is all of a model as text, to compare.
func (m model) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %d snapshot %d/%d %.20q\n", m.hard.Term, m.hard.Vote, m.snapshot.Index, m.snapshot.Term, m.snapshot.Data)
	for _, e := range m.log {
		fmt.Fprintf(&b, "%d/%d %d %.20q\n", e.Index, e.Term, len(e.Data), e.Data)
	}
	return b.String()
}

func modelOf(h Held) model { return model{hard: h.Hard, snapshot: h.Snapshot, log: h.Log} }

// swarm is one run of a store under faults, all by seed.
type swarm struct {
	rng    *rand.Rand
	disk   *disk.Disk
	folder Folder // the disk, or around it
	how    Options
	long   int // the longest entry, in bytes
	vault  *Vault
	model  model
	begun  bool
	before func(v *Vault, r core.Ready) // planted errors change the vault before a Save
	// crash is how many accesses there are until the power goes; crashRNG says what it leaves. Both are used by whichever
	// goroutine is at the disk then, one at a time.
	crash    atomic.Int32
	crashRNG *rand.Rand
	kill     bool // processes are killed, and the power stays
	fills    bool // the disk is full at times
	full     bool
	tears    []disk.Tear // of each loss of power; none: the disk's own
}

func newSwarm(seed uint64, how Options, long int) *swarm {
	s := &swarm{rng: rand.New(rand.NewPCG(seed, seed)), crashRNG: rand.New(rand.NewPCG(seed, 0)), disk: disk.New(), how: how, long: long}
	s.crash.Store(never)
	s.folder = s.disk
	s.disk.OnAccess(func(disk.Access) { s.access() })
	return s
}

// access takes the power at the access that it was drawn for, of whichever goroutine.
func (s *swarm) access() {
	if s.crash.Add(-1) == -1 {
		s.end()
	}
	if s.fills && s.crashRNG.IntN(fillsOneIn) == 0 {
		s.full = !s.full
		s.disk.SetFull(s.full)
	}
}

// end ends the process, and takes the power from the disk or not.
func (s *swarm) end() {
	if s.kill {
		s.disk.KillProcess()
		return
	}
	s.disk.Crash(s.crashRNG, s.tears...)
}

// fillsOneIn is how seldom the disk becomes full, or has room again, with an access.
const fillsOneIn = 8

// never is a number of accesses that is not reached.
const never = math.MaxInt32

// run opens the store, writes, and takes the power from it, several times. It returns what the first broken promise was.
func (s *swarm) run() error {
	for range 4 {
		if err := s.open(); err != nil {
			return err
		}
		s.crash.Store(int32(s.rng.IntN(60)))
		if err := s.write(12); err != nil {
			return err
		}
		s.powerLoss()
	}
	return s.open()
}

func (s *swarm) powerLoss() {
	if s.vault != nil {
		if s.crash.Swap(never) >= 0 {
			s.end()
		}
		s.vault.Close()
		s.vault = nil
	}
	s.crash.Store(never)
}

// open opens the store and compares what it holds with what was acknowledged.
func (s *swarm) open() error {
	v, held, empty, err := s.openIn()
	if err != nil {
		return errors.Annotate(err, "open")
	}
	s.vault = v
	if empty {
		if s.begun {
			return errors.New("the store is empty")
		}
		for v.Begin(7, core.Found([]core.Member{{ID: 7, Addr: "a"}})) != nil { // the disk is full
			_ = v.Reopen()
		}
		s.begun, s.model = true, model{snapshot: core.Found([]core.Member{{ID: 7, Addr: "a"}})}
		return nil
	}
	if got, want := modelOf(held).describe(), s.model.describe(); got != want {
		return errors.Errorf("held\n%s\nin place of\n%s", got, want)
	}
	return nil
}

// openIn opens the store, once there is room. One that was never begun may be damaged: it is discarded, as a register does.
func (s *swarm) openIn() (v *Vault, held Held, empty bool, err error) {
	for {
		v, held, empty, err = OpenIn(s.folder, s.how)
		switch {
		case errors.Is(err, ErrUnavailable):
		case errors.Is(err, ErrDamaged) && !s.begun:
			_ = s.folder.Discard()
		default:
			return v, held, empty, err
		}
	}
}

// write saves and compacts until the power goes. The batch that was under way then may be held or not: the store is asked
// which it is.
func (s *swarm) write(n int) error {
	for range n {
		next, write := s.draw()
		err := write()
		for err != nil && s.fills && s.crash.Load() >= 0 { // as a register does
			if err = s.vault.Reopen(); err == nil {
				err = write()
			}
		}
		if err != nil {
			return s.resolve(next)
		}
		s.model = next
	}
	return nil
}

// draw is a write and the model after it.
func (s *swarm) draw() (model, func() error) {
	if len(s.model.log) > 4 && s.rng.IntN(6) == 0 {
		at := s.model.snapshot.Index + 1 + s.rng.Uint64N(uint64(len(s.model.log)))
		snapshot := core.Snapshot{Index: at, Term: s.model.hard.Term, View: 1, Data: s.text()}
		from := s.model.snapshot.Index
		return s.model.compacted(snapshot), func() error { return s.vault.Compact(snapshot, from) }
	}
	r := core.Ready{}
	if s.rng.IntN(3) == 0 {
		r.Hard = &core.Hard{Term: s.model.hard.Term + 1, Vote: core.ID(s.rng.Uint64N(5))}
	}
	term := s.model.hard.Term + 1
	last := s.model.last()
	if s.rng.IntN(12) == 0 {
		last += 10
		r.Snapshot = &core.Snapshot{Index: last, Term: term, View: 1, Data: s.text()}
	}
	first := last + 1
	if r.Snapshot == nil && len(s.model.log) > 1 && s.rng.IntN(5) == 0 {
		first -= 1 + s.rng.Uint64N(uint64(len(s.model.log))) // of another leader
	}
	for n := range s.rng.Uint64N(4) {
		r.Entries = append(r.Entries, core.Entry{Index: first + n, Term: term, Kind: core.Change, Data: s.text()})
	}
	before := s.model.last()
	return s.model.saved(r), func() error {
		if s.before != nil {
			s.before(s.vault, r)
		}
		return s.vault.Save(r, before)
	}
}

func (s *swarm) text() []byte {
	return []byte(strings.Repeat(string(rune('a'+s.rng.IntN(26))), 1+s.rng.IntN(s.long)))
}

// resolve opens the store after a write whose end is not known: it holds the batch whole, or nothing of it.
func (s *swarm) resolve(next model) error {
	s.vault.Close()
	s.vault = nil
	s.crash.Store(never)
	v, held, _, err := s.openIn()
	if err != nil {
		return errors.Annotate(err, "open after a loss of power")
	}
	v.Close()
	switch got := modelOf(held).describe(); got {
	case s.model.describe():
	case next.describe():
		s.model = next
	default:
		return errors.Errorf("held\n%s\nneither\n%s\nnor\n%s", got, s.model.describe(), next.describe())
	}
	return nil
}

// play plays schedules and counts those in which a promise was broken; first is the first such seed's.
func play(schedules uint64, plant func(*swarm), how Options, long int) (broken int, first error) {
	for seed := range schedules {
		s := newSwarm(seed, how, long)
		if plant != nil {
			plant(s)
		}
		err := s.run()
		s.powerLoss()
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
		{"small entries", 300, simulated, 100},
		{"entries over blocks", 100, Options{Foreground: true, WriteBuffer: 256 << 10}, 40_000},
		{"tables and merges in the background", 60, Options{}, 200_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken, first := play(c.schedules, nil, c.how, c.long)
			assert.Equal(t, broken, 0, "of %d schedules; %v", c.schedules, first)
		})
	}
}

// A process that is killed between any two accesses loses nothing, and a disk that is full at times loses nothing either, with
// losses of power between.
func TestKilledAndFull(t *testing.T) {
	const schedules = 30
	for name, plant := range map[string]func(*swarm){
		"killed":                      func(s *swarm) { s.kill = true },
		"full at times":               func(s *swarm) { s.fills = true },
		"full at times, while killed": func(s *swarm) { s.fills, s.kill = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			broken, first := play(schedules, plant, Options{Foreground: true, WriteBuffer: 128 << 10}, 20_000)
			assert.Equal(t, broken, 0, "of %d schedules; %v", schedules, first)
		})
	}
}

// unsyncedNames is a folder whose sync does nothing.
type unsyncedNames struct{ *disk.Disk }

func (unsyncedNames) Sync() error { return nil }

// Each planted error is found.
func TestPowerLossFindsPlanted(t *testing.T) {
	const schedules = 100
	for _, c := range []struct {
		name  string
		plant func(*swarm)
		how   Options
		long  int
	}{
		{"no sync at all", func(s *swarm) {
			s.before = func(v *Vault, _ core.Ready) { v.sync.Sync = false }
		}, simulated, 100},
		{"a vote not synced", func(s *swarm) {
			s.before = func(v *Vault, r core.Ready) { v.sync.Sync = r.Hard == nil }
		}, simulated, 100},
		{"a disk that only says that it synced", func(s *swarm) { s.disk.SetSyncless(true) }, simulated, 100},
		{"the name of a new journal not synced", func(s *swarm) { s.folder = unsyncedNames{s.disk} }, Options{}, 200_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken, first := play(schedules, c.plant, c.how, c.long)
			t.Logf("found in %d of %d schedules; %v", broken, schedules, first)
			assert.Assert(t, broken > 0)
		})
	}
}

// The same seed makes the same accesses in the same order and leaves the same bytes, at every one of them.
func TestSimulatedStoreIsTheSameAgain(t *testing.T) {
	run := func(seed uint64) (trace []uint64) {
		s := newSwarm(seed, simulated, 3_000)
		s.disk.OnAccess(func(a disk.Access) {
			s.access()
			if a.Kind != disk.AccessRead {
				trace = append(trace, s.disk.Fingerprint())
			}
		})
		assert.NilError(t, s.run())
		s.powerLoss()
		return append(trace, s.disk.Fingerprint())
	}
	for seed := range uint64(8) {
		first := run(seed)
		assert.Assert(t, len(first) > 50)
		assert.DeepEqual(t, first, run(seed))
	}
}

// A write that was under way when the power went, and of which sectors came in any order, leaves what was acknowledged.
func TestHolesInLossOfPower(t *testing.T) {
	const schedules = 100
	for _, long := range []int{300, 6_000, 60_000} {
		broken, first := play(schedules, func(s *swarm) { s.tears = []disk.Tear{disk.Holed} },
			Options{Foreground: true, WriteBuffer: 256 << 10}, long)
		assert.Check(t, broken == 0, "entries of %d: %d of %d schedules; %v", long, broken, schedules, first)
	}
}

// A write that was under way when the power went, and of which some bits were turned on the way, is told as damage, or what is
// held is whole: with the write or without it.
func TestTurnedInLossOfPower(t *testing.T) {
	const schedules = 200
	var told int
	for seed := range uint64(schedules) {
		s := newSwarm(seed, simulated, 3_000)
		s.tears = []disk.Tear{disk.Flipped}
		err := s.run()
		s.powerLoss()
		if errors.Is(err, ErrDamaged) {
			told++
			continue
		}
		assert.NilError(t, err, "seed %d", seed)
	}
	t.Logf("told in %d of %d", told, schedules)
	assert.Assert(t, told > 0)
}

// A bit that is turned anywhere in the files is told as damage, or changes nothing of what is held.
func TestTurnedBits(t *testing.T) {
	const schedules = 400
	var told int
	for seed := range uint64(schedules) {
		s := newSwarm(seed, simulated, 3_000)
		assert.NilError(t, s.run())
		s.vault.Close()
		name, at, _ := s.disk.Flip(s.rng)
		v, held, empty, err := OpenIn(s.disk, simulated)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrDamaged) || errors.Is(err, ErrFormat), "%v", err)
			told++
			continue
		}
		v.Close()
		assert.Assert(t, !empty && modelOf(held).describe() == s.model.describe(),
			"seed %d: %s turned at byte %d: held\n%s\nin place of\n%s", seed, name, at, modelOf(held).describe(), s.model.describe())
	}
	t.Logf("told in %d of %d", told, schedules)
	assert.Assert(t, told > schedules/2)
}

// inTime fails the test if f does not end.
func inTime(t *testing.T, f func()) {
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
	for _, long := range []int{100, 3 * DefaultWriteBuffer} {
		t.Run(fmt.Sprint(long), func(t *testing.T) {
			d := disk.New()
			v, _, _, err := OpenIn(d, Options{})
			assert.NilError(t, err)
			assert.NilError(t, v.Begin(7, core.Snapshot{}))
			assert.NilError(t, v.Save(ready(core.Hard{Term: 1}, entry(1, 1, "x")), 0))
			snapshot := core.Ready{Snapshot: &core.Snapshot{Index: 5, Term: 1, Data: []byte(strings.Repeat("s", long))}}
			d.SetFull(true)
			inTime(t, func() {
				for range 3 {
					assert.Check(t, errors.Is(v.Save(snapshot, 1), ErrWrite))
					assert.Check(t, errors.Is(v.Reopen(), ErrWrite))
				}
				d.SetFull(false)
				assert.Check(t, v.Reopen())
				assert.Check(t, v.Save(snapshot, 1))
				v.Close()
			})
			held, _, err := OpenReadOnlyIn(d) // of two journals
			assert.NilError(t, err)
			assert.Assert(t, held.Snapshot.Index == 5 && len(held.Snapshot.Data) == long && len(held.Log) == 0)
		})
	}
}

// A store that can't be opened on a full disk is not damaged, and is whole once there is room.
func TestFullDiskAtStart(t *testing.T) {
	d := disk.New()
	v, _, _, err := OpenIn(d, Options{})
	assert.NilError(t, err)
	assert.NilError(t, v.Begin(7, core.Snapshot{}))
	assert.NilError(t, v.Save(ready(core.Hard{Term: 1}, entry(1, 1, "x")), 0))
	d.KillProcess()
	v.Close()
	d.SetFull(true)
	for range 3 {
		_, _, _, err = OpenIn(d, Options{})
		assert.Assert(t, errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrDamaged), "%v", err)
	}
	d.SetFull(false)
	v, held, empty, err := OpenIn(d, Options{})
	assert.NilError(t, err)
	v.Close()
	assert.Assert(t, !empty && held.Self == 7 && len(held.Log) == 1)
}
