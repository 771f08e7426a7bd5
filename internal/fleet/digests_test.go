package fleet

import (
	"errors"
	"reflect"
	"testing"

	"cranegrade/internal/fleet/outlier"
)

// TestDigestMessageStaysAsEarlierBuildsHaveIt pins bytes between nodes: members of two builds run side by side during an upgrade.
func TestDigestMessageStaysAsEarlierBuildsHaveIt(t *testing.T) {
	digest := outlier.Digest{Pool: 1, Seq: 2, SubsetSize: 3}
	got := encodeDigest("n1", 4, digest)
	want := "\x03\x02n1" + "\x04\x00\x00\x00\x00\x00\x00\x00" + string(digest.Encode())
	if string(got) != want {
		t.Errorf("encoded as %x, want %x", got, want)
	}
	if decoded, err := decodeDigest(got); err != nil || !reflect.DeepEqual(decoded, peerDigest{"n1", 4, digest}) {
		t.Errorf("decoded as %+v, %v", decoded, err)
	}
}

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
				t.Errorf("decoded as %+v, %v", d, err)
			}
		})
	}
}

// TestQuotaIDStaysAsEarlierBuildsHaveIt: members lend shares of a quota by this hash.
func TestQuotaIDStaysAsEarlierBuildsHaveIt(t *testing.T) {
	if got, want := uint32(quotaID(1, "tenant")), uint32(0xcc145b74); got != want {
		t.Errorf("the hash is %x, want %x", got, want)
	}
}
