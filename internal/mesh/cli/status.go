package cli

import (
	"os"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/topology"
)

// memberTransport is the argument that names a running mesh by one of its members.
type memberTransport struct {
	Member string `positional-arg-name:"ADDR" description:"a member's transport: its ip and the first port of InternalPortRange"`
}

type statusCommand struct {
	env  *environment
	Args memberTransport `positional-args:"yes" required:"yes"`
}

// statusResult is the result of status: the topology and the warnings.
type statusResult struct {
	Warnings []string `json:"warnings"`
	topology.Topology
}

// Execute prints the state of a mesh. The exit code is 1 if there are warnings.
func (c *statusCommand) Execute([]string) error {
	t, err := c.env.collect(c.Args.Member)
	if err != nil {
		return err
	}
	warnings := t.Warnings()
	result := statusResult{Warnings: append([]string{}, warnings...), Topology: t}
	if err := c.env.print(result, func() { t.WriteReport(c.env.out) }); err != nil {
		return err
	}
	if len(warnings) > 0 {
		return errNotWell
	}
	return nil
}

// collect takes the topology of a running mesh from one of its members.
func (env *environment) collect(addr string) (topology.Topology, error) {
	ctx, cancel := env.context()
	defer cancel()
	return topology.Collect(ctx, addr)
}

type topologyCommand struct {
	env  *environment
	DOT  bool   `long:"dot" description:"for Graphviz, instead of a tree"`
	SVG  bool   `long:"svg" description:"as a picture, instead of a tree"`
	Save string `long:"save" value-name:"FILE" description:"also save the topology, for --from"`
	From string `long:"from" value-name:"FILE" description:"draw a saved topology, without ADDR"`
	Args struct {
		Member string `positional-arg-name:"ADDR" description:"transport of a control-plane member"`
	} `positional-args:"yes"`
}

// Execute draws the topology.
func (c *topologyCommand) Execute([]string) error {
	t, err := c.load()
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := saveTopology(c.Save, t); err != nil {
			return err
		}
	}
	switch {
	case c.SVG:
		t.WriteSVG(c.env.out)
	case c.DOT:
		t.WriteDOT(c.env.out)
	default:
		return c.env.print(t, func() { t.WriteText(c.env.out) })
	}
	return nil
}

// load reads the topology from a file, or collects it from the mesh.
func (c *topologyCommand) load() (topology.Topology, error) {
	if (c.From == "") == (c.Args.Member == "") {
		return topology.Topology{}, errors.New("either ADDR or --from is wanted")
	}
	if c.From == "" {
		return c.env.collect(c.Args.Member)
	}
	file, err := os.Open(c.From)
	if err != nil {
		return topology.Topology{}, err
	}
	defer func() { _ = file.Close() }() // it was only read
	t, err := topology.Load(file)
	return t, errors.Annotate(err, c.From)
}

// saveTopology writes a topology to a file, for --from.
func saveTopology(path string, t topology.Topology) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := t.Save(file); err != nil {
		_ = file.Close() // the first error is the one to report
		return errors.Annotate(err, path)
	}
	return file.Close()
}
