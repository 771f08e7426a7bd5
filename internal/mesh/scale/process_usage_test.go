package scale

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseStatWithAnyProgramName shows that spaces and parentheses in the name do not shift the fields.
func TestParseStatWithAnyProgramName(t *testing.T) {
	processor, resident, err := parseStat("12 (a ) S b) S 1 12 12 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 9 0 100 999999 32 18446744073709551615 1 1")
	assert.NilError(t, err)
	assert.Equal(t, processor, 3.0)
	assert.Equal(t, resident, int64(32*os.Getpagesize()))
	for _, text := range []string{"", "12 (x", "12 (x) S 1 2", "12 (x) S 1 12 12 0 -1 4194304 100 0 0 0 a b 0 0 20 0 9 0 100 999999 32 1 1 1"} {
		_, _, err := parseStat(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}
