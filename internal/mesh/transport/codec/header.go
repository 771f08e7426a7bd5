package codec

import (
	"encoding/binary"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/wire"
)

// Heads from this version on are packed: a FlatBuffers table for each field takes twice the bytes of most fields, and more of a
// processor's time than all else in a frame.
const PackedHeaderVersion = 2

// knownHeaderFields are header fields by number, from 1. It is never reordered, only added to with a new Version.
var knownHeaderFields = [...]string{"Attempt-Id", "Operation-Key", "Caller-Service", "Server-Seal", "Content-Type", "Date", "User-Agent", "Accept",
	"Accept-Encoding", "Accept-Language", "Not-Executed", "Retry-After", "Instance-Id", "Cache-Control", "Content-Encoding", "Content-Language",
	"Content-Range", "Etag", "Last-Modified", "Location", "Vary", "Authorization", "Cookie", "Set-Cookie", "If-None-Match", "Range",
	"X-Request-Id", "Traceparent", "Tracestate"}

var headerFieldNumbers = func() map[string]uint64 {
	m := map[string]uint64{}
	for i, n := range knownHeaderFields {
		m[n] = uint64(i + 1)
	}
	return m
}()

// ErrMalformedHeader is that a packed head is none.
const ErrMalformedHeader = errors.ConstError("the head can't be read")

// AppendHeaderField adds a field to a packed head: the name's number, or 0 and the name, then the value.
func AppendHeaderField(p []byte, name, value string) []byte {
	n := headerFieldNumbers[name]
	p = binary.AppendUvarint(p, n)
	if n == 0 {
		p = binary.AppendUvarint(p, uint64(len(name)))
		p = append(p, name...)
	}
	p = binary.AppendUvarint(p, uint64(len(value)))
	return append(p, value...)
}

// UnpackHeader reads a packed head. Its strings hold no bytes of it.
func UnpackHeader(p []byte) (fields []*wire.HeaderFieldT, err error) {
	number := func() (n uint64) {
		n, size := binary.Uvarint(p)
		if size <= 0 {
			err = ErrMalformedHeader
			return 0
		}
		p = p[size:]
		return n
	}
	text := func() string {
		n := number()
		if err != nil || n > uint64(len(p)) {
			err = ErrMalformedHeader
			return ""
		}
		s := string(p[:n])
		p = p[n:]
		return s
	}
	for len(p) > 0 && err == nil {
		f := &wire.HeaderFieldT{}
		switch n := number(); {
		case n == 0:
			f.Name = text()
		case n <= uint64(len(knownHeaderFields)):
			f.Name = knownHeaderFields[n-1]
		default:
			return nil, ErrMalformedHeader
		}
		f.Value = text()
		fields = append(fields, f)
	}
	if err != nil {
		return nil, err
	}
	return fields, nil
}

// PackResponse words an answer's head for whoever packs heads. The answer itself stays as it is: it may be kept.
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
