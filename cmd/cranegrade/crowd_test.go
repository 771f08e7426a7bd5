package main

import (
	"bufio"
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
	"testing"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/testkit"
)

// platform starts the platform's program with limits and one server.
func platform(t *testing.T, memoryMB, sockets int, server string) (u *upgraded, listen string) {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "cranegrade")
	if out, err := exec.Command("go", "build", "-o", bin, "../cranegrade-platform").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	u, listen = &upgraded{port: freeAddr(t), ended: make(chan error, 1), log: &lockedBuffer{}}, freeAddr(t)
	config := filepath.Join(t.TempDir(), "config.json")
	registry, lines, _ := testkit.RegistryStub(t)
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() { // heartbeats: a list that is not heard of for long counts for nothing
		for {
			select {
			case lines <- "":
				time.Sleep(100 * time.Millisecond)
			case <-over:
				return
			}
		}
	}()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"operator":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"known":{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":%q,"az":"a","state":"SERVING"}]},
		"settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":2000,"deadline-ms":30000}],"limits":{"max-attempts":3},"registry-mode":"on_request"}}`,
		listen, u.port, registry, memoryMB, sockets, server)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	u.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, bin))
	u.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+t.TempDir())
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
	return u, listen
}

func size(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// Far more connections than there are descriptors, idle and half-written, and more that call operators' port and say
// nothing: requests on new connections are served, operators are answered, and the node runs out of nothing. CROWD asks for
// more of them.
func TestCrowd(t *testing.T) {
	addr, _ := testkit.Stub(t, testkit.OK, false)
	u, listen := platform(t, 64, 256, addr)
	var crowd []net.Conn
	var mu sync.Mutex
	keep := func(c net.Conn) { // the latest: this process has descriptors for so many, and the node has closed the others
		mu.Lock()
		defer mu.Unlock()
		if crowd = append(crowd, c); len(crowd) > 700 {
			crowd[0].Close()
			crowd = crowd[1:]
		}
	}
	defer func() {
		for _, c := range crowd {
			c.Close()
		}
	}()
	var slowest atomic.Int64
	stop := make(chan struct{})
	var asking, coming sync.WaitGroup
	asking.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			if c, err := net.Dial("tcp", u.port); err == nil { // says half a call, and stays
				io.WriteString(c, "check"[:i%5])
				keep(c)
			}
			began := time.Now()
			if yes, text := u.ask(t, admin.Check, ""); !yes {
				t.Errorf("check: %s", text)
			}
			slowest.Store(max(slowest.Load(), int64(time.Since(began))))
			time.Sleep(5 * time.Millisecond)
		}
	})
	each := size("CROWD", 800) / 8
	for k := range 8 {
		coming.Go(func() {
			for i := range each {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					t.Errorf("not let in: %v", err)
					return
				}
				if i%2 == 0 {
					io.WriteString(c, "GET /read/1 HTTP/1.1\r\nHost")
				}
				keep(c)
				if i%20 != 0 {
					continue
				}
				r, err := http.NewRequest("GET", "http://"+listen+"/read/1", nil)
				if err != nil {
					t.Error(err)
					return
				}
				r.Close = true
				r.Header.Set("X-Correlation-Id", fmt.Sprintf("%d-%d", k, i))
				r.Header.Set("X-Time-Left", "30000m")
				resp, err := (&http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
				if err != nil || resp.StatusCode != 200 {
					t.Errorf("%d-%d: %v, %v", k, i, resp, err)
					continue
				}
				resp.Body.Close()
			}
		})
	}
	coming.Wait()
	close(stop)
	asking.Wait()
	if s := u.log.String(); strings.Contains(s, "too many open files") {
		t.Errorf("it ran out of descriptors:\n%s", s)
	}
	t.Logf("operators' slowest answer: %v", time.Duration(slowest.Load()))
}

// More long answers at once than memory holds, to callers that are slow to begin reading: all come whole, and the process
// stays within its memory. LONG_MB and LONG ask for longer and more of them.
func TestLongAnswersInLittleMemory(t *testing.T) {
	bytes, callers := size("LONG_MB", 8)<<20, size("LONG", 32)
	chunk := make([]byte, 64<<10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bytes)
			for left := bytes; left > 0; left -= len(chunk) {
				if _, err := c.Write(chunk); err != nil {
					return
				}
			}
		}
	})
	const memoryMB = 48
	u, listen := platform(t, memoryMB, 1024, addr)
	var began, all sync.WaitGroup
	began.Add(callers)
	release := make(chan struct{})
	for i := range callers {
		all.Go(func() {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Error(err)
				began.Done()
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: l-%d\r\nX-Time-Left: 30000m\r\n\r\n", i)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			began.Done()
			if err != nil {
				t.Error(err)
				return
			}
			<-release
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(bytes) {
				t.Errorf("%d bytes of %d, %v", n, bytes, err)
			}
		})
	}
	began.Wait()
	close(release)
	all.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	fmt.Sscan(after, &kb)
	if kb == 0 || kb > memoryMB<<10 {
		t.Errorf("its memory was %d kB at the most, of %d MB", kb, memoryMB)
	}
	t.Logf("%d answers of %d MB: %d kB at the most", callers, bytes>>20, kb)
}
