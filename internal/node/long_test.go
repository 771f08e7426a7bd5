package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

// pattern is a body whose every byte tells where it stands.
type pattern struct{ at, size int }

func (p *pattern) Read(b []byte) (int, error) {
	if p.at >= p.size {
		return 0, io.EOF
	}
	n := min(len(b), p.size-p.at)
	for i := range n {
		b[i] = byte((p.at + i) * 7 / 5)
	}
	p.at += n
	return n, nil
}

func isPattern(t testing.TB, r io.Reader, size int) error {
	want := &pattern{size: size}
	a, b := make([]byte, 8192), make([]byte, 8192)
	for at := 0; ; {
		n, err := io.ReadFull(r, a)
		m, _ := io.ReadFull(want, b)
		if n != m || !bytes.Equal(a[:n], b[:m]) {
			return fmt.Errorf("%d bytes at %d, want %d: %v", n, at, m, err)
		}
		if at += n; n < len(a) {
			return nil
		}
	}
}

// echoStub answers each request with a body of so many bytes, in the framing named, once it has all of the request.
func echoStub(t *testing.T, size int, framing string, ran *atomic.Int64) string {
	return testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n := req.ContentLength; req.Method == "POST" {
				if n < 0 {
					fmt.Sscan(req.Header.Get("Content-Type"), &n) // where the caller's framing told no length
				}
				if err := isPattern(t, req.Body, int(n)); err != nil {
					return // not whole, so it does not run
				}
			}
			ran.Add(1)
			switch framing {
			case "length":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
				io.Copy(c, &pattern{size: size})
			case "chunked":
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				p := &pattern{size: size}
				for b := make([]byte, 5000); ; {
					n, err := p.Read(b)
					if err != nil {
						break
					}
					fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", n, b[:n])
				}
				io.WriteString(c, "0\r\nX-Sum: 1\r\n\r\n")
			case "close":
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				io.Copy(c, &pattern{size: size})
				return
			case "cut":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
				io.Copy(c, &pattern{size: size / 2})
				return
			}
		}
	})
}

// Long and short bodies go through unchanged in every framing, both ways.
func TestLongBodies(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"length", "chunked", "close"} {
		for _, size := range []int{10, 64 << 10, 64<<10 + 1, 3 << 20} {
			var ran atomic.Int64
			n := startNode(t, testConfig("127.0.0.1:1", listed("s", echoStub(t, size, framing, &ran))), nil)
			for _, told := range []bool{true, false} {
				r := newRequest(t, n, "POST", "/order/1", "")
				r.Body, r.ContentLength = io.NopCloser(&pattern{size: size}), int64(size)
				if !told {
					r.ContentLength = -1
					r.Header.Set("Content-Type", fmt.Sprint(size))
				}
				resp, err := http.DefaultTransport.RoundTrip(r)
				if err != nil {
					t.Fatalf("%s, %d bytes: %v", framing, size, err)
				}
				if err := isPattern(t, resp.Body, size); err != nil || resp.StatusCode != 200 {
					t.Errorf("%s, %d bytes: %s, %v", framing, size, resp.Status, err)
				}
				resp.Body.Close()
			}
			if ran.Load() != 2 {
				t.Errorf("%s, %d bytes: ran %d times for 2 requests", framing, size, ran.Load())
			}
		}
	}
}

// An answer that its server cuts short is plainly not whole to the caller, also to one of HTTP/1.0, and is not tried again.
func TestLongAnswerCutShort(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	n := startNode(t, testConfig("127.0.0.1:1", listed("s", echoStub(t, 1<<20, "cut", &ran))), nil)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c := dial(t, n.Addr().String())
		fmt.Fprintf(c, "GET /read/1 %s\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Time-Left: 5000m\r\n\r\n", proto, proto)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: %d bytes and no error", proto, len(got))
		}
	}
	if ran.Load() != 2 {
		t.Errorf("ran %d times for 2 requests", ran.Load())
	}
}

// Of long answers to callers that read slowly the node holds no more than its room, however many there are.
func TestManyLongAnswers(t *testing.T) {
	const size, callers = 8 << 20, 32
	var ran atomic.Int64
	cfg := testConfig("127.0.0.1:1", listed("s", echoStub(t, size, "length", &ran)))
	cfg.MemoryMB = 48
	n := startNode(t, cfg, nil)
	var all sync.WaitGroup
	var began sync.WaitGroup
	release := make(chan struct{})
	began.Add(callers)
	for i := range callers {
		all.Go(func() {
			c := dial(t, n.Addr().String())
			c.(*net.TCPConn).SetReadBuffer(64 << 10)
			fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: many-%d\r\nX-Time-Left: 10000m\r\n\r\n", i)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			began.Done()
			if err != nil {
				t.Error(err)
				return
			}
			<-release
			if err := isPattern(t, resp.Body, size); err != nil {
				t.Error(err)
			}
		})
	}
	began.Wait()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	// This process holds the servers and callers, too.
	if held, whole := m.HeapAlloc, uint64(callers*size); held > whole/4 {
		t.Errorf("%d MB are held of answers of %d MB in all", held>>20, whole>>20)
	}
	close(release)
	all.Wait()
	n.only().Do(func() {})
	testkit.Eventually(t, "the room for answers is not given back", func() bool {
		used, _ := n.budgets.longAnswers.Used()
		return used == 0
	})
}

