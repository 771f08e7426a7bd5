// Command cranesim runs overload scenarios in simulated time and compares the decision module with two reference policies: goodput
// before, during and after the trigger, the time until goodput has recovered, and the share of work that nobody waited for.
//
//	go run ./cmd/cranesim [-seeds N] [-servers N] [-load SHARE] [-seconds] [SHAPE...]
//
// It ends with 0 if all scenarios were run, with 1 if one could not be run, and with 2 if the command line is wrong.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/emulator"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Goodput has recovered when it stays at least minRecoveredGoodput over each recoverySpan.
const (
	minRecoveredGoodput = 0.95
	recoverySpan        = 2 * time.Second
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// Defaults of the flags.
const (
	defaultSeeds   = 5
	defaultServers = 8
	defaultLoad    = 0.8
)

// usageHead is what the help says before the flags; the names of the shapes are added.
const usageHead = `Usage: cranesim [FLAGS] [SHAPE...]

Runs overload scenarios in simulated time and compares the decision module with two reference policies.
Without a SHAPE it runs all: %s.

Example: cranesim -seeds 1 -servers 4 cold-burst

Flags:
`

// options are the command line.
type options struct {
	seeds   int      // plays of each scenario
	servers int      // of a tier
	load    float64  // offered outside the trigger, as a share of the capacity
	seconds bool     // print each second of the first play
	names   []string // of scenarios
}

// run runs the scenarios of a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	if err != nil {
		return exitUsage
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "shape\tpolicy\tbefore\tduring\tafter\tback after\tnever back\twasted\tworst class")
	for _, name := range o.names {
		for _, policy := range emulator.Policies() {
			c := &comparison{
				options: o,
				name:    name,
				policy:  policy,
				table:   table,
				stderr:  stderr,
			}
			if err := c.run(); err != nil {
				fmt.Fprintln(stderr, "cranesim:", err)
				return exitFailed
			}
			c.report()
		}
	}
	_ = table.Flush() // there is nobody left to tell of a failure of standard output
	return exitOK
}

// parse parses and checks the command line. Errors have been written to stderr.
func parse(args []string, stderr io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("cranesim", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, usageHead, strings.Join(emulator.ScenarioNames(), ", "))
		flags.PrintDefaults()
	}
	flags.IntVar(&o.seeds, "seeds", defaultSeeds, "runs of each scenario, by seeds from 1 on; the median is printed")
	flags.IntVar(&o.servers, "servers", defaultServers, "servers of a tier")
	flags.Float64Var(&o.load, "load", defaultLoad, "load offered outside the trigger, as a share of the capacity")
	flags.BoolVar(&o.seconds, "seconds", false, "print each second of the first run")
	if err := flags.Parse(args); err != nil {
		return options{}, err
	}
	o.names = flags.Args()
	if len(o.names) == 0 {
		o.names = emulator.ScenarioNames()
	}
	for _, name := range o.names {
		if _, err := emulator.NewScenario(name, 1, o.servers, o.load); err != nil {
			fmt.Fprintln(stderr, "cranesim:", err)
			return options{}, err
		}
	}
	return o, nil
}

// comparison is one policy in one scenario, over all seeds.
type comparison struct {
	options
	name   string
	policy emulator.Policy
	table  io.Writer
	stderr io.Writer

	// Goodput by seed: before, during and after the trigger.
	before, during, after []float64

	recoverySeconds []float64 // of the seeds in which goodput recovered
	neverRecovered  int
	wasted          []float64 // share of the work
	worstClass      []float64 // least goodput of a class
}

// run plays the scenario with every seed.
func (c *comparison) run() error {
	for seed := range uint64(c.seeds) {
		scenario, err := emulator.NewScenario(c.name, seed+1, c.servers, c.load)
		if err != nil {
			return err
		}
		scenario.Config.NewModule = c.policy.NewModule
		world, err := emulator.Run(scenario.Config)
		if err != nil {
			return fmt.Errorf("running %s, %s, seed %d: %w", c.name, c.policy.Name, seed+1, err)
		}
		for _, violation := range world.Violations {
			fmt.Fprintf(c.stderr, "cranesim: %s, %s, seed %d: %s\n", c.name, c.policy.Name, seed+1, violation)
		}
		c.add(scenario, world)
		if c.seconds && seed == 0 {
			c.reportSeconds(world)
		}
	}
	return nil
}

// add adds the measures of one play.
func (c *comparison) add(scenario emulator.Scenario, world *emulator.World) {
	start, end := scenario.TriggerStart, scenario.TriggerEnd
	c.before = append(c.before, world.Goodput(0, start))
	c.during = append(c.during, world.Goodput(start, max(end, start+time.Second)))
	c.after = append(c.after, world.Goodput(end, scenario.Config.Duration))
	if recovery, ok := world.RecoveryTime(end, minRecoveredGoodput, recoverySpan); ok {
		c.recoverySeconds = append(c.recoverySeconds, recovery.Seconds())
	} else {
		c.neverRecovered++
	}
	c.wasted = append(c.wasted, world.WastedShare())
	worst := 1.0
	for _, class := range world.Classes {
		worst = min(worst, float64(class.Good)/max(1, float64(class.Offered)))
	}
	c.worstClass = append(c.worstClass, worst)
}

// report prints the medians over all seeds as a row of the table.
func (c *comparison) report() {
	fmt.Fprintf(c.table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f s\t%d\t%.3f\t%.3f\n",
		c.name,
		c.policy.Name,
		median(c.before),
		median(c.during),
		median(c.after),
		median(c.recoverySeconds),
		c.neverRecovered,
		median(c.wasted),
		median(c.worstClass))
}

// reportSeconds prints what each second of a play counted.
func (c *comparison) reportSeconds(world *emulator.World) {
	for second, counts := range world.Seconds {
		fmt.Fprintf(c.table, "%s\t%s\t%d s\t{Offered:%d Good:%d Late:%d Refused:%d Failed:%d WorkDone:%v WorkWasted:%v}\n",
			c.name,
			c.policy.Name,
			second,
			counts.Offered,
			counts.Good,
			counts.Late,
			counts.Rejected,
			counts.Failed,
			counts.WorkDone,
			counts.WorkWasted)
	}
}

// median returns the middle value, or the higher one of two. It returns 0 if there is none. It sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
