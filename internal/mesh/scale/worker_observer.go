package scale

import (
	"slices"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/sidecar"
)

// observer looks again and again at which version of a route all sidecars have, or whether all know the state of a server. Its goroutine
// runs from startObserver until end.
type observer struct {
	target  observeRequest
	stop    chan struct{}
	stopped chan struct{}

	serverReachedAt atomic.Int64    // when the last sidecar knew the server's state, in Unix nanoseconds; 0 if it does not yet
	latestVersion   atomic.Int64    // that all sidecars have
	versions        map[int64]int64 // see observeResponse.Versions; only read once stopped is closed
}

// startObserver starts an observation of sidecars, which must not change meanwhile.
func startObserver(target observeRequest, sidecars []measuredSidecar) *observer {
	o := &observer{
		target:   target,
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
		versions: map[int64]int64{},
	}
	go func() {
		defer close(o.stopped)
		o.run(sidecars)
	}()
	return o
}

// progress returns how far the sidecars are.
func (o *observer) progress() *observeResponse {
	return &observeResponse{Reached: o.serverReachedAt.Load(), Latest: o.latestVersion.Load()}
}

// end ends the observation and returns what it saw.
func (o *observer) end() *observeResponse {
	close(o.stop)
	<-o.stopped
	seen := o.progress()
	seen.Versions = o.versions
	return seen
}

// run looks at the sidecars at each observeInterval, until stop is closed.
func (o *observer) run(sidecars []measuredSidecar) {
	latest := oldestVersion(sidecars, o.target.Route)
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-o.stop:
			return
		}
		now := time.Now().UnixNano()
		if o.target.Route != "" {
			for version := oldestVersion(sidecars, o.target.Route); latest < version; {
				latest++
				o.versions[latest] = now
			}
			o.latestVersion.Store(latest)
		}
		if o.target.Server != "" && o.serverReachedAt.Load() == 0 && o.serverReached(sidecars) {
			o.serverReachedAt.Store(now)
		}
	}
}

// oldestVersion returns the lowest version of a route that any sidecar has in force.
func oldestVersion(sidecars []measuredSidecar, route string) (oldest int64) {
	for i, s := range sidecars {
		if version := s.RouteVersion(route); i == 0 || version < oldest {
			oldest = version
		}
	}
	return oldest
}

// serverReached reports whether all full sidecars know the state of the server that is awaited.
func (o *observer) serverReached(sidecars []measuredSidecar) bool {
	return !slices.ContainsFunc(sidecars, func(s measuredSidecar) bool {
		hollow, full := s.(*sidecar.Hollow)
		return full && hollow.ServerState(o.target.Server) != o.target.State
	})
}

// observe begins an observation, looks at the one that runs, or ends it.
func (w *worker) observe(q observeRequest) *observeResponse {
	switch {
	case q.Look && w.observer != nil:
		return w.observer.progress()
	case !q.End:
		w.observer = startObserver(q, slices.Clone(w.sidecars))
		return &observeResponse{}
	case w.observer == nil:
		return &observeResponse{}
	}
	seen := w.observer.end()
	w.observer = nil
	return seen
}
