package maintenance

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// aheadBy is by how much a wrong clock is ahead in these tests.
const aheadBy = 40 * time.Minute

// samplesAt are what clocks say at a steady time, by how much each is off; truth is the time of day at steady time 0.
func samplesAt(truth time.Time, at time.Duration, offsets ...time.Duration) (samples []ClockSample) {
	for i, offset := range offsets {
		samples = append(samples, ClockSample{Member: uint64(i), Wall: truth.Add(at + offset), ReadAt: at, RoundTrip: 10 * time.Millisecond})
	}
	return samples
}

// assertHolds sees that the time of day is within the bounds, and that these are no wider than a width.
func assertHolds(t *testing.T, c Clock, truth time.Time, at, width time.Duration) {
	t.Helper()
	bounds := c.Now(at)
	now := truth.Add(at)
	assert.Assert(t, !bounds.Earliest.After(now) && !bounds.Latest.Before(now), "%v is not in %v", now, bounds)
	assert.Assert(t, bounds.Latest.Sub(bounds.Earliest) <= width, "%v", bounds.Latest.Sub(bounds.Earliest))
}

// The agreed time: one clock 40 minutes ahead changes nothing; two of three widen it, so that nothing opens early and nothing
// is used that has ended; clocks that come back are believed again; without a leader for a while it is as late as they say.
func TestAgreeOnTheTime(t *testing.T) {
	truth := instant("2026-06-01 12:00:00 +0000")
	const s, narrow = time.Second, 2*MaxClockError + 20*time.Millisecond
	_, err := Clock{}.Agree(0, samplesAt(truth, 0, 0, aheadBy, -aheadBy), 0, 3, 0)
	assert.Assert(t, errors.Is(err, ErrNoAgreedTime))
	c, err := Clock{}.Agree(0, samplesAt(truth, 0, 100*time.Millisecond, -100*time.Millisecond, aheadBy), 0, 3, 0)
	assert.NilError(t, err)
	assertHolds(t, c, truth, 0, 2*MaxClockError)
	c, err = c.Agree(10*s, samplesAt(truth, 10*s, 0, 50*time.Millisecond, aheadBy), 10*s, 3, 0)
	assert.NilError(t, err)
	assertHolds(t, c, truth, 10*s, narrow)
	assert.Assert(t, !c.InDoubt)

	t.Run("a majority that is ahead is in doubt for as long as it is", func(t *testing.T) {
		two, err := c.Agree(20*s, samplesAt(truth, 20*s, 0, aheadBy, aheadBy), 20*s, 3, 0)
		assert.NilError(t, err)
		assertHolds(t, two, truth, 20*s, aheadBy+2*MaxClockError+time.Second)
		assert.Assert(t, two.InDoubt && two.Now(20*s).Latest.After(truth.Add(aheadBy)))
		for n := range 20 { // however often they say so, and whoever leads meanwhile
			at := 20*s + time.Duration(n)*5*s
			two, err = two.Agree(at, samplesAt(truth, at, 0, aheadBy, aheadBy), at, 3, time.Duration(n%2)*s)
			assert.NilError(t, err)
			assertHolds(t, two, truth, at, aheadBy+2*MaxClockError+30*time.Second)
			assert.Assert(t, two.InDoubt && two.Now(at).Latest.After(truth.Add(at+aheadBy-s)), "%v", two)
			silent, err := two.Agree(at, nil, at, 3, 0)
			assert.Assert(t, err == nil && silent.InDoubt)
		}
		again, err := two.Agree(130*s, samplesAt(truth, 130*s, 0, 0, 0), 130*s, 3, 0)
		assert.NilError(t, err)
		assertHolds(t, again, truth, 130*s, narrow)
		assert.Assert(t, !again.InDoubt)
	})
	t.Run("no clock answers", func(t *testing.T) { // it goes on by the steady clock, and gets wider by its drift
		none, err := c.Agree(1000*s, nil, 1000*s, 3, 0)
		assert.NilError(t, err)
		assertHolds(t, none, truth, 1000*s, time.Second)
	})
	t.Run("nobody led for three seconds, as one knows who lived through them", func(t *testing.T) {
		truth := truth.Add(3 * s)
		lived, err := c.Agree(11*s, samplesAt(truth, 11*s, 0, aheadBy, aheadBy), 11*s, 3, 3*s)
		assert.NilError(t, err)
		assertHolds(t, lived, truth, 11*s, aheadBy+4*s)
		assert.Assert(t, lived.InDoubt)
		lived, err = c.Agree(11*s, samplesAt(truth, 11*s, 0, 0, aheadBy), 11*s, 3, 3*s)
		assert.NilError(t, err)
		assertHolds(t, lived, truth, 11*s, narrow)
	})
	t.Run("nobody led for an hour, and nobody knows", func(t *testing.T) { // log time stood still
		truth := truth.Add(time.Hour)
		_, err := c.Agree(11*s, nil, 11*s, 3, LeaderlessUnknown)
		assert.Assert(t, errors.Is(err, ErrNoAgreedTime))
		gap, err := c.Agree(11*s, samplesAt(truth, 11*s, 0, 0, aheadBy), 11*s, 3, LeaderlessUnknown)
		assert.NilError(t, err)
		assertHolds(t, gap, truth, 11*s, narrow)
	})
}
