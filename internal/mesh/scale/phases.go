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

// Times of phases.
const (
	crashTimeout  = 90 * time.Second
	crashLook     = 50 * time.Millisecond
	inForceWithin = 5 * time.Second // after the last change of a phase, for what is observed
)

// measure plays all phases on a fleet that has started. What was measured is in the outcome also with an error.
func (f *fleet) measure(ctx context.Context, progress func(string)) (m Measurement, err error) {
	m = Measurement{Size: f.plan.size, Full: f.plan.full, Services: f.plan.services, Routes: f.plan.routes, Seed: f.plan.seed, StartAllS: f.startS}
	if !sleep(ctx, seconds(f.x.SettleS)) {
		return m, ctx.Err()
	}
	for _, name := range f.plan.phases {
		p, err := f.play(ctx, name)
		if err != nil {
			return m, err
		}
		m.Phases = append(m.Phases, p)
		progress(fmt.Sprintf("%s: sidecar %.2f %% of a core, leader %.1f %%, machine %.0f %% busy", p.Name, 100*p.Roles[RoleSidecar].Processor,
			100*p.Roles[RoleLeader].Processor, 100*p.Busy))
	}
	if f.plan.real {
		return m, nil
	}
	return m, f.measureOnce(ctx, &m)
}

// play plays one phase.
func (f *fleet) play(ctx context.Context, name string) (Phase, error) {
	switch name {
	case PhaseIdle:
		return f.idle(ctx)
	case PhaseChanges:
		return f.changes(ctx)
	case PhaseClaims:
		return f.claims(ctx)
	case PhaseRestarts:
		return f.restarts(ctx)
	case PhaseHeartbeats:
		return f.heartbeats(ctx)
	}
	return Phase{}, fmt.Errorf("no phase %q", name)
}

// measureOnce is what is measured beside the phases: memory, a crash, and the start of one more.
func (f *fleet) measureOnce(ctx context.Context, m *Measurement) (err error) {
	err = f.callFull(request{Account: &accountRequest{Collect: true}}, func(r response) {
		m.Heap += r.Account.Heap / int64(f.plan.full)
		m.Goroutines += r.Account.Goroutines / f.plan.full
	})
	if err != nil {
		return err
	}
	if f.plan.brief {
		return nil
	}
	if m.CrashS, err = f.crash(ctx); err != nil {
		return err
	}
	m.StartOneS, err = f.startOne()
	return err
}

// idle measures heartbeats and what is said without any event.
func (f *fleet) idle(ctx context.Context) (Phase, error) {
	return f.span(ctx, PhaseIdle, func() (int, int, error) {
		if !sleep(ctx, seconds(f.x.PhaseS)) {
			return 0, 0, ctx.Err()
		}
		return -1, 0, nil
	})
}

// heartbeats is idle with quicker heartbeats.
func (f *fleet) heartbeats(ctx context.Context) (Phase, error) {
	pace := func(factor float64) {
		for _, s := range f.servers {
			s.period.Store(int64(seconds(f.x.HeartbeatS / factor)))
		}
	}
	pace(f.x.HeartbeatFactor)
	defer pace(1)
	if !sleep(ctx, seconds(f.x.HeartbeatS)) {
		return Phase{}, ctx.Err()
	}
	p, err := f.idle(ctx)
	p.Name = PhaseHeartbeats
	return p, err
}

// span samples before and after what play does. It gives how many events there were, and how many of them were refused; a
// negative number of events: heartbeats are counted.
func (f *fleet) span(ctx context.Context, name string, play func() (events, refused int, err error)) (Phase, error) {
	from, err := f.sample()
	if err != nil {
		return Phase{}, err
	}
	events, refused, err := play()
	if err != nil {
		return Phase{}, err
	}
	if rest := seconds(f.x.PhaseS) - time.Since(from.at); !sleep(ctx, rest) {
		return Phase{}, ctx.Err()
	}
	to, err := f.sample()
	if err != nil {
		return Phase{}, err
	}
	p := f.between(name, from, to)
	p.Refused = refused
	if events >= 0 {
		p.Events = float64(events)
	}
	return p, nil
}

