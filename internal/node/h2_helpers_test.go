package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cranegrade/internal/engine"
	"cranegrade/internal/operator"
	"cranegrade/internal/sender/h2"
	"cranegrade/internal/wire"
)

// newH2Sender makes the sender as the program does.
func newH2Sender(c wire.Connections, m operator.Mux, connections engine.SharedLimit) engine.Sender {
	return h2.New(h2.Config{
		ConnectTimeout: c.ConnectWithin, ServerIdleTimeout: c.Idle, Connections: connections,
		MaxConnsPerServer: m.ConnectionsPerServer, MaxStreamsPerConn: m.StreamsPerConnection,
	})
}

// h2Server starts a server that speaks HTTP/2 until the test ends.
func h2Server(t testing.TB, h http.HandlerFunc) (addr string) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	addr, stop := serveHTTP(t, h, protocols)
	t.Cleanup(stop)
	return addr
}

// serveHTTP starts a server that runs until stop is called.
func serveHTTP(t testing.TB, h http.Handler, protocols *http.Protocols) (addr string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, Protocols: protocols}
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(l) }()
	return l.Addr().String(), func() { s.Close(); <-done }
}

// h2Transport returns a client's transport that speaks HTTP/2 alone.
func h2Transport() *http.Transport {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return transport
}

// h2Node starts a node that listens for HTTP/2 and has these servers, and returns a client of it.
func h2Node(t *testing.T, servers ...string) (addr string, client *http.Client, stop func()) {
	t.Helper()
	var list strings.Builder
	list.WriteString("protocol = \"h2\"\n")
	for _, s := range servers {
		fmt.Fprintf(&list, "[[pools.servers]]\naddress = %q\n", s)
	}
	plan := planOf(t, "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"p\"\n", poolOf("p", list.String()))
	n, stop := startPlan(t, plan, Options{H2: newH2Sender})
	transport := h2Transport()
	t.Cleanup(transport.CloseIdleConnections)
	return n.Addrs()[len(n.Addrs())-1].String(), &http.Client{Transport: transport}, stop
}

// h2Request returns a request of a caller that has 5 s left; a nil body means none.
func h2Request(ctx context.Context, addr, method, class, id string, body []byte) *http.Request {
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+class+"/x", bytes.NewReader(body))
	if body == nil {
		r.Body, r.ContentLength = nil, 0
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Time-Left", "5000m")
	return r
}

// rawH2Client is a caller over HTTP/2 that writes frames as the test says.
type rawH2Client struct {
	net.Conn
	framer  *http2.Framer
	encoder *hpack.Encoder
	encoded bytes.Buffer // written by encoder
}

// dialH2 opens a connection that lasts until the test ends, and writes the preface and SETTINGS.
func dialH2(t testing.TB, addr string, settings ...http2.Setting) *rawH2Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(limit))
	c := &rawH2Client{Conn: conn, framer: http2.NewFramer(conn, conn)}
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(conn, http2.ClientPreface)
	c.framer.WriteSettings(settings...)
	return c
}

// headerBlock encodes fields with HPACK.
func (c *rawH2Client) headerBlock(fields [][2]string) []byte {
	c.encoded.Reset()
	for _, f := range fields {
		c.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	return bytes.Clone(c.encoded.Bytes())
}

// writeHeaders opens a stream, and ends it if there is no body.
func (c *rawH2Client) writeHeaders(stream uint32, endStream bool, fields [][2]string) error {
	return c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: c.headerBlock(fields), EndHeaders: true, EndStream: endStream,
	})
}

// watchEnds reports on the channel how each stream ended, or the connection, which also closes the channel. A connection that is
// still open at its deadline is reported as such. No other goroutine may read from the connection.
func (c *rawH2Client) watchEnds() <-chan string {
	ends := make(chan string, 1000)
	go func() {
		defer close(ends)
		for {
			f, err := c.framer.ReadFrame()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				ends <- "still open"
				return
			}
			if err != nil {
				ends <- "closed"
				return
			}
			switch f := f.(type) {
			case *http2.RSTStreamFrame:
				ends <- fmt.Sprintf("reset %v", f.ErrCode)
			case *http2.GoAwayFrame:
				ends <- fmt.Sprintf("goaway %v", f.ErrCode)
			case *http2.MetaHeadersFrame:
				ends <- "status " + f.PseudoValue("status")
			}
		}
	}()
	return ends
}

// orderFields are the header fields of a valid request of the class order, and more.
func orderFields(addr, id string, more ...[2]string) [][2]string {
	return append([][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":authority", addr},
		{":path", "/order/x"},
		{"x-correlation-id", id},
		{"x-time-left", "5000m"},
	}, more...)
}

// readFields are the header fields of a valid request of the class read.
func readFields(addr, id, timeLeft string) [][2]string {
	return [][2]string{
		{":method", "GET"},
		{":scheme", "http"},
		{":authority", addr},
		{":path", "/read/x"},
		{"x-correlation-id", id},
		{"x-time-left", timeLeft},
	}
}
