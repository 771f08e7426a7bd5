package testcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// FakeApp is an application server as PROTOCOL.md describes them: it beats to the line beside it, answers only for its own
// instance, and notes each run.
type FakeApp struct {
	Service, Instance, Addr string
	controlAddr             string // of its line
	zone                    string
	slots                   int
	serviceTime             atomic.Int64 // ns that a request takes
	recorder                *Recorder
	server                  *http.Server
	inFlight                atomic.Int64
	heartbeatSeq            atomic.Int64
	state                   atomic.Value // string
	stop                    chan struct{}
	broken                  atomic.Bool  // it drops what it runs
	holdUntil               atomic.Int64 // so many must run at once before any is answered
}

// Recorder is what servers and callers saw.
type Recorder struct {
	mu                 sync.Mutex          // guards below
	instancesByAttempt map[string][]string // instances by attempt
	attemptsByKey      map[string][]string // attempts by key
	violations         []string
}

// NewRecorder returns an empty one.
func NewRecorder() *Recorder {
	return &Recorder{instancesByAttempt: map[string][]string{}, attemptsByKey: map[string][]string{}}
}

func (r *Recorder) recordRun(attempt, key, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instancesByAttempt[attempt] = append(r.instancesByAttempt[attempt], instance)
	if key != "" {
		r.attemptsByKey[key] = append(r.attemptsByKey[key], attempt)
	}
}

func (r *Recorder) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Runs are the instances that ran an attempt.
func (r *Recorder) Runs(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instancesByAttempt[attempt]
}

// RunsBy is how many runs an instance made.
func (r *Recorder) RunsBy(instance string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.instancesByAttempt {
		for _, i := range l {
			if i == instance {
				n++
			}
		}
	}
	return n
}

// Violations are the rules that were broken, as far as the records tell: keys that ran twice, and what servers and callers noted.
func (r *Recorder) Violations() (l []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l = append(l, r.violations...)
	for k, a := range r.attemptsByKey {
		if len(a) > 1 {
			l = append(l, fmt.Sprintf("TWICE: key %s ran as %v", k, a))
		}
	}
	return l
}

// newFakeApp starts a server.
func newFakeApp(service, instance, addr, control, zone string, record *Recorder) (*FakeApp, error) {
	a := &FakeApp{Service: service, Instance: instance, Addr: addr, controlAddr: control, zone: zone, slots: 8, recorder: record, stop: make(chan struct{})}
	a.state.Store("ready")
	a.serviceTime.Store(int64(5 * time.Millisecond))
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
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
func (a *FakeApp) SetBroken(on bool) { a.broken.Store(on) }

// HoldUntilConcurrent has it answer nothing until so many requests run at once.
func (a *FakeApp) HoldUntilConcurrent(n int) { a.holdUntil.Store(int64(n)) }

// Drain tells the line that it leaves; true: that was acknowledged.
func (a *FakeApp) Drain() bool {
	a.state.Store("draining")
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

// sendHeartbeat sends one beat.
func (a *FakeApp) sendHeartbeat() bool {
	body, _ := json.Marshal(map[string]any{"Address": a.Addr,
		"SystemInfo": map[string]any{"Service": a.Service, "ConfigVersion": "v1", "Zone": a.zone, "SlotCount": a.slots},
		"OperStatus": map[string]any{"State": a.state.Load(), "CallSeq": a.heartbeatSeq.Add(1), "WarmupLeftS": 0}})
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+a.controlAddr+"/v1/endpoints/"+a.Instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// ServeHTTP runs one request.
func (a *FakeApp) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", a.Instance)
	if r.URL.Path == "/health" {
		if a.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != a.Instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer a.inFlight.Add(-1)
	if a.inFlight.Add(1) > 4*int64(a.slots) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("Caller-Service") == "" {
		a.recorder.recordViolation("UNASKED: %s came without Caller-Service", id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.recorder.recordRun(id, r.Header.Get("Operation-Key"), a.Instance)
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
	n, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	w.Header().Set("Server-Seal", "seal."+id)
	text := append([]byte(r.Method+" "+r.RequestURI+" "+a.Instance+" "), body...)
	w.Write(append(text, bytes.Repeat([]byte("x"), n)...))
}