// paced calls do at an even pace for a phase; how often, and how often it failed.
func (f *fleet) paced(ctx context.Context, perSecond float64, do func() error) (events, refused int, err error) {
	began := time.Now()
	for n := range int(perSecond * f.x.PhaseS) {
		at := began.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		if !sleep(ctx, time.Until(at)) {
			return events, refused, ctx.Err()
		}
		events++
		if do() != nil {
			refused++
		}
	}
	return events, refused, nil
}

// changes changes one route again and again, and notes when each change is acknowledged and in force everywhere.
func (f *fleet) changes(ctx context.Context) (Phase, error) {
	if !f.plan.brief {
		if err := f.observe(observeRequest{Route: routeName(0)}); err != nil {
			return Phase{}, err
		}
	}
	acked, latest := map[int64]time.Time{}, int64(0)
	var delays []time.Duration
	p, err := f.span(ctx, PhaseChanges, func() (int, int, error) {
		return f.paced(ctx, f.x.ChangesPerS, func() error {
			at := time.Now()
			version, err := f.change()
			if err == nil {
				acked[version], latest = time.Now(), version
				delays = append(delays, time.Since(at))
			}
			return err
		})
	})
	if err != nil {
		return p, err
	}
	p.Delays[DelayAcknowledged] = quantiles(delays)
	if f.plan.brief {
		return p, nil
	}
	versions, err := f.inForce(ctx, latest)
	if err != nil {
		return p, err
	}
	delays = nil
	for version, at := range acked {
		if n, is := versions[version]; is {
			delays = append(delays, max(0, time.Unix(0, n).Sub(at)))
		}
	}
	if p.Refused += len(acked) - len(delays); len(delays) > 0 {
		p.Delays[DelayInForce] = quantiles(delays)
	}
	return p, nil
}

// inForce waits until a version is in force everywhere, ends the observation and gives when each version was at the last sidecar.
func (f *fleet) inForce(ctx context.Context, latest int64) (map[int64]int64, error) {
	for end := time.Now().Add(inForceWithin); time.Now().Before(end); sleep(ctx, observeEvery) {
		least := latest
		for _, w := range f.workers() {
			r, err := w.call(request{Observe: &observeRequest{Look: true}})
			if err != nil {
				return nil, err
			}
			least = min(least, r.Observe.Latest)
		}
		if least >= latest {
			break
		}
	}
	var last map[int64]int64
	for _, w := range f.workers() {
		r, err := w.call(request{Observe: &observeRequest{End: true}})
		if err != nil {
			return nil, err
		}
		last = latestOf(last, r.Observe.Versions)
	}
	return last, nil
}

// latestOf is, by version, the later of two times; versions that one of both lacks are left out. nil stands for all.
func latestOf(a, b map[int64]int64) map[int64]int64 {
	if a == nil {
		return b
	}
	for v, at := range a {
		if other, is := b[v]; is {
			a[v] = max(at, other)
		} else {
			delete(a, v)
		}
	}
	return a
}

func (f *fleet) observe(q observeRequest) error {
	for _, w := range f.workers() {
		if _, err := w.call(request{Observe: &q}); err != nil {
			return err
		}
	}
	return nil
}

// claims has sidecars claim keys. Real sidecars do so by keyed requests, which cost them the requests too.
func (f *fleet) claims(ctx context.Context) (Phase, error) {
	var out claimOutcome
	p, err := f.span(ctx, PhaseClaims, func() (int, int, error) {
		if f.plan.real {
			return f.realClaims(ctx)
		}
		var err error
		out, err = f.hollowClaims()
		return out.Granted + out.Failed, out.Failed, err
	})
	if err == nil && !f.plan.real {
		p.Delays[DelayGranted] = out.Delays
	}
	return p, err
}

