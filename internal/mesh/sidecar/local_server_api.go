package sidecar

import (
	"context"
	"net/http"
	"time"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
)

const (
	// maxLocalCallBytes bounds the body of a call, and localCallTimeout the time that reading and answering it may take.
	maxLocalCallBytes = 16 << 10
	localCallTimeout  = time.Second
)

// stateDraining is the state of a server that is about to leave. Every other state counts as ready.
const stateDraining = "draining"

// Heartbeat is the body of the call that a server makes to the sidecar beside it, once at each interval of the settings
// (HeartbeatS).
type Heartbeat struct {
	Address    string            `json:"Address"` // host:port, where it takes requests
	SystemInfo SystemInfo        `json:"SystemInfo"`
	OperStatus OperationalStatus `json:"OperStatus"`
}

// SystemInfo is what a server is.
type SystemInfo struct {
	Service       string `json:"Service"`
	ConfigVersion string `json:"ConfigVersion"`
	Zone          string `json:"Zone"`
	SlotCount     int    `json:"SlotCount"` // requests that it runs at once
}

// OperationalStatus is the state of a server.
type OperationalStatus struct {
	State       string         `json:"State"`       // stateDraining if the server is about to leave
	CallSeq     int64          `json:"CallSeq"`     // rises with each call; a call with a lower one was overtaken
	WarmupLeftS config.Seconds `json:"WarmupLeftS"` // until the server takes its full share
}

// handler serves the calls of the local server.
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
