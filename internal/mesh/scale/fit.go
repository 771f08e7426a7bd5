package scale

import (
	"math"
	"slices"
)

// Point is one measured value Y, and X, what it grows with.
type Point struct{ X, Y float64 }

// PowerFit is y = Factor * x^Exponent, by least squares on logarithms.
type PowerFit struct {
	Factor, Exponent float64
	// ExponentError is the exponent's standard error, and Residual the standard deviation of the points about the fit, on
	// natural logarithms. Both are NaN with fewer than three points.
	ExponentError, Residual float64
	// Spread is the largest ratio of two values at the same x, less one: how far apart the seeds are.
	Spread float64
	Points int
	meanX  float64 // of the logarithms
	sumXX  float64 // of the squared deviations of the logarithms from meanX
}

// FitPower fits the points whose values are above 0, and leaves out the others. ok is false if they have fewer than two different x.
func FitPower(points []Point) (f PowerFit, ok bool) {
	var logs []Point
	for _, p := range points {
		if p.X > 0 && p.Y > 0 {
			logs = append(logs, Point{math.Log(p.X), math.Log(p.Y)})
		}
	}
	line, ok := FitLine(logs)
	if !ok {
		return f, false
	}
	f = PowerFit{
		Factor:        math.Exp(line.Intercept),
		Exponent:      line.Slope,
		ExponentError: line.SlopeError,
		Residual:      line.Residual,
		Points:        len(logs),
		meanX:         line.meanX,
		sumXX:         line.sumXX,
		Spread:        spread(points),
	}
	return f, true
}

// At returns the fit's value, and the factor by which it may be off: two standard errors of a prediction. The factor is NaN with fewer
// than three points.
func (f PowerFit) At(x float64) (y, factor float64) {
	d := math.Log(x) - f.meanX
	deviation := f.Residual * math.Sqrt(1+1/float64(f.Points)+d*d/f.sumXX)
	return f.Factor * math.Pow(x, f.Exponent), math.Exp(2 * deviation)
}

// LineFit is y = Intercept + Slope * x, by least squares.
type LineFit struct {
	Intercept, Slope     float64
	SlopeError, Residual float64 // standard error and deviation; NaN with fewer than three points
	Points               int
	meanX                float64
	sumXX                float64 // of the squared deviations of x from meanX
}

// FitLine fits points. ok is false if they have fewer than two different x.
func FitLine(points []Point) (f LineFit, ok bool) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var sumXX, sumXY float64
	for _, p := range points {
		sumXX += (p.X - meanX) * (p.X - meanX)
		sumXY += (p.X - meanX) * (p.Y - meanY)
	}
	if sumXX == 0 || len(points) < 2 {
		return f, false
	}
	f = LineFit{
		Slope:      sumXY / sumXX,
		Points:     len(points),
		meanX:      meanX,
		sumXX:      sumXX,
		SlopeError: math.NaN(),
		Residual:   math.NaN(),
	}
	f.Intercept = meanY - f.Slope*meanX
	if len(points) > 2 {
		var residuals float64 // the sum of their squares
		for _, p := range points {
			d := p.Y - f.Intercept - f.Slope*p.X
			residuals += d * d
		}
		f.Residual = math.Sqrt(residuals / (n - 2))
		f.SlopeError = f.Residual / math.Sqrt(sumXX)
	}
	return f, true
}

// At returns the fit's value.
func (f LineFit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// spread returns the largest ratio of two values at the same x, less one.
func spread(points []Point) (largest float64) {
	byX := map[float64][]float64{}
	for _, p := range points {
		if p.Y > 0 {
			byX[p.X] = append(byX[p.X], p.Y)
		}
	}
	for _, ys := range byX {
		largest = max(largest, slices.Max(ys)/slices.Min(ys)-1)
	}
	return largest
}
