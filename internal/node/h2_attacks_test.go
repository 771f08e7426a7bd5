package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cranegrade/internal/testkit"
)

// attacker is a caller that writes frames by itself.
type attacker struct {
	net.Conn
	fr   *http2.Framer
	enc  *hpack.Encoder
	buf  bytes.Buffer
	ends chan string // what became of each stream, or of the connection, which ends it
}

func attack(t *testing.T, addr string) *attacker {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(limit))
	a := &attacker{Conn: nc, fr: http2.NewFramer(nc, nc), ends: make(chan string, 1000)}
	a.enc = hpack.NewEncoder(&a.buf)
	io.WriteString(nc, http2.ClientPreface)
	a.fr.WriteSettings()
	a.fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	go func() {
		defer close(a.ends)
		for {
			f, err := a.fr.ReadFrame()
			if err != nil {
				a.ends <- "closed"
				return
			}
			switch f := f.(type) {
			case *http2.RSTStreamFrame:
				a.ends <- fmt.Sprintf("reset %v", f.ErrCode)
			case *http2.GoAwayFrame:
				a.ends <- fmt.Sprintf("goaway %v", f.ErrCode)
			case *http2.MetaHeadersFrame:
				a.ends <- "status " + f.PseudoValue("status")
			}
		}
	}()
	return a
}

// fields are a good request's, and more.
func fields(addr, id string, more ...[2]string) [][2]string {
	return append([][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":authority", addr},
		{":path", "/order/x"},
		{"x-correlation-id", id},
		{"x-time-left", "5000m"},
	}, more...)
}

func (a *attacker) block(l [][2]string) []byte {
	a.buf.Reset()
	for _, f := range l {
		a.enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	return bytes.Clone(a.buf.Bytes())
}

func (a *attacker) headers(id uint32, end bool, l [][2]string) error {
	return a.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: a.block(l), EndHeaders: true, EndStream: end})
}

