package storage

import (
	"github.com/juju/errors"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/util"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport/codec"
)

// maxRecordOverhead is how many bytes goleveldb stores at most besides the key and the value of a record.
const maxRecordOverhead = 24

// Initialize writes the first state of a member to an empty store. A snapshot with Index 0 is left out. The error is ErrWriteFailed.
func (s *Store) Initialize(self raft.ID, snapshot raft.Snapshot) error {
	batch := new(leveldb.Batch)
	put(batch, keyFormat, encodeUint64(FormatVersion))
	put(batch, keySelf, encodeUint64(uint64(self)))
	put(batch, keyHardState, encodeHardState(raft.HardState{}))
	if snapshot.Index > 0 {
		putSnapshot(batch, &snapshot)
	}
	return s.write(batch)
}

// Save writes what a Ready needs on stable storage, atomically, and syncs it before it returns. lastStored is the index of the last stored
// entry; stored entries after the new ones, which are from a former leader, are removed. The error is ErrWriteFailed.
func (s *Store) Save(ready raft.Ready, lastStored uint64) error {
	if s.db == nil {
		return ErrWriteFailed
	}
	batch := new(leveldb.Batch)
	if ready.HardState != nil {
		put(batch, keyHardState, encodeHardState(*ready.HardState))
	}
	if ready.Snapshot != nil {
		putSnapshot(batch, ready.Snapshot)
		// Without a complete list an old entry could remain after the snapshot, as if it continued it.
		if err := s.deleteEntries(batch, util.BytesPrefix([]byte(entryPrefix))); err != nil {
			return writeFailed(err, "list the entries that a snapshot replaces")
		}
		lastStored = 0
	}
	for _, entry := range ready.Entries {
		put(batch, string(entryKey(entry.Index)), codec.EncodeTable(raftwire.EntryToWire(entry)))
	}
	if n := len(ready.Entries); n > 0 {
		for index := ready.Entries[n-1].Index + 1; index <= lastStored; index++ {
			batch.Delete(entryKey(index))
		}
	}
	return s.write(batch)
}

// Compact replaces the log up to the index of a snapshot by the snapshot, atomically, and removes the entries before oldestKept. Those from
// oldestKept to the snapshot's index stay as catch-up entries. The error is ErrWriteFailed.
func (s *Store) Compact(snapshot raft.Snapshot, oldestKept uint64) error {
	if s.db == nil {
		return ErrWriteFailed
	}
	batch := new(leveldb.Batch)
	putSnapshot(batch, &snapshot)
	// An incomplete list does no harm, since readEntries ignores entries before a gap.
	_ = s.deleteEntries(batch, &util.Range{Start: entryKey(0), Limit: entryKey(oldestKept)})
	return s.write(batch)
}

// put adds a record to a batch.
func put(batch *leveldb.Batch, key string, value []byte) {
	batch.Put([]byte(key), addChecksum(value))
}

// putSnapshot adds the record of a snapshot to a batch.
func putSnapshot(batch *leveldb.Batch, snapshot *raft.Snapshot) {
	put(batch, keySnapshot, codec.EncodeTable(raftwire.SnapshotToWire(snapshot)))
}

// deleteEntries adds the removal of all stored entries in a range of keys to a batch.
func (s *Store) deleteEntries(batch *leveldb.Batch, keys *util.Range) error {
	it := s.db.NewIterator(keys, nil)
	defer it.Release()
	for it.Next() {
		batch.Delete(append([]byte(nil), it.Key()...))
	}
	return it.Error()
}

// write writes and syncs a batch.
func (s *Store) write(batch *leveldb.Batch) error {
	if s.db == nil {
		return errors.Annotate(ErrWriteFailed, "the store is closed")
	}
	if s.options.Foreground {
		if err := s.makeRoom(batch); err != nil {
			return writeFailed(err, "make room for a batch")
		}
	}
	if err := s.db.Write(batch, &s.writeOptions); err != nil {
		return writeFailed(err, "write a batch")
	}
	return nil
}

// makeRoom reopens the store if its write-ahead log has no room for a batch. Opening writes the log to a table, which goleveldb would
// otherwise do in the background.
func (s *Store) makeRoom(batch *leveldb.Batch) error {
	size := len(batch.Dump()) + maxRecordOverhead*batch.Len()
	s.walBytes += size
	if s.walBytes < s.options.levelDBOptions().WriteBuffer {
		return nil
	}
	err := s.Reopen()
	s.walBytes = size
	return err
}
