// Package vault is the one that opens a register's data folder: goleveldb, every write synced before it returns, every
// value with a checksum, a format with a version. A store that can't be opened or read is as good as none: the caller
// begins anew with another id and is taken in again by the others.
//
// Keys: "format" the version; "self" the id; "hard" term and vote; "snap" the snapshot; "e" and eight bytes an entry.
package storage

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

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// FormatVersion is the version that this program writes; it reads no other.
const FormatVersion = 1

// Errors of this layer.
const (
	ErrCorrupted     = errors.ConstError("the store is damaged")
	ErrFormatVersion = errors.ConstError("the store is of another format")
	ErrWriteFailed   = errors.ConstError("the store can't be written")
	ErrUnavailable   = errors.ConstError("the store can't be opened now") // it may be whole: it must not be discarded for it
)

// Store is an open store. It belongs to one goroutine.
type Store struct {
	folder       Folder
	options      Options
	fileStorage  storage.Storage
	db           *leveldb.DB
	writeOptions opt.WriteOptions
	walBytes     int // bytes that may stand in the journal; of a store that works in the foreground
}

// Options are how a store works.
type Options struct {
	// Foreground has all work done within the calls of a Vault, so that the same calls leave the same files, as simulations
	// need it. Tables are never merged, so it is for short lives only.
	Foreground bool
	// WriteBuffer is how many bytes stand in a journal before they go into a table; 0: DefaultWriteBuffer. A store takes as
	// much memory, and time to open.
	WriteBufferBytes int
}

// DefaultWriteBufferBytes is the WriteBuffer of registers, in bytes.
const DefaultWriteBufferBytes = 1 << 20

func (o Options) levelDBOptions() *opt.Options {
	options := &opt.Options{WriteBuffer: cmp.Or(o.WriteBufferBytes, DefaultWriteBufferBytes), BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 32,
		CompactionTableSize: 1 << 20, Compression: opt.NoCompression, Strict: opt.DefaultStrict,
		// Once a write by a transaction has been refused, goleveldb holds its lock for ever, and Close with it.
		DisableLargeBatchTransaction: true}
	if o.Foreground {
		options.CompactionL0Trigger, options.WriteL0SlowdownTrigger, options.WriteL0PauseTrigger = math.MaxInt32, math.MaxInt32, math.MaxInt32
		options.DisableSeeksCompaction = true
	}
	return options
}

// Open opens the store in a folder, or makes one; empty: it holds nothing yet.
func Open(dir string) (store *Store, state raft.StoredState, empty bool, err error) {
	return OpenFolder(dataFolder(dir), Options{})
}

// OpenFolder is Open in any folder.
func OpenFolder(folder Folder, options Options) (store *Store, state raft.StoredState, empty bool, err error) {
	store = &Store{folder: folder, options: options, writeOptions: opt.WriteOptions{Sync: true}}
	if err := store.openDB(options.levelDBOptions()); err != nil {
		return nil, raft.StoredState{}, false, err
	}
	if state, empty, err = store.readState(); err != nil {
		store.Close()
		return nil, raft.StoredState{}, false, err
	}
	return store, state, empty, nil
}

// OpenReadOnly is Open for an inspector: nothing is written.
func OpenReadOnly(dir string) (state raft.StoredState, empty bool, err error) {
	return OpenFolderReadOnly(dataFolder(dir))
}

// OpenFolderReadOnly is OpenReadOnly in any folder. It reads a copy in memory: goleveldb can't read a store of two journals without
// writing to it.
func OpenFolderReadOnly(folder Folder) (state raft.StoredState, empty bool, err error) {
	copied := memoryFolder{}
	if copied.Storage, err = copyToMemory(folder); err != nil {
		return raft.StoredState{}, false, classifyOpenError(err)
	}
	store := &Store{folder: copied}
	options := Options{}.levelDBOptions()
	options.ErrorIfMissing = true
	if err := store.openDB(options); err != nil {
		return raft.StoredState{}, false, err
	}
	defer store.Close()
	return store.readState()
}

// openDB opens the files, once their journals have been found whole.
func (v *Store) openDB(options *opt.Options) (err error) {
	if v.fileStorage, err = v.folder.Open(options.ReadOnly); err != nil {
		return classifyOpenError(err)
	}
	if err = checkLogs(v.fileStorage); err == nil {
		names := durableNames{v.fileStorage, v.folder, new(atomic.Pointer[error])}
		if v.db, err = leveldb.Open(names, options); err == nil {
			return nil
		}
		if transient := names.transientError.Load(); transient != nil {
			err = errors.WithType(err, ErrUnavailable)
		}
	}
	v.Close()
	return classifyOpenError(err)
}

