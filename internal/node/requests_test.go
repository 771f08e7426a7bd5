package node

import (
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// A request and its response pass through the node unchanged, but for the time that is left.
func TestRequestPassesUnchanged(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	r := newRequest(t, n, "POST", "/send//7f%2F3a?q=1&q=2", strings.Repeat("x", message.MaxBody))
	r.Header.Set("Idempotency-Key", "k-1")
	resp, body := do(t, r)
	if resp.StatusCode != 200 || body != "hi" || resp.Header.Get("Content-Type") != "a/b" {
		t.Errorf("answer %d %q %v", resp.StatusCode, body, resp.Header)
	}
	s := testkit.Wait(t, got)
	if s.Method != "POST" || s.RequestURI != "/send//7f%2F3a?q=1&q=2" || len(s.Text) != message.MaxBody ||
		s.Header.Get("X-Correlation-Id") != "c-1" || s.Header.Get("Idempotency-Key") != "k-1" {
		t.Errorf("the server got %s %s, %d bytes, %v", s.Method, s.RequestURI, len(s.Text), s.Header)
	}
	us, ok := strings.CutSuffix(s.Header.Get("X-Time-Left"), "u")
	if left, err := strconv.Atoi(us); !ok || err != nil || left <= 0 || left > 10e6 {
		t.Errorf("X-Time-Left %q", s.Header.Get("X-Time-Left"))
	}
}

// HTTP/1.0 allows a request without a Host field: it is served like any other.
func TestRequestWithoutHost(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	resp, err := exchange(dial(t, n.Addr().String()), "GET /read/1 HTTP/1.0\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n")
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("answer %+v, %v", resp, err)
	}
	if s := testkit.Wait(t, got); s.Host != addr {
		t.Errorf("host %q", s.Host)
	}
}

// A request with the id of one that is open is rejected, because forwarding it would run the request twice. Once the open
// one is answered, its id may be used again.
func TestOpenRequestIDIsRejected(t *testing.T) {
	t.Parallel()
	addr, began, release := blockingServer(t, everyPath)
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	status := make(chan int, 1)
	for range 2 {
		go func() {
			resp, _ := do(t, newRequest(t, n, "GET", "/read/1", ""))
			status <- resp.StatusCode
		}()
		testkit.Wait(t, began)
		if resp, _ := do(t, newRequest(t, n, "GET", "/read/2", "")); resp.StatusCode != 409 {
			t.Errorf("a request with the open id: %d", resp.StatusCode)
		}
		release <- struct{}{}
		if s := testkit.Wait(t, status); s != 200 {
			t.Errorf("the request that was open: %d", s)
		}
		n.waitForEngine(t)
	}
	if len(began) > 0 {
		t.Error("a request with the open id reached the server")
	}
}

// A request that is not well-formed gets the status that the protocol's page names, and no server receives it.
func TestMalformedRequestIsRejected(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	for name, c := range map[string]struct {
		method, path, header, value string
		size, status                int
	}{
		"no id":         {"GET", "/read/1", "X-Correlation-Id", "", 0, 400},
		"no time":       {"GET", "/read/1", "X-Time-Left", "", 0, 400},
		"no unit":       {"GET", "/read/1", "X-Time-Left", "480", 0, 400},
		"no number":     {"GET", "/read/1", "X-Time-Left", "m", 0, 400},
		"nothing left":  {"GET", "/read/1", "X-Time-Left", "0m", 0, 400},
		"negative":      {"GET", "/read/1", "X-Time-Left", "-5m", 0, 400},
		"not a number":  {"GET", "/read/1", "X-Time-Left", "NaNm", 0, 400},
		"endless":       {"GET", "/read/1", "X-Time-Left", "1e300m", 0, 400},
		"far too long":  {"GET", "/read/1", "X-Time-Left", "90000m", 0, 400},
		"no class":      {"GET", "/", "A", "", 0, 404},
		"unknown class": {"GET", "/reed/1", "A", "", 0, 404},
		"method":        {"PUT", "/read/1", "A", "", 0, 405},
		"unsafe as GET": {"GET", "/order/1", "A", "", 0, 405},
		"safe as POST":  {"POST", "/read/1", "A", "", 0, 405},
		"GET with body": {"GET", "/read/1", "A", "", 5, 400},
		"no key":        {"POST", "/send/1", "A", "", 0, 400},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, n, c.method, c.path, strings.Repeat("x", c.size))
			r.Header.Set(c.header, c.value)
			if resp, _ := do(t, r); resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
	// A body that is too long is rejected by its Content-Length, before any of it is sent.
	c := dial(t, n.Addr().String())
	tooLong := requestHead("POST /order/1", "c-1", "5000m", fmt.Sprintf("Content-Length: %d", 64<<20+1))
	if resp, err := exchange(c, tooLong); err != nil || resp.StatusCode != 413 {
		t.Errorf("body too long: %v, %v", resp, err)
	}
	if len(got) > 0 {
		t.Error("a malformed request reached the server")
	}
}

