// Package vault is the one that opens a register's data folder: goleveldb, every write synced before it returns, every
// value with a checksum, a format with a version. A store that can't be opened or read is as good as none: the caller
// begins anew with another id and is taken in again by the others.
//
// Keys: "format" the version; "self" the id; "hard" term and vote; "snap" the snapshot; "e" and eight bytes an entry.
package vault

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// Format is the version that this program writes; it reads no other.
const Format = 1

// Errors of this layer.
const (
	ErrDamaged     = errors.ConstError("the store is damaged")
	ErrFormat      = errors.ConstError("the store is of another format")
	ErrWrite       = errors.ConstError("the store can't be written")
	ErrUnavailable = errors.ConstError("the store can't be opened now") // it may be whole: it must not be discarded for it
)

// Vault is an open store. It belongs to one goroutine.
type Vault struct {
	folder Folder
	how    Options
	files  storage.Storage
	db     *leveldb.DB
	sync   opt.WriteOptions
	fresh  int // bytes that may stand in the journal; of a store that works in the foreground
}

// Held is what a store holds.
type Held struct {
	Self     core.ID
	Hard     core.Hard
	Snapshot core.Snapshot
	Log      []core.Entry // behind Snapshot
	Tail     []core.Entry // in front of it, up to its Index, without a gap
}

// Options are how a store works.
type Options struct {
	// Foreground has all work done within the calls of a Vault, so that the same calls leave the same files, as simulations
	// need it. Tables are never merged, so it is for short lives only.
	Foreground bool
	// WriteBuffer is how many bytes stand in a journal before they go into a table; 0: DefaultWriteBuffer. A store takes as
	// much memory, and time to open.
	WriteBuffer int
}

// DefaultWriteBuffer is the WriteBuffer of registers, in bytes.
const DefaultWriteBuffer = 1 << 20

func (o Options) leveldb() *opt.Options {
	l := &opt.Options{WriteBuffer: cmp.Or(o.WriteBuffer, DefaultWriteBuffer), BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 32,
		CompactionTableSize: 1 << 20, Compression: opt.NoCompression, Strict: opt.DefaultStrict,
		// Once a write by a transaction has been refused, goleveldb holds its lock for ever, and Close with it.
		DisableLargeBatchTransaction: true}
	if o.Foreground {
		l.CompactionL0Trigger, l.WriteL0SlowdownTrigger, l.WriteL0PauseTrigger = math.MaxInt32, math.MaxInt32, math.MaxInt32
		l.DisableSeeksCompaction = true
	}
	return l
}

// Open opens the store in a folder, or makes one; empty: it holds nothing yet.
func Open(dir string) (v *Vault, held Held, empty bool, err error) {
	return OpenIn(directory(dir), Options{})
}

// OpenIn is Open in any folder.
func OpenIn(f Folder, o Options) (v *Vault, held Held, empty bool, err error) {
	v = &Vault{folder: f, how: o, sync: opt.WriteOptions{Sync: true}}
	if err := v.open(o.leveldb()); err != nil {
		return nil, Held{}, false, err
	}
	if held, empty, err = v.read(); err != nil {
		v.Close()
		return nil, Held{}, false, err
	}
	return v, held, empty, nil
}

// OpenReadOnly is Open for an inspector: nothing is written.
func OpenReadOnly(dir string) (held Held, empty bool, err error) {
	return OpenReadOnlyIn(directory(dir))
}

// OpenReadOnlyIn is OpenReadOnly in any folder. It reads a copy in memory: goleveldb can't read a store of two journals without
// writing to it.
func OpenReadOnlyIn(f Folder) (held Held, empty bool, err error) {
	copied := copiedFolder{}
	if copied.Storage, err = copyFiles(f); err != nil {
		return Held{}, false, unopened(err)
	}
	v := &Vault{folder: copied}
	o := Options{}.leveldb()
	o.ErrorIfMissing = true
	if err := v.open(o); err != nil {
		return Held{}, false, err
	}
	defer v.Close()
	return v.read()
}

