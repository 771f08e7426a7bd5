// Package operator reads the operator's file: TOML that says which services a node carries, where their servers are listed
// and what the process may use. It owns the form of the file and its defaults, checks all of it, reports every mistake with
// file, line and key, and makes a Plan that internal/node provisions and, at a reload, compares with the one before. Pages:
// docs/pools.md, docs/xds.md, docs/extproc.md, docs/zones.md, docs/fleet.md; examples: deploy/examples.
//
// It never opens a listener or follows an address. Its only I/O is reading the file, and looking whether the directory of
// the key state is there. Load and Parse may be called from any goroutine. A Plan is not changed once it is returned, so any
// number of goroutines may read it.
//
// Most files read one table of the document: listeners.go, pools.go, classes.go, servers.go, limits.go, routes.go, xds.go,
// extproc.go, zones.go and fleet.go. document.go decodes the file, key_lines.go finds the line of each key, table.go reads
// values, and plan.go is the result.
package operator

import (
	"fmt"
	"os"
)

// maxNodes bounds the nodes that share the servers.
const maxNodes = 1_000_000

// Load reads a file. The error is of the type Faults if the file was read and has mistakes.
func Load(path string) (Plan, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading the operator's file: %w", err)
	}
	if info.Size() > maxFileBytes {
		return Plan{}, Faults{{File: path, Text: fmt.Sprintf("the file is longer than %d bytes", maxFileBytes)}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading the operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file. Faults name the file by name. An error is of the type Faults.
func Parse(name string, text []byte) (Plan, error) {
	d := &document{name: name}
	root, ok := d.decode(text)
	if !ok {
		return Plan{}, d.faults.sorted()
	}
	p := d.plan(root)
	if len(d.faults) > 0 {
		return Plan{}, d.faults.sorted()
	}
	return p, nil
}

// plan reads the tables in the order in which they depend on each other. After a fault it goes on, to find further ones; the
// plan is of no use then.
func (d *document) plan(t *table) Plan {
	p := Plan{Name: t.text("name", "cranegrade")}
	hasWindow := d.listeners(t, &p)
	position := d.position(t)
	pools := d.pools(t, &p, position)
	d.zones(t, pools, &p, position.nodes)
	d.fleet(t, &p, position.nodes)
	d.limits(t, pools, &p)
	if !hasWindow {
		p.limitH2Window()
	}
	d.routes(t, &p)
	d.xds(t, pools, &p)
	d.control(t, &p)
	d.uniquePools(pools, &p)
	t.rejectUnknownKeys()
	return p
}

// nodePosition is the place of this node among those that share the servers.
type nodePosition struct {
	nodes int // how many there are; default 1
	index int // of this one, counted from 0; default 0
}

// position reads the keys nodes and index.
func (d *document) position(t *table) nodePosition {
	nodes := t.count("nodes", 1)
	index := t.count("index", 0)
	if nodes < 1 || nodes > maxNodes {
		t.fault("nodes", "%d is not between 1 and %d", nodes, maxNodes)
	} else if index >= nodes {
		t.fault("index", "%d is no index of %d nodes, which count from 0", index, nodes)
	}
	return nodePosition{nodes: int(nodes), index: int(index)}
}

// control reads the addresses for inspection and for operators' commands, and the directory for a hot restart.
func (d *document) control(t *table, p *Plan) {
	p.Admin = loopbackKey(t, "admin")
	p.Operator = loopbackKey(t, "operator")
	p.State = t.text("state", "")
	if !t.has("state") {
		return
	}
	if info, err := os.Stat(p.State); err != nil || !info.IsDir() {
		t.fault("state", "%q is no directory", p.State)
	} else if p.Operator == "" {
		t.fault("state", "it keeps operators' orders, and no operator address takes any")
	}
}

// loopbackKey reads an address that only this machine may reach. It returns "" if the key is absent.
func loopbackKey(t *table, key string) string {
	addr := t.text(key, "")
	if t.has(key) {
		if err := checkLoopback(addr); err != nil {
			t.fault(key, "%v", err)
		}
	}
	return addr
}
