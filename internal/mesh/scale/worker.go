package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sigs.k8s.io/yaml"

	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/sidecar"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	observeEvery  = 5 * time.Millisecond // the resolution of what is observed
	longestLine   = 64 << 20             // bytes of a request to a worker
	gcPercent     = 50                   // as the programs set it
	settingsEvery = time.Second          // the programs look for changes of their settings
)

// hollowSidecar is a hollow sidecar or an announcer.
type hollowSidecar interface {
	Run(ctx context.Context)
	Confirmed() bool
	RouteVersion(name string) int64
}

// Worker runs many sidecars in one process, as it is told. Its methods run on the goroutine of Serve, but for the observer.
type Worker struct {
	kind     string
	ctx      context.Context
	sidecars []hollowSidecar
	running  sync.WaitGroup
	observer *observer
	dir      string // of settings files; empty: there are none yet
}

// ServeWorker runs a worker until in ends: then all its sidecars end.
func ServeWorker(kind string, in io.Reader, out io.Writer) error {
	if kind != workerFull && kind != workerAnnounce {
		return fmt.Errorf("no worker of kind %q", kind)
	}
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &Worker{kind: kind, ctx: ctx}
	defer func() {
		if w.dir != "" {
			os.RemoveAll(w.dir)
		}
	}()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	answers := json.NewEncoder(out)
	for lines.Scan() {
		var q request
		if err := json.Unmarshal(lines.Bytes(), &q); err != nil {
			return err
		}
		if err := answers.Encode(w.answer(q)); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (w *Worker) answer(q request) (r response) {
	switch {
	case q.Start != nil:
		if err := w.start(q.Start.Sidecars); err != nil {
			r.Err = err.Error()
		}
	case q.Await != nil:
		r.Await = w.await(*q.Await)
	case q.Observe != nil:
		r.Observe = w.observe(*q.Observe)
	case q.Claim != nil:
		r.Claim = w.claim(*q.Claim)
	case q.Account != nil:
		r.Account = w.account(q.Account.Collect)
	}
	return r
}

func (w *Worker) start(l []settings.Settings) error {
	for _, set := range l {
		s, err := w.newSidecar(set)
		if err != nil {
			return err
		}
		w.sidecars = append(w.sidecars, s)
		w.running.Go(func() { s.Run(w.ctx) })
	}
	return nil
}

func (w *Worker) newSidecar(set settings.Settings) (hollowSidecar, error) {
	if w.kind == workerAnnounce {
		return newAnnouncer(set), nil
	}
	if err := w.watchSettings(set); err != nil {
		return nil, err
	}
	log, ring := logring.New(io.Discard, set.NodeName) // a log is kept, as in the program, and nothing is written out
	return sidecar.NewHollow(set, log, ring)
}

// watchSettings writes a sidecar's settings file and reads it again and again, as the program does: it looks for changes.
func (w *Worker) watchSettings(set settings.Settings) error {
	if w.dir == "" {
		dir, err := os.MkdirTemp("", "meshscale-worker")
		if err != nil {
			return err
		}
		w.dir = dir
	}
	path := filepath.Join(w.dir, set.NodeName+".yaml")
	text, err := yaml.Marshal(set)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	w.running.Go(func() {
		for sleep(w.ctx, settingsEvery) {
			settings.Load(path) // nothing changes it: what counts is the work
		}
	})
	return nil
}

func (w *Worker) full() (l []*sidecar.Hollow) {
	for _, s := range w.sidecars {
		if h, is := s.(*sidecar.Hollow); is {
			l = append(l, h)
		}
	}
	return l
}

func (w *Worker) await(q awaitRequest) *awaited {
	deadline := time.Now().Add(seconds(q.TimeoutS))
	for {
		a := w.progress(q)
		a.At = time.Now().UnixNano()
		if a.Reached || time.Now().After(deadline) {
			return a
		}
		time.Sleep(observeEvery)
	}
}

// progress is how far the sidecars are with what is awaited.
func (w *Worker) progress(q awaitRequest) *awaited {
	a := &awaited{Reached: true, FewestKnown: -1}
	for _, s := range w.sidecars {
		if s.Confirmed() {
			a.Confirmed++
		} else {
			a.Reached = false
		}
	}
	for _, h := range w.full() {
		if n := h.KnownSidecars(); a.FewestKnown < 0 || n < a.FewestKnown {
			a.FewestKnown = n
		}
		if h.KnownSidecars() < q.Known || h.ItemCount() < q.Items {
			a.Reached = false
		}
	}
	return a
}

// observer looks at all sidecars again and again.
type observer struct {
	of   observeRequest
	done chan struct{}
	over chan struct{}
	// reached is when the last sidecar knew the server's state, in Unix nanoseconds
	reached atomic.Int64
	latest  atomic.Int64 // version that all sidecars have
	seen    observed     // read once the observation is over
}

func (w *Worker) observe(q observeRequest) *observed {
	if q.Look && w.observer != nil {
		return &observed{Reached: w.observer.reached.Load(), Latest: w.observer.latest.Load()}
	}
	if !q.End {
		o := &observer{of: q, done: make(chan struct{}), over: make(chan struct{}), seen: observed{Versions: map[int64]int64{}}}
		w.observer = o
		go o.run(slices.Clone(w.sidecars))
		return &observed{}
	}
	o := w.observer
	if o == nil {
		return &observed{}
	}
	w.observer = nil
	close(o.done)
	<-o.over
	o.seen.Reached, o.seen.Latest = o.reached.Load(), o.latest.Load()
	return &o.seen
}

func (o *observer) run(l []hollowSidecar) {
	defer close(o.over)
	last := fewestVersion(l, o.of.Route)
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-o.done:
			return
		}
		now := time.Now().UnixNano()
		if o.of.Route != "" {
			for v := fewestVersion(l, o.of.Route); last < v; {
				last++
				o.seen.Versions[last] = now
			}
			o.latest.Store(last)
		}
		if o.of.Server != "" && o.reached.Load() == 0 && o.allSee(l) {
			o.reached.Store(now)
		}
	}
}

