package registry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/testkit"
)

// A watch at a machine that was partitioned off stays open and silent, and is ended.
func TestSilentWatchEnds(t *testing.T) {
	t.Parallel()
	addr, lines, _ := testkit.RegistryStub(t)
	source := New(addr)
	source.watchTimeout = 200 * time.Millisecond
	ended := make(chan error, 1)
	got := make(chan engine.ListUpdate, 1)
	go func() { ended <- source.Watch(context.Background(), "0", func(n engine.ListUpdate) { got <- n }) }()
	lines <- testkit.ListMessage(1, true)
	testkit.Wait(t, got)
	if err := testkit.Wait(t, ended); !errors.Is(err, errSilent) {
		t.Errorf("the watch ended with %v", err)
	}
}

// A call that the registry does not answer is ended like a silent watch.
func TestUnansweredCallEnds(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts; nobody reads
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	source := New(l.Addr().String())
	source.watchTimeout = 50 * time.Millisecond
	for _, since := range []string{"", "7"} {
		if err := source.Watch(context.Background(), since, nil); err == nil || !errors.Is(err, errSilent) {
			t.Errorf("since %q: ended with %v", since, err)
		}
	}
}

// A change counts as known 6 s after it was listed. At least half of that is left for opening another
// watch, and a heartbeat, one every 2 s, may come a little late.
func TestWatchTimeoutFitsHeartbeatsAndNotification(t *testing.T) {
	if watchTimeout > 3*time.Second || watchTimeout < 2200*time.Millisecond {
		t.Errorf("the time-out of a watch is %v", watchTimeout)
	}
}

// Heartbeats keep a watch open while the list does not change.
func TestHeartbeatsKeepWatchOpen(t *testing.T) {
	t.Parallel()
	addr, lines, _ := testkit.RegistryStub(t)
	source := New(addr)
	source.watchTimeout = time.Second
	ended := make(chan error, 1)
	go func() { ended <- source.Watch(context.Background(), "0", func(engine.ListUpdate) {}) }()
	longest := time.Duration(0) // between two heartbeats; this machine may stall
	for start, last := time.Now(), time.Now(); time.Since(start) < 2*source.watchTimeout; {
		select {
		case lines <- "":
			longest, last = max(longest, time.Since(last)), time.Now()
			time.Sleep(source.watchTimeout / 20)
		case err := <-ended:
			if longest = max(longest, time.Since(last)); longest < source.watchTimeout/2 {
				t.Fatalf("ended with %v though a heartbeat came every %v", err, longest)
			}
			return
		}
	}
	lines <- "end"
	testkit.Wait(t, ended)
}

func TestWatchStatusIsReported(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	source := New(strings.TrimPrefix(s.URL, "http://"))
	if err := source.Watch(context.Background(), "0", nil); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("got %v", err)
	}
}

// Start times are Unix time, as is the node's clock, whenever the node itself started.
func TestStartTimeIsUnixTime(t *testing.T) {
	c := engine.NewClock()
	start := time.Now().Add(-3 * time.Second) // before the node
	s := Target{UID: "s", State: "SERVING", BootMS: float64(start.UnixMilli())}.server()
	if age := c.Now() - s.StartedAt; age < 3*time.Second-time.Millisecond || age > 3*time.Second+testkit.Limit {
		t.Errorf("age %v", age)
	}
	if s := (Target{}).server(); s.StartedAt != 0 {
		t.Errorf("a start long ago is %v", s.StartedAt)
	}
	// On some processors a time out of bounds was one in the far future, from which the server never counted as warm.
	for _, ms := range []float64{-1, maxBootMS, 1e300} {
		if s := (Target{BootMS: ms}).server(); s.StartedAt != 0 {
			t.Errorf("a start at %g ms is %v", ms, s.StartedAt)
		}
	}
}

