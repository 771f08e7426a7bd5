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

// BenchmarkProtocols is requests through the same node by HTTP/1.1 and by HTTP/2 from its callers, to servers of the
// same protocol, with so many out at a time, and through a plain reverse proxy over HTTP/2. Compare those of one run.
func BenchmarkProtocols(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	both := new(http.Protocols)
	both.SetHTTP1(true)
	both.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: both, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		w.Write([]byte("ok"))
	})}
	go srv.Serve(l)
	defer srv.Close()
	for _, protocol := range []string{"http1", "h2", "proxy"} {
		tr := &http.Transport{MaxIdleConnsPerHost: 2000, Protocols: new(http.Protocols)}
		addr, stop := "", func() {}
		if protocol == "proxy" {
			addr, stop = reverseProxy(b, l.Addr().String())
			tr.Protocols.SetUnencryptedHTTP2(true)
		} else {
			plan := planOf(b, "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"p\"\nlimits = { cores = 1 }\n",
				poolOf("p", fmt.Sprintf("protocol = %q\nstart_calls = 2000\n[[pools.servers]]\naddress = %q", protocol, l.Addr())))
			n, end := running(b, plan, Options{H2: newH2Sender})
			addr, stop = n.Addrs()[0].String(), end
			if protocol == "h2" {
				addr = n.Addrs()[1].String()
				tr.Protocols.SetUnencryptedHTTP2(true)
			} else {
				tr.Protocols.SetHTTP1(true)
			}
		}
		client := &http.Client{Transport: tr}
		for _, out := range []int{1, 16, 128, 1024} {
			b.Run(fmt.Sprintf("%s/%d", protocol, out), func(b *testing.B) {
				b.ReportAllocs()
				work := make(chan int)
				done := make(chan int)
				took := make([]time.Duration, b.N)
				for range out {
					go func() {
						refused := 0
						for i := range work {
							start := time.Now()
							resp, err := client.Do(h2Request(context.Background(), addr, "GET", "read", fmt.Sprint(b.N, "-", i), nil))
							if err != nil {
								b.Error(err)
								continue
							}
							io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
							took[i] = time.Since(start)
							if resp.StatusCode != 200 {
								refused++
							}
						}
						done <- refused
					}()
				}
				b.ResetTimer()
				for i := range b.N {
					work <- i
				}
				close(work)
				refused := 0
				for range out {
					refused += <-done
				}
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
				b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
			})
		}
		tr.CloseIdleConnections()
		stop()
	}
}

// reverseProxy is the library's, over HTTP/2 on both sides.
func reverseProxy(b *testing.B, server string) (addr string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	onward := &http.Transport{Protocols: new(http.Protocols)}
	onward.Protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Protocols: new(http.Protocols), Handler: &httputil.ReverseProxy{
		Transport: onward,
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: server}) },
	}}
	s.Protocols.SetUnencryptedHTTP2(true)
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(l) }()
	return l.Addr().String(), func() { s.Close(); <-done; onward.CloseIdleConnections() }
}

// BenchmarkH2Memory is what the node's heap and stacks grow by for each of 1,000 idle connections of callers, and for
// each of 10,000 streams on 40 of them whose requests wait for a server.
func BenchmarkH2Memory(b *testing.B) {
	plan := planOf(b, "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"p\"\n", poolOf("p", "[[pools.servers]]\naddress = \"127.0.0.1:1\""))
	plan.Totals.Calls, plan.Totals.Held, plan.Totals.Callers = 20_000, 20_000, 5000
	plan.Totals.NewCallers.Max = 5000
	// A module that says nothing: what a stream holds is the front's and the engine's.
	n, err := provision(plan, Options{H2: newH2Sender}, moduleFunc(func(balancer.Event) []balancer.Action { return nil }))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	addr := n.Addrs()[1].String()
	held := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	var conns []net.Conn
	open := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprint(c, http2.ClientPreface)
		http2.NewFramer(c, nil).WriteSettings()
		conns = append(conns, c)
		return c
	}
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range b.N {
		before := held()
		for range 1000 {
			open()
		}
		time.Sleep(200 * time.Millisecond) // until all are accepted
		idle := held()
		b.ReportMetric((idle-before)/1000, "B/idle-conn")
		var block bytes.Buffer
		enc := hpack.NewEncoder(&block)
		for i := range 40 {
			fr := http2.NewFramer(open(), nil)
			for j := range 250 {
				block.Reset()
				for _, f := range [][2]string{
					{":method", "GET"},
					{":scheme", "http"},
					{":authority", "p"},
					{":path", "/read/x"},
					{"x-correlation-id", fmt.Sprint(i, "-", j)},
					{"x-time-left", "9000m"},
				} {
					enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1], Sensitive: true})
				}
				fr.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*j + 1), BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true})
			}
		}
		most := int64(0)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && most < 10_000; time.Sleep(20 * time.Millisecond) {
			most = max(most, n.serving.Load().pools["p"].Engine().OpenCalls())
		}
		b.ReportMetric(float64(most), "streams")
		b.ReportMetric((held()-idle)/float64(max(most, 1)), "B/open-stream")
	}
}
