package scale

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"cranegrade/internal/mesh/testcluster"
)

// comparisonHeartbeatS is the interval of real servers' heartbeats, which testcluster fixes, in seconds.
const comparisonHeartbeatS = 0.3

// runner carries out an experiment.
type runner struct {
	experiment Experiment
	program    string // this one, for workers
	programs   string // folder of the programs that are measured
	progress   func(string)
	results    Results
	began      time.Time
}

// Run measures what an experiment names. program is the path of this program, for workers. It returns what was measured also where it
// stopped early, because ctx ended, a part failed or the memory limit was reached; Results.Stopped then says why. The error is that
// of the preparations. No process that it started is left.
func Run(ctx context.Context, x Experiment, program string, progress func(string)) (Results, error) {
	r := &runner{
		experiment: x,
		program:    program,
		progress:   progress,
		began:      time.Now(),
	}
	r.results = Results{Experiment: x, When: r.began.UTC().Truncate(time.Second), Machine: thisMachine()}
	dir, err := os.MkdirTemp("", "meshscale")
	if err != nil {
		return r.results, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // in the folder of temporary files; the results do not rest on it
	r.programs = dir
	progress("building the programs")
	if err := testcluster.BuildPrograms(dir); err != nil {
		return r.results, err
	}
	if err := r.measureAll(ctx); err != nil {
		r.results.Stopped = err.Error()
		progress("stopped: " + err.Error())
	}
	r.results.TookS = time.Since(r.began).Seconds()
	return r.results, nil
}

// measureAll measures the sizes, then what is varied, then real sidecars beside hollow ones.
func (r *runner) measureAll(ctx context.Context) error {
	if err := r.measureSizes(ctx); err != nil {
		return err
	}
	if err := r.measureVaried(ctx); err != nil {
		return err
	}
	if r.experiment.Compare > 0 {
		return r.compare(ctx)
	}
	return nil
}

// measureSizes measures each size with each seed that it is to be measured with.
func (r *runner) measureSizes(ctx context.Context) error {
	x := r.experiment
	for i, size := range x.Sizes {
		for n, seed := range x.Seeds {
			if n > 0 && size > x.RepeatTo {
				break
			}
			if err := r.measureAndKeep(ctx, r.newPlan(size, x.fullAt(i), seed, x.Phases), false); err != nil {
				return err
			}
		}
	}
	return nil
}

// newPlan returns a plan with the experiment's services and routes.
func (r *runner) newPlan(size, full int, seed uint64, phases []string) plan {
	return plan{
		size:     size,
		full:     full,
		services: r.experiment.Services,
		routes:   r.experiment.Routes,
		seed:     seed,
		phases:   phases,
	}
}

// measureVaried measures other numbers of services, with a route for each, and of routes.
func (r *runner) measureVaried(ctx context.Context) error {
	x := r.experiment
	base := r.newPlan(x.VarySize, x.fullAt(0), x.Seeds[0], []string{PhaseIdle, PhaseChanges})
	base.brief = true
	for _, services := range x.VaryServices {
		p := base
		p.services = services
		p.routes = max(base.routes, services)
		if err := r.measureAndKeep(ctx, p, true); err != nil {
			return err
		}
	}
	for _, routes := range x.VaryRoutes {
		p := base
		p.routes = routes
		if err := r.measureAndKeep(ctx, p, true); err != nil {
			return err
		}
	}
	return nil
}

// measureAndKeep measures one fleet, and adds the measurement to the results also if it failed.
func (r *runner) measureAndKeep(ctx context.Context, p plan, varied bool) error {
	m, err := r.measure(ctx, r.experiment, p)
	m.Varied = varied
	if err != nil {
		m.Failed = err.Error()
	}
	if len(m.Phases) > 0 || err != nil {
		r.results.Measurements = append(r.results.Measurements, m)
	}
	return err
}

// measure starts a fleet, measures it and ends it. The measurement ends early at the memory limit, which is then the error.
func (r *runner) measure(ctx context.Context, x Experiment, p plan) (Measurement, error) {
	say := func(text string) {
		r.progress(fmt.Sprintf("%6.1f s  %s: %s", time.Since(r.began).Seconds(), p.name(), text))
	}
	var watching sync.WaitGroup
	defer watching.Wait()
	watched, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watching.Go(func() { watchMemory(watched, cancel, int64(x.MemoryGiB*(1<<30))) })
	say("starting")
	f, err := newFleet(watched, x, p, r.programs, r.program)
	defer f.close()
	m := p.newMeasurement()
	if err == nil {
		say(fmt.Sprintf("started in %.1f s", f.startS))
		m, err = f.measure(watched, say)
	}
	if cause := context.Cause(watched); err != nil && cause != nil {
		err = cause
	}
	return m, err
}

// name tells a plan from the others of a run.
func (p plan) name() string {
	name := fmt.Sprintf("%d sidecars, %d services, %d routes, seed %d", p.size, p.services, p.routes, p.seed)
	if kind := p.kind.String(); kind != "" {
		name += ", " + kind
	}
	return name
}

// compare measures real sidecars and as many hollow ones alike.
func (r *runner) compare(ctx context.Context) error {
	x := r.experiment
	x.HeartbeatS = comparisonHeartbeatS
	x.ClaimsPerS = min(x.ClaimsPerS, maxRealLeasesPerS)
	// Leases come last because real sidecars keep the connections that keyed requests were sent on.
	phases := []string{PhaseIdle, PhaseChanges, PhaseRestarts, PhaseLeases}
	base := r.newPlan(x.Compare, x.Compare, x.Seeds[0], phases)
	base.brief = true
	c := &Comparison{Count: x.Compare, Members: x.Members}
	for _, part := range []struct {
		kind   sidecarKind
		result *Measurement
	}{{hollowTogether, &c.Hollow}, {hollowSeparate, &c.Separate}, {realSidecars, &c.Real}} {
		p := base
		p.kind = part.kind
		var err error
		if *part.result, err = r.measure(ctx, x, p); err != nil {
			return err
		}
	}
	r.results.Comparison = c
	return nil
}
