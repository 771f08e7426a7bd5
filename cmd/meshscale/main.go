// Command meshscale measures how the cost of a mesh's control plane grows (run), draws the results (report) and writes the tables of
// docs/CAPACITY.md (page). See internal/mesh/scale.
//
// Exit codes: 0 done, 1 a fault or a run that stopped early, 2 an invalid command line or experiment file.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"cranegrade/internal/mesh/scale"
)

// Exit codes beyond 0.
const (
	exitFault = 1
	exitUsage = 2
)

// errStopped is the error of a run that stopped early.
var errStopped = errors.New("the run stopped before its end; what it measured is kept")

// usageError is an error of the caller: in the experiment file.
type usageError struct{ error }

// Unwrap returns the error itself.
func (e usageError) Unwrap() error { return e.error }

// runCommand is the command run.
type runCommand struct {
	Out  string `short:"o" long:"out" value-name:"FILE" description:"where the results go (default: docs/capacity/NAME.json)"`
	Args struct {
		File string `positional-arg-name:"EXPERIMENT.toml" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute carries out an experiment. An interrupt ends all processes that were started; what was measured is written all the same.
func (c *runCommand) Execute([]string) error {
	experiment, err := scale.LoadExperiment(c.Args.File)
	if err != nil {
		return usageError{err}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results, err := scale.Run(ctx, experiment, program, func(text string) { fmt.Fprintln(os.Stderr, text) })
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = scale.ResultsDir + "/" + experiment.Name + ".json"
	}
	if err := results.Write(out); err != nil {
		return err
	}
	fmt.Println(out)
	fmt.Print(scale.Text(results))
	if results.Stopped != "" {
		return errStopped
	}
	return nil
}

// workerCommand is the command worker, which run starts as a process of its own.
type workerCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs sidecars by the requests on standard input. Only a run starts it.
func (c *workerCommand) Execute([]string) error {
	return scale.ServeWorker(c.Args.Kind, os.Stdin, os.Stdout)
}

// reportCommand is the command report.
type reportCommand struct {
	Out string `short:"o" long:"out" value-name:"FILE" default:"docs/capacity/report.html" description:"where the report goes"`
}

// Execute draws the committed results as an HTML page.
func (c *reportCommand) Execute([]string) error {
	all, err := scale.ReadAll(scale.ResultsDir)
	if err != nil {
		return err
	}
	return scale.WriteReport(c.Out, all)
}

// pageCommand is the command page.
type pageCommand struct {
	Page string `short:"p" long:"page" value-name:"FILE" default:"docs/CAPACITY.md" description:"the page whose tables are written"`
}

// Execute writes the page's tables from the committed results.
func (c *pageCommand) Execute([]string) error {
	all, err := scale.ReadAll(scale.ResultsDir)
	if err != nil {
		return err
	}
	return scale.UpdatePage(c.Page, all)
}

func main() {
	parser, err := newParser()
	if err == nil {
		_, err = parser.Parse()
	}
	os.Exit(exitCode(err))
}

// programHelp is what the help says of the program as a whole.
const programHelp = "Measures how the cost of a mesh's control plane grows with the mesh, and keeps the results " +
	"under docs/capacity. Run it at the root of the project. Example: meshscale run docs/capacity/growth.toml"

// newParser returns the parser of the command line, with all commands.
func newParser() (*flags.Parser, error) {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = programHelp
	for _, c := range []struct {
		name, description, help string
		command                 any
		hidden                  bool
	}{
		{
			name:        "run",
			description: "measure what an experiment file names",
			help:        "Runs the experiment and writes its results. Example: meshscale run docs/capacity/growth.toml",
			command:     &runCommand{},
		},
		{
			name:        "report",
			description: "draw the results under docs/capacity",
			help:        "Draws the committed results as an HTML page. Example: meshscale report -o /tmp/report.html",
			command:     &reportCommand{},
		},
		{
			name:        "page",
			description: "write the tables of docs/CAPACITY.md",
			help:        "Writes the page's tables from the committed results. Example: meshscale page",
			command:     &pageCommand{},
		},
		{
			name:        "worker",
			description: "run sidecars for a run",
			command:     &workerCommand{},
			hidden:      true,
		},
	} {
		added, err := parser.AddCommand(c.name, c.description, c.help, c.command)
		if err != nil {
			return nil, err
		}
		added.Hidden = c.hidden
	}
	return parser, nil
}

// exitCode prints an error, or the help that was asked for, and returns the exit code.
func exitCode(err error) int {
	var usage usageError
	var parseError *flags.Error
	switch {
	case err == nil:
		return 0
	case flags.WroteHelp(err):
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.As(err, &parseError) || errors.As(err, &usage) {
		return exitUsage
	}
	return exitFault
}
