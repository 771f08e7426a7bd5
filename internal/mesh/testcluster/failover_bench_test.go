package testcluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/internal/testfleet"
)

// failoverTrialsEnv is the environment variable with the number of trials of each fault in BenchmarkFailover.
const failoverTrialsEnv = "FAILOVER_TRIALS"

const (
	defaultTrials  = 5
	probeInterval  = 10 * time.Millisecond // between probes of one kind at one machine
	powerOffTime   = 2 * time.Second       // that all control-plane members stay down
	recoverTimeout = 15 * time.Second
)

// BenchmarkFailover measures, with real processes, the time from a fault of the control plane's leader to the next keyed
// request that is granted and run, and to the next change that is acknowledged. The faults: the leader is killed; it is
// frozen; all members are killed and started again after two seconds (counted from that start).
func BenchmarkFailover(b *testing.B) {
	trials := defaultTrials
	if n, err := strconv.Atoi(os.Getenv(failoverTrialsEnv)); err == nil && n > 0 {
		trials = n
	}
	for _, fault := range []struct {
		name  string
		bring func(m *Cluster, leader *Machine) (at time.Time, undo func() error)
	}{
		{"kill", killLeader}, {"freeze", freezeLeader}, {"power", restartAll},
	} {
		b.Run(fault.name, func(b *testing.B) {
			m := startConfigured(b, "stock", "stock", "orders")
			f := newFailover(m)
			disk := startDiskProbe(b.TempDir())
			defer disk.report(b)
			for range trials {
				if err := f.trial(fault.bring); err != nil {
					b.Fatal(err)
				}
			}
			f.report(b)
		})
	}
}

func killLeader(_ *Cluster, leader *Machine) (time.Time, func() error) {
	at := time.Now()
	leader.Kill()
	return at, leader.Start
}

func freezeLeader(_ *Cluster, leader *Machine) (time.Time, func() error) {
	at := time.Now()
	leader.Process.Pause()
	return at, func() error { leader.Process.Resume(); return nil }
}

// restartAll kills all members together and starts them again after a while. The measured time begins with that start.
func restartAll(m *Cluster, _ *Machine) (time.Time, func() error) {
	var all sync.WaitGroup
	for _, x := range m.Members {
		all.Go(x.Kill)
	}
	all.Wait()
	time.Sleep(powerOffTime)
	at := time.Now()
	for _, x := range m.Members {
		all.Go(func() { x.Start() })
	}
	all.Wait()
	return at, func() error { return nil }
}

// failoverBench runs trials on one mesh and records the measured times.
type failoverBench struct {
	cluster   *Cluster
	keys      atomic.Int64
	version   atomic.Int64
	refused   int
	asked     int
	durations map[string][]time.Duration // by what ended
}

func newFailover(m *Cluster) *failoverBench {
	f := &failoverBench{cluster: m, durations: map[string][]time.Duration{}}
	f.version.Store(1)
	return f
}

// outcome is a probe's beginning and end, on the monotonic clock.
type outcome struct {
	began, ended time.Time
	succeeded    bool
}

