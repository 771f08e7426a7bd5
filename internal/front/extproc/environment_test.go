package extproc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/pool"
	"cranegrade/internal/testkit"
)

const limit = testkit.Limit

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// environment is a front with one pool, and a client in the place of a proxy.
type environment struct {
	t      testing.TB
	pool   *pool.Pool
	front  *Front
	client extproc.ExternalProcessorClient
	health healthpb.HealthClient
}

// poolOptions are the settings of the pool in which environments differ.
type poolOptions struct {
	module engine.Module // nil means the real one
	tier   int           // 1: no admission control
	spares int           // fallbacks of a decision
}

// noSender is the sender of a pool whose attempts the proxies carry.
type noSender struct{ t testing.TB }

func (s noSender) Start(context.Context, *engine.Attempt) {
	s.t.Error("an attempt that the proxy does not carry")
}
func (s noSender) Drop(*engine.Endpoint) {}
func (s noSender) Sweep()                {}

// Route implements Routes: the first segment of the path is the class.
func (e *environment) Route(r *stream.Request, _ string) (*pool.Pool, string, *stream.ImmediateResponse) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return e.pool, class, nil
}

// newEnvironment starts a front whose pool has the default options and a server at each address.
func newEnvironment(t testing.TB, cfg Config, addrs ...string) *environment {
	t.Helper()
	return newEnvironmentWith(t, cfg, poolOptions{}, addrs...)
}

func newEnvironmentWith(t testing.TB, cfg Config, options poolOptions, addrs ...string) *environment {
	t.Helper()
	clock := engine.NewClock()
	e := &environment{t: t, pool: newPool(t, clock, options)}
	e.pool.Run()
	e.setServers(addrs...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Clock, cfg.Routes = clock, e
	if cfg.DecisionTimeout == 0 {
		cfg.DecisionTimeout = limit // a slow machine gets more time
	}
	e.front = New(listener, cfg)
	served := make(chan error, 1)
	go func() { served <- e.front.Serve() }()
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	e.client, e.health = extproc.NewExternalProcessorClient(conn), healthpb.NewHealthClient(conn)
	t.Cleanup(func() {
		conn.Close()
		e.front.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve: %v", err)
		}
		e.awaitNoOpenCalls("calls are left open")
		e.pool.Stop()
	})
	return e
}

// newPool makes a pool with the classes read, order, cell and all, which differ in where a request may run again.
func newPool(t testing.TB, clock engine.Clock, options poolOptions) *pool.Pool {
	t.Helper()
	budget := pool.NewBudget(1 << 40)
	quotas := map[*pool.Share]pool.Quota{}
	share := func() *pool.Share {
		s := budget.NewShare()
		quotas[s] = pool.Quota{}
		return s
	}
	class := func(name string, effect balancer.Effect, scope balancer.Scope) balancer.Class {
		return balancer.Class{
			Name:     name,
			Effect:   effect,
			Scope:    scope,
			Window:   10 * time.Second,
			Aim:      2 * time.Second,
			Deadline: 5 * time.Second,
			Worth:    1,
		}
	}
	p, err := pool.New(pool.Config{
		Name:   "p",
		Module: options.module,
		Seed:   1,
		Clock:  clock,
		Sender: noSender{t},
		Shares: pool.Shares{
			Calls:           share(),
			PendingCalls:    share(),
			Connections:     share(),
			RequestBodies:   share(),
			ResponseBuffers: share(),
			DownstreamConns: share(),
		},
		Settings: balancer.Settings{
			Classes: []balancer.Class{
				class("read", balancer.Idempotent, 0), class("order", balancer.NonIdempotent, 0),
				class("cell", balancer.IdempotentByKey, balancer.ScopeCell), class("all", balancer.IdempotentByKey, balancer.ScopeAll),
			},
			Balancers:     1,
			Tier:          options.tier,
			Spares:        options.spares,
			MaxAttempts:   3,
			MayCancel:     true,
			Tick:          time.Millisecond,
			MaxRetryAfter: time.Second,
		},
		Pushed: false,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := budget.Configure(1<<40, quotas); err != nil {
		t.Fatal(err)
	}
	return p
}

// setServers replaces the servers of the pool. Two in a row share a cell.
func (e *environment) setServers(addrs ...string) {
	news := engine.ListUpdate{Full: true, Version: "1"}
	for i, addr := range addrs {
		news.Servers = append(news.Servers, engine.Listed{Server: balancer.Server{ID: addr, Cell: i / 2}, Addr: addr})
	}
	e.pool.Engine().Apply(news)
}

// awaitNoOpenCalls waits until the slots of all calls have been returned.
func (e *environment) awaitNoOpenCalls(failure string) {
	e.t.Helper()
	testkit.Eventually(e.t, failure, func() bool { return e.pool.Engine().OpenCalls() == 0 })
}

// proxyStream is a stream as the proxy sees it.
type proxyStream struct {
	t        testing.TB
	stream   extproc.ExternalProcessor_ProcessClient
	cancel   context.CancelFunc
	metadata *corev3.Metadata // beside the request headers
}

func (e *environment) openStream() *proxyStream {
	e.t.Helper()
	return e.openStreamWith(context.Background())
}

// openStreamAs opens a stream of the proxy with an id.
func (e *environment) openStreamAs(proxyID string) *proxyStream {
	e.t.Helper()
	return e.openStreamWith(metadata.AppendToOutgoingContext(context.Background(), ProxyID, proxyID))
}

func (e *environment) openStreamWith(ctx context.Context) *proxyStream {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(ctx, limit)
	e.t.Cleanup(cancel)
	s, err := e.client.Process(ctx)
	if err != nil {
		e.t.Fatal(err)
	}
	return &proxyStream{t: e.t, stream: s, cancel: cancel}
}

// setSubset sets the subset hint of the request that follows.
func (s *proxyStream) setSubset(hint *structpb.Value) {
	s.metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{
		stream.SubsetNamespace: {Fields: map[string]*structpb.Value{stream.SubsetHeader: hint}},
	}}
}

// headerMap makes a header map of names and values in turn.
func headerMap(pairs ...string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for i := 0; i < len(pairs); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: pairs[i], RawValue: []byte(pairs[i+1])})
	}
	return m
}