// hollowClaims has all full sidecars claim keys, the workers at the same time. Delays are those of the worst worker.
func (f *fleet) hollowClaims() (out claimOutcome, err error) {
	outcomes := make(chan claimOutcome, len(f.full))
	faults := make(chan error, len(f.full))
	for _, w := range f.full {
		q := claimRequest{PerSecond: f.x.ClaimsPerS / float64(len(f.full)), Seconds: f.x.PhaseS, Prefix: fmt.Sprintf("k%x", f.random.Uint64())}
		go func() {
			r, err := w.call(request{Claim: &q})
			if err != nil {
				faults <- err
				return
			}
			outcomes <- *r.Claim
		}()
	}
	for range f.full {
		select {
		case err := <-faults:
			return out, err
		case o := <-outcomes:
			out.Granted += o.Granted
			out.Failed += o.Failed
			if o.Delays.P99 >= out.Delays.P99 {
				out.Delays = o.Delays
			}
		}
	}
	return out, nil
}

func (f *fleet) realClaims(ctx context.Context) (events, refused int, err error) {
	n := 0
	return f.paced(ctx, min(f.x.ClaimsPerS, mostRealClaims), func() error {
		n++
		t := f.mesh.Sidecars[n%len(f.mesh.Sidecars)].Send("POST", "/r0/x", fmt.Sprintf("k%x", f.random.Uint64()), nil)
		if t.Status/100 != 2 {
			return fmt.Errorf("status %d", t.Status)
		}
		return nil
	})
}

// mostRealClaims are made one after the other each second.
const mostRealClaims = 25

// restarts has servers restart, each one in turn in an order of the seed's.
func (f *fleet) restarts(ctx context.Context) (Phase, error) {
	order := f.random.Perm(f.plan.full)
	n := 0
	return f.span(ctx, PhaseRestarts, func() (int, int, error) {
		return f.paced(ctx, f.x.RestartsPerS, func() error {
			i := order[n%len(order)]
			n++
			if f.plan.real {
				return restartReal(f.mesh.Sidecars[i])
			}
			if !f.servers[i].restart() {
				return errors.New("a heartbeat was not acknowledged")
			}
			return nil
		})
	})
}

func restartReal(x *testcluster.Machine) error {
	if !x.App.Drain() {
		return errors.New("a heartbeat was not acknowledged")
	}
	x.App.Crash()
	return x.StartApp()
}

// crash has a server stop, and measures until all full sidecars know; in seconds.
func (f *fleet) crash(ctx context.Context) (float64, error) {
	i := f.random.IntN(len(f.servers))
	s := f.servers[i]
	if err := f.observe(observeRequest{Server: s.sidecar, State: directory.ServerDown}); err != nil {
		return 0, err
	}
	s.beat()
	began := time.Now()
	s.close()
	f.servers = slices.Delete(f.servers, i, i+1)
	return f.reached(ctx, began)
}

// reached waits until what is observed has come about everywhere; in seconds.
func (f *fleet) reached(ctx context.Context, began time.Time) (float64, error) {
	for time.Since(began) < crashTimeout {
		if !sleep(ctx, crashLook) {
			return 0, ctx.Err()
		}
		last, err := f.lastReached(request{Observe: &observeRequest{Look: true}})
		if err != nil {
			return 0, err
		}
		if last > 0 {
			return time.Unix(0, last).Sub(began).Seconds(), f.observe(observeRequest{End: true})
		}
	}
	return 0, fmt.Errorf("a crash was not known everywhere after %v", crashTimeout)
}

// lastReached is when the last worker's sidecars had reached what is observed, in Unix nanoseconds; 0: some have not.
func (f *fleet) lastReached(q request) (last int64, err error) {
	all := true
	err = f.callFull(q, func(r response) {
		all = all && r.Observe.Reached > 0
		last = max(last, r.Observe.Reached)
	})
	if !all {
		last = 0
	}
	return last, err
}

// sleep waits; false: the context ended first.
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
