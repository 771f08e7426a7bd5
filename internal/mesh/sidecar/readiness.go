package sidecar

import (
	"net/http"
	"sync/atomic"
)

// readiness is the state that decides whether the sidecar is ready. The zero value is that of its start.
type readiness struct {
	configured atomic.Bool // the configuration was confirmed by the control plane once
	stopping   atomic.Bool // the process ends
	draining   atomic.Bool // callers have to use other machines, because this one is in maintenance
}

// isReady reports whether callers should send requests here.
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
