package sidecar

import (
	"net/http"
	"sync/atomic"
)

// readiness is how far the sidecar is between its start and its end. The zero value is that of the start.
type readiness struct {
	configured atomic.Bool // the configuration was confirmed by the control plane once
	stopping   atomic.Bool // the process ends
	draining   atomic.Bool // callers are sent elsewhere, for the machine is in maintenance
}

// isReady says whether callers should come.
func (r *readiness) isReady() bool {
	return r.configured.Load() && !r.stopping.Load() && !r.draining.Load()
}

// handler answers the readiness check of the platform.
func (r *readiness) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !r.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
