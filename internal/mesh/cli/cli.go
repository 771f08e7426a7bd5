// Package cli is the command line of the operators' tool meshctl: it parses the arguments, calls the package that does the work, and
// prints the result as text or as JSON.
//
// It owns the names of commands and options, the texts and the exit codes, which scripts rely on (docs/mesh.md). It must never
// decide anything about the mesh. Any goroutine may call Run; calls share no state.
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
	ExitRejected = 1 // rejected or invalid; also if status has warnings or diff finds a difference
	ExitUsage    = 2 // invalid command line
	ExitNoAnswer = 3 // no answer
)

// errNotWell makes the exit code ExitRejected after a command has printed its result.
const errNotWell = errors.ConstError("")

// environment has the outputs and options that the commands of one run share.
type environment struct {
	out     io.Writer
	errOut  io.Writer
	options globalOptions
}

// globalOptions are the options of every command.
type globalOptions struct {
	JSON    bool          `long:"json" description:"print the result as JSON"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"of the wait for an answer"`
	Within  time.Duration `long:"within" hidden:"yes"` // the former name of Timeout
}

// Run runs one command and returns its exit code. args are the arguments without the program's name.
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

// newParser returns a parser with all commands, under their present and former names.
func newParser(env *environment) *flags.Parser {
	parser := flags.NewParser(&env.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "meshctl"
	for _, c := range commands(env) {
		command := mustAdd(parser, c.name, c.description, c.data)
		_, former := formerNames[c.name]
		command.SubcommandsOptional = former // the former command of this name had no subcommands
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

// mustAdd adds a command. It panics if the command's struct tags are invalid.
func mustAdd(parser *flags.Parser, name, description string, data any) *flags.Command {
	command, err := parser.AddCommand(name, description, description, data)
	if err != nil {
		panic(err)
	}
	return command
}

// namedCommand is a top-level command.
type namedCommand struct {
	name        string
	description string
	data        any // a pointer to a struct with go-flags tags
}

// commands returns the commands in the order of the help.
func commands(env *environment) []namedCommand {
	return []namedCommand{
		{
			"status", "print the state of a running mesh: warnings, leader, processes that lag, servers that are out and why",
			&statusCommand{env: env},
		},
		{"topology", "draw the topology of a running mesh, or a saved one", &topologyCommand{env: env}},
		{"get", "print items of the configuration, as confirmed by a majority", &getCommand{env: env}},
		{"check", "check a settings file or a change of the configuration; errors name line and field", &checkCommand{env: env}},
		{"diff", "print what a change would do to the active configuration", &diffCommand{env: env}},
		{"apply", "check a change of the configuration and send it", &applyCommand{env: env}},
		{"backup", "write the configuration to a file", &backupCommand{env: env}},
		{"restore", "restore the items of a backup that have no newer version", &applyCommand{env: env}},
		{"drain", "take the server beside a sidecar out of service, or put it back", &drainCommand{env: env}},
		{"maintenance", "take machines out of service within the hours that contracts approve", newMaintenanceCommands(env)},
		{"policy", "policies of namespaces: which apply to a request, where several apply, which set is active", newPolicyCommands(env)},
		{"logs", "print the latest log lines of a process", &logsCommand{env: env}},
		{
			"recover", "write the configuration on a stopped member's disk, after more was lost than the mesh tolerates",
			&recoverCommand{env: env},
		},
		{"inspect", "print the contents of a stopped member's disk, changing nothing", &inspectCommand{env: env}},
		{"demo", "start a small mesh on loopback, run a demo on it, print the outcomes of all requests", newDemoCommands(env)},
	}
}

// context returns the context of one call.
func (env *environment) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), env.options.Timeout)
}

// api returns a client of a control-plane member.
func (env *environment) api(addr string) apiclient.Client {
	return apiclient.Client{Addr: addr, Timeout: env.options.Timeout}
}

// print prints a result: as JSON if the options say so, else by calling text.
func (env *environment) print(outcome any, text func()) error {
	if !env.options.JSON {
		text()
		return nil
	}
	encoder := json.NewEncoder(env.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(outcome)
}

// printf prints a part of a result.
func (env *environment) printf(format string, args ...any) { fmt.Fprintf(env.out, format, args...) }

// println prints a line of a result.
func (env *environment) println(args ...any) { fmt.Fprintln(env.out, args...) }