// trial injects the fault while probes run, and records how long each kind of probe had no success.
func (f *failoverBench) trial(bring func(*Cluster, *Machine) (time.Time, func() error)) error {
	leader := f.cluster.awaitSettled(recoverTimeout)
	if leader == nil {
		return fmt.Errorf("the mesh does not settle in %v", recoverTimeout)
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	defer all.Wait()
	grants, changes := f.startProbes(&all, stop)
	time.Sleep(3 * probeInterval)
	at, undo := bring(f.cluster, leader)
	recovered := testfleet.Await(recoverTimeout, func() bool {
		for _, p := range grants {
			if _, succeeded := p.firstSuccessAfter(at); !succeeded {
				return false
			}
		}
		_, succeeded := earliestSuccess(changes, at)
		return succeeded
	})
	close(stop)
	if !recovered {
		return fmt.Errorf("nothing is granted or acknowledged %v after the fault", recoverTimeout)
	}
	f.record(at, grants, changes)
	return undo()
}

// startProbes sends keyed requests through two sidecars, and changes to all members.
func (f *failoverBench) startProbes(all *sync.WaitGroup, stop <-chan struct{}) (grants, changes []*probe) {
	for _, x := range f.cluster.Sidecars[:2] {
		grants = append(grants, startProbe(all, stop, func() bool {
			return x.Send("POST", "/send/x", fmt.Sprint("failover-", f.keys.Add(1)), nil).Status == 200
		}))
	}
	for i, x := range f.cluster.Members {
		changes = append(changes, startProbe(all, stop, func() bool {
			version := int(f.version.Add(1))
			name := fmt.Sprint("failover", i)
			status, _ := x.Modify(ModifyCall(version, nil, RouteItem(name, "idempotent", "/"+name+"/", "stock", version)))
			return status == 200
		}))
	}
	return grants, changes
}

// record records the times of a trial.
func (f *failoverBench) record(at time.Time, grants, changes []*probe) {
	first, _ := earliestSuccess(grants, at)
	f.add("grant", first.Sub(at))
	var last time.Time
	for _, p := range grants {
		x, _ := p.firstSuccessAfter(at)
		if x.After(last) {
			last = x
		}
		asked, refused := p.counts(at)
		f.asked, f.refused = f.asked+asked, f.refused+refused
	}
	f.add("grant-all-sidecars", last.Sub(at))
	change, _ := earliestSuccess(changes, at)
	f.add("change", change.Sub(at))
	if elected, is := f.firstLogged(at, "leader changed", func(l logLine) bool { return l.Leader != 0 }); is {
		f.add("new-leader", elected.Sub(at))
	}
	if found, is := f.firstLogged(at, "items confirmed", func(logLine) bool { return true }); is {
		f.add("sidecar-confirmed", found.Sub(at))
	}
}

func (f *failoverBench) add(name string, d time.Duration) {
	f.durations[name] = append(f.durations[name], d)
}

// logLine is a line of a process's log.
type logLine struct {
	Time    int64  `json:"time"` // Unix ms
	Message string `json:"message"`
	Leader  uint64 `json:"leader_id"`
}

// firstLogged returns the earliest log line of any process with a message since a time.
func (f *failoverBench) firstLogged(since time.Time, message string, is func(logLine) bool) (first time.Time, found bool) {
	for _, x := range append(slices.Clone(f.cluster.Members), f.cluster.Sidecars...) {
		if x.Process == nil {
			continue
		}
		for _, text := range strings.Split(x.Process.Tail(), "\n") {
			var l logLine
			if json.Unmarshal([]byte(text), &l) != nil || l.Message != message || !is(l) {
				continue
			}
			t := time.UnixMilli(l.Time)
			if t.After(since) && (!found || t.Before(first)) {
				first, found = t, true
			}
		}
	}
	return first, found
}

// report reports the median and the 99th percentile of each time, in milliseconds.
func (f *failoverBench) report(b *testing.B) {
	for name, spans := range f.durations {
		slices.Sort(spans)
		b.ReportMetric(milliseconds(spans[len(spans)/2]), name+"-p50-ms")
		b.ReportMetric(milliseconds(spans[len(spans)*99/100]), name+"-p99-ms")
	}
	b.ReportMetric(float64(f.refused)/float64(max(1, f.asked)), "refused-share")
	b.ReportMetric(float64(len(f.durations["grant"])), "trials")
	b.ReportMetric(0, "ns/op")
}

// diskProbe syncs a small file repeatedly during the trials. A member can't grant a lease before its disk has synced it, so this shows
// whether a stall is caused by the machine's disk or by the mesh.
type diskProbe struct {
	stop chan struct{}
	all  sync.WaitGroup
	took []time.Duration
}

const diskSyncInterval = 20 * time.Millisecond

func startDiskProbe(dir string) *diskProbe {
	d := &diskProbe{stop: make(chan struct{})}
	d.all.Go(func() {
		file, err := os.Create(filepath.Join(dir, "sync"))
		if err != nil {
			return
		}
		defer file.Close()
		for {
			select {
			case <-d.stop:
				return
			case <-time.After(diskSyncInterval):
			}
			began := time.Now()
			file.WriteAt([]byte(began.String()), 0)
			if file.Sync() == nil {
				d.took = append(d.took, time.Since(began))
			}
		}
	})
	return d
}

func (d *diskProbe) report(b *testing.B) {
	close(d.stop)
	d.all.Wait()
	if len(d.took) == 0 {
		return
	}
	slices.Sort(d.took)
	b.ReportMetric(milliseconds(d.took[len(d.took)/2]), "disk-sync-p50-ms")
	b.ReportMetric(milliseconds(d.took[len(d.took)*99/100]), "disk-sync-p99-ms")
	b.ReportMetric(milliseconds(d.took[len(d.took)-1]), "disk-sync-most-ms")
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// probe repeats one operation, open loop.
type probe struct {
	mu       sync.Mutex // guards outcomes
	outcomes []outcome
}

func startProbe(all *sync.WaitGroup, stop <-chan struct{}, try func() bool) *probe {
	p := &probe{}
	all.Go(func() {
		tick := time.NewTicker(probeInterval)
		defer tick.Stop()
		for {
			all.Go(func() {
				began := time.Now()
				done := try()
				p.mu.Lock()
				defer p.mu.Unlock()
				p.outcomes = append(p.outcomes, outcome{began, time.Now(), done})
			})
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	})
	return p
}

// firstSuccessAfter returns the end of the first successful try that began after a time.
func (p *probe) firstSuccessAfter(at time.Time) (first time.Time, is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.outcomes {
		if o.succeeded && o.began.After(at) && (!is || o.ended.Before(first)) {
			first, is = o.ended, true
		}
	}
	return first, is
}

// counts returns the number of tries that began since a time and have ended, and how many of them failed.
func (p *probe) counts(at time.Time) (asked, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.outcomes {
		if o.began.Before(at) {
			continue
		}
		if asked++; !o.succeeded {
			refused++
		}
	}
	return asked, refused
}

func earliestSuccess(l []*probe, at time.Time) (first time.Time, is bool) {
	for _, p := range l {
		if t, ok := p.firstSuccessAfter(at); ok && (!is || t.Before(first)) {
			first, is = t, true
		}
	}
	return first, is
}