func TestParseListRejectsMalformedMessages(t *testing.T) {
	a, b := testkit.Entry("a", "SERVING"), testkit.Entry("b", "DRAINING")
	complete := testkit.ListMessage(4, true, a, b)
	malformed := map[string]string{
		"duplicate uid":           testkit.ListMessage(4, true, a, a),
		"rev of a wrong type":     `{"rev":"four","all":true,"targets":[]}`,
		"targets of a wrong type": `{"rev":4,"all":true,"targets":{}}`,
		"unknown state":           testkit.ListMessage(4, true, testkit.Entry("a", "ASLEEP")),
		"no uid":                  testkit.ListMessage(4, true, testkit.Entry("", "SERVING")),
		"empty":                   "",
		"two messages":            complete + complete,
	}
	for n := range len(complete) {
		malformed["cut off at "+strconv.Itoa(n)] = complete[:n]
	}
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			if l, err := ParseList([]byte(text)); err == nil {
				t.Errorf("parsed as %+v", l)
			}
		})
	}
}

func TestParseListAcceptsUnusualMessages(t *testing.T) {
	for name, text := range map[string]string{
		"empty list": testkit.ListMessage(4, true),
		"no targets": `{"rev":4,"all":true}`,
		"rev 0":      testkit.ListMessage(0, false, testkit.Entry("b", "DRAINING")),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseList([]byte(text)); err != nil {
				t.Error(err)
			}
		})
	}
}

// A malformed message ends a watch with that reason, and nothing of the message is passed on.
func TestMalformedMessageEndsWatch(t *testing.T) {
	t.Parallel()
	addr, lines, asked := testkit.RegistryStub(t)
	source := New(addr)
	for _, text := range []string{"{", testkit.ListMessage(9, true, testkit.Entry("a", "SERVING"), testkit.Entry("a", "DRAINING")), `[]`} {
		ended := make(chan error, 1)
		go func() {
			ended <- source.Watch(context.Background(), "7", func(n engine.ListUpdate) { t.Errorf("an update %+v", n) })
		}()
		testkit.Wait(t, asked)
		lines <- text
		if err := testkit.Wait(t, ended); !errors.Is(err, engine.ErrMalformedUpdate) {
			t.Errorf("%.20s: %v", text, err)
		}
	}
}

// A revision lower than the one before, a heartbeat and an empty list are passed on.
func TestWatchPassesMessagesOn(t *testing.T) {
	t.Parallel()
	addr, lines, asked := testkit.RegistryStub(t)
	source := New(addr)
	ended := make(chan error, 1)
	updates := make(chan engine.ListUpdate, 4)
	go func() { ended <- source.Watch(context.Background(), "7", func(n engine.ListUpdate) { updates <- n }) }()
	testkit.Wait(t, asked)
	for _, c := range []struct {
		text, version string
		servers       int
	}{
		{testkit.ListMessage(8, false, testkit.Entry("a", "SERVING")), "8", 1},
		{testkit.ListMessage(3, false, testkit.Entry("a", "DRAINING")), "3", 1},
		{"", "3", 0},
		{testkit.ListMessage(4, true), "4", 0},
	} {
		lines <- c.text
		if n := testkit.Wait(t, updates); n.Version != c.version || len(n.Servers) != c.servers {
			t.Errorf("%.40s: %+v", c.text, n)
		}
	}
	lines <- "end"
	if err := testkit.Wait(t, ended); errors.Is(err, engine.ErrMalformedUpdate) {
		t.Errorf("a proper end: %v", err)
	}
}

// A watch line and a complete list that do not end are cut off at their bound, with an error.
func TestEndlessResponses(t *testing.T) {
	t.Parallel()
	part := []byte(strings.Repeat(" ", 1<<20))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 2 * maxListBytes / len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
		<-r.Context().Done()
	}))
	t.Cleanup(s.CloseClientConnections)
	source := New(strings.TrimPrefix(s.URL, "http://"))
	source.watchTimeout = testkit.Limit
	for _, since := range []string{"", "7"} {
		if err := source.Watch(
			context.Background(),
			since,
			func(n engine.ListUpdate) { t.Errorf("an update %+v", n) },
		); err == nil || errors.Is(err, errSilent) {
			t.Errorf("since %q: ended with %v", since, err)
		}
	}
}
