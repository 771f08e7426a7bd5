package extproc

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// goOn is a processor that only answers CONTINUE: what the protocol and the library cost by themselves.
type goOn struct {
	extproc.UnimplementedExternalProcessorServer
}

func (goOn) Process(st extproc.ExternalProcessor_ProcessServer) error {
	for {
		m, err := st.Recv()
		if err != nil {
			return nil
		}
		r := &extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_RequestHeaders{RequestHeaders: &extproc.HeadersResponse{}}}
		if m.GetResponseHeaders() != nil {
			r.Response = &extproc.ProcessingResponse_ResponseHeaders{ResponseHeaders: &extproc.HeadersResponse{}}
		}
		if err := st.Send(r); err != nil {
			return err
		}
	}
}

// bareProcessor serves one that only answers CONTINUE, until the benchmark ends.
func bareProcessor(b *testing.B) extproc.ExternalProcessorClient {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := grpc.NewServer()
	extproc.RegisterExternalProcessorServer(srv, goOn{})
	go srv.Serve(l)
	b.Cleanup(srv.Stop)
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return extproc.NewExternalProcessorClient(conn)
}

// BenchmarkDecision compares decisions with a processor that only answers CONTINUE, in rounds in turn:
// go test -bench Decision -cpu 1.
func BenchmarkDecision(b *testing.B) {
	w := newWorld(b, Config{}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6", "127.0.0.1:7", "127.0.0.1:8")
	bare := bareProcessor(b)
	const rounds, length, askers = 6, 400 * time.Millisecond, 32
	n := 0
	play := func(c extproc.ExternalProcessorClient) (rate float64, times []time.Duration) {
		var all sync.WaitGroup
		var mu sync.Mutex
		n++
		end := time.Now().Add(length)
		for i := range askers {
			all.Go(func() {
				var mine []time.Duration
				for k := 0; time.Now().Before(end); k++ {
					start := time.Now()
					st, err := c.Process(context.Background())
					if err != nil {
						b.Error(err)
						return
					}
					st.Send(&extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestHeaders{RequestHeaders: &extproc.HttpHeaders{
						Headers: fields(":method", "GET", ":path", "/read/1", ":authority", "a", "x-request-id", fmt.Sprintf("%d-%d-%d", n, i, k),
							"user-agent", "bench", "accept", "*/*", "x-forwarded-for", "127.0.0.1"), EndOfStream: true,
					}}})
					if _, err := st.Recv(); err != nil {
						b.Error(err)
						return
					}
					mine = append(mine, time.Since(start))
					st.Send(&extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
						Headers: fields(":status", "200"),
					}}})
					st.Recv()
					st.CloseSend()
					st.Recv()
				}
				mu.Lock()
				times = append(times, mine...)
				mu.Unlock()
			})
		}
		all.Wait()
		slices.Sort(times)
		return float64(len(times)) / length.Seconds(), times
	}
	for b.Loop() {
		var ratios, rates []float64
		var p50, p99, q50, q99 time.Duration
		for range rounds {
			a, x := play(w.client)
			c, y := play(bare)
			ratios, rates = append(ratios, a/c), append(rates, a)
			p50, p99, q50, q99 = x[len(x)/2], x[len(x)*99/100], y[len(y)/2], y[len(y)*99/100]
		}
		slices.Sort(ratios)
		slices.Sort(rates)
		b.ReportMetric(ratios[rounds/2], "ratio")
		b.ReportMetric(rates[rounds/2], "decisions/s")
		b.ReportMetric(float64(p50.Microseconds()), "p50-us")
		b.ReportMetric(float64(p99.Microseconds()), "p99-us")
		b.ReportMetric(float64(q50.Microseconds()), "continue-p50-us")
		b.ReportMetric(float64(q99.Microseconds()), "continue-p99-us")
	}
}

// BenchmarkOpenStreams tells what an open stream holds, client and server together and the client's
// part measured apart with a processor that holds nothing.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 10_000
	measure := func(c extproc.ExternalProcessorClient) float64 {
		heap := func() uint64 {
			runtime.GC()
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapAlloc + m.StackInuse
		}
		before := heap()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		open := make([]extproc.ExternalProcessor_ProcessClient, streams)
		for i := range open {
			st, err := c.Process(ctx)
			if err != nil {
				b.Fatal(err)
			}
			st.Send(&extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestHeaders{RequestHeaders: &extproc.HttpHeaders{
				Headers: fields(":method", "GET", ":path", "/read/1", ":authority", "a", "x-request-id", fmt.Sprint(i)), EndOfStream: true,
			}}})
			if _, err := st.Recv(); err != nil {
				b.Fatal(err)
			}
			open[i] = st
		}
		held := float64(heap()-before) / streams
		runtime.KeepAlive(open)
		return held
	}
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	tier = 1
	defer func() { tier = 0 }()
	w := newWorld(b, Config{Streams: streams + 10, Linger: time.Millisecond}, ids...)
	bare := bareProcessor(b)
	for b.Loop() {
		b.ReportMetric(measure(bare), "continue-B/stream")
		b.ReportMetric(measure(w.client), "B/stream")
	}
}