// open opens the files, once their journals have been found whole.
func (v *Vault) open(o *opt.Options) (err error) {
	if v.files, err = v.folder.Open(o.ReadOnly); err != nil {
		return unopened(err)
	}
	if err = journals(v.files); err == nil {
		names := lastingNames{v.files, v.folder, new(atomic.Pointer[error])}
		if v.db, err = leveldb.Open(names, o); err == nil {
			return nil
		}
		if passing := names.passing.Load(); passing != nil {
			err = errors.WithType(err, ErrUnavailable)
		}
	}
	v.Close()
	return unopened(err)
}

// passing are the machine's errors that say nothing of the files: they pass once there is room, memory, a free descriptor, or
// the process before has ended.
var passing = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN,
	syscall.EACCES, storage.ErrLocked, storage.ErrClosed}

func passes(err error) bool {
	return slices.ContainsFunc(passing, func(p error) bool { return errors.Is(err, p) })
}

// unopened gives the error of a store that wasn't opened its type.
func unopened(err error) error {
	switch {
	case errors.Is(err, ErrUnavailable):
		return err
	case passes(err):
		return errors.WithType(err, ErrUnavailable)
	}
	return errors.WithType(err, ErrDamaged)
}

// Discard removes a store that can't be opened, so that Open makes a new one.
func Discard(dir string) error { return directory(dir).Discard() }

// Close closes the store.
func (v *Vault) Close() {
	if v.db != nil {
		v.db.Close()
		v.db = nil
	}
	if v.files != nil {
		v.files.Close()
		v.files = nil
	}
}

// Reopen opens the store again: once a write was refused goleveldb refuses all, also when there is room again.
func (v *Vault) Reopen() error {
	v.Close()
	files, err := v.folder.Open(false)
	if err != nil {
		return errors.WithType(err, ErrWrite)
	}
	db, err := leveldb.Open(lastingNames{files, v.folder, new(atomic.Pointer[error])}, v.how.leveldb())
	if err != nil {
		files.Close()
		return errors.WithType(err, ErrWrite)
	}
	v.files, v.db, v.fresh = files, db, 0
	return nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func seal(p []byte) []byte {
	out := binary.LittleEndian.AppendUint32(make([]byte, 0, len(p)+4), crc32.Checksum(p, castagnoli))
	return append(out, p...)
}

func (v *Vault) get(key string) ([]byte, error) {
	p, err := v.db.Get([]byte(key), nil)
	if err == leveldb.ErrNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithType(err, ErrDamaged)
	}
	return unseal(p)
}

