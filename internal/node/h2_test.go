package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cranegrade/internal/engine"
	"cranegrade/internal/operator"
	"cranegrade/internal/sender/h2"
	"cranegrade/internal/testkit"
	"cranegrade/internal/wire"
)

func newH2Sender(c wire.Connections, m operator.Mux, connections engine.SharedLimit) engine.Sender {
	return h2.New(h2.Config{
		ConnectTimeout: c.ConnectWithin, ServerIdleTimeout: c.Idle, Connections: connections,
		MaxConnsPerServer: m.ConnectionsPerServer, MaxStreamsPerConn: m.StreamsPerConnection,
	})
}

// h2Server is a server that speaks HTTP/2.
func h2Server(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, Protocols: new(http.Protocols)}
	s.Protocols.SetUnencryptedHTTP2(true)
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(l) }()
	t.Cleanup(func() { s.Close(); <-done })
	return l.Addr().String()
}

// running is a node by a plan that runs until it is stopped, or the test ends.
func running(t testing.TB, plan operator.Plan, o Options) (n *Node, stop func()) {
	t.Helper()
	n, err := NewFromPlan(plan, o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); testkit.Wait(t, ended) })
	t.Cleanup(stop)
	return n, stop
}

// h2Node is a node for callers of HTTP/2 before these servers, and a client of it.
func h2Node(t *testing.T, servers ...string) (addr string, client *http.Client, stop func()) {
	t.Helper()
	var list strings.Builder
	list.WriteString("protocol = \"h2\"\n")
	for _, s := range servers {
		fmt.Fprintf(&list, "[[pools.servers]]\naddress = %q\n", s)
	}
	plan := planOf(t, "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"p\"\n", poolOf("p", list.String()))
	n, stop := running(t, plan, Options{H2: newH2Sender})
	tr := &http.Transport{Protocols: new(http.Protocols)}
	tr.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(tr.CloseIdleConnections)
	return n.Addrs()[len(n.Addrs())-1].String(), &http.Client{Transport: tr}, stop
}

func h2Request(ctx context.Context, addr, method, class, id string, body []byte) *http.Request {
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+class+"/x", bytes.NewReader(body))
	if body == nil {
		r.Body, r.ContentLength = nil, 0
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Time-Left", "5000m")
	return r
}

// TestH2 goes through a node by HTTP/2 on both sides: one final answer on each of many streams of one connection, one
// attempt of each request that must not run twice, and a drain that finishes what is open.
func TestH2(t *testing.T) {
	t.Parallel()
	var ran sync.Map
	var most, now atomic.Int64
	hold := make(chan struct{})
	server := h2Server(t, func(w http.ResponseWriter, r *http.Request) {
		n := now.Add(1)
		defer now.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		id := r.Header.Get("X-Correlation-Id")
		c, _ := ran.LoadOrStore(id, new(atomic.Int64))
		c.(*atomic.Int64).Add(1)
		b, _ := io.ReadAll(r.Body)
		if strings.HasPrefix(id, "held") {
			<-hold
		}
		fmt.Fprintf(w, "%s %s %d", r.Proto, id, len(b))
	})
	addr, client, stop := h2Node(t, server)
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() {
			id, method, class, body := fmt.Sprint("r", i), "GET", "read", []byte(nil)
			if i%2 == 0 {
				method, class, body = "POST", "order", make([]byte, 50_000)
			}
			resp, err := client.Do(h2Request(context.Background(), addr, method, class, id, body))
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			if want := fmt.Sprintf("HTTP/2.0 %s %d", id, len(body)); err != nil || resp.StatusCode == 200 && string(text) != want || resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("%s: %s %q, %v", id, resp.Status, text, err)
			}
		})
	}
	all.Wait()
	ran.Range(func(id, n any) bool {
		if n.(*atomic.Int64).Load() > 1 {
			t.Errorf("%v ran %d times", id, n.(*atomic.Int64).Load())
		}
		return true
	})
	// A reset of a stream whose request has reached a server: it is not run again.
	ctx, cancel := context.WithCancel(context.Background())
	reset := make(chan error, 1)
	go func() {
		_, err := client.Do(h2Request(ctx, addr, "POST", "order", "held-reset", []byte("x")))
		reset <- err
	}()
	testkit.Eventually(t, "the request does not reach the server", func() bool { _, is := ran.Load("held-reset"); return is })
	cancel()
	if err := testkit.Wait(t, reset); err == nil {
		t.Error("a request that was reset has an answer")
	}
	// A drain finishes what is open, on the connection that it is open on.
	answered := make(chan string, 1)
	go func() {
		resp, err := client.Do(h2Request(context.Background(), addr, "GET", "read", "held-drain", nil))
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		answered <- string(b)
	}()
	testkit.Eventually(t, "the request does not reach the server", func() bool { _, is := ran.Load("held-drain"); return is })
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	time.AfterFunc(100*time.Millisecond, func() { close(hold) })
	if got := testkit.Wait(t, answered); got != "HTTP/2.0 held-drain 0" {
		t.Errorf("over the drain: %q", got)
	}
	<-stopped
	if c, _ := ran.Load("held-reset"); c.(*atomic.Int64).Load() != 1 {
		t.Errorf("what was reset ran %d times", c.(*atomic.Int64).Load())
	}
}

