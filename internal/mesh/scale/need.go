package scale

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Need is one figure of a role at the size to design for.
type Need struct {
	Role    string
	What    string
	Unit    Unit
	Value   float64
	Factor  float64 // by which it may be off, by the fit's error; NaN if that is not known
	Budget  float64 // 0 if none is set
	From    string  // the figures that the value follows from
	Assumed string  // what is assumed in it; empty if nothing is
	Missing bool    // a figure that it follows from was not measured, and counts as 0
}

// Verdict is whether a need is within its budget, as the page shows it.
type Verdict string

// Verdicts.
const (
	NoBudget   Verdict = ""
	Fits       Verdict = "fits"
	Exceeds    Verdict = "🟥 **does not fit**"
	Open       Verdict = "open: the budget is within the fit's error"
	Unmeasured Verdict = "not measured"
)

// Verdict returns Fits or Exceeds only if it holds for all values that the fit's error allows.
func (n Need) Verdict() Verdict {
	factor := n.Factor
	if math.IsNaN(factor) {
		factor = 1
	}
	switch {
	case n.Missing:
		return Unmeasured
	case n.Budget == 0:
		return NoBudget
	case n.Value/factor > n.Budget:
		return Exceeds
	case n.Value*factor <= n.Budget:
		return Fits
	}
	return Open
}

const notMeasured = "not measured: "

// estimate is a figure that needs follow from.
type estimate struct {
	value  float64
	factor float64 // by which it may be off; NaN if that is not known
	from   string  // the metric, and how the value follows from it
}

// basis holds the results that needs follow from.
type basis struct {
	all     []Results
	missing []string // figures that no run gave
}

// unmeasured notes that no run gave a figure.
func (b *basis) unmeasured(figure string) estimate {
	b.missing = append(b.missing, figure)
	return estimate{factor: math.NaN(), from: notMeasured + figure}
}

// extrapolate returns a metric at the size to design for, by its fit.
func (b *basis) extrapolate(metric string) estimate {
	g := Grow(metricNamed(metric), b.all)
	if !g.Fitted {
		return b.unmeasured(metric)
	}
	value, factor := g.Fit.At(targetNodes)
	return estimate{value, factor, fmt.Sprintf("%s, %s to %d sidecars", metric, exponent(g), targetNodes)}
}

// median returns a metric's median over all sizes, for metrics that do not grow: at large sizes they are a small difference of two
// phases, with a large error.
func (b *basis) median(metric string) estimate {
	g := Grow(metricNamed(metric), b.all)
	if len(g.Points) == 0 {
		return b.unmeasured(metric)
	}
	var values []float64
	for _, p := range g.Points {
		values = append(values, p.Y)
	}
	slices.Sort(values)
	value := max(0, (values[(len(values)-1)/2]+values[len(values)/2])/2)
	return estimate{value, math.NaN(), fmt.Sprintf("%s, median of %d: %s", metric, len(values), format(value, g.Metric.Unit))}
}

// maxServices returns the largest number of services among the runs by size.
func (b *basis) maxServices() float64 {
	largest := 1
	for _, r := range b.all {
		largest = max(largest, r.Experiment.Services)
	}
	return float64(largest)
}

// Needs works out all needs. missing names the figures that no run gave.
func Needs(all []Results) (needs []Need, missing []string) {
	b := &basis{all: all}
	needs = slices.Concat(b.sidecarNeeds(), b.leaderNeeds(), b.memberNeeds(), b.delayNeeds())
	for i := range needs {
		needs[i].Missing = strings.Contains(needs[i].From, notMeasured)
	}
	return needs, b.missing
}
