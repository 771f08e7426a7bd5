package scale

import (
	"context"
	"time"
)

// inForceTimeout is how long the last change of a phase may take to be in force everywhere, for its delay to be measured.
const inForceTimeout = 5 * time.Second

// changeTimes is when the changes of a phase were acknowledged.
type changeTimes struct {
	acknowledgedAt map[int64]time.Time // by version
	latest         int64               // version
	delays         []time.Duration     // from sending to acknowledgement
}

// measureChanges changes one route again and again, and notes when each change is acknowledged and when it is in force everywhere.
func (f *fleet) measureChanges(ctx context.Context) (Phase, error) {
	if !f.plan.brief {
		if err := f.observe(observeRequest{Route: routeName(0)}); err != nil {
			return Phase{}, err
		}
	}
	times := changeTimes{acknowledgedAt: map[int64]time.Time{}}
	p, err := f.measureEvents(ctx, PhaseChanges, func() (phaseEvents, error) {
		return f.causePaced(ctx, f.experiment.ChangesPerS, func() error { return f.timeChange(&times) })
	})
	if err != nil {
		return p, err
	}
	p.Delays[DelayAcknowledged] = quantiles(times.delays)
	if f.plan.brief {
		return p, nil
	}
	inForceAt, err := f.awaitInForce(ctx, times.latest)
	if err != nil {
		return p, err
	}
	delays := times.untilInForce(inForceAt)
	// A change that was acknowledged but not in force in time is no event whose cost is known.
	p.Rejected += len(times.acknowledgedAt) - len(delays)
	if len(delays) > 0 {
		p.Delays[DelayInForce] = quantiles(delays)
	}
	return p, nil
}

// timeChange makes one change.
func (f *fleet) timeChange(times *changeTimes) error {
	sentAt := time.Now()
	version, err := f.change()
	if err != nil {
		return err
	}
	times.acknowledgedAt[version] = time.Now()
	times.latest = version
	times.delays = append(times.delays, time.Since(sentAt))
	return nil
}

// untilInForce returns the time from each acknowledgement until the change was in force, of the changes that were. A change may be in force
// everywhere before its acknowledgement has arrived.
func (t *changeTimes) untilInForce(inForceAt map[int64]int64) (delays []time.Duration) {
	for version, acknowledgedAt := range t.acknowledgedAt {
		if at, found := inForceAt[version]; found {
			delays = append(delays, max(0, time.Unix(0, at).Sub(acknowledgedAt)))
		}
	}
	return delays
}

// awaitInForce waits until a version is in force everywhere, or inForceTimeout. It ends the observation, and returns when each version came
// into force at the last sidecar, in Unix nanoseconds.
func (f *fleet) awaitInForce(ctx context.Context, latest int64) (map[int64]int64, error) {
	for deadline := time.Now().Add(inForceTimeout); time.Now().Before(deadline); sleep(ctx, observeInterval) {
		oldest, err := f.oldestInForce(latest)
		if err != nil {
			return nil, err
		}
		if oldest >= latest {
			break
		}
	}
	var last map[int64]int64
	for _, w := range f.workers() {
		r, err := w.call(request{Observe: &observeRequest{End: true}})
		if err != nil {
			return nil, err
		}
		last = latestTimes(last, r.Observe.Versions)
	}
	return last, nil
}

// oldestInForce returns the version that is in force everywhere, up to latest.
func (f *fleet) oldestInForce(latest int64) (int64, error) {
	oldest := latest
	for _, w := range f.workers() {
		r, err := w.call(request{Observe: &observeRequest{Look: true}})
		if err != nil {
			return 0, err
		}
		oldest = min(oldest, r.Observe.Latest)
	}
	return oldest, nil
}

// latestTimes returns the later of two times by version, of the versions that both have. A nil map stands for no limit.
func latestTimes(a, b map[int64]int64) map[int64]int64 {
	if a == nil {
		return b
	}
	for version, at := range a {
		if other, found := b[version]; found {
			a[version] = max(at, other)
		} else {
			delete(a, version)
		}
	}
	return a
}
