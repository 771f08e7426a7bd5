// Package disk simulates the disk of one machine for goleveldb: one folder of files that a process writes through a cache.
// What was synced survives a loss of power; of the rest each name that was made, renamed or removed is kept or lost by
// itself, and each file's last writes are torn. Faults come when they are told to, all chance from the generator that is
// passed in, so the same calls leave the same bytes.
//
// The disk keeps no time. A stalled disk is told by OnAccess, whose callee may count or simulate what an access takes.
package disk

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// AccessKind is what a process asks of the disk.
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

// Access is one access to a file; Bytes are those written or read.
type Access struct {
	Kind  AccessKind
	File  string
	Bytes int
}

// Disk is one machine's disk. It may be used by several goroutines at once, as goleveldb does.
type Disk struct {
	mu          sync.Mutex
	folder      folder
	process     uint64 // rises when a process ends: handles of earlier ones are closed
	locked      bool   // by a store of the present process
	full        bool
	readErrors  bool // reads fail
	ignoreSyncs bool // planted: syncs are acknowledged and not done
	onAccess    func(Access)
}

// New is an empty disk.
func New() *Disk { return &Disk{folder: newFolder()} }

// Open gives the files to the running process. The handle is closed by KillProcess, Crash and Wipe.
func (d *Disk) Open(readOnly bool) (storage.Storage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &handle{disk: d, process: d.process, readOnly: readOnly}, nil
}

// Sync syncs the folder: the names in it are as lasting as they stand.
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

// Discard removes all files, lasting, all at once.
func (d *Disk) Discard() error {
	d.access(Access{Kind: AccessSyncFolder})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.folder = newFolder()
	return nil
}

// OnAccess has every later access told before it is done, without the disk's lock. It must not be called while the disk is
// in use.
func (d *Disk) OnAccess(tell func(Access)) { d.onAccess = tell }

// SetFull has every write and every new file refused, or no longer.
func (d *Disk) SetFull(full bool) { d.setFlag(&d.full, full) }

// SetReadErrors has every read fail, or no longer.
func (d *Disk) SetReadErrors(fail bool) { d.setFlag(&d.readErrors, fail) }

// SetIgnoreSyncs has syncs acknowledged without being done, or no longer: a disk that lies.
func (d *Disk) SetIgnoreSyncs(lies bool) { d.setFlag(&d.ignoreSyncs, lies) }

func (d *Disk) setFlag(flag *bool, to bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*flag = to
}

// KillProcess ends the process: its handles are closed, all that it wrote stays.
func (d *Disk) KillProcess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endProcess()
}

// LosePower is a loss of power: the process ends, and what was not synced is kept, lost or torn by chance. tears are the ways in
// which a file's first write that is not wholly kept may be torn; none: Cut, Zeroed and
// Holed.
func (d *Disk) LosePower(rng *rand.Rand, tears ...TearMode) {
	if len(tears) == 0 {
		tears = []TearMode{Truncated, ZeroFilled, SectorsLost}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endProcess()
	d.folder.losePower(rng, tears)
}

// Wipe empties the disk and ends the process.
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

// FlipBit turns one bit of one file that is not empty, synced or not; ok: there was one.
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

// FileNames are the files as a process sees them, in order.
func (d *Disk) FileNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.folder.cached))
}

// Fingerprint is a sum over all names and bytes, as a process sees them and as they are lasting.
func (d *Disk) Fingerprint() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := fnv.New64a()
	for _, names := range []map[string]*file{d.folder.cached, d.folder.durable} {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			sum.Write([]byte(name))
			sum.Write(names[name].cached)
			sum.Write([]byte{0})
			sum.Write(names[name].synced)
		}
		sum.Write([]byte{1})
	}
	return sum.Sum64()
}

func (d *Disk) access(a Access) {
	if d.onAccess != nil {
		d.onAccess(a)
	}
}
