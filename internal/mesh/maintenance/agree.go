package maintenance

import (
	"sort"
	"time"

	"github.com/juju/errors"
)

// ErrNoAgreedTime is that the clocks of the core agree on no time, and none was agreed on before.
const ErrNoAgreedTime = errors.ConstError("the registers' clocks agree on no time of day")

// MaxClockError is by how much a clock that is right may be off. What is agreed on is right within it, and half a round trip,
// as long as fewer than half of the registers' clocks are wrong.
const MaxClockError = 250 * time.Millisecond

// MaxDrift is by how much a steady clock may run fast or slow.
const MaxDrift = 1e-4

// ClockSample is a register's time of day, read at a steady time (the asker's) that is known within half of Trip.
type ClockSample struct {
	Member    uint64
	Wall      time.Time
	ReadAt    time.Duration
	RoundTrip time.Duration
}

// Clock is what time of day it was at a log time: between the two, and surely so while fewer than half of the clocks are
// wrong. It is agreed on; the zero Clock is of nothing.
type Clock struct {
	LogTime  time.Duration `json:"Stamp"`
	Earliest time.Time     `json:"Earliest"`
	Latest   time.Time     `json:"Latest"`
	// Doubt: a majority of clocks says something that can't be, going by what was agreed on before. The two bounds then
	// hold both, so that no window opens before it is open by either, and none is used that has ended by either. Steady is
	// what was agreed on before, carried on by the log's time: what clocks say later is held against that, and not against
	// what they said themselves.
	InDoubt bool       `json:"Doubt"`
	Steady  TimeBounds `json:"Steady"`
}

// IsKnown says that there is any.
func (c Clock) IsKnown() bool { return !c.Earliest.IsZero() }

// Now is what time it may be at a later log time.
func (c Clock) Now(stamp time.Duration) TimeBounds {
	return TimeBounds{c.Earliest, c.Latest}.advance(stamp - c.LogTime)
}

// advance is a span so much later, by a steady clock.
func (n TimeBounds) advance(d time.Duration) TimeBounds {
	d = max(0, d)
	drift := time.Duration(float64(d) * MaxDrift)
	return TimeBounds{n.Earliest.Add(d - drift), n.Latest.Add(d + drift)}
}

// LeaderlessUnknown is a time without a leader of which nobody can tell how long it was.
const LeaderlessUnknown time.Duration = -1

// Agree makes the next agreed time of what is held and what the registers say now, at a log time. members is how many
// registers there are. gap is for how long nobody led since what is held was agreed on, when log time stood still: by the
// steady clock of a register that lived through it, or GapUnknown. Then how late it is is the clocks' word alone.
func (c Clock) Agree(stamp time.Duration, samples []ClockSample, at time.Duration, members int, gap time.Duration) (Clock, error) {
	most, ok := intersectSamples(samples, at, members/2+1)
	if !c.IsKnown() {
		if !ok {
			return c, ErrNoAgreedTime
		}
		return Clock{LogTime: stamp, Earliest: most.Earliest, Latest: most.Latest}, nil
	}
	held := TimeBounds{c.Earliest, c.Latest}
	if c.InDoubt && !c.Steady.Earliest.IsZero() { // else it was agreed on by an earlier version
		held = c.Steady
	}
	went := held.advance(stamp - c.LogTime)
	went.Latest = went.Latest.Add(max(0, gap))
	switch {
	case !ok && gap < 0:
		return c, ErrNoAgreedTime
	case !ok && c.InDoubt:
		all := c.Now(stamp)
		return Clock{LogTime: stamp, Earliest: all.Earliest, Latest: all.Latest.Add(gap), InDoubt: true, Steady: went}, nil
	case !ok:
		return Clock{LogTime: stamp, Earliest: went.Earliest, Latest: went.Latest}, nil
	case gap < 0: // it is no earlier than that
		went.Latest = laterOf(went.Earliest, most.Latest)
	}
	from, to := laterOf(went.Earliest, most.Earliest), earlierOf(went.Latest, most.Latest)
	if !from.After(to) {
		return Clock{LogTime: stamp, Earliest: from, Latest: to}, nil
	}
	return Clock{LogTime: stamp, Earliest: earlierOf(went.Earliest, most.Earliest), Latest: laterOf(went.Latest, most.Latest), InDoubt: true, Steady: went}, nil
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// intersectSamples is the shortest span that so many samples have in common, each with its error, as of a steady time (Marzullo,
// "Maintaining the time in a distributed system"); false: no so many do.
func intersectSamples(samples []ClockSample, at time.Duration, most int) (TimeBounds, bool) {
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
		wall, err := s.Wall.Round(0).Add(at-s.ReadAt), MaxClockError+s.RoundTrip/2
		edges = append(edges, edge{wall.Add(-err), false}, edge{wall.Add(err), true})
	}
	sort.Slice(edges, func(i, j int) bool {
		return edges[i].t.Before(edges[j].t) || edges[i].t.Equal(edges[j].t) && !edges[i].end && edges[j].end
	})
	best, n := 0, 0
	var out TimeBounds
	for i, e := range edges {
		if e.end {
			n--
			continue
		}
		if n++; n > best {
			best = n
			out = TimeBounds{e.t, edges[i+1].t}
		}
	}
	return out, best >= most
}
