package maintenance

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrNoAgreedTime says that no majority of the members' clocks agrees on a time, and that the time agreed on before cannot be
// extrapolated: there is none, or there was no leader for an unknown time.
const ErrNoAgreedTime = errors.ConstError("no majority of the members' clocks agrees on the time of day")

const (
	// MaxClockError is the largest error of a clock that counts as correct. As long as fewer than half of the members' clocks are
	// wrong, the error of the agreed time is at most this plus half a round trip.
	MaxClockError = 250 * time.Millisecond

	// MaxDrift is the largest rate error of a monotonic clock, fast or slow, as a ratio.
	MaxDrift = 1e-4

	// LeaderlessUnknown is passed to Clock.Agree if it is not known how long there was no leader.
	LeaderlessUnknown time.Duration = -1
)

// TimeBounds is an interval that contains the time of day.
type TimeBounds struct {
	Earliest time.Time `json:"Earliest"`
	Latest   time.Time `json:"Latest"`
}

// advance returns the bounds after some time has elapsed on a monotonic clock. They widen by its possible drift.
func (b TimeBounds) advance(elapsed time.Duration) TimeBounds {
	elapsed = max(0, elapsed)
	drift := time.Duration(float64(elapsed) * MaxDrift)
	return TimeBounds{b.Earliest.Add(elapsed - drift), b.Latest.Add(elapsed + drift)}
}

// ClockSample is one reading of a member's clock, requested by another member over the network.
type ClockSample struct {
	Member    uint64        // whose clock was read
	Wall      time.Time     // the time of day that it showed
	ReadAt    time.Duration // when, by the requesting member's monotonic clock, within half of RoundTrip
	RoundTrip time.Duration // of the request
}

// Clock is the time of day that the members have agreed on, at a log time. The true time is between Earliest and Latest, provided that
// fewer than half of the members' clocks are wrong. It is replicated state. The zero value means that no time was agreed on.
type Clock struct {
	LogTime  time.Duration `json:"Stamp"`
	Earliest time.Time     `json:"Earliest"`
	Latest   time.Time     `json:"Latest"`
	// InDoubt says that a majority of the clocks contradicts the time agreed on before. The bounds then include both times, so that a
	// window is used only if it is open at both.
	InDoubt bool `json:"Doubt"`
	// Steady is, while InDoubt, the time agreed on before, advanced by log time. Later samples are compared with it rather than with the
	// bounds, which include what the same clocks said before.
	Steady TimeBounds `json:"Steady"`
}

// IsKnown reports whether a time has been agreed on.
func (c Clock) IsKnown() bool { return !c.Earliest.IsZero() }

func (c Clock) bounds() TimeBounds { return TimeBounds{c.Earliest, c.Latest} }

// Now returns the time of day at a later log time.
func (c Clock) Now(logTime time.Duration) TimeBounds { return c.bounds().advance(logTime - c.LogTime) }

// Agree returns the next agreed time, at logTime. It combines the time agreed on so far with samples of the members'
// clocks. monotonicNow is the current time of the monotonic clock that the samples' ReadAt refers to, and members the
// number of members. leaderless is how long there was no leader since the last agreed time; log time does not advance
// meanwhile. It is measured by a member that ran all that time, or LeaderlessUnknown, in which case the samples alone
// determine the upper bound. On ErrNoAgreedTime the clock is unchanged.
func (c Clock) Agree(
	logTime time.Duration, samples []ClockSample, monotonicNow time.Duration, members int, leaderless time.Duration,
) (Clock, error) {
	measured, majority := intersectSamples(samples, monotonicNow, members/2+1)
	if !c.IsKnown() {
		if !majority {
			return c, ErrNoAgreedTime
		}
		return Clock{LogTime: logTime, Earliest: measured.Earliest, Latest: measured.Latest}, nil
	}
	expected := c.expected(logTime, leaderless)
	if !majority {
		return c.extrapolate(logTime, expected, leaderless)
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

// expected returns the time of day at a log time as it follows from the agreed time, without any new samples.
func (c Clock) expected(logTime, leaderless time.Duration) TimeBounds {
	agreed := c.bounds()
	if c.InDoubt && !c.Steady.Earliest.IsZero() { // earlier versions did not store Steady
		agreed = c.Steady
	}
	expected := agreed.advance(logTime - c.LogTime)
	expected.Latest = expected.Latest.Add(max(0, leaderless))
	return expected
}

// extrapolate returns the next agreed time if no majority of the clocks agrees.
func (c Clock) extrapolate(logTime time.Duration, expected TimeBounds, leaderless time.Duration) (Clock, error) {
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

// sampleEdge is the beginning or the end of the interval that a sample stands for, given its maximum error.
type sampleEdge struct {
	at  time.Time
	end bool
}

// intersectSamples returns the smallest interval that is consistent with the largest number of samples, given their
// errors, at a monotonic time (Marzullo's algorithm). It returns false if that number is less than the quorum.
func intersectSamples(samples []ClockSample, monotonicNow time.Duration, quorum int) (TimeBounds, bool) {
	edges := sampleEdges(samples, monotonicNow)
	overlapping, maxOverlapping := 0, 0
	var intersection TimeBounds
	for i, e := range edges {
		if e.end {
			overlapping--
			continue
		}
		overlapping++
		if overlapping > maxOverlapping {
			maxOverlapping = overlapping
			intersection = TimeBounds{e.at, edges[i+1].at}
		}
	}
	return intersection, maxOverlapping >= quorum
}

// sampleEdges returns the edges of the first sample of each member, ordered by time. At the same time, beginnings come before ends.
func sampleEdges(samples []ClockSample, monotonicNow time.Duration) (edges []sampleEdge) {
	seen := map[uint64]bool{}
	for _, s := range samples {
		if seen[s.Member] {
			continue // each clock counts once
		}
		seen[s.Member] = true
		wall, maxError := s.Wall.Round(0).Add(monotonicNow-s.ReadAt), MaxClockError+s.RoundTrip/2
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
