package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/testkit"
)

// Processes of a node replace each other under load, and the last but one is killed instead of terminated. Every request that
// a process which was not killed accepts is answered, none runs twice, a set-down outlives all of them, and the queue of the
// listener is never reset. UPGRADES asks for more rounds.
func TestHotRestartOfProcesses(t *testing.T) {
	rounds := sizeFrom("UPGRADES", 4)
	var ran sync.Map
	var isDown atomic.Bool
	a, requestsWhileDown := onceOnlyServer(t, &ran, &isDown)
	b, _ := onceOnlyServer(t, &ran, &isDown)
	dir, bin, listen := t.TempDir(), buildProgram(t, "../cranegrade-platform"), freeAddr(t)
	start := func() *nodeProcess {
		t.Helper()
		config := platformConfig{
			listen: listen, operator: freeAddr(t), discovery: "127.0.0.1:1", memoryMB: 64, sockets: 256,
			servers: map[string]string{"a": a, "b": b}, class: "order", effect: "once_only", targetMS: 1000, deadlineMS: 3000,
		}
		cmd := exec.Command(bin)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config.write(t), "TMPDIR="+dir)
		return startNodeProcess(t, cmd, config.operator)
	}
	current := start()
	if ok, text := current.send(t, admin.SetDown, "never-listed"); ok {
		t.Errorf("a server that was never listed: %s", text)
	}
	if ok, text := current.send(t, admin.SetDown, "a"); !ok {
		t.Errorf("set-down: %s", text)
	}
	time.AfterFunc(250*time.Millisecond, func() { isDown.Store(true) }) // until then requests that were sent before may arrive

	clients := startRestartClients(t, listen)
	for round := range rounds {
		clients.awaitServed(t)
		next := start()
		signal := syscall.SIGTERM
		if round == rounds-1 {
			clients.dying.Store(true)
			signal = syscall.SIGKILL
		}
		if err := current.cmd.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		if err := testkit.Wait(t, current.ended); (err == nil) != (signal == syscall.SIGTERM) {
			t.Errorf("round %d: the predecessor ended with %v; its log:\n%s", round, err, current.log)
		}
		if !strings.Contains(next.log.String(), "taking over") {
			t.Errorf("round %d: it took nothing over:\n%s", round, next.log)
		}
		current = next
	}
	clients.awaitServed(t)
	clients.stop()
	if n := requestsWhileDown.Load(); n > 0 {
		t.Errorf("the server that is down got %d requests", n)
	}
	if n := clients.crossed.Load(); n > int64(2*rounds) {
		t.Errorf("%d requests crossed a close in %d upgrades", n, rounds)
	}
	t.Log(clients)
	if ok, text := current.send(t, admin.SetUp, "a"); !ok {
		t.Errorf("set-up: %s", text)
	}
	current.cmd.Process.Signal(syscall.SIGTERM)
	if err := testkit.Wait(t, current.ended); err != nil {
		t.Errorf("the last process: %v", err)
	}
}

// onceOnlyServer starts a server that answers each request with its id, and fails the test if one runs twice at any of the servers that
// share ran. It counts the requests that come while it is down.
func onceOnlyServer(t *testing.T, ran *sync.Map, isDown *atomic.Bool) (addr string, whileDown *atomic.Int64) {
	t.Helper()
	whileDown = new(atomic.Int64)
	addr = testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
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
			if isDown.Load() {
				whileDown.Add(1)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		}
	})
	return addr, whileDown
}

// restartClients send requests to a node whose processes replace each other: every second client on a connection that it keeps, the
// others on a new one for each request.
type restartClients struct {
	listen string
	dying  atomic.Bool // a process is being killed, so requests to it may end without an answer

	served, crossed, rejected, killed atomic.Int64

	stopping chan struct{}
	running  sync.WaitGroup
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

// awaitServed waits until a hundred more requests were served.
func (c *restartClients) awaitServed(t *testing.T) {
	t.Helper()
	before := c.served.Load()
	testkit.Eventually(t, "nothing is served", func() bool { return c.served.Load() > before+100 })
}

func (c *restartClients) String() string {
	return fmt.Sprintf("%d served, %d rejected, %d crossed a close, %d were at the process that was killed",
		c.served.Load(), c.rejected.Load(), c.crossed.Load(), c.killed.Load())
}

// run is one client.
func (c *restartClients) run(t *testing.T, client int) {
	var conn net.Conn
	var r *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-c.stopping:
			return
		default:
		}
		reused := conn != nil
		if !reused {
			var err error
			if conn, err = net.Dial("tcp", c.listen); err != nil {
				t.Errorf("connection refused: %v", err)
				return
			}
			r = bufio.NewReader(conn)
		}
		conn.SetDeadline(time.Now().Add(limit))
		fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %d-%d\r\nX-Time-Left: 3000m\r\nContent-Length: 2\r\n\r\nhi", client, i)
		resp, err := http.ReadResponse(r, nil)
		c.count(t, fmt.Sprintf("%d-%d", client, i), reused, resp, err)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		if err != nil || resp.Close || client%2 == 0 {
			conn.Close()
			conn = nil
		}
	}
}

// count counts how a request ended, and fails the test if it may not end so. reused: its connection had carried another one.
func (c *restartClients) count(t *testing.T, id string, reused bool, resp *http.Response, err error) {
	t.Helper()
	switch {
	case err != nil && c.dying.Load():
		c.killed.Add(1) // the client has to repeat the requests of a killed process
	case err != nil && reused:
		c.crossed.Add(1) // it met the close of an idle connection, and has not run
	case err != nil:
		t.Errorf("%s: %v", id, err)
	case resp.StatusCode == http.StatusServiceUnavailable:
		c.rejected.Add(1)
	case resp.StatusCode != http.StatusOK:
		t.Errorf("%s: %s", id, resp.Status)
	default:
		c.served.Add(1)
	}
}

// The exit code says whether every node has executed the command, and the output what each has answered.
func TestOpsExitCodesAndOutput(t *testing.T) {
	server, err := admin.Listen("127.0.0.1:0", func(c admin.Command) (string, error) {
		if c.ID == "none" {
			return "", fmt.Errorf("no server %q was ever listed", c.ID)
		}
		return string(c.Verb) + " " + c.ID, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go server.Serve()
	at := server.Addr().String()
	for _, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"check", "--at", at}, 0, at + ": yes: check"},
		{[]string{"set-down", "s-1", "--at", at, "--at", at}, 0, at + ": yes: set-down s-1\n" + at + ": yes"},
		{[]string{"set-up", "none", "--at", at}, 1, at + ": no: no server"},
		{[]string{"drain-on", "--at", "127.0.0.1:1", "--at", at}, 1, "127.0.0.1:1: no answer: "},
		{[]string{"check"}, 1, ""},
		{[]string{"set-down", "--at", at}, 1, ""},
		{[]string{"check", "x", "--at", at}, 1, ""},
		{[]string{"nonsense", "--at", at}, 1, ""},
		{[]string{"check", "--config", "../../deploy/examples/two-services.toml"}, 1, ""},
		{[]string{"--help"}, 0, "Each call goes to"},
	} {
		var out, complaint bytes.Buffer
		if code := runOps(c.args, &out, &complaint); code != c.code || !strings.HasPrefix(out.String(), c.out) || (out.Len() == 0 && complaint.Len() == 0) {
			t.Errorf("%v: exit %d, %q, %q", c.args, code, &out, &complaint)
		}
	}
}
