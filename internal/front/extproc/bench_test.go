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

// continueProcessor only answers CONTINUE: it shows what the protocol and the library cost by themselves.
type continueProcessor struct {
	extproc.UnimplementedExternalProcessorServer
}

func (continueProcessor) Process(s extproc.ExternalProcessor_ProcessServer) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return nil
		}
		r := &extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_RequestHeaders{RequestHeaders: &extproc.HeadersResponse{}}}
		if m.GetResponseHeaders() != nil {
			r.Response = &extproc.ProcessingResponse_ResponseHeaders{ResponseHeaders: &extproc.HeadersResponse{}}
		}
		if err := s.Send(r); err != nil {
			return err
		}
	}
}

// newContinueProcessor serves a continueProcessor until the benchmark ends.
func newContinueProcessor(b *testing.B) extproc.ExternalProcessorClient {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer()
	extproc.RegisterExternalProcessorServer(server, continueProcessor{})
	go server.Serve(listener)
	b.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return extproc.NewExternalProcessorClient(conn)
}

// timeDecision plays one request and returns the time to its decision.
func timeDecision(c extproc.ExternalProcessorClient, id string) (time.Duration, error) {
	start := time.Now()
	s, err := c.Process(context.Background())
	if err != nil {
		return 0, err
	}
	s.Send(requestHeaders(true, ":method", "GET", ":path", "/read/1", ":authority", "a", "x-request-id", id,
		"user-agent", "bench", "accept", "*/*", "x-forwarded-for", "127.0.0.1"))
	if _, err := s.Recv(); err != nil {
		return 0, err
	}
	latency := time.Since(start)
	s.Send(responseHeaders("200"))
	s.Recv()
	s.CloseSend()
	s.Recv()
	return latency, nil
}

// measureDecisions has several clients ask for as long as it is told, and returns the rate and the sorted latencies.
func measureDecisions(
	b *testing.B, c extproc.ExternalProcessorClient, round string, length time.Duration, clients int,
) (rate float64, latencies []time.Duration) {
	var running sync.WaitGroup
	var mu sync.Mutex // guards latencies
	end := time.Now().Add(length)
	for i := range clients {
		running.Go(func() {
			var own []time.Duration
			for k := 0; time.Now().Before(end); k++ {
				latency, err := timeDecision(c, fmt.Sprintf("%s-%d-%d", round, i, k))
				if err != nil {
					b.Error(err)
					return
				}
				own = append(own, latency)
			}
			mu.Lock()
			latencies = append(latencies, own...)
			mu.Unlock()
		})
	}
	running.Wait()
	slices.Sort(latencies)
	return float64(len(latencies)) / length.Seconds(), latencies
}

// BenchmarkDecision compares the front with a processor that only answers CONTINUE, in alternating rounds:
// go test -bench Decision -cpu 1.
func BenchmarkDecision(b *testing.B) {
	e := newEnvironment(b,
		Config{},
		"127.0.0.1:1",
		"127.0.0.1:2",
		"127.0.0.1:3",
		"127.0.0.1:4",
		"127.0.0.1:5",
		"127.0.0.1:6",
		"127.0.0.1:7",
		"127.0.0.1:8")
	baseline := newContinueProcessor(b)
	const rounds, length, clients = 6, 400 * time.Millisecond, 32
	round := 0
	for b.Loop() {
		var ratios, rates []float64
		var latencies, baselineLatencies []time.Duration
		for range rounds {
			var rate, baselineRate float64
			rate, latencies = measureDecisions(b, e.client, fmt.Sprint(round), length, clients)
			baselineRate, baselineLatencies = measureDecisions(b, baseline, fmt.Sprint(round), length, clients)
			ratios, rates = append(ratios, rate/baselineRate), append(rates, rate)
			round++
		}
		slices.Sort(ratios)
		slices.Sort(rates)
		b.ReportMetric(ratios[rounds/2], "ratio")
		b.ReportMetric(rates[rounds/2], "decisions/s")
		b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		b.ReportMetric(float64(baselineLatencies[len(baselineLatencies)/2].Microseconds()), "continue-p50-us")
		b.ReportMetric(float64(baselineLatencies[len(baselineLatencies)*99/100].Microseconds()), "continue-p99-us")
	}
}

// memoryPerStream is what an open stream with its decision takes, in bytes, client and server together.
func memoryPerStream(b *testing.B, c extproc.ExternalProcessorClient, streams int) float64 {
	inUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := inUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	open := make([]extproc.ExternalProcessor_ProcessClient, streams)
	for i := range open {
		s, err := c.Process(ctx)
		if err != nil {
			b.Fatal(err)
		}
		s.Send(requestHeaders(true, ":method", "GET", ":path", "/read/1", ":authority", "a", "x-request-id", fmt.Sprint(i)))
		if _, err := s.Recv(); err != nil {
			b.Fatal(err)
		}
		open[i] = s
	}
	perStream := float64(inUse()-before) / float64(streams)
	runtime.KeepAlive(open)
	return perStream
}

// BenchmarkOpenStreams measures the memory of an open stream with its client, and that of a continueProcessor's, which
// is what the protocol and the library take.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 10_000
	var addrs []string
	for i := range 100 {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	e := newEnvironmentWith(b, Config{Streams: streams + 10, Linger: time.Millisecond}, poolOptions{tier: 1}, addrs...)
	baseline := newContinueProcessor(b)
	for b.Loop() {
		b.ReportMetric(memoryPerStream(b, baseline, streams), "continue-B/stream")
		b.ReportMetric(memoryPerStream(b, e.client, streams), "B/stream")
	}
}
