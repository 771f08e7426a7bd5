package sidecar

import (
	"net/http"
	"sync/atomic"
)

// readiness determines whether the sidecar is ready. The zero value is not ready.
type readiness struct {
	configured atomic.Bool // the control plane has confirmed the configuration at least once
	stopping   atomic.Bool // the process is shutting down
	draining   atomic.Bool // this machine is in maintenance, so callers have to use other machines
}

// isReady reports whether callers should send requests here.
func (r *readiness) isReady() bool {
	return r.configured.Load() && !r.stopping.Load() && !r.draining.Load()
}

// handler returns the HTTP handler for the platform's readiness checks.
func (r *readiness) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !r.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
