package outlier

import (
	"errors"
	"reflect"
	"testing"
)

// TestEncodingStaysAsEarlierBuildsHaveIt pins bytes between nodes: members of two builds run side by side during an upgrade.
func TestEncodingStaysAsEarlierBuildsHaveIt(t *testing.T) {
	digest := Digest{Pool: 1, Seq: 2, SubsetSize: 3, Observations: []Observation{{4, 5, 6, 7, 8, 9}}}
	const want = "\x01" + "\x01\x00\x00\x00" + "\x02\x00\x00\x00" + "\x03\x00" + "\x01" + "\x04\x00\x00\x00\x05\x06\x07\x08\x09"
	if got := string(digest.Encode()); got != want {
		t.Errorf("encoded as %x, want %x", got, want)
	}
}

// FuzzDecode: what is decoded survives another encoding, within its bounds, and every error is an ErrDigest.
func FuzzDecode(f *testing.F) {
	f.Add(Digest{Pool: 1, Seq: 2, SubsetSize: 3, Observations: []Observation{{4, 5, 6, 7, 8, 9}}}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		digest, err := Decode(b)
		if err != nil {
			if !errors.Is(err, ErrDigest) {
				t.Error(err)
			}
			return
		}
		again, err := Decode(digest.Encode())
		if err != nil || !reflect.DeepEqual(again, digest) || len(digest.Encode()) > MaxDigestBytes {
			t.Errorf("%x is decoded as %+v, and that as %+v, %v", b, digest, again, err)
		}
	})
}
