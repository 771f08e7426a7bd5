package fleet

import (
	"errors"
	"reflect"
	"testing"

	"cranegrade/internal/fleet/outlier"
)

// TestDigestMessageEncodingIsStableAcrossVersions compares an encoded message with fixed bytes: members of different versions run side by
// side during an upgrade.
func TestDigestMessageEncodingIsStableAcrossVersions(t *testing.T) {
	digest := outlier.Digest{Pool: 1, Seq: 2, SubsetSize: 3}
	got := encodeDigest("n1", 4, digest)
	want := "\x03\x02n1" + "\x04\x00\x00\x00\x00\x00\x00\x00" + string(digest.Encode())
	if string(got) != want {
		t.Errorf("encoded as %x, want %x", got, want)
	}
	if decoded, err := decodeDigest(got); err != nil || !reflect.DeepEqual(decoded, peerDigest{"n1", 4, digest}) {
		t.Errorf("decoded as %+v with error %v, want the encoded digest", decoded, err)
	}
}

// TestInvalidDigestMessagesAreRejected checks that truncated messages, and those with too long a name, return an error.
func TestInvalidDigestMessagesAreRejected(t *testing.T) {
	valid := string(encodeDigest("n1", 4, outlier.Digest{Pool: 1, Seq: 2}))
	for name, message := range map[string]string{
		"type alone":      valid[:1],
		"cut in the name": valid[:3],
		"no digest":       valid[:12],
		"name too long":   "\x03\xff" + valid + valid + valid + valid + valid + valid + valid + valid + valid + valid + valid + valid,
	} {
		t.Run(name, func(t *testing.T) {
			if d, err := decodeDigest([]byte(message)); !errors.Is(err, outlier.ErrDigest) {
				t.Errorf("decoded as %+v with error %v, want outlier.ErrDigest", d, err)
			}
		})
	}
}

// TestQuotaIDIsStableAcrossVersions compares a quota ID with a fixed value: members of different versions identify the quotas of which they
// lend parts by this hash.
func TestQuotaIDIsStableAcrossVersions(t *testing.T) {
	if got, want := uint32(quotaID(1, "tenant")), uint32(0xcc145b74); got != want {
		t.Errorf("the quota ID is %x, want %x", got, want)
	}
}
