package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// sendCommand sends a line to a node's command port and returns the answer.
func sendCommand(t *testing.T, n *Node, line string) string {
	t.Helper()
	c := dial(t, n.commandServer.Addr().String())
	fmt.Fprintln(c, line)
	s, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return s
}

// wantAnswer sends a command and checks how the answer begins: 200 or 400.
func wantAnswer(t *testing.T, n *Node, line, want string) {
	t.Helper()
	if s := sendCommand(t, n, line); !strings.HasPrefix(s, want) {
		t.Errorf("%s: %q, want %s", line, s, want)
	}
}

// withPort returns a configuration with an address for commands.
func withPort(cfg Config) Config {
	cfg.Operator = "127.0.0.1:0"
	return cfg
}

// A server that an operator has set down gets no request, whatever the registry lists, until it is set up. It then counts as
// just started.
func TestSetDownServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	registryAddr, lines, asked := testkit.RegistryStub(t)
	a, toA := testkit.Stub(t, ok, false)
	b, toB := testkit.Stub(t, ok, false)
	cfg := withPort(testConfig(registryAddr, listed("a", a), listed("b", b)))
	cfg.Settings.WarmAfter, cfg.Settings.ColdFrom = time.Hour, 0.3
	n := startNode(t, cfg, nil)
	testkit.Wait(t, asked)
	wantAnswer(t, n, "check", "200")
	wantAnswer(t, n, "set-down c", "400")
	wantAnswer(t, n, "set-up c", "400")
	wantAnswer(t, n, "set-down a", "200")
	wantAnswer(t, n, "set-down a", "200")
	serve := func(requests int) {
		t.Helper()
		for i := range requests {
			r := newRequest(t, n, "GET", "/read/1", "")
			r.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d-%p", t.Name(), i, r))
			if resp, _ := do(t, r); resp.StatusCode != 200 {
				t.Fatalf("answer %d", resp.StatusCode)
			}
		}
	}
	serve(20)
	// The registry still lists it, then as deleted, then again.
	entry := func(state string) string {
		return fmt.Sprintf(`{"uid":"a","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,"capacity_hint":1,"boot_ms":0}`, a, state)
	}
	for i, state := range []string{"SERVING", "DELETED", "SERVING"} {
		lines <- testkit.ListMessage(8+i, false, entry(state))
		serve(10)
	}
	if len(toA) > 0 {
		t.Errorf("a is down and got %d requests, b %d", len(toA), len(toB))
	}
	wantAnswer(t, n, "set-up a", "200")
	for i := 0; len(toA) == 0; i++ {
		if serve(1); i > 1000 {
			t.Fatal("a gets no request after set-up")
		}
		for len(toB) > 0 {
			<-toB
		}
	}
	n.onlyEngine().Do(func() {})
	if s := n.adminState.state.Load(); s.EffectiveBoot("a", 0) == 0 {
		t.Error("a counts as warm, though it may have been restarted")
	}
	lines <- testkit.ListMessage(12, false, entry("DELETED"))
	wantAnswer(t, n, "set-down a", "200") // no longer listed, but known
}

// A set-down takes effect before it is confirmed, also for attempts that the engine has already decided on.
func TestSetDownTakesEffectBeforeItIsConfirmed(t *testing.T) {
	t.Parallel()
	n := startNode(t, withPort(testConfig(unusedAddr, listed("a", unusedAddr))), nil)
	n.waitForEngine(t)
	// The engine is blocked, so that it can't be what makes the command take effect.
	release, blocked := make(chan struct{}), make(chan struct{})
	n.onlyEngine().Do(func() { close(blocked); <-release })
	testkit.Wait(t, blocked)
	wantAnswer(t, n, "set-down a", "200")
	if !n.adminState.IsOutOfService("a") {
		t.Error("set-down was confirmed before it took effect")
	}
	close(release)
}

// The module gets an operator's command as a partial list that is marked as the operator's.
func TestModuleGetsCommandsAsOperatorLists(t *testing.T) {
	t.Parallel()
	lists := make(chan balancer.ServerList, 10)
	n := startNode(t, withPort(testConfig(unusedAddr, listed("a", unusedAddr))), moduleFunc(func(e balancer.Event) []balancer.Action {
		if l, is := e.(balancer.ServerList); is {
			lists <- l
		}
		return nil
	}))
	testkit.Wait(t, lists)
	wantAnswer(t, n, "set-down a", "200")
	if l := testkit.Wait(t, lists); !l.Operator || l.Full || len(l.Servers) != 1 || l.Servers[0].State != balancer.Draining {
		t.Errorf("the module got %+v", l)
	}
	wantAnswer(t, n, "set-up a", "200")
	if l := testkit.Wait(t, lists); !l.Operator || l.Servers[0].State != balancer.Ready || l.Servers[0].StartedAt == 0 {
		t.Errorf("the module got %+v", l)
	}
}

// While an operator drains the node it is not ready, serves every request with Connection: close, and closes idle
// connections. After drain-off it is as before.
func TestDrainCommand(t *testing.T) {
	t.Parallel()
	addr, began, release := blockingServer(t, slowPaths)
	n := startNode(t, withPort(testConfig(unusedAddr, listed("a", addr))), nil)
	ask := func(c net.Conn, path string) *http.Response {
		t.Helper()
		resp, err := exchange(c, requestHead("GET "+path, fmt.Sprintf("%p", c), "5000m"))
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	idle, busy, fresh := dial(t, n.Addr().String()), dial(t, n.Addr().String()), dial(t, n.Addr().String())
	ask(idle, "/read/1")
	done := make(chan *http.Response, 1)
	go func() { done <- ask(busy, "/read/slow") }()
	testkit.Wait(t, began)
	for range 2 {
		wantAnswer(t, n, "drain-on", "200")
	}
	wantAnswer(t, n, "check", "200")
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection: %v", err)
	}
	if resp := ask(fresh, "/read/2"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a request on a new connection: %d, closed: %v", resp.StatusCode, resp.Close)
	}
	if resp := ask(dial(t, n.Addr().String()), "/health/ready"); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("ready: %d", resp.StatusCode)
	}
	close(release)
	if resp := testkit.Wait(t, done); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the request in flight: %d, closed: %v", resp.StatusCode, resp.Close)
	}
	wantAnswer(t, n, "drain-off", "200")
	c := dial(t, n.Addr().String())
	if resp := ask(c, "/health/ready"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("ready again: %d, closed: %v", resp.StatusCode, resp.Close)
	}
	if resp := ask(c, "/read/3"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("after the drain: %d, closed: %v", resp.StatusCode, resp.Close)
	}
}

// While a process yields to its successor, no command has it keep its callers.
func TestCommandsWhileYieldingToSuccessor(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	n := startNode(t, withPort(testConfig(unusedAddr, listed("a", addr))), nil)
	n.handedOff.Store(true)
	for _, line := range []string{"drain-off", "drain-on", "drain-off", "set-down a", "set-up a"} {
		wantAnswer(t, n, line, "200")
		if resp, err := exchange(dial(t, n.Addr().String()), "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil || !resp.Close {
			t.Errorf("after %s a caller's connection is kept: %v", line, err)
		}
	}
}
