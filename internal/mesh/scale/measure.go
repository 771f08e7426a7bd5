package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/testcluster"
)

const (
	crashTimeout  = 90 * time.Second      // until all full sidecars know of a crash
	crashInterval = 50 * time.Millisecond // between two looks
)

// errNotAcknowledged is the error of a restart of which a server's sidecar did not acknowledge a heartbeat.
var errNotAcknowledged = errors.New("a heartbeat was not acknowledged")

// newMeasurement returns a measurement of a fleet in which nothing was measured yet.
func (p plan) newMeasurement() Measurement {
	return Measurement{
		Size:     p.size,
		Full:     p.full,
		Services: p.services,
		Routes:   p.routes,
		Seed:     p.seed,
	}
}

// measure measures a fleet that has started. On an error the measurement holds what was measured before.
func (f *fleet) measure(ctx context.Context, progress func(string)) (m Measurement, err error) {
	m = f.plan.newMeasurement()
	m.StartAllS = f.startS
	if !sleep(ctx, seconds(f.experiment.SettleS)) {
		return m, ctx.Err()
	}
	for _, name := range f.plan.phases {
		p, err := f.measurePhase(ctx, name)
		if err != nil {
			return m, err
		}
		m.Phases = append(m.Phases, p)
		progress(fmt.Sprintf("%s: sidecar %.2f %% of a core, leader %.1f %%, machine %.0f %% busy", p.Name,
			100*p.Roles[RoleSidecar].Processor, 100*p.Roles[RoleLeader].Processor, 100*p.Busy))
	}
	if f.plan.kind == realSidecars {
		return m, nil
	}
	return m, f.measureOnce(ctx, &m)
}

// measurePhase measures one phase.
func (f *fleet) measurePhase(ctx context.Context, name string) (Phase, error) {
	switch name {
	case PhaseIdle:
		return f.measureIdle(ctx)
	case PhaseChanges:
		return f.measureChanges(ctx)
	case PhaseLeases:
		return f.measureLeases(ctx)
	case PhaseRestarts:
		return f.measureRestarts(ctx)
	case PhaseHeartbeats:
		return f.measureHeartbeats(ctx)
	}
	return Phase{}, fmt.Errorf("no phase %q", name)
}

// measureOnce measures what does not belong to a phase: memory, a crash, and the start of one more sidecar.
func (f *fleet) measureOnce(ctx context.Context, m *Measurement) (err error) {
	err = f.callFull(request{Account: &accountRequest{Collect: true}}, func(r response) {
		m.Heap += r.Account.Heap / int64(f.plan.full)
		m.Goroutines += r.Account.Goroutines / f.plan.full
	})
	if err != nil || f.plan.brief {
		return err
	}
	if m.CrashS, err = f.measureCrash(ctx); err != nil {
		return err
	}
	m.StartOneS, err = f.startOneMore()
	return err
}

// phaseEvents is what happened in a phase.
type phaseEvents struct {
	count    int
	rejected int
}

// measureSpan samples the fleet before and after cause, which lasts at most as long as a phase. Events of the phase are the servers'
// heartbeats; a phase that causes events of its own counts those instead.
func (f *fleet) measureSpan(ctx context.Context, name string, cause func() error) (Phase, error) {
	from, err := f.sample(ctx)
	if err != nil {
		return Phase{}, err
	}
	if err := cause(); err != nil {
		return Phase{}, err
	}
	if rest := seconds(f.experiment.PhaseS) - time.Since(from.at); !sleep(ctx, rest) {
		return Phase{}, ctx.Err()
	}
	to, err := f.sample(ctx)
	if err != nil {
		return Phase{}, err
	}
	return f.phaseBetween(name, from, to), nil
}

// measureEvents is measureSpan of a phase that causes events.
func (f *fleet) measureEvents(ctx context.Context, name string, cause func() (phaseEvents, error)) (Phase, error) {
	var events phaseEvents
	p, err := f.measureSpan(ctx, name, func() (err error) {
		events, err = cause()
		return err
	})
	if err != nil {
		return p, err
	}
	p.Events = float64(events.count)
	p.Rejected = events.rejected
	return p, nil
}

