package scale

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Text returns a run's results for a terminal: each metric at each size with its exponent, and what ended early.
func Text(r Results) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, m := range Metrics() {
		g := Grow(m, []Results{r})
		if len(g.Points) == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, exponent(g), strings.Join(formatPoints(g.Points, m.Unit), ", "))
	}
	_ = w.Flush() // a strings.Builder takes everything
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

// formatPoints returns each point as "X: Y".
func formatPoints(points []Point, unit Unit) (texts []string) {
	for _, p := range points {
		texts = append(texts, fmt.Sprintf("%d: %s", int(p.X), format(p.Y, unit)))
	}
	return texts
}

// maxUnreadShare is the share of records that a sidecar may leave unread without a remark.
const maxUnreadShare = 0.1

// remarks returns which phases are left out of the fits and why, and where sidecars did not keep up.
func remarks(r Results) (texts []string) {
	for _, m := range r.Measurements {
		for _, p := range m.Phases {
			if why := p.excluded(); why != "" {
				texts = append(texts, fmt.Sprintf("%s, %s: %s; left out of the fits", m.name(), phaseLabel(p.Name), why))
			}
		}
		if share := m.unreadShare(); share > maxUnreadShare {
			texts = append(texts, fmt.Sprintf("%s: in the time of all phases a sidecar read %.0f %% of the records that it was sent",
				m.name(), 100*(1-share)))
		}
	}
	return texts
}

// phaseLabel returns a phase's name as readers see it. Experiment files and results hold a former word for key leases.
func phaseLabel(name string) string {
	if name == PhaseLeases {
		return "key leases"
	}
	return name
}

// name tells a measurement from the others of its run.
func (m Measurement) name() string {
	text := fmt.Sprintf("%d sidecars", m.Size)
	if m.Varied {
		text += fmt.Sprintf(" with %d services and %d routes", m.Services, m.Routes)
	}
	return text
}
