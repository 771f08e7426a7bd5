package sidecar

import (
	"context"
	"net/http"
	"time"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
)

const (
	// maxLocalCallBytes bounds the body of a call, and localCallTimeout the time to read and answer it.
	maxLocalCallBytes = 16 << 10
	localCallTimeout  = time.Second
)

// stateDraining is the State of a server that is about to leave. Every other value counts as ready.
const stateDraining = "draining"

// Heartbeat is the body of the call that a server makes to the sidecar beside it. A server makes one at each interval
// that the settings give (HeartbeatS).
type Heartbeat struct {
	Address    string            `json:"Address"` // host:port at which the server accepts requests
	SystemInfo SystemInfo        `json:"SystemInfo"`
	OperStatus OperationalStatus `json:"OperStatus"`
}

// SystemInfo describes a server.
type SystemInfo struct {
	Service       string `json:"Service"`
	ConfigVersion string `json:"ConfigVersion"`
	Zone          string `json:"Zone"`
	SlotCount     int    `json:"SlotCount"` // number of requests that it can run concurrently
}

// OperationalStatus is the current state of a server.
type OperationalStatus struct {
	State       string         `json:"State"`       // stateDraining if the server is about to leave
	CallSeq     int64          `json:"CallSeq"`     // increases with each call; a call with a lower number was overtaken
	WarmupLeftS config.Seconds `json:"WarmupLeftS"` // seconds until the server can take its full share of requests
}

// handler returns the HTTP handler for calls of the local server.
func (s *localServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/endpoints/{id}/heartbeat", api.NewHandler(maxLocalCallBytes, localCallTimeout,
		func(_ context.Context, r *http.Request, heartbeat Heartbeat) (api.Empty, error) {
			return api.Empty{}, s.heartbeat(r.PathValue("id"), heartbeat) //nolint:contextcheck // the change outlasts the call
		}))
	mux.HandleFunc("POST /v1/endpoints/{id}/deregister", api.NewHandler(maxLocalCallBytes, localCallTimeout,
		func(_ context.Context, r *http.Request, _ api.Empty) (api.Empty, error) {
			s.deregister(r.PathValue("id")) //nolint:contextcheck // the change outlasts the call
			return api.Empty{}, nil
		}))
	return mux
}
