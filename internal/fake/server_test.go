package fake

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// testClass is the class of all requests in these tests.
var testClass = Class{Name: "read", Effect: Safe, Deadline: 10 * time.Second}

// startServer starts a server, and callers that call it without a node between them.
func startServer(t *testing.T, config ServerConfig) (*Server, *Callers, *Recorder) {
	t.Helper()
	recorder := NewRecorder(testClass)
	s, err := NewServer(config, recorder, NewKeyStore())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	callers := NewCallers(recorder, s.Addr(), 1, time.Second)
	t.Cleanup(callers.Close)
	return s, callers, recorder
}

// The mode of a server decides what its callers see and whether a request runs.
func TestModeDecidesTheAnswer(t *testing.T) {
	for _, c := range []struct {
		name        string
		mode        Mode
		status      int
		ran         bool
		unprocessed bool
	}{
		{"serving", Serving, http.StatusOK, true, false},
		{"draining", Draining, http.StatusServiceUnavailable, false, true},
		{"rejecting", Rejecting, http.StatusServiceUnavailable, false, true},
		{"failing", Failing, http.StatusInternalServerError, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, callers, recorder := startServer(t, ServerConfig{ID: "s", Concurrency: 1, ServiceTime: time.Millisecond})
			s.SetMode(c.mode)
			x := callers.Do(Stream{Host: "a", Class: testClass})
			if x.Status != c.status || x.ForeignBody || x.SurplusBytes {
				t.Errorf("exchange %+v, want status %d", x, c.status)
			}
			s.Crash() // waits until the arrival is complete
			arrivals := recorder.History().Arrivals
			if len(arrivals) != 1 || arrivals[0].Ran != c.ran || arrivals[0].Unprocessed != c.unprocessed {
				t.Errorf("arrivals %+v", arrivals)
			}
		})
	}
}

// Of three requests at once to a server with one slot and a queue of one, one is rejected.
func TestRequestsBeyondTheQueueAreRejected(t *testing.T) {
	_, callers, _ := startServer(t, ServerConfig{ID: "s", Concurrency: 1, QueueLimit: 1, ServiceTime: 500 * time.Millisecond})
	statuses := make([]int, 3)
	var running sync.WaitGroup
	for i := range statuses {
		running.Go(func() { statuses[i] = callers.Do(Stream{Host: "a", Class: testClass}).Status })
	}
	running.Wait()
	counts := map[int]int{}
	for _, status := range statuses {
		counts[status]++
	}
	if counts[http.StatusOK] != 2 || counts[http.StatusServiceUnavailable] != 1 {
		t.Errorf("statuses %v", statuses)
	}
}

// A restart keeps the address, begins an incarnation and is recorded.
func TestRestartBeginsAnIncarnation(t *testing.T) {
	s, callers, recorder := startServer(t, ServerConfig{ID: "s", Concurrency: 2, ServiceTime: time.Millisecond})
	addr := s.Addr()
	if number, startedAt := s.Incarnation(); number != 0 || startedAt != 0 {
		t.Errorf("first incarnation %d, started at %v", number, startedAt)
	}
	s.Crash()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	if number, startedAt := s.Incarnation(); number != 1 || startedAt == 0 || s.Addr() != addr {
		t.Errorf("incarnation %d at %s, started at %v; before at %s", number, s.Addr(), startedAt, addr)
	}
	if x := callers.Do(Stream{Host: "a", Class: testClass}); x.Status != http.StatusOK {
		t.Errorf("%+v", x)
	}
	starts := recorder.History().Starts
	if len(starts) != 1 || starts[0].Incarnation != 1 || starts[0].Capacity != 2000 {
		t.Errorf("starts %+v", starts)
	}
}

// A server that is sent more than its slow start allows crashes, and that is recorded.
func TestOverloadInSlowStartCrashes(t *testing.T) {
	s, callers, recorder := startServer(t, ServerConfig{
		ID: "s", Concurrency: 10, ServiceTime: time.Second,
		SlowStart: SlowStart{InitialShare: 0.1, Duration: time.Hour, OverloadFactor: 1, OverloadWindow: time.Second},
	})
	s.Crash()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	for range 20 {
		running.Go(func() { callers.Do(Stream{Host: "a", Class: testClass}) })
	}
	running.Wait()
	crashes := recorder.History().WarmupCrashes
	if len(crashes) != 1 || crashes[0].Server != "s" || crashes[0].Incarnation != 1 {
		t.Errorf("crashes %+v", crashes)
	}
}
