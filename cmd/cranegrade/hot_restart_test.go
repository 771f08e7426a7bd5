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
	var requestsWhileDown atomic.Int64
	var isDown atomic.Bool
	server := func(isSetDown bool) string {
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
				if isSetDown && isDown.Load() {
					requestsWhileDown.Add(1)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			}
		})
	}
	a, b := server(true), server(false)
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

	stop := make(chan struct{})
	var served, crossed, rejected, killed atomic.Int64
	var dying atomic.Bool
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Go(func() {
			var c net.Conn
			var r *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				reused := c != nil
				if !reused {
					var err error
					if c, err = net.Dial("tcp", listen); err != nil {
						t.Errorf("connection refused: %v", err)
						return
					}
					r = bufio.NewReader(c)
				}
				c.SetDeadline(time.Now().Add(limit))
				fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %d-%d\r\nX-Time-Left: 3000m\r\nContent-Length: 2\r\n\r\nhi", client, i)
				resp, err := http.ReadResponse(r, nil)
				switch {
				case err != nil && dying.Load():
					killed.Add(1) // the client has to repeat the requests of a killed process
				case err != nil && reused:
					crossed.Add(1) // it met the close of an idle connection, and has not run
				case err != nil:
					t.Errorf("%d-%d: %v", client, i, err)
				case resp.StatusCode == 503:
					rejected.Add(1)
				case resp.StatusCode != 200:
					t.Errorf("%d-%d: %s", client, i, resp.Status)
				default:
					served.Add(1)
				}
				if err == nil {
					io.Copy(io.Discard, resp.Body)
				}
				if err != nil || resp.Close || client%2 == 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	for round := range rounds {
		before := served.Load()
		testkit.Eventually(t, "nothing is served", func() bool { return served.Load() > before+100 })
		next := start()
		signal := syscall.SIGTERM
		if round == rounds-1 {
			dying.Store(true)
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
	before := served.Load()
	testkit.Eventually(t, "nothing is served after the kill", func() bool { return served.Load() > before+100 })
	close(stop)
	clients.Wait()
	if n := requestsWhileDown.Load(); n > 0 {
		t.Errorf("the server that is down got %d requests", n)
	}
	if n := crossed.Load(); n > int64(2*rounds) {
		t.Errorf("%d requests crossed a close in %d upgrades", n, rounds)
	}
	t.Logf("%d served, %d rejected, %d crossed a close, %d were at the process that was killed", served.Load(), rejected.Load(), crossed.Load(), killed.Load())
	if ok, text := current.send(t, admin.SetUp, "a"); !ok {
		t.Errorf("set-up: %s", text)
	}
	current.cmd.Process.Signal(syscall.SIGTERM)
	if err := testkit.Wait(t, current.ended); err != nil {
		t.Errorf("the last process: %v", err)
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
