package scale

import (
	"math"
	"slices"
)

// Point is one measured value; X is what it grows with.
type Point struct{ X, Y float64 }

// PowerFit is y = Factor * x^Exponent, by least squares on logarithms.
type PowerFit struct {
	Factor, Exponent float64
	// ExponentError is the exponent's standard error, and Residual the standard deviation of the points about the fit, on
	// natural logarithms. Both are NaN with fewer than three points.
	ExponentError, Residual float64
	// Spread is the largest ratio of two values at the same x, less one: of the seeds.
	Spread float64
	Points int
	meanX  float64 // of the logarithms
	squares
}

// squares are sums of squares that the errors need.
type squares struct{ xx float64 }

// FitPower fits points whose values are above 0, the others are left out; false: there are fewer than two different x.
func FitPower(l []Point) (f PowerFit, ok bool) {
	var logs []Point
	for _, p := range l {
		if p.X > 0 && p.Y > 0 {
			logs = append(logs, Point{math.Log(p.X), math.Log(p.Y)})
		}
	}
	line, ok := FitLine(logs)
	if !ok {
		return f, false
	}
	f = PowerFit{
		Factor: math.Exp(line.Intercept), Exponent: line.Slope, ExponentError: line.SlopeError, Residual: line.Residual, Points: len(logs),
		meanX: line.meanX, squares: line.squares, Spread: spread(l),
	}
	return f, true
}

// At is the fit's value, and the factor by which it may be off: two standard errors of a prediction. The factor is NaN where
// the points are too few to tell.
func (f PowerFit) At(x float64) (y, factor float64) {
	d := math.Log(x) - f.meanX
	deviation := f.Residual * math.Sqrt(1+1/float64(f.Points)+d*d/f.xx)
	return f.Factor * math.Pow(x, f.Exponent), math.Exp(2 * deviation)
}

// LineFit is y = Intercept + Slope * x, by least squares.
type LineFit struct {
	Intercept, Slope     float64
	SlopeError, Residual float64 // standard error and deviation; NaN with fewer than three points
	Points               int
	meanX                float64
	squares
}

// FitLine fits points; false: there are fewer than two different x.
func FitLine(l []Point) (f LineFit, ok bool) {
	n := float64(len(l))
	var meanX, meanY float64
	for _, p := range l {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy float64
	for _, p := range l {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	if xx == 0 || len(l) < 2 {
		return f, false
	}
	f = LineFit{Slope: xy / xx, Points: len(l), meanX: meanX, squares: squares{xx}, SlopeError: math.NaN(), Residual: math.NaN()}
	f.Intercept = meanY - f.Slope*meanX
	if len(l) > 2 {
		var rest float64
		for _, p := range l {
			d := p.Y - f.Intercept - f.Slope*p.X
			rest += d * d
		}
		f.Residual = math.Sqrt(rest / (n - 2))
		f.SlopeError = f.Residual / math.Sqrt(xx)
	}
	return f, true
}

// At is the fit's value.
func (f LineFit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// spread is the largest ratio of two values at the same x, less one.
func spread(l []Point) (most float64) {
	byX := map[float64][]float64{}
	for _, p := range l {
		if p.Y > 0 {
			byX[p.X] = append(byX[p.X], p.Y)
		}
	}
	for _, ys := range byX {
		most = max(most, slices.Max(ys)/slices.Min(ys)-1)
	}
	return most
}
