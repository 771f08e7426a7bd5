package operations

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// operation returns an operation with the given version and content.
func operation(version int64, content string) Operation {
	return Operation{Version: version, Digest: DigestOf([]byte(content)), LogTime: time.Duration(version) * time.Second}
}

// TestClassify checks that the classification does not depend on the order in which operations were accepted, and that operations that may
// have been dropped are Unknown, not New.
func TestClassify(t *testing.T) {
	var h *History
	for _, version := range []int64{5, 2, 9} {
		h = h.With(operation(version, "x"))
	}
	h = h.With(operation(5, "y")) // has no effect: the version was accepted before
	classify := func(version int64, content string) Classification {
		return h.Classify(version, DigestOf([]byte(content)))
	}
	assert.Equal(t, classify(5, "x"), Duplicate)
	assert.Equal(t, classify(5, "y"), Conflict)
	assert.Equal(t, classify(3, "x"), New)
	before := h
	h = h.Without(5).Without(5)
	assert.Equal(t, classify(5, "x"), Unknown)
	assert.Equal(t, classify(5, "y"), Unknown)
	assert.Equal(t, classify(3, "z"), Unknown)
	assert.Equal(t, classify(2, "x"), Duplicate)
	assert.Equal(t, classify(9, "y"), Conflict)
	assert.Equal(t, classify(6, "x"), New)
	assert.Equal(t, before.Classify(5, DigestOf([]byte("x"))), Duplicate) // a history is immutable
	h = IncompleteThrough(7)
	assert.Equal(t, classify(7, "x"), Unknown)
	assert.Equal(t, classify(8, "x"), New)
}

// TestDigestOf checks that the same bytes divided into other parts have another digest.
func TestDigestOf(t *testing.T) {
	assert.Assert(t, DigestOf([]byte("ab"), []byte("c")) != DigestOf([]byte("a"), []byte("bc")))
	assert.Assert(t, DigestOf([]byte("abc")) != DigestOf([]byte("abc"), nil))
	assert.Equal(t, DigestOf([]byte("abc")), DigestOf([]byte("abc")))
}

// TestEncode checks that decoding an encoded history results in an equivalent history, and that Decode rejects truncated encodings and
// versions that are not ascending.
func TestEncode(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var h *History
		for range random.IntN(9) {
			h = h.With(operation(random.Int64N(40)-20, "x"))
		}
		if random.IntN(2) == 0 {
			h = h.Without(random.Int64N(40) - 20)
		}
		encoded := h.Encode()
		decoded, err := Decode(encoded)
		assert.NilError(t, err)
		for version := int64(-21); version <= 21; version++ {
			for _, content := range []string{"x", "y"} {
				assert.Equal(t, decoded.Classify(version, DigestOf([]byte(content))), h.Classify(version, DigestOf([]byte(content))))
			}
		}
		for cut := range len(encoded) {
			if (cut-headerSize)%recordSize != 0 || cut < headerSize {
				_, err := Decode(encoded[:cut])
				assert.Assert(t, errors.Is(err, ErrEncoding), "cut at %d of %d", cut, len(encoded))
			}
		}
	}
	repeated := operation(3, "x")
	encoded := (&History{accepted: []Operation{repeated, repeated}}).Encode()
	_, err := Decode(encoded)
	assert.Assert(t, errors.Is(err, ErrEncoding))
}

// TestDroppedVersionsAreNeverNew checks that no version up to the highest dropped one is New, in whatever order versions were dropped.
func TestDroppedVersionsAreNeverNew(t *testing.T) {
	for _, order := range [][]int64{{2, 5}, {5, 2}} {
		h := (*History)(nil).With(operation(2, "x")).With(operation(5, "x")).With(operation(9, "x"))
		for _, version := range order {
			h = h.Without(version)
		}
		for version, want := range map[int64]Classification{1: Unknown, 2: Unknown, 4: Unknown, 5: Unknown, 6: New, 9: Duplicate} {
			assert.Equal(t, h.Classify(version, DigestOf([]byte("x"))), want, "version %d after %v", version, order)
		}
	}
}
