package codec

import (
	"encoding/binary"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/wire"
)

// PackedHeaderVersion is the first transport version that packs headers. A FlatBuffers table per field would double the size of most
// fields, and take more CPU time than the rest of the frame.
const PackedHeaderVersion = 2

// knownHeaderFields are the names of fields that are encoded as a number, starting at 1. Their order must never change, and adding a name
// requires a new transport version.
var knownHeaderFields = [...]string{
	"Attempt-Id", "Operation-Key", "Caller-Service", "Server-Seal", "Content-Type", "Date", "User-Agent", "Accept",
	"Accept-Encoding", "Accept-Language", "Not-Executed", "Retry-After", "Instance-Id", "Cache-Control",
	"Content-Encoding", "Content-Language", "Content-Range", "Etag", "Last-Modified", "Location", "Vary", "Authorization",
	"Cookie", "Set-Cookie", "If-None-Match", "Range", "X-Request-Id", "Traceparent", "Tracestate",
}

// headerFieldNumbers are the numbers of knownHeaderFields by name.
var headerFieldNumbers = func() map[string]uint64 {
	numbers := map[string]uint64{}
	for i, name := range knownHeaderFields {
		numbers[name] = uint64(i + 1)
	}
	return numbers
}()

// ErrMalformedHeader means that bytes are not a packed header.
const ErrMalformedHeader = errors.ConstError("malformed packed header")

// AppendHeaderField appends a field to a packed header. The encoding is the number of the name, or 0 and the name if it has no number, then
// the value. Numbers, and the lengths that precede texts, are unsigned varints.
func AppendHeaderField(packed []byte, name, value string) []byte {
	number := headerFieldNumbers[name]
	packed = binary.AppendUvarint(packed, number)
	if number == 0 {
		packed = appendText(packed, name)
	}
	return appendText(packed, value)
}

// appendText appends the length of a text and the text.
func appendText(packed []byte, text string) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(text)))
	return append(packed, text...)
}

// UnpackHeader decodes a packed header. The fields do not share memory with packed. The error is ErrMalformedHeader.
func UnpackHeader(packed []byte) (fields []*wire.HeaderFieldT, err error) {
	for len(packed) > 0 {
		var f *wire.HeaderFieldT
		if f, packed, err = readField(packed); err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
	return fields, nil
}

// readField decodes the first field of packed and returns the remaining bytes.
func readField(packed []byte) (f *wire.HeaderFieldT, rest []byte, err error) {
	number, rest, err := readNumber(packed)
	if err != nil {
		return nil, nil, err
	}
	f = &wire.HeaderFieldT{}
	switch {
	case number == 0:
		if f.Name, rest, err = readText(rest); err != nil {
			return nil, nil, err
		}
	case number <= uint64(len(knownHeaderFields)):
		f.Name = knownHeaderFields[number-1]
	default:
		return nil, nil, errors.Annotatef(ErrMalformedHeader, "field of number %d", number)
	}
	if f.Value, rest, err = readText(rest); err != nil {
		return nil, nil, err
	}
	return f, rest, nil
}

// readNumber decodes a varint at the beginning of packed and returns the remaining bytes.
func readNumber(packed []byte) (number uint64, rest []byte, err error) {
	number, size := binary.Uvarint(packed)
	if size <= 0 {
		return 0, nil, ErrMalformedHeader
	}
	return number, packed[size:], nil
}

// readText decodes a length-prefixed text at the beginning of packed and returns the remaining bytes.
func readText(packed []byte) (text string, rest []byte, err error) {
	length, rest, err := readNumber(packed)
	if err != nil || length > uint64(len(rest)) {
		return "", nil, ErrMalformedHeader
	}
	return string(rest[:length]), rest[length:], nil
}

// PackResponse returns a copy of a response with its header packed. It does not modify the original, which may be stored. A response
// without header fields is returned as it is.
func PackResponse(response *wire.ResponseT) *wire.ResponseT {
	if len(response.HeaderFields) == 0 {
		return response
	}
	packed := *response
	packed.HeaderFields = nil
	for _, f := range response.HeaderFields {
		packed.PackedHeader = AppendHeaderField(packed.PackedHeader, f.Name, f.Value)
	}
	return &packed
}
