// Package plant draws the topology of a running mesh (the outside plant: machines and what runs between them): the
// registers and who leads, the lines by zone, the servers beside them. It only listens, as a line does to its home.
package plant

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// Topology is what a register knows of the mesh.
type Topology struct {
	Asked     string // the register
	Touch     bool   // it hears of a leader that a majority follows
	Registers []string
	View      uint64
	Lines     []directory.Record
}

// Look asks a register, by the address of its trunks. The context bounds it.
func Look(ctx context.Context, addr string) (Topology, error) {
	t := Topology{Asked: addr}
	c, err := trunk.Dial(ctx, addr, &wire.HelloT{Name: "switchboard"}, nil)
	if err != nil {
		return t, err
	}
	defer c.Close(nil)
	stop := context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })
	defer stop()
	var table directory.Table
	for beats := 0; beats < 2; { // the first may have been made before it had come to us
		m, err := c.Receive()
		if err != nil {
			return t, errors.Annotatef(err, "%s told only a part", addr)
		}
		switch v := m.Value.(type) {
		case *wire.MembersT:
			t.Registers, t.View = nil, v.Index
			for _, x := range v.List {
				t.Registers = append(t.Registers, x.Addr)
			}
		case *wire.RecordsT:
			table, _ = table.Merge(time.Second, directory.Of(v))
		case *wire.BeatT:
			t.Touch = v.Touch
			beats++
		}
	}
	sort.Strings(t.Registers)
	t.Lines = table.All()
	return t, nil
}

var states = map[directory.State]string{directory.None: "none", directory.Ready: "ready", directory.Draining: "draining", directory.Down: "down"}

func state(r directory.Record) string {
	s := states[r.State]
	if r.Gone {
		s += ", line leaving"
	}
	return s
}

// zones are the lines by zone, in order.
func (t Topology) zones() (names []string, lines map[string][]directory.Record) {
	lines = map[string][]directory.Record{}
	for _, r := range t.Lines {
		if lines[r.Zone] == nil {
			names = append(names, r.Zone)
		}
		lines[r.Zone] = append(lines[r.Zone], r)
	}
	sort.Strings(names)
	return names, lines
}

// Text draws it as a tree.
func (t Topology) Text(w io.Writer) {
	touch := "in touch with a majority"
	if !t.Touch {
		touch = "OUT OF TOUCH: what follows may be old"
	}
	fmt.Fprintf(w, "core, as %s has it (view %d, %s)\n", t.Asked, t.View, touch)
	for _, a := range t.Registers {
		fmt.Fprintf(w, "  register %s\n", a)
	}
	names, lines := t.zones()
	for _, z := range names {
		fmt.Fprintf(w, "zone %s\n", z)
		for _, r := range lines[z] {
			server := r.Server
			if server == "" {
				server = "no server"
			}
			fmt.Fprintf(w, "  line %-24s %-21s serves %-12s %s, %s, %d slots\n", r.Node, r.Addr, r.Service, server, state(r), r.Slots)
		}
	}
}

// Dot draws it for Graphviz.
func (t Topology) Dot(w io.Writer) {
	fmt.Fprintln(w, "graph mesh {\n  rankdir=LR; node [shape=box, fontname=\"sans-serif\"];\n  subgraph cluster_core { label=\"core\";")
	for i, a := range t.Registers {
		fmt.Fprintf(w, "    r%d [label=%q];\n", i, "register\n"+a)
	}
	fmt.Fprintln(w, "  }")
	names, lines := t.zones()
	n := 0
	for i, z := range names {
		fmt.Fprintf(w, "  subgraph cluster_%d { label=%q;\n", i, z)
		for _, r := range lines[z] {
			color := map[directory.State]string{directory.Ready: "palegreen", directory.Draining: "khaki", directory.Down: "salmon"}[r.State]
			if color == "" {
				color = "lightgrey"
			}
			fmt.Fprintf(w, "    l%d [label=%q, style=filled, fillcolor=%s];\n", n, strings.Join([]string{r.Node, r.Service, r.Server, state(r)}, "\n"), color)
			n++
		}
		fmt.Fprintln(w, "  }")
	}
	for i := range t.Registers {
		for j := i + 1; j < len(t.Registers); j++ {
			fmt.Fprintf(w, "  r%d -- r%d [style=bold];\n", i, j)
		}
	}
	fmt.Fprintln(w, "}")
}
