package testcluster

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	appSlots           = 8 // requests that a server says it runs at a time
	appOverload        = 4 // times its slots from which on it rejects requests
	defaultServiceTime = 5 * time.Millisecond
	heartbeatTimeout   = time.Second
)

// States that a server says it is in.
const (
	appReady    = "ready"
	appDraining = "draining"
)

// FakeApp is an application server as PROTOCOL.md describes them: it sends heartbeats to the sidecar beside it, answers only for
// its own instance, and records each run.
type FakeApp struct {
	Service, Instance, Addr string

	controlAddr  string // of its sidecar
	zone         string
	recorder     *Recorder
	server       *http.Server
	stop         chan struct{}
	state        atomic.Value // appReady or appDraining
	heartbeatSeq atomic.Int64
	inFlight     atomic.Int64
	serviceTime  atomic.Int64 // ns
	broken       atomic.Bool  // it drops the connections of what it runs
	holdUntil    atomic.Int64 // so many must run at once before any is answered
}

// newFakeApp starts a server.
func newFakeApp(service, instance, addr, controlAddr, zone string, recorder *Recorder) (*FakeApp, error) {
	a := &FakeApp{
		Service: service, Instance: instance, Addr: addr, controlAddr: controlAddr, zone: zone,
		recorder: recorder, stop: make(chan struct{}),
	}
	a.state.Store(appReady)
	a.SetServiceTime(defaultServiceTime)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(listener) }() // ends with Close of the server
	go a.heartbeatLoop()
	return a, nil
}

// Crash ends the server at once.
func (a *FakeApp) Crash() {
	close(a.stop)
	a.server.Close()
}

// SetServiceTime sets how long a request takes.
func (a *FakeApp) SetServiceTime(d time.Duration) { a.serviceTime.Store(int64(d)) }

// SetBroken has it drop the connections of what it runs, or stop doing so.
func (a *FakeApp) SetBroken(broken bool) { a.broken.Store(broken) }

// HoldUntilConcurrent has it answer nothing until so many requests run at once.
func (a *FakeApp) HoldUntilConcurrent(requests int) { a.holdUntil.Store(int64(requests)) }

// Drain tells the sidecar that it leaves, and says whether that was acknowledged.
func (a *FakeApp) Drain() (acknowledged bool) {
	a.state.Store(appDraining)
	return a.sendHeartbeat()
}

func (a *FakeApp) heartbeatLoop() {
	for {
		a.sendHeartbeat()
		select {
		case <-time.After(heartbeatInterval):
		case <-a.stop:
			return
		}
	}
}

// sendHeartbeat sends one heartbeat, and says whether it was acknowledged.
func (a *FakeApp) sendHeartbeat() (acknowledged bool) {
	body := encode(map[string]any{
		"Address":    a.Addr,
		"SystemInfo": map[string]any{"Service": a.Service, "ConfigVersion": "v1", "Zone": a.zone, "SlotCount": appSlots},
		"OperStatus": map[string]any{"State": a.state.Load(), "CallSeq": a.heartbeatSeq.Add(1), "WarmupLeftS": 0},
	})
	client := http.Client{Timeout: heartbeatTimeout}
	response, err := client.Post("http://"+a.controlAddr+"/v1/endpoints/"+a.Instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// sealOf returns the seal of a server's response to an attempt.
func sealOf(attempt string) string { return "seal." + attempt }

// ServeHTTP runs one request, or answers a health check.
func (a *FakeApp) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Id", a.Instance)
	if r.URL.Path == "/health" {
		if a.state.Load() != appReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != a.Instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Attempt-Id") == "" {
		reject(w, http.StatusBadRequest)
		return
	}
	defer a.inFlight.Add(-1)
	if a.inFlight.Add(1) > appOverload*appSlots {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	a.run(w, r)
}

// reject answers a request that has not run, and says so.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// run records the request and answers it.
func (a *FakeApp) run(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	if r.Header.Get("Caller-Service") == "" {
		a.recorder.recordViolation("UNASKED: %s came without Caller-Service", attempt)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.recorder.recordRun(attempt, r.Header.Get("Operation-Key"), a.Instance)
	time.Sleep(time.Duration(a.serviceTime.Load()))
	for ; a.inFlight.Load() < a.holdUntil.Load(); time.Sleep(time.Millisecond) {
		if r.Context().Err() != nil {
			return
		}
	}
	a.holdUntil.Store(0)
	if a.broken.Load() {
		panic(http.ErrAbortHandler)
	}
	padding, _ := strconv.Atoi(r.URL.Query().Get("bytes")) // 0 where none is asked for
	w.Header().Set("Server-Seal", sealOf(attempt))
	text := append([]byte(r.Method+" "+r.RequestURI+" "+a.Instance+" "), body...)
	_, _ = w.Write(append(text, bytes.Repeat([]byte("x"), padding)...)) // a caller that has gone is no fault of the server's
}
