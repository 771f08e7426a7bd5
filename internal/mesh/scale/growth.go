package scale

import (
	"cmp"
	"slices"
)

// Growth is a metric with its values by number of sidecars, and their fit.
type Growth struct {
	Metric Metric
	Points []Point
	Fit    PowerFit
	Fitted bool
}

// fittedSizes is how many different sizes, the largest, a fit is made of. At small sizes the part of a figure that does not grow is most
// of it, which would hide the law of the part that does.
const fittedSizes = 3

// Grow collects a metric from the measurements of all results whose configuration is not varied.
func Grow(metric Metric, all []Results) (g Growth) {
	g.Metric = metric
	for _, r := range all {
		for _, m := range r.Measurements {
			if value, ok := metric.of(m); ok && !m.Varied {
				g.Points = append(g.Points, Point{float64(m.Size), value})
			}
		}
	}
	slices.SortStableFunc(g.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	g.Fit, g.Fitted = FitPower(largestSizes(g.Points))
	return g
}

// largestSizes returns the points at the largest fittedSizes sizes, of points that are ordered by size.
func largestSizes(points []Point) []Point {
	sizes := 0
	for i := len(points) - 1; i >= 0; i-- {
		if i == len(points)-1 || points[i].X != points[i+1].X {
			if sizes++; sizes > fittedSizes {
				return points[i+1:]
			}
		}
	}
	return points
}
