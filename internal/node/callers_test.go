package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// Connections on which nothing was sent, and idle ones, are closed in favour of a caller with a request. A connection with
// a request in flight is kept.
func TestIdleConnectionsGiveWayToRequests(t *testing.T) {
	t.Parallel()
	addr, began, release := blockingServer(t, slowPaths)
	cfg := testConfig(unusedAddr, listed("s", addr))
	cfg.Sockets = 42 // 6 for callers
	n := startNode(t, cfg, nil)
	slow := make(chan int, 1)
	go func() {
		resp, _ := do(t, newRequest(t, n, "GET", "/read/slow", ""))
		slow <- resp.StatusCode
	}()
	testkit.Wait(t, began)
	for i := range 20 {
		dial(t, n.Addr().String()) // sends nothing
		keptOpen := dial(t, n.Addr().String())
		resp, err := exchange(keptOpen, requestHead("GET /read/1", fmt.Sprintf("k-%d", i), "5000m"))
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("caller %d: %v, %v", i, resp, err)
		}
	}
	close(release)
	if s := testkit.Wait(t, slow); s != 200 {
		t.Errorf("the request in flight: %d", s)
	}
}

// A connection whose request stops halfway is closed, wherever it stops.
func TestIncompleteRequestIsClosed(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig(unusedAddr), nil)
	for name, text := range map[string]string{
		"nothing":     "",
		"first line":  "GET /read/1 HT",
		"header line": "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Corr",
		"body": "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 5000m\r\n" +
			"Content-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // each waits for the node's time-out
			c := dial(t, n.Addr().String())
			io.WriteString(c, text)
			answer, err := io.ReadAll(c)
			if err != nil || len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") {
				t.Errorf("%q: %q, %v", text, answer, err)
			}
		})
	}
}

// A request whose framing another implementation might read differently is rejected, and nothing that follows it on the
// connection is taken for a request (request smuggling, RFC 9112, section 11.2).
func TestRequestSmugglingIsRejected(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	const head = "Host: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 5000m\r\n"
	const hidden = "GET /read/hidden HTTP/1.1\r\n" + head + "\r\n"
	for name, text := range map[string]string{
		"both":          "POST /order/1 HTTP/1.1\r\n" + head + "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"spoilt chunk":  "POST /order/1 HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n5x\r\nfives\r\n0\r\n\r\n",
		"endless size":  "POST /order/1 HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 40) + "5\r\nfives\r\n0\r\n\r\n",
		"no chunk end":  "POST /order/1 HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfives\r\n0\r\n\r\n",
		"two codings":   "POST /order/1 HTTP/1.1\r\n" + head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"twice chunked": "POST /order/1 HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown":       "POST /order/1 HTTP/1.1\r\n" + head + "Transfer-Encoding: xchunked\r\nContent-Length: 200\r\n\r\n",
		"of HTTP/1.0":   "POST /order/1 HTTP/1.0\r\n" + head + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"two lengths":   "POST /order/1 HTTP/1.1\r\n" + head + "Content-Length: 5\r\nContent-Length: 50\r\n\r\nfives",
		"negative":      "POST /order/1 HTTP/1.1\r\n" + head + "Content-Length: -5\r\n\r\n",
		"huge":          "POST /order/1 HTTP/1.1\r\n" + head + "Content-Length: 70000000\r\n\r\n",
		"class unknown": "POST /odrer/1 HTTP/1.1\r\n" + head + "Content-Length: 5\r\n\r\n",
		"options":       "OPTIONS * HTTP/1.1\r\n" + head + "\r\n",
		"nonsense":      "\x16\x03\x01\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, n.Addr().String())
			io.WriteString(c, text+hidden)
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode < 400 {
				t.Fatalf("%v, %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			if rest, _ := io.ReadAll(r); len(rest) > 0 {
				t.Errorf("the rejection is followed by %q", rest)
			}
		})
	}
	if len(got) > 0 {
		t.Errorf("the server got %s", (<-got).RequestURI)
	}
}

// The bodies of all callers together stay within their part of the memory.
func TestRequestBodiesStayWithinMemory(t *testing.T) {
	t.Parallel()
	cfg := testConfig(unusedAddr)
	cfg.MemoryMB = 1 // for one of the longest
	n := startNode(t, cfg, nil)
	begin := func() *bufio.Reader {
		c := dial(t, n.Addr().String())
		io.WriteString(c, requestHead("POST /order/1", "c-1", "5000m", "Expect: 100-continue", fmt.Sprintf("Content-Length: %d", message.MaxBody)))
		return bufio.NewReader(c)
	}
	if l, err := begin().ReadString('\n'); err != nil || !strings.Contains(l, " 100 ") {
		t.Fatalf("the first: %q, %v", l, err)
	}
	resp, err := http.ReadResponse(begin(), nil)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("the second: %v, %v", resp, err)
	}
}

// Callers beyond the descriptors wait until one is free. None is lost, and the node keeps serving.
func TestCallersWaitForDescriptors(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	cfg := testConfig(unusedAddr, listed("s", addr))
	cfg.Sockets = 42 // 6 for callers
	n := startNode(t, cfg, nil)
	client := &http.Client{Timeout: limit} // keeps idle connections
	const callers = 30
	errs := make(chan error, callers)
	var rejected atomic.Int64
	for i := range callers {
		r := newRequest(t, n, "GET", "/read/1", "")
		r.Header.Set("X-Correlation-Id", strconv.Itoa(i))
		go func() {
			resp, err := client.Do(r)
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch resp.StatusCode {
				case 200:
				case 503: // rejected by the module, which counts what its servers can take
					rejected.Add(1)
				default:
					err = errors.New(resp.Status)
				}
			}
			errs <- err
		}()
	}
	for range callers {
		if err := testkit.Wait(t, errs); err != nil {
			t.Error(err)
		}
	}
	if rejected.Load() == callers {
		t.Error("none was served")
	}
}
