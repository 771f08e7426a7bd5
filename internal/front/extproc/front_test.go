package extproc

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"cranegrade/internal/testkit"
)

func TestPicksEndpoint(t *testing.T) {
	e := newEnvironment(t, Config{}, "127.0.0.1:1")
	for _, class := range []string{"read", "order", "cell", "all"} {
		s := e.openStream()
		if got := s.pick(class, class, 1); got != "127.0.0.1:1" {
			t.Errorf("%s goes to %s", class, got)
		}
		s.respond("200")
	}
	if got := e.openStream().pick("none", "x", 1); got != "404" {
		t.Errorf("unknown class: %s", got)
	}
	e.awaitNoOpenCalls("a slot is not returned")
	if n := e.front.calls.size(); n != 3 { // all but the idempotent one
		t.Errorf("%d requests are remembered, want 3", n)
	}
}

// Without a server a request is rejected before the proxy times out, and may be sent again.
func TestDecisionTimesOut(t *testing.T) {
	e := newEnvironment(t, Config{DecisionTimeout: 50 * time.Millisecond})
	if got := e.openStream().pick("order", "1", 1); got != "503 retry-after" {
		t.Errorf("got %s", got)
	}
	e.setServers("127.0.0.1:1")
	s := e.openStream()
	if got := s.pick("order", "1", 1); got != "127.0.0.1:1" {
		t.Errorf("sent again: %s", got)
	}
	s.respond("200")
}

// serverStream is the server's side of a stream without a connection.
type serverStream struct {
	extproc.ExternalProcessor_ProcessServer
	ctx      context.Context
	received []*extproc.ProcessingRequest // still to be received
	sent     []*extproc.ProcessingResponse
}

func (s *serverStream) Context() context.Context { return s.ctx }

func (s *serverStream) Recv() (*extproc.ProcessingRequest, error) {
	if len(s.received) == 0 {
		return nil, io.EOF
	}
	m := s.received[0]
	s.received = s.received[1:]
	return m, nil
}

func (s *serverStream) Send(m *extproc.ProcessingResponse) error {
	s.sent = append(s.sent, m)
	return nil
}

// The decision time-out runs from the arrival of a request: one that has waited for most of it is rejected unstarted.
func TestLateRequestIsRejected(t *testing.T) {
	e := newEnvironment(t, Config{}, "127.0.0.1:1")
	timeout := e.front.cfg.DecisionTimeout
	for _, waited := range []time.Duration{0, timeout - timeout/minTimeLeftDivisor/2} {
		s := &serverStream{
			ctx:      context.WithValue(context.Background(), arrivalKey{}, e.front.cfg.Clock.Now()-waited),
			received: []*extproc.ProcessingRequest{requestHeaders(false, ":method", "GET", ":path", "/read/1", ":authority", "a")},
		}
		if err := e.front.Process(s); err != nil {
			t.Fatal(err)
		}
		rejected := s.sent[0].GetImmediateResponse().GetStatus().GetCode() == 503
		if rejected != (waited > 0) {
			t.Errorf("waited %v: %v", waited, s.sent)
		}
	}
	if e.front.Late() != 1 {
		t.Errorf("%d late, want 1", e.front.Late())
	}
}

// A proxy that violates the protocol loses its stream, and the front serves on.
func TestProtocolViolationEndsStream(t *testing.T) {
	e := newEnvironment(t, Config{}, "127.0.0.1:1")
	s := e.openStream()
	s.pick("read", "1", 1)
	s.stream.Send(&extproc.ProcessingRequest{})
	if _, err := s.stream.Recv(); status.Code(err) != codes.InvalidArgument {
		t.Errorf("ended with %v", err)
	}
	if r, err := e.health.Check(
		context.Background(),
		&healthpb.HealthCheckRequest{Service: "envoy.service.ext_proc.v3.ExternalProcessor"},
	); err != nil || r.Status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health: %v, %v", r, err)
	}
}

func TestShutdownWaitsForOpenStreams(t *testing.T) {
	e := newEnvironment(t, Config{}, "127.0.0.1:1")
	s := e.openStream()
	s.pick("read", "1", 1)
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		done <- e.front.Shutdown(ctx)
	}()
	testkit.Eventually(t, "new streams are still accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := e.health.Check(ctx, &healthpb.HealthCheckRequest{})
		return err != nil
	})
	s.respond("200")
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("Shutdown: %v", err)
		}
	case <-time.After(limit):
		t.Error("Shutdown does not return after the last stream")
	}
}

// A proxy dies with all its streams: every slot is returned.
func TestProxyDies(t *testing.T) {
	e := newEnvironment(t, Config{Linger: 20 * time.Millisecond}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	var streams sync.WaitGroup
	for i := range 300 {
		streams.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s, err := e.client.Process(ctx)
			if err != nil {
				return
			}
			s.Send(requestHeaders(false, ":method", "POST", ":path", "/order/1", ":authority", "a", "x-request-id", fmt.Sprint(i)))
			if i%2 == 0 {
				s.Recv()
			}
		})
	}
	streams.Wait()
	e.awaitNoOpenCalls("slots are not returned")
	// A call leaves the pool just after the front has forgotten it.
	testkit.Eventually(t, "capacity for calls is not returned", func() bool {
		used, _ := e.pool.Shares().Calls.Used()
		return used == 0
	})
}
