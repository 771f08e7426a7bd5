// Command cranesim plays overloads in simulated time, and tells what the module and two references make
// of each: goodput before, during and after the trigger, the time until goodput is back, and the work
// that was done for nobody.
//
//	go run ./cmd/cranesim [-seeds N] [-servers N] [-load SHARE] [-seconds] [SHAPE...]
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"cranegrade/internal/emulator"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cranesim", flag.ContinueOnError)
	flags.SetOutput(stderr)
	seeds := flags.Int("seeds", 5, "plays of each, by seeds from 1 on; the median is told")
	servers := flags.Int("servers", 8, "of a tier")
	load := flags.Float64("load", 0.8, "offered outside the trigger, as a share of the capacity")
	seconds := flags.Bool("seconds", false, "print each second of the first play")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	shapes := flags.Args()
	if len(shapes) == 0 {
		shapes = emulator.Names
	}
	t := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "shape\tpolicy\tbefore\tduring\tafter\tback after\tnever back\twasted\tworst class")
	for _, name := range shapes {
		if !slices.Contains(emulator.Names, name) {
			fmt.Fprintf(stderr, "cranesim: no shape %q; there are %v\n", name, emulator.Names)
			return 2
		}
		for _, policy := range []string{"module", "static", "none"} {
			var before, during, after, back, wasted, worst []float64
			never := 0
			for seed := range uint64(*seeds) {
				s := emulator.NewShape(name, seed+1, *servers, *load)
				s.Plan.Decider = emulator.Policies()[policy]
				w, err := emulator.Play(s.Plan)
				if err != nil {
					fmt.Fprintln(stderr, "cranesim:", err)
					return 1
				}
				for _, b := range w.Broken {
					fmt.Fprintf(stderr, "cranesim: %s, %s, seed %d: %s\n", name, policy, seed+1, b)
				}
				before = append(before, w.Goodput(0, s.Before))
				during = append(during, w.Goodput(s.Before, max(s.End, s.Before+time.Second)))
				after = append(after, w.Goodput(s.End, s.Plan.Length))
				if r := w.Recovered(s.End, 0.95, 2*time.Second); r >= 0 {
					back = append(back, r.Seconds())
				} else {
					never++
				}
				wasted = append(wasted, w.Wasted())
				least := 1.0
				for _, c := range w.Classes {
					least = min(least, float64(c.Good)/max(1, float64(c.Offered)))
				}
				worst = append(worst, least)
				if *seconds && seed == 0 {
					for i, x := range w.Seconds {
						fmt.Fprintf(t, "%s\t%s\t%d s\t%+v\n", name, policy, i, x)
					}
				}
			}
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f s\t%d\t%.3f\t%.3f\n", name, policy, median(before), median(during),
				median(after), median(back), never, median(wasted), median(worst))
		}
	}
	t.Flush()
	return 0
}

func median(l []float64) float64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}
