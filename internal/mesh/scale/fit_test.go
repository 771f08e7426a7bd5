package scale

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// assertNear fails unless got is within a share of want.
func assertNear(t rapid.TB, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*math.Abs(want)+1e-9 {
		t.Fatalf("%v, wanted %v", got, want)
	}
}

// TestFitPowerRecoversExactPower shows that points on a power law give that law, without error.
func TestFitPowerRecoversExactPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor, exponent := rapid.Float64Range(1e-6, 1e6).Draw(t, "factor"), rapid.Float64Range(-1, 3).Draw(t, "exponent")
		var points []Point
		for _, x := range []float64{30, 100, 300, 1000} {
			points = append(points, Point{x, factor * math.Pow(x, exponent)})
		}
		f, ok := FitPower(points)
		if !ok {
			t.Fatal("no fit")
		}
		assertNear(t, f.Exponent, exponent, 1e-6)
		y, off := f.At(13_000)
		assertNear(t, y, factor*math.Pow(13_000, exponent), 1e-5)
		assertNear(t, off, 1, 1e-5)
	})
}

// TestFitPowerErrors compares the errors with figures that are worked out by hand.
func TestFitPowerErrors(t *testing.T) {
	f, ok := FitPower([]Point{{1, 2}, {2, 4}, {4, 16}})
	assert.Assert(t, ok)
	assertNear(t, f.Exponent, 1.5, 1e-9)
	// In units of ln 2: x = 0, 1, 2; y = 1, 2, 4; fit 5/6, 14/6, 23/6; residuals 1/6, -2/6, 1/6; their squares' sum 1/6.
	assertNear(t, f.Residual, math.Ln2*math.Sqrt(1.0/6), 1e-9)
	assertNear(t, f.ExponentError, math.Sqrt(1.0/6)/math.Sqrt2, 1e-9)
	_, off := f.At(2) // at the mean, the prediction's variance is 1 + 1/3 of the residual's
	assertNear(t, off, math.Exp(2*f.Residual*math.Sqrt(4.0/3)), 1e-9)
}

// TestFitPowerNeedsTwoSizes shows that there is no fit of one size, and no error of a fit of two points.
func TestFitPowerNeedsTwoSizes(t *testing.T) {
	_, ok := FitPower([]Point{{10, 1}, {10, 2}})
	assert.Assert(t, !ok)
	_, ok = FitPower([]Point{{10, 1}, {20, 0}, {30, -1}}) // nothing to take a logarithm of
	assert.Assert(t, !ok)
	f, ok := FitPower([]Point{{10, 1}, {20, 2}})
	assert.Assert(t, ok)
	_, off := f.At(100)
	assert.Assert(t, math.IsNaN(off), "the error of two points is not known")
}

// TestSpreadComparesValuesAtOneSize shows that values at other sizes do not count.
func TestSpreadComparesValuesAtOneSize(t *testing.T) {
	f, _ := FitPower([]Point{{10, 1}, {10, 1.5}, {20, 2}, {20, 2.2}})
	assertNear(t, f.Spread, 0.5, 1e-9)
}
