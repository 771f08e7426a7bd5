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

// opsCommand sends commands to running nodes.
var opsCommand = program.Command{
	Name: "ops",
	Run:  runOps,
	Usage: `  cranegrade ops CALL --at ADDRESS | --config FILE
                              call running nodes at their operators' ports: check, set-down ID, set-up ID, drain-on,
                              drain-off (docs/operators-port.md);
                              for example: cranegrade ops set-down orders-2 --at 127.0.0.1:7000
`,
}

// defaultAnswerTimeout is how long a node may take to answer a command.
const defaultAnswerTimeout = 2 * time.Second

// errRefused says that a node has refused a command or has not answered, which has been printed.
var errRefused = errors.New("the node says no")

// opsOptions are the flags of the ops commands.
type opsOptions struct {
	addrs   []string      // command ports
	config  string        // a node's file, which names its command port; empty if none is given
	timeout time.Duration // of each answer; default defaultAnswerTimeout
}

// runOps sends a command to running nodes. It exits 0 if all have executed it.
func runOps(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:         "ops",
		Annotations: map[string]string{cobra.CommandDisplayNameAnnotation: "cranegrade ops"},
		Short:       "Call running nodes at their operators' ports",
		Long: "Each call goes to every node named with --at, or to the one whose file --config names. " +
			"docs/operators-port.md says what they do.",
		Example: "  cranegrade ops check --at 127.0.0.1:7000 --at 127.0.0.1:7001\n" +
			"  cranegrade ops set-down orders-2 --config deploy/examples/operators.toml",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	var o opsOptions
	flags := root.PersistentFlags()
	flags.StringArrayVar(&o.addrs, "at", nil, "host:port of a node's operators' port; more than once for several nodes")
	flags.StringVar(&o.config, "config", "", "the operator's file of the node, which names its port")
	flags.DurationVar(&o.timeout, "within", defaultAnswerTimeout, "how long to wait for each answer")
	root.AddCommand(
		newOpsCommand(admin.Check, "", "does the node take clients", stdout, &o),
		newOpsCommand(admin.SetDown, "ID", "send nothing more to a server", stdout, &o),
		newOpsCommand(admin.SetUp, "ID", "use the server again", stdout, &o),
		newOpsCommand(admin.DrainOn, "", "send clients away", stdout, &o),
		newOpsCommand(admin.DrainOff, "", "let clients come again", stdout, &o),
	)
	err := root.ExecuteContext(context.Background())
	switch {
	case err == nil:
		return program.ExitOK
	case !errors.Is(err, errRefused):
		fmt.Fprintf(stderr, "cranegrade ops: %v\n", err)
	}
	return program.ExitFailed
}

// newOpsCommand returns the command line of a verb. argument names its argument and is empty if it takes none.
func newOpsCommand(verb admin.Verb, argument, short string, stdout io.Writer, o *opsOptions) *cobra.Command {
	use := string(verb)
	arguments := 0
	if argument != "" {
		use += " " + argument
		arguments = 1
	}
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(arguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			addrs, err := o.commandPorts()
			if err != nil {
				return err
			}
			c := admin.Command{Verb: verb}
			if arguments > 0 {
				c.ID = args[0]
			}
			return sendToAll(cmd.Context(), stdout, addrs, c, o.timeout)
		},
	}
}

// commandPorts returns the addresses that the flags name, directly and by a file.
func (o *opsOptions) commandPorts() ([]string, error) {
	addrs := o.addrs
	if o.config != "" {
		plan, err := operator.Load(o.config)
		if err != nil {
			return nil, err
		}
		if plan.Operator == "" {
			return nil, fmt.Errorf("%s names no operator address", o.config)
		}
		addrs = append(addrs, plan.Operator)
	}
	if len(addrs) == 0 {
		return nil, errors.New("no node is named: --at ADDRESS or --config FILE")
	}
	return addrs, nil
}

// sendToAll sends a command to one node after the other and prints the answers. It returns errRefused unless all nodes have
// executed it.
func sendToAll(ctx context.Context, stdout io.Writer, addrs []string, c admin.Command, timeout time.Duration) error {
	var failed error
	for _, addr := range addrs {
		sendCtx, cancel := context.WithTimeout(ctx, timeout)
		executed, text, err := admin.Send(sendCtx, addr, c)
		cancel()
		switch {
		case err != nil:
			fmt.Fprintf(stdout, "%s: no answer: %v\n", addr, err)
			failed = errRefused
		case executed:
			fmt.Fprintf(stdout, "%s: yes: %s\n", addr, text)
		default:
			fmt.Fprintf(stdout, "%s: no: %s\n", addr, text)
			failed = errRefused
		}
	}
	return failed
}
