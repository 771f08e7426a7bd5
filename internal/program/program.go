// Package program is the command line that the load balancer's programs share: flags, signals, exit codes and the log. The
// programs differ in the parts that they link (node.Options) and in the commands that need them. It owns what is set once
// for a process: the log's output and the runtime's limits. It never takes part in serving; internal/node does that. Main and
// Run are called once for a process, since what they set is the process's.
package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"cranegrade/internal/node"
)

// Exit codes of the programs and their commands.
const (
	ExitOK     = 0
	ExitFailed = 1 // the node could not start or failed, or a file has mistakes
	ExitUsage  = 2 // the command line is wrong
)

// Command is a command of one program, beyond those that all programs have.
type Command struct {
	Name  string
	Usage string // lines of the usage, each with its line break
	Run   func(args []string, stdout, stderr io.Writer) (exitCode int)
}

// Main runs the program by the command line and the signals of the process, and ends the process.
func Main(o node.Options, commands ...Command) {
	// Signals are caught before anything else is done, because one that is not caught ends the process. The channel has room
	// for one SIGHUP: a reload reads what the file has by then, so further ones need not be kept.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(Run(ctx, reload, os.Args[1:], os.Stdout, os.Stderr, o, commands...))
}

// Run runs the program by a command line and returns its exit code. A value on reload has a node read its file again; the
// end of ctx stops it.
func Run(ctx context.Context, reload <-chan os.Signal, args []string, stdout, stderr io.Writer, o node.Options, commands ...Command) int {
	flags := flag.NewFlagSet("cranegrade", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "")
	traceDir := flags.String("trace", "", "")
	traceDetail := flags.Bool("trace-detail", false, "")
	showVersion := flags.Bool("version", false, "")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, usageWith(commands))
		return ExitOK
	case err != nil:
		fmt.Fprintf(stderr, "cranegrade: %v\n%s", err, usageWith(commands))
		return ExitUsage
	case *showVersion:
		fmt.Fprintln(stdout, "cranegrade", version())
		return ExitOK
	case flags.NArg() > 0 && *config != "":
		fmt.Fprintf(stderr, "cranegrade: -config FILE goes after the command: cranegrade %s -config FILE\n%s", flags.Arg(0), usageWith(commands))
		return ExitUsage
	case flags.NArg() > 0:
		return runCommand(ctx, flags.Args(), stdout, stderr, commands)
	}
	if err := runNode(ctx, reload, *config, o, &tracer{dir: *traceDir, detail: *traceDetail}); err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

// runCommand runs the command that the first arguments name.
func runCommand(ctx context.Context, args []string, stdout, stderr io.Writer, commands []Command) int {
	switch {
	case args[0] == "check" && len(args) > 1:
		return check(args[1:], stdout, stderr)
	case args[0] == "xds" && len(args) > 1 && args[1] == "dump":
		return xdsDump(ctx, args[2:], stdout, stderr)
	}
	for _, c := range commands {
		if c.Name == args[0] {
			return c.Run(args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "cranegrade: there is no command %q, or it takes other arguments\n%s", args[0], usageWith(commands))
	return ExitUsage
}
