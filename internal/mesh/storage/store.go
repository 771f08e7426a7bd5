// Package storage owns the data folder of a control-plane member; no other package opens it. It keeps the state that Raft needs on
// stable storage (the member's ID, its hard state, the log and the snapshot that the log continues) in goleveldb. Every write is
// synced before it returns, every value has a checksum, and the format has a version.
//
// It must never return anything but what was written: after a loss of power a store holds every write that had returned, and either
// all or nothing of the one that was in progress. A store for which that can't be verified is ErrCorrupted. The owner of a corrupted
// store discards it, starts with a new ID and joins the other members again.
//
// A Store belongs to one goroutine, in production that of controlplane.Member, through controlplane/store.go, which also decides when a
// failed write is tried again.
//
// Sources: Raft paper, figure 2 (persistent state); etcd's raft, type Ready (what has to be on disk before messages are sent);
// LevelDB, doc/log_format.md (the write-ahead log, which logcheck.go reads).
//
// Keys: "format" is the version of the format; "self" the member's ID; "hard" the hard state, term and vote; "snap" the snapshot; "e"
// and an index, as eight big-endian bytes, an entry of the log.
package storage

import (
	"cmp"
	"math"

	"github.com/juju/errors"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"

	"cranegrade/internal/mesh/raft"
)

// FormatVersion is the version of the format that this build writes. It reads no other.
const FormatVersion = 1

// DefaultWriteBufferBytes is the write buffer of a control-plane member.
const DefaultWriteBufferBytes = 1 << 20

// Sizes of goleveldb's caches and files. They are small because the store holds a snapshot and a short log, and is only read when it is
// opened.
const (
	blockCacheBytes = 256 << 10
	openFilesCached = 32
	tableBytes      = 1 << 20
)

// Store is an open store. It belongs to one goroutine. Once a write has failed it takes no more until Reopen.
type Store struct {
	folder       Folder
	options      Options
	fileStorage  ldbstorage.Storage
	db           *leveldb.DB // nil if the store is closed
	writeOptions opt.WriteOptions
	walBytes     int // an upper bound of the bytes in the write-ahead log; counted with Options.Foreground only
}

// Options change how a store works. The zero value is for control-plane members.
type Options struct {
	// Foreground does all work within the calls of a Store, so that the same calls leave the same files, as simulations need. Tables
	// are never merged, so it only suits stores that are used for a short time.
	Foreground bool
	// WriteBufferBytes is how large the write-ahead log gets before it is written to a table. Opening a store takes as much memory, and
	// time in proportion. 0 stands for DefaultWriteBufferBytes.
	WriteBufferBytes int
}

// levelDBOptions returns the options of goleveldb.
func (o Options) levelDBOptions() *opt.Options {
	options := &opt.Options{
		WriteBuffer:            cmp.Or(o.WriteBufferBytes, DefaultWriteBufferBytes),
		BlockCacheCapacity:     blockCacheBytes,
		OpenFilesCacheCapacity: openFilesCached,
		CompactionTableSize:    tableBytes,
		Compression:            opt.NoCompression,
		Strict:                 opt.DefaultStrict,
		// After a failed write by a transaction goleveldb never releases its lock, so that Close would block forever.
		DisableLargeBatchTransaction: true,
	}
	if o.Foreground {
		options.CompactionL0Trigger = math.MaxInt32
		options.WriteL0SlowdownTrigger = math.MaxInt32
		options.WriteL0PauseTrigger = math.MaxInt32
		options.DisableSeeksCompaction = true
	}
	return options
}

// Open opens the store in a data folder, or creates one. empty says that it has not been initialized yet, so that Initialize has to be
// called before Save. The error is ErrUnavailable, ErrCorrupted or ErrFormatVersion. The caller has to close the store.
func Open(dir string) (store *Store, state raft.StoredState, empty bool, err error) {
	return OpenFolder(dataFolder(dir), Options{})
}

// OpenFolder is Open of any Folder.
func OpenFolder(folder Folder, options Options) (store *Store, state raft.StoredState, empty bool, err error) {
	store = &Store{folder: folder, options: options, writeOptions: opt.WriteOptions{Sync: true}}
	if err := store.openDB(options.levelDBOptions()); err != nil {
		return nil, raft.StoredState{}, false, err
	}
	if state, empty, err = store.readState(); err != nil {
		store.Close()
		return nil, raft.StoredState{}, false, errors.Annotate(err, "read the store")
	}
	return store, state, empty, nil
}

// OpenReadOnly reads the store in a data folder without writing to it, for tools that inspect it. Its errors are those of Open.
func OpenReadOnly(dir string) (state raft.StoredState, empty bool, err error) {
	return OpenFolderReadOnly(dataFolder(dir))
}

// OpenFolderReadOnly is OpenReadOnly of any Folder. It reads a copy in memory, since goleveldb can't open a store with two write-ahead logs
// without writing to it.
func OpenFolderReadOnly(folder Folder) (state raft.StoredState, empty bool, err error) {
	files, err := copyToMemory(folder)
	if err != nil {
		return raft.StoredState{}, false, classifyOpenError(err)
	}
	store := &Store{folder: memoryFolder{files}}
	options := Options{}.levelDBOptions()
	options.ErrorIfMissing = true
	if err := store.openDB(options); err != nil {
		return raft.StoredState{}, false, err
	}
	defer store.Close()
	state, empty, err = store.readState()
	return state, empty, errors.Annotate(err, "read the store")
}

// openDB opens the database, once its write-ahead logs are known to be intact.
func (s *Store) openDB(options *opt.Options) (err error) {
	if s.fileStorage, err = s.folder.Open(options.ReadOnly); err != nil {
		return classifyOpenError(err)
	}
	if err = checkLogs(s.fileStorage); err != nil {
		s.Close()
		return classifyOpenError(err)
	}
	files := newDurableNames(s.fileStorage, s.folder)
	if s.db, err = leveldb.Open(files, options); err != nil {
		if files.transientError.Load() != nil {
			err = errors.WithType(err, ErrUnavailable)
		}
		s.Close()
		return classifyOpenError(err)
	}
	return nil
}

// Reopen closes the store and opens it again. After a failed write goleveldb rejects all further writes, even when there is space again,
// until it is reopened. The error is ErrWriteFailed; the store is closed then, and Reopen may be called again.
func (s *Store) Reopen() error {
	s.Close()
	files, err := s.folder.Open(false)
	if err != nil {
		return writeFailed(err, "reopen the store's files")
	}
	db, err := leveldb.Open(newDurableNames(files, s.folder), s.options.levelDBOptions())
	if err != nil {
		_ = files.Close() // the error to report is that of the database
		return writeFailed(err, "reopen the database")
	}
	s.fileStorage, s.db, s.walBytes = files, db, 0
	return nil
}

// Close closes the store. It may be called again. Every write has been synced, so an error of closing loses nothing.
func (s *Store) Close() {
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
	if s.fileStorage != nil {
		_ = s.fileStorage.Close()
		s.fileStorage = nil
	}
}

// Discard removes a store that can't be opened, so that Open creates a new one. dir is the data folder.
func Discard(dir string) error { return dataFolder(dir).Discard() }
