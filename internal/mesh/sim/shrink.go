package sim

import (
	"slices"
	"time"
)

// shrinkRuns bounds the runs that Shrink makes.
const shrinkRuns = 300

// minShrunkDuration is how short Shrink makes a fault, about.
const minShrunkDuration = 10 * time.Millisecond

// Shrink makes the plan of a failing run smaller as long as the run still fails: it removes faults, then shortens them. The seed
// stays.
func Shrink(o Options, fails func(Result) bool) Options {
	runs := 0
	try := func(p Plan) bool {
		if runs++; runs > shrinkRuns {
			return false
		}
		next := o
		next.Plan = p
		if !fails(Run(next)) {
			return false
		}
		o = next
		return true
	}
	for smaller := true; smaller; {
		smaller = false
		for i := len(o.Plan) - 1; i >= 0; i-- {
			if try(slices.Delete(slices.Clone(o.Plan), i, i+1)) {
				smaller = true
			}
		}
	}
	for i := range o.Plan {
		for o.Plan[i].Duration > minShrunkDuration {
			p := slices.Clone(o.Plan)
			p[i].Duration = (p[i].Duration / 2).Round(time.Millisecond)
			if !try(p) {
				break
			}
		}
	}
	return o
}
