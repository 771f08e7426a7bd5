// Package extproc is the front for proxies that ask, once for each request or for each attempt, which endpoint should
// serve it: Envoy's external processing service (envoy.service.ext_proc.v3.ExternalProcessor) with the names of the
// endpoint picker protocol. The proxy carries the attempts; the engine, its limits and its decision module are those of
// every other front.
//
// The package does the I/O of a stream and owns the calls behind it. The protocol itself is the state machine of
// package stream. One goroutine serves a stream and reads its next message only after it has dealt with the one before,
// so that a proxy which floods a stream fills its own flow-control window (RFC 9113, section 5.2). A call outlives its
// stream where the proxy may come back with it: call joins the streams of one request, callTable finds it by its id.
package extproc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/tap"

	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/pool"
)

// Defaults of Config.
const (
	defaultDecisionTimeout    = 150 * time.Millisecond
	defaultLinger             = 500 * time.Millisecond
	defaultStreams            = 10_000
	defaultIDHeader           = "x-request-id"
	defaultRememberedRequests = 100_000
)

// HTTP/2 PINGs on the connections of proxies.
const (
	keepaliveInterval    = 30 * time.Second // without a frame, then a PING checks the connection
	keepaliveTimeout     = 10 * time.Second // for its answer, then the connection is closed
	minKeepaliveInterval = 5 * time.Second  // a proxy that sends PINGs more often is sent GOAWAY (ENHANCE_YOUR_CALM)
)

// Workers that serve streams: a stream is short-lived, and a worker that is used again has grown its stack already.
const (
	streamWorkersPerCore = 2
	extraStreamWorkers   = 64
)

// maxMessageBytes bounds a message of a proxy. Envoy sends bodies in chunks, or in buffers of its own, lower limit.
const maxMessageBytes = 4 << 20

// Config is the configuration of a Front. Zero values stand for the defaults; Clock and Routes are required.
type Config struct {
	Clock  engine.Clock
	Routes Routes
	// DecisionTimeout is how long a request may wait for its decision; default 150 ms. It has to be shorter than the
	// proxy's message_timeout, 200 ms by default, after which the proxy answers by itself.
	DecisionTimeout time.Duration
	// Linger is how long a request whose stream broke, or that may be retried, waits for its next stream; default
	// 500 ms. Its slot at the server stays taken until then, since it may be running there.
	Linger time.Duration
	// Retries says that proxies ask on a new stream for each retry, and show the response headers of each attempt.
	// Otherwise the response headers that a proxy shows go to the client.
	Retries bool
	// RetryHeader, used with Retries, is set in the response of a failed attempt if the module allows a retry. ""
	// means that proxies retry as they like, and learn when they ask whether they may.
	RetryHeader string
	Streams     uint32  // limit of open streams on one connection; default 10,000
	Rate        float64 // limit of requests per second of one proxy; 0 means no limit
	// ProxyStreams is the limit of open streams of one proxy over all its connections; 0 means no limit.
	ProxyStreams    int
	IDHeader        string // name of the header that identifies a request; default x-request-id
	ClearRouteCache bool   // have the proxy choose its route again after the decision (clear_route_cache)
	HeadersOnly     bool   // have the proxy send no bodies and trailers, if it allows that (mode_override)
	// TimeLeft has each decision tell the server, in x-time-left, how long its answer is waited for.
	TimeLeft           bool
	RememberedRequests int // limit of finished requests whose answer is kept; default 100,000
}

func (c Config) withDefaults() Config {
	if c.DecisionTimeout == 0 {
		c.DecisionTimeout = defaultDecisionTimeout
	}
	if c.Linger == 0 {
		c.Linger = defaultLinger
	}
	if c.Streams == 0 {
		c.Streams = defaultStreams
	}
	if c.IDHeader == "" {
		c.IDHeader = defaultIDHeader
	}
	if c.RememberedRequests == 0 {
		c.RememberedRequests = defaultRememberedRequests
	}
	return c
}

// Routes selects the pool of a request and the request's class there. It is called from many goroutines. A rejection,
// if there is one, is the answer to the request.
type Routes interface {
	Route(r *stream.Request, id string) (p *pool.Pool, class string, rejection *stream.ImmediateResponse)
}

// Front serves proxies on one listener. Its methods may be called from any goroutine.
type Front struct {
	extproc.UnimplementedExternalProcessorServer

	cfg          Config
	listener     net.Listener
	server       *grpc.Server
	health       *health.Server
	calls        *callTable
	lastStreamID atomic.Uint64
	responses    responseCache

	mu     sync.Mutex // guards limits and the usage of its proxies
	limits proxyLimits

	misrouted         atomic.Int64 // requests that a proxy sent elsewhere than decided
	misroutedLoggedAt atomic.Int64 // Unix seconds
	late              atomic.Int64 // requests that were rejected because they had waited too long
}

// New returns a front that serves proxies on l once Serve is called. The front owns l from then on.
func New(l net.Listener, cfg Config) *Front {
	cfg = cfg.withDefaults()
	f := &Front{
		cfg:      cfg,
		listener: l,
		health:   health.NewServer(),
		calls:    newCallTable(cfg.RememberedRequests),
		limits:   proxyLimits{rate: cfg.Rate, streams: cfg.ProxyStreams},
	}
	f.server = grpc.NewServer(
		grpc.MaxConcurrentStreams(cfg.Streams),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InTapHandle(f.recordArrival),
		grpc.NumStreamWorkers(uint32(streamWorkersPerCore*runtime.GOMAXPROCS(0)+extraStreamWorkers)),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minKeepaliveInterval,
			PermitWithoutStream: true,
		}),
	)
	extproc.RegisterExternalProcessorServer(f.server, f)
	healthpb.RegisterHealthServer(f.server, f.health)
	f.health.SetServingStatus(extproc.ExternalProcessor_ServiceDesc.ServiceName, healthpb.HealthCheckResponse_SERVING)
	reflection.Register(f.server)
	return f
}

// Addr is the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Serve serves until Shutdown or Close, and then returns http.ErrServerClosed, as every front does.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return http.ErrServerClosed
}

// Shutdown stops accepting streams, tells proxies to go away (GOAWAY) and waits until every stream has ended. If ctx
// ends first it closes them and returns ctx's error.
func (f *Front) Shutdown(ctx context.Context) error {
	f.health.Shutdown()
	stop := context.AfterFunc(ctx, f.server.Stop)
	defer stop()
	f.server.GracefulStop()
	return ctx.Err()
}

// Close closes the listener and every stream at once.
func (f *Front) Close() error {
	f.server.Stop()
	return f.listener.Close()
}

// Misrouted is how many requests proxies sent to another endpoint than was decided.
func (f *Front) Misrouted() int64 { return f.misrouted.Load() }

// Late is how many requests were rejected because they had waited in this process for most of the decision time-out.
func (f *Front) Late() int64 { return f.late.Load() }

// arrivalKey is the context key of the clock time at which a stream arrived.
type arrivalKey struct{}

// recordArrival notes when the headers of a stream were read. It runs on the goroutine of the connection: under load
// that of the stream starts much later, while the proxy's time-out is already running.
func (f *Front) recordArrival(ctx context.Context, _ *tap.Info) (context.Context, error) {
	return context.WithValue(ctx, arrivalKey{}, f.cfg.Clock.Now()), nil
}

// arrival is the clock time at which a stream arrived.
func (f *Front) arrival(ctx context.Context) time.Duration {
	if at, ok := ctx.Value(arrivalKey{}).(time.Duration); ok {
		return at
	}
	return f.cfg.Clock.Now()
}
