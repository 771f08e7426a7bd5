package maintenance

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// aheadBy is the error of a wrong clock in these tests.
const aheadBy = 40 * time.Minute

// samplesAt returns one sample per clock, read at a monotonic time, given the error of each clock. truth is the time of day at
// monotonic time 0.
func samplesAt(truth time.Time, at time.Duration, offsets ...time.Duration) (samples []ClockSample) {
	for i, offset := range offsets {
		samples = append(samples, ClockSample{Member: uint64(i), Wall: truth.Add(at + offset), ReadAt: at, RoundTrip: 10 * time.Millisecond})
	}
	return samples
}

// assertContains checks that the bounds of a clock contain the true time of day, and that they are at most maxWidth wide.
func assertContains(t *testing.T, c Clock, truth time.Time, at, maxWidth time.Duration) {
	t.Helper()
	bounds := c.Now(at)
	now := truth.Add(at)
	assert.Assert(t, !bounds.Earliest.After(now) && !bounds.Latest.Before(now), "%v is not in %v", now, bounds)
	assert.Assert(t, bounds.Latest.Sub(bounds.Earliest) <= maxWidth, "%v", bounds.Latest.Sub(bounds.Earliest))
}

// One clock of three that is 40 minutes ahead does not change the agreed time. Two widen its bounds and put it in doubt, so
// that no window opens early or is used after its end, until they are correct again. After a leaderless period of unknown
// length the upper bound follows from the samples.
func TestClockAgree(t *testing.T) {
	truth := instant("2026-06-01 12:00:00 +0000")
	const s, narrow = time.Second, 2*MaxClockError + 20*time.Millisecond
	_, err := Clock{}.Agree(0, samplesAt(truth, 0, 0, aheadBy, -aheadBy), 0, 3, 0)
	assert.Assert(t, errors.Is(err, ErrNoAgreedTime))
	c, err := Clock{}.Agree(0, samplesAt(truth, 0, 100*time.Millisecond, -100*time.Millisecond, aheadBy), 0, 3, 0)
	assert.NilError(t, err)
	assertContains(t, c, truth, 0, 2*MaxClockError)
	c, err = c.Agree(10*s, samplesAt(truth, 10*s, 0, 50*time.Millisecond, aheadBy), 10*s, 3, 0)
	assert.NilError(t, err)
	assertContains(t, c, truth, 10*s, narrow)
	assert.Assert(t, !c.InDoubt)

	t.Run("in doubt while a majority is ahead", func(t *testing.T) {
		inDoubt, err := c.Agree(20*s, samplesAt(truth, 20*s, 0, aheadBy, aheadBy), 20*s, 3, 0)
		assert.NilError(t, err)
		assertContains(t, inDoubt, truth, 20*s, aheadBy+2*MaxClockError+time.Second)
		assert.Assert(t, inDoubt.InDoubt && inDoubt.Now(20*s).Latest.After(truth.Add(aheadBy)))
		for n := range 20 { // repeating the samples does not confirm them, also after changes of the leader
			at := 20*s + time.Duration(n)*5*s
			inDoubt, err = inDoubt.Agree(at, samplesAt(truth, at, 0, aheadBy, aheadBy), at, 3, time.Duration(n%2)*s)
			assert.NilError(t, err)
			assertContains(t, inDoubt, truth, at, aheadBy+2*MaxClockError+30*time.Second)
			assert.Assert(t, inDoubt.InDoubt && inDoubt.Now(at).Latest.After(truth.Add(at+aheadBy-s)), "%v", inDoubt)
			withoutSamples, err := inDoubt.Agree(at, nil, at, 3, 0)
			assert.Assert(t, err == nil && withoutSamples.InDoubt)
		}
		recovered, err := inDoubt.Agree(130*s, samplesAt(truth, 130*s, 0, 0, 0), 130*s, 3, 0)
		assert.NilError(t, err)
		assertContains(t, recovered, truth, 130*s, narrow)
		assert.Assert(t, !recovered.InDoubt)
	})
	t.Run("no clock answers", func(t *testing.T) { // the time follows the monotonic clock, and the bounds widen by its drift
		extrapolated, err := c.Agree(1000*s, nil, 1000*s, 3, 0)
		assert.NilError(t, err)
		assertContains(t, extrapolated, truth, 1000*s, time.Second)
	})
	t.Run("leaderless for three seconds", func(t *testing.T) {
		truth := truth.Add(3 * s)
		agreed, err := c.Agree(11*s, samplesAt(truth, 11*s, 0, aheadBy, aheadBy), 11*s, 3, 3*s)
		assert.NilError(t, err)
		assertContains(t, agreed, truth, 11*s, aheadBy+4*s)
		assert.Assert(t, agreed.InDoubt)
		agreed, err = c.Agree(11*s, samplesAt(truth, 11*s, 0, 0, aheadBy), 11*s, 3, 3*s)
		assert.NilError(t, err)
		assertContains(t, agreed, truth, 11*s, narrow)
	})
	t.Run("leaderless for an unknown time", func(t *testing.T) { // log time did not advance for an hour
		truth := truth.Add(time.Hour)
		_, err := c.Agree(11*s, nil, 11*s, 3, LeaderlessUnknown)
		assert.Assert(t, errors.Is(err, ErrNoAgreedTime))
		agreed, err := c.Agree(11*s, samplesAt(truth, 11*s, 0, 0, aheadBy), 11*s, 3, LeaderlessUnknown)
		assert.NilError(t, err)
		assertContains(t, agreed, truth, 11*s, narrow)
	})
}
