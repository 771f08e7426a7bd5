package outlier

import (
	"errors"
	"reflect"
	"testing"
)

// TestEncodingIsCompatibleWithEarlierBuilds checks the exact bytes: members of two builds exchange digests during an upgrade.
func TestEncodingIsCompatibleWithEarlierBuilds(t *testing.T) {
	digest := Digest{Pool: 1, Seq: 2, SubsetSize: 3, Observations: []Observation{{4, 5, 6, 7, 8, 9}}}
	const want = "\x01" + "\x01\x00\x00\x00" + "\x02\x00\x00\x00" + "\x03\x00" + "\x01" + "\x04\x00\x00\x00\x05\x06\x07\x08\x09"
	if got := string(digest.Encode()); got != want {
		t.Errorf("encoded as %x, want %x", got, want)
	}
}

// FuzzDecode checks that a decoded digest encodes to an equal one within MaxDigestBytes, and that every error is an ErrDigest.
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
			t.Errorf("%x is decoded as %+v; encoded and decoded again it is %+v, %v", b, digest, again, err)
		}
	})
}
