package scale

import (
	"cmp"
	"slices"
)

// Metric is one figure of a measurement whose growth with the number of sidecars is fitted.
type Metric struct {
	Name string
	Unit Unit
	// of gives the figure; false: the measurement does not hold it.
	of func(m Measurement) (float64, bool)
}

// Unit says how a figure is written.
type Unit string

// Units of figures.
const (
	BytesPerSecond Unit = "B/s"
	Bytes          Unit = "B"
	Cores          Unit = "cores"
	CoreSeconds    Unit = "core-s" // processor time of one event
	Milliseconds   Unit = "ms"
	Seconds        Unit = "s"
	Count          Unit = ""
)

// Names of metrics that the target's arithmetic uses.
const (
	sidecarHeardIdle      = "sidecar: bytes heard, idle"
	sidecarSaidIdle       = "sidecar: bytes said, idle"
	sidecarProcessorIdle  = "sidecar: processor, idle"
	sidecarHeap           = "sidecar: heap"
	sidecarPerHeartbeat   = "sidecar: processor of a heartbeat"
	sidecarPerChange      = "sidecar: processor of a change"
	sidecarChangeBytes    = "sidecar: bytes heard of a change"
	sidecarPerRestart     = "sidecar: processor of a server's restart"
	sidecarRestartBytes   = "sidecar: bytes heard of a server's restart"
	sidecarPerClaim       = "sidecar: processor of a claim of its own"
	sidecarClaimBytes     = "sidecar: bytes said and heard of a claim of its own"
	leaderProcessorIdle   = "leader: processor, idle"
	leaderPerClaim        = "leader: processor of a claim"
	leaderClaimBytes      = "leader: bytes said of a claim"
	leaderPerChange       = "leader: processor of a change"
	leaderChangeBytes     = "leader: bytes said of a change"
	leaderResident        = "leader: memory, idle"
	followerProcessorIdle = "follower: processor, idle"
	followerSaidIdle      = "follower: bytes said, idle"
	followerResident      = "follower: memory, idle"
	delayAcknowledged     = "change acknowledged, 99 in 100"
	delayInForce          = "change in force at the last sidecar after its acknowledgement, longest"
	delayGranted          = "claim granted, 99 in 100"
	crashToOut            = "server's crash until it is out everywhere"
	startAll              = "start of all sidecars at once"
	startOne              = "start of one sidecar more"
)

// Metrics are all figures, in the order of the report.
func Metrics() []Metric {
	l := []Metric{
		{sidecarHeardIdle, BytesPerSecond, ofPhase(PhaseIdle, heardIdle)},
		{sidecarSaidIdle, BytesPerSecond, ofPhase(PhaseIdle, func(p Phase) float64 { return sum(p.Roles[RoleSidecar].Said) })},
		{sidecarProcessorIdle, Cores, processor(PhaseIdle, RoleSidecar)},
		{sidecarHeap, Bytes, func(m Measurement) (float64, bool) { return float64(m.Heap), m.Heap > 0 }},
		{sidecarPerHeartbeat, CoreSeconds, perHeartbeat},
		{sidecarPerChange, CoreSeconds, perEvent(PhaseChanges, RoleSidecar, false)},
		{sidecarChangeBytes, Bytes, ofPhase(PhaseChanges, func(p Phase) float64 { return p.Roles[RoleSidecar].Heard["items"] * p.Seconds / p.Events })},
		{sidecarPerRestart, CoreSeconds, perEvent(PhaseRestarts, RoleSidecar, false)},
		{sidecarRestartBytes, Bytes, restartBytes},
		{sidecarPerClaim, CoreSeconds, perEvent(PhaseClaims, RoleSidecar, true)},
		{sidecarClaimBytes, Bytes, claimBytes},
		{leaderProcessorIdle, Cores, processor(PhaseIdle, RoleLeader)},
		{leaderPerClaim, CoreSeconds, perEvent(PhaseClaims, RoleLeader, false)},
		{leaderClaimBytes, Bytes, saidOf(PhaseClaims, RoleLeader, "core", "told")},
		{leaderPerChange, CoreSeconds, perEvent(PhaseChanges, RoleLeader, false)},
		{leaderChangeBytes, Bytes, saidOf(PhaseChanges, RoleLeader, "core", "items")},
		{leaderResident, Bytes, resident(RoleLeader)},
		{followerProcessorIdle, Cores, processor(PhaseIdle, RoleFollower)},
		{followerSaidIdle, BytesPerSecond, ofPhase(PhaseIdle, func(p Phase) float64 { return sum(p.Roles[RoleFollower].Said) })},
		{followerResident, Bytes, resident(RoleFollower)},
		{delayAcknowledged, Milliseconds, delay(PhaseChanges, DelayAcknowledged, func(q Quantiles) float64 { return q.P99 })},
		{delayInForce, Milliseconds, delay(PhaseChanges, DelayInForce, func(q Quantiles) float64 { return q.Most })},
		{delayGranted, Milliseconds, delay(PhaseClaims, DelayGranted, func(q Quantiles) float64 { return q.P99 })},
		{crashToOut, Seconds, func(m Measurement) (float64, bool) { return m.CrashS, m.CrashS > 0 }},
		{startAll, Seconds, func(m Measurement) (float64, bool) { return m.StartAllS, m.StartAllS > 0 && m.Failed == "" }},
		{startOne, Seconds, func(m Measurement) (float64, bool) { return m.StartOneS, m.StartOneS > 0 }},
	}
	return l
}