// causePaced calls cause at an even pace for the time of a phase. An event that gives an error counts as rejected.
func (f *fleet) causePaced(ctx context.Context, perSecond float64, cause func() error) (events phaseEvents, err error) {
	began := time.Now()
	for n := range int(perSecond * f.experiment.PhaseS) {
		if !sleep(ctx, time.Until(began.Add(atPace(n, perSecond)))) {
			return events, ctx.Err()
		}
		events.count++
		if cause() != nil {
			events.rejected++
		}
	}
	return events, nil
}

// measureIdle measures heartbeats, and what is sent without any event.
func (f *fleet) measureIdle(ctx context.Context) (Phase, error) {
	return f.measureSpan(ctx, PhaseIdle, func() error {
		if !sleep(ctx, seconds(f.experiment.PhaseS)) {
			return ctx.Err()
		}
		return nil
	})
}

// measureHeartbeats is measureIdle with more frequent heartbeats.
func (f *fleet) measureHeartbeats(ctx context.Context) (Phase, error) {
	f.setHeartbeatInterval(f.experiment.HeartbeatS / f.experiment.HeartbeatFactor)
	defer f.setHeartbeatInterval(f.experiment.HeartbeatS)
	if !sleep(ctx, seconds(f.experiment.HeartbeatS)) { // until the new interval is in use
		return Phase{}, ctx.Err()
	}
	p, err := f.measureIdle(ctx)
	p.Name = PhaseHeartbeats
	return p, err
}

// setHeartbeatInterval sets the interval of all servers' heartbeats, in seconds.
func (f *fleet) setHeartbeatInterval(intervalS float64) {
	for _, s := range f.servers {
		s.interval.Store(int64(seconds(intervalS)))
	}
}

// measureRestarts has servers restart in turn, in an order that the seed decides.
func (f *fleet) measureRestarts(ctx context.Context) (Phase, error) {
	order := f.random.Perm(f.plan.full)
	n := 0
	return f.measureEvents(ctx, PhaseRestarts, func() (phaseEvents, error) {
		return f.causePaced(ctx, f.experiment.RestartsPerS, func() error {
			i := order[n%len(order)]
			n++
			if f.plan.kind == realSidecars {
				return restartReal(f.cluster.Sidecars[i])
			}
			if !f.servers[i].restart() {
				return errNotAcknowledged
			}
			return nil
		})
	})
}

// restartReal restarts the server beside a real sidecar.
func restartReal(machine *testcluster.Machine) error {
	if !machine.App.Drain() {
		return errNotAcknowledged
	}
	machine.App.Crash()
	return machine.StartApp()
}

// measureCrash has a server crash, and returns how long it takes until all full sidecars know, in seconds.
func (f *fleet) measureCrash(ctx context.Context) (float64, error) {
	i := f.random.IntN(len(f.servers))
	s := f.servers[i]
	if err := f.observe(observeRequest{Server: s.sidecarAddress, State: directory.ServerDown}); err != nil {
		return 0, err
	}
	s.sendHeartbeat()
	began := time.Now()
	s.close()
	f.servers = slices.Delete(f.servers, i, i+1)
	f.crashed = append(f.crashed, s)
	return f.awaitObserved(ctx, began)
}

// awaitObserved waits until all full sidecars know the state that is observed, and returns how long that took, in seconds.
func (f *fleet) awaitObserved(ctx context.Context, began time.Time) (float64, error) {
	for time.Since(began) < crashTimeout {
		if !sleep(ctx, crashInterval) {
			return 0, ctx.Err()
		}
		reachedAt, err := f.lastReachedAt()
		if err != nil {
			return 0, err
		}
		if reachedAt > 0 {
			return time.Unix(0, reachedAt).Sub(began).Seconds(), f.observe(observeRequest{End: true})
		}
	}
	return 0, fmt.Errorf("a crash was not known everywhere after %v", crashTimeout)
}

// lastReachedAt returns when the sidecars of the last worker knew the state that is observed, in Unix nanoseconds, or 0
// if some do not.
func (f *fleet) lastReachedAt() (last int64, err error) {
	all := true
	err = f.callFull(request{Observe: &observeRequest{Look: true}}, func(r response) {
		all = all && r.Observe.Reached > 0
		last = max(last, r.Observe.Reached)
	})
	if !all {
		last = 0
	}
	return last, err
}

// observe sends all workers a request about observations.
func (f *fleet) observe(q observeRequest) error {
	for _, w := range f.workers() {
		if _, err := w.call(request{Observe: &q}); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for a time, and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
