// Package drill runs the real program among fakes, injects faults (Jepsen calls that a nemesis), and checks the recorded history for
// violations of the four rules of the protocol. Every drill is an entry of the table drills; its figures and failures are printed as text
// or as one JSON object.
//
// The package decides nothing that the program decides. It never takes the program's word for whether a rule was kept: what it reads of the
// program is what operators can read, and package audit judges by the records of the fakes.
package drill

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cranegrade/internal/audit"
	"cranegrade/internal/envoyconf"
)

// drill is an entry of the table of drills.
type drill struct {
	name    string
	summary string
	length  time.Duration // of the traffic, unless the command line gives another
	run     func(context.Context, *environment) error
}

var drills = []drill{
	{"tour", "one pool, three servers, a little traffic; one server drains, one crashes", 6 * time.Second, tour},
	{
		"pools", "five pools: one flooded at 20 times its capacity, one hung, one refusing, one without its registry, one calm",
		8 * time.Second, pools,
	},
	{"reload", "pools changed, removed and added, and hosts moved between them, under load", 10 * time.Second, reload},
	{"xds", "an assignment of 10,000 endpoints from a control plane, drained under load", 10 * time.Second, xds},
	{"xds-chaos", "control planes that do everything wrong, and three services that go on", 14 * time.Second, xdsChaos},
	{"xds-size", "200 clusters with 10,000 endpoints, 50 changes a second: CPU a change, and memory", 20 * time.Second, xdsSize},
	{
		"extproc", "three proxies that ask, a rolling deploy, and a burst of 5,000 questions",
		12 * time.Second, extproc(envoyconf.ByHeader),
	},
	{"extproc-metadata", "the same, the decision passed by metadata", 12 * time.Second, extproc(envoyconf.ByMetadata)},
	{"extproc-fallbacks", "the same, the proxies go down the list", 12 * time.Second, extproc(envoyconf.Fallbacks)},
	{"extproc-every-try", "the same, every attempt is asked for", 12 * time.Second, extproc(envoyconf.EveryTry)},
	{
		"extproc-chaos", "careless proxies that ask for every attempt, servers that fail, and a processor that dies",
		12 * time.Second, extprocChaos(envoyconf.EveryTry),
	},
	{"extproc-chaos-header", "the same, asked once for each request", 12 * time.Second, extprocChaos(envoyconf.ByHeader)},
	{
		"extproc-chaos-fallbacks", "the same, and the proxies go down the list",
		12 * time.Second, extprocChaos(envoyconf.Fallbacks),
	},
	{
		"extproc-crowd", "2,000 questions at once to a processor that has just started, for 200 idle servers",
		6 * time.Second, extprocCrowd,
	},
	{
		"overload", "two tiers, the lower one for a while too slow for its load; against a fixed limit and none",
		16 * time.Second, overload("overload"),
	},
	{"overload-restart", "a rolling restart of the upper tier", 16 * time.Second, overload("overload-restart")},
	{"overload-start", "ten times the capacity at the very start", 12 * time.Second, overload("overload-start")},
	{"overload-creep", "a slow creep to twice the capacity, and back", 20 * time.Second, overload("overload-creep")},
	{
		"overload-pools", "a hundred pools, the servers of ten of them ten times as slow for a while",
		12 * time.Second, overloadPools,
	},
	{
		"overload-tenants", "one tenant floods beside three that keep to their quotas; with quotas, equal shares, nothing",
		15 * time.Second, overloadTenants,
	},
	{"h2", "HTTP/2 on both sides: servers that drain, crash, hang, fail and reject", 8 * time.Second, h2Drill},
	{"grpc", "the same in gRPC, reads answered in pieces", 8 * time.Second, grpcDrill(0)},
	{
		"grpc-chaos", "the same, and servers break one answer in ten: midway, without a status, with false lengths",
		8 * time.Second, grpcDrill(0.1),
	},
	{
		"zones", "three zones: home turns slow, fails completely and comes back cold; a budget; the account against the servers' records",
		12 * time.Second, zonesDrill,
	},
	{
		"operators", "an operators' day: servers taken out and restarted, clients drained, upgrades, a long answer over one of them",
		12 * time.Second, operators,
	},
	{
		"members", "five processes under load: deaths, stops, cut, one-way, slow and lossy links drawn from the seed; no moment with more than the whole",
		20 * time.Second, faultSchedule,
	},
	{
		"deaths", "two of five processes die: what the servers get after it, with and without a view of the fleet",
		8 * time.Second, memberDeaths,
	},
	{
		"stops", "one of five processes stands still for 1, 10 and 30 s of 41, while a rolling deploy goes on",
		41 * time.Second, pausedMembers,
	},
	{
		"signals", "six processes: servers that fail, hang and reject while members die, stand still and lose links, and one member lies",
		20 * time.Second, wrongAccusations,
	},
	{
		"fleet-size", "views of 5, 50 and 300 members in simulated time: how soon deaths are right everywhere, how often the living are accused",
		10 * time.Second, fleetSize,
	},
	{
		"load", "requests a second, times and CPU of the node on one core; with -vs against another program, in pairs",
		20 * time.Second, load,
	},
}

