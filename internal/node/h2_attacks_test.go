package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"cranegrade/internal/testkit"
)

// TestH2Attacks: each attack costs a bounded amount and ends its own stream or connection alone. No server receives an
// invalid request, and another caller is served meanwhile.
func TestH2Attacks(t *testing.T) {
	t.Parallel()
	var runs runCounter
	var smuggled atomic.Bool
	addr, client, stop := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		if strings.HasPrefix(id, "good") {
			return
		}
		attack, _, _ := strings.Cut(id, "-")
		runs.add(attack)
		if r.URL.Path != "/order/x" || r.Header.Get("Transfer-Encoding") != "" {
			smuggled.Store(true)
		}
	}))
	bodyless := [2]string{"content-length", "0"}
	attacks := map[string]struct {
		write   func(c *rawH2Client, id string) // the ids of its requests are this one, and those that continue it after a hyphen
		want    string                          // how it may end: prefixes of what watchEnds reports, separated by |; "": not checked
		maxRuns int                             // how many requests may reach a server
	}{
		"a good request": {func(c *rawH2Client, id string) { c.writeHeaders(1, true, orderFields(addr, id, bodyless)) }, "status 200", 1},
		"upper-case names": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, [2]string{"X-Upper", "1"}))
		}, "reset PROTOCOL|goaway|closed", 0},
		"a pseudo-field twice": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, append([][2]string{{":method", "GET"}}, orderFields(addr, id)...))
		}, "reset PROTOCOL|goaway|closed", 0},
		"a pseudo-field late": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, [2]string{":path", "/read/y"}))
		}, "reset PROTOCOL|goaway|closed", 0},
		"an unknown pseudo-field": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, append([][2]string{{":status", "200"}}, orderFields(addr, id)...))
		}, "reset PROTOCOL|goaway|closed", 0},
		"connection-specific": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, [2]string{"connection", "close"}))
		}, "reset PROTOCOL|status 400|goaway|closed", 0},
		"transfer-encoding": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, [2]string{"transfer-encoding", "chunked"}))
		}, "reset PROTOCOL|status 4|goaway|closed", 0},
		"a line break in a value": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, [2]string{"idempotency-key", "x\r\nx-evil: 1"}))
		}, "reset PROTOCOL|status 4|goaway|closed", 0},
		"a line break in the path": {func(c *rawH2Client, id string) {
			l := orderFields(addr, id)
			l[3][1] = "/order/x HTTP/1.1\r\nX-Evil: 1"
			c.writeHeaders(1, true, l)
		}, "reset PROTOCOL|status 4|goaway|closed", 0},
		"more DATA than content-length": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, false, orderFields(addr, id, [2]string{"content-length", "1"}))
			c.framer.WriteData(1, true, []byte("GET /read/evil HTTP/1.1\r\n\r\n"))
		}, "reset|status 400|goaway|closed", 0},
		"less DATA than content-length": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, false, orderFields(addr, id, [2]string{"content-length", "10"}))
			c.framer.WriteData(1, true, []byte("x"))
		}, "reset|status 400|goaway|closed", 0},
		"two lengths": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, false, orderFields(addr, id, [2]string{"content-length", "1"}, [2]string{"content-length", "2"}))
			c.framer.WriteData(1, true, []byte("x"))
		}, "reset|status 400|goaway|closed", 0},
		"DATA after the end": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, bodyless))
			c.framer.WriteData(1, true, []byte("x"))
		}, "status 200|reset|goaway|closed", 1},
		"an even stream": {func(c *rawH2Client, id string) { c.writeHeaders(2, true, orderFields(addr, id, bodyless)) }, "goaway PROTOCOL|closed", 0},
		"a stream that goes back": {func(c *rawH2Client, id string) {
			c.writeHeaders(5, true, orderFields(addr, id, bodyless))
			c.writeHeaders(3, true, orderFields(addr, id+"-second", bodyless))
		}, "status 200|goaway|closed", 1},
		"a header list of 1 MB": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, [2]string{"x-long", strings.Repeat("a", 10<<10)}, [2]string{"x-long2", strings.Repeat("b", 1<<14)}))
			block := c.headerBlock(orderFields(addr, id+"-second", [2]string{"x-long", strings.Repeat("\x01", 1<<20)}))
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: block[:16<<10]})
			for block = block[16<<10:]; len(block) > 0; {
				n := min(len(block), 16<<10)
				if c.framer.WriteContinuation(3, n == len(block), block[:n]) != nil {
					return
				}
				block = block[n:]
			}
		}, "status 431|reset|goaway|closed", 0},
		"an HPACK bomb": {func(c *rawH2Client, id string) {
			// One long field in the dynamic table, which 4,000 references of one byte each repeat.
			block := c.headerBlock(orderFields(addr, id, [2]string{"x-bomb", strings.Repeat("a", 3000)}))
			block = append(block, bytes.Repeat([]byte{0x80 | 62}, 4000)...)
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block, EndHeaders: true, EndStream: true})
		}, "status 431|reset|goaway|closed", 0},
		"CONTINUATION without end": {func(c *rawH2Client, id string) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.headerBlock(orderFields(addr, id))})
			for range 100_000 {
				if c.framer.WriteContinuation(1, false, c.headerBlock([][2]string{{"x-more", "1"}})) != nil {
					return
				}
			}
		}, "goaway|closed|reset", 0},
		"SETTINGS without end": {func(c *rawH2Client, id string) {
			for range 200_000 {
				if c.framer.WriteSettings() != nil {
					return
				}
			}
		}, "", 0},
		"PINGs without end": {func(c *rawH2Client, id string) {
			for range 200_000 {
				if c.framer.WritePing(false, [8]byte{}) != nil {
					return
				}
			}
		}, "", 0},
		"empty DATA without end": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, false, orderFields(addr, id, [2]string{"content-length", "1"}))
			for range 100_000 {
				if c.framer.WriteData(1, false, nil) != nil {
					return
				}
			}
		}, "status 400|reset|goaway|closed", 0},
		"windows of one byte": {func(c *rawH2Client, id string) {
			c.writeHeaders(1, true, orderFields(addr, id, bodyless))
			for range 100_000 {
				if c.framer.WriteWindowUpdate(0, 1) != nil {
					return
				}
			}
		}, "status 200", 1},
		"a window too far": {func(c *rawH2Client, id string) { c.framer.WriteWindowUpdate(0, 1<<31-1) }, "goaway FLOW|closed", 0},
		"streams over the limit": {func(c *rawH2Client, id string) {
			for i := range uint32(600) {
				c.writeHeaders(2*i+1, false, orderFields(addr, fmt.Sprint(id, "-", i), [2]string{"content-length", "1"}))
			}
		}, "reset REFUSED|goaway", 0},
		"no preface":      {func(c *rawH2Client, id string) { io.WriteString(c.Conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }, "goaway|closed", 0},
		"half a frame":    {func(c *rawH2Client, id string) { c.Write([]byte{0, 0, 9, 1}); c.Conn.(*net.TCPConn).CloseWrite() }, "closed|goaway", 0},
		"a frame of 1 MB": {func(c *rawH2Client, id string) { c.Write([]byte{0x10, 0, 0, 0, 0, 0, 0, 0, 1}) }, "goaway FRAME|closed", 0},
	}
	ids := map[string]string{} // of the attacks, by name
	for name, attack := range attacks {
		ids[name] = fmt.Sprint("attack", len(ids))
		t.Run(name, func(t *testing.T) {
			c := dialH2(t, addr)
			ends := c.watchEnds()
			c.SetWriteDeadline(time.Now().Add(limit / 2))
			attack.write(c, ids[name])
			good := h2Request(context.Background(), addr, "GET", "read", "good-"+ids[name], nil)
			good.Header.Set("X-Time-Left", fmt.Sprintf("%dm", limit.Milliseconds())) // the node need not be quick meanwhile
			resp, err := client.Do(good)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("another caller: %v, %v", resp, err)
			} else {
				resp.Body.Close()
			}
			if attack.want == "" {
				return
			}
			got := testkit.Wait(t, ends)
			if !slices.ContainsFunc(strings.Split(attack.want, "|"), func(want string) bool { return strings.HasPrefix(got, want) }) {
				t.Errorf("it ended with %q, want %s", got, attack.want)
			}
		})
	}
	stop() // whatever an attack left behind has run or never will
	for name, attack := range attacks {
		if n := runs.count(ids[name]); n > attack.maxRuns {
			t.Errorf("%s: %d requests reached a server", name, n)
		}
	}
	if smuggled.Load() {
		t.Error("a request that no caller sent reached a server")
	}
}

// runCounter counts by name. The zero value has counted nothing.
type runCounter struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

func (c *runCounter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
}

func (c *runCounter) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// Streams that a caller opens after GOAWAY do not run, and do not keep the node from stopping.
func TestH2StreamsAfterGoAwayDoNotRun(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	addr, _, stop := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) { ran.Add(1) }))
	c := dialH2(t, addr)
	ends := c.watchEnds()
	c.writeHeaders(1, true, orderFields(addr, "before", [2]string{"content-length", "0"}))
	if got := testkit.Wait(t, ends); got != "status 200" {
		t.Fatal(got)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	for got := ""; !strings.HasPrefix(got, "goaway") && got != "closed"; got = testkit.Wait(t, ends) {
	}
	for id := uint32(1001); id < 2001; id += 2 {
		if c.writeHeaders(id, true, orderFields(addr, fmt.Sprint("after-", id), [2]string{"content-length", "0"})) != nil {
			break
		}
	}
	testkit.Wait(t, stopped)
	if n := ran.Load(); n != 1 {
		t.Errorf("%d requests ran", n)
	}
}
