package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// If the module never answers a request, the engine does before the caller's time is up.
func TestSilentModuleGetsFallbackAnswer(t *testing.T) {
	t.Parallel()
	gone := make(chan balancer.ClientGone, 1)
	n := startNode(t, testConfig(unusedAddr), moduleFunc(func(e balancer.Event) []balancer.Action {
		if e, is := e.(balancer.ClientGone); is {
			gone <- e
		}
		return nil
	}))
	r := newRequest(t, n, "GET", "/read/1", "")
	r.Header.Set("X-Time-Left", "50m")
	if resp, _ := do(t, r); resp.StatusCode != 502 {
		t.Errorf("answer %d", resp.StatusCode)
	}
	testkit.Wait(t, gone)
}

// A Send for a finished request, past the limit of attempts, or to a server that is not listed ends as NeverSent.
func TestInvalidSendsAreNeverSent(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	cfg := testConfig(unusedAddr, listed("s", addr))
	cfg.Settings.MaxAttempts = 2
	outcomes := make(chan balancer.Outcome, 10)
	n := startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			send := func(to string) balancer.Action { return balancer.Send{ID: e.ID, Server: to} }
			if e.Class == "read" {
				return []balancer.Action{send("nowhere"), send("nowhere"), send("s"), balancer.Fail{ID: e.ID}}
			}
			return []balancer.Action{
				balancer.Cancel{ID: e.ID, Attempt: 3},
				send("nowhere"),
				balancer.Fail{ID: e.ID},
				send("s"),
			}
		case balancer.Outcome:
			outcomes <- e
		}
		return nil
	}))
	do(t, newRequest(t, n, "GET", "/read/1", ""))
	for i := range 3 {
		if o := testkit.Wait(t, outcomes); o.Ending != balancer.NeverSent || o.Attempt != i {
			t.Errorf("outcome %+v", o)
		}
	}
	do(t, newRequest(t, n, "POST", "/order/1", ""))
	if len(got) > 0 {
		t.Error("an invalid attempt reached the server")
	}
}

// The first success ends the request and is its answer. The outcome of an attempt that ends later still reaches the module.
func TestLateOutcomeReachesModule(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	slow := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			<-release
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		}
	})
	fast, _ := testkit.Stub(t, ok, false)
	outcomes := make(chan balancer.Outcome, 10)
	n := startNode(t, testConfig(unusedAddr, listed("slow", slow), listed("fast", fast)),
		moduleFunc(func(e balancer.Event) []balancer.Action {
			switch e := e.(type) {
			case balancer.Request:
				return []balancer.Action{balancer.Send{ID: e.ID, Server: "slow"}, balancer.Send{ID: e.ID, Server: "fast"}}
			case balancer.Outcome:
				outcomes <- e
			}
			return nil
		}))
	if resp, body := do(t, newRequest(t, n, "GET", "/read/1", "")); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("answer %d %q", resp.StatusCode, body)
	}
	if o := testkit.Wait(t, outcomes); o.Server != "fast" || o.Attempt != 1 || !o.Ended || o.Ending != balancer.Success {
		t.Errorf("first outcome %+v", o)
	}
	close(release)
	if o := testkit.Wait(t, outcomes); o.Server != "slow" || o.Attempt != 0 || !o.Ended {
		t.Errorf("late outcome %+v", o)
	}
}

// When a caller closes its connection the module is told, and its cancel closes the connection of the attempt.
func TestDisconnectedCallerCancelsAttempt(t *testing.T) {
	t.Parallel()
	addr, began, closed := hangingServer(t)
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	ctx, cancel := context.WithCancel(context.Background())
	r := newRequest(t, n, "GET", "/read/1", "").WithContext(ctx)
	go http.DefaultTransport.RoundTrip(r)
	testkit.Wait(t, began)
	cancel()
	testkit.Wait(t, closed)
}

// A caller that closes the sending half of its connection counts as gone. It must get no answer, and certainly not the
// empty 200 that net/http sends for a handler which wrote nothing.
func TestHalfClosedCallerGetsNoAnswer(t *testing.T) {
	t.Parallel()
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	c := dial(t, n.Addr().String())
	io.WriteString(c, "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n")
	c.(*net.TCPConn).CloseWrite()
	if b, err := io.ReadAll(c); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v", b, err)
	}
}
