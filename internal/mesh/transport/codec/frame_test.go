package codec

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// Encoding and decoding preserves the type of a message, even if most fields are unset.
func TestEveryMessageRoundTrips(t *testing.T) {
	for _, v := range []any{
		&wire.HelloT{Name: "n", Incarnation: 3},
		&wire.HeartbeatT{QuorumContact: true},
		&wire.RequestT{Id: 1, Body: []byte("b"), HeaderFields: []*wire.HeaderFieldT{{Name: "a", Value: "b"}}},
		&wire.ResponseT{Id: 1, Status: 200},
		&wire.BodyChunkT{Last: true},
		&wire.WindowUpdateT{Increment: 5},
		&wire.CancelT{Id: 9},
		&wire.RecordsT{},
		&wire.ItemsT{Complete: true},
		&wire.MembersT{Index: 4},
		&wire.RaftMessageT{Term: 8, Snapshot: &wire.SnapshotT{Index: 2}},
		&wire.CallT{Kind: 1},
		&wire.CallReplyT{Status: 503},
	} {
		m, err := Decode(Encode(v)[LengthBytes:])
		assert.NilError(t, err)
		assert.Equal(t, m.Type, NewMessage(v).Type)
	}
}

// Decode never panics: arbitrary bytes are either decoded or rejected with ErrMalformedFrame.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(&wire.RequestT{Id: 1, Method: "GET", HeaderFields: []*wire.HeaderFieldT{{Name: "a"}}})[LengthBytes:])
	f.Add(Encode(&wire.RaftMessageT{Entries: []*wire.EntryT{{Index: 1}}})[LengthBytes:])
	f.Fuzz(func(t *testing.T, p []byte) {
		if _, err := Decode(p); err != nil {
			assert.Assert(t, errors.Is(err, ErrMalformedFrame), "%v", err)
		}
	})
}
