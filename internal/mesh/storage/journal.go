package storage

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"io/fs"

	"github.com/juju/errors"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// A journal of goleveldb (LevelDB's log format): blocks of 32 KiB of chunks, each a checksum, a length, a type and its bytes;
// a record is one full chunk, or a first, middles and a last. Every record is synced before the next is written, so a loss of
// power can leave one record torn, and that the last: without its end, or without some of its sectors. goleveldb either takes
// any damage for the end of the journal or takes a torn end for damage; both are wrong here, so this tells the one from the
// other before it is opened.

const (
	blockBytes       = 32 << 10
	chunkHeaderBytes = 7
)

// Types of chunks.
const (
	chunkFull = 1 + iota
	chunkFirst
	chunkMiddle
	chunkLast
)

// checkLogs checks each journal of a store: nil where no more than its last record is torn.
func checkLogs(files storage.Storage) error {
	logs, err := files.List(storage.TypeJournal)
	if err != nil {
		return err
	}
	for _, f := range logs {
		p, err := readAll(files, f)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if at, ok := findDamage(p); !ok {
			return errors.Annotatef(ErrCorrupted, "%v at byte %d", f, at)
		}
	}
	return nil
}

func readAll(files storage.Storage, f storage.FileDesc) ([]byte, error) {
	r, err := files.Open(f)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

// findDamage walks one. ok: it is whole, or its last record alone is torn; else at is where it is damaged.
func findDamage(log []byte) (at int, ok bool) {
	torn := -1 // where the first chunk that is not whole begins
	for start := 0; start < len(log); start += blockBytes {
		block := log[start:min(start+blockBytes, len(log))]
		for offset := 0; len(block)-offset >= chunkHeaderBytes; {
			end := offset + chunkHeaderBytes + int(binary.LittleEndian.Uint16(block[offset+4:]))
			if !isIntact(block, offset, end) {
				if !isTorn(block, offset, end) || hasRecordStart(block[offset+1:]) {
					return start + offset, false
				}
				if torn < 0 {
					torn = start + offset
				}
				break
			}
			if kind := block[offset+6]; torn >= 0 && (kind == chunkFull || kind == chunkFirst) {
				return torn, false // a record was written behind it, so it had been whole
			}
			offset = end
		}
	}
	return torn, true
}

// isIntact says that the chunk of a block that stands from j to end is as it was written.
func isIntact(block []byte, start, end int) bool {
	kind := block[start+6]
	return kind >= chunkFull && kind <= chunkLast && end <= len(block) && maskedChecksum(block[start+6:end]) == binary.LittleEndian.Uint32(block[start:])
}

// isTorn says that the chunk that stands from j to end, and is not whole, misses bytes that never came: its end, which is
// the file's or zeros, or a sector. Anything else was turned.
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

// Sectors reach a disk whole, and in any order.
const (
	sectorBytes = 512
	// minSectorBytes is how many bytes of a chunk's first sector have to be zero for the sector to be taken as missing; a chunk
	// begins with its checksum.
	minSectorBytes = 2
)

// lacksSector says that what the chunk from j to end has in some sector is all zeros. Blocks begin with a sector.
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

// hasRecordStart says that a whole record, or the first chunk of one, stands somewhere in what is left of a block: it was written
// behind the chunk that is not whole.
func hasRecordStart(rest []byte) bool {
	for ; len(rest) >= chunkHeaderBytes; rest = rest[1:] {
		if n := int(binary.LittleEndian.Uint16(rest[4:])); (rest[6] == chunkFull || rest[6] == chunkFirst) && chunkHeaderBytes+n <= len(rest) &&
			maskedChecksum(rest[6:chunkHeaderBytes+n]) == binary.LittleEndian.Uint32(rest) {
			return true
		}
	}
	return false
}

func isZero(p []byte) bool {
	for _, c := range p {
		if c != 0 {
			return false
		}
	}
	return true
}

// maskedChecksum is a chunk's checksum as the format keeps it.
func maskedChecksum(p []byte) uint32 {
	c := crc32.Checksum(p, crc32c)
	return (c>>15 | c<<17) + 0xa282ead8
}
