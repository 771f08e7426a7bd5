package vault

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
	blockSize = 32 << 10
	chunkHead = 7
)

// Types of chunks.
const (
	chunkFull = 1 + iota
	chunkFirst
	chunkMiddle
	chunkLast
)

// journals checks each journal of a store: nil where no more than its last record is torn.
func journals(files storage.Storage) error {
	found, err := files.List(storage.TypeJournal)
	if err != nil {
		return err
	}
	for _, f := range found {
		p, err := readAll(files, f)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if at, ok := journal(p); !ok {
			return errors.Annotatef(ErrDamaged, "%v at byte %d", f, at)
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

// journal walks one. ok: it is whole, or its last record alone is torn; else at is where it is damaged.
func journal(p []byte) (at int, ok bool) {
	torn := -1 // where the first chunk that is not whole begins
	for block := 0; block < len(p); block += blockSize {
		b := p[block:min(block+blockSize, len(p))]
		for j := 0; len(b)-j >= chunkHead; {
			end := j + chunkHead + int(binary.LittleEndian.Uint16(b[j+4:]))
			if !whole(b, j, end) {
				if !interrupted(b, j, end) || begins(b[j+1:]) {
					return block + j, false
				}
				if torn < 0 {
					torn = block + j
				}
				break
			}
			if kind := b[j+6]; torn >= 0 && (kind == chunkFull || kind == chunkFirst) {
				return torn, false // a record was written behind it, so it had been whole
			}
			j = end
		}
	}
	return torn, true
}

// whole says that the chunk of a block that stands from j to end is as it was written.
func whole(b []byte, j, end int) bool {
	kind := b[j+6]
	return kind >= chunkFull && kind <= chunkLast && end <= len(b) && masked(b[j+6:end]) == binary.LittleEndian.Uint32(b[j:])
}

// interrupted says that the chunk that stands from j to end, and is not whole, misses bytes that never came: its end, which is
// the file's or zeros, or a sector. Anything else was turned.
func interrupted(b []byte, j, end int) bool {
	if zero(b[j:]) || missesSector(b, j, min(end, len(b))) {
		return true
	}
	switch {
	case end <= len(b):
		return b[end-1] == 0
	case len(b) == blockSize:
		return b[len(b)-1] == 0
	}
	return true
}

// Sectors reach a disk whole, and in any order.
const (
	sectorSize = 512
	// leastPiece is how many bytes of a chunk's first sector have to be zero for the sector to be taken as missing; a chunk
	// begins with its checksum.
	leastPiece = 2
)

// missesSector says that what the chunk from j to end has in some sector is all zeros. Blocks begin with a sector.
func missesSector(b []byte, j, end int) bool {
	first := min(j-j%sectorSize+sectorSize, len(b))
	if first-j >= leastPiece && zero(b[j:first]) {
		return true
	}
	for at := first; at+sectorSize <= end; at += sectorSize {
		if zero(b[at : at+sectorSize]) {
			return true
		}
	}
	return false
}

// begins says that a whole record, or the first chunk of one, stands somewhere in what is left of a block: it was written
// behind the chunk that is not whole.
func begins(b []byte) bool {
	for ; len(b) >= chunkHead; b = b[1:] {
		if n := int(binary.LittleEndian.Uint16(b[4:])); (b[6] == chunkFull || b[6] == chunkFirst) && chunkHead+n <= len(b) &&
			masked(b[6:chunkHead+n]) == binary.LittleEndian.Uint32(b) {
			return true
		}
	}
	return false
}

func zero(p []byte) bool {
	for _, c := range p {
		if c != 0 {
			return false
		}
	}
	return true
}

// masked is a chunk's checksum as the format keeps it.
func masked(p []byte) uint32 {
	c := crc32.Checksum(p, castagnoli)
	return (c>>15 | c<<17) + 0xa282ead8
}
