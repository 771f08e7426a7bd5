package node

import (
	"bufio"
	"bytes"
	"errors"
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

// patternPeriod is after how many bytes the pattern begins again: 5*256 * 7/5 is a multiple of 256.
const patternPeriod = 5 * 256

// patternBytes are enough periods of the pattern that a copy from any offset in the first one fills a usual buffer.
var patternBytes = func() []byte {
	b := make([]byte, 64*patternPeriod)
	for i := range b {
		b[i] = byte(i * 7 / 5)
	}
	return b
}()

// pattern is a body whose bytes follow from their offsets, so that a lost or repeated part shows.
type pattern struct{ offset, size int }

func (p *pattern) Read(b []byte) (int, error) {
	if p.offset >= p.size {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size-p.offset)], patternBytes[p.offset%patternPeriod:])
	p.offset += n
	return n, nil
}

// checkPattern reads a body to its end, and returns an error unless it is the pattern of that size.
func checkPattern(r io.Reader, size int) error {
	want := &pattern{size: size}
	gotBytes, wantBytes := make([]byte, 8192), make([]byte, 8192)
	for offset := 0; ; {
		got, err := io.ReadFull(r, gotBytes)
		wanted, _ := io.ReadFull(want, wantBytes)
		if got != wanted || !bytes.Equal(gotBytes[:got], wantBytes[:wanted]) {
			return errors.Join(fmt.Errorf("%d bytes at %d, want %d", got, offset, wanted), err)
		}
		if offset += got; got < len(gotBytes) {
			return nil
		}
	}
}

