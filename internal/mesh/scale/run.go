package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"cranegrade/internal/mesh/testcluster"
)

// Times of a run.
const (
	watchEvery  = 250 * time.Millisecond
	loadSpan    = time.Second // over which the load by others is measured before a run
	comparePace = 0.3         // seconds: heartbeats of real servers, which internal/rig/mesh fixes
)

// runner carries out an experiment.
type runner struct {
	x        Experiment
	program  string
	programs string
	progress func(string)
	results  Results
	began    time.Time
}

// Run measures what an experiment names. program is this program's path, for workers. It gives what was measured also where
// it stopped before the end, by ctx, by a fault or by the bound on memory, which Results.Stopped then tells. No process that
// it started is left.
func Run(ctx context.Context, x Experiment, program string, progress func(string)) (Results, error) {
	r := &runner{x: x, program: program, progress: progress, began: time.Now()}
	r.results = Results{Experiment: x, When: r.began.UTC().Truncate(time.Second), Machine: machine()}
	dir, err := os.MkdirTemp("", "meshscale")
	if err != nil {
		return r.results, err
	}
	defer os.RemoveAll(dir)
	r.programs = dir
	progress("building the programs")
	if err := testcluster.BuildPrograms(dir); err != nil {
		return r.results, err
	}
	if err := r.all(ctx); err != nil {
		r.results.Stopped = err.Error()
		progress("stopped: " + err.Error())
	}
	r.results.TookS = time.Since(r.began).Seconds()
	return r.results, nil
}

// machine is this one; others' load is measured for a second.
func machine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Memory: machineMemory()}
	all, idle := machineTime()
	time.Sleep(loadSpan)
	allNow, idleNow := machineTime()
	if all < allNow {
		m.Load = 1 - (idleNow-idle)/(allNow-all)
	}
	return m
}

func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	kib, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, _ := strconv.ParseInt(kib, 10, 64)
	return n << 10
}

func (r *runner) all(ctx context.Context) error {
	x := r.x
	for i, size := range x.Sizes {
		for n, seed := range x.Seeds {
			if n > 0 && size > x.RepeatTo {
				break
			}
			if err := r.one(ctx, r.plan(size, x.fullAt(i), seed, x.Phases), false); err != nil {
				return err
			}
		}
	}
	if err := r.vary(ctx); err != nil {
		return err
	}
	if x.Compare > 0 {
		return r.compare(ctx)
	}
	return nil
}

func (r *runner) plan(size, full int, seed uint64, phases []string) plan {
	return plan{size: size, full: full, services: r.x.Services, routes: r.x.Routes, seed: seed, phases: phases}
}

// vary measures other numbers of services, with a route more for each, and of routes.
func (r *runner) vary(ctx context.Context) error {
	p := r.plan(r.x.VarySize, r.x.fullAt(0), r.x.Seeds[0], []string{PhaseIdle, PhaseChanges})
	p.brief = true
	for _, services := range r.x.VaryServices {
		q := p
		q.services, q.routes = services, max(p.routes, services)
		if err := r.one(ctx, q, true); err != nil {
			return err
		}
	}
	for _, routes := range r.x.VaryRoutes {
		q := p
		q.routes = routes
		if err := r.one(ctx, q, true); err != nil {
			return err
		}
	}
	return nil
}

// one measures one fleet and keeps the outcome, whatever it is.
func (r *runner) one(ctx context.Context, p plan, varied bool) error {
	m, err := r.measure(ctx, r.x, p)
	m.Varied = varied
	if err != nil {
		m.Failed = err.Error()
	}
	if len(m.Phases) > 0 || err != nil {
		r.results.Measurements = append(r.results.Measurements, m)
	}
	return err
}

// measure starts a fleet, measures it and ends it. The context of the phases ends by itself at the bound on memory.
func (r *runner) measure(ctx context.Context, x Experiment, p plan) (Measurement, error) {
	name := fmt.Sprintf("%d sidecars, %d services, %d routes, seed %d", p.size, p.services, p.routes, p.seed)
	switch {
	case p.real:
		name += ", real"
	case p.alone:
		name += ", each in a process of its own"
	}
	say := func(text string) {
		r.progress(fmt.Sprintf("%6.1f s  %s: %s", time.Since(r.began).Seconds(), name, text))
	}
	watched, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go watchMemory(watched, cancel, int64(x.MemoryGiB*(1<<30)))
	say("starting")
	failed := Measurement{Size: p.size, Full: p.full, Services: p.services, Routes: p.routes, Seed: p.seed}
	f, err := newFleet(x, p, r.programs, r.program)
	defer f.close()
	if err != nil {
		return failed, err
	}
	say(fmt.Sprintf("started in %.1f s", f.startS))
	m, err := f.measure(watched, say)
	if cause := context.Cause(watched); err != nil && cause != nil {
		err = cause
	}
	return m, err
}

// compare measures real sidecars and as many hollow ones alike.
func (r *runner) compare(ctx context.Context) error {
	x := r.x
	x.HeartbeatS = comparePace
	x.ClaimsPerS = min(x.ClaimsPerS, mostRealClaims)
	p := r.plan(x.Compare, x.Compare, x.Seeds[0], []string{PhaseIdle, PhaseChanges, PhaseRestarts, PhaseClaims}) // claims last: real ones leave connections
	p.brief = true
	c := &Comparison{Count: x.Compare, Members: x.Registers}
	alone, real := p, p
	alone.alone, real.real = true, true
	var err error
	for _, of := range []struct {
		plan plan
		to   *Measurement
	}{{p, &c.Hollow}, {alone, &c.Alone}, {real, &c.Real}} {
		if *of.to, err = r.measure(ctx, x, of.plan); err != nil {
			return err
		}
	}
	r.results.Comparison = c
	return nil
}

// watchMemory ends a measurement when this process and its children hold more than most bytes.
func watchMemory(ctx context.Context, cancel context.CancelCauseFunc, most int64) {
	for sleep(ctx, watchEvery) {
		if held := familyMemory(os.Getpid()); held > most {
			cancel(fmt.Errorf("the processes of the run hold %d MiB of memory, more than the %d that memory_gib allows", held>>20, most>>20))
			return
		}
	}
}

// familyMemory is the resident memory of a process and its children, in bytes.
func familyMemory(pid int) (total int64) {
	if u, err := processUsage(pid); err == nil {
		total = u.Resident
	}
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, t := range tasks {
		text, _ := os.ReadFile(t)
		for _, child := range strings.Fields(string(text)) {
			if n, err := strconv.Atoi(child); err == nil {
				if u, err := processUsage(n); err == nil {
					total += u.Resident
				}
			}
		}
	}
	return total
}