// A request's time runs from its last byte, and a caller may take longer for the bytes before than it gives for the answer.
func TestSlowUpload(t *testing.T) {
	t.Parallel()
	const size = 100 << 10
	var ran atomic.Int64
	n := startNode(t, testConfig("127.0.0.1:1", listed("s", echoStub(t, 10, "length", &ran))), nil)
	for _, short := range []bool{true, false} {
		length := size
		if short {
			length = 1000
		}
		c := dial(t, n.Addr().String())
		fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: slow-%v\r\nX-Time-Left: 300m\r\nContent-Length: %d\r\n\r\n", short, length)
		p := &pattern{size: length}
		io.CopyN(c, p, int64(length-100))
		// The wait is what is tested: longer than the time that is left for the answer.
		time.Sleep(500 * time.Millisecond)
		io.Copy(c, p)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("short %v: %v, %v", short, resp, err)
		}
	}
	if ran.Load() != 2 {
		t.Errorf("ran %d times for 2 requests", ran.Load())
	}
}

// A long body whose server turns it away is refused and not sent elsewhere, for part of it has gone; the caller hears so
// while it still writes. A caller that breaks off leaves nothing behind.
func TestUploadTurnedAway(t *testing.T) {
	t.Parallel()
	var seen atomic.Int64
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			seen.Add(1)
			io.WriteString(c, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", listed("a", addr), listed("b", addr)), nil)
	r := newRequest(t, n, "POST", "/order/1", "")
	r.Body, r.ContentLength = io.NopCloser(&pattern{size: 16 << 20}), 16<<20
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v, %v", resp, err)
	}
	if seen.Load() != 1 {
		t.Errorf("%d servers saw part of it", seen.Load())
	}
	c := dial(t, n.Addr().String())
	fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: off\r\nX-Time-Left: 300m\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 200<<10))
	testkit.Eventually(t, "the upload never reached a server", func() bool { return seen.Load() == 2 })
	c.Close()
	testkit.Eventually(t, "something is left open", func() bool { return n.only().OpenCalls() == 0 })
}

// A caller that waits for 100 is told to go on only once its request is taken, and not at all if it is refused.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	n := startNode(t, testConfig("127.0.0.1:1", listed("s", echoStub(t, 10, "length", &ran))), nil)
	for path, want := range map[string]string{"/order/1": "HTTP/1.1 100 ", "/none/1": "HTTP/1.1 404 "} {
		c := dial(t, n.Addr().String())
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: e\r\nX-Time-Left: 5000m\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", path)
		r := bufio.NewReader(c)
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, want) {
			t.Errorf("%s: %q, %v", path, line, err)
			continue
		}
		if path == "/order/1" {
			r.ReadString('\n')
			io.Copy(c, &pattern{size: 5})
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
				t.Errorf("%v, %v", resp, err)
			}
		}
	}
}

// A body that its caller cuts short, in whatever framing and wherever, is no request.
func TestBodyCutShort(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	n := startNode(t, testConfig("127.0.0.1:1", listed("s", echoStub(t, 10, "length", &ran))), nil)
	long := &bytes.Buffer{}
	io.Copy(long, &pattern{size: 100 << 10})
	for name, rest := range map[string]string{
		"within a chunk":   "Transfer-Encoding: chunked\r\n\r\n5\r\n\x00\x01\x02",
		"after a chunk":    "Transfer-Encoding: chunked\r\n\r\n1\r\n\x00\r\n",
		"behind its end":   "Transfer-Encoding: chunked\r\n\r\n1\r\n\x00\r\n0\r\n",
		"of a length":      "Content-Length: 5\r\n\r\n\x00\x01",
		"of a long length": "Content-Length: 200000\r\n\r\n" + long.String(),
		"in a long chunk":  "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + long.String(),
	} {
		c := dial(t, n.Addr().String())
		fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: cut-%d\r\nX-Time-Left: 5000m\r\nContent-Type: 1\r\n%s", len(name), rest)
		c.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(c)
		// Whoever comes first: the front, which says that the request is bad, or the engine, whose attempt never ran and is
		// refused. Both are true, and nothing else may be said.
		if len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 4") && !strings.HasPrefix(string(answer), "HTTP/1.1 503") {
			t.Errorf("%s: %.60q", name, answer)
		}
	}
	if ran.Load() != 0 {
		t.Errorf("%d of them ran", ran.Load())
	}
}
