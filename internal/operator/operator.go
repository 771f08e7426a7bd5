// Package operator reads the operator's file: TOML that says which services a node carries. It checks
// all of it, reports every fault with its file, line and key, and makes a Plan. It owns the form of the file and its
// defaults; docs/operators.md and deploy/examples describe it. It is pure but for Load and for the look at the directory
// that the key state names: it opens no listener and follows no address.
//
// Each file here reads one table of the document: listeners.go, pools.go, limits.go, routes.go, xds.go, extproc.go, zones.go,
// fleet.go. document.go decodes and finds lines, table.go reads values.
package operator

import (
	"fmt"
	"os"
)

// Load reads a file. An error is of the type Faults, or says why the file can't be read.
func Load(path string) (Plan, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading the operator's file: %w", err)
	}
	if info.Size() > maxFile {
		return Plan{}, Faults{{File: path, Text: fmt.Sprintf("the file is longer than %d bytes", maxFile)}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading the operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text; name is for the faults. An error is of the type Faults.
func Parse(name string, text []byte) (Plan, error) {
	f := &document{name: name}
	root, ok := f.parse(text)
	if !ok {
		return Plan{}, f.sorted()
	}
	p := f.plan(root)
	if len(f.faults) > 0 {
		return Plan{}, f.sorted()
	}
	return p, nil
}

// plan reads the document's keys in the order in which they depend on each other. Faults are collected, and what is read
// after one only serves to find more of them.
func (f *document) plan(t *table) Plan {
	p := Plan{Name: t.text("name", "cranegrade")}
	windowed := f.listeners(t, &p)
	nodes, index := f.position(t)
	pools := f.pools(t, &p, nodes, index)
	f.zones(t, pools, &p, nodes)
	f.fleet(t, &p, nodes)
	f.limits(t, pools, &p)
	if !windowed {
		p.limitH2Window()
	}
	f.routes(t, &p)
	f.xds(t, pools, &p)
	f.control(t, &p)
	f.uniquePools(pools, &p)
	t.rejectUnknownKeys()
	return p
}

// position reads how many nodes share the servers, and which of them this one is.
func (f *document) position(t *table) (nodes, index int) {
	n, i := t.count("nodes", 1), t.count("index", 0)
	if n < 1 || n > maxNodes {
		t.fault("nodes", "%d is not between 1 and %d", n, maxNodes)
	} else if i >= n {
		t.fault("index", "%d is no index of %d nodes, which count from 0", i, n)
	}
	return int(n), int(i)
}

// maxNodes bounds the nodes that share the servers.
const maxNodes = 1_000_000

// control reads where operators look and call, and what a successor of the process is to find.
func (f *document) control(t *table, p *Plan) {
	if p.Admin = t.text("admin", ""); t.has("admin") {
		if err := loopback(p.Admin); err != nil {
			t.fault("admin", "%v", err)
		}
	}
	if p.Operator = t.text("operator", ""); t.has("operator") {
		if err := loopback(p.Operator); err != nil {
			t.fault("operator", "%v", err)
		}
	}
	if p.State = t.text("state", ""); !t.has("state") {
		return
	}
	if info, err := os.Stat(p.State); err != nil || !info.IsDir() {
		t.fault("state", "%q is no directory", p.State)
	} else if p.Operator == "" {
		t.fault("state", "it keeps operators' orders, and no operator address takes any")
	}
}