func unseal(p []byte) ([]byte, error) {
	if len(p) < 4 || crc32.Checksum(p[4:], castagnoli) != binary.LittleEndian.Uint32(p) {
		return nil, ErrDamaged
	}
	return p[4:], nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func entryKey(index uint64) []byte { return append([]byte("e"), number(index)...) }

func (v *Vault) read() (h Held, empty bool, err error) {
	format, err := v.get("format")
	if err != nil {
		return h, false, err
	}
	if format == nil {
		return h, true, nil
	}
	if len(format) != 8 || binary.BigEndian.Uint64(format) != Format {
		return h, false, ErrFormat
	}
	self, err := v.get("self")
	if err != nil || len(self) != 8 {
		return h, false, ErrDamaged
	}
	h.Self = core.ID(binary.BigEndian.Uint64(self))
	hard, err := v.get("hard")
	if err != nil || len(hard) != 16 {
		return h, false, ErrDamaged
	}
	h.Hard = core.Hard{Term: binary.BigEndian.Uint64(hard), Vote: core.ID(binary.BigEndian.Uint64(hard[8:]))}
	snap, err := v.get("snap")
	if err != nil {
		return h, false, err
	}
	if snap != nil {
		s, err := trunk.Parse(snap, func(p []byte) *wire.SnapshotT { return wire.GetRootAsSnapshot(p, 0).UnPack() })
		if err != nil {
			return h, false, errors.WithType(err, ErrDamaged)
		}
		h.Snapshot = SnapshotOf(s)
	}
	it := v.db.NewIterator(util.BytesPrefix([]byte("e")), nil)
	defer it.Release()
	for it.Next() {
		p, err := unseal(it.Value())
		if err != nil {
			return h, false, err
		}
		e, err := trunk.Parse(append([]byte(nil), p...), func(p []byte) *wire.EntryT { return wire.GetRootAsEntry(p, 0).UnPack() })
		if err != nil {
			return h, false, errors.WithType(err, ErrDamaged)
		}
		x, err := EntryOf(e)
		if err != nil {
			return h, false, errors.WithType(err, ErrDamaged)
		}
		if x.Index <= h.Snapshot.Index {
			if n := len(h.Tail); n > 0 && h.Tail[n-1].Index+1 != x.Index {
				h.Tail = nil // left behind where the log was compacted without it
			}
			h.Tail = append(h.Tail, x)
			continue
		}
		if x.Index != h.Snapshot.Index+uint64(len(h.Log))+1 {
			return h, false, errors.Annotatef(ErrDamaged, "entry %d is missing", h.Snapshot.Index+uint64(len(h.Log))+1)
		}
		h.Log = append(h.Log, x)
	}
	if err := it.Error(); err != nil {
		return h, false, errors.WithType(err, ErrDamaged)
	}
	if n := len(h.Tail); n > 0 && h.Tail[n-1].Index != h.Snapshot.Index {
		h.Tail = nil
	}
	return h, false, nil
}

// Begin makes an empty store a register's own.
func (v *Vault) Begin(self core.ID, s core.Snapshot) error {
	b := new(leveldb.Batch)
	b.Put([]byte("format"), seal(number(Format)))
	b.Put([]byte("self"), seal(number(uint64(self))))
	b.Put([]byte("hard"), seal(make([]byte, 16)))
	if s.Index > 0 {
		b.Put([]byte("snap"), seal(trunk.Bytes(WireSnapshot(&s))))
	}
	return v.write(b)
}

func (v *Vault) write(b *leveldb.Batch) error {
	if v.db == nil {
		return ErrWrite
	}
	if v.how.Foreground {
		if err := v.makeRoom(b); err != nil {
			return errors.WithType(err, ErrWrite)
		}
	}
	if err := v.db.Write(b, &v.sync); err != nil {
		return errors.WithType(err, ErrWrite)
	}
	return nil
}

// recordOverhead is the most bytes that goleveldb keeps beside the key and value of a record.
const recordOverhead = 24

// makeRoom opens the store again before a batch for which its journal has no room, which puts what the journal holds into a
// table; else goleveldb would do it in the background.
func (v *Vault) makeRoom(b *leveldb.Batch) error {
	size := len(b.Dump()) + recordOverhead*b.Len()
	if v.fresh += size; v.fresh < v.how.leveldb().WriteBuffer {
		return nil
	}
	err := v.Reopen()
	v.fresh = size
	return err
}

// Save writes what a Ready must have on disk. last is the last entry that stands there before it.
func (v *Vault) Save(r core.Ready, last uint64) error {
	if v.db == nil {
		return ErrWrite
	}
	b := new(leveldb.Batch)
	if r.Hard != nil {
		b.Put([]byte("hard"), seal(append(number(r.Hard.Term), number(uint64(r.Hard.Vote))...)))
	}
	if r.Snapshot != nil {
		b.Put([]byte("snap"), seal(trunk.Bytes(WireSnapshot(r.Snapshot))))
		it := v.db.NewIterator(util.BytesPrefix([]byte("e")), nil)
		for it.Next() {
			b.Delete(append([]byte(nil), it.Key()...))
		}
		it.Release()
		if err := it.Error(); err != nil {
			return errors.WithType(err, ErrWrite) // else entries that were not seen would stand behind the snapshot
		}
		last = 0
	}
	for i, e := range r.Entries {
		b.Put(entryKey(e.Index), seal(trunk.Bytes(WireEntry(e))))
		if i == len(r.Entries)-1 {
			for n := e.Index + 1; n <= last; n++ { // of a leader that is none any more
				b.Delete(entryKey(n))
			}
		}
	}
	return v.write(b)
}

// Compact has a snapshot stand for the log up to it, and removes the entries before kept.
func (v *Vault) Compact(s core.Snapshot, kept uint64) error {
	if v.db == nil {
		return ErrWrite
	}
	b := new(leveldb.Batch)
	b.Put([]byte("snap"), seal(trunk.Bytes(WireSnapshot(&s))))
	it := v.db.NewIterator(&util.Range{Start: entryKey(0), Limit: entryKey(kept)}, nil)
	for it.Next() {
		b.Delete(append([]byte(nil), it.Key()...))
	}
	it.Release()
	return v.write(b)
}
