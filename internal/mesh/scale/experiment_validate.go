package scale

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Limits of an experiment. Times and rates are in seconds and per second.
const (
	maxSidecars        = 13_000
	maxMembers         = 9
	maxServices        = 2100
	maxRoutes          = 16_000
	maxRealSidecars    = 60 // each is a process
	minPhaseS          = 0.5
	maxPhaseS          = 600
	minHeartbeatS      = 0.1
	maxHeartbeatS      = 60
	maxChangesPerS     = 1000
	maxClaimsPerS      = 100_000
	maxRestartsPerS    = 1000
	maxHeartbeatFactor = 100
	minMemoryGiB       = 0.1
	maxMemoryGiB       = 64
)

// problem is a value of the right type that is not allowed.
type problem struct {
	field string
	text  string // continues a sentence that begins with the field
}

// problemList collects the problems of an experiment.
type problemList []problem

// add adds a problem of a field.
func (l *problemList) add(field, format string, args ...any) {
	*l = append(*l, problem{field, fmt.Sprintf(format, args...)})
}

// checkRange adds a problem unless a value is within two bounds.
func (l *problemList) checkRange(field string, value, least, most float64) {
	if math.IsNaN(value) || value < least || value > most {
		l.add(field, "is %v; wanted: %v to %v", value, least, most)
	}
}

// checkRanges is checkRange of each of some numbers.
func (l *problemList) checkRanges(field string, values []int, least, most float64) {
	for _, value := range values {
		l.checkRange(field, float64(value), least, most)
	}
}

// problems returns all values that are not allowed.
func (x Experiment) problems() []problem {
	var l problemList
	if x.Name == "" || strings.ContainsAny(x.Name, `/\ `) {
		l.add("name", "is %q; wanted: a word, which the results' file is named by", x.Name)
	}
	x.checkSizes(&l)
	x.checkPhases(&l)
	x.checkConfiguration(&l)
	l.checkRange("compare", float64(x.Compare), 0, maxRealSidecars)
	l.checkRange("phase_s", x.PhaseS, minPhaseS, maxPhaseS)
	l.checkRange("settle_s", x.SettleS, 0, maxPhaseS)
	l.checkRange("heartbeat_s", x.HeartbeatS, minHeartbeatS, maxHeartbeatS)
	l.checkRange("changes_per_s", x.ChangesPerS, 0, maxChangesPerS)
	l.checkRange("claims_per_s", x.ClaimsPerS, 0, maxClaimsPerS)
	l.checkRange("restarts_per_s", x.RestartsPerS, 0, maxRestartsPerS)
	l.checkRange("heartbeat_factor", x.HeartbeatFactor, 1, maxHeartbeatFactor)
	l.checkRange("memory_gib", x.MemoryGiB, minMemoryGiB, maxMemoryGiB)
	return l
}

func (x Experiment) checkSizes(l *problemList) {
	if len(x.Sizes) == 0 {
		l.add("sizes", "is missing or empty")
	}
	l.checkRanges("sizes", x.Sizes, 1, maxSidecars)
	if len(x.Seeds) == 0 {
		l.add("seeds", "is empty")
	}
	l.checkRanges("full", x.Full, 0, maxSidecars)
	if len(x.Full) != 1 && len(x.Full) != len(x.Sizes) {
		l.add("full", "holds %d numbers; wanted: one, or one for each of the %d sizes", len(x.Full), len(x.Sizes))
	}
	l.checkRange("repeat_to", float64(x.RepeatTo), 0, maxSidecars)
}

func (x Experiment) checkPhases(l *problemList) {
	known := DefaultExperiment().Phases
	if len(x.Phases) == 0 || x.Phases[0] != PhaseIdle {
		l.add("phases", "does not begin with %q, which the others are compared with", PhaseIdle)
	}
	for _, phase := range x.Phases {
		if !slices.Contains(known, phase) {
			l.add("phases", "holds %q; wanted: %s", phase, strings.Join(known, ", "))
		}
	}
}

func (x Experiment) checkConfiguration(l *problemList) {
	l.checkRange("registers", float64(x.Members), 1, maxMembers)
	l.checkRange("services", float64(x.Services), 1, maxServices)
	l.checkRange("routes", float64(x.Routes), 1, maxRoutes)
	l.checkRange("vary_size", float64(x.VarySize), 0, maxSidecars)
	l.checkRanges("vary_services", x.VaryServices, 1, maxServices)
	l.checkRanges("vary_routes", x.VaryRoutes, 1, maxRoutes)
	if x.VarySize == 0 && len(x.VaryServices)+len(x.VaryRoutes) > 0 {
		l.add("vary_size", "is 0 or missing; vary_services and vary_routes need it")
	}
}
