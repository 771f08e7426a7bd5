package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/testkit"
)

// upgraded is one process of a node.
type upgraded struct {
	cmd   *exec.Cmd
	port  string // operators'
	ended chan error
	log   *lockedBuffer
}

// lockedBuffer is read while a process writes to it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func (u *upgraded) ask(t *testing.T, verb admin.Verb, id string) (bool, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	yes, text, err := admin.Send(ctx, u.port, admin.Command{Verb: verb, ID: id})
	if err != nil {
		t.Fatalf("%s %s: %v", verb, id, err)
	}
	return yes, text
}

// freeAddr is an address that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Real processes of a node replace each other under load, one of them killed outright in place of being told to stop:
// every request taken by one that was not killed gets its answer, none runs twice, a ban outlives them all, and the
// socket's queue is never reset. UPGRADES asks for more rounds.
func TestUpgradeOfProcesses(t *testing.T) {
	rounds := 4
	if n, err := strconv.Atoi(os.Getenv("UPGRADES")); err == nil {
		rounds = n
	}
	var ran sync.Map
	var banned atomic.Int64
	var isBanned atomic.Bool
	server := func(counts bool) string {
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
				if counts && isBanned.Load() {
					banned.Add(1)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			}
		})
	}
	a, b := server(true), server(false)
	dir, bin := t.TempDir(), filepath.Join(t.TempDir(), "cranegrade")
	if out, err := exec.Command("go", "build", "-o", bin, "../cranegrade-platform").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	listen := freeAddr(t)
	start := func() *upgraded {
		t.Helper()
		u := &upgraded{port: freeAddr(t), ended: make(chan error, 1), log: &lockedBuffer{}}
		config := filepath.Join(t.TempDir(), "config.json")
		text := fmt.Sprintf(`{"name":"n0","listen":%q,"operator":%q,"discovery":"127.0.0.1:1","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":256},
			"known":{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":%q,"az":"a","state":"SERVING"},{"uid":"b","endpoint":%q,"az":"a","state":"SERVING"}]},
			"settings":{"lanes":[{"name":"order","effect":"once_only","target-ms":1000,"deadline-ms":3000}],"limits":{"max-attempts":3},"registry-mode":"on_request"}}`,
			listen, u.port, a, b)
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		u.cmd = exec.Command(bin)
		u.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+dir)
		u.cmd.Stderr = u.log
		if err := u.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		go func() { u.ended <- u.cmd.Wait() }()
		t.Cleanup(func() { u.cmd.Process.Kill() })
		testkit.Eventually(t, "never says yes", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			yes, _, err := admin.Send(ctx, u.port, admin.Command{Verb: admin.Check})
			return err == nil && yes
		})
		return u
	}
	u := start()
	if yes, text := u.ask(t, admin.SetDown, "never-listed"); yes {
		t.Errorf("a server that was never listed: %s", text)
	}
	if yes, text := u.ask(t, admin.SetDown, "a"); !yes {
		t.Errorf("set-down: %s", text)
	}
	time.AfterFunc(250*time.Millisecond, func() { isBanned.Store(true) }) // the grace

	stop := make(chan struct{})
	var served, crossed, refused, killed atomic.Int64
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
				kept := c != nil
				if !kept {
					var err error
					if c, err = net.Dial("tcp", listen); err != nil {
						t.Errorf("not let in: %v", err)
						return
					}
					r = bufio.NewReader(c)
				}
				c.SetDeadline(time.Now().Add(limit))
				fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %d-%d\r\nX-Time-Left: 3000m\r\nContent-Length: 2\r\n\r\nhi", client, i)
				resp, err := http.ReadResponse(r, nil)
				switch {
				case err != nil && dying.Load():
					killed.Add(1) // what a killed process held is the client's to try again
				case err != nil && kept:
					crossed.Add(1) // the close of an idle connection; it has not run
				case err != nil:
					t.Errorf("%d-%d: %v", client, i, err)
				case resp.StatusCode == 503:
					refused.Add(1)
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
		sign := syscall.SIGTERM
		if round == rounds-1 {
			dying.Store(true)
			sign = syscall.SIGKILL
		}
		if err := u.cmd.Process.Signal(sign); err != nil {
			t.Fatal(err)
		}
		if err := testkit.Wait(t, u.ended); (err == nil) != (sign == syscall.SIGTERM) {
			t.Errorf("round %d: the process before ended with %v; its log:\n%s", round, err, u.log)
		}
		if !strings.Contains(next.log.String(), "taking over") {
			t.Errorf("round %d: it took nothing over:\n%s", round, next.log)
		}
		u = next
	}
	before := served.Load()
	testkit.Eventually(t, "nothing is served after the kill", func() bool { return served.Load() > before+100 })
	close(stop)
	clients.Wait()
	if n := banned.Load(); n > 0 {
		t.Errorf("the server that is taken out got %d requests", n)
	}
	if n := crossed.Load(); n > int64(2*rounds) {
		t.Errorf("%d requests crossed a close in %d upgrades", n, rounds)
	}
	t.Logf("%d served, %d refused, %d crossed a close, %d were at the one that was killed", served.Load(), refused.Load(), crossed.Load(), killed.Load())
	if yes, text := u.ask(t, admin.SetUp, "a"); !yes {
		t.Errorf("set-up: %s", text)
	}
	u.cmd.Process.Signal(syscall.SIGTERM)
	if err := testkit.Wait(t, u.ended); err != nil {
		t.Errorf("in the end: %v", err)
	}
}

// The command line calls a running node, and says by its exit code what the node said.
func TestOps(t *testing.T) {
	port, err := admin.Listen("127.0.0.1:0", func(c admin.Command) (string, error) {
		if c.ID == "none" {
			return "", fmt.Errorf("no server %q was ever listed", c.ID)
		}
		return string(c.Verb) + " " + c.ID, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	go port.Serve()
	at := port.Addr().String()
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
