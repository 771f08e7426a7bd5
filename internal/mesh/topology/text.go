package topology

import (
	"fmt"
	"io"
	"strings"
	"time"

	"cranegrade/internal/mesh/directory"
)

// WriteText draws it as a tree.
func (t Topology) WriteText(w io.Writer) {
	touch := "in touch with a majority"
	if !t.QuorumContact {
		touch = "OUT OF TOUCH: what follows may be old"
	}
	fmt.Fprintf(w, "core, as %s has it (view %d, %s)\n", t.AskedMember, t.ConfigurationIndex, touch)
	for _, r := range t.Members {
		fmt.Fprintf(w, "  register %-14s %-21s %s\n", r.Name, r.Addr, r.summary())
	}
	for _, z := range t.Zones() {
		fmt.Fprintf(w, "zone %s\n", z)
		for _, l := range t.Sidecars {
			if l.Zone == z {
				fmt.Fprintf(w, "  line %-18s %-21s serves %-12s %s\n", l.Name, l.Addr, l.Service, l.summary())
			}
		}
	}
	if len(t.Routes) > 0 {
		fmt.Fprintln(w, "routes")
	}
	for _, r := range t.Routes {
		var to []string
		for _, p := range r.Destinations {
			to = append(to, fmt.Sprintf("%s %.0f %%", p.Service, p.Share*100))
		}
		fmt.Fprintf(w, "  %-24s %-15s version %-4d %s%s -> %s\n", r.Name, r.Kind, r.Version, r.Host, r.Prefix, strings.Join(to, ", "))
	}
}

// WriteReport tells how it is: what stands out first, then who holds what.
func (t Topology) WriteReport(w io.Writer) {
	signs := t.Warnings()
	if len(signs) == 0 {
		fmt.Fprintln(w, "all is well")
	}
	for _, s := range signs {
		fmt.Fprintln(w, "! "+s)
	}
	fmt.Fprintf(w, "%d registers, %d lines, %d items, %d routes\n", len(t.Members), len(t.Sidecars), len(t.Items), len(t.Routes))
	for _, r := range t.Members {
		fmt.Fprintf(w, "register %-14s %-21s %s\n", r.Name, r.Addr, r.summary())
	}
	for _, l := range t.Sidecars {
		fmt.Fprintf(w, "line %-18s %-21s home %-21s up %v, %s\n", l.Name, l.Addr, l.FollowedMember, roundedUptime(l.UptimeS), l.summary())
	}
}

func roundedUptime(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Second)
}

func (r Member) summary() string {
	switch {
	case r.Unreachable != "":
		return "SILENT: " + r.Unreachable
	case r.Fault != "":
		return "IN TROUBLE: " + r.Fault
	}
	role := "follows"
	switch {
	case r.IsLeader:
		role = "LEADS"
	case !r.IsMember:
		role = "NO MEMBER"
	case !r.QuorumContact:
		role = "OUT OF TOUCH"
	}
	return fmt.Sprintf("%s, term %d, %d entries applied, %d behind, home of %d lines, %d keys", role, r.Term, r.AppliedIndex, r.LagEntries, len(r.Sidecars), r.KeyCount)
}

func (l Sidecar) summary() string {
	if l.Unreachable != "" {
		return "SILENT: " + l.Unreachable
	}
	s := l.ServerID
	if s == "" {
		s = "no server"
	}
	s += ", " + l.State
	if l.State != "ready" && l.StateReason != "" {
		s += " (" + l.StateReason + ")"
	}
	if l.Leaving {
		s += ", line leaving"
	}
	if !l.Ready {
		s += ", NOT READY"
	}
	if n := len(l.StaleItems); n > 0 {
		s += fmt.Sprintf(", LAGS by %d items", n)
	}
	return fmt.Sprintf("%s, %d slots, %d at work", s, l.Slots, l.OpenRequests)
}

// WriteDOT draws it for Graphviz.
func (t Topology) WriteDOT(w io.Writer) {
	fmt.Fprintln(w, "graph mesh {\n  rankdir=LR; node [shape=box, fontname=\"sans-serif\"];\n  subgraph cluster_core { label=\"core\";")
	at := map[string]int{}
	for i, r := range t.Members {
		at[r.Addr] = i
		fmt.Fprintf(w, "    r%d [label=%q%s];\n", i, "register "+r.Name+"\n"+r.Addr, map[bool]string{true: ", penwidth=3"}[r.IsLeader])
	}
	fmt.Fprintln(w, "  }")
	for i, z := range t.Zones() {
		fmt.Fprintf(w, "  subgraph cluster_%d { label=%q;\n", i, z)
		for n, l := range t.Sidecars {
			if l.Zone == z {
				fmt.Fprintf(w, "    l%d [label=%q, style=filled, fillcolor=%q];\n", n, strings.Join([]string{l.Name, l.Service, l.ServerID, l.State}, "\n"), l.fillColor())
			}
		}
		fmt.Fprintln(w, "  }")
	}
	for i := range t.Members {
		for j := i + 1; j < len(t.Members); j++ {
			fmt.Fprintf(w, "  r%d -- r%d [style=bold];\n", i, j)
		}
	}
	for n, l := range t.Sidecars {
		if i, is := at[l.FollowedMember]; is {
			fmt.Fprintf(w, "  l%d -- r%d;\n", n, i)
		}
	}
	fmt.Fprintln(w, "}")
}

// fillColor is how a line's server stands.
func (l Sidecar) fillColor() string {
	switch {
	case l.Unreachable != "":
		return "#d0d0d0"
	case l.State == stateNames[directory.ServerDown]:
		return "#f4a7a0"
	case l.IsUnavailable():
		return "#f6dd8f"
	}
	return "#cfeccf"
}
