package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"cranegrade/internal/admin"
	"cranegrade/internal/operator"
	"cranegrade/internal/program"
)

var opsCommand = program.Command{Name: "ops", Run: ops, Usage: `  cranegrade ops CALL --at ADDRESS | --config FILE
                              call running nodes at their operators' ports: check, set-down ID, set-up ID, drain-on,
                              drain-off
`}

// errNo says that the node answered no; it has been printed.
var errNo = errors.New("the node says no")

// ops calls running nodes at their operators' ports. It exits 0 if all say yes, 1 if one says no or does not answer.
func ops(args []string, stdout, stderr io.Writer) int {
	var at []string
	var config string
	var within time.Duration
	root := &cobra.Command{
		Use: "cranegrade ops", Short: "Call running nodes at their operators' ports",
		Long:         "Each call goes to every node named with --at, or to the one whose file --config names. docs/operators-port.md says what they do.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	flags := root.PersistentFlags()
	flags.StringArrayVar(&at, "at", nil, "host:port of a node's operators' port; more than once for several nodes")
	flags.StringVar(&config, "config", "", "the operator's file of the node, which names its port")
	flags.DurationVar(&within, "within", 2*time.Second, "how long to wait for each answer")
	call := func(verb admin.Verb, short string, arguments int) {
		use := string(verb)
		if arguments > 0 {
			use += " ID"
		}
		root.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(arguments), RunE: func(cmd *cobra.Command, args []string) error {
			to, err := nodesOf(at, config)
			if err != nil {
				return err
			}
			c := admin.Command{Verb: verb}
			if arguments > 0 {
				c.ID = args[0]
			}
			return sendToAll(cmd.Context(), stdout, to, c, within)
		}})
	}
	call(admin.Check, "does the node take clients", 0)
	call(admin.SetDown, "send nothing more to a server", 1)
	call(admin.SetUp, "use the server again", 1)
	call(admin.DrainOn, "send clients away", 0)
	call(admin.DrainOff, "let clients come again", 0)
	err := root.ExecuteContext(context.Background())
	switch {
	case err == nil:
		return 0
	case !errors.Is(err, errNo):
		fmt.Fprintf(stderr, "cranegrade ops: %v\n", err)
	}
	return 1
}

// nodesOf are the nodes to call: those of at, and the one whose file config names.
func nodesOf(at []string, config string) ([]string, error) {
	to := at
	if config != "" {
		plan, err := operator.Load(config)
		if err != nil {
			return nil, err
		}
		if plan.Operator == "" {
			return nil, fmt.Errorf("%s names no operator address", config)
		}
		to = append(to, plan.Operator)
	}
	if len(to) == 0 {
		return nil, errors.New("no node is named: --at ADDRESS or --config FILE")
	}
	return to, nil
}

// sendToAll sends a command to one node after the other, and prints what each answers. errNo: not all said yes.
func sendToAll(ctx context.Context, stdout io.Writer, to []string, c admin.Command, within time.Duration) error {
	var failed error
	for _, addr := range to {
		limited, cancel := context.WithTimeout(ctx, within)
		yes, text, err := admin.Send(limited, addr, c)
		cancel()
		switch {
		case err != nil:
			fmt.Fprintf(stdout, "%s: no answer: %v\n", addr, err)
			failed = errNo
		case yes:
			fmt.Fprintf(stdout, "%s: yes: %s\n", addr, text)
		default:
			fmt.Fprintf(stdout, "%s: no: %s\n", addr, text)
			failed = errNo
		}
	}
	return failed
}