// transientErrors are the machine's errors that say nothing of the files: they pass once there is room, memory, a free descriptor, or
// the process before has ended.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN,
	syscall.EACCES, storage.ErrLocked, storage.ErrClosed}

func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(p error) bool { return errors.Is(err, p) })
}

// classifyOpenError gives the error of a store that wasn't opened its type.
func classifyOpenError(err error) error {
	switch {
	case errors.Is(err, ErrUnavailable):
		return err
	case isTransient(err):
		return errors.WithType(err, ErrUnavailable)
	}
	return errors.WithType(err, ErrCorrupted)
}

// Discard removes a store that can't be opened, so that Open makes a new one.
func Discard(dir string) error { return dataFolder(dir).Discard() }

// Close closes the store.
func (v *Store) Close() {
	if v.db != nil {
		v.db.Close()
		v.db = nil
	}
	if v.fileStorage != nil {
		v.fileStorage.Close()
		v.fileStorage = nil
	}
}

// Reopen opens the store again: once a write was refused goleveldb refuses all, also when there is room again.
func (v *Store) Reopen() error {
	v.Close()
	files, err := v.folder.Open(false)
	if err != nil {
		return errors.WithType(err, ErrWriteFailed)
	}
	db, err := leveldb.Open(durableNames{files, v.folder, new(atomic.Pointer[error])}, v.options.levelDBOptions())
	if err != nil {
		files.Close()
		return errors.WithType(err, ErrWriteFailed)
	}
	v.fileStorage, v.db, v.walBytes = files, db, 0
	return nil
}

var crc32c = crc32.MakeTable(crc32.Castagnoli)

func addChecksum(p []byte) []byte {
	out := binary.LittleEndian.AppendUint32(make([]byte, 0, len(p)+4), crc32.Checksum(p, crc32c))
	return append(out, p...)
}

func (v *Store) get(key string) ([]byte, error) {
	p, err := v.db.Get([]byte(key), nil)
	if err == leveldb.ErrNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithType(err, ErrCorrupted)
	}
	return verifyChecksum(p)
}

