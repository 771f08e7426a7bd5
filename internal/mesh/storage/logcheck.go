package storage

import (
	"encoding/binary"
	"hash/crc32"
	"io/fs"

	"github.com/juju/errors"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// A write-ahead log of goleveldb (LevelDB, doc/log_format.md) consists of blocks of 32 KiB. A block holds chunks, each with a checksum, a
// length, a type and data. A record is one full chunk, or a first, any number of middle and a last chunk. Each record is synced before
// the next one is written, so a loss of power can only tear the last record: its end or some of its sectors are missing. Depending on
// its options, goleveldb either treats any damage as the end of the log, or treats a torn last record as corruption. Both are wrong
// here, so this file distinguishes a torn record from corruption before goleveldb opens the log.

// Sizes of the log's format, in bytes.
const (
	blockBytes       = 32 << 10
	chunkHeaderBytes = 7
	lengthOffset     = 4 // in a chunk's header; the checksum stands before it
	typeOffset       = 6
)

// Types of chunks.
const (
	chunkFull = 1 + iota
	chunkFirst
	chunkMiddle
	chunkLast
)

// A disk writes complete sectors, in any order.
const (
	sectorBytes = 512
	// minSectorBytes is how many bytes of a chunk its first sector has to hold, all zero, for the sector to count as lost. A chunk begins
	// with its checksum, of which a single byte may well be zero.
	minSectorBytes = 2
)

// checksumMaskDelta is added to a rotated checksum (LevelDB, util/crc32c.h).
const checksumMaskDelta = 0xa282ead8

// checkLogs checks each write-ahead log of a store. It returns ErrCorrupted unless all are intact but for a torn last record.
func checkLogs(files ldbstorage.Storage) error {
	logs, err := files.List(ldbstorage.TypeJournal)
	if err != nil {
		return errors.Annotate(err, "list the write-ahead logs")
	}
	for _, fd := range logs {
		log, err := readAll(files, fd)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return errors.Annotatef(err, "read %v", fd)
		}
		if at, ok := findDamage(log); !ok {
			return errors.Annotatef(ErrCorrupted, "%v at byte %d", fd, at)
		}
	}
	return nil
}

// findDamage checks a log. ok says that it is intact, or that only its last record is torn. Otherwise it is corrupted at the returned byte.
func findDamage(log []byte) (at int, ok bool) {
	torn := -1 // where the first chunk begins that is not intact
	for start := 0; start < len(log); start += blockBytes {
		block := log[start:min(start+blockBytes, len(log))]
		for offset := 0; len(block)-offset >= chunkHeaderBytes; {
			end := chunkEnd(block, offset)
			if !isIntact(block, offset, end) {
				if !isTorn(block, offset, end) || hasRecordStart(block[offset+1:]) {
					return start + offset, false
				}
				if torn < 0 {
					torn = start + offset
				}
				break
			}
			if torn >= 0 && beginsRecord(block[offset+typeOffset]) {
				return torn, false // a later record was written, so this one had been synced
			}
			offset = end
		}
	}
	return torn, true
}

// chunkEnd returns where the chunk at an offset ends according to its header.
func chunkEnd(block []byte, offset int) int {
	return offset + chunkHeaderBytes + int(binary.LittleEndian.Uint16(block[offset+lengthOffset:]))
}

// beginsRecord reports whether a chunk of a type is the first of a record.
func beginsRecord(chunkType byte) bool { return chunkType == chunkFull || chunkType == chunkFirst }

// isIntact reports whether the chunk of a block from start to end is as it was written.
func isIntact(block []byte, start, end int) bool {
	chunkType := block[start+typeOffset]
	return chunkType >= chunkFull && chunkType <= chunkLast && end <= len(block) &&
		maskedChecksum(block[start+typeOffset:end]) == binary.LittleEndian.Uint32(block[start:])
}

// isTorn reports whether a chunk from start to end that is not intact looks like a torn write: its end is missing, so that it ends with the
// file or in zeros, or one of its sectors is missing. Anything else is corruption, such as a flipped bit.
func isTorn(block []byte, start, end int) bool {
	if isZero(block[start:]) || lacksSector(block, start, min(end, len(block))) {
		return true
	}
	switch {
	case end <= len(block):
		return block[end-1] == 0
	case len(block) == blockBytes:
		return block[len(block)-1] == 0
	}
	return true
}

// lacksSector reports whether the part of the chunk from start to end in some sector is all zeros. Blocks are aligned to sectors.
func lacksSector(block []byte, start, end int) bool {
	first := min(start-start%sectorBytes+sectorBytes, len(block))
	if first-start >= minSectorBytes && isZero(block[start:first]) {
		return true
	}
	for at := first; at+sectorBytes <= end; at += sectorBytes {
		if isZero(block[at : at+sectorBytes]) {
			return true
		}
	}
	return false
}

// hasRecordStart reports whether the rest of a block holds a complete record, or the first chunk of one, which was then written after the
// chunk that is not intact.
func hasRecordStart(rest []byte) bool {
	for ; len(rest) >= chunkHeaderBytes; rest = rest[1:] {
		end := chunkEnd(rest, 0)
		if beginsRecord(rest[typeOffset]) && isIntact(rest, 0, end) {
			return true
		}
	}
	return false
}

// isZero reports whether all bytes are zero.
func isZero(p []byte) bool {
	for _, b := range p {
		if b != 0 {
			return false
		}
	}
	return true
}

// maskedChecksum returns a chunk's CRC-32C as the format stores it.
func maskedChecksum(p []byte) uint32 {
	sum := crc32.Checksum(p, crc32c)
	return (sum>>15 | sum<<17) + checksumMaskDelta
}
