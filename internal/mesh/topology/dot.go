package topology

import (
	"fmt"
	"io"
	"strings"
)

// WriteDOT draws the topology for Graphviz.
func (t Topology) WriteDOT(w io.Writer) {
	fmt.Fprintln(w, "graph mesh {\n  rankdir=LR; node [shape=box, fontname=\"sans-serif\"];")
	index := t.writeDOTMembers(w)
	for i, zone := range t.Zones() {
		t.writeDOTZone(w, i, zone)
	}
	for i := range t.Members {
		for j := i + 1; j < len(t.Members); j++ {
			fmt.Fprintf(w, "  m%d -- m%d [style=bold];\n", i, j)
		}
	}
	for n, s := range t.Sidecars {
		if i, found := index[s.FollowedMember]; found {
			fmt.Fprintf(w, "  s%d -- m%d;\n", n, i)
		}
	}
	fmt.Fprintln(w, "}")
}

// writeDOTMembers draws the members, and returns the number of each member's node by its address.
func (t Topology) writeDOTMembers(w io.Writer) map[string]int {
	fmt.Fprintln(w, "  subgraph cluster_control_plane { label=\"control plane\";")
	index := map[string]int{}
	for i, m := range t.Members {
		index[m.Addr] = i
		style := ""
		if m.IsLeader {
			style = ", penwidth=3"
		}
		fmt.Fprintf(w, "    m%d [label=%q%s];\n", i, "member "+m.Name+"\n"+m.Addr, style)
	}
	fmt.Fprintln(w, "  }")
	return index
}

func (t Topology) writeDOTZone(w io.Writer, number int, zone string) {
	fmt.Fprintf(w, "  subgraph cluster_%d { label=%q;\n", number, zone)
	for n, s := range t.Sidecars {
		if s.Zone == zone {
			label := strings.Join([]string{s.Name, s.Service, s.ServerID, s.State}, "\n")
			fmt.Fprintf(w, "    s%d [label=%q, style=filled, fillcolor=%q];\n", n, label, s.fillColor())
		}
	}
	fmt.Fprintln(w, "  }")
}