// fewestVersion is the least version of a route that any has in force.
func fewestVersion(l []hollowSidecar, route string) (least int64) {
	for i, s := range l {
		if v := s.RouteVersion(route); i == 0 || v < least {
			least = v
		}
	}
	return least
}

func (o *observer) allSee(l []hollowSidecar) bool {
	for _, s := range l {
		if h, is := s.(*sidecar.Hollow); is && h.ServerState(o.of.Server) != o.of.State {
			return false
		}
	}
	return true
}

// claim claims keys at an even pace, whatever becomes of those before.
func (w *Worker) claim(q claimRequest) *claimOutcome {
	var mu sync.Mutex // guards delays
	var delays []time.Duration
	var failed atomic.Int64
	var all sync.WaitGroup
	l := w.full()
	began := time.Now()
	total := int(q.PerSecond * q.Seconds)
	for n := range total {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / q.PerSecond * float64(time.Second)))))
		all.Go(func() {
			at := time.Now()
			granted, err := l[n%len(l)].Claim(w.ctx, fmt.Sprintf("%s-%d", q.Prefix, n))
			if err != nil || !granted {
				failed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			delays = append(delays, time.Since(at))
		})
	}
	started := time.Since(began)
	all.Wait()
	return &claimOutcome{Granted: len(delays), Failed: int(failed.Load()), Delays: quantiles(delays), StartedS: started.Seconds()}
}

func (w *Worker) account(collect bool) *account {
	a := &account{Said: byPurpose(transport.SentTraffic()), Heard: byPurpose(transport.ReceivedTraffic()), Goroutines: runtime.NumGoroutine()}
	if collect {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		a.Heap = int64(m.HeapAlloc + m.StackInuse)
	}
	return a
}

func byPurpose(l []*wire.TrafficCounterT) map[string]int64 {
	m := map[string]int64{}
	for _, s := range l {
		m[s.MessageType] = s.Bytes
	}
	return m
}
