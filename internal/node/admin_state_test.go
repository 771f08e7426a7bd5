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
	"cranegrade/internal/source/registry"
	"cranegrade/internal/testkit"
)

// callPort calls a node's operators' port.
func callPort(t *testing.T, n *Node, line string) string {
	t.Helper()
	c := dial(t, n.commandServer.Addr().String())
	fmt.Fprintln(c, line)
	s, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return s
}

func wantOrder(t *testing.T, n *Node, line, want string) {
	t.Helper()
	if s := callPort(t, n, line); !strings.HasPrefix(s, want) {
		t.Errorf("%s: %q, want %s", line, s, want)
	}
}

func withPort(cfg Config) Config {
	cfg.Operator = "127.0.0.1:0"
	return cfg
}

// A server that is taken out gets nothing more, whatever the list says, until it is called back, and is cold then.
func TestSetDown(t *testing.T) {
	t.Parallel()
	registryAddr, lines, asked := testkit.RegistryStub(t)
	a, toA := testkit.Stub(t, ok, false)
	b, toB := testkit.Stub(t, ok, false)
	cfg := withPort(testConfig(registryAddr, listed("a", a), listed("b", b)))
	cfg.Settings.WarmAfter, cfg.Settings.ColdFrom = time.Hour, 0.3
	n := startNode(t, cfg, nil)
	testkit.Wait(t, asked)
	wantOrder(t, n, "check", "200")
	wantOrder(t, n, "set-down c", "400")
	wantOrder(t, n, "set-up c", "400")
	wantOrder(t, n, "set-down a", "200")
	wantOrder(t, n, "set-down a", "200")
	serve := func(k int) {
		t.Helper()
		for i := range k {
			r := newRequest(t, n, "GET", "/read/1", "")
			r.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d-%p", t.Name(), i, r))
			if resp, _ := do(t, r); resp.StatusCode != 200 {
				t.Fatalf("answer %d", resp.StatusCode)
			}
		}
	}
	serve(20)
	// The list goes on naming it, as gone, and again.
	entry := func(state string) string {
		return fmt.Sprintf(`{"uid":"a","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,"capacity_hint":1,"boot_ms":0}`, a, state)
	}
	for i, state := range []string{"SERVING", "DELETED", "SERVING"} {
		lines <- testkit.ListMessage(8+i, false, entry(state))
		serve(10)
	}
	if len(toA) > 0 {
		t.Errorf("a was taken out and got %d requests, b %d", len(toA), len(toB))
	}
	wantOrder(t, n, "set-up a", "200")
	for i := 0; len(toA) == 0; i++ {
		if serve(1); i > 1000 {
			t.Fatal("a gets nothing after the call back")
		}
		for len(toB) > 0 {
			<-toB
		}
	}
	n.only().Do(func() {})
	if s := n.adminState.state.Load(); s.EffectiveBoot("a", 0) == 0 {
		t.Error("a counts as warm, though it may have been restarted")
	}
	lines <- testkit.ListMessage(12, false, entry("DELETED"))
	wantOrder(t, n, "set-down a", "200") // listed once, by now gone
}

// What is under way at a server that is taken out goes on, and an attempt that is about to be written there is not.
func TestSetDownBindsAtTheMomentOfWriting(t *testing.T) {
	t.Parallel()
	n := startNode(t, withPort(testConfig("127.0.0.1:1", listed("a", "127.0.0.1:1"))), nil)
	ready := make(chan struct{})
	n.only().Do(func() { close(ready) })
	testkit.Wait(t, ready)
	// No goroutine of the engine gets a turn between the answer and the check.
	hold, held := make(chan struct{}), make(chan struct{})
	n.only().Do(func() { close(held); <-hold })
	testkit.Wait(t, held)
	wantOrder(t, n, "set-down a", "200")
	if !n.adminState.Out("a") {
		t.Error("the yes came before the ban")
	}
	close(hold)
}

func TestOrderedIsNoNewsOfDiscovery(t *testing.T) {
	t.Parallel()
	lists := make(chan balancer.ServerList, 10)
	n := startNode(t, withPort(testConfig("127.0.0.1:1", listed("a", "127.0.0.1:1"))), moduleFunc(func(e balancer.Event) []balancer.Action {
		if l, is := e.(balancer.ServerList); is {
			lists <- l
		}
		return nil
	}))
	testkit.Wait(t, lists)
	wantOrder(t, n, "set-down a", "200")
	if l := testkit.Wait(t, lists); !l.Operator || l.Full || len(l.Servers) != 1 || l.Servers[0].State != balancer.Draining {
		t.Errorf("the module is told %+v", l)
	}
	wantOrder(t, n, "set-up a", "200")
	if l := testkit.Wait(t, lists); !l.Operator || l.Servers[0].State != balancer.Ready || l.Servers[0].StartedAt == 0 {
		t.Errorf("the module is told %+v", l)
	}
}

// While clients are sent away the node says so, serves what comes, and leaves no connection idle; afterwards it is as before.
func TestDrainOn(t *testing.T) {
	t.Parallel()
	began, release := make(chan struct{}, 10), make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if strings.HasSuffix(req.URL.Path, "slow") {
				began <- struct{}{}
				<-release
			}
			io.WriteString(c, ok)
		}
	})
	n := startNode(t, withPort(testConfig("127.0.0.1:1", []registry.Target{listed("a", addr)}...)), nil)
	ask := func(c net.Conn, path string) *http.Response {
		t.Helper()
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %p\r\nX-Time-Left: 5000m\r\n\r\n", path, c)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
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
		wantOrder(t, n, "drain-on", "200")
	}
	wantOrder(t, n, "check", "200")
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection: %v", err)
	}
	if resp := ask(fresh, "/read/2"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a new one's request: %d, closed: %v", resp.StatusCode, resp.Close)
	}
	if resp := ask(dial(t, n.Addr().String()), "/health/ready"); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("ready: %d", resp.StatusCode)
	}
	close(release)
	if resp := testkit.Wait(t, done); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the busy one: %d, closed: %v", resp.StatusCode, resp.Close)
	}
	wantOrder(t, n, "drain-off", "200")
	c := dial(t, n.Addr().String())
	if resp := ask(c, "/health/ready"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("ready again: %d, closed: %v", resp.StatusCode, resp.Close)
	}
	if resp := ask(c, "/read/3"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("after the drain: %d, closed: %v", resp.StatusCode, resp.Close)
	}
}

// Orders that come while a process gives way to its successor don't have it keep its callers.
func TestOrdersWhileGivingWay(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	n := startNode(t, withPort(testConfig("127.0.0.1:1", listed("a", addr))), nil)
	n.handedOff.Store(true)
	for _, line := range []string{"drain-off", "drain-on", "drain-off", "set-down a", "set-up a"} {
		wantOrder(t, n, line, "200")
		c := dial(t, n.Addr().String())
		fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !resp.Close {
			t.Errorf("after %s a caller's connection is kept: %v", line, err)
		}
	}
}
