package scale

import (
	"fmt"
	"strings"
)

// Comparison is one of real sidecars with as many hollow ones, by the same phases.
type Comparison struct {
	Count   int         `json:"count"`
	Members int         `json:"members"` // of the control plane
	Real    Measurement `json:"real"`
	// Separate is hollow sidecars in a process each, as real ones are; Hollow is all in one process, as in other measurements. The two
	// differ by what a process costs by itself.
	Separate Measurement `json:"alone"`
	Hollow   Measurement `json:"hollow"`
}

// comparedFigure is one figure of real and hollow sidecars.
type comparedFigure struct {
	name                   string
	unit                   Unit
	real, separate, hollow float64
}

// figures returns the figures by which real and hollow sidecars can be compared. A real sidecar does not report what it receives, so bytes
// by read calls are compared in place of it.
func (c Comparison) figures() (figures []comparedFigure) {
	add := func(name string, unit Unit, of figure) {
		onReal, hasReal := of(c.Real)
		onSeparate, hasSeparate := of(c.Separate)
		onHollow, hasHollow := of(c.Hollow)
		if hasReal && hasSeparate && hasHollow {
			figures = append(figures, comparedFigure{name, unit, onReal, onSeparate, onHollow})
		}
	}
	add("processor, idle", Cores, processorIdle(RoleSidecar))
	add("bytes sent, idle, without replies to the measurement", BytesPerSecond, inPhase(PhaseIdle, func(p Phase) float64 {
		return sentWithoutReplies(p.Roles[RoleSidecar])
	}))
	add("bytes read, idle", BytesPerSecond, inPhase(PhaseIdle, func(p Phase) float64 { return p.Roles[RoleSidecar].Read }))
	add("processor of a change", CoreSeconds, processorPerEvent(PhaseChanges, RoleSidecar, costAtEach))
	add("bytes read of a change", Bytes, readPerEvent(PhaseChanges))
	add("processor of a restart", CoreSeconds, processorPerEvent(PhaseRestarts, RoleSidecar, costAtEach))
	add("bytes read of a restart", Bytes, readPerEvent(PhaseRestarts))
	add("bytes sent for a key lease of its own", Bytes, func(m Measurement) (float64, bool) {
		value, ok := sentPerEvent(PhaseLeases, RoleSidecar, trafficCall)(m)
		return value * float64(c.Count), ok
	})
	c.addMemberFigures(add)
	return figures
}

// addMemberFigures adds the figures of the control plane's members together: which member serves how many sidecars differs from run to
// run.
func (c Comparison) addMemberFigures(add func(name string, unit Unit, of figure)) {
	processorTime := func(l Load) float64 { return l.Processor }
	add("control plane: processor, idle", Cores, inPhase(PhaseIdle, c.ofMembers(processorTime)))
	add("control plane: bytes sent, idle, without replies", BytesPerSecond, inPhase(PhaseIdle, c.ofMembers(sentWithoutReplies)))
	for _, event := range []struct{ name, phase string }{{"a key lease", PhaseLeases}, {"a change", PhaseChanges}} {
		add("control plane: processor of "+event.name, CoreSeconds, perEvent(event.phase, c.ofMembers(processorTime)))
		add("control plane: bytes sent for "+event.name, Bytes, perEvent(event.phase, c.ofMembers(func(l Load) float64 {
			return l.Sent[trafficRaft] + l.Sent[trafficItems] + l.Sent[trafficReply] + l.Sent[trafficCall]
		})))
	}
}

// sentWithoutReplies leaves out replies, which in an idle mesh are those to the measurement.
func sentWithoutReplies(l Load) float64 { return sum(l.Sent) - l.Sent[trafficReply] }

// ofMembers sums a figure over all members of the control plane.
func (c Comparison) ofMembers(of func(Load) float64) func(Phase) float64 {
	return func(p Phase) float64 {
		return of(p.Roles[RoleLeader]) + float64(c.Members-1)*of(p.Roles[RoleFollower])
	}
}

// comparisonTable returns the comparison as a Markdown table.
func comparisonTable(c Comparison) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %d sidecars | real | hollow, a process each | hollow, one process "+
		"| a process each / real | one process / real |\n", c.Count)
	b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: |\n")
	for _, f := range c.figures() {
		ratio := func(value float64) string {
			if f.real == 0 {
				return none
			}
			return fmt.Sprintf("%.2f", value/f.real)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", f.name, format(f.real, f.unit), format(f.separate, f.unit),
			format(f.hollow, f.unit), ratio(f.separate), ratio(f.hollow))
	}
	return b.String()
}
