package stand2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ServerConfig says how a Server works.
type ServerConfig struct {
	Slots, Queue int
	Work         time.Duration // of each run
	AnswerBytes  int           // of each answer's body
}

// Server is a stand-in for an application server: it sends heartbeats to the sidecar on its machine, works on Slots requests at once and
// queues a few more, answers with a seal, and records what it runs.
type Server struct {
	config   ServerConfig
	record   *Record
	machine  *Machine
	instance string
	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	callSeq  atomic.Int64
	stop     chan struct{}

	mu   sync.Mutex // guards runs
	runs map[string]*Run
}

// Run is what a server knows of a request that it began to work on.
type Run struct {
	Began, Answered time.Time // Answered is zero unless the whole answer was written
	Times           int       // how often it ran here
}

// StartServer starts the server on a sidecar's machine.
func StartServer(m *Machine, config ServerConfig, record *Record) (*Server, error) {
	s := &Server{
		config: config, record: record, machine: m, instance: "i-" + m.Name, slots: make(chan struct{}, config.Slots),
		stop: make(chan struct{}), runs: map[string]*Run{},
	}
	listener, err := net.Listen("tcp", m.Addr(App))
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	go s.beat()
	return s, nil
}

// Close ends the server.
func (s *Server) Close() {
	close(s.stop)
	s.server.Close()
}

// Run returns what the server knows of a request, and whether it ran it at all.
func (s *Server) Run(id string) (run Run, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[id]; r != nil {
		return *r, true
	}
	return Run{}, false
}

// beat sends heartbeats.
func (s *Server) beat() {
	ticker := time.NewTicker(time.Duration(HeartbeatS * float64(time.Second)))
	defer ticker.Stop()
	for {
		s.heartbeat()
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}

// heartbeat sends one heartbeat.
func (s *Server) heartbeat() {
	body, err := json.Marshal(map[string]any{
		"Address":    s.machine.Addr(App),
		"SystemInfo": map[string]any{"Service": s.machine.Service, "ConfigVersion": "v1", "Zone": s.machine.Zone(), "SlotCount": s.config.Slots},
		"OperStatus": map[string]any{"State": "ready", "CallSeq": s.callSeq.Add(1), "WarmupLeftS": 0},
	})
	if err != nil {
		return
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + s.machine.Addr(ControlPlane) + "/v1/endpoints/" + s.instance + "/heartbeat"
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err == nil { // the next one follows
		response.Body.Close()
	}
}

// ServeHTTP answers a health check, turns a request away, or runs it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.instance)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || s.waiting.Add(1) > int64(s.config.Slots+s.config.Queue) {
		if id != "" {
			s.waiting.Add(-1)
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.run(w, r, id)
}

// run runs a request.
func (s *Server) run(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	run := s.runs[id]
	if run == nil {
		run = &Run{Began: time.Now()}
		s.runs[id] = run
	}
	run.Times++
	s.mu.Unlock()
	s.record.Add("server %s runs %s", s.instance, id)
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.config.Work)
	body := Body(id, s.config.AnswerBytes)
	w.Header().Set("Server-Seal", Seal(id, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		s.record.Add("server %s can't answer %s: %v", s.instance, id, err)
		return
	}
	s.mu.Lock()
	run.Answered = time.Now()
	s.mu.Unlock()
	s.record.Add("server %s has answered %s", s.instance, id)
}

// Body returns the body with which servers answer a request.
func Body(id string, size int) []byte {
	return []byte(strings.Repeat(id+" ", size/(len(id)+1)+1)[:size])
}

// Seal returns the seal of an answer.
func Seal(id string, body []byte) string {
	return fmt.Sprintf("%s.%d.%08x", id, len(body), crc32.ChecksumIEEE(body))
}
