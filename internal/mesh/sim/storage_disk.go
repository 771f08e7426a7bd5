package sim

import (
	"math/rand/v2"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/raft"
	filedisk "cranegrade/internal/mesh/sim/disk"
	"cranegrade/internal/mesh/storage"
)

// accessesOfSave is how many accesses to the disk one write of the storage takes at most. A crash may come before each of them.
const accessesOfSave = 4

// storageDisk is the real storage over simulated files. In a crash, unsynced data of each file is kept, lost or torn. It belongs to one
// World.
type storageDisk struct {
	files   *filedisk.Disk
	store   *storage.Store
	records memoryDisk // what the storage has acknowledged as synced, for the observer
	reopen  bool       // a write failed: the storage must be reopened before the next one
}

// newStorageDisk returns an empty disk, which may be one that acknowledges syncs without doing them.
func newStorageDisk(ignoresSyncs bool) *storageDisk {
	d := &storageDisk{files: filedisk.New()}
	d.files.SetIgnoreSyncs(ignoresSyncs)
	return d
}

// read opens the storage. One that is corrupted is discarded, as package controlplane does.
func (d *storageDisk) read() (stored raft.StoredState, state diskState, err error) {
	d.close()
	state = diskHolds
	var empty bool
	d.store, stored, empty, err = storage.OpenFolder(d.files, storage.Options{Foreground: true})
	if err != nil && !errors.Is(err, storage.ErrUnavailable) {
		state = diskDamaged
		if err = d.files.Discard(); err == nil {
			d.store, stored, empty, err = storage.OpenFolder(d.files, storage.Options{Foreground: true})
		}
	}
	if err != nil {
		return stored, state, errors.Trace(err)
	}
	if empty && state != diskDamaged {
		state = diskEmpty
	}
	d.records = memoryDisk{initialized: !empty, synced: stored, written: stored}
	d.reopen = false
	return stored, state, nil
}

func (d *storageDisk) begin(self raft.ID, s raft.Snapshot) error {
	if err := d.ready(); err != nil {
		return err
	}
	if err := d.store.Initialize(self, s); err != nil {
		d.reopen = true
		return err
	}
	return d.records.begin(self, s)
}

// ready reopens the storage after a failed write.
func (d *storageDisk) ready() error {
	if d.reopen {
		if err := d.store.Reopen(); err != nil {
			return err
		}
		d.reopen = false
	}
	return nil
}

func (d *storageDisk) save(ready raft.Ready, last uint64) error {
	if err := d.ready(); err != nil {
		return err
	}
	if err := d.store.Save(ready, last); err != nil {
		d.reopen = true
		return err
	}
	return d.records.save(ready, last)
}

func (d *storageDisk) compact(s raft.Snapshot, kept uint64) error {
	if err := d.ready(); err != nil {
		return err
	}
	if err := d.store.Compact(s, kept); err != nil {
		d.reopen = true
		return err
	}
	return d.records.compact(s, kept)
}

// crash ends the process at a random access of the write in flight.
func (d *storageDisk) crash(random *rand.Rand, inFlight *diskWrite, power bool) {
	end := d.files.KillProcess
	if power {
		end = func() { d.files.LosePower(random) }
	}
	if inFlight == nil || d.reopen {
		end()
		d.close()
		return
	}
	left, ended := random.IntN(accessesOfSave), false
	d.files.OnAccess(func(filedisk.Access) {
		if left == 0 {
			ended = true
			end()
		}
		left--
	})
	_ = d.store.Save(inFlight.ready, inFlight.lastIndex) // it fails if the crash comes before its end
	d.files.OnAccess(nil)
	if !ended {
		end()
	}
	d.close()
}

// close closes the storage, if it is open.
func (d *storageDisk) close() {
	if d.store != nil {
		d.store.Close()
		d.store = nil
	}
}

func (d *storageDisk) setFull(full bool) { d.files.SetFull(full) }

func (d *storageDisk) sync() {}

func (d *storageDisk) term(index uint64) (term uint64, known, isStored bool) {
	return d.records.term(index)
}
