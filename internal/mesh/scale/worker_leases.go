package scale

import (
	"fmt"
	"sync"
	"time"
)

// leaseKeys has the full sidecars in turn lease keys at an even pace, however long earlier leases take.
func (w *worker) leaseKeys(q leaseRequest) *leaseOutcome {
	var (
		mu      sync.Mutex // guards below
		delays  []time.Duration
		failed  int
		pending sync.WaitGroup
	)
	sidecars := w.full()
	began := time.Now()
	for n := range int(q.PerSecond * q.Seconds) {
		time.Sleep(time.Until(began.Add(atPace(n, q.PerSecond))))
		pending.Go(func() {
			requestedAt := time.Now()
			granted, err := sidecars[n%len(sidecars)].Claim(w.ctx, fmt.Sprintf("%s-%d", q.Prefix, n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !granted {
				failed++
				return
			}
			delays = append(delays, time.Since(requestedAt))
		})
	}
	started := time.Since(began)
	pending.Wait()
	return &leaseOutcome{
		Granted:  len(delays),
		Failed:   failed,
		Delays:   quantiles(delays),
		StartedS: started.Seconds(),
	}
}

// atPace returns when the nth event from 0 is due, from the first one on.
func atPace(n int, perSecond float64) time.Duration { return seconds(float64(n) / perSecond) }
