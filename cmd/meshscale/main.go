// Command meshscale measures how the control side of a mesh grows (run), draws what was measured (report) and writes the
// tables of docs/CAPACITY.md from it (page). See internal/mesh/scale.
//
// Exit codes: 0 done, 1 a fault or a run that stopped before its end, 2 the command line or the experiment file.
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

var errStopped = errors.New("the run stopped before its end; what it measured is kept")

type runCommand struct {
	Out  string `short:"o" long:"out" value-name:"FILE" description:"where the results go; else docs/capacity/NAME.json, by the experiment's name"`
	Args struct {
		File string `positional-arg-name:"EXPERIMENT.toml" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute measures. An interrupt ends all that was started and keeps what was measured.
func (c *runCommand) Execute([]string) error {
	x, err := scale.LoadExperiment(c.Args.File)
	if err != nil {
		return usage{err}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results, err := scale.Run(ctx, x, program, func(text string) { fmt.Fprintln(os.Stderr, text) })
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = scale.ResultsDir + "/" + x.Name + ".json"
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

type workerCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs sidecars as standard input tells.
func (c *workerCommand) Execute([]string) error {
	return scale.ServeWorker(c.Args.Kind, os.Stdin, os.Stdout)
}

type reportCommand struct {
	Out string `short:"o" long:"out" value-name:"FILE" default:"docs/capacity/report.html" description:"where the report goes"`
}

// Execute draws the committed results.
func (c *reportCommand) Execute([]string) error {
	all, err := scale.ReadAll(scale.ResultsDir)
	if err != nil {
		return err
	}
	return scale.WriteReport(c.Out, all)
}

type pageCommand struct {
	Page string `short:"p" long:"page" value-name:"FILE" default:"docs/CAPACITY.md" description:"the page whose tables are written"`
}

// Execute writes the page's tables anew from the committed results.
func (c *pageCommand) Execute([]string) error {
	all, err := scale.ReadAll(scale.ResultsDir)
	if err != nil {
		return err
	}
	return scale.UpdatePage(c.Page, all)
}

// usage is a fault of whoever calls.
type usage struct{ error }

func main() {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.AddCommand("run", "measure what an experiment file names", "", &runCommand{})
	p.AddCommand("report", "draw the results under docs/capacity", "", &reportCommand{})
	p.AddCommand("page", "write the tables of docs/CAPACITY.md", "", &pageCommand{})
	if w, err := p.AddCommand("worker", "run sidecars for a run", "", &workerCommand{}); err == nil {
		w.Hidden = true
	}
	_, err := p.Parse()
	var f *flags.Error
	switch {
	case err == nil:
	case flags.WroteHelp(err):
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, err)
		if errors.As(err, &f) || errors.As(err, &usage{}) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFault)
	}
}
