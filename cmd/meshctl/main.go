// Command switchboard is the operators' of a mesh: it tells how it is and draws it, reads, checks and changes its
// configuration, takes servers out by hand, reads a process's log and a register's disk, and starts a small mesh to look at.
//
// Exit codes: 0 done, or all is well; 1 refused, invalid, or something stands out (status) or would change (diff); 2 the
// command line; 3 no answer.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"
	_ "time/tzdata" // contracts name time zones

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/transport"
)

// Exit codes beyond 0.
const (
	exitRefused = 1
	exitUsage   = 2
	exitSilent  = 3
)

// errNotWell is the outcome of a command that has said what there is to say, and it was not that all is well.
const errNotWell = errors.ConstError("")

// globalOptions are the options of every command.
var globalOptions struct {
	JSON   bool          `long:"json" description:"tell it as JSON"`
	Within time.Duration `long:"within" default:"3s" description:"how long an answer is waited for"`
}

func withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), globalOptions.Within)
}

// printResult prints an outcome: as JSON, or by the function that words it.
func printResult(v any, text func()) error {
	if !globalOptions.JSON {
		text()
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type inspectCommand struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"a register's DataDir; the register must not run"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells what a register's disk holds.
func (i *inspectCommand) Execute([]string) error {
	h, err := controlplane.Inspect(i.Args.Dir)
	if err != nil {
		return err
	}
	return printResult(h, func() { h.WriteText(os.Stdout) })
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	p := flags.NewParser(&globalOptions, flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, about string, c any) {
		if _, err := p.AddCommand(name, about, about, c); err != nil {
			panic(err)
		}
	}
	add("status", "tell how a running mesh is: what stands out, who leads, who lags, which servers are out and why", &statusCommand{})
	add("draw", "draw the topology, of a running mesh or as it was saved", &topologyCommand{})
	add("get", "print items of the configuration, confirmed by a majority", &getCommand{})
	add("check", "check a settings file or a change of the configuration; names line and field", &checkCommand{})
	add("diff", "tell what a change would do to the configuration that stands", &diffCommand{})
	add("apply", "check a change of the configuration and have it agreed on", &applyCommand{})
	add("backup", "write the configuration to a file", &backupCommand{})
	add("restore", "bring the items of a backup back, where no newer versions stand", &applyCommand{})
	add("drain", "take the server beside a line out, or let it in again", &drainCommand{})
	add("night", "maintenance: machines come out within the hours that contracts approve", &maintenanceCommands{})
	add("rules", "namespaces' rules: what holds on a request and by whom, where they meet, which set binds", &policyCommands{})
	add("ring", "print the log that a process still has in memory", &logsCommand{})
	add("rescue", "write the configuration that a stopped register's disk holds, after more was lost than the core bears", &recoverCommand{})
	add("inspect", "tell what a register's disk holds, changing nothing", &inspectCommand{})
	add("maintenance", "play a drain in approved hours on live traffic, and audit every request", &maintenanceDemo{})
	add("campaign", "play two teams' rules against each other while sends run, and audit every request", &policyDemo{first: "dispatch", second: "devicebook",
		owners: [2]string{"ana", "cy"}, keyed: "send", read: "tokens"})
	add("intake", "the same of an intake day: weighings, lookups and exports", &policyDemo{first: "crew-log", second: "cellar-ledger",
		owners: [2]string{"kit", "lou"}, keyed: "weighing", read: "block", whole: "export"})
	add("tour", "start a small mesh on loopback, play traffic through it, tell what became of every request", &failoverDemo{})
	_, err := p.ParseArgs(args)
	var bad *flags.Error
	switch {
	case err == nil:
		return 0
	case flags.WroteHelp(err):
		fmt.Println(err)
		return 0
	case errors.As(err, &bad):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case errors.Is(err, errNotWell):
		return exitRefused
	}
	fmt.Fprintf(os.Stderr, "switchboard: %v\n", err)
	if errors.Is(err, transport.ErrNoReply) {
		return exitSilent
	}
	return exitRefused
}
