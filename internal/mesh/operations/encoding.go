package operations

import (
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

// encodingVersion is the version of the encoding of a History, which members store on disk. An encoded history is a header and a
// fixed-size record for each operation. The header contains the encoding version, whether operations were dropped, and the highest dropped
// version. Integers are big-endian.
const encodingVersion byte = 1

// Layout of an encoded history: offsets and sizes, in bytes.
const (
	incompleteOffset = 1
	maxDroppedOffset = 2
	headerSize       = maxDroppedOffset + uint64Size

	// Offsets within a record, which begins with the version.
	logTimeOffset = uint64Size
	digestOffset  = logTimeOffset + uint64Size
	recordSize    = digestOffset + len(Digest{})

	uint64Size = 8
)

// ErrEncoding is returned by Decode for bytes that are not an encoded History. They are corrupted, so a retry would fail again.
const ErrEncoding = errors.ConstError("not an operation history")

// Encode returns the encoding of the history. A history without operations is encoded as a header, so that an item with an empty history
// can be distinguished from an item that an earlier release stored without a history.
func (h *History) Encode() []byte {
	if h == nil {
		h = new(History)
	}
	encoded := make([]byte, 0, headerSize+len(h.accepted)*recordSize)
	incomplete := byte(0)
	if h.incomplete {
		incomplete = 1
	}
	encoded = append(encoded, encodingVersion, incomplete)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(h.maxDropped))
	for _, operation := range h.accepted {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(operation.Version))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(operation.LogTime))
		encoded = append(encoded, operation.Digest[:]...)
	}
	return encoded
}

// Decode decodes an encoded history. Its errors wrap ErrEncoding.
func Decode(encoded []byte) (*History, error) {
	if !hasValidLayout(encoded) {
		return nil, errors.Annotatef(ErrEncoding, "invalid header or length (%d bytes)", len(encoded))
	}
	h := &History{
		incomplete: encoded[incompleteOffset] == 1,
		maxDropped: int64(binary.BigEndian.Uint64(encoded[maxDroppedOffset:])),
	}
	for records := encoded[headerSize:]; len(records) > 0; records = records[recordSize:] {
		operation := decodeRecord(records)
		if n := len(h.accepted); n > 0 && h.accepted[n-1].Version >= operation.Version {
			return nil, errors.Annotatef(ErrEncoding, "version %d is not greater than the version before it", operation.Version)
		}
		h.accepted = append(h.accepted, operation)
	}
	return h, nil
}

// hasValidLayout reports whether encoded has a valid header and the length of an encoded history.
func hasValidLayout(encoded []byte) bool {
	return len(encoded) >= headerSize && encoded[0] == encodingVersion && encoded[incompleteOffset] <= 1 &&
		(len(encoded)-headerSize)%recordSize == 0
}

// decodeRecord decodes the first record of records.
func decodeRecord(records []byte) Operation {
	operation := Operation{
		Version: int64(binary.BigEndian.Uint64(records)),
		LogTime: time.Duration(binary.BigEndian.Uint64(records[logTimeOffset:])),
	}
	copy(operation.Digest[:], records[digestOffset:])
	return operation
}