func requestHeaders(endOfStream bool, pairs ...string) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestHeaders{RequestHeaders: &extproc.HttpHeaders{
		Headers:     headerMap(pairs...),
		EndOfStream: endOfStream,
	}}}
}

func responseHeaders(status string, more ...string) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: headerMap(append([]string{":status", status}, more...)...),
	}}}
}

// pick sends the headers of a request and returns what comes back: the endpoints of the decision, or the status of an
// immediate response and the names of its headers.
func (s *proxyStream) pick(class, id string, attemptCount int, more ...string) string {
	s.t.Helper()
	headers := append([]string{
		":method", "POST", ":path", "/" + class + "/1", ":authority", "a", "idempotency-key", "k",
		"x-envoy-attempt-count", fmt.Sprint(attemptCount),
	}, more...)
	if id != "" {
		headers = append(headers, "x-request-id", id)
	}
	m := requestHeaders(false, headers...)
	m.MetadataContext = s.metadata
	if err := s.stream.Send(m); err != nil {
		s.t.Fatal(err)
	}
	answer, err := s.stream.Recv()
	if err != nil {
		s.t.Fatalf("no answer: %v", err)
	}
	if r := answer.GetImmediateResponse(); r != nil {
		text := fmt.Sprint(int(r.Status.Code))
		for _, field := range r.GetHeaders().GetSetHeaders() {
			text += " " + field.Header.Key
		}
		return text
	}
	for _, field := range answer.GetRequestHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		if field.Header.Key == stream.DestinationHeader {
			return string(field.Header.RawValue)
		}
	}
	s.t.Fatalf("an answer without a decision: %v", answer)
	return ""
}

// respond shows the processor response headers, ends the stream, and returns the answer of the processor.
func (s *proxyStream) respond(status string, more ...string) *extproc.HeadersResponse {
	s.t.Helper()
	s.stream.Send(responseHeaders(status, more...))
	m, err := s.stream.Recv()
	if err != nil {
		s.t.Fatalf("response headers are not answered: %v", err)
	}
	s.stream.CloseSend()
	s.stream.Recv()
	return m.GetResponseHeaders()
}

// respondForRetry is respond for proxies that go by a retry header. It returns "retry" if that is set, else the status
// that the client gets.
func (s *proxyStream) respondForRetry(retryHeader, status string, more ...string) string {
	s.t.Helper()
	for _, field := range s.respond(status, more...).GetResponse().GetHeaderMutation().GetSetHeaders() {
		switch field.Header.Key {
		case retryHeader:
			return "retry"
		case ":status":
			status = string(field.Header.RawValue)
		}
	}
	return status
}

// isEndpoint reports whether an answer of pick is a decision.
func isEndpoint(answer string) bool { return strings.HasPrefix(answer, "127.") }
