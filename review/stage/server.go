package stage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is an application server beside a sidecar. It follows PROTOCOL.md, except where a script sets Run.
type Server struct {
	Service, Instance string
	// Work is how long a request runs.
	Work time.Duration
	// Run answers a request that is for this server; nil stands for RunWhole. It returns whether the connection is kept. It is set before
	// Start.
	Run func(*Exchange) (keep bool)

	record    *Record
	listener  net.Listener
	callAddr  string // of its sidecar
	seals     atomic.Int64
	callSeq   atomic.Int64
	leaving   atomic.Bool
	stopBeats chan struct{}
	zone      string
	slotInUse atomic.Int64

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// Exchange is one request on a connection of a server.
type Exchange struct {
	Server  *Server
	Conn    net.Conn
	Request *http.Request
	Attempt string
	Key     string
}

const (
	serverSlots = 12
	queuedCalls = 48
)

// NewServer returns the server of a sidecar's machine.
func NewServer(x *Machine, instance string) *Server {
	return &Server{
		Service: x.Service, Instance: instance, Work: 20 * time.Millisecond,
		record: x.mesh.Record, callAddr: x.ControlPlane(), stopBeats: make(chan struct{}), zone: x.settings["Zone"].(string),
		conns: map[net.Conn]bool{},
	}
}

// Start listens at addr and sends heartbeats until Leave.
func (s *Server) Start(addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s.listener = listener
	s.record.Note(s.Instance, "starts at %s", addr)
	go s.accept()
	go s.beatRegularly(addr)
	return nil
}

// Leave sends the deregister call before any other notice, and returns whether it was acknowledged. From then on the server sends no
// heartbeats and fails health checks, but serves on until End.
func (s *Server) Leave() (acknowledged bool) {
	s.leaving.Store(true)
	close(s.stopBeats)
	acknowledged = s.call("deregister", nil)
	s.record.Note(s.Instance, "deregisters; acknowledged %v", acknowledged)
	return acknowledged
}

// End ends the server's process: its listener and all its connections.
func (s *Server) End() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	s.record.Note(s.Instance, "ends")
}

func (s *Server) beatRegularly(addr string) {
	for {
		s.Beat(addr, 0)
		select {
		case <-time.After(HeartbeatInterval):
		case <-s.stopBeats:
			return
		}
	}
}

// Beat sends a heartbeat that comes late by a delay.
func (s *Server) Beat(addr string, delay time.Duration) {
	callSeq := s.callSeq.Add(1)
	body, _ := json.Marshal(map[string]any{ // can't fail
		"Address":    addr,
		"SystemInfo": map[string]any{"Service": s.Service, "ConfigVersion": "v1", "Zone": s.zone, "SlotCount": serverSlots},
		"OperStatus": map[string]any{"State": "ready", "CallSeq": callSeq, "WarmupLeftS": 0},
	})
	if delay > 0 {
		s.record.Note(s.Instance, "sends heartbeat %d, which comes %v late", callSeq, delay)
		time.Sleep(delay)
	}
	acknowledged := s.call("heartbeat", body)
	if delay > 0 || !acknowledged {
		s.record.Note(s.Instance, "heartbeat %d acknowledged: %v", callSeq, acknowledged)
	}
}

// call makes a call to the sidecar.
func (s *Server) call(name string, body []byte) (acknowledged bool) {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Post("http://"+s.callAddr+"/v1/endpoints/"+s.Instance+"/"+name, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of a connection, one at a time.
func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.answer(conn, request) {
			return
		}
	}
}

// answer answers one request, and returns whether the connection is kept.
func (s *Server) answer(conn net.Conn, request *http.Request) (keep bool) {
	x := &Exchange{
		Server: s, Conn: conn, Request: request,
		Attempt: request.Header.Get("Attempt-Id"), Key: request.Header.Get("Operation-Key"),
	}
	if request.URL.Path == "/health" {
		status := http.StatusOK
		if s.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		return x.Write(status, "Instance-Id: "+s.Instance+"\r\n", nil) == nil
	}
	if target := request.Header.Get("Target-Instance"); target != "" && target != s.Instance {
		return x.Reject(http.StatusMisdirectedRequest) == nil && x.readRest()
	}
	if x.Attempt == "" {
		return x.Reject(http.StatusBadRequest) == nil && x.readRest()
	}
	defer s.slotInUse.Add(-1)
	if s.slotInUse.Add(1) > serverSlots+queuedCalls {
		return x.Reject(http.StatusServiceUnavailable) == nil && x.readRest()
	}
	if s.Run != nil {
		return s.Run(x)
	}
	return x.RunWhole()
}

// RunWhole reads the whole request, runs it and answers it.
func (x *Exchange) RunWhole() (keep bool) {
	body, err := io.ReadAll(x.Request.Body)
	if err != nil {
		x.Server.record.Note(x.Server.Instance, "gets %s only in part, and does not run it", x.Attempt)
		return false
	}
	x.Begin()
	time.Sleep(x.Server.Work)
	return x.Answer(fmt.Appendf(nil, "%s %s: %d bytes", x.Request.Method, x.Request.RequestURI, len(body))) == nil
}

// readRest reads what is left of the request.
func (x *Exchange) readRest() bool {
	_, err := io.Copy(io.Discard, x.Request.Body)
	return err == nil
}

// Begin records that the server begins work on the request.
func (x *Exchange) Begin() {
	x.Server.record.AddRun(Run{
		Attempt: x.Attempt, Key: x.Key, Instance: x.Server.Instance, CallerService: x.Request.Header.Get("Caller-Service"),
	})
}

// Head returns the head of a success with a body of this length.
func (x *Exchange) Head(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%d\r\nContent-Length: %d\r\n\r\n",
		x.Attempt, x.Server.Instance, x.Server.seals.Add(1), length)
}

// Answer writes a success.
func (x *Exchange) Answer(body []byte) error {
	_, err := x.Conn.Write(append([]byte(x.Head(len(body))), body...))
	return err
}

// Reject answers that the request has not run.
func (x *Exchange) Reject(status int) error { return x.Write(status, "Not-Executed: 1\r\n", nil) }

// Write writes an answer with further header lines.
func (x *Exchange) Write(status int, lines string, body []byte) error {
	id := ""
	if x.Attempt != "" {
		id = "Attempt-Id: " + x.Attempt + "\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), id, lines, len(body))
	_, err := x.Conn.Write(append([]byte(head), body...))
	return err
}

// AwaitKnown waits until requests like the given one succeed: a server of the service is known to the client's sidecar.
func AwaitKnown(client *Client, request Request) error {
	for deadline := time.Now().Add(StartTime); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if answer := client.Do(request.withNewID()); answer.Status == http.StatusOK {
			return nil
		}
	}
	return errors.New("no request is served")
}

// Note adds a line of the server to the record.
func (x *Exchange) Note(format string, args ...any) {
	x.Server.record.Note(x.Server.Instance, format, args...)
}
