package operations

import (
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

// An encoded history is a header (the format, whether some operations were forgotten, and up to which version) and a record of
// fixed size for each operation. Integers are big endian. Members store it on disk.
const encodingVersion byte = 1

// Layout of an encoded history: offsets and sizes in bytes.
const (
	incompleteOffset   = 1
	maxForgottenOffset = 2
	headerSize         = maxForgottenOffset + uint64Size

	// Within a record, the version comes first.
	logTimeOffset = uint64Size
	digestOffset  = logTimeOffset + uint64Size
	recordSize    = digestOffset + len(Digest{})

	uint64Size = 8
)

// ErrEncoding is the error of Decode for bytes that are not an encoded History. What holds them is corrupted: decoding them again is of
// no use.
const ErrEncoding = errors.ConstError("not an operation history")

// Encode returns the history in its stored form. A history without operations has a header, too, so that an item with an empty history
// differs from one that an earlier release stored without any.
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
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(h.maxForgotten))
	for _, operation := range h.accepted {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(operation.Version))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(operation.LogTime))
		encoded = append(encoded, operation.Digest[:]...)
	}
	return encoded
}

// Decode decodes the stored form of a history. Its errors are ErrEncoding.
func Decode(encoded []byte) (*History, error) {
	if !hasValidLayout(encoded) {
		return nil, errors.Annotatef(ErrEncoding, "%d bytes", len(encoded))
	}
	h := &History{
		incomplete:   encoded[incompleteOffset] == 1,
		maxForgotten: int64(binary.BigEndian.Uint64(encoded[maxForgottenOffset:])),
	}
	for records := encoded[headerSize:]; len(records) > 0; records = records[recordSize:] {
		operation := decodeRecord(records)
		if n := len(h.accepted); n > 0 && h.accepted[n-1].Version >= operation.Version {
			return nil, errors.Annotatef(ErrEncoding, "version %d is out of order", operation.Version)
		}
		h.accepted = append(h.accepted, operation)
	}
	return h, nil
}

// hasValidLayout reports whether bytes have the version and the length of an encoded history.
func hasValidLayout(encoded []byte) bool {
	return len(encoded) >= headerSize && encoded[0] == encodingVersion && encoded[incompleteOffset] <= 1 &&
		(len(encoded)-headerSize)%recordSize == 0
}

// decodeRecord decodes the first of several records.
func decodeRecord(records []byte) Operation {
	operation := Operation{
		Version: int64(binary.BigEndian.Uint64(records)),
		LogTime: time.Duration(binary.BigEndian.Uint64(records[logTimeOffset:])),
	}
	copy(operation.Digest[:], records[digestOffset:])
	return operation
}
