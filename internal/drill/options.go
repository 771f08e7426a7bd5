package drill

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"time"
)

const usageLine = "usage: drill [-json] [-seed N] [-for DURATION] [-plant VIOLATION] [-stay] NAME; drill -list names them, drill -h the flags"

const usageExamples = `
Examples:
  drill tour                            a first look; drill -list names all drills
  drill -stay tour                      keeps everything running afterwards
  drill -json -seed 7 -for 30s members  one JSON object, with the schedule of faults that seed 7 draws
  drill -schedule faults.json members   injects the faults of a file, which holds "schedule" of such an object
  drill -plant twice tour               violates a rule on purpose: the drill must find it, and exit with 1

Exit codes: 0 all rules were kept; 1 a rule was violated, or the drill's own expectations failed; 2 wrong arguments.
`

// options are the command line's.
type options struct {
	list      bool
	json      bool
	seed      uint64
	length    time.Duration // 0: the drill's own
	violation string        // name of a violation that the drill commits on purpose; "": none
	stay      bool
	slack     time.Duration
	program   string // path; "": built from the repository
	versus    string // path of the program to compare with; "": none
	verbose   bool
	replay    string // path of a schedule; "": drawn from the seed
}

// flagSet returns the command line's flags, which fill in the options.
func (o *options) flagSet(stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("drill", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.BoolVar(&o.list, "list", false, "list the drills")
	flags.BoolVar(&o.json, "json", false, "print one JSON object")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of everything that is drawn at random")
	flags.DurationVar(&o.length, "for", 0, "how long traffic runs (the drill's own length)")
	flags.StringVar(&o.violation, "plant", "",
		"commit a violation on purpose, which the drill must find: "+strings.Join(violationNames(), ", "))
	flags.BoolVar(&o.stay, "stay", false, "keep everything running afterwards, to experiment with")
	flags.DurationVar(&o.slack, "slack", 0, "how late an answer or the end of sends may be on a slow machine (70ms)")
	flags.StringVar(&o.program, "program", "", "the program to start (built from this repository)")
	flags.StringVar(&o.versus, "vs", "", "of load: another program to measure in turn with it")
	flags.StringVar(&o.replay, "schedule", "", "of members: inject the faults of this file, as -json prints them")
	flags.BoolVar(&o.verbose, "v", false, "print the program's log at the end")
	flags.Usage = func() {
		fmt.Fprintln(stderr, usageLine)
		fmt.Fprintln(stderr, "\nFlags:")
		flags.PrintDefaults()
		fmt.Fprint(stderr, usageExamples)
	}
	return flags
}
