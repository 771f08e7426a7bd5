package node

import (
	"bufio"
	"context"
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

// process is a node that a test ends itself.
type process struct {
	*Node
	stop context.CancelFunc
	done chan error
}

func startProcess(t *testing.T, cfg Config) *process {
	t.Helper()
	n, err := New(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	n.drainDelay = 0
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{n, cancel, make(chan error, 1)}
	go func() { p.done <- n.Run(ctx) }()
	testkit.Eventually(t, "never ready", n.ready.Load)
	return p
}

func (p *process) end(t *testing.T) {
	t.Helper()
	p.stop()
	if err := testkit.Wait(t, p.done); err != nil {
		t.Errorf("Run: %v", err)
	}
}

// A node is upgraded again and again under load, on kept and on fresh connections: every request is answered, each runs
// once, and only requests that crossed the close of an idle connection are sent again.
func TestUpgrades(t *testing.T) {
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
	cfg := withPort(testConfig("127.0.0.1:1", listed("s", addr)))
	cfg.State = t.TempDir()
	p := startProcess(t, cfg)
	cfg.Listen = p.Addr().String()
	cfg.Known.Targets = nil // what it needs to know the process before tells
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
					kept := c != nil
					var err error
					if !kept {
						if c, err = net.Dial("tcp", cfg.Listen); err != nil {
							t.Errorf("not let in: %v", err)
							return
						}
						r = bufio.NewReader(c)
					}
					fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %d-%d\r\nX-Time-Left: 5000m\r\nContent-Length: 2\r\n\r\nhi", client, i)
					resp, err := http.ReadResponse(r, nil)
					if err != nil && kept {
						c.Close()
						c = nil
						crossed.Add(1)
						continue // once more on a new connection, as callers do
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
		p.end(t)
		p = next
	}
	close(stop)
	clients.Wait()
	p.end(t)
	if n := crossed.Load(); n > 2*upgrades {
		t.Errorf("%d requests crossed a close, over two an upgrade", n)
	}
}

// What is ordered of either of two processes binds both before it is confirmed, and outlives the one that took it.
func TestOrdersOverAnUpgrade(t *testing.T) {
	t.Parallel()
	cfg := withPort(testConfig("127.0.0.1:1", listed("a", "127.0.0.1:1"), listed("b", "127.0.0.1:1"), listed("c", "127.0.0.1:1")))
	cfg.State = t.TempDir()
	old := startProcess(t, cfg)
	wantOrder(t, old.Node, "set-down a", "200")
	cfg.Listen = old.Addr().String()
	cfg.Known.Targets = nil
	next := startProcess(t, cfg)
	if !next.adminState.Out("a") {
		t.Error("a ban is forgotten over an upgrade")
	}
	wantOrder(t, next.Node, "set-down b", "200")
	if !old.adminState.Out("b") {
		t.Error("the old process does not hold what the new one confirmed")
	}
	wantOrder(t, old.Node, "set-down c", "200")
	if !next.adminState.Out("c") {
		t.Error("the new process does not hold what the old one confirmed")
	}
	wantOrder(t, old.Node, "drain-on", "200")
	if !next.adminState.isDraining() {
		t.Error("a drain told to either binds both")
	}
	wantOrder(t, next.Node, "drain-off", "200")
	wantOrder(t, next.Node, "set-up a", "200")
	if old.adminState.isDraining() || old.adminState.Out("a") {
		t.Error("a call back is forgotten")
	}
	old.end(t)
	next.end(t)
	// Nobody is left to ask: the file tells.
	cfg.Listen = "127.0.0.1:0"
	last := startProcess(t, cfg)
	defer last.end(t)
	if last.adminState.Out("a") || !last.adminState.Out("b") || !last.adminState.Out("c") || last.adminState.isDraining() {
		t.Errorf("of the file: %+v", last.adminState.state.Load())
	}
	wantOrder(t, last.Node, "set-up b", "200") // listed once, as far as the file knows
}

// A successor that dies before it takes clients changes nothing for the one before.
func TestSuccessorThatFails(t *testing.T) {
	t.Parallel()
	cfg := withPort(testConfig("127.0.0.1:1", listed("a", "127.0.0.1:1")))
	cfg.State = t.TempDir()
	p := startProcess(t, cfg)
	defer p.end(t)
	bad := cfg
	bad.Listen, bad.Operator = p.Addr().String(), p.commandServer.Addr().String() // in use
	if n, err := New(bad, Options{}); err == nil {
		t.Fatalf("%v started", n)
	}
	testkit.Eventually(t, "the one that failed is still counted", func() bool { return p.hotRestart.peerCount() == 0 })
	if p.hotRestart.hasSuccessor() {
		t.Error("it counts as succeeded")
	}
	if resp, _ := do(t, newRequest(t, p.Node, "GET", "/health/ready", "")); resp.StatusCode != 200 {
		t.Errorf("ready: %d", resp.StatusCode)
	}
	var failed *net.OpError
	if _, err := New(bad, Options{}); !errors.As(err, &failed) || !strings.Contains(err.Error(), "operator") {
		t.Errorf("the reason: %v", err)
	}
}
