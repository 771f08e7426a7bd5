package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/sidecar"
)

const (
	serverSlots   = 8           // requests that a server takes at once, as its heartbeats say
	serverTimeout = time.Second // of one heartbeat
)

// fakeServer stands in for the application server beside a full sidecar: it sends heartbeats, answers health checks, drains, is
// replaced and crashes.
type fakeServer struct {
	sidecarAddress string // by which other sidecars know the one beside it
	controlAddress string // of that sidecar, for heartbeats
	address        string
	service        string
	zone           string
	client         *http.Client
	heartbeats     *atomic.Int64 // sent by all servers of a fleet
	interval       atomic.Int64  // of heartbeats, in nanoseconds
	running        sync.WaitGroup
	healthChecks   *http.Server
	stop           chan struct{}
	closeOnce      sync.Once

	mu       sync.Mutex // guards below
	node     string
	instance int   // number of the instance, which a restart increments
	sequence int64 // number of the instance's latest call
	draining bool
}

// start begins to answer health checks and to send heartbeats, until close.
func (s *fakeServer) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.instance = 1
	s.stop = make(chan struct{})
	s.healthChecks = &http.Server{Handler: http.HandlerFunc(s.answerHealthCheck), ReadHeaderTimeout: serverTimeout}
	s.running.Go(func() { _ = s.healthChecks.Serve(listener) }) // until close
	s.running.Go(func() {
		for {
			s.sendHeartbeat()
			select {
			case <-time.After(time.Duration(s.interval.Load())):
			case <-s.stop:
				return
			}
		}
	})
	return nil
}

// answerHealthCheck says which instance is up, unless it is draining.
func (s *fakeServer) answerHealthCheck(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Instance-Id", s.instanceID())
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// instanceID returns the ID of the current instance. The caller holds mu.
func (s *fakeServer) instanceID() string { return fmt.Sprintf("i-%s-%d", s.node, s.instance) }

// close ends the server without a word to its sidecar, as a crash does. It may be called again.
func (s *fakeServer) close() {
	s.closeOnce.Do(func() {
		close(s.stop)
		_ = s.healthChecks.Close() // it only fails to close its listener a second time
	})
}

// wait returns once a closed server sends nothing more.
func (s *fakeServer) wait() { s.running.Wait() }

// restart has the server drain and a new instance take its place, with one heartbeat each. It reports whether both were acknowledged.
func (s *fakeServer) restart() bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	acknowledged := s.sendHeartbeat()
	s.mu.Lock()
	s.instance++
	s.sequence = 0 // an instance numbers its calls from its start
	s.draining = false
	s.mu.Unlock()
	return s.sendHeartbeat() && acknowledged
}

// sendHeartbeat sends one heartbeat, and reports whether it was acknowledged.
func (s *fakeServer) sendHeartbeat() bool {
	instance, heartbeat := s.nextHeartbeat()
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return false
	}
	s.heartbeats.Add(1)
	url := "http://" + s.controlAddress + "/v1/endpoints/" + instance + "/heartbeat"
	response, err := s.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // so that the connection is used again; the status says all
	return response.StatusCode/100 == 2
}

// nextHeartbeat returns the heartbeat to send and the instance that it is of.
func (s *fakeServer) nextHeartbeat() (instance string, heartbeat sidecar.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return s.instanceID(), sidecar.Heartbeat{
		Address: s.address,
		SystemInfo: sidecar.SystemInfo{
			Service:       s.service,
			ConfigVersion: "v1",
			Zone:          s.zone,
			SlotCount:     serverSlots,
		},
		OperStatus: sidecar.OperationalStatus{State: state, CallSeq: s.sequence},
	}
}
