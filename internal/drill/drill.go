// Package drill runs the real program among fakes, plays faults, and judges the four rules from the fakes' own records.
// Every drill is a function in the table drills; its figures and findings are printed as text or as one JSON object.
//
// It decides nothing that the program decides and reads nothing of the program's state but what operators can read.
package drill

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/audit"
	"cranegrade/internal/envoyconf"
)

// drill is a drill.
type drill struct {
	name, about string
	length      time.Duration // by default
	run         func(context.Context, *environment) error
}

var drills = []drill{
	{"tour", "one pool, three servers, a little traffic; one server drains, one crashes", 6 * time.Second, tour},
	{"pools", "five pools: one flooded at 20 times its capacity, one hung, one refusing, one without its registry, one calm", 8 * time.Second, pools},
	{"reload", "pools changed, removed and added, and hosts moved between them, under load", 10 * time.Second, reload},
	{"xds", "an assignment of 10,000 endpoints from a control plane, drained under load", 10 * time.Second, xds},
	{"xds-chaos", "control planes that do everything wrong, and three services that go on", 14 * time.Second, xdsChaos},
	{"xds-size", "200 clusters with 10,000 endpoints, 50 changes a second: CPU a change, and memory", 20 * time.Second, xdsSize},
	{"extproc", "three proxies that ask, a rolling deploy, and a burst of 5,000 questions", 12 * time.Second, extproc(envoyconf.ByHeader)},
	{"extproc-metadata", "the same, the decision heeded by metadata", 12 * time.Second, extproc(envoyconf.ByMetadata)},
	{"extproc-fallbacks", "the same, the proxies go down the list", 12 * time.Second, extproc(envoyconf.Fallbacks)},
	{"extproc-every-try", "the same, every try is asked for", 12 * time.Second, extproc(envoyconf.EveryTry)},
	{"extproc-chaos", "careless proxies that ask for every try, servers that fail, and a processor that dies", 12 * time.Second, extprocChaos(envoyconf.EveryTry)},
	{"extproc-chaos-header", "the same, asked once for each request", 12 * time.Second, extprocChaos(envoyconf.ByHeader)},
	{"extproc-chaos-fallbacks", "the same, and the proxies go down the list", 12 * time.Second, extprocChaos(envoyconf.Fallbacks)},
	{"extproc-crowd", "2,000 questions at once to a processor that has just started, for 200 idle servers", 6 * time.Second, extprocCrowd},
	{"overload", "two tiers, the lower one for a while too slow for what comes; against a fixed limit and none", 16 * time.Second, overload("overload")},
	{"overload-restart", "a rolling restart of the upper tier", 16 * time.Second, overload("overload-restart")},
	{"overload-start", "ten times the capacity at the very start", 12 * time.Second, overload("overload-start")},
	{"overload-creep", "a slow creep to twice the capacity, and back", 20 * time.Second, overload("overload-creep")},
	{"overload-pools", "a hundred pools, the servers of ten of them ten times as slow for a while", 12 * time.Second, overloadPools},
	{"overload-tenants", "one tenant floods beside three that keep to their quotas; told quotas, equal parts, nothing", 15 * time.Second, overloadTenants},
	{"h2", "HTTP/2 on both sides: servers that drain, crash, hang, fail and refuse", 8 * time.Second, h2Drill},
	{"grpc", "the same in gRPC, reads answered in pieces", 8 * time.Second, grpcDrill(0)},
	{"grpc-chaos", "the same, and servers break one answer in ten: midway, without a status, in false lengths", 8 * time.Second, grpcDrill(0.1)},
	{"zones", "three zones: home turns slow, fails whole and comes back cold; a budget; the account against the servers' records", 12 * time.Second, zonesDrill},
	{"operators", "an operators' day: servers taken out and restarted, clients sent away, upgrades, a long answer over one of them", 12 * time.Second, operators},
	{"members", "five processes under load: deaths, stops, cut, one-way, slow and lossy links drawn from the seed; no moment with more than the whole", 20 * time.Second, faultSchedule},
	{"deaths", "two of five processes die: what the servers get after it, with and without a view of the fleet", 8 * time.Second, memberDeaths},
	{"stops", "one of five processes stands still for 1, 10 and 30 s of 41, while a rolling deploy goes on", 41 * time.Second, pausedMembers},
	{"signals", "six processes: servers that fail, hang and refuse while members die, stand still and lose links, and one member lies", 20 * time.Second, wrongAccusations},
	{"fleet-size", "views of 5, 50 and 300 members in simulated time: how soon deaths are right everywhere, how often the living are accused", 10 * time.Second, fleetSize},
	{"load", "requests a second, times and CPU of the node on one core; with -vs against another program, in pairs", 20 * time.Second, load},
}

func init() {
	drills = append(drills, drill{"fleet", "lists the drills of several processes", time.Second, fleetList}) // it reads the list
}

// options are the command line's.
type options struct {
	json      bool
	seed      uint64
	length    time.Duration
	violation string
	stay      bool
	slack     time.Duration
	program   string
	vs        string
	verbose   bool
	replay    string
}

// Exit codes of Run.
const (
	exitKept   = 0 // all rules were kept, and what the drill expects came about
	exitBroken = 1 // a rule was broken, an expectation failed, or the drill could not be run
	exitUsage  = 2
)