// TestH2Attacks: each costs its own stream or connection a bounded amount and ends in a plain result; no server hears
// of a request that is none, and another caller is served all the while.
func TestH2Attacks(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	var smuggled atomic.Bool
	addr, client, _ := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("X-Correlation-Id"), "good") {
			return
		}
		ran.Add(1)
		if r.URL.Path != "/order/x" || r.Header.Get("Transfer-Encoding") != "" {
			smuggled.Store(true)
		}
	}))
	bodyless := [2]string{"content-length", "0"}
	for name, c := range map[string]struct {
		do   func(a *attacker)
		want string // prefixes of what may become of it, by |
		runs int64  // of the request, at the most
	}{
		"a good request":          {func(a *attacker) { a.headers(1, true, fields(addr, "a1", bodyless)) }, "status 200", 1},
		"upper-case names":        {func(a *attacker) { a.headers(1, true, fields(addr, "a2", [2]string{"X-Upper", "1"})) }, "reset PROTOCOL|goaway|closed", 0},
		"a pseudo-field twice":    {func(a *attacker) { a.headers(1, true, append([][2]string{{":method", "GET"}}, fields(addr, "a3")...)) }, "reset PROTOCOL|goaway|closed", 0},
		"a pseudo-field late":     {func(a *attacker) { a.headers(1, true, fields(addr, "a4", [2]string{":path", "/read/y"})) }, "reset PROTOCOL|goaway|closed", 0},
		"an unknown pseudo-field": {func(a *attacker) { a.headers(1, true, append([][2]string{{":status", "200"}}, fields(addr, "a5")...)) }, "reset PROTOCOL|goaway|closed", 0},
		"connection-specific":     {func(a *attacker) { a.headers(1, true, fields(addr, "a6", [2]string{"connection", "close"})) }, "reset PROTOCOL|status 400|goaway|closed", 0},
		"transfer-encoding":       {func(a *attacker) { a.headers(1, true, fields(addr, "a7", [2]string{"transfer-encoding", "chunked"})) }, "reset PROTOCOL|status 4|goaway|closed", 0},
		"a line break in a value": {func(a *attacker) {
			a.headers(1, true, fields(addr, "a8", [2]string{"idempotency-key", "x\r\nx-evil: 1"}))
		}, "reset PROTOCOL|status 4|goaway|closed", 0},
		"a line break in the path": {func(a *attacker) {
			l := fields(addr, "a9")
			l[3][1] = "/order/x HTTP/1.1\r\nX-Evil: 1"
			a.headers(1, true, l)
		}, "reset PROTOCOL|status 4|goaway|closed", 0},
		"more DATA than content-length": {func(a *attacker) {
			a.headers(1, false, fields(addr, "b1", [2]string{"content-length", "1"}))
			a.fr.WriteData(1, true, []byte("GET /read/evil HTTP/1.1\r\n\r\n"))
		}, "reset|status 400|goaway|closed", 0},
		"less DATA than content-length": {func(a *attacker) {
			a.headers(1, false, fields(addr, "b2", [2]string{"content-length", "10"}))
			a.fr.WriteData(1, true, []byte("x"))
		}, "reset|status 400|goaway|closed", 0},
		"two lengths": {func(a *attacker) {
			a.headers(1, false, fields(addr, "b3", [2]string{"content-length", "1"}, [2]string{"content-length", "2"}))
			a.fr.WriteData(1, true, []byte("x"))
		}, "reset|status 400|goaway|closed", 0},
		"DATA after the end": {func(a *attacker) {
			a.headers(1, true, fields(addr, "b4", bodyless))
			a.fr.WriteData(1, true, []byte("x"))
		}, "status 200|reset|goaway|closed", 1},
		"an even stream": {func(a *attacker) { a.headers(2, true, fields(addr, "b5", bodyless)) }, "goaway PROTOCOL|closed", 0},
		"a stream that goes back": {func(a *attacker) {
			a.headers(5, true, fields(addr, "b6", bodyless))
			a.headers(3, true, fields(addr, "b7", bodyless))
		}, "status 200|goaway|closed", 1},
		"a header list of 1 MB": {func(a *attacker) {
			a.headers(1, true, fields(addr, "c1", [2]string{"x-long", strings.Repeat("a", 10<<10)}, [2]string{"x-long2", strings.Repeat("b", 1<<14)}))
			block := a.block(fields(addr, "c2", [2]string{"x-long", strings.Repeat("\x01", 1<<20)}))
			a.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: block[:16<<10]})
			for block = block[16<<10:]; len(block) > 0; {
				n := min(len(block), 16<<10)
				if a.fr.WriteContinuation(3, n == len(block), block[:n]) != nil {
					return
				}
				block = block[n:]
			}
		}, "status 431|reset|goaway|closed", 0},
		"an HPACK bomb": {func(a *attacker) {
			// One long field in the table, named 4,000 times by a byte each.
			block := a.block(fields(addr, "c3", [2]string{"x-bomb", strings.Repeat("a", 3000)}))
			block = append(block, bytes.Repeat([]byte{0x80 | 62}, 4000)...)
			a.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block, EndHeaders: true, EndStream: true})
		}, "status 431|reset|goaway|closed", 0},
		"CONTINUATION without end": {func(a *attacker) {
			a.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: a.block(fields(addr, "c4"))})
			for range 100_000 {
				if a.fr.WriteContinuation(1, false, a.block([][2]string{{"x-more", "1"}})) != nil {
					return
				}
			}
		}, "goaway|closed|reset", 0},
		"SETTINGS without end": {func(a *attacker) {
			for range 200_000 {
				if a.fr.WriteSettings() != nil {
					return
				}
			}
		}, "", 0},
		"PINGs without end": {func(a *attacker) {
			for range 200_000 {
				if a.fr.WritePing(false, [8]byte{}) != nil {
					return
				}
			}
		}, "", 0},
		"empty DATA without end": {func(a *attacker) {
			a.headers(1, false, fields(addr, "c5", [2]string{"content-length", "1"}))
			for range 100_000 {
				if a.fr.WriteData(1, false, nil) != nil {
					return
				}
			}
		}, "status 400|reset|goaway|closed", 0},
		"windows of one byte": {func(a *attacker) {
			a.headers(1, true, fields(addr, "c6", bodyless))
			for range 100_000 {
				if a.fr.WriteWindowUpdate(0, 1) != nil {
					return
				}
			}
		}, "status 200", 1},
		"a window too far": {func(a *attacker) { a.fr.WriteWindowUpdate(0, 1<<31-1) }, "goaway FLOW|closed", 0},
		"streams over the limit": {func(a *attacker) {
			for i := range uint32(600) {
				a.headers(2*i+1, false, fields(addr, fmt.Sprint("d", i), [2]string{"content-length", "1"}))
			}
		}, "reset REFUSED|goaway", 0},
		"no preface":      {func(a *attacker) { io.WriteString(a.Conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }, "goaway|closed", 0},
		"half a frame":    {func(a *attacker) { a.Conn.Write([]byte{0, 0, 9, 1}); a.Conn.(*net.TCPConn).CloseWrite() }, "closed|goaway", 0},
		"a frame of 1 MB": {func(a *attacker) { a.Conn.Write([]byte{0x10, 0, 0, 0, 0, 0, 0, 0, 1}) }, "goaway FRAME|closed", 0},
	} {
		t.Run(name, func(t *testing.T) {
			ran.Store(0)
			a := attack(t, addr)
			a.SetWriteDeadline(time.Now().Add(limit / 2))
			c.do(a)
			resp, err := client.Do(h2Request(context.Background(), addr, "GET", "read", "good-"+name, nil))
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("another caller: %v, %v", resp, err)
			} else {
				resp.Body.Close()
			}
			if c.want != "" {
				got := testkit.Wait(t, a.ends)
				ok := false
				for _, w := range strings.Split(c.want, "|") {
					ok = ok || strings.HasPrefix(got, w)
				}
				if !ok {
					t.Errorf("it ended with %q, want %s", got, c.want)
				}
			}
			if ran.Load() > c.runs {
				t.Errorf("servers heard of it %d times", ran.Load())
			}
		})
	}
	if smuggled.Load() {
		t.Error("a server heard of a request that nobody made")
	}
}

// A caller that ignores GOAWAY: what it opens after it is not run, and the node ends all the same.
func TestH2GoAwayIgnored(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	addr, _, stop := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) { ran.Add(1) }))
	a := attack(t, addr)
	a.headers(1, true, fields(addr, "before", [2]string{"content-length", "0"}))
	if got := testkit.Wait(t, a.ends); got != "status 200" {
		t.Fatal(got)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	for got := ""; !strings.HasPrefix(got, "goaway") && got != "closed"; got = testkit.Wait(t, a.ends) {
	}
	for id := uint32(1001); id < 2001; id += 2 {
		if a.headers(id, true, fields(addr, fmt.Sprint("after-", id), [2]string{"content-length", "0"})) != nil {
			break
		}
	}
	testkit.Wait(t, stopped)
	if n := ran.Load(); n != 1 {
		t.Errorf("%d requests ran", n)
	}
}
