package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/testkit"
)

// startPlatform starts the platform's program with limits and one server. Its registry sends heartbeats until the test ends,
// because a list from which nothing is heard for long no longer counts.
func startPlatform(t *testing.T, memoryMB, sockets int, server string) (p *nodeProcess, listen string) {
	t.Helper()
	registry, lines, _ := testkit.RegistryStub(t)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case lines <- "":
				time.Sleep(100 * time.Millisecond)
			case <-ended:
				return
			}
		}
	}()
	config := platformConfig{
		listen: freeAddr(t), operator: freeAddr(t), discovery: registry, memoryMB: memoryMB, sockets: sockets,
		servers: map[string]string{"a": server}, class: "read", effect: "read_like", targetMS: 2000, deadlineMS: 30_000,
	}
	bin := buildProgram(t, "../cranegrade-platform")
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, bin))
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config.write(t), "TMPDIR="+t.TempDir())
	return startNodeProcess(t, cmd, config.operator), config.listen
}

// With far more connections than descriptors, idle ones and ones with half a request, and with silent connections to the
// command port, requests on new connections are served, commands are answered, and the node does not run out of
// descriptors. CROWD asks for more connections.
func TestCrowdOfConnections(t *testing.T) {
	addr, _ := testkit.Stub(t, testkit.OK, false)
	node, listen := startPlatform(t, 64, 256, addr)
	const maxKept = 700
	var crowd []net.Conn
	var mu sync.Mutex
	keep := func(c net.Conn) { // only the latest: this process has few descriptors, too, and the node has closed the others
		mu.Lock()
		defer mu.Unlock()
		if crowd = append(crowd, c); len(crowd) > maxKept {
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
			if c, err := net.Dial("tcp", node.commandPort); err == nil { // sends part of a command, and stays open
				io.WriteString(c, "check"[:i%5])
				keep(c)
			}
			began := time.Now()
			if ok, text := node.send(t, admin.Check, ""); !ok {
				t.Errorf("check: %s", text)
			}
			slowest.Store(max(slowest.Load(), int64(time.Since(began))))
			time.Sleep(5 * time.Millisecond)
		}
	})
	each := sizeFrom("CROWD", 800) / 8
	for client := range 8 {
		coming.Go(func() {
			for i := range each {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					t.Errorf("connection refused: %v", err)
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
				r.Header.Set("X-Correlation-Id", fmt.Sprintf("%d-%d", client, i))
				r.Header.Set("X-Time-Left", "30000m")
				resp, err := (&http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
				if err != nil || resp.StatusCode != 200 {
					t.Errorf("%d-%d: %v, %v", client, i, resp, err)
					continue
				}
				resp.Body.Close()
			}
		})
	}
	coming.Wait()
	close(stop)
	asking.Wait()
	if s := node.log.String(); strings.Contains(s, "too many open files") {
		t.Errorf("the node ran out of descriptors:\n%s", s)
	}
	t.Logf("slowest answer to a command: %v", time.Duration(slowest.Load()))
}

// With more long responses at once than fit into memory, to callers that begin to read late, all responses are complete and
// the process stays within its memory. LONG_MB and LONG ask for longer and more responses.
func TestLongAnswersInLittleMemory(t *testing.T) {
	bytes, callers := sizeFrom("LONG_MB", 8)<<20, sizeFrom("LONG", 32)
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
	node, listen := startPlatform(t, memoryMB, 1024, addr)
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
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	fmt.Sscan(after, &kb)
	if kb == 0 || kb > memoryMB<<10 {
		t.Errorf("the process used up to %d kB of %d MB", kb, memoryMB)
	}
	t.Logf("%d responses of %d MB: up to %d kB", callers, bytes>>20, kb)
}
