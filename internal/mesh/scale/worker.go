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
	"sync"
	"time"

	"sigs.k8s.io/yaml"

	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/sidecar"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	observeInterval  = 5 * time.Millisecond // the resolution of what is observed
	gcPercent        = 50                   // as package daemon sets it
	settingsInterval = time.Second          // as package daemon polls its settings file
)

// measuredSidecar is a hollow sidecar or an announcer.
type measuredSidecar interface {
	Run(ctx context.Context)
	Confirmed() bool
	RouteVersion(name string) int64
}

var (
	_ measuredSidecar = (*sidecar.Hollow)(nil)
	_ measuredSidecar = (*announcer)(nil)
)

// worker runs many sidecars in one process. Its methods run on the goroutine of ServeWorker.
type worker struct {
	kind     string
	ctx      context.Context // of the sidecars
	sidecars []measuredSidecar
	running  sync.WaitGroup
	observer *observer // nil if nothing is observed
	dir      string    // of settings files; empty if there are none yet
}

// ServeWorker answers requests until in ends, and then ends all its sidecars.
func ServeWorker(kind string, in io.Reader, out io.Writer) error {
	if kind != workerFull && kind != workerAnnounce {
		return fmt.Errorf("no worker of kind %q", kind)
	}
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	w := &worker{kind: kind, ctx: ctx}
	defer w.removeSettings()
	defer cancel()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	responses := json.NewEncoder(out)
	for lines.Scan() {
		var q request
		if err := json.Unmarshal(lines.Bytes(), &q); err != nil {
			return err
		}
		if err := responses.Encode(w.handle(q)); err != nil {
			return err
		}
	}
	return lines.Err()
}

// removeSettings removes the settings files. It does not wait for the sidecars, whose process is about to end.
func (w *worker) removeSettings() {
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// handle carries out one request.
func (w *worker) handle(q request) (r response) {
	switch {
	case q.Start != nil:
		if err := w.start(q.Start.Sidecars); err != nil {
			r.Err = err.Error()
		}
	case q.Await != nil:
		r.Await = w.await(*q.Await)
	case q.Observe != nil:
		r.Observe = w.observe(*q.Observe)
	case q.Lease != nil:
		r.Lease = w.leaseKeys(*q.Lease)
	case q.Account != nil:
		r.Account = w.account(q.Account.Collect)
	}
	return r
}

// start starts sidecars. They run until the worker ends.
func (w *worker) start(all []settings.Settings) error {
	for _, set := range all {
		s, err := w.newSidecar(set)
		if err != nil {
			return err
		}
		w.sidecars = append(w.sidecars, s)
		w.running.Go(func() { s.Run(w.ctx) })
	}
	return nil
}

// newSidecar returns a sidecar of the worker's kind.
func (w *worker) newSidecar(set settings.Settings) (measuredSidecar, error) {
	if w.kind == workerAnnounce {
		return newAnnouncer(set), nil
	}
	if err := w.pollSettings(set); err != nil {
		return nil, err
	}
	log, ring := logring.New(io.Discard, set.NodeName) // the ring costs memory in the program as well; nothing is written out
	return sidecar.NewHollow(set, log, ring)
}

// pollSettings writes a sidecar's settings file and reads it again and again, as the program does to find changes. Nothing changes the
// file; the work is part of what a sidecar costs.
func (w *worker) pollSettings(set settings.Settings) error {
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
		for sleep(w.ctx, settingsInterval) {
			_, _ = settings.Load(path) // only its cost counts
		}
	})
	return nil
}

// full returns the full sidecars.
func (w *worker) full() (all []*sidecar.Hollow) {
	for _, s := range w.sidecars {
		if hollow, ok := s.(*sidecar.Hollow); ok {
			all = append(all, hollow)
		}
	}
	return all
}

// await waits until the sidecars have reached a state, or the request's time is over.
func (w *worker) await(q awaitRequest) *awaitResponse {
	deadline := time.Now().Add(seconds(q.TimeoutS))
	for {
		r := w.progress(q)
		r.At = time.Now().UnixNano()
		if r.Reached || time.Now().After(deadline) {
			return r
		}
		time.Sleep(observeInterval)
	}
}

// progress returns how far the sidecars are with what is awaited.
func (w *worker) progress(q awaitRequest) *awaitResponse {
	r := &awaitResponse{Reached: true, FewestKnown: -1}
	for _, s := range w.sidecars {
		if s.Confirmed() {
			r.Confirmed++
		} else {
			r.Reached = false
		}
	}
	for _, hollow := range w.full() {
		known := hollow.KnownSidecars()
		if r.FewestKnown < 0 || known < r.FewestKnown {
			r.FewestKnown = known
		}
		if known < q.Known || hollow.ItemCount() < q.Items {
			r.Reached = false
		}
	}
	return r
}

// account returns the traffic of all sidecars, and with collect the memory that they use after a garbage collection.
func (w *worker) account(collect bool) *account {
	a := &account{
		Sent:       bytesByType(transport.SentTraffic()),
		Received:   bytesByType(transport.ReceivedTraffic()),
		Goroutines: runtime.NumGoroutine(),
	}
	if collect {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		a.Heap = int64(memory.HeapAlloc + memory.StackInuse)
	}
	return a
}

// bytesByType returns the bytes of counters by type of message.
func bytesByType(counters []*wire.TrafficCounterT) map[string]int64 {
	bytes := map[string]int64{}
	for _, counter := range counters {
		bytes[counter.MessageType] = counter.Bytes
	}
	return bytes
}
