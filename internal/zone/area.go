package zone

import (
	"math"
	"time"
)

// area is what is known of a place.
type area struct {
	place  Place
	home   bool
	hosts  map[string]struct{}
	weight float64 // the control plane's; 0: none
	units  float64 // of servers, cold ones by their share
	each   float64 // own calls that one unit takes
	out    int     // own calls there

	// Since each was last reckoned:
	peak, good, bad, turned, began int
	offs                           float64 // sum of logs of latency over the aim
	steps                          int
	sick, shaky                    bool                // most calls end badly; some do, or are turned away
	paces                          map[string]*float64 // mean log of latency, by class
}

func compare(x, y Place) int {
	switch {
	case x.Priority != y.Priority:
		return x.Priority - y.Priority
	case x.Zone < y.Zone:
		return -1
	case x.Zone > y.Zone:
		return 1
	}
	return 0
}

// limit is how many own calls a place gets at a time; one at the least while it has servers at all.
func (a *area) limit() float64 {
	if len(a.hosts) == 0 {
		return 0
	}
	return max(1, a.each*a.units)
}

// room says that a place may have one more call. A sick one gets a few a step, to see whether it is well again:
// calls that fail at once leave it idle, and it would have every request's first attempt.
func (a *area) room() bool {
	return float64(a.out) < a.limit() && (!a.sick || float64(a.began) < max(1, a.limit()/2))
}

// better says that a call in a place is answered sooner than in another one, by a margin, or that this can't be told.
// Without it zones crowd each other out: what one sends to the next displaces that one's own load to a third, and in
// the end all of it is away from home, at places no better than that.
func (a *area) better(than *area, class string) bool {
	p, q := a.paces[class], than.paces[class]
	return than.sick || p == nil || q == nil || *p < *q-margin
}

// reckon adapts what a place gets to what became of its calls.
func (a *area) reckon(least float64) {
	a.steps++
	ended := a.good + a.bad + a.turned
	if ended == 0 || ended < enough && a.steps < patience {
		a.began = 0
		return
	}
	share := func(n int) float64 { return float64(n) / float64(ended) }
	crowd, ease, rise := crowdAway, easeAway, riseAway
	if a.home {
		crowd, ease, rise = crowdHome, easeHome, riseHome
	}
	off := 0.0
	if a.good > 0 {
		off = a.offs / float64(a.good)
	}
	a.shaky = a.bad+a.turned > 0
	if a.sick = share(a.bad) > sickShare || a.sick && share(a.bad) > wellShare; a.sick {
		a.each, least = a.each*fallSick, leastSick*least
	} else if off > math.Log(crowd) || share(a.turned) > turnShare {
		a.each *= fallFull
	} else if off < math.Log(ease) && float64(a.peak) >= used*a.limit() {
		a.each = max(a.each*rise, a.each+(rise-1)/max(1, a.units))
	}
	a.each = min(mostEach, max(a.each, least))
	a.peak, a.good, a.bad, a.turned, a.began, a.offs, a.steps = a.out, 0, 0, 0, 0, 0, 0
}

// pace takes a latency into the mean of its class, and gives that. Single answers say little: work varies.
func (a *area) pace(class string, took time.Duration) float64 {
	if a.paces[class] == nil && len(a.paces) >= maxClasses {
		class = ""
	}
	x := math.Log(max(float64(took), float64(time.Microsecond)))
	p := a.paces[class]
	if p == nil {
		p = &x
		a.paces[class] = p
	}
	*p += paceMemo * (x - *p)
	return *p
}