// patternServer answers each request, once it has all of its body, with the pattern of that size: framed by its length, in
// chunks, or by the close of the connection; "cut" breaks off halfway. It counts on ran the requests that were complete.
func patternServer(t *testing.T, size int, framing string, ran *atomic.Int64) string {
	return testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n := req.ContentLength; req.Method == "POST" {
				if n < 0 {
					fmt.Sscan(req.Header.Get("Content-Type"), &n) // where the test writes the length of a chunked body
				}
				if err := checkPattern(req.Body, int(n)); err != nil {
					return // the request is not complete, so it does not run
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

// Long and short bodies pass unchanged in both directions, in every framing.
func TestBodiesPassUnchanged(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"length", "chunked", "close"} {
		for _, size := range []int{10, 64 << 10, 64<<10 + 1, 3 << 20} {
			var ran atomic.Int64
			n := startNode(t, testConfig(unusedAddr, listed("s", patternServer(t, size, framing, &ran))), nil)
			for _, hasLength := range []bool{true, false} {
				r := newRequest(t, n, "POST", "/order/1", "")
				r.Header.Set("X-Correlation-Id", fmt.Sprint(framing, size, hasLength)) // two open requests may not share one
				r.Body, r.ContentLength = io.NopCloser(&pattern{size: size}), int64(size)
				if !hasLength {
					r.ContentLength = -1
					r.Header.Set("Content-Type", fmt.Sprint(size))
				}
				resp, err := http.DefaultTransport.RoundTrip(r)
				if err != nil {
					t.Fatalf("%s, %d bytes: %v", framing, size, err)
				}
				if err := checkPattern(resp.Body, size); err != nil || resp.StatusCode != 200 {
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

// A caller can tell that a response was cut short by its server, also over HTTP/1.0, and the request is not retried.
func TestTruncatedResponseIsVisible(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	n := startNode(t, testConfig(unusedAddr, listed("s", patternServer(t, 1<<20, "cut", &ran))), nil)
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

// The node buffers no more of long responses to slow callers than its budget allows, however many there are.
func TestBufferedResponsesStayWithinBudget(t *testing.T) {
	const size, callers = 8 << 20, 32
	var ran atomic.Int64
	cfg := testConfig(unusedAddr, listed("s", patternServer(t, size, "length", &ran)))
	cfg.MemoryMB = 48
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Deadline = limit // memory is measured here, not time
	}
	n := startNode(t, cfg, nil)
	var all sync.WaitGroup
	var began sync.WaitGroup
	release := make(chan struct{})
	began.Add(callers)
	for i := range callers {
		all.Go(func() {
			c := dial(t, n.Addr().String())
			c.(*net.TCPConn).SetReadBuffer(64 << 10)
			timeLeft := fmt.Sprintf("%dm", limit.Milliseconds())
			resp, err := exchange(c, requestHead("GET /read/1", fmt.Sprintf("many-%d", i), timeLeft))
			began.Done()
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%v, %v", resp, err)
				return
			}
			<-release
			if err := checkPattern(resp.Body, size); err != nil {
				t.Error(err)
			}
		})
	}
	began.Wait()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	// The servers and callers are in this process, too.
	if inUse, total := m.HeapAlloc, uint64(callers*size); inUse > total/4 {
		t.Errorf("%d MB in use for responses of %d MB in all", inUse>>20, total>>20)
	}
	close(release)
	all.Wait()
	n.onlyEngine().Do(func() {})
	testkit.Eventually(t, "the memory for responses is not returned to its budget", func() bool {
		used, _ := n.budgets.responseBuffers.Used()
		return used == 0
	})
}

// The time left of a request counts from its last byte: a caller may take longer for the upload than it allows for the
// response.
func TestSlowUpload(t *testing.T) {
	t.Parallel()
	const size = 100 << 10
	var ran atomic.Int64
	n := startNode(t, testConfig(unusedAddr, listed("s", patternServer(t, 10, "length", &ran))), nil)
	for _, short := range []bool{true, false} {
		length := size
		if short {
			length = 1000
		}
		c := dial(t, n.Addr().String())
		io.WriteString(c, requestHead("POST /order/1", fmt.Sprintf("slow-%v", short), "300m", fmt.Sprintf("Content-Length: %d", length)))
		p := &pattern{size: length}
		io.CopyN(c, p, int64(length-100))
		// The wait is longer than the time left for the response.
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

// A long upload that its server rejects is not sent to another server, because part of it is gone. The caller gets 503
// while it still writes. An upload that its caller breaks off leaves nothing open.
func TestRejectedUploadIsNotRetried(t *testing.T) {
	t.Parallel()
	var seen atomic.Int64
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			seen.Add(1)
			io.WriteString(c, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}
	})
	n := startNode(t, testConfig(unusedAddr, listed("a", addr), listed("b", addr)), nil)
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
	io.WriteString(c, requestHead("POST /order/1", "off", "300m", fmt.Sprintf("Content-Length: %d", 1<<20))+strings.Repeat("x", 200<<10))
	testkit.Eventually(t, "the upload never reached a server", func() bool { return seen.Load() == 2 })
	c.Close()
	testkit.Eventually(t, "something is left open", func() bool { return n.onlyEngine().OpenCalls() == 0 })
}

// A caller that expects 100 Continue gets it once its request is accepted, and never if the request is rejected.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	n := startNode(t, testConfig(unusedAddr, listed("s", patternServer(t, 10, "length", &ran))), nil)
	for path, want := range map[string]string{"/order/1": "HTTP/1.1 100 ", "/none/1": "HTTP/1.1 404 "} {
		c := dial(t, n.Addr().String())
		io.WriteString(c, requestHead("POST "+path, "e", "5000m", "Expect: 100-continue", "Content-Length: 5"))
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

// A request whose body its caller cuts short runs nowhere, in any framing and wherever it is cut.
func TestTruncatedRequestNeverRuns(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	n := startNode(t, testConfig(unusedAddr, listed("s", patternServer(t, 10, "length", &ran))), nil)
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
		// Either the front answers first, that the request is malformed, or the engine, whose attempt never ran, that it is
		// rejected. Both are true, and no other answer is.
		if len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 4") && !strings.HasPrefix(string(answer), "HTTP/1.1 503") {
			t.Errorf("%s: %.60q", name, answer)
		}
	}
	if ran.Load() != 0 {
		t.Errorf("%d of them ran", ran.Load())
	}
}