// A rejected request gets 503 with Retry-After in decimal seconds, a failed one 502.
func TestStatusOfRejectedAndFailedRequests(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig(unusedAddr), moduleFunc(func(e balancer.Event) []balancer.Action {
		switch r, _ := e.(balancer.Request); r.Class {
		case "read":
			return []balancer.Action{
				balancer.Reject{ID: r.ID, RetryAfter: 250 * time.Millisecond},
				balancer.Fail{ID: r.ID},
			} // the request is finished by the first, so the second is ignored
		case "order":
			return []balancer.Action{balancer.Fail{ID: r.ID}}
		}
		return nil
	}))
	resp, _ := do(t, newRequest(t, n, "GET", "/read/1", ""))
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.25" {
		t.Errorf("rejected: %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if resp, _ := do(t, newRequest(t, n, "POST", "/order/1", "")); resp.StatusCode != 502 {
		t.Errorf("failed: %d", resp.StatusCode)
	}
}

// A caller whose time is almost up gets a final answer as well, not a closed connection.
func TestExpiringRequestIsAnswered(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	n := startNode(t, testConfig(unusedAddr, listed("s", addr)), nil)
	for range 20 {
		for method, path := range map[string]string{"GET": "/read/1", "POST": "/order/1"} {
			body := ""
			if method == "POST" {
				body = "body"
			}
			r := newRequest(t, n, method, path, body)
			r.Header.Set("X-Time-Left", "1u")
			if resp, _ := do(t, r); resp.StatusCode != 502 && resp.StatusCode != 503 {
				t.Errorf("%s: answer %d", method, resp.StatusCode)
			}
		}
	}
}

// The readiness endpoint answers 200 while the node serves.
func TestReadinessEndpoint(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig(unusedAddr), nil)
	r, _ := http.NewRequest("GET", "http://"+n.Addr().String()+"/health/ready", nil)
	if resp, _ := do(t, r); resp.StatusCode != 200 {
		t.Errorf("ready: %d", resp.StatusCode)
	}
}

// A response over 64 KiB is forwarded as long as there is memory for it, which is returned to the budget afterwards.
func TestLongResponsesReturnTheirMemory(t *testing.T) {
	t.Parallel()
	const long = 3 * message.MaxBody
	addr, _ := testkit.Stub(t, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(long)+"\r\n\r\n"+strings.Repeat("x", long), false)
	cfg := testConfig(unusedAddr, listed("s", addr))
	cfg.MemoryMB = 1.5 * long / 0.15 / (1 << 20) // for one such response at a time
	n := startNode(t, cfg, nil)
	for range 3 {
		if resp, body := do(t, newRequest(t, n, "GET", "/read/1", "")); resp.StatusCode != 200 || len(body) != long {
			t.Errorf("through the node: %d, %d bytes", resp.StatusCode, len(body))
		}
		for used := int64(1); used > 0; used, _ = n.budgets.responseBuffers.Used() { // the handler may not have returned yet
			runtime.Gosched()
		}
	}
}
