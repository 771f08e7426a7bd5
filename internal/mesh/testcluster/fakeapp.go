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
	appSlots           = 8 // concurrent requests that a server announces
	appOverload        = 4 // multiple of its slots from which on it rejects requests
	defaultServiceTime = 5 * time.Millisecond
	heartbeatTimeout   = time.Second
)

// States in a server's heartbeats.
const (
	appReady    = "ready"
	appDraining = "draining"
)

// FakeApp is an application server according to PROTOCOL.md: it sends heartbeats to the sidecar beside it, answers only requests for
// its own instance, and records each run.
type FakeApp struct {
	Service, Instance, Addr string

	controlAddr  string // address of its sidecar for heartbeats
	zone         string
	recorder     *Recorder
	server       *http.Server
	stop         chan struct{}
	state        atomic.Value // appReady or appDraining
	heartbeatSeq atomic.Int64
	inFlight     atomic.Int64
	serviceTime  atomic.Int64 // ns
	broken       atomic.Bool  // it closes connections instead of answering
	holdUntil    atomic.Int64 // number of requests that must run at once before any is answered
	onRun        atomic.Pointer[func(attempt string)]
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

// Crash ends the server at once, without answering.
func (a *FakeApp) Crash() {
	close(a.stop)
	a.server.Close()
}

// SetServiceTime sets the run time of a request.
func (a *FakeApp) SetServiceTime(d time.Duration) { a.serviceTime.Store(int64(d)) }

// SetBroken sets whether the server runs requests but closes their connections instead of answering.
func (a *FakeApp) SetBroken(broken bool) { a.broken.Store(broken) }

// HoldUntilConcurrent delays all answers until n requests run at the same time.
func (a *FakeApp) HoldUntilConcurrent(requests int) { a.holdUntil.Store(int64(requests)) }

// OnRun has f called at the beginning of each further run, on the goroutine of the request.
func (a *FakeApp) OnRun(f func(attempt string)) { a.onRun.Store(&f) }

// Drain announces the server's shutdown to the sidecar, and reports whether that was acknowledged.
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

// sendHeartbeat sends one heartbeat, and reports whether it was acknowledged.
func (a *FakeApp) sendHeartbeat() (acknowledged bool) { return a.call("heartbeat", a.nextHeartbeat()) }

// nextHeartbeat returns the body of the next heartbeat.
func (a *FakeApp) nextHeartbeat() []byte {
	return EncodeCall(map[string]any{
		"Address":    a.Addr,
		"SystemInfo": map[string]any{"Service": a.Service, "ConfigVersion": "v1", "Zone": a.zone, "SlotCount": appSlots},
		"OperStatus": map[string]any{"State": a.state.Load(), "CallSeq": a.heartbeatSeq.Add(1), "WarmupLeftS": 0},
	})
}

// call makes a call to the sidecar, and reports whether it was acknowledged.
func (a *FakeApp) call(name string, body []byte) (acknowledged bool) {
	client := http.Client{Timeout: heartbeatTimeout}
	response, err := client.Post("http://"+a.controlAddr+"/v1/endpoints/"+a.Instance+"/"+name, "application/json", bytes.NewReader(body))
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

// reject answers a request without running it, and says so in the answer.
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
	defer a.recorder.recordEnd(attempt)
	if onRun := a.onRun.Load(); onRun != nil {
		(*onRun)(attempt)
	}
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
	padding, _ := strconv.Atoi(r.URL.Query().Get("bytes")) // 0 if the request does not ask for any
	w.Header().Set("Server-Seal", sealOf(attempt))
	text := append([]byte(r.Method+" "+r.RequestURI+" "+a.Instance+" "), body...)
	_, _ = w.Write(append(text, bytes.Repeat([]byte("x"), padding)...)) // a caller that has disconnected is not an error
}
