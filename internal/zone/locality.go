package zone

import (
	"cmp"
	"math"
	"time"
)

// How the limit on the calls of a locality adapts. It rises by more than homeTuning.increase a step only when servers join or
// finish their slow start, and falls by more than unhealthyDecrease only when servers leave.
const (
	unhealthyDecrease = 0.7 // factor for a step in which most calls failed
	crowdedDecrease   = 0.9 // factor for a step with high latency or rejected calls

	unhealthyShare = 0.5 // share of failed calls above which a locality is unhealthy,
	recoveredShare = 0.2 // and down to which it must fall to be healthy again
	rejectedShare  = 0.1 // share of rejected calls above which a locality is crowded
	usedShare      = 0.8 // share of the limit that must have been used before it is raised

	enoughOutcomes = 8  // outcomes after which a window is evaluated,
	maxWindowSteps = 10 // and steps after which it is evaluated with fewer

	defaultInitialLimit = 5.0    // calls in flight for each server at the start
	awayInitialShare    = 0.2    // of the initial limit, for localities of other zones
	maxCallsPerUnit     = 1000.0 // bounds of the calls in flight for each unit of capacity
	minCallsPerUnit     = 2.0    // by all instances together; an unhealthy locality gets unhealthyMinimum of it,
	unhealthyMinimum    = 0.02   // which suffices to find out that it has recovered

	betterMargin     = 0.2  // difference of mean log latencies by which another locality must be better than the first
	latencySmoothing = 0.02 // weight of one answer in the moving mean of log latencies
	maxClasses       = 64   // classes whose latency is told apart in one locality
)

// limitTuning says at which latency the limit of a locality changes, as shares of the class's latency target.
type limitTuning struct {
	crowded  float64 // mean latency above which the limit falls
	easy     float64 // mean latency below which it may rise
	increase float64 // factor of one rise
}

// Other zones get a lower share of the target and a slower rise: their own load must have time to show, and it goes on
// where ours has to give way.
var (
	homeTuning = limitTuning{crowded: 0.4, easy: 0.3, increase: 1.05}
	awayTuning = limitTuning{crowded: 0.3, easy: 0.2, increase: 1.025}
)

// localityState is what a Selector has learned of a locality, with the adaptive limit on this node's calls there.
type localityState struct {
	locality Locality
	home     bool
	servers  map[string]struct{} // IDs of the ready servers
	weight   float64             // the control plane's locality weight; 0 if it sent none
	capacity float64             // sum of the servers' sizes, reduced during their slow start

	callsPerUnit float64 // this node's calls in flight that one unit of capacity takes
	inFlight     int     // this node's calls there

	window         observationWindow
	unhealthy      bool                // most calls fail
	degraded       bool                // some calls failed or were rejected in the last window
	meanLogLatency map[string]*float64 // moving mean of the logarithm of latencies (ns), by class
}

// observationWindow counts what happened since the limit was last adjusted.
type observationWindow struct {
	peak                        int // most calls in flight
	succeeded, failed, rejected int
	started                     int     // attempts in the present step
	logLatencyRatio             float64 // sum over successes of log(mean latency / latency target)
	steps                       int
}

// outcomes returns how many attempts ended in the window.
func (w *observationWindow) outcomes() int { return w.succeeded + w.failed + w.rejected }

// conclusive reports whether there are enough outcomes, or whether there will hardly be more soon.
func (w *observationWindow) conclusive() bool {
	outcomes := w.outcomes()
	return outcomes >= enoughOutcomes || outcomes > 0 && w.steps >= maxWindowSteps
}

// share returns a count as a share of the outcomes, of which there must be some.
func (w *observationWindow) share(count int) float64 { return float64(count) / float64(w.outcomes()) }

// meanLogLatencyRatio is below zero where answers are faster than the latency target.
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

// limit is how many of this node's calls may be in flight at the locality: at least one while it has servers at all.
func (l *localityState) limit() float64 {
	if len(l.servers) == 0 {
		return 0
	}
	return max(1, l.callsPerUnit*l.capacity)
}

// hasRoom reports whether the locality may get one more call. An unhealthy locality gets only a few calls a step, as a
// health check: calls that fail at once leave it without calls in flight, so the limit alone would send it the first
// attempt of every request.
func (l *localityState) hasRoom() bool {
	if float64(l.inFlight) >= l.limit() {
		return false
	}
	return !l.unhealthy || float64(l.window.started) < max(1, l.limit()/2)
}

// betterThan reports whether calls of a class are answered faster here than at another locality, by a margin, or whether the
// latencies are not known yet. Without this condition zones crowd each other out: the excess of one zone displaces the load
// of the next one into a third, until most calls are away from home and no faster for it.
func (l *localityState) betterThan(other *localityState, class string) bool {
	here, there := l.meanLogLatency[class], other.meanLogLatency[class]
	return other.unhealthy || here == nil || there == nil || *here < *there-betterMargin
}

// adjust adapts the limit to the outcomes since the last adjustment. minimum is the least callsPerUnit of a healthy locality.
func (l *localityState) adjust(minimum float64) {
	window := &l.window
	window.steps++
	if !window.conclusive() {
		window.started = 0
		return
	}
	failedShare := window.share(window.failed)
	l.unhealthy = failedShare > unhealthyShare || l.unhealthy && failedShare > recoveredShare
	l.degraded = window.failed+window.rejected > 0

	tuning := awayTuning
	if l.home {
		tuning = homeTuning
	}
	latencyRatio := window.meanLogLatencyRatio()
	switch {
	case l.unhealthy:
		l.callsPerUnit *= unhealthyDecrease
		minimum *= unhealthyMinimum
	case latencyRatio > math.Log(tuning.crowded) || window.share(window.rejected) > rejectedShare:
		l.callsPerUnit *= crowdedDecrease
	case latencyRatio < math.Log(tuning.easy) && float64(window.peak) >= usedShare*l.limit():
		// Proportional, but by enough that a small locality's whole limit rises as well.
		l.callsPerUnit = max(l.callsPerUnit*tuning.increase, l.callsPerUnit+(tuning.increase-1)/max(1, l.capacity))
	}
	l.callsPerUnit = min(maxCallsPerUnit, max(l.callsPerUnit, minimum))
	l.window = observationWindow{peak: l.inFlight}
}

// observeLatency adds a latency to the moving mean of its class and returns the mean. The mean is used in place of the latency
// itself since the work of single requests varies too much. Classes beyond maxClasses share the mean of the class "".
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