func init() {
	// Added here because it reads the table itself.
	drills = append(drills, drill{"fleet", "lists the drills of several processes", time.Second, fleetList})
}

// Exit codes of Run.
const (
	exitKept   = 0 // all rules were kept, and what the drill expects came about
	exitBroken = 1 // a rule was violated, an expectation failed, or the drill could not be run
	exitUsage  = 2
)

// Run runs the drill that the arguments name and returns the exit code: 0 if all rules were kept, 1 if not, 2 for wrong
// arguments. It stops early, with an error on stderr, once ctx ends.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	flags := o.flagSet(stderr)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitKept
		}
		return exitUsage
	}
	if o.list {
		writeList(stdout)
		return exitKept
	}
	d := findDrill(flags.Args())
	switch {
	case d == nil && flags.NArg() == 1:
		fmt.Fprintf(stderr, "drill: there is no drill %q\n%s\n", flags.Arg(0), usageLine)
		return exitUsage
	case d == nil:
		fmt.Fprintf(stderr, "drill: %d drills are named, not one\n%s\n", flags.NArg(), usageLine)
		return exitUsage
	case o.violation != "" && violations[o.violation] == nil:
		fmt.Fprintf(stderr, "drill: there is no violation %q; -h lists them\n%s\n", o.violation, usageLine)
		return exitUsage
	}
	if o.length == 0 {
		o.length = d.length
	}
	if o.violation != "" {
		o.length = max(o.length, minViolationTime)
	}
	return d.runAndReport(ctx, o, stdout, stderr)
}

// writeList prints the names of all drills and what each is about.
func writeList(to io.Writer) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, d := range drills {
		fmt.Fprintf(w, "%s\t%s\n", d.name, d.summary)
	}
	_ = w.Flush() // on a terminal
}

// findDrill returns the drill that the only argument names, or nil.
func findDrill(args []string) *drill {
	if len(args) != 1 {
		return nil
	}
	for i := range drills {
		if drills[i].name == args[0] {
			return &drills[i]
		}
	}
	return nil
}

// runAndReport runs the drill, judges the history and prints the report.
func (d *drill) runAndReport(ctx context.Context, o options, stdout, stderr io.Writer) int {
	env, err := newEnvironment(o, stderr)
	if err == nil {
		defer env.close()
		err = d.run(ctx, env)
	}
	if err != nil {
		fmt.Fprintf(stderr, "drill %s: %v\n", d.name, err)
		if env != nil && env.node != nil {
			fmt.Fprintf(stderr, "the program's last lines:\n%s\n", env.node.Tail())
		}
		return exitBroken
	}
	result := audit.Check(env.recorder.History(), audit.Options{Slack: o.slack})
	if env.node != nil && env.node.Crashed() {
		env.failf("the program ended by itself")
	}
	if err := writeReport(stdout, d.name, result, env); err != nil {
		fmt.Fprintf(stderr, "drill %s: writing the report: %v\n", d.name, err)
		return exitBroken
	}
	if o.verbose && env.node != nil {
		fmt.Fprintln(stderr, env.node.Tail())
	}
	if o.stay && !o.json && env.node != nil {
		env.stay(ctx, stdout)
	}
	if !result.Passed() || len(env.failures) > 0 {
		return exitBroken
	}
	return exitKept
}
