package codec

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// Packing and unpacking preserves fields and their order, whether or not their names have numbers. A header that is truncated within a
// field, or has an unknown number, is an error and does not panic.
func TestPackedHeaderRoundTrips(t *testing.T) {
	fields := []*wire.HeaderFieldT{
		{Name: "Attempt-Id", Value: "9c41d07be2a35f68"},
		{Name: "X-Own", Value: ""},
		{Name: "", Value: "v"},
		{Name: "X-Own", Value: "again"},
		{Name: "Tracestate", Value: string(make([]byte, 300))},
	}
	response := PackResponse(&wire.ResponseT{HeaderFields: fields, Status: 200})
	assert.Assert(t, response.HeaderFields == nil && len(response.PackedHeader) < 360)
	got, err := UnpackHeader(response.PackedHeader)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, fields)
	fieldEnds := map[int]bool{0: true}
	var packed []byte
	for _, f := range fields {
		packed = AppendHeaderField(packed, f.Name, f.Value)
		fieldEnds[len(packed)] = true
	}
	for n := range response.PackedHeader {
		_, err := UnpackHeader(response.PackedHeader[:n])
		assert.Equal(t, errors.Is(err, ErrMalformedHeader), !fieldEnds[n], "cut at %d: %v", n, err)
	}
	_, err = UnpackHeader([]byte{200, 1, 0})
	assert.Assert(t, errors.Is(err, ErrMalformedHeader))
	assert.Equal(t, len(headerFieldNumbers), len(knownHeaderFields), "each name once")
}

// A header that can be unpacked has the same fields after it is packed and unpacked again.
func FuzzUnpackHeader(f *testing.F) {
	f.Add(AppendHeaderField(AppendHeaderField(nil, "Date", "now"), "X", "y"))
	f.Fuzz(func(t *testing.T, p []byte) {
		fields, err := UnpackHeader(p)
		if err != nil {
			return
		}
		var packed []byte
		for _, field := range fields {
			packed = AppendHeaderField(packed, field.Name, field.Value)
		}
		again, err := UnpackHeader(packed)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, fields)
	})
}
