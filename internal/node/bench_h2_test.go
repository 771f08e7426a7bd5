package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cranegrade/balancer"
)

// BenchmarkProtocols compares requests through a node over HTTP/1.1 on both sides, over HTTP/2 on both sides, and through
// net/http's reverse proxy over HTTP/2, for several numbers of concurrent requests. Only figures of one run are comparable.
func BenchmarkProtocols(b *testing.B) {
	http1, h2, both := new(http.Protocols), new(http.Protocols), new(http.Protocols)
	http1.SetHTTP1(true)
	h2.SetUnencryptedHTTP2(true)
	both.SetHTTP1(true)
	both.SetUnencryptedHTTP2(true)
	server, stopServer := serveHTTP(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		w.Write([]byte("ok"))
	}), both)
	defer stopServer()
	for _, via := range []struct {
		name      string
		protocols *http.Protocols
		start     func(b *testing.B) (addr string, stop func())
	}{
		{"http1", http1, func(b *testing.B) (string, func()) { return startBenchNode(b, "http1", 0, server) }},
		{"h2", h2, func(b *testing.B) (string, func()) { return startBenchNode(b, "h2", 1, server) }},
		{"proxy", h2, func(b *testing.B) (string, func()) { return startReverseProxy(b, server) }},
	} {
		addr, stop := via.start(b)
		transport := &http.Transport{MaxIdleConnsPerHost: 2000, Protocols: via.protocols}
		client := &http.Client{Transport: transport}
		for _, concurrent := range []int{1, 16, 128, 1024} {
			b.Run(fmt.Sprintf("%s/%d", via.name, concurrent), func(b *testing.B) { benchmarkRequests(b, client, addr, concurrent) })
		}
		transport.CloseIdleConnections()
		stop()
	}
}

// startBenchNode starts a node that speaks a protocol to a server, and returns the address of one of its listeners: 0 is for
// HTTP/1.1, 1 for HTTP/2.
func startBenchNode(b *testing.B, protocol string, listener int, server string) (addr string, stop func()) {
	plan := planOf(b, "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"p\"\nlimits = { cores = 1 }\n",
		poolOf("p", fmt.Sprintf("protocol = %q\nstart_calls = 2000\n[[pools.servers]]\naddress = %q", protocol, server)))
	n, stop := startPlan(b, plan, Options{H2: newH2Sender})
	return n.Addrs()[listener].String(), stop
}

// startReverseProxy starts net/http's reverse proxy with HTTP/2 on both sides.
func startReverseProxy(b *testing.B, server string) (addr string, stop func()) {
	upstream := h2Transport()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	addr, stopProxy := serveHTTP(b, &httputil.ReverseProxy{
		Transport: upstream,
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: server}) },
	}, protocols)
	return addr, func() { stopProxy(); upstream.CloseIdleConnections() }
}

// benchmarkRequests sends b.N requests with so many in flight at a time. It reports the 99th percentile of their times, and
// the share that was not answered with 200.
func benchmarkRequests(b *testing.B, client *http.Client, addr string, concurrent int) {
	b.ReportAllocs()
	work, done := make(chan int), make(chan int)
	durations := make([]time.Duration, b.N)
	for range concurrent {
		go func() {
			rejected := 0
			for i := range work {
				start := time.Now()
				resp, err := client.Do(h2Request(context.Background(), addr, "GET", "read", fmt.Sprint(b.N, "-", i), nil))
				if err != nil {
					b.Error(err)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				durations[i] = time.Since(start)
				if resp.StatusCode != 200 {
					rejected++
				}
			}
			done <- rejected
		}()
	}
	b.ResetTimer()
	for i := range b.N {
		work <- i
	}
	close(work)
	rejected := 0
	for range concurrent {
		rejected += <-done
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(rejected)/float64(b.N), "refused/op")
}

// BenchmarkH2Memory reports by how much the node's heap and stacks grow for each of 1,000 idle connections of callers, and
// for each of 10,000 streams on 40 more connections whose requests wait for a server.
func BenchmarkH2Memory(b *testing.B) {
	const idleConnections, busyConnections, streamsPerConnection = 1000, 40, 250
	plan := planOf(b, "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"p\"\n", poolOf("p", "[[pools.servers]]\naddress = \"127.0.0.1:1\""))
	plan.Totals.Calls, plan.Totals.PendingCalls, plan.Totals.DownstreamConns = 20_000, 20_000, 5000
	plan.Totals.NewCallers.Max = 5000
	// With a module that never acts, the memory of a stream is that of the front and the engine.
	n, err := provision(plan, Options{H2: newH2Sender}, moduleFunc(func(balancer.Event) []balancer.Action { return nil }))
	if err != nil {
		b.Fatal(err)
	}
	runNode(b, n)
	// The connections are as bare as they can be, since the callers' memory counts as well: no rawH2Client.
	var conns []net.Conn
	b.Cleanup(func() {
		for _, c := range conns {
			c.Close()
		}
	})
	open := func() net.Conn {
		c, err := net.Dial("tcp", n.Addrs()[1].String())
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprint(c, http2.ClientPreface)
		http2.NewFramer(c, nil).WriteSettings()
		conns = append(conns, c)
		return c
	}
	for range b.N {
		before := heapAndStacksInUse()
		for range idleConnections {
			open()
		}
		time.Sleep(200 * time.Millisecond) // until all are accepted
		idle := heapAndStacksInUse()
		b.ReportMetric(float64(idle-before)/idleConnections, "B/idle-conn")
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for i := range busyConnections {
			framer := http2.NewFramer(open(), nil)
			for j := range streamsPerConnection {
				block.Reset()
				for _, f := range readFields("p", fmt.Sprint(i, "-", j), "9000m") {
					// Sensitive, so that no dynamic table grows with the fields, and one encoder can serve all connections.
					encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1], Sensitive: true})
				}
				framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*j + 1), BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true})
			}
		}
		streams := int64(0)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && streams < busyConnections*streamsPerConnection; time.Sleep(20 * time.Millisecond) {
			streams = max(streams, n.serving.Load().pools["p"].Engine().OpenCalls())
		}
		b.ReportMetric(float64(streams), "streams")
		b.ReportMetric(float64(heapAndStacksInUse()-idle)/float64(max(streams, 1)), "B/open-stream")
	}
}

// heapAndStacksInUse returns the bytes of heap and stacks after a collection.
func heapAndStacksInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
