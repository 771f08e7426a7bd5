package scale

import (
	"fmt"
	"math"
	"strings"
	"text/tabwriter"
)

// Text is a run's table: each metric at each size, its exponent, and what ended early.
func Text(r Results) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, m := range Metrics() {
		g := Grow(m, []Results{r})
		if len(g.Points) == 0 {
			continue
		}
		var values []string
		for _, p := range g.Points {
			values = append(values, fmt.Sprintf("%d: %s", int(p.X), format(p.Y, m.Unit)))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, exponent(g), strings.Join(values, ", "))
	}
	w.Flush()
	if r.Comparison != nil {
		b.WriteString(comparisonTable(*r.Comparison))
	}
	for _, remark := range remarks(r) {
		fmt.Fprintln(&b, remark)
	}
	if r.Stopped != "" {
		fmt.Fprintf(&b, "stopped: %s\n", r.Stopped)
	}
	return b.String()
}

// exponent words a fit: its exponent and standard error, and the spread over seeds.
func exponent(g Growth) string {
	if !g.Fitted {
		return "—"
	}
	s := fmt.Sprintf("N^%.2f", g.Fit.Exponent)
	if !math.IsNaN(g.Fit.ExponentError) {
		s += fmt.Sprintf(" ± %.2f", g.Fit.ExponentError)
	}
	return s
}

// format writes a figure with three digits and its unit.
func format(v float64, u Unit) string {
	switch u {
	case Bytes, BytesPerSecond:
		text := string(u)
		for _, prefix := range []string{"", "k", "M", "G"} {
			if math.Abs(v) < 1000 || prefix == "G" {
				return digits(v) + " " + prefix + text
			}
			v /= 1000
		}
	case CoreSeconds:
		return digits(v*1e6) + " µs"
	case Count:
		return digits(v)
	}
	return digits(v) + " " + string(u)
}

// digits writes three significant digits, and no exponent below a thousand millions.
func digits(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0"
	case a >= 1e9:
		return fmt.Sprintf("%.3g", v)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// compared is one figure of real and hollow sidecars.
type compared struct {
	name                string
	unit                Unit
	real, alone, hollow float64
}

// comparedFigures are what real and hollow sidecars can be compared by. What a real sidecar hears is not told by it, so bytes
// by read calls stand for it.
func comparedFigures(c Comparison) (l []compared) {
	add := func(name string, u Unit, of func(Measurement) (float64, bool)) {
		r, ok := of(c.Real)
		a, is := of(c.Alone)
		h, has := of(c.Hollow)
		if ok && is && has {
			l = append(l, compared{name, u, r, a, h})
		}
	}
	add("processor, idle", Cores, processor(PhaseIdle, RoleSidecar))
	add("bytes said, idle, but answers to the measurement", BytesPerSecond, ofPhase(PhaseIdle, func(p Phase) float64 {
		return sum(p.Roles[RoleSidecar].Said) - p.Roles[RoleSidecar].Said["told"]
	}))
	add("bytes read, idle", BytesPerSecond, ofPhase(PhaseIdle, func(p Phase) float64 { return p.Roles[RoleSidecar].Read }))
	add("processor of a change", CoreSeconds, perEvent(PhaseChanges, RoleSidecar, false))
	add("bytes read of a change", Bytes, readOf(PhaseChanges))
	add("processor of a restart", CoreSeconds, perEvent(PhaseRestarts, RoleSidecar, false))
	add("bytes read of a restart", Bytes, readOf(PhaseRestarts))
	add("bytes said of a claim of its own", Bytes, func(m Measurement) (float64, bool) {
		y, ok := saidOf(PhaseClaims, RoleSidecar, "ask")(m)
		return y * float64(c.Count), ok
	})
	// Which member is home to how many differs from run to run, so the members are compared together.
	idle := ofPhase(PhaseIdle, func(p Phase) float64 { return c.members(p, func(l Load) float64 { return l.Processor }) })
	said := ofPhase(PhaseIdle, func(p Phase) float64 {
		return c.members(p, func(l Load) float64 { return sum(l.Said) - l.Said["told"] })
	})
	add("control plane: processor, idle", Cores, idle)
	add("control plane: bytes said, idle, but answers", BytesPerSecond, said)
	for _, of := range []struct{ name, phase string }{{"a claim", PhaseClaims}, {"a change", PhaseChanges}} {
		add("control plane: processor of "+of.name, CoreSeconds, c.perEvent(of.phase, func(l Load) float64 { return l.Processor }))
		add("control plane: bytes said of "+of.name, Bytes, c.perEvent(of.phase, func(l Load) float64 {
			return l.Said["core"] + l.Said["items"] + l.Said["told"] + l.Said["ask"]
		}))
	}
	return l
}

// members sums a figure over all members of the control plane.
func (c Comparison) members(p Phase, of func(Load) float64) float64 {
	return of(p.Roles[RoleLeader]) + float64(c.Members-1)*of(p.Roles[RoleFollower])
}

// perEvent is a figure of all members that an event costs beyond idle.
func (c Comparison) perEvent(phase string, of func(Load) float64) func(Measurement) (float64, bool) {
	return func(m Measurement) (float64, bool) {
		idle, p, ok := both(m, PhaseIdle, phase)
		if !ok {
			return 0, false
		}
		return (c.members(*p, of) - c.members(*idle, of)) * p.Seconds / p.Events, true
	}
}

func readOf(phase string) func(Measurement) (float64, bool) {
	return func(m Measurement) (float64, bool) {
		idle, p, ok := both(m, PhaseIdle, phase)
		if !ok {
			return 0, false
		}
		return (p.Roles[RoleSidecar].Read - idle.Roles[RoleSidecar].Read) * p.Seconds / p.Events, true
	}
}

// comparisonTable is the comparison as a table of Markdown.
func comparisonTable(c Comparison) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %d sidecars | real | hollow, a process each | hollow, one process | a process each / real | one process / real |\n", c.Count)
	b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: |\n")
	for _, x := range comparedFigures(c) {
		ratio := func(v float64) string {
			if x.real == 0 {
				return "—"
			}
			return fmt.Sprintf("%.2f", v/x.real)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", x.name, format(x.real, x.unit), format(x.alone, x.unit), format(x.hollow, x.unit),
			ratio(x.alone), ratio(x.hollow))
	}
	return b.String()
}
