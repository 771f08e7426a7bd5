package duration

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a valid time that becomes 0 or negative by the conversion: a time-out of 0 once ended all sidecars.
func TestFromSecondsKeepsSign(t *testing.T) {
	for s, want := range map[float64]time.Duration{
		0:                           0,
		1.5:                         1500 * time.Millisecond,
		-2:                          -2 * time.Second,
		1e-9:                        1,
		1e-12:                       1,
		math.SmallestNonzeroFloat64: 1,
		1e10:                        Max,
		1e300:                       Max,
		math.MaxFloat64:             Max,
		-1e300:                      -Max,
	} {
		assert.Equal(t, FromSeconds(s), want, "%g s", s)
	}
}
