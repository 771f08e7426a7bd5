package node

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

// For a while after the signal callers open new connections: their requests are served, as are those in flight, each with
// Connection: close, before Run returns.
func TestDrainServesNewConnections(t *testing.T) {
	t.Parallel()
	addr, began, release := blockingServer(t, everyPath)
	n, err := New(testConfig(unusedAddr, listed("s", addr)), Options{})
	if err != nil {
		t.Fatal(err)
	}
	// Callers with a connection may know no other node, so the listeners stay open for most of the drain time-out.
	if n.drainDelay != 2500*time.Millisecond {
		t.Errorf("connections stay open for %v of %v", n.drainDelay, n.drainTimeout())
	}
	n.drainDelay = 3 * time.Second // for slow machines
	n.drainTimeoutNanos.Store(int64(limit))
	cancel, done := runInBackground(n)
	answers := make(chan *http.Response, 2)
	ask := func(id string) {
		r := newRequest(t, n, "GET", "/read/1", "")
		r.Header.Set("X-Correlation-Id", id)
		resp, err := (&http.Transport{}).RoundTrip(r)
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}
	go ask("c-1")
	testkit.Wait(t, began)
	cancel()
	go ask("c-2") // after the signal
	testkit.Wait(t, began)
	// The requests are answered only once the listener is closed.
	for stop := time.Now().Add(limit); time.Now().Before(stop); {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			break
		}
		c.Close()
	}
	select {
	case err := <-done:
		t.Fatalf("Run returned %v with requests unanswered", err)
	default:
	}
	close(release)
	for range 2 {
		if resp := testkit.Wait(t, answers); resp == nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("answer %+v", resp)
		}
	}
	if err := testkit.Wait(t, done); err != nil {
		t.Errorf("Run: %v", err)
	}
}

// A request that would outlast the kill is answered with a failure before it.
func TestDrainAnswersBeforeTheKill(t *testing.T) {
	t.Parallel()
	addr, began, _ := hangingServer(t)
	n, err := New(testConfig(unusedAddr, listed("s", addr)), Options{})
	if err != nil {
		t.Fatal(err)
	}
	n.drainDelay = 0
	n.drainTimeoutNanos.Store(int64(300 * time.Millisecond))
	cancel, done := runInBackground(n)
	status := make(chan int, 1)
	go func() {
		resp, _ := do(t, newRequest(t, n, "POST", "/order/1", "")) // with more time left
		status <- resp.StatusCode
	}()
	testkit.Wait(t, began)
	cancel()
	if s := testkit.Wait(t, status); s != 502 {
		t.Errorf("answer %d", s)
	}
	if err := testkit.Wait(t, done); err != nil {
		t.Errorf("Run: %v", err)
	}
}
