package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/util"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Keys of the records. No other key begins with entryPrefix.
const (
	keyFormat    = "format"
	keySelf      = "self"
	keyHardState = "hard"
	keySnapshot  = "snap"
	entryPrefix  = "e"
)

// Sizes of the parts of records, in bytes.
const (
	checksumBytes  = 4
	uint64Bytes    = 8
	hardStateBytes = 2 * uint64Bytes // term and vote
)

var crc32c = crc32.MakeTable(crc32.Castagnoli)

// addChecksum returns a value as it is stored: behind its CRC-32C.
func addChecksum(value []byte) []byte {
	record := binary.LittleEndian.AppendUint32(make([]byte, 0, checksumBytes+len(value)), crc32.Checksum(value, crc32c))
	return append(record, value...)
}

// verifyChecksum returns the value of a record. The error is ErrCorrupted.
func verifyChecksum(record []byte) ([]byte, error) {
	if len(record) < checksumBytes || crc32.Checksum(record[checksumBytes:], crc32c) != binary.LittleEndian.Uint32(record) {
		return nil, errors.Annotate(ErrCorrupted, "checksum of a record")
	}
	return record[checksumBytes:], nil
}

// encodeUint64 encodes an integer as eight big-endian bytes.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// entryKey returns the key of an entry. The order of keys is that of indexes.
func entryKey(index uint64) []byte { return append([]byte(entryPrefix), encodeUint64(index)...) }

// encodeHardState encodes term and vote.
func encodeHardState(hardState raft.HardState) []byte {
	return append(encodeUint64(hardState.Term), encodeUint64(uint64(hardState.Vote))...)
}

// decodeHardState is the inverse of encodeHardState. p has hardStateBytes.
func decodeHardState(p []byte) raft.HardState {
	return raft.HardState{
		Term: binary.BigEndian.Uint64(p),
		Vote: raft.ID(binary.BigEndian.Uint64(p[uint64Bytes:])),
	}
}

// get returns the value of a key, or nil if there is none. The error is ErrCorrupted.
func (s *Store) get(key string) ([]byte, error) {
	record, err := s.db.Get([]byte(key), nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "get %q", key), ErrCorrupted)
	}
	return verifyChecksum(record)
}

// getFixed returns the value of a key that must exist and have a length.
func (s *Store) getFixed(key string, length int) ([]byte, error) {
	value, err := s.get(key)
	if err != nil {
		return nil, err
	}
	if len(value) != length {
		return nil, errors.Annotatef(ErrCorrupted, "%q has %d bytes in place of %d", key, len(value), length)
	}
	return value, nil
}

// readState reads all records. empty says that there are none.
func (s *Store) readState() (state raft.StoredState, empty bool, err error) {
	format, err := s.get(keyFormat)
	if err != nil {
		return raft.StoredState{}, false, err
	}
	if format == nil {
		return raft.StoredState{}, true, nil
	}
	if len(format) != uint64Bytes || binary.BigEndian.Uint64(format) != FormatVersion {
		return raft.StoredState{}, false, errors.Annotatef(ErrFormatVersion, "this build reads %d", FormatVersion)
	}
	self, err := s.getFixed(keySelf, uint64Bytes)
	if err != nil {
		return raft.StoredState{}, false, err
	}
	hardState, err := s.getFixed(keyHardState, hardStateBytes)
	if err != nil {
		return raft.StoredState{}, false, err
	}
	snapshot, err := s.readSnapshot()
	if err != nil {
		return raft.StoredState{}, false, err
	}
	state = raft.StoredState{
		Self:      raft.ID(binary.BigEndian.Uint64(self)),
		HardState: decodeHardState(hardState),
		Snapshot:  snapshot,
	}
	if err := s.readEntries(&state); err != nil {
		return raft.StoredState{}, false, err
	}
	return state, false, nil
}

// readSnapshot reads the snapshot. It returns the zero value for a member that has never joined, which has none.
func (s *Store) readSnapshot() (raft.Snapshot, error) {
	value, err := s.get(keySnapshot)
	if err != nil || value == nil {
		return raft.Snapshot{}, err
	}
	stored, err := codec.DecodeTable(value, func(p []byte) *wire.SnapshotT { return wire.GetRootAsSnapshot(p, 0).UnPack() })
	if err != nil {
		return raft.Snapshot{}, errors.WithType(errors.Annotate(err, "decode the snapshot"), ErrCorrupted)
	}
	return raftwire.SnapshotFromWire(stored), nil
}

// readEntries reads the log after the snapshot of state, and the catch-up entries before its end.
func (s *Store) readEntries(state *raft.StoredState) error {
	it := s.db.NewIterator(util.BytesPrefix([]byte(entryPrefix)), nil)
	defer it.Release()
	for it.Next() {
		entry, err := decodeEntry(it.Value())
		if err != nil {
			return err
		}
		if entry.Index <= state.Snapshot.Index {
			if n := len(state.CatchUpEntries); n > 0 && state.CatchUpEntries[n-1].Index+1 != entry.Index {
				state.CatchUpEntries = nil // left over from a compaction that could not list all of them
			}
			state.CatchUpEntries = append(state.CatchUpEntries, entry)
			continue
		}
		if next := state.Snapshot.Index + uint64(len(state.Entries)) + 1; entry.Index != next {
			return errors.Annotatef(ErrCorrupted, "entry %d is missing", next)
		}
		state.Entries = append(state.Entries, entry)
	}
	if err := it.Error(); err != nil {
		return errors.WithType(errors.Annotate(err, "iterate over the log"), ErrCorrupted)
	}
	if n := len(state.CatchUpEntries); n > 0 && state.CatchUpEntries[n-1].Index != state.Snapshot.Index {
		state.CatchUpEntries = nil // they do not reach up to the snapshot
	}
	return nil
}

// decodeEntry decodes an entry. It copies the record, whose memory the iterator uses again.
func decodeEntry(record []byte) (raft.Entry, error) {
	value, err := verifyChecksum(record)
	if err != nil {
		return raft.Entry{}, err
	}
	stored, err := codec.DecodeTable(bytes.Clone(value), func(p []byte) *wire.EntryT {
		return wire.GetRootAsEntry(p, 0).UnPack()
	})
	if err != nil {
		return raft.Entry{}, errors.WithType(errors.Annotate(err, "decode an entry"), ErrCorrupted)
	}
	entry, err := raftwire.EntryFromWire(stored)
	if err != nil {
		return raft.Entry{}, errors.WithType(err, ErrCorrupted)
	}
	return entry, nil
}
