package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

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

// Callers that connect and say nothing, or keep a connection that they no longer use, make room for
// one that asks; a request that was taken keeps its connection.
func TestUselessCallersMakeRoom(t *testing.T) {
	t.Parallel()
	began, release := make(chan struct{}, 10), make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if strings.HasSuffix(req.URL.Path, "slow") {
				began <- struct{}{}
				<-release
			}
			io.WriteString(c, ok)
		}
	})
	cfg := testConfig("127.0.0.1:1", listed("s", addr))
	cfg.Sockets = 42 // 6 for callers
	n := startNode(t, cfg, nil)
	slow := make(chan int, 1)
	go func() {
		resp, _ := do(t, newRequest(t, n, "GET", "/read/slow", ""))
		slow <- resp.StatusCode
	}()
	testkit.Wait(t, began)
	for i := range 20 {
		dial(t, n.Addr().String()) // and says nothing
		c := dial(t, n.Addr().String())
		fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: k-%d\r\nX-Time-Left: 5000m\r\n\r\n", i)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("caller %d: %v, %v", i, resp, err)
		} // and keeps the connection
	}
	close(release)
	if s := testkit.Wait(t, slow); s != 200 {
		t.Errorf("the request that was taken first: %d", s)
	}
}

// A request that never comes to its end is closed upon, wherever it stops.
func TestHalfARequest(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig("127.0.0.1:1"), nil)
	for _, text := range []string{
		"", "GET /read/1 HT", "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Corr",
		"POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 5000m\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		c := dial(t, n.Addr().String())
		io.WriteString(c, text)
		answer, err := io.ReadAll(c)
		if err != nil || len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") {
			t.Errorf("%q: %q, %v", text, answer, err)
		}
	}
}

// What frames its body in a way that others may read otherwise is refused, and nothing that follows
// it on the connection is taken for a request.
func TestNoRequestInABody(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	n := startNode(t, testConfig("127.0.0.1:1", listed("s", addr)), nil)
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
		c := dial(t, n.Addr().String())
		io.WriteString(c, text+hidden)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode < 400 {
			t.Errorf("%s: %v, %v", name, resp, err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		if rest, _ := io.ReadAll(r); len(rest) > 0 {
			t.Errorf("%s: after the refusal came %q", name, rest)
		}
	}
	if len(got) > 0 {
		t.Errorf("the server got %s", (<-got).RequestURI)
	}
}

// The bodies of all callers together stay within their share of the memory.
func TestBodiesWithinMemory(t *testing.T) {
	t.Parallel()
	cfg := testConfig("127.0.0.1:1")
	cfg.MemoryMB = 1 // room for one of the longest
	n := startNode(t, cfg, nil)
	begin := func() *bufio.Reader {
		c := dial(t, n.Addr().String())
		fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 5000m\r\nExpect: 100-continue\r\n"+
			"Content-Length: %d\r\n\r\n", message.MaxBody)
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

// More callers than descriptors wait their turn; none is lost and the node stays up.
func TestCallersOverTheBudget(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	cfg := testConfig("127.0.0.1:1", listed("s", addr))
	cfg.Sockets = 42 // 6 for callers
	n := startNode(t, cfg, nil)
	client := &http.Client{Timeout: limit} // keeps its connections
	const callers = 30
	errs := make(chan error, callers)
	var refused atomic.Int64
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
				case 503: // by the module, for want of room
					refused.Add(1)
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
	if refused.Load() == callers {
		t.Error("none was served")
	}
}