const usageLine = "usage: drill [-json] [-seed N] [-for DURATION] [-plant BREACH] [-stay] NAME; drill -list names them"

// Run runs the drill that the arguments name and returns the exit code: 0 if all rules were kept, 1 if not, 2 for wrong
// arguments. It stops early, with an error on stderr, once ctx ends.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	var list bool
	flags := o.flagSet(stderr, &list)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitKept
		}
		return exitUsage
	}
	if list {
		writeList(stdout)
		return exitKept
	}
	s := find(flags.Args())
	if s == nil || o.violation != "" && violations[o.violation] == nil {
		fmt.Fprintln(stderr, usageLine)
		return exitUsage
	}
	if o.length == 0 {
		o.length = s.length
	}
	if o.violation != "" {
		o.length = max(o.length, minViolationTime)
	}
	return s.runAndReport(ctx, o, stdout, stderr)
}

// flagSet returns the command line's flags, which fill in the options and list.
func (o *options) flagSet(stderr io.Writer, list *bool) *flag.FlagSet {
	flags := flag.NewFlagSet("drill", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.BoolVar(list, "list", false, "list the drills")
	flags.BoolVar(&o.json, "json", false, "print one JSON object")
	flags.Uint64Var(&o.seed, "seed", 1, "of all that is drawn")
	flags.DurationVar(&o.length, "for", 0, "how long traffic runs (the drill's own length)")
	flags.StringVar(&o.violation, "plant", "", "have the rig commit a breach, which must be found: "+strings.Join(violationNames(), ", "))
	flags.BoolVar(&o.stay, "stay", false, "keep everything up afterwards, to play with")
	flags.DurationVar(&o.slack, "slack", 0, "how late an answer or the end of sends may be on a slow machine (70ms)")
	flags.StringVar(&o.program, "program", "", "the program to start (built from this repository)")
	flags.StringVar(&o.vs, "vs", "", "of load: another program to measure in turn with it")
	flags.StringVar(&o.replay, "schedule", "", "of members: play the faults that this file holds, as -json told them")
	flags.BoolVar(&o.verbose, "v", false, "print the program's log at the end")
	return flags
}

// writeList prints the names of all drills and what each is about.
func writeList(to io.Writer) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, s := range drills {
		fmt.Fprintf(w, "%s\t%s\n", s.name, s.about)
	}
	w.Flush()
}

// find returns the drill that the only argument names, or nil.
func find(args []string) *drill {
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

// runAndReport runs the drill, judges the records and prints the report.
func (s *drill) runAndReport(ctx context.Context, o options, stdout, stderr io.Writer) int {
	r, err := newEnvironment(o, stderr)
	if err == nil {
		defer r.close()
		err = s.run(ctx, r)
	}
	if err != nil {
		fmt.Fprintf(stderr, "drill %s: %v\n", s.name, err)
		if r != nil && r.node != nil {
			fmt.Fprintf(stderr, "the program's last lines:\n%s\n", r.node.Tail())
		}
		return exitBroken
	}
	v := audit.Check(r.records.History(), audit.Options{Slack: o.slack})
	if r.node != nil && r.node.Crashed() {
		r.failf("the program ended by itself")
	}
	report(stdout, o, s.name, v, r)
	if o.verbose && r.node != nil {
		fmt.Fprintln(stderr, r.node.Tail())
	}
	if o.stay && !o.json && r.node != nil {
		r.stay(ctx, stdout)
	}
	if !v.Passed() || len(r.failures) > 0 {
		return exitBroken
	}
	return exitKept
}

// report prints the counts, the scenario's figures and what is wrong.
func report(w io.Writer, o options, name string, v audit.Result, r *environment) {
	if o.json {
		text, _ := json.Marshal(v)
		object := map[string]any{}
		json.Unmarshal(text, &object)
		object["drill"], object["seed"] = name, o.seed
		if r.schedule != "" {
			object["schedule"] = json.RawMessage(r.schedule)
		}
		for _, f := range r.figures {
			object[f.name] = f.value
		}
		if wrong := append(append([]string{}, v.Violations...), r.failures...); len(wrong) > 0 {
			object["wrong"] = wrong
		}
		json.NewEncoder(w).Encode(object)
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !r.unjudged {
		fmt.Fprintln(t, "requests\tserved\trefused\tfailed\tlost\ttwice\tdrain_late\tcold_over\t")
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", v.Requests, v.Served, v.Rejected, v.Failed, v.Lost, v.Duplicates, v.LateDrains, v.SlowStartOverloads)
	}
	t.Flush()
	if len(r.figures) > 0 {
		fmt.Fprintln(w)
		t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, f := range r.figures {
			fmt.Fprintf(t, "%s\t%v\t%s\n", f.name, f.value, f.about)
		}
		t.Flush()
	}
	for _, table := range r.tables {
		fmt.Fprintf(w, "\n%s", table)
	}
	fmt.Fprintln(w)
	for _, d := range v.Violations {
		fmt.Fprintln(w, "broken:", d)
	}
	for _, f := range r.failures {
		fmt.Fprintln(w, "wrong:", f)
	}
	if v.Passed() && len(r.failures) == 0 && !r.unjudged {
		fmt.Fprintln(w, "all four rules kept")
	}
}
