package scale

import (
	"errors"
	"fmt"
	"math"
	"os"
	"sort"
	"strings"
)

// Marks between which the page's tables stand. What is outside is written by hand.
const (
	pageBegin = "<!-- begin of what `meshscale page` writes -->\n"
	pageEnd   = "<!-- end of what `meshscale page` writes -->\n"
)

// ErrMarks is that a page does not hold the two marks, once each and in order.
var ErrMarks = errors.New("the page holds no place for the tables")

// UpdatePage writes the tables of a page anew.
func UpdatePage(path string, all []Results) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := replaceTables(string(text), Tables(all))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

// replaceTables puts tables between the marks.
func replaceTables(page, tables string) (string, error) {
	before, rest, ok := strings.Cut(page, pageBegin)
	_, after, is := strings.Cut(rest, pageEnd)
	if !ok || !is {
		return "", ErrMarks
	}
	return before + pageBegin + tables + pageEnd + after, nil
}

// Tables are the page's tables, of Markdown, by the results alone.
func Tables(all []Results) string {
	var b strings.Builder
	writeNeeds(&b, all)
	writeRuns(&b, all)
	writeSlopes(&b, all)
	writeVaried(&b, all)
	for _, r := range all {
		if r.Comparison != nil {
			fmt.Fprintf(&b, "\n### Real and hollow sidecars (%s)\n\n%s", r.Experiment.Name, comparisonTable(*r.Comparison))
		}
	}
	return b.String()
}

// writeNeeds writes the table of what each role needs at the size to design for, furthest out first within a role.
func writeNeeds(b *strings.Builder, all []Results) {
	needs, missing := Needs(all)
	b.WriteString("\n### Each role at the size to design for\n\n")
	b.WriteString("| role | what | need | may be off by | budget | need / budget | | from | assumed |\n| --- | --- | ---: | ---: | ---: | ---: | --- | --- | --- |\n")
	sort.SliceStable(needs, func(i, j int) bool {
		a, c := needs[i], needs[j]
		return a.Role == c.Role && a.Budget > 0 && (c.Budget == 0 || a.Value/a.Budget > c.Value/c.Budget)
	})
	for _, n := range needs {
		off, budget, ratio := "—", "—", "—"
		if !math.IsNaN(n.Factor) {
			off = "×÷ " + digits(n.Factor)
		}
		if n.Budget > 0 {
			budget = format(n.Budget, n.Unit)
		}
		if n.Budget > 0 && !n.Missing {
			ratio = digits(n.Value / n.Budget)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", n.Role, n.What, format(n.Value, n.Unit), off, budget, ratio, n.Verdict(), n.From, n.Assumed)
	}
	if len(missing) > 0 {
		fmt.Fprintf(b, "\nNot measured, counted as 0 above: %s.\n", strings.Join(missing, "; "))
	}
}

// writeRuns writes which runs the figures are of.
func writeRuns(b *strings.Builder, all []Results) {
	b.WriteString("\n### Runs\n\n| experiment | when | cores | busy before | sizes | hollow of each | seeds | took | note |\n| --- | --- | ---: | ---: | --- | ---: | --- | ---: | --- |\n")
	for _, r := range all {
		x := r.Experiment
		note := x.Note
		if r.Stopped != "" {
			note += " Stopped: " + r.Stopped
		}
		for _, remark := range remarks(r) {
			note += " " + remark + "."
		}
		fmt.Fprintf(b, "| %s | %s | %d | %.0f %% | %s | %s | %s | %.0f s | %s |\n", x.Name, r.When.Format("2006-01-02 15:04"), r.Machine.Cores, 100*r.Machine.Load,
			list(x.Sizes), list(x.Full), list(x.Seeds), r.TookS, note)
	}
}

// mostBehind is the share of records that a sidecar may be behind without remark.
const mostBehind = 0.1

// remarks are what limited phases, and which are left out of the fits.
func remarks(r Results) (l []string) {
	for _, m := range r.Measurements {
		for _, p := range m.Phases {
			if why := p.excluded(); why != "" {
				l = append(l, fmt.Sprintf("%s, %s: %s; left out of the fits", m.name(), p.Name, why))
			}
		}
		if n := m.behind(); n > mostBehind {
			l = append(l, fmt.Sprintf("%s: in the time of all phases a sidecar read %.0f %% of the records that it was told", m.name(), 100*(1-n)))
		}
	}
	return l
}

// name tells a measurement from others of its run.
func (m Measurement) name() string {
	s := fmt.Sprintf("%d sidecars", m.Size)
	if m.Varied {
		s += fmt.Sprintf(" with %d services and %d routes", m.Services, m.Routes)
	}
	return s
}

func list[T any](l []T) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(l), " ", ", "), "[]")
}

// writeSlopes writes each metric by size with its exponent.
func writeSlopes(b *strings.Builder, all []Results) {
	b.WriteString("\n### How each figure grows with sidecars\n\n| figure | by number of sidecars | exponent | spread of seeds | at 13,000 | may be off by |\n| --- | --- | --- | ---: | ---: | ---: |\n")
	for _, m := range Metrics() {
		g := Grow(m, all)
		if len(g.Points) == 0 {
			continue
		}
		at, off := "—", "—"
		if g.Fitted {
			y, factor := g.Fit.At(targetNodes)
			at = format(y, m.Unit)
			if !math.IsNaN(factor) {
				off = "×÷ " + digits(factor)
			}
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.0f %% | %s | %s |\n", m.Name, bySize(g), exponent(g), 100*g.Fit.Spread, at, off)
	}
}

// bySize lists the mean at each size.
func bySize(g Growth) string {
	sums, counts := map[int]float64{}, map[int]int{}
	for _, p := range g.Points {
		sums[int(p.X)] += p.Y
		counts[int(p.X)]++
	}
	var sizes []int
	for n := range sums {
		sizes = append(sizes, n)
	}
	sort.Ints(sizes)
	var l []string
	for _, n := range sizes {
		l = append(l, fmt.Sprintf("%d: %s", n, format(sums[n]/float64(counts[n]), g.Metric.Unit)))
	}
	return strings.Join(l, "; ")
}

// writeVaried writes what grows with services and routes.
func writeVaried(b *strings.Builder, all []Results) {
	b.WriteString("\n### How figures grow with services and routes\n\n| figure | by | values | each | standard error |\n| --- | --- | --- | ---: | ---: |\n")
	for _, v := range VariedFits(all) {
		if !v.Fitted {
			continue
		}
		var l []string
		for _, p := range v.Points {
			l = append(l, fmt.Sprintf("%d: %s", int(p.X), format(p.Y, v.Unit)))
		}
		off := "—"
		if !math.IsNaN(v.Fit.SlopeError) {
			off = format(v.Fit.SlopeError, v.Unit)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", v.Name, v.By, strings.Join(l, "; "), format(v.Fit.Slope, v.Unit), off)
	}
}
