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
	var ran sync.Map
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
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
	cfg := withPort(testConfig(unusedAddr, listed("s", addr)))
	cfg.State = t.TempDir()
	p := startProcess(t, cfg)
	cfg.Listen = p.Addr().String()
	cfg.Known.Targets = nil // the successor gets its servers from the predecessor
	stop := make(chan struct{})
	var served, crossed atomic.Int64
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
				for {
					reused := c != nil
					var err error
					if !reused {
						if c, err = net.Dial("tcp", cfg.Listen); err != nil {
							t.Errorf("connection refused: %v", err)
							return
						}
						r = bufio.NewReader(c)
					}
					io.WriteString(c, requestHead("POST /order/1", fmt.Sprintf("%d-%d", client, i), "5000m", "Content-Length: 2")+"hi")
					resp, err := http.ReadResponse(r, nil)
					if err != nil && reused {
						c.Close()
						c = nil
						crossed.Add(1)
						continue // repeat it on a new connection, as callers do
					}
					if err != nil || resp.StatusCode != 200 {
						t.Errorf("%d-%d: %v, %v", client, i, resp, err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					served.Add(1)
					if resp.Close || client%2 == 0 {
						c.Close()
						c = nil
					}
					break
				}
			}
		})
	}
	const upgrades = 8
	for range upgrades {
		before := served.Load()
		testkit.Eventually(t, "nothing is served", func() bool { return served.Load() > before+50 })
		next := startProcess(t, cfg)
		p.stop()
		p = next
	}
	close(stop)
	clients.Wait()
	p.stop()
	if n := crossed.Load(); n > 2*upgrades {
		t.Errorf("%d requests crossed a close, more than two for each upgrade", n)
	}
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
