package main

import (
	"os"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/topology"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
)

// memberAddr names a running mesh by one register of it.
type memberAddr struct {
	Register string `positional-arg-name:"ADDR" description:"trunks of a register: its ip and the first port of InternalPortRange"`
}

type statusCommand struct {
	Args memberAddr `positional-args:"yes" required:"yes"`
}

// statusResult is status as JSON: the topology, and what stands out.
type statusResult struct {
	Warnings []string `json:"signs"`
	topology.Topology
}

// Execute tells how a mesh is.
func (s *statusCommand) Execute([]string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	t, err := topology.Collect(ctx, s.Args.Register)
	if err != nil {
		return err
	}
	signs := t.Warnings()
	if err := printResult(statusResult{append([]string{}, signs...), t}, func() { t.WriteReport(os.Stdout) }); err != nil {
		return err
	}
	if len(signs) > 0 {
		return errNotWell
	}
	return nil
}

type topologyCommand struct {
	Dot  bool   `long:"dot" description:"for Graphviz, instead of a tree"`
	SVG  bool   `long:"svg" description:"as a picture, instead of a tree"`
	Save string `long:"save" value-name:"FILE" description:"and keep what was found, for --from"`
	From string `long:"from" value-name:"FILE" description:"draw what was saved; ADDR is left out"`
	Args struct {
		Register string `positional-arg-name:"ADDR" description:"trunks of a register"`
	} `positional-args:"yes"`
}

// Execute draws the topology.
func (d *topologyCommand) Execute([]string) error {
	var t topology.Topology
	switch {
	case (d.From == "") == (d.Args.Register == ""):
		return errors.New("either ADDR or --from is wanted")
	case d.From != "":
		f, err := os.Open(d.From)
		if err != nil {
			return err
		}
		defer f.Close()
		if t, err = topology.Load(f); err != nil {
			return errors.Annotate(err, d.From)
		}
	default:
		ctx, cancel := withTimeout()
		defer cancel()
		var err error
		if t, err = topology.Collect(ctx, d.Args.Register); err != nil {
			return err
		}
	}
	if d.Save != "" {
		f, err := os.Create(d.Save)
		if err != nil {
			return err
		}
		if err := errors.Trace(t.Save(f)); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	switch {
	case d.SVG:
		t.WriteSVG(os.Stdout)
	case d.Dot:
		t.WriteDOT(os.Stdout)
	default:
		return printResult(t, func() { t.WriteText(os.Stdout) })
	}
	return nil
}

type logsCommand struct {
	Args struct {
		Addr string `positional-arg-name:"ADDR" description:"trunk of a register or a line: the latter's Inbound"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints a process's log: lines of JSON already, with or without --json.
func (r *logsCommand) Execute([]string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	text, err := transport.CallOnce(ctx, r.Args.Addr, topology.ClientName, codec.CallLogRing, nil)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}

type drainCommand struct {
	Undo bool `long:"undo" description:"let it in again"`
	Args struct {
		Line string `positional-arg-name:"ADDR" description:"trunk of the line beside the server: its Inbound"`
	} `positional-args:"yes" required:"yes"`
}

// Execute takes a server out for as long as its line runs, or lets it in again.
func (d *drainCommand) Execute([]string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	var body []byte
	if !d.Undo {
		body = []byte{1}
	}
	_, err := transport.CallOnce(ctx, d.Args.Line, topology.ClientName, codec.CallDrain, body)
	return err
}
