// Package disk simulates the disk of one machine for goleveldb: one folder of files that a process writes through a cache. What was
// synced survives a loss of power. Of the rest, each name that was made, renamed or removed is kept or lost by itself, and the last
// writes to each file are torn.
//
// It owns the files' bytes, cached and durable. It must never draw a fault by itself: faults come when they are called for, and all
// chance is from the generator that is passed in, so that the same calls leave the same bytes. It keeps no time: a slow disk is
// simulated by the function that OnAccess sets.
//
// Sources: POSIX fsync (a file's data and its name in the directory are durable separately); SQLite's crash tests and FoundationDB's
// simulation (torn and lost sectors by seed); goleveldb's storage.OpenFile, whose order of steps is followed.
package disk

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// AccessKind says what a process does with the disk.
type AccessKind string

// Kinds of accesses.
const (
	AccessCreate     AccessKind = "create"
	AccessWrite      AccessKind = "write"
	AccessSync       AccessKind = "sync"
	AccessSyncFolder AccessKind = "sync folder"
	AccessRename     AccessKind = "rename"
	AccessRemove     AccessKind = "remove"
	AccessRead       AccessKind = "read"
)

// Access is one access to the disk.
type Access struct {
	Kind  AccessKind
	File  string // or "" for the folder
	Bytes int    // that are written or read
}

// Disk is one machine's disk. It may be used by several goroutines at once, as goleveldb does.
type Disk struct {
	mu          sync.Mutex // guards all but onAccess
	folder      folder
	process     uint64 // rises when a process ends: handles of earlier ones are closed
	locked      bool   // by a store of the present process
	full        bool
	readErrors  bool
	ignoreSyncs bool // syncs are acknowledged and not done

	onAccess func(Access) // set while the disk is not in use; may be nil
}

// New returns an empty disk.
func New() *Disk { return &Disk{folder: newFolder()} }

// Open gives the files to the running process. KillProcess, LosePower and Wipe close the handle. There is no error.
func (d *Disk) Open(readOnly bool) (storage.Storage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &handle{disk: d, process: d.process, readOnly: readOnly}, nil
}

// Sync syncs the folder: the names in it are durable as they are now. There is no error.
func (d *Disk) Sync() error {
	d.access(Access{Kind: AccessSyncFolder})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncFolder()
	return nil
}

func (d *Disk) syncFolder() {
	if !d.ignoreSyncs {
		d.folder.sync()
	}
}

func (d *Disk) syncFile(f *file) {
	if !d.ignoreSyncs {
		f.sync()
	}
}

// Discard removes all files at once, durably. There is no error.
func (d *Disk) Discard() error {
	d.access(Access{Kind: AccessSyncFolder})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.folder = newFolder()
	return nil
}

// OnAccess sets a function that is called before each later access is done, without the disk's lock; it may cause faults. It must not
// be set while the disk is in use.
func (d *Disk) OnAccess(observe func(Access)) { d.onAccess = observe }

// SetFull says whether writes and new files fail with ENOSPC.
func (d *Disk) SetFull(full bool) { d.setFlag(&d.full, full) }

// SetReadErrors says whether reads fail with EIO.
func (d *Disk) SetReadErrors(fail bool) { d.setFlag(&d.readErrors, fail) }

// SetIgnoreSyncs says whether syncs are acknowledged without being done.
func (d *Disk) SetIgnoreSyncs(ignore bool) { d.setFlag(&d.ignoreSyncs, ignore) }

func (d *Disk) setFlag(flag *bool, value bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*flag = value
}

// KillProcess ends the process: its handles are closed, and everything that it wrote stays.
func (d *Disk) KillProcess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endProcess()
}

// LosePower ends the process, and what was not synced is kept, lost or torn by chance. modes are the ways in which the first write to a
// file that is not kept as it was may be torn; without any they are Truncated, ZeroFilled and SectorsLost.
func (d *Disk) LosePower(rng *rand.Rand, modes ...TearMode) {
	if len(modes) == 0 {
		modes = []TearMode{Truncated, ZeroFilled, SectorsLost}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endProcess()
	d.folder.losePower(rng, modes)
}

// Wipe ends the process and empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endProcess()
	d.folder = newFolder()
}

func (d *Disk) endProcess() {
	d.process++
	d.locked = false
}

// FlipBit flips one bit of one file that is not empty, synced or not. ok is false if there is no such file.
func (d *Disk) FlipBit(rng *rand.Rand) (name string, at int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(d.folder.cached)), func(name string) bool {
		return len(d.folder.cached[name].cached) == 0
	})
	if len(names) == 0 {
		return "", 0, false
	}
	name = names[rng.IntN(len(names))]
	return name, d.folder.cached[name].flipBit(rng), true
}

// FileNames returns the names of the files as a process sees them, in order.
func (d *Disk) FileNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.folder.cached))
}

// Fingerprint returns a hash of all names and bytes, as a process sees them and as they are durable.
func (d *Disk) Fingerprint() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := fnv.New64a()
	for _, names := range []map[string]*file{d.folder.cached, d.folder.durable} {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			_, _ = sum.Write([]byte(name))
			_, _ = sum.Write(names[name].cached)
			_, _ = sum.Write([]byte{0})
			_, _ = sum.Write(names[name].synced)
		}
		_, _ = sum.Write([]byte{1})
	}
	return sum.Sum64()
}

func (d *Disk) access(a Access) {
	if d.onAccess != nil {
		d.onAccess(a)
	}
}
