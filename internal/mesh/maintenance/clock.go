package maintenance

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrNoAgreedTime says that no majority of the members' clocks agrees on a time, and no time was agreed on before.
const ErrNoAgreedTime = errors.ConstError("no majority of the members' clocks agrees on the time of day")

const (
	// MaxClockError is by how much a correct clock may be off. The agreed time is correct within that and half a round trip, as long as
	// fewer than half of the members' clocks are wrong.
	MaxClockError = 250 * time.Millisecond

	// MaxDrift is by how much a monotonic clock may run fast or slow, as a ratio.
	MaxDrift = 1e-4

	// LeaderlessUnknown stands for a time without a leader whose length is not known.
	LeaderlessUnknown time.Duration = -1
)

// TimeBounds is an interval that contains the time of day.
type TimeBounds struct {
	Earliest time.Time `json:"Earliest"`
	Latest   time.Time `json:"Latest"`
}

// advance returns the bounds after some time has passed by a monotonic clock.
func (b TimeBounds) advance(passed time.Duration) TimeBounds {
	passed = max(0, passed)
	drift := time.Duration(float64(passed) * MaxDrift)
	return TimeBounds{b.Earliest.Add(passed - drift), b.Latest.Add(passed + drift)}
}

// ClockSample is a member's time of day at ReadAt of the asking member's monotonic clock, within half of RoundTrip.
type ClockSample struct {
	Member    uint64
	Wall      time.Time
	ReadAt    time.Duration
	RoundTrip time.Duration
}

// Clock is the agreed time of day at a log time: between Earliest and Latest, provided that fewer than half of the clocks are wrong. It is
// replicated state. The zero value says that no time was agreed on.
type Clock struct {
	LogTime  time.Duration `json:"Stamp"`
	Earliest time.Time     `json:"Earliest"`
	Latest   time.Time     `json:"Latest"`
	// InDoubt says that a majority of clocks contradicts the time agreed on before. The bounds then include both, so that no window is
	// used that either of the two times considers closed.
	InDoubt bool `json:"Doubt"`
	// Steady is, while in doubt, the time agreed on before, advanced by log time. Later samples are compared with that, rather than with
	// what the same clocks have said before.
	Steady TimeBounds `json:"Steady"`
}

// IsKnown reports whether a time has been agreed on.
func (c Clock) IsKnown() bool { return !c.Earliest.IsZero() }

func (c Clock) bounds() TimeBounds { return TimeBounds{c.Earliest, c.Latest} }

// Now returns the time of day at a later log time.
func (c Clock) Now(logTime time.Duration) TimeBounds { return c.bounds().advance(logTime - c.LogTime) }

// Agree returns the next agreed time at a log time. It combines the time agreed on so far with samples of the
// members' clocks, as of a time at of the asking member's monotonic clock. members is the number of members.
// leaderless is how long there was no leader since the last agreed time, during which log time did not advance:
// measured by a member that ran all the time, or LeaderlessUnknown, in which case the upper bound follows from the
// samples alone. On ErrNoAgreedTime the clock is unchanged.
func (c Clock) Agree(logTime time.Duration, samples []ClockSample, at time.Duration, members int, leaderless time.Duration) (Clock, error) {
	measured, majority := intersectSamples(samples, at, members/2+1)
	if !c.IsKnown() {
		if !majority {
			return c, ErrNoAgreedTime
		}
		return Clock{LogTime: logTime, Earliest: measured.Earliest, Latest: measured.Latest}, nil
	}
	expected := c.expected(logTime, leaderless)
	if !majority {
		return c.carryOn(logTime, expected, leaderless)
	}
	if leaderless < 0 {
		expected.Latest = laterOf(expected.Earliest, measured.Latest)
	}
	earliest, latest := laterOf(expected.Earliest, measured.Earliest), earlierOf(expected.Latest, measured.Latest)
	if !earliest.After(latest) {
		return Clock{LogTime: logTime, Earliest: earliest, Latest: latest}, nil
	}
	return Clock{
		LogTime:  logTime,
		Earliest: earlierOf(expected.Earliest, measured.Earliest),
		Latest:   laterOf(expected.Latest, measured.Latest),
		InDoubt:  true,
		Steady:   expected,
	}, nil
}

// expected returns the time of day at a log time according to the agreed time alone.
func (c Clock) expected(logTime, leaderless time.Duration) TimeBounds {
	agreed := c.bounds()
	if c.InDoubt && !c.Steady.Earliest.IsZero() { // earlier versions did not store Steady
		agreed = c.Steady
	}
	expected := agreed.advance(logTime - c.LogTime)
	expected.Latest = expected.Latest.Add(max(0, leaderless))
	return expected
}

// carryOn returns the next agreed time if no majority of clocks agrees.
func (c Clock) carryOn(logTime time.Duration, expected TimeBounds, leaderless time.Duration) (Clock, error) {
	if leaderless < 0 {
		return c, ErrNoAgreedTime
	}
	if c.InDoubt {
		bounds := c.Now(logTime)
		return Clock{
			LogTime:  logTime,
			Earliest: bounds.Earliest,
			Latest:   bounds.Latest.Add(leaderless),
			InDoubt:  true,
			Steady:   expected,
		}, nil
	}
	return Clock{LogTime: logTime, Earliest: expected.Earliest, Latest: expected.Latest}, nil
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

// sampleEdge is where the interval of a sample, with its error, begins or ends.
type sampleEdge struct {
	at  time.Time
	end bool
}

// intersectSamples returns the smallest interval that is consistent with the largest number of samples, given their
// errors, at a monotonic time (Marzullo's algorithm). It returns false if that number is less than the quorum.
func intersectSamples(samples []ClockSample, at time.Duration, quorum int) (TimeBounds, bool) {
	edges := sampleEdges(samples, at)
	most, open := 0, 0
	var common TimeBounds
	for i, e := range edges {
		if e.end {
			open--
			continue
		}
		open++
		if open > most {
			most = open
			common = TimeBounds{e.at, edges[i+1].at}
		}
	}
	return common, most >= quorum
}

// sampleEdges returns the edges of the first sample of each member, in order. Of edges at the same time, beginnings come first.
func sampleEdges(samples []ClockSample, at time.Duration) (edges []sampleEdge) {
	seen := map[uint64]bool{}
	for _, s := range samples {
		if seen[s.Member] {
			continue // one clock counts once
		}
		seen[s.Member] = true
		wall, maxError := s.Wall.Round(0).Add(at-s.ReadAt), MaxClockError+s.RoundTrip/2
		edges = append(edges, sampleEdge{wall.Add(-maxError), false}, sampleEdge{wall.Add(maxError), true})
	}
	slices.SortFunc(edges, func(a, b sampleEdge) int {
		switch {
		case !a.at.Equal(b.at):
			return a.at.Compare(b.at)
		case a.end == b.end:
			return 0
		case a.end:
			return 1
		}
		return -1
	})
	return edges
}
