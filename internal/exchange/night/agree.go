package night

import (
	"sort"
	"time"

	"github.com/juju/errors"
)

// ErrNoTime is that the clocks of the core agree on no time, and none was agreed on before.
const ErrNoTime = errors.ConstError("the registers' clocks agree on no time of day")

// ClockError is by how much a clock that is right may be off. What is agreed on is right within it, and half a round trip,
// as long as fewer than half of the registers' clocks are wrong.
const ClockError = 250 * time.Millisecond

// Drift is by how much a steady clock may run fast or slow.
const Drift = 1e-4

// Sample is a register's time of day, read at a steady time (the asker's) that is known within half of Trip.
type Sample struct {
	Member uint64
	Wall   time.Time
	At     time.Duration
	Trip   time.Duration
}

// Clock is what time of day it was at a log time: between the two, and surely so while fewer than half of the clocks are
// wrong. It is agreed on; the zero Clock is of nothing.
type Clock struct {
	Stamp    time.Duration `json:"Stamp"`
	Earliest time.Time     `json:"Earliest"`
	Latest   time.Time     `json:"Latest"`
	// Doubt: a majority of clocks says something that can't be, going by what was agreed on before. The two bounds then
	// hold both, so that no window opens before it is open by either, and none is used that has ended by either. Steady is
	// what was agreed on before, carried on by the log's time: what clocks say later is held against that, and not against
	// what they said themselves.
	Doubt  bool `json:"Doubt"`
	Steady Now  `json:"Steady"`
}

// Known says that there is any.
func (c Clock) Known() bool { return !c.Earliest.IsZero() }

// Now is what time it may be at a later log time.
func (c Clock) Now(stamp time.Duration) Now { return Now{c.Earliest, c.Latest}.on(stamp - c.Stamp) }

// on is a span so much later, by a steady clock.
func (n Now) on(d time.Duration) Now {
	d = max(0, d)
	drift := time.Duration(float64(d) * Drift)
	return Now{n.Earliest.Add(d - drift), n.Latest.Add(d + drift)}
}

// GapUnknown is a time without a leader of which nobody can tell how long it was.
const GapUnknown time.Duration = -1

// Agree makes the next agreed time of what is held and what the registers say now, at a log time. members is how many
// registers there are. gap is for how long nobody led since what is held was agreed on, when log time stood still: by the
// steady clock of a register that lived through it, or GapUnknown. Then how late it is is the clocks' word alone.
func (c Clock) Agree(stamp time.Duration, samples []Sample, at time.Duration, members int, gap time.Duration) (Clock, error) {
	most, ok := overlap(samples, at, members/2+1)
	if !c.Known() {
		if !ok {
			return c, ErrNoTime
		}
		return Clock{Stamp: stamp, Earliest: most.Earliest, Latest: most.Latest}, nil
	}
	held := Now{c.Earliest, c.Latest}
	if c.Doubt && !c.Steady.Earliest.IsZero() { // else it was agreed on by an earlier version
		held = c.Steady
	}
	went := held.on(stamp - c.Stamp)
	went.Latest = went.Latest.Add(max(0, gap))
	switch {
	case !ok && gap < 0:
		return c, ErrNoTime
	case !ok && c.Doubt:
		all := c.Now(stamp)
		return Clock{Stamp: stamp, Earliest: all.Earliest, Latest: all.Latest.Add(gap), Doubt: true, Steady: went}, nil
	case !ok:
		return Clock{Stamp: stamp, Earliest: went.Earliest, Latest: went.Latest}, nil
	case gap < 0: // it is no earlier than that
		went.Latest = later(went.Earliest, most.Latest)
	}
	from, to := later(went.Earliest, most.Earliest), earlier(went.Latest, most.Latest)
	if !from.After(to) {
		return Clock{Stamp: stamp, Earliest: from, Latest: to}, nil
	}
	return Clock{Stamp: stamp, Earliest: earlier(went.Earliest, most.Earliest), Latest: later(went.Latest, most.Latest), Doubt: true, Steady: went}, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// overlap is the shortest span that so many samples have in common, each with its error, as of a steady time (Marzullo,
// "Maintaining the time in a distributed system"); false: no so many do.
func overlap(samples []Sample, at time.Duration, most int) (Now, bool) {
	type edge struct {
		t   time.Time
		end bool
	}
	var edges []edge
	seen := map[uint64]bool{}
	for _, s := range samples {
		if seen[s.Member] {
			continue // one clock has one word
		}
		seen[s.Member] = true
		wall, err := s.Wall.Round(0).Add(at-s.At), ClockError+s.Trip/2
		edges = append(edges, edge{wall.Add(-err), false}, edge{wall.Add(err), true})
	}
	sort.Slice(edges, func(i, j int) bool {
		return edges[i].t.Before(edges[j].t) || edges[i].t.Equal(edges[j].t) && !edges[i].end && edges[j].end
	})
	best, n := 0, 0
	var out Now
	for i, e := range edges {
		if e.end {
			n--
			continue
		}
		if n++; n > best {
			best = n
			out = Now{e.t, edges[i+1].t}
		}
	}
	return out, best >= most
}
