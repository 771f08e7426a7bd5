package scale

import (
	"context"
	"fmt"
)

// maxRealLeasesPerS bounds the rate of key leases by real sidecars, which are made one after the other.
const maxRealLeasesPerS = 25

// measureLeases has sidecars lease keys.
func (f *fleet) measureLeases(ctx context.Context) (Phase, error) {
	if f.plan.kind == realSidecars {
		return f.measureEvents(ctx, PhaseLeases, func() (phaseEvents, error) { return f.sendKeyedRequests(ctx) })
	}
	var outcome leaseOutcome
	p, err := f.measureEvents(ctx, PhaseLeases, func() (_ phaseEvents, err error) {
		outcome, err = f.leaseKeys()
		return phaseEvents{count: outcome.Granted + outcome.Failed, rejected: outcome.Failed}, err
	})
	if err != nil {
		return p, err
	}
	p.Delays[DelayGranted] = outcome.Delays
	return p, nil
}

// leaseKeys has all full sidecars lease keys, the workers at the same time. The delays are those of the worker with the largest P99.
func (f *fleet) leaseKeys() (total leaseOutcome, err error) {
	type result struct {
		outcome leaseOutcome
		err     error
	}
	results := make(chan result, len(f.fullWorkers)) // so that no worker waits for a reader that has given up
	for _, w := range f.fullWorkers {
		q := leaseRequest{
			PerSecond: f.experiment.ClaimsPerS / float64(len(f.fullWorkers)),
			Seconds:   f.experiment.PhaseS,
			Prefix:    fmt.Sprintf("k%x", f.random.Uint64()),
		}
		go func() {
			r, err := w.call(request{Lease: &q})
			if err != nil {
				results <- result{err: err}
				return
			}
			results <- result{outcome: *r.Lease}
		}()
	}
	for range f.fullWorkers {
		r := <-results
		if r.err != nil {
			return total, r.err
		}
		total.Granted += r.outcome.Granted
		total.Failed += r.outcome.Failed
		if r.outcome.Delays.P99 >= total.Delays.P99 {
			total.Delays = r.outcome.Delays
		}
	}
	return total, nil
}

// sendKeyedRequests has real sidecars lease keys, by keyed requests of their callers. The requests are part of the cost.
func (f *fleet) sendKeyedRequests(ctx context.Context) (phaseEvents, error) {
	n := 0
	return f.causePaced(ctx, min(f.experiment.ClaimsPerS, maxRealLeasesPerS), func() error {
		n++
		from := f.cluster.Sidecars[n%len(f.cluster.Sidecars)]
		got := from.Send("POST", "/r0/x", fmt.Sprintf("k%x", f.random.Uint64()), nil)
		if got.Status/100 != 2 {
			return fmt.Errorf("status %d", got.Status)
		}
		return nil
	})
}
