package emulator

import (
	"math"
	"time"
)

// Counts is what has been counted in a World.
type Counts struct {
	Seconds     []SecondCounts          // by the second of the simulation
	Classes     map[string]*ClassCounts // by Class.Key
	MaxLateness time.Duration           // of an answer after its deadline; 0 if none was late
	// Violations are what must never happen: a request that is never answered, a non-idempotent request that runs twice, a
	// drain that is not kept, a server that is overloaded during its slow start.
	Violations []string

	duration time.Duration
}

// newCounts returns counts of nothing.
func newCounts(config Config) Counts {
	counts := Counts{
		Classes:  map[string]*ClassCounts{},
		Seconds:  make([]SecondCounts, int(config.Duration/time.Second)+1),
		duration: config.Duration,
	}
	for _, class := range config.Classes {
		counts.Classes[class.Key()] = &ClassCounts{}
	}
	return counts
}

// SecondCounts is the outcome of the clients' requests that arrived within one second.
type SecondCounts struct {
	Offered  int
	Good     int // served within the latency target
	Late     int // served after it
	Rejected int
	Failed   int

	WorkDone, WorkWasted float64 // seconds of work that ended in it, and those that nobody waited for
}

// ClassCounts is the outcome of the requests of a class and tenant; Good as in SecondCounts.
type ClassCounts struct{ Offered, Good int }

// Goodput is the share of the requests that arrived in [from, to) and were served within their latency target.
func (c *Counts) Goodput(from, to time.Duration) float64 {
	offered, good := 0, 0
	for i := int(from / time.Second); i < int(to/time.Second) && i < len(c.Seconds); i++ {
		offered += c.Seconds[i].Offered
		good += c.Seconds[i].Good
	}
	return float64(good) / math.Max(1, float64(offered))
}

// WastedShare is the share of all work that nobody waited for when it ended.
func (c *Counts) WastedShare() float64 {
	var done, wasted float64
	for _, second := range c.Seconds {
		done += second.WorkDone
		wasted += second.WorkWasted
	}
	return wasted / math.Max(1e-9, done)
}

// RecoveryTime is how long after a time goodput has recovered for good: in each span of that length from there on it is at
// least minGoodput. ok is false if that never happens.
func (c *Counts) RecoveryTime(after time.Duration, minGoodput float64, span time.Duration) (recovery time.Duration, ok bool) {
	recovered := after
	end := c.duration.Truncate(time.Second)
	for at := after.Truncate(time.Second); at+span <= end; at += time.Second {
		if c.Goodput(at, at+span) < minGoodput {
			recovered = at + time.Second
		}
	}
	if recovered+span > end {
		return 0, false
	}
	return recovered - after, true
}
