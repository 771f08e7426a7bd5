package membership

import (
	"bytes"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestMetadataCodec(t *testing.T) {
	m := testMetadata("n1", 1<<63)
	m.Pools = []PoolDigest{{9, 1}, {3, 2}}
	got, err := DecodeMetadata(append(m.Encode(), "later"...))
	if slices.Reverse(m.Pools); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("decoded %+v, %v; want %+v", got, err, m)
	}
}

func TestMetadataWithTooManyPoolsIsEncodedAsAllPools(t *testing.T) {
	m := testMetadata(strings.Repeat("n", MaxName), 1)
	m.Zone = strings.Repeat("z", MaxZone)
	for i := range 200 {
		m.Pools = append(m.Pools, PoolDigest{uint32(i) + 10, 1})
	}
	b := m.Encode()
	if len(b) > MaxMetadataBytes {
		t.Errorf("%d bytes, want at most %d", len(b), MaxMetadataBytes)
	}
	if got, err := DecodeMetadata(b); err != nil || !got.AllPools {
		t.Errorf("decoded %+v, %v; want AllPools", got, err)
	}
}

func TestHeartbeatCodec(t *testing.T) {
	h := Heartbeat{
		From: "n1", Incarnation: 1, To: 2, Seq: 3, Epoch: 4, VotersCommitted: true, RosterHash: 5, Echo: 6, EchoIncarnation: 7,
		Failed: []uint64{8, 9},
	}
	if got, _, err := DecodeHeartbeat(h.Encode()); err != nil || !reflect.DeepEqual(got, h) {
		t.Errorf("decoded %+v, %v; want %+v", got, err, h)
	}
	h.Failed = make([]uint64, 1000)
	if b := h.Encode(); len(b) > MaxHeartbeatBytes {
		t.Errorf("%d bytes, want at most %d", len(b), MaxHeartbeatBytes)
	}
}

func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	for name, h := range map[string]Heartbeat{
		"name too long":      {From: strings.Repeat("n", 200), Seq: 1, Epoch: 1},
		"no sequence number": {From: "n", Epoch: 1},
		"space in the name":  {From: "a b", Seq: 1, Epoch: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := DecodeHeartbeat(h.Encode()); !errors.Is(err, ErrHeartbeat) {
				t.Errorf("%+v is decoded with error %v", h, err)
			}
		})
	}
}

// TestEncodingsAreCompatibleWithEarlierBuilds checks the exact bytes: members of two builds exchange messages during an upgrade.
func TestEncodingsAreCompatibleWithEarlierBuilds(t *testing.T) {
	metadata := Metadata{Name: "n1", Incarnation: 0x0102, Protocol: 1, Zone: "a", Pools: []PoolDigest{{ID: 3, Digest: 7}}}
	heartbeat := Heartbeat{
		From: "n1", Incarnation: 1, To: 2, Seq: 3, Epoch: 4, Leaving: true, VotersCommitted: true, RosterHash: 5, Echo: 6,
		EchoIncarnation: 7, Failed: []uint64{8},
	}
	entries := []Entry{{Name: "n1", Epoch: 1, Voter: true}, {Name: "n2", Epoch: 7, Removed: true}}
	for name, c := range map[string]struct{ got, want string }{
		"metadata": {string(metadata.Encode()), "\x01\x02n1\x01a\x02\x01\x00\x00\x00\x00\x00\x00\x01\x03\x00\x00\x00\x07\x00\x00\x00"},
		"heartbeat": {
			string(heartbeat.Encode()),
			"\x01\x03\x02n1" + "\x01\x00\x00\x00\x00\x00\x00\x00" + "\x02\x00\x00\x00\x00\x00\x00\x00" + "\x03\x00\x00\x00\x00\x00\x00\x00" +
				"\x05\x00\x00\x00\x00\x00\x00\x00" + "\x06\x00\x00\x00\x00\x00\x00\x00" + "\x07\x00\x00\x00\x00\x00\x00\x00" +
				"\x04\x00\x00\x00" + "\x01\x00" + "\x08\x00\x00\x00\x00\x00\x00\x00",
		},
		"entries": {string(EncodeEntries(entries)), "\x01\x02\x00" + "\x01\x02n1\x01\x00\x00\x00" + "\x02\x02n2\x07\x00\x00\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("encoded as\n%x, want\n%x", c.got, c.want)
			}
		})
	}
}

// TestRosterHashIsCompatibleWithEarlierBuilds checks the exact hash: members of two builds accept each other's grants only if their hashes
// are the same.
func TestRosterHashIsCompatibleWithEarlierBuilds(t *testing.T) {
	r := NewRoster(0, "a", 1, Lease{Duration: time.Microsecond, Nodes: 3})
	r.Merge(0, []Entry{{Name: "n1", Epoch: 1, Voter: true}, {Name: "n2", Epoch: 7, Removed: true}})
	if got, want := r.Hash(), uint64(0xe44226d4ec369ec8); got != want {
		t.Errorf("the hash is %x, want %x", got, want)
	}
}

// addEncodings adds a seed of each format, so that each decoder is also tested with the formats of the others.
func addEncodings(f *testing.F) {
	f.Helper()
	f.Add(testMetadata("n1", 3).Encode())
	f.Add(Heartbeat{From: "n1", Incarnation: 1, To: 2, Seq: 3, Epoch: 4, Failed: []uint64{8}}.Encode())
	f.Add(EncodeEntries([]Entry{{"n1", 1, true, false}, {"n2", 7, false, true}}))
}

// FuzzDecodeMetadata checks that decoded metadata is within its limits and encodes to the bytes that were decoded.
func FuzzDecodeMetadata(f *testing.F) {
	addEncodings(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMetadata(b)
		if err != nil {
			return
		}
		if !bytes.HasPrefix(b, m.Encode()) || len(m.Name) > MaxName || len(m.Pools) > MaxPools {
			t.Errorf("%x is decoded as %+v", b, m)
		}
	})
}

// FuzzDecodeHeartbeat checks that a decoded heartbeat encodes to an equal one and is within its limits, and that a single heartbeat doesn't
// give its receiver a valid share.
func FuzzDecodeHeartbeat(f *testing.F) {
	addEncodings(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		h, _, err := DecodeHeartbeat(b)
		if err != nil {
			return
		}
		if again, _, err := DecodeHeartbeat(h.Encode()); err != nil || !reflect.DeepEqual(h, again) || len(h.Failed) > MaxFailed {
			t.Errorf("%x is decoded as %+v; encoded and decoded again it is %+v, %v", b, h, again, err)
		}
		r := NewRoster(0, "self", 1, Lease{Duration: time.Second, Nodes: 3})
		h.To = NameID("self")
		r.Receive(time.Second, h)
		if r.Share(time.Second).IsValid(time.Second) || len(r.members) > 2 {
			t.Errorf("%+v alone gives a valid share, or adds more than one member", h)
		}
	})
}

// FuzzDecodeEntries checks that decoded entries encode to equal ones.
func FuzzDecodeEntries(f *testing.F) {
	addEncodings(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		entries, err := DecodeEntries(b)
		if err != nil {
			return
		}
		if again, err := DecodeEntries(EncodeEntries(entries)); err != nil || !slices.Equal(entries, again) {
			t.Errorf("%x is decoded as %+v; encoded and decoded again it is %+v, %v", b, entries, again, err)
		}
	})
}
