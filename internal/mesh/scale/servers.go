package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/sidecar"
)

const (
	serverSlots   = 8 // calls that a server takes at once, as its heartbeats say
	serverTimeout = time.Second
)

// server stands in for an application server beside a full sidecar: it sends heartbeats, drains, is replaced and crashes.
type server struct {
	sidecar                         string // by which address other sidecars know the one beside it
	control, address, service, zone string
	client                          *http.Client
	beats                           *atomic.Int64 // of all servers
	period                          atomic.Int64  // ns
	stop                            chan struct{}
	once                            sync.Once // of close

	mu    sync.Mutex // guards below
	node  string
	life  int
	seq   int64
	state string
}

// start has it send heartbeats until close.
func (s *server) start() {
	s.life, s.state, s.stop = 1, "ready", make(chan struct{})
	go func() {
		for {
			s.beat()
			select {
			case <-time.After(time.Duration(s.period.Load())):
			case <-s.stop:
				return
			}
		}
	}()
}

// close ends it at once: it says nothing. It may be called again.
func (s *server) close() { s.once.Do(func() { close(s.stop) }) }

// restart has it drain and a new instance take its place, with one heartbeat each.
func (s *server) restart() bool {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	ok := s.beat()
	s.mu.Lock()
	s.life++
	s.state = "ready"
	s.mu.Unlock()
	return s.beat() && ok
}

// beat sends one heartbeat; true: it was acknowledged.
func (s *server) beat() bool {
	s.mu.Lock()
	s.seq++
	instance := fmt.Sprintf("i-%s-%d", s.node, s.life)
	b := sidecar.Heartbeat{
		Address: s.address, SystemInfo: sidecar.SystemInfo{Service: s.service, ConfigVersion: "v1", Zone: s.zone, SlotCount: serverSlots},
		OperStatus: sidecar.OperationalStatus{State: s.state, CallSeq: s.seq},
	}
	s.mu.Unlock()
	body, err := json.Marshal(b)
	if err != nil {
		return false
	}
	s.beats.Add(1)
	resp, err := s.client.Post("http://"+s.control+"/v1/endpoints/"+instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}
