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
// power can leave one record torn, and that the last. goleveldb either takes any damage for the end of the journal or takes a
// torn end for damage; both are wrong here, so this tells the one from the other before it is opened.

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
			kind, n := b[j+6], int(binary.LittleEndian.Uint16(b[j+4:]))
			if kind == 0 && n == 0 && binary.LittleEndian.Uint32(b[j:]) == 0 {
				// Nothing was written here, or not yet: the rest of the block must be empty, too.
				if !zero(b[j:]) {
					return block + j, false
				}
				if torn < 0 {
					torn = block + j
				}
				break
			}
			end := j + chunkHead + n
			if kind < chunkFull || kind > chunkLast || end > len(b) || masked(b[j+6:end]) != binary.LittleEndian.Uint32(b[j:]) {
				// Torn is what misses its end: the file's, or bytes that never came. Anything else was turned.
				if torn >= 0 || end <= len(b) && b[end-1] != 0 || end > len(b) && block+blockSize <= len(p) && b[len(b)-1] != 0 {
					return block + j, false
				}
				if begins(b[j+1:]) {
					return block + j, false
				}
				torn = block + j
				break
			}
			if torn >= 0 && (kind == chunkFull || kind == chunkFirst) {
				return torn, false // a record was written behind it, so it had been whole
			}
			j = end
		}
	}
	return torn, true
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