func verifyChecksum(p []byte) ([]byte, error) {
	if len(p) < 4 || crc32.Checksum(p[4:], crc32c) != binary.LittleEndian.Uint32(p) {
		return nil, ErrCorrupted
	}
	return p[4:], nil
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func entryKey(index uint64) []byte { return append([]byte("e"), encodeUint64(index)...) }

func (v *Store) readState() (state raft.StoredState, empty bool, err error) {
	format, err := v.get("format")
	if err != nil {
		return state, false, err
	}
	if format == nil {
		return state, true, nil
	}
	if len(format) != 8 || binary.BigEndian.Uint64(format) != FormatVersion {
		return state, false, ErrFormatVersion
	}
	self, err := v.get("self")
	if err != nil || len(self) != 8 {
		return state, false, ErrCorrupted
	}
	state.Self = raft.ID(binary.BigEndian.Uint64(self))
	hardState, err := v.get("hard")
	if err != nil || len(hardState) != 16 {
		return state, false, ErrCorrupted
	}
	state.HardState = raft.HardState{Term: binary.BigEndian.Uint64(hardState), Vote: raft.ID(binary.BigEndian.Uint64(hardState[8:]))}
	snapshot, err := v.get("snap")
	if err != nil {
		return state, false, err
	}
	if snapshot != nil {
		s, err := codec.DecodeTable(snapshot, func(p []byte) *wire.SnapshotT { return wire.GetRootAsSnapshot(p, 0).UnPack() })
		if err != nil {
			return state, false, errors.WithType(err, ErrCorrupted)
		}
		state.Snapshot = raftwire.SnapshotFromWire(s)
	}
	it := v.db.NewIterator(util.BytesPrefix([]byte("e")), nil)
	defer it.Release()
	for it.Next() {
		p, err := verifyChecksum(it.Value())
		if err != nil {
			return state, false, err
		}
		stored, err := codec.DecodeTable(append([]byte(nil), p...), func(p []byte) *wire.EntryT { return wire.GetRootAsEntry(p, 0).UnPack() })
		if err != nil {
			return state, false, errors.WithType(err, ErrCorrupted)
		}
		entry, err := raftwire.EntryFromWire(stored)
		if err != nil {
			return state, false, errors.WithType(err, ErrCorrupted)
		}
		if entry.Index <= state.Snapshot.Index {
			if n := len(state.CatchUpEntries); n > 0 && state.CatchUpEntries[n-1].Index+1 != entry.Index {
				state.CatchUpEntries = nil // left behind where the log was compacted without it
			}
			state.CatchUpEntries = append(state.CatchUpEntries, entry)
			continue
		}
		if entry.Index != state.Snapshot.Index+uint64(len(state.Entries))+1 {
			return state, false, errors.Annotatef(ErrCorrupted, "entry %d is missing", state.Snapshot.Index+uint64(len(state.Entries))+1)
		}
		state.Entries = append(state.Entries, entry)
	}
	if err := it.Error(); err != nil {
		return state, false, errors.WithType(err, ErrCorrupted)
	}
	if n := len(state.CatchUpEntries); n > 0 && state.CatchUpEntries[n-1].Index != state.Snapshot.Index {
		state.CatchUpEntries = nil
	}
	return state, false, nil
}

// Initialize makes an empty store a register's own.
func (v *Store) Initialize(self raft.ID, snapshot raft.Snapshot) error {
	batch := new(leveldb.Batch)
	batch.Put([]byte("format"), addChecksum(encodeUint64(FormatVersion)))
	batch.Put([]byte("self"), addChecksum(encodeUint64(uint64(self))))
	batch.Put([]byte("hard"), addChecksum(make([]byte, 16)))
	if snapshot.Index > 0 {
		batch.Put([]byte("snap"), addChecksum(codec.EncodeTable(raftwire.SnapshotToWire(&snapshot))))
	}
	return v.write(batch)
}

func (v *Store) write(batch *leveldb.Batch) error {
	if v.db == nil {
		return ErrWriteFailed
	}
	if v.options.Foreground {
		if err := v.makeRoom(batch); err != nil {
			return errors.WithType(err, ErrWriteFailed)
		}
	}
	if err := v.db.Write(batch, &v.writeOptions); err != nil {
		return errors.WithType(err, ErrWriteFailed)
	}
	return nil
}

// maxRecordOverhead is the most bytes that goleveldb keeps beside the key and value of a record.
const maxRecordOverhead = 24

// makeRoom opens the store again before a batch for which its journal has no room, which puts what the journal holds into a
// table; else goleveldb would do it in the background.
func (v *Store) makeRoom(batch *leveldb.Batch) error {
	size := len(batch.Dump()) + maxRecordOverhead*batch.Len()
	if v.walBytes += size; v.walBytes < v.options.levelDBOptions().WriteBuffer {
		return nil
	}
	err := v.Reopen()
	v.walBytes = size
	return err
}

// Save writes what a Ready must have on disk. last is the last entry that stands there before it.
func (v *Store) Save(ready raft.Ready, last uint64) error {
	if v.db == nil {
		return ErrWriteFailed
	}
	batch := new(leveldb.Batch)
	if ready.HardState != nil {
		batch.Put([]byte("hard"), addChecksum(append(encodeUint64(ready.HardState.Term), encodeUint64(uint64(ready.HardState.Vote))...)))
	}
	if ready.Snapshot != nil {
		batch.Put([]byte("snap"), addChecksum(codec.EncodeTable(raftwire.SnapshotToWire(ready.Snapshot))))
		it := v.db.NewIterator(util.BytesPrefix([]byte("e")), nil)
		for it.Next() {
			batch.Delete(append([]byte(nil), it.Key()...))
		}
		it.Release()
		if err := it.Error(); err != nil {
			return errors.WithType(err, ErrWriteFailed) // else entries that were not seen would stand behind the snapshot
		}
		last = 0
	}
	for i, e := range ready.Entries {
		batch.Put(entryKey(e.Index), addChecksum(codec.EncodeTable(raftwire.EntryToWire(e))))
		if i == len(ready.Entries)-1 {
			for n := e.Index + 1; n <= last; n++ { // of a leader that is none any more
				batch.Delete(entryKey(n))
			}
		}
	}
	return v.write(batch)
}

// Compact has a snapshot stand for the log up to it, and removes the entries before kept.
func (v *Store) Compact(snapshot raft.Snapshot, kept uint64) error {
	if v.db == nil {
		return ErrWriteFailed
	}
	batch := new(leveldb.Batch)
	batch.Put([]byte("snap"), addChecksum(codec.EncodeTable(raftwire.SnapshotToWire(&snapshot))))
	it := v.db.NewIterator(&util.Range{Start: entryKey(0), Limit: entryKey(kept)}, nil)
	for it.Next() {
		batch.Delete(append([]byte(nil), it.Key()...))
	}
	it.Release()
	return v.write(batch)
}