// heardIdle is what a sidecar hears; of records what it is told, which does not depend on how fast it reads.
func heardIdle(p Phase) float64 {
	heard := p.Roles[RoleSidecar].Heard
	if p.Told == 0 {
		return sum(heard)
	}
	return sum(heard) - heard["records"] + p.Told
}

// ofPhase takes a figure from a phase that counts.
func ofPhase(name string, of func(Phase) float64) func(Measurement) (float64, bool) {
	return func(m Measurement) (float64, bool) {
		p := m.phase(name)
		if p == nil || !p.counts() || p.Events == 0 && name != PhaseIdle {
			return 0, false
		}
		return of(*p), true
	}
}

func processor(phase, role string) func(Measurement) (float64, bool) {
	return ofPhase(phase, func(p Phase) float64 { return p.Roles[role].Processor })
}

func resident(role string) func(Measurement) (float64, bool) {
	return ofPhase(PhaseIdle, func(p Phase) float64 { return float64(p.Roles[role].Resident) })
}

func delay(phase, name string, of func(Quantiles) float64) func(Measurement) (float64, bool) {
	return func(m Measurement) (float64, bool) {
		p := m.phase(phase)
		if p == nil || !p.counts() || p.Delays[name].Count == 0 {
			return 0, false
		}
		return of(p.Delays[name]), true
	}
}

// both gives two phases that count, if they do.
func both(m Measurement, a, b string) (x, y *Phase, ok bool) {
	x, y = m.phase(a), m.phase(b)
	ok = x != nil && y != nil && x.counts() && y.counts() && y.Events > 0
	return x, y, ok
}

// perEvent is the processor time of a role that an event costs beyond idle. own: at the one sidecar that brings it about.
func perEvent(phase, role string, own bool) func(Measurement) (float64, bool) {
	return func(m Measurement) (float64, bool) {
		idle, p, ok := both(m, PhaseIdle, phase)
		if !ok {
			return 0, false
		}
		events := p.Events
		if own {
			events /= float64(m.Full)
		}
		return (p.Roles[role].Processor - idle.Roles[role].Processor) * p.Seconds / events, true
	}
}

// saidOf is what a role says of some purposes for an event, beyond idle.
func saidOf(phase, role string, purposes ...string) func(Measurement) (float64, bool) {
	return func(m Measurement) (float64, bool) {
		idle, p, ok := both(m, PhaseIdle, phase)
		if !ok {
			return 0, false
		}
		var more float64
		for _, purpose := range purposes {
			more += p.Roles[role].Said[purpose] - idle.Roles[role].Said[purpose]
		}
		return more * p.Seconds / p.Events, true
	}
}

// perHeartbeat is the processor time of a server's heartbeat at its sidecar.
func perHeartbeat(m Measurement) (float64, bool) {
	idle, p, ok := both(m, PhaseIdle, PhaseHeartbeats)
	if !ok {
		return 0, false
	}
	more := (p.Events/p.Seconds - idle.Events/idle.Seconds) / float64(m.Full)
	return (p.Roles[RoleSidecar].Processor - idle.Roles[RoleSidecar].Processor) / more, more > 0
}

func restartBytes(m Measurement) (float64, bool) {
	idle, p, ok := both(m, PhaseIdle, PhaseRestarts)
	if !ok {
		return 0, false
	}
	return (p.Roles[RoleSidecar].Heard["records"] - idle.Roles[RoleSidecar].Heard["records"]) * p.Seconds / p.Events, true
}

func claimBytes(m Measurement) (float64, bool) {
	_, p, ok := both(m, PhaseIdle, PhaseClaims)
	if !ok {
		return 0, false
	}
	s := p.Roles[RoleSidecar]
	return (s.Said["ask"] + s.Heard["told"]) * p.Seconds / (p.Events / float64(m.Full)), true
}

// Growth is a metric with its points by size, and its fit.
type Growth struct {
	Metric Metric
	Points []Point
	Fit    PowerFit
	Fitted bool
}

// fittedSizes is how many different sizes, the largest, a fit is of: at small sizes what does not grow is most of a figure, and
// hides the law of what does.
const fittedSizes = 3

// Grow collects a metric from the measurements of all results whose configuration is not varied.
func Grow(metric Metric, all []Results) (g Growth) {
	g.Metric = metric
	for _, r := range all {
		for _, m := range r.Measurements {
			if y, ok := metric.of(m); ok && !m.Varied {
				g.Points = append(g.Points, Point{float64(m.Size), y})
			}
		}
	}
	slices.SortStableFunc(g.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	g.Fit, g.Fitted = FitPower(largestSizes(g.Points))
	return g
}

// largestSizes are the points, in order, at the largest fittedSizes sizes.
func largestSizes(l []Point) []Point {
	sizes := 0
	for i := len(l) - 1; i >= 0; i-- {
		if i == len(l)-1 || l[i].X != l[i+1].X {
			if sizes++; sizes > fittedSizes {
				return l[i+1:]
			}
		}
	}
	return l
}

// metricNamed is one of Metrics.
func metricNamed(name string) Metric {
	for _, m := range Metrics() {
		if m.Name == name {
			return m
		}
	}
	panic("scale: no metric " + name)
}
