package fleet

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Write writes the status as text for operators. docs/fleet.md explains the columns.
func (s Status) Write(to io.Writer) error {
	fmt.Fprintf(to, "%s, run %s: %d names, lease %v, fleet of %d at least",
		s.Name, s.Run, len(s.Members), duration(s.LeaseMS), s.Nodes)
	if !s.Open {
		fmt.Fprint(to, "; its address is held by another process")
	}
	fmt.Fprintln(to)
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nmember\tzone\tstate\tfor\tcounts\tbeat\troll\tnote")
	for _, m := range s.Members {
		m.writeRow(t)
	}
	fmt.Fprintln(t, "\npool\tplace\tseen\tagreed\tdivisor\tpart of 100\tgrants\tlasts\tnote")
	for _, p := range s.Pools {
		p.writeRow(t)
	}
	if len(s.Changes)+len(s.Stalls) > 0 {
		fmt.Fprintln(t, "\nago\tmember\twhat\twhy")
	}
	for _, c := range append(slices.Clone(s.Changes), s.Stalls...) {
		fmt.Fprintf(t, "%v\t%s\t%s\t%s\n", duration(c.AgoMS), cmp.Or(c.Name, s.Name), c.What, c.Why)
	}
	return t.Flush()
}

// writeRow writes the member's row of the table.
func (m MemberStatus) writeRow(to io.Writer) {
	roster := "other"
	if m.Same {
		roster = "same"
	}
	fmt.Fprintf(to, "%s\t%s\t%s\t%v\t%v\t%v\t%s\t%s\n",
		m.Name,
		m.Zone,
		m.State,
		duration(m.SinceMS),
		m.Counts,
		duration(m.HeardMS),
		roster,
		strings.Join(m.notes(), "; "))
}

// notes returns the remarks on a member that have no column of their own.
func (m MemberStatus) notes() (notes []string) {
	for _, n := range []struct {
		applies bool
		text    string
	}{
		{m.Gone, "off the roll"},
		{m.Out, "its beats are missed"},
		{!m.Gone && !m.Seated, "not yet in majorities"},
		{m.Flaps > 0, fmt.Sprintf("flapped %d times", m.Flaps)},
		{m.Twin != "", "ANOTHER PROCESS HAS ITS NAME, run " + m.Twin},
	} {
		if n.applies {
			notes = append(notes, n.text)
		}
	}
	return notes
}

// writeRow writes the pool's row of the table.
func (p PoolStatus) writeRow(to io.Writer) {
	fmt.Fprintf(to, "%s\t%d\t%d\t%d\t%d\t%.4g\t%d of %d\t%v\t%s\n",
		cmp.Or(p.Pool, "(only)"),
		p.Index,
		p.Seen,
		p.Agreed,
		p.Divisor,
		p.Of100,
		p.Granted,
		p.Wanted,
		duration(p.UntilMS),
		strings.Join(p.notes(), "; "))
}

// notes returns the remarks on a pool that have no column of their own.
func (p PoolStatus) notes() (notes []string) {
	if p.Why != "" {
		notes = append(notes, p.Why)
	}
	if p.Subset != nil {
		notes = append(notes, fmt.Sprintf("draws from %d servers", len(p.Subset)))
	}
	for _, q := range p.Quotas {
		notes = append(notes, fmt.Sprintf("%.3g of %s's quota", q.Part, q.Tenant))
	}
	for _, a := range p.Aside {
		notes = append(notes, fmt.Sprintf("%s aside for %v by word of %s", a.Server, duration(a.ForMS), strings.Join(a.By, ", ")))
	}
	for name, how := range p.Differ {
		notes = append(notes, fmt.Sprintf("%s: %s", name, how))
	}
	return notes
}

// duration converts milliseconds of a status to a duration.
func duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond)
}