// What is no request over HTTP/2 is refused, and its connection goes on.
func TestH2Refusals(t *testing.T) {
	t.Parallel()
	addr, client, _ := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) {}))
	for name, c := range map[string]struct {
		change func(r *http.Request)
		want   int
	}{
		"good":      {func(r *http.Request) {}, 200},
		"no length": {func(r *http.Request) { r.ContentLength = -1 }, 200},
		"long": {func(r *http.Request) {
			b := make([]byte, 700_000)
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), 700_000
		}, 200},
		"no id":          {func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400},
		"no time":        {func(r *http.Request) { r.Header.Set("X-Time-Left", "soon") }, 400},
		"unknown class":  {func(r *http.Request) { r.URL.Path = "/none/x" }, 404},
		"another method": {func(r *http.Request) { r.Method = "PUT" }, 405},
	} {
		r := h2Request(context.Background(), addr, "POST", "order", "x", []byte("x"))
		c.change(r)
		resp, err := client.Do(r)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("%s: %s, want %d", name, resp.Status, c.want)
		}
	}
}

// Streams that are opened and reset at once, over and over, cost their connection and nobody else's requests.
func TestH2RapidReset(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	addr, client, _ := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) { ran.Add(1) }))
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	go io.Copy(io.Discard, nc)
	fr := http2.NewFramer(nc, nil)
	io.WriteString(nc, http2.ClientPreface)
	fr.WriteSettings()
	var b bytes.Buffer
	enc := hpack.NewEncoder(&b)
	var other sync.WaitGroup
	other.Go(func() {
		for i := range 200 {
			resp, err := client.Do(h2Request(context.Background(), addr, "GET", "read", fmt.Sprint("other-", i), nil))
			if err != nil {
				t.Errorf("another caller: %v", err)
				return
			}
			resp.Body.Close()
			if resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("another caller: %s", resp.Status)
			}
		}
	})
	for id := uint32(1); id < 200_000; id += 2 {
		b.Reset()
		for _, f := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":authority", addr}, {":path", "/read/x"}, {"x-correlation-id", fmt.Sprint("f", id)}, {"x-time-left", "5000m"}} {
			enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		if fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b.Bytes(), EndHeaders: true, EndStream: true}) != nil ||
			fr.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break // the node has had enough
		}
	}
	other.Wait()
}

// A file that wants HTTP/2 towards servers needs a program that has it.
func TestH2Missing(t *testing.T) {
	t.Parallel()
	plan := planOf(t, "default = \"p\"\n", poolOf("p", "protocol = \"h2\"\n[[pools.servers]]\naddress = \"127.0.0.1:1\""))
	if _, err := NewFromPlan(plan, Options{}); err == nil || !strings.Contains(err.Error(), ErrNoH2.Error()) {
		t.Errorf("%v", err)
	}
}

// A caller that gives one of its streams no window holds up that stream, and none of the 100 others of its connection.
func TestH2StalledStream(t *testing.T) {
	t.Parallel()
	addr, _, _ := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "answer") }))
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(limit))
	fr := http2.NewFramer(nc, nc)
	io.WriteString(nc, http2.ClientPreface)
	fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	var b bytes.Buffer
	enc := hpack.NewEncoder(&b)
	for i := range uint32(101) {
		id := 2*i + 1
		b.Reset()
		for _, f := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":authority", addr}, {":path", "/read/x"}, {"x-correlation-id", fmt.Sprint("w", id)}, {"x-time-left", "5000m"}} {
			enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b.Bytes(), EndHeaders: true, EndStream: true})
		if id > 1 {
			fr.WriteWindowUpdate(id, 100)
		}
	}
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	ended := map[uint32]bool{}
	for len(ended) < 100 {
		f, err := fr.ReadFrame()
		if err != nil {
			t.Fatalf("%d streams ended: %v", len(ended), err)
		}
		switch f := f.(type) {
		case *http2.DataFrame:
			if f.StreamID == 1 && len(f.Data()) > 0 {
				t.Fatal("data without a window")
			}
			if f.StreamEnded() && f.StreamID != 1 {
				ended[f.StreamID] = true
			}
		case *http2.MetaHeadersFrame:
			if f.StreamEnded() { // an answer without a body
				ended[f.StreamID] = true
			}
		case *http2.RSTStreamFrame:
			ended[f.StreamID] = true // beyond what it may have open
		}
	}
	delete(ended, 1)
	if len(ended) < 99 {
		t.Errorf("%d of 100 other streams ended", len(ended))
	}
}
