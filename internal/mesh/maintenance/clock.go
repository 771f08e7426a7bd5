package maintenance

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrNoAgreedTime is that no majority of the members' clocks agrees on a time, and that none was agreed on before.
const ErrNoAgreedTime = errors.ConstError("the registers' clocks agree on no time of day")

const (
	// MaxClockError is by how much a clock that is right may be off. The agreed time is right within it, and half a round
	// trip, as long as fewer than half of the members' clocks are wrong.
	MaxClockError = 250 * time.Millisecond

	// MaxDrift is by how much a steady clock may run fast or slow, as a ratio.
	MaxDrift = 1e-4

	// LeaderlessUnknown is a time without a leader of which nobody can tell how long it was.
	LeaderlessUnknown time.Duration = -1
)

// TimeBounds are two times of day between which it is.
type TimeBounds struct {
	Earliest time.Time `json:"Earliest"`
	Latest   time.Time `json:"Latest"`
}

// advance is the bounds after some time has passed, by a steady clock.
func (b TimeBounds) advance(passed time.Duration) TimeBounds {
	passed = max(0, passed)
	drift := time.Duration(float64(passed) * MaxDrift)
	return TimeBounds{b.Earliest.Add(passed - drift), b.Latest.Add(passed + drift)}
}

// ClockSample is a member's time of day, as it was at ReadAt of the asker's steady clock, give or take half of RoundTrip.
type ClockSample struct {
	Member    uint64
	Wall      time.Time
	ReadAt    time.Duration
	RoundTrip time.Duration
}

// Clock is the time of day at a log time: between Earliest and Latest, and surely so while fewer than half of the clocks are
// wrong. It is replicated state. The zero Clock is that none was agreed on.
type Clock struct {
	LogTime  time.Duration `json:"Stamp"`
	Earliest time.Time     `json:"Earliest"`
	Latest   time.Time     `json:"Latest"`
	// InDoubt says that a majority of clocks contradicts what was agreed on before. The bounds then hold both, so that no
	// window opens before it is open by either, and none is used that has ended by either.
	InDoubt bool `json:"Doubt"`
	// Steady is, while in doubt, what was agreed on before, carried on by log time: later samples are held against that, and
	// not against what the same clocks said themselves.
	Steady TimeBounds `json:"Steady"`
}

// IsKnown says that a time was agreed on.
func (c Clock) IsKnown() bool { return !c.Earliest.IsZero() }

func (c Clock) bounds() TimeBounds { return TimeBounds{c.Earliest, c.Latest} }

// Now is the time of day at a later log time.
func (c Clock) Now(logTime time.Duration) TimeBounds { return c.bounds().advance(logTime - c.LogTime) }

// Agree is the next agreed time, at a log time: of what is agreed on and of what the members say at a time of the asker's
// steady clock. members is how many there are. leaderless is for how long nobody led since the last agreed time, while log time
// stood still: by the steady clock of a member that lived through it, or LeaderlessUnknown; then how late it is is the clocks'
// word alone. The error is ErrNoAgreedTime; the clock is unchanged then.
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

// expected is the time of day at a log time, going by what was agreed on alone.
func (c Clock) expected(logTime, leaderless time.Duration) TimeBounds {
	agreed := c.bounds()
	if c.InDoubt && !c.Steady.Earliest.IsZero() { // an earlier version kept no steady time
		agreed = c.Steady
	}
	expected := agreed.advance(logTime - c.LogTime)
	expected.Latest = expected.Latest.Add(max(0, leaderless))
	return expected
}

// carryOn is the next agreed time where no majority of clocks says the same.
func (c Clock) carryOn(logTime time.Duration, expected TimeBounds, leaderless time.Duration) (Clock, error) {
	if leaderless < 0 {
		return c, ErrNoAgreedTime
	}
	if c.InDoubt {
		bounds := c.Now(logTime)
		return Clock{LogTime: logTime, Earliest: bounds.Earliest, Latest: bounds.Latest.Add(leaderless), InDoubt: true, Steady: expected}, nil
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

// intersectSamples is the shortest interval that the most samples have in common, each with its error, as of a steady time
// (Marzullo's algorithm); false if fewer than a quorum have it in common.
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

// sampleEdges are the edges of the first sample of each member, in order; where two are at the same time beginnings come first.
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
