package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cranegrade/internal/testkit"
)

// process is one of several processes of a node, which a test stops itself.
type process struct {
	*Node
	stop func()
}

// startProcess runs a node and returns once it accepts requests.
func startProcess(t *testing.T, cfg Config) *process {
	t.Helper()
	n, err := New(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	n.drainDelay = 0
	p := &process{n, runNode(t, n)}
	testkit.Eventually(t, "never ready", n.ready.Load)
	return p
}

// A node is replaced by successors under load, on reused and on new connections: every request is answered and runs once,
// and a caller has to repeat a request only if it crossed the close of its idle connection.
func TestHotRestartsUnderLoad(t *testing.T) {
	t.Parallel()
	cfg := withPort(testConfig(unusedAddr, listed("s", onceOnlyServer(t))))
	cfg.State = t.TempDir()
	p := startProcess(t, cfg)
	cfg.Listen = p.Addr().String()
	cfg.Known.Targets = nil // the successor gets its servers from the predecessor
	clients := startRestartClients(t, cfg.Listen)
	const upgrades = 8
	for range upgrades {
		before := clients.served.Load()
		testkit.Eventually(t, "nothing is served", func() bool { return clients.served.Load() > before+50 })
		next := startProcess(t, cfg)
		p.stop()
		p = next
	}
	clients.stop()
	p.stop()
	if n := clients.crossed.Load(); n > 2*upgrades {
		t.Errorf("%d requests crossed a close, more than two for each upgrade", n)
	}
}

// onceOnlyServer starts a server that answers each request, and fails the test if one runs twice.
func onceOnlyServer(t *testing.T) (addr string) {
	t.Helper()
	var ran sync.Map
	return testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			id := req.Header.Get("X-Correlation-Id")
			if _, twice := ran.LoadOrStore(id, true); twice {
				t.Errorf("%s ran twice", id)
			}
			io.WriteString(c, ok)
		}
	})
}

// restartClients send requests to a node whose processes replace each other: every second client on a connection that it keeps, the
// others on a new one for each request.
type restartClients struct {
	listen          string
	served, crossed atomic.Int64
	stopping        chan struct{}
	running         sync.WaitGroup
}

// startRestartClients starts eight clients, which run until stop is called.
func startRestartClients(t *testing.T, listen string) *restartClients {
	t.Helper()
	c := &restartClients{listen: listen, stopping: make(chan struct{})}
	for client := range 8 {
		c.running.Go(func() { c.run(t, client) })
	}
	return c
}

func (c *restartClients) stop() {
	close(c.stopping)
	c.running.Wait()
}

// run is one client. It ends if the test has failed.
func (c *restartClients) run(t *testing.T, client int) {
	var conn *restartConn // nil: the next request opens one
	for i := 0; ; i++ {
		select {
		case <-c.stopping:
			return
		default:
		}
		request := requestHead("POST /order/1", fmt.Sprintf("%d-%d", client, i), "5000m", "Content-Length: 2") + "hi"
		resp, used, err := c.sendOrRepeat(conn, request)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%d-%d: %v, %v", client, i, resp, err)
			return
		}
		c.served.Add(1)
		if conn = used; resp.Close || client%2 == 0 {
			conn.Close()
			conn = nil
		}
	}
}

// restartConn is a connection of a client, with what was read of it and not yet used.
type restartConn struct {
	net.Conn
	reader *bufio.Reader
}

// send sends a request and reads the response with its body.
func (c *restartConn) send(request string) (*http.Response, error) {
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// sendOrRepeat sends a request on a connection, or on a new one if that is nil or was closed meanwhile, as callers do. It returns the
// response and the connection that it came on.
func (c *restartClients) sendOrRepeat(conn *restartConn, request string) (*http.Response, *restartConn, error) {
	if conn != nil {
		resp, err := conn.send(request)
		if err == nil {
			return resp, conn, nil
		}
		conn.Close()
		c.crossed.Add(1)
	}
	opened, err := net.Dial("tcp", c.listen)
	if err != nil {
		return nil, nil, err
	}
	conn = &restartConn{opened, bufio.NewReader(opened)}
	resp, err := conn.send(request)
	return resp, conn, err
}

// A command to either of two processes takes effect in both before it is confirmed, and outlives the process that executed
// it.
func TestAdminStateOutlivesHotRestart(t *testing.T) {
	t.Parallel()
	cfg := withPort(testConfig(unusedAddr, listed("a", unusedAddr), listed("b", unusedAddr), listed("c", unusedAddr)))
	cfg.State = t.TempDir()
	old := startProcess(t, cfg)
	wantAnswer(t, old.Node, "set-down a", "200")
	cfg.Listen = old.Addr().String()
	cfg.Known.Targets = nil
	next := startProcess(t, cfg)
	if !next.adminState.IsOutOfService("a") {
		t.Error("the successor does not know that the server is down")
	}
	wantAnswer(t, next.Node, "set-down b", "200")
	if !old.adminState.IsOutOfService("b") {
		t.Error("the predecessor does not know what the successor confirmed")
	}
	wantAnswer(t, old.Node, "set-down c", "200")
	if !next.adminState.IsOutOfService("c") {
		t.Error("the successor does not know what the predecessor confirmed")
	}
	wantAnswer(t, old.Node, "drain-on", "200")
	if !next.adminState.isDraining() {
		t.Error("the successor does not drain after a command to the predecessor")
	}
	wantAnswer(t, next.Node, "drain-off", "200")
	wantAnswer(t, next.Node, "set-up a", "200")
	if old.adminState.isDraining() || old.adminState.IsOutOfService("a") {
		t.Error("the predecessor does not know what was revoked at the successor")
	}
	old.stop()
	next.stop()
	// No process is left: the state comes from the file.
	cfg.Listen = "127.0.0.1:0"
	last := startProcess(t, cfg)
	defer last.stop()
	if last.adminState.IsOutOfService("a") || !last.adminState.IsOutOfService("b") || !last.adminState.IsOutOfService("c") || last.adminState.isDraining() {
		t.Errorf("the state of the file: %+v", last.adminState.state.Load())
	}
	wantAnswer(t, last.Node, "set-up b", "200") // the file remembers that it was listed
}

// A successor that fails before it serves does not affect its predecessor.
func TestFailedSuccessorLeavesPredecessorAlone(t *testing.T) {
	t.Parallel()
	cfg := withPort(testConfig(unusedAddr, listed("a", unusedAddr)))
	cfg.State = t.TempDir()
	p := startProcess(t, cfg)
	defer p.stop()
	bad := cfg
	bad.Listen, bad.Operator = p.Addr().String(), p.commandServer.Addr().String() // the command port is in use
	if n, err := New(bad, Options{}); err == nil {
		t.Fatalf("%v started", n)
	}
	testkit.Eventually(t, "the failed process is still counted", func() bool { return p.hotRestart.peerCount() == 0 })
	if p.hotRestart.hasSuccessor() {
		t.Error("the failed process counts as a successor")
	}
	if resp, _ := do(t, newRequest(t, p.Node, "GET", "/health/ready", "")); resp.StatusCode != 200 {
		t.Errorf("ready: %d", resp.StatusCode)
	}
	var failed *net.OpError
	if _, err := New(bad, Options{}); !errors.As(err, &failed) || !strings.Contains(err.Error(), "operator") {
		t.Errorf("the error: %v", err)
	}
}
