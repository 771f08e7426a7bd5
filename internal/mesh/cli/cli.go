// Package cli is the operators' command line of a mesh, `meshctl`: it parses the arguments, calls the package that does what is
// asked for, and words the outcome, as text or as JSON.
//
// It owns the names of commands and options, the texts and the exit codes, which scripts rely on (docs/mesh.md). It must never
// decide anything about the mesh.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"cranegrade/internal/mesh/apiclient"
	"cranegrade/internal/mesh/transport"
)

// Exit codes.
const (
	ExitOK       = 0 // done, or all is well
	ExitRejected = 1 // rejected, invalid, or something stands out (status) or would change (diff)
	ExitUsage    = 2 // the command line
	ExitNoAnswer = 3 // no answer
)

// errNotWell is the outcome of a command that has said what there is to say, and it was not that all is well.
const errNotWell = errors.ConstError("")

// environment is what all commands of one run share.
type environment struct {
	out     io.Writer
	errOut  io.Writer
	options globalOptions
}

// globalOptions are the options of every command.
type globalOptions struct {
	JSON    bool          `long:"json" description:"print the outcome as JSON"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"how long an answer is waited for"`
	Within  time.Duration `long:"within" hidden:"yes"` // the former name of Timeout
}

// Run runs one command, whose arguments these are, without the program's name, and gives its exit code.
func Run(args []string, out, errOut io.Writer) int {
	env := &environment{out: out, errOut: errOut}
	parser := newParser(env)
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case flags.WroteHelp(err):
		fmt.Fprintln(out, err)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, err)
		return ExitUsage
	case errors.Is(err, errNotWell):
		return ExitRejected
	}
	fmt.Fprintf(errOut, "meshctl: %v\n", err)
	if errors.Is(err, transport.ErrNoReply) || errors.Is(err, apiclient.ErrUnavailable) {
		return ExitNoAnswer
	}
	return ExitRejected
}

// newParser knows all commands, by their names and by the former ones.
func newParser(env *environment) *flags.Parser {
	parser := flags.NewParser(&env.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "meshctl"
	for _, c := range commands(env) {
		command := mustAdd(parser, c.name, c.description, c.data)
		_, former := formerNames[c.name]
		command.SubcommandsOptional = former // for it was a command without any
	}
	for _, c := range formerCommands(env) {
		mustAdd(parser, c.name, c.description, c.data).Hidden = true
	}
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if env.options.Within > 0 {
			env.options.Timeout = env.options.Within
		}
		env.warnFormerName(activeCommands(parser))
		if command == nil {
			return nil
		}
		return command.Execute(args)
	}
	return parser
}

// mustAdd adds a command. It panics where the command's own tags are at fault.
func mustAdd(parser *flags.Parser, name, description string, data any) *flags.Command {
	command, err := parser.AddCommand(name, description, description, data)
	if err != nil {
		panic(err)
	}
	return command
}

// namedCommand is a command of the first level.
type namedCommand struct {
	name, description string
	data              any
}

func commands(env *environment) []namedCommand {
	return []namedCommand{
		{"status", "tell how a running mesh is: what stands out, who leads, who lags, which servers are out and why", &statusCommand{env: env}},
		{"topology", "draw the topology, of a running mesh or as it was saved", &topologyCommand{env: env}},
		{"get", "print items of the configuration, confirmed by a majority", &getCommand{env: env}},
		{"check", "check a settings file or a change of the configuration; names line and field", &checkCommand{env: env}},
		{"diff", "tell what a change would do to the configuration that is in force", &diffCommand{env: env}},
		{"apply", "check a change of the configuration and have it acknowledged", &applyCommand{env: env}},
		{"backup", "write the configuration to a file", &backupCommand{env: env}},
		{"restore", "bring the items of a backup back, where no newer versions stand", &applyCommand{env: env}},
		{"drain", "take the server beside a sidecar out, or let it in again", &drainCommand{env: env}},
		{"maintenance", "machines come out within the hours that contracts approve", newMaintenanceCommands(env)},
		{"policy", "namespaces' policies: what holds on a request and by whom, where they meet, which set is active", newPolicyCommands(env)},
		{"logs", "print the log that a process still has in memory", &logsCommand{env: env}},
		{
			"recover", "write the configuration that a stopped member's disk holds, after more was lost than the mesh tolerates",
			&recoverCommand{env: env},
		},
		{"inspect", "tell what a member's disk holds, changing nothing", &inspectCommand{env: env}},
		{"demo", "start a small mesh on loopback, play a scene on it, tell what became of every request", newDemoCommands(env)},
	}
}

// context returns the context of one call.
func (env *environment) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), env.options.Timeout)
}

// api calls a control-plane member.
func (env *environment) api(addr string) apiclient.Client {
	return apiclient.Client{Addr: addr, Timeout: env.options.Timeout}
}

// print prints an outcome: as JSON, or by the function that words it.
func (env *environment) print(outcome any, text func()) error {
	if !env.options.JSON {
		text()
		return nil
	}
	encoder := json.NewEncoder(env.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(outcome)
}

func (env *environment) printf(format string, args ...any) { fmt.Fprintf(env.out, format, args...) }

func (env *environment) println(args ...any) { fmt.Fprintln(env.out, args...) }
