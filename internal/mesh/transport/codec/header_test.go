package codec

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// Whatever fields there are, known by number or not, come back as they were, in their order; a head that is cut anywhere within a
// field, or of an unknown number, is an error and no panic.
func TestPackedHeaderRoundTrips(t *testing.T) {
	fields := []*wire.HeaderFieldT{{Name: "Attempt-Id", Value: "9c41d07be2a35f68"}, {Name: "X-Own", Value: ""}, {Name: "", Value: "v"}, {Name: "X-Own", Value: "again"},
		{Name: "Tracestate", Value: string(make([]byte, 300))}}
	a := PackResponse(&wire.ResponseT{HeaderFields: fields, Status: 200})
	assert.Assert(t, a.HeaderFields == nil && len(a.PackedHeader) < 360)
	got, err := UnpackHeader(a.PackedHeader)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, fields)
	whole := map[int]bool{0: true}
	var p []byte
	for _, f := range fields {
		p = AppendHeaderField(p, f.Name, f.Value)
		whole[len(p)] = true
	}
	for n := range a.PackedHeader {
		_, err := UnpackHeader(a.PackedHeader[:n])
		assert.Equal(t, errors.Is(err, ErrMalformedHeader), !whole[n], "cut at %d: %v", n, err)
	}
	_, err = UnpackHeader([]byte{200, 1, 0})
	assert.Assert(t, errors.Is(err, ErrMalformedHeader))
	assert.Equal(t, len(headerFieldNumbers), len(knownHeaderFields), "each name once")
}

func FuzzUnpackHeader(f *testing.F) {
	f.Add(AppendHeaderField(AppendHeaderField(nil, "Date", "now"), "X", "y"))
	f.Fuzz(func(t *testing.T, p []byte) {
		l, err := UnpackHeader(p)
		if err != nil {
			return
		}
		var again []byte
		for _, x := range l {
			again = AppendHeaderField(again, x.Name, x.Value)
		}
		back, err := UnpackHeader(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, l)
	})
}
