package cli

import (
	"cranegrade/internal/mesh/topology"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
)

type logsCommand struct {
	env  *environment
	Args struct {
		Addr string `positional-arg-name:"ADDR" description:"transport of a control-plane member or a sidecar: the latter's Inbound"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints a process's log, which is lines of JSON with and without --json.
func (c *logsCommand) Execute([]string) error {
	ctx, cancel := c.env.context()
	defer cancel()
	text, err := transport.CallOnce(ctx, c.Args.Addr, topology.ClientName, codec.CallLogRing, nil)
	if err != nil {
		return err
	}
	_, err = c.env.out.Write(text)
	return err
}

type drainCommand struct {
	env  *environment
	Undo bool `long:"undo" description:"put it back into service"`
	Args struct {
		Sidecar string `positional-arg-name:"ADDR" description:"transport of the sidecar beside the server: its Inbound"`
	} `positional-args:"yes" required:"yes"`
}

// Execute takes a server out of service, until its sidecar ends, or puts it back.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel := c.env.context()
	defer cancel()
	var body []byte // an empty one puts the server back
	if !c.Undo {
		body = []byte{1}
	}
	_, err := transport.CallOnce(ctx, c.Args.Sidecar, topology.ClientName, codec.CallDrain, body)
	return err
}
