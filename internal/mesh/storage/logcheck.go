package storage

import (
	"encoding/binary"
	"hash/crc32"
	"io/fs"

	"github.com/juju/errors"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// A write-ahead log of goleveldb (LevelDB, doc/log_format.md) is blocks of 32 KiB. A block holds chunks, each of a checksum, a
// length, a type and its bytes; a record is one full chunk, or a first, middle ones and a last. Each record is synced before the
// next one is written, so a loss of power can leave one record torn, and that the last: without its end, or without some of its
// sectors. goleveldb either takes any damage for the end of the log, or takes a torn end for damage. Both are wrong here, so the
// one is told from the other before goleveldb opens the log.

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

// Sectors reach a disk complete, and in any order.
const (
	sectorBytes = 512
	// minSectorBytes is how many bytes of a chunk's first sector have to be zero for the sector to be taken as lost; a chunk
	// begins with its checksum.
	minSectorBytes = 2
)

// checksumMaskDelta is added to a rotated checksum (LevelDB, util/crc32c.h).
const checksumMaskDelta = 0xa282ead8

// checkLogs checks each write-ahead log of a store. nil: no more than the last record is torn.
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

// findDamage reads a log. ok: it is intact, or its last record alone is torn. Otherwise it is damaged at that byte.
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
				return torn, false // a record was written behind it, so it had been complete
			}
			offset = end
		}
	}
	return torn, true
}

// chunkEnd is where the chunk at an offset ends, by its header.
func chunkEnd(block []byte, offset int) int {
	return offset + chunkHeaderBytes + int(binary.LittleEndian.Uint16(block[offset+lengthOffset:]))
}

func beginsRecord(chunkType byte) bool { return chunkType == chunkFull || chunkType == chunkFirst }

// isIntact says that the chunk of a block from start to end is as it was written.
func isIntact(block []byte, start, end int) bool {
	chunkType := block[start+typeOffset]
	return chunkType >= chunkFull && chunkType <= chunkLast && end <= len(block) &&
		maskedChecksum(block[start+typeOffset:end]) == binary.LittleEndian.Uint32(block[start:])
}

// isTorn says that the chunk from start to end, which is not intact, lacks bytes that never reached the disk: its end, which is
// then the file's or zeros, or a sector. Anything else is a bit that was flipped.
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

// lacksSector says that what the chunk from start to end has in some sector is all zeros. Blocks begin with a sector.
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

// hasRecordStart says that a complete record, or the first chunk of one, stands somewhere in the rest of a block: it was written
// behind the chunk that is not intact.
func hasRecordStart(rest []byte) bool {
	for ; len(rest) >= chunkHeaderBytes; rest = rest[1:] {
		end := chunkEnd(rest, 0)
		if beginsRecord(rest[typeOffset]) && end <= len(rest) && maskedChecksum(rest[typeOffset:end]) == binary.LittleEndian.Uint32(rest) {
			return true
		}
	}
	return false
}

func isZero(p []byte) bool {
	for _, b := range p {
		if b != 0 {
			return false
		}
	}
	return true
}

// maskedChecksum is a chunk's CRC-32C as the format stores it.
func maskedChecksum(p []byte) uint32 {
	sum := crc32.Checksum(p, crc32c)
	return (sum>>15 | sum<<17) + checksumMaskDelta
}
