package scale

import (
	"fmt"
	"sort"
	"strings"
)

// writeNeeds writes the table of what each role needs at the size to design for. Within a role the need that exceeds its budget most
// comes first.
func writeNeeds(b *strings.Builder, all []Results) {
	needs, missing := Needs(all)
	b.WriteString("\n### Each role at the size to design for\n\n")
	b.WriteString("| role | what | need | may be off by | budget | need / budget | | from | assumed |\n" +
		"| --- | --- | ---: | ---: | ---: | ---: | --- | --- | --- |\n")
	sort.SliceStable(needs, func(i, j int) bool {
		first, second := needs[i], needs[j]
		return first.Role == second.Role && first.Budget > 0 &&
			(second.Budget == 0 || first.Value/first.Budget > second.Value/second.Budget)
	})
	for _, n := range needs {
		writeNeed(b, n)
	}
	if len(missing) > 0 {
		fmt.Fprintf(b, "\nNot measured, counted as 0 above: %s.\n", strings.Join(missing, "; "))
	}
}

func writeNeed(b *strings.Builder, n Need) {
	budget, ratio := none, none
	if n.Budget > 0 {
		budget = format(n.Budget, n.Unit)
	}
	if n.Budget > 0 && !n.Missing {
		ratio = digits(n.Value / n.Budget)
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
		n.Role, n.What, format(n.Value, n.Unit), factorOfError(n.Factor), budget, ratio, n.Verdict(), n.From, n.Assumed)
}

// writeRuns writes the table of the runs that the figures are of.
func writeRuns(b *strings.Builder, all []Results) {
	b.WriteString("\n### Runs\n\n" +
		"| experiment | when | cores | busy before | sizes | hollow of each | seeds | took | note |\n" +
		"| --- | --- | ---: | ---: | --- | ---: | --- | ---: | --- |\n")
	for _, r := range all {
		x := r.Experiment
		note := x.Note
		if r.Stopped != "" {
			note += " Stopped: " + r.Stopped
		}
		for _, remark := range remarks(r) {
			note += " " + remark + "."
		}
		fmt.Fprintf(b, "| %s | %s | %d | %.0f %% | %s | %s | %s | %.0f s | %s |\n", x.Name, r.When.Format("2006-01-02 15:04"),
			r.Machine.Cores, 100*r.Machine.Load, list(x.Sizes), list(x.Full), list(x.Seeds), r.TookS, note)
	}
}

// writeGrowth writes the table of each metric by size with its exponent.
func writeGrowth(b *strings.Builder, all []Results) {
	b.WriteString("\n### How each figure grows with sidecars\n\n" +
		"| figure | by number of sidecars | exponent | spread of seeds | at 13,000 | may be off by |\n" +
		"| --- | --- | --- | ---: | ---: | ---: |\n")
	for _, m := range Metrics() {
		g := Grow(m, all)
		if len(g.Points) == 0 {
			continue
		}
		atTarget, off := none, none
		if g.Fitted {
			value, factor := g.Fit.At(targetNodes)
			atTarget = format(value, m.Unit)
			off = factorOfError(factor)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.0f %% | %s | %s |\n", m.Name, bySize(g), exponent(g), 100*g.Fit.Spread, atTarget, off)
	}
}

// bySize returns the mean at each size.
func bySize(g Growth) string {
	sums, counts := map[int]float64{}, map[int]int{}
	for _, p := range g.Points {
		sums[int(p.X)] += p.Y
		counts[int(p.X)]++
	}
	var sizes []int
	for size := range sums {
		sizes = append(sizes, size)
	}
	sort.Ints(sizes)
	var means []Point
	for _, size := range sizes {
		means = append(means, Point{float64(size), sums[size] / float64(counts[size])})
	}
	return strings.Join(formatPoints(means, g.Metric.Unit), "; ")
}

// writeVaried writes the table of what grows with services and routes.
func writeVaried(b *strings.Builder, all []Results) {
	b.WriteString("\n### How figures grow with services and routes\n\n" +
		"| figure | by | values | each | standard error |\n" +
		"| --- | --- | --- | ---: | ---: |\n")
	for _, v := range VariedFits(all) {
		if !v.Fitted {
			continue
		}
		values := strings.Join(formatPoints(v.Points, v.Unit), "; ")
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", v.Name, v.By, values, format(v.Fit.Slope, v.Unit), v.errorOf())
	}
}
