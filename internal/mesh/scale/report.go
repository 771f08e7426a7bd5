package scale

import (
	"bytes"
	"fmt"
	"html"
	"image/color"
	"math"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth   = 12 * vg.Centimeter
	plotHeight  = 8 * vg.Centimeter
	pointRadius = vg.Length(3)
	curveSteps  = 50 // points by which the curve of a fit is drawn
)

var (
	pointColor = color.RGBA{R: 160, A: 255}
	curveColor = color.RGBA{B: 160, A: 255}
)

// WriteReport writes an HTML page with a plot of each metric by size, on logarithmic axes.
func WriteReport(path string, all []Results) error {
	var b strings.Builder
	b.WriteString("<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>How the control side grows</title>\n")
	b.WriteString("<style>body{font-family:sans-serif;margin:2em} figure{display:inline-block;margin:1em} " +
		"figcaption{font-size:small}</style>\n")
	b.WriteString("<h1>How the control side grows with the number of sidecars</h1>\n")
	for _, r := range all {
		fmt.Fprintf(&b, "<p>%s, %s, %d cores, %.0f %% busy before. %s %s</p>\n",
			html.EscapeString(r.Experiment.Name), r.When.Format("2006-01-02 15:04"), r.Machine.Cores, 100*r.Machine.Load,
			html.EscapeString(r.Experiment.Note), html.EscapeString(r.Stopped))
	}
	for _, m := range Metrics() {
		g := Grow(m, all)
		if !g.Fitted {
			continue
		}
		svg, err := drawGrowth(g)
		if err != nil {
			return fmt.Errorf("draw %q: %w", m.Name, err)
		}
		fmt.Fprintf(&b, "<figure>%s<figcaption>%s: %s</figcaption></figure>\n", svg, html.EscapeString(m.Name), html.EscapeString(exponent(g)))
	}
	b.WriteString("</html>\n")
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// drawGrowth draws the points and their fit, up to the size to design for, as SVG.
func drawGrowth(g Growth) (string, error) {
	p := plot.New()
	p.Title.Text = g.Metric.Name
	p.X.Label.Text = "sidecars"
	p.Y.Label.Text = string(g.Metric.Unit)
	p.X.Scale = plot.LogScale{}
	p.Y.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	points, curve := growthPoints(g)
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return "", err
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: pointColor, Radius: pointRadius, Shape: draw.CircleGlyph{}}
	line, err := plotter.NewLine(curve)
	if err != nil {
		return "", err
	}
	line.Color = curveColor
	p.Add(plotter.NewGrid(), line, dots)
	return svgOf(p)
}

// growthPoints returns the points that a logarithmic axis can show, and the curve of the fit from the smallest of their sizes on.
func growthPoints(g Growth) (points, curve plotter.XYs) {
	smallest := math.Inf(1)
	for _, point := range g.Points {
		if point.Y > 0 {
			points = append(points, plotter.XY(point))
			smallest = min(smallest, point.X)
		}
	}
	for i := range curveSteps + 1 {
		x := smallest * math.Pow(targetNodes/smallest, float64(i)/curveSteps)
		y, _ := g.Fit.At(x)
		curve = append(curve, plotter.XY{X: x, Y: y})
	}
	return points, curve
}

// svgOf returns a plot as an SVG element, without the XML declaration, which has no place in HTML.
func svgOf(p *plot.Plot) (string, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(out.String(), "?>\n")
	return svg, nil
}
