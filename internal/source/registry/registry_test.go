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

const limit = testkit.Limit

// A watch on a machine that was cut off stays open and silent; heartbeats keep one alive.
func TestWatchSilence(t *testing.T) {
	t.Parallel()
	addr, lines, _ := testkit.RegistryStub(t)
	d := New(addr)
	d.silence = 200 * time.Millisecond
	ended := make(chan error, 1)
	got := make(chan engine.ListUpdate, 1)
	go func() { ended <- d.Watch(context.Background(), "0", func(n engine.ListUpdate) { got <- n }) }()
	lines <- testkit.ListMessage(1, true)
	testkit.Wait(t, got)
	if err := testkit.Wait(t, ended); err != errSilent {
		t.Errorf("the watch ended with %v", err)
	}
}

// A call that discovery never answers is given up like a silent watch.
func TestCallUnanswered(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts; nobody reads
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d := New(l.Addr().String())
	d.silence = 50 * time.Millisecond
	for _, since := range []string{"", "7"} {
		if err := d.Watch(context.Background(), since, nil); err == nil || !errors.Is(err, errSilent) {
			t.Errorf("since %q: ended with %v", since, err)
		}
	}
	// What discovery has to tell counts as told after 6 s. Half of that at least is for asking anew, and a
	// heartbeat, one every 2 s, may be late by a little.
	if silence > 3*time.Second || silence < 2200*time.Millisecond {
		t.Errorf("silence is %v", silence)
	}
}

// Heartbeats keep a watch whose list does not change.
func TestHeartbeats(t *testing.T) {
	t.Parallel()
	addr, lines, _ := testkit.RegistryStub(t)
	d := New(addr)
	d.silence = time.Second
	ended := make(chan error, 1)
	go func() { ended <- d.Watch(context.Background(), "0", func(engine.ListUpdate) {}) }()
	longest := time.Duration(0) // between two beats; this machine may stall
	for start, last := time.Now(), time.Now(); time.Since(start) < 2*d.silence; {
		select {
		case lines <- "":
			longest, last = max(longest, time.Since(last)), time.Now()
			time.Sleep(d.silence / 20)
		case err := <-ended:
			if longest = max(longest, time.Since(last)); longest < d.silence/2 {
				t.Fatalf("ended with %v though a beat came every %v", err, longest)
			}
			return
		}
	}
	lines <- "end"
	testkit.Wait(t, ended)
}

func TestWatchRefused(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	d := New(strings.TrimPrefix(s.URL, "http://"))
	if err := d.Watch(context.Background(), "0", nil); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("got %v", err)
	}
}

// Boot times are Unix time, as is the node's clock, whenever the node itself started.
func TestBootTime(t *testing.T) {
	c := engine.NewClock()
	boot := time.Now().Add(-3 * time.Second) // before the node
	s := Target{UID: "s", State: "SERVING", BootMS: float64(boot.UnixMilli())}.server()
	if age := c.Now() - s.StartedAt; age < 3*time.Second-time.Millisecond || age > 3*time.Second+limit {
		t.Errorf("age %v", age)
	}
	if s := (Target{}).server(); s.StartedAt != 0 {
		t.Errorf("a boot long ago is %v", s.StartedAt)
	}
}

// What can't be read as a whole is garbled, whatever is wrong with it; what is odd and can be read is news.
func TestOddMessages(t *testing.T) {
	a, b := testkit.Entry("a", "SERVING"), testkit.Entry("b", "DRAINING")
	whole := testkit.ListMessage(4, true, a, b)
	bad := map[string]string{
		"a uid twice": testkit.ListMessage(4, true, a, a), "a wrong type": `{"rev":"four","all":true,"targets":[]}`,
		"targets of a wrong type": `{"rev":4,"all":true,"targets":{}}`, "an unknown state": testkit.ListMessage(4, true, testkit.Entry("a", "ASLEEP")),
		"no uid": testkit.ListMessage(4, true, testkit.Entry("", "SERVING")), "nothing": "", "two messages": whole + whole,
	}
	for n := range len(whole) { // broken off at every byte
		bad["broken off at "+strconv.Itoa(n)] = whole[:n]
	}
	for name, text := range bad {
		if l, err := ParseList([]byte(text)); err == nil {
			t.Errorf("%s is read as %+v", name, l)
		}
	}
	for name, text := range map[string]string{"empty": testkit.ListMessage(4, true), "no targets": `{"rev":4,"all":true}`, "a rev of nothing": testkit.ListMessage(0, false, b)} {
		if _, err := ParseList([]byte(text)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Over a watch: garbled messages end it as such and nothing of them is told; a rev that goes back and an empty list are.
func TestOddWatch(t *testing.T) {
	t.Parallel()
	addr, lines, asked := testkit.RegistryStub(t)
	d := New(addr)
	for _, text := range []string{"{", testkit.ListMessage(9, true, testkit.Entry("a", "SERVING"), testkit.Entry("a", "DRAINING")), `[]`} {
		ended := make(chan error, 1)
		go func() {
			ended <- d.Watch(context.Background(), "7", func(n engine.ListUpdate) { t.Errorf("told %+v", n) })
		}()
		testkit.Wait(t, asked)
		lines <- text
		if err := testkit.Wait(t, ended); !errors.Is(err, engine.ErrMalformedUpdate) {
			t.Errorf("%.20s: %v", text, err)
		}
	}
	ended := make(chan error, 1)
	told := make(chan engine.ListUpdate, 4)
	go func() { ended <- d.Watch(context.Background(), "7", func(n engine.ListUpdate) { told <- n }) }()
	testkit.Wait(t, asked)
	for _, c := range []struct {
		text, version string
		servers       int
	}{{testkit.ListMessage(8, false, testkit.Entry("a", "SERVING")), "8", 1}, {testkit.ListMessage(3, false, testkit.Entry("a", "DRAINING")), "3", 1}, {"", "3", 0}, {testkit.ListMessage(4, true), "4", 0}} {
		lines <- c.text
		if n := testkit.Wait(t, told); n.Version != c.version || len(n.Servers) != c.servers {
			t.Errorf("%.40s: %+v", c.text, n)
		}
	}
	lines <- "end"
	if err := testkit.Wait(t, ended); errors.Is(err, engine.ErrMalformedUpdate) {
		t.Errorf("a proper end: %v", err)
	}
}

// A line without an end, and a whole list without one, end in an error; they cost no more than what may be read.
func TestEndlessAnswers(t *testing.T) {
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
	d := New(strings.TrimPrefix(s.URL, "http://"))
	d.silence = limit
	for _, since := range []string{"", "7"} {
		if err := d.Watch(context.Background(), since, func(n engine.ListUpdate) { t.Errorf("told %+v", n) }); err == nil || errors.Is(err, errSilent) {
			t.Errorf("since %q: ended with %v", since, err)
		}
	}
}
