package scale

import (
	"fmt"
	"math"
)

// What the configuration is varied by.
const (
	byService = "service"
	byRoute   = "route"
)

// Varied is a metric that grows with services or routes, by the measurements that vary them.
type Varied struct {
	Name, By string
	Unit     Unit
	Points   []Point
	Fit      LineFit
	Fitted   bool
}

// VariedFits returns the fits by services and routes.
func VariedFits(all []Results) []Varied {
	return []Varied{
		fitVaried(all, sidecarProcessorIdle, byService),
		fitVaried(all, sidecarHeap, byService),
		fitVaried(all, sidecarPerChange, byService),
		fitVaried(all, sidecarPerChange, byRoute),
		fitVaried(all, sidecarHeap, byRoute),
		fitVaried(all, leaderPerChange, byRoute),
	}
}

// fitVaried fits a metric over the measurements that differ in services or in routes, with those of the same size that do not differ.
func fitVaried(all []Results, name, by string) Varied {
	metric := metricNamed(name)
	v := Varied{Name: name, By: by, Unit: metric.Unit}
	for _, r := range all {
		if len(r.Experiment.VaryServices)+len(r.Experiment.VaryRoutes) == 0 {
			continue
		}
		for _, m := range r.Measurements {
			differsOtherwise := m.Varied && (m.Services == r.Experiment.Services) == (by == byService)
			if value, ok := metric.of(m); ok && !differsOtherwise && m.Size == r.Experiment.VarySize {
				v.Points = append(v.Points, Point{m.count(by), value})
			}
		}
	}
	v.Fit, v.Fitted = FitLine(v.Points)
	return v
}

// count returns the number of services or of routes.
func (m Measurement) count(by string) float64 {
	if by == byService {
		return float64(m.Services)
	}
	return float64(m.Routes)
}

// variedEstimate is a figure that grows with services or routes.
type variedEstimate struct {
	slope     float64 // for each service or route
	intercept float64 // without any
	from      string
}

// varied returns one of VariedFits.
func (b *basis) varied(name, by string) variedEstimate {
	for _, v := range VariedFits(b.all) {
		if v.Name == name && v.By == by && v.Fitted {
			from := fmt.Sprintf("%s, %s a %s", name, format(v.Fit.Slope, v.Unit), by)
			return variedEstimate{max(0, v.Fit.Slope), max(0, v.Fit.Intercept), from}
		}
	}
	return variedEstimate{from: b.unmeasured(name + " by " + by).from}
}

// errorOf returns the standard error of a fit's slope as the page shows it.
func (v Varied) errorOf() string {
	if math.IsNaN(v.Fit.SlopeError) {
		return none
	}
	return format(v.Fit.SlopeError, v.Unit)
}
