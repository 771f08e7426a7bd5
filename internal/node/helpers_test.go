package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/operator"
	"cranegrade/internal/source/registry"
	"cranegrade/internal/testkit"
	"cranegrade/internal/wire"
)

const (
	limit = testkit.Limit
	ok    = testkit.OK
	// unusedAddr is an address that nobody listens on.
	unusedAddr = "127.0.0.1:1"
)

// testConfig returns a platform configuration with the classes read (safe), send (keyed) and order (unsafe), whose only
// pool knows these servers.
func testConfig(discovery string, targets ...registry.Target) Config {
	class := func(name string, e balancer.Effect) balancer.Class {
		return balancer.Class{
			Name: name, Effect: e, Scope: balancer.ScopeAll, Window: 10 * time.Second,
			Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1,
		}
	}
	return Config{
		Name: "n0", Listen: "127.0.0.1:0", Discovery: discovery, Seed: 1, Sockets: 256,
		Known: registry.List{Revision: 7, Complete: true, Targets: targets},
		Settings: balancer.Settings{
			Classes: []balancer.Class{
				class("read", balancer.Idempotent), class("send", balancer.IdempotentByKey),
				class("order", balancer.NonIdempotent),
			},
			Balancers: 1, MaxAttempts: 6, MayCancel: true, AskDiscovery: true,
			AskWithin: 160 * time.Millisecond, Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second,
		},
		Connections: wire.Connections{Idle: time.Minute, ConnectWithin: limit},
	}
}

// listed returns a server as the registry lists it.
func listed(uid, addr string) registry.Target {
	return registry.Target{UID: uid, Endpoint: addr, Zone: "a", State: "SERVING", Size: 1}
}

// runInBackground runs a node until cancel is called; ended receives the result of Run.
func runInBackground(n *Node) (cancel context.CancelFunc, ended <-chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- n.Run(ctx) }()
	return cancel, result
}

// runNode runs a node until stop is called or the test ends, and fails the test if Run fails.
func runNode(t testing.TB, n *Node) (stop func()) {
	t.Helper()
	cancel, ended := runInBackground(n)
	stop = sync.OnceFunc(func() {
		cancel()
		if err := testkit.Wait(t, ended); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// startNode runs a node of a platform configuration until the test ends. A module that is not nil takes the place of the
// balancer. The node does not wait for callers when it drains.
func startNode(t *testing.T, cfg Config, m engine.Module) *Node {
	t.Helper()
	n, err := provision(cfg.plan(), Options{}, m)
	if err != nil {
		t.Fatal(err)
	}
	n.drainDelay = 0
	runNode(t, n)
	return n
}

// startPlan runs a node of an operator's plan until stop is called or the test ends. It drains as a real one does if stop is called;
// at the test's end nobody would see whether it still accepts connections for a while.
func startPlan(t testing.TB, plan operator.Plan, o Options) (n *Node, stop func()) {
	t.Helper()
	n, err := NewFromPlan(plan, o)
	if err != nil {
		t.Fatal(err)
	}
	stopNode := runNode(t, n)
	var stopped atomic.Bool
	t.Cleanup(func() {
		if !stopped.Load() {
			n.drainDelay = 0
		}
	})
	return n, func() {
		stopped.Store(true)
		stopNode()
	}
}

// onlyEngine returns the engine of the only pool.
func (n *Node) onlyEngine() *engine.Engine { return n.serving.Load().onlyPool.Engine() }

// waitForEngine returns once the engine of the only pool has handled everything that it was given before.
func (n *Node) waitForEngine(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	n.onlyEngine().Do(func() { close(done) })
	testkit.Wait(t, done)
}

// moduleFunc is a module that a test provides.
type moduleFunc func(e balancer.Event) []balancer.Action

func (f moduleFunc) Handle(_ time.Duration, e balancer.Event) []balancer.Action { return f(e) }

// newRequest returns a request of a caller that has 10 s left.
func newRequest(t *testing.T, n *Node, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", "c-1")
	r.Header.Set("X-Time-Left", "10000m")
	return r
}

// do sends a request on a connection of its own and returns the response with its body.
func do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	c := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// dial opens a connection that lasts until the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(limit))
	return c
}

// requestHead returns the head of an HTTP/1.1 request as a caller writes it. requestLine is the method and the path.
func requestHead(requestLine, id, timeLeft string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Time-Left: %s\r\n", requestLine, id, timeLeft)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	return b.String() + "\r\n"
}

// exchange writes a request on a connection and reads the head of its response.
func exchange(c net.Conn, request string) (*http.Response, error) {
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// blockingServer answers each request with ok. One whose path blocks selects is reported on began, and answered once
// something comes on release or it is closed.
func blockingServer(t *testing.T, blocks func(path string) bool) (addr string, began, release chan struct{}) {
	t.Helper()
	began, release = make(chan struct{}, 10), make(chan struct{}, 10)
	addr = testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if blocks(req.URL.Path) {
				began <- struct{}{}
				<-release
			}
			if _, err := io.WriteString(c, ok); err != nil {
				return
			}
		}
	})
	return addr, began, release
}

func everyPath(string) bool { return true }

func slowPaths(path string) bool { return strings.HasSuffix(path, "slow") }

// hangingServer takes one request and never answers it. It reports on began that the request is there, and on closed that
// its connection was closed.
func hangingServer(t *testing.T) (addr string, began, closed chan struct{}) {
	t.Helper()
	began, closed = make(chan struct{}), make(chan struct{})
	addr = testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			close(began)
			io.Copy(io.Discard, r)
			close(closed)
		}
	})
	return addr, began, closed
}
