package sim

import (
	"math/rand/v2"
	"slices"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/raft"
)

// DiskKind is the way in which a replica's disk is simulated. Its values are used in plan files.
type DiskKind string

// Kinds of disks.
const (
	MemoryDisk  DiskKind = ""      // records in memory, each write kept or lost as a whole; the fast one
	StorageDisk DiskKind = "vault" // the real storage over simulated files
)

// errDiskFull is the error of a write to a full disk.
const errDiskFull = errors.ConstError("no space left on device")

// diskState is what was found on a disk at the start.
type diskState uint8

const (
	diskHolds   diskState = iota // the records of a replica
	diskEmpty                    // nothing: the disk is new, or was wiped
	diskDamaged                  // unreadable data, which was discarded
)

// diskWrite is a write that a replica waits for.
type diskWrite struct {
	ready     raft.Ready
	lastIndex uint64 // last index on disk before the write
	done      bool
}

// disk is the storage of a replica. A write that has returned is durable, unless a mutation of the run breaks that.
type disk interface {
	// read returns what the disk holds.
	read() (stored raft.StoredState, state diskState, err error)
	// begin writes the first state of a member to a disk that holds none.
	begin(self raft.ID, snapshot raft.Snapshot) error
	// save and compact are those of replica.Environment, but fail if the disk is full.
	save(ready raft.Ready, last uint64) error
	compact(snapshot raft.Snapshot, kept uint64) error
	// crash ends the process, with or without a loss of power. inFlight is the write that was not completed, or nil.
	crash(random *rand.Rand, inFlight *diskWrite, power bool)
	// sync makes writes durable that a mutation has left unsynced.
	sync()
	// setFull makes writes fail, or ends that.
	setFull(full bool)
	// term returns the term of a durable entry. known is false if a snapshot covers the entry, and isStored is false if the disk does
	// not hold it.
	term(index uint64) (term uint64, known, isStored bool)
}

// memoryDisk simulates a disk by records in memory. It belongs to one World.
type memoryDisk struct {
	synced       raft.StoredState
	written      raft.StoredState // including unsynced writes; differs from synced only by a mutation
	initialized  bool
	full         bool
	deferred     bool // a mutation: writes are not synced when they return
	hardUnsynced bool // a mutation: term and vote are never synced
}

func (d *memoryDisk) read() (raft.StoredState, diskState, error) {
	if !d.initialized {
		return raft.StoredState{}, diskEmpty, nil
	}
	h := d.written
	h.Entries = slices.Clone(h.Entries)
	return h, diskHolds, nil
}

func (d *memoryDisk) begin(self raft.ID, s raft.Snapshot) error {
	if d.full {
		return errDiskFull
	}
	d.written = raft.StoredState{Self: self, Snapshot: s}
	d.synced = d.written
	d.initialized = true
	return nil
}

func (d *memoryDisk) save(ready raft.Ready, _ uint64) error {
	if d.full {
		return errDiskFull
	}
	d.written = withReady(d.written, ready)
	if !d.deferred {
		d.sync()
	}
	return nil
}

func (d *memoryDisk) sync() {
	hard := d.synced.HardState
	d.synced = d.written // sharing the log is safe: an append to one is not seen by the other, whose log is shorter
	if d.hardUnsynced {
		d.synced.HardState = hard
	}
}

// withReady returns the state of a disk after a Ready was written to it.
func withReady(h raft.StoredState, ready raft.Ready) raft.StoredState {
	if ready.HardState != nil {
		h.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		h.Snapshot, h.Entries, h.CatchUpEntries = *ready.Snapshot, nil, nil
	}
	if n := len(ready.Entries); n > 0 {
		keep := ready.Entries[0].Index - h.Snapshot.Index - 1
		if keep < uint64(len(h.Entries)) {
			h.Entries = slices.Clone(h.Entries[:keep]) // others may still read the entries that are replaced
		}
		h.Entries = append(h.Entries, ready.Entries...)
	}
	return h
}

func (d *memoryDisk) compact(s raft.Snapshot, kept uint64) error {
	if d.full {
		return errDiskFull
	}
	h := d.written
	if s.Index > h.Snapshot.Index {
		covered := s.Index - h.Snapshot.Index
		catchUp := append(slices.Clone(h.CatchUpEntries), h.Entries[:covered]...)
		h.CatchUpEntries = slices.DeleteFunc(catchUp, func(e raft.Entry) bool { return e.Index < kept })
		h.Entries = slices.Clone(h.Entries[covered:])
		h.Snapshot = s
	}
	d.written = h
	d.sync()
	return nil
}

func (d *memoryDisk) crash(random *rand.Rand, inFlight *diskWrite, power bool) {
	if inFlight != nil && random.IntN(2) == 0 { // the write was complete, or did not begin
		d.written = withReady(d.written, inFlight.ready)
		if !d.deferred {
			d.sync()
		}
	}
	if power {
		d.written = d.synced
		// A copy: entries appended from now on must not overwrite those that were lost, which others may read.
		d.written.Entries = slices.Clone(d.synced.Entries)
		return
	}
	d.sync()
}

func (d *memoryDisk) setFull(full bool) { d.full = full }

func (d *memoryDisk) term(index uint64) (term uint64, known, isStored bool) {
	if !d.initialized {
		return 0, false, false
	}
	if index <= d.synced.Snapshot.Index {
		return 0, false, true // it was committed
	}
	n := index - d.synced.Snapshot.Index - 1
	if n >= uint64(len(d.synced.Entries)) {
		return 0, false, false
	}
	return d.synced.Entries[n].Term, true, true
}
