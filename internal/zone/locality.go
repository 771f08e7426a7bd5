package zone

import (
	"cmp"
	"math"
	"time"
)

// Parameters of the adaptive concurrency limit of a locality. In one step the limit rises by more than homeTuning.increase
// only when servers join or finish their slow start, and falls by more than unhealthyDecrease only when servers leave.
const (
	unhealthyDecrease = 0.7 // factor for a step in which most calls failed
	congestedDecrease = 0.9 // factor for a step with high latency or rejected calls

	unhealthyShare = 0.5 // share of failed calls above which a locality is unhealthy,
	recoveredShare = 0.2 // and at or below which it is healthy again
	rejectedShare  = 0.1 // share of rejected calls above which a locality is congested
	limitUsedShare = 0.8 // share of the limit that must have been used before it is raised

	minOutcomes    = 8  // outcomes after which a window is evaluated,
	maxWindowSteps = 10 // and steps after which one with fewer outcomes is evaluated

	defaultInitialLimit = 5.0    // calls in flight for each server at the start
	remoteInitialShare  = 0.2    // of the initial limit, for localities of other zones
	maxCallsPerUnit     = 1000.0 // bounds of the calls in flight for each unit of capacity
	minCallsPerUnit     = 2.0    // summed over all instances; multiplied by unhealthyMinimum for an unhealthy locality,
	unhealthyMinimum    = 0.02   // which suffices to detect its recovery

	betterMargin     = 0.2  // margin in mean log latency, or share of the load, by which a less preferred locality must be better
	latencySmoothing = 0.02 // weight of a new sample in the exponential moving average of log latencies
	maxClasses       = 64   // classes whose latency is tracked separately in one locality
)

// limitTuning sets the latencies at which the limit of a locality changes, as shares of the class's latency target.
type limitTuning struct {
	decreaseAbove float64 // mean latency above which the limit falls
	increaseBelow float64 // mean latency below which the limit may rise
	increase      float64 // factor by which it rises in one step
}

// Other zones get a lower share of the target and a slower rise: the load of their own
// clients needs time to show in the latency, and has precedence over traffic from this node.
var (
	homeTuning   = limitTuning{decreaseAbove: 0.4, increaseBelow: 0.3, increase: 1.05}
	remoteTuning = limitTuning{decreaseAbove: 0.3, increaseBelow: 0.2, increase: 1.025}
)

// localityState is a Selector's state of a locality, with the adaptive limit on this node's calls there.
type localityState struct {
	locality Locality
	home     bool
	servers  map[string]struct{} // IDs of the ready servers
	weight   float64             // the control plane's locality weight; 0 if it sent none
	capacity float64             // sum of the servers' sizes, reduced during their slow start

	callsPerUnit float64 // limit on this node's calls in flight for each unit of capacity
	inFlight     int     // this node's calls there

	window         observationWindow
	unhealthy      bool                // whether most calls fail
	degraded       bool                // whether calls failed or were rejected in the last window
	meanLogLatency map[string]*float64 // moving mean of the logarithm of latencies (ns), by class
}

// observationWindow counts attempts and their outcomes since the last adjustment of the limit.
type observationWindow struct {
	peak                        int // maximum number of calls in flight
	succeeded, failed, rejected int
	startedInStep               int     // attempts started in the current step
	logLatencyRatio             float64 // sum over successes of log(mean latency / latency target)
	steps                       int
}

// outcomes returns how many attempts ended in the window.
func (w *observationWindow) outcomes() int { return w.succeeded + w.failed + w.rejected }

// conclusive reports whether the window has enough outcomes, or is old enough to be evaluated with fewer.
func (w *observationWindow) conclusive() bool {
	outcomes := w.outcomes()
	return outcomes >= minOutcomes || outcomes > 0 && w.steps >= maxWindowSteps
}

// share returns a count as a share of the outcomes. The window must have at least one.
func (w *observationWindow) share(count int) float64 { return float64(count) / float64(w.outcomes()) }

// meanLogLatencyRatio returns the mean of log(mean latency / latency target), which is negative if calls are faster than
// the target.
func (w *observationWindow) meanLogLatencyRatio() float64 {
	if w.succeeded == 0 {
		return 0
	}
	return w.logLatencyRatio / float64(w.succeeded)
}

// compareLocalities orders localities by priority, then by zone.
func compareLocalities(a, b Locality) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Zone, b.Zone))
}

// limit returns how many of this node's calls may be in flight at the locality: at least one if it has servers.
func (l *localityState) limit() float64 {
	if len(l.servers) == 0 {
		return 0
	}
	return max(1, l.callsPerUnit*l.capacity)
}

// hasRoom reports whether the locality may receive another call. The number of calls that an unhealthy locality receives
// in a step is bounded as well, so that they only probe for its recovery: calls that fail immediately never stay in flight,
// so the limit alone would let it receive the first attempt of every request.
func (l *localityState) hasRoom() bool {
	if float64(l.inFlight) >= l.limit() {
		return false
	}
	return !l.unhealthy || float64(l.window.startedInStep) < max(1, l.limit()/2)
}

// betterThan reports whether calls of a class are faster here than at the other locality by betterMargin. It is also true if
// the other locality is unhealthy or one of the latencies is unknown. Without this condition the excess load of one zone
// would displace that of a second into a third, until most calls cross zones without being any faster.
func (l *localityState) betterThan(other *localityState, class string) bool {
	here, there := l.meanLogLatency[class], other.meanLogLatency[class]
	return other.unhealthy || here == nil || there == nil || *here < *there-betterMargin
}

// adjust adapts the limit to the outcomes since the last adjustment. minimum is the lower bound of callsPerUnit for a
// healthy locality.
func (l *localityState) adjust(minimum float64) {
	window := &l.window
	window.steps++
	if !window.conclusive() {
		window.startedInStep = 0
		return
	}
	failedShare := window.share(window.failed)
	l.unhealthy = failedShare > unhealthyShare || l.unhealthy && failedShare > recoveredShare
	l.degraded = window.failed+window.rejected > 0

	tuning := remoteTuning
	if l.home {
		tuning = homeTuning
	}
	latencyRatio := window.meanLogLatencyRatio()
	switch {
	case l.unhealthy:
		l.callsPerUnit *= unhealthyDecrease
		minimum *= unhealthyMinimum
	case latencyRatio > math.Log(tuning.decreaseAbove) || window.share(window.rejected) > rejectedShare:
		l.callsPerUnit *= congestedDecrease
	case latencyRatio < math.Log(tuning.increaseBelow) && float64(window.peak) >= limitUsedShare*l.limit():
		// Proportional, with a minimum increment so that the limit of a small locality rises as well.
		l.callsPerUnit = max(l.callsPerUnit*tuning.increase, l.callsPerUnit+(tuning.increase-1)/max(1, l.capacity))
	}
	l.callsPerUnit = min(maxCallsPerUnit, max(l.callsPerUnit, minimum))
	l.window = observationWindow{peak: l.inFlight}
}

// observeLatency adds a latency to the moving mean of its class and returns the mean. The limit follows the
// mean since the latency of single requests varies too much. Classes beyond maxClasses share the mean of the class "".
func (l *localityState) observeLatency(class string, latency time.Duration) float64 {
	if l.meanLogLatency[class] == nil && len(l.meanLogLatency) >= maxClasses {
		class = ""
	}
	observed := math.Log(max(float64(latency), float64(time.Microsecond)))
	mean := l.meanLogLatency[class]
	if mean == nil {
		mean = &observed
		l.meanLogLatency[class] = mean
	}
	*mean += latencySmoothing * (observed - *mean)
	return *mean
}
