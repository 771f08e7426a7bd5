// Package proxy is a fake of a proxy that asks an external processor where requests should go (envoy.service.ext_proc.v3, and the
// conventions of the endpoint picker). Its layers run in the order of Envoy's: a connection manager sanitizes headers, chooses a route
// and runs its filters (connection_manager.go); the router adds and removes headers and retries by its policy (router.go); a cluster
// chooses a host, and only then runs its own filters (cluster.go). A filter that asks the processor is in processor_filter.go. The fake
// reads the same YAML as Envoy, of which it models a part and refuses the rest (compile.go).
//
// Requests are sent to fake servers over HTTP/1.1. The proxy records what its clients saw, and can be told to misbehave.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/fake"
)

const (
	// RetryHeader is the response header by which the processor allows another attempt, by default.
	RetryHeader = "x-cranegrade-retry"

	processorConnectTimeout = time.Second
	decisionMargin          = 50 * time.Millisecond // by which the processor is to decide before the message time-out
	minLongestDeadline      = 5 * time.Second       // of the class that stands for all, if none is given
)

// Config is what a proxy is made of.
type Config struct {
	Processor  string         // host:port
	Timeout    time.Duration  // message_timeout; 0: 200 ms
	Mode       envoyconf.Mode // "": by header, or with MaxRetries every-try
	YAML       string         // its configuration; "": what envoyconf.Build makes for the mode
	Endpoints  []string       // the addresses that it knows, in the modes that need them
	Classes    []fake.Class   // safe ones may be retried in mode fallbacks
	MaxRetries int            // of a request, in the modes that have retries

	// Faults:
	RetryEverything bool                        // it also retries by itself whatever failed
	IgnoreDecisions bool                        // it sends requests to OtherServer
	OtherServer     func(decided string) string // returns an address
	// DropStream is called for each request. True: drop the stream to the processor while the request is at its server.
	DropStream func() bool
}

// Proxy is a fake proxy. All methods may be called from any goroutine.
type Proxy struct {
	config          Config
	recorder        *fake.Recorder
	conn            *grpc.ClientConn // to the processor
	processorClient extproc.ExternalProcessorClient
	lastID          atomic.Uint64
	name            string
	toDrop          atomic.Int64 // responses

	// The layers, made by compile and not changed later:
	downstream        *connectionManager // of the listener for callers
	internalListeners map[string]*connectionManager
	clusters          map[string]*cluster
	processorFilters  []*processorFilter
	processor         string // host:port

	Decisions          atomic.Int64 // answers of the processor that named a server
	ImmediateResponses atomic.Int64 // answers of the processor that ended the request
	MessageTimeouts    atomic.Int64 // questions without an answer in time
	UpstreamRequests   atomic.Int64 // attempts that were sent to a server
	DecisionsFollowed  atomic.Int64 // those of them to a server that the processor had named
	DecisionTimes      Durations    // from each question to its answer
}

// Durations is a list of durations that may be added to from any goroutine. The zero value is empty.
type Durations struct {
	mu   sync.Mutex // guards list
	list []time.Duration
}

func (d *Durations) add(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, t)
}

// All returns the durations in the order in which they were added.
func (d *Durations) All() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list)
}

// New returns a proxy with a connection of its own to the processor.
func New(name string, recorder *fake.Recorder, config Config) (*Proxy, error) {
	if config.Timeout == 0 {
		config.Timeout = defaultMessageTimeout
	}
	if config.YAML == "" {
		text, err := config.yaml()
		if err != nil {
			return nil, fmt.Errorf("proxy %s: %w", name, err)
		}
		config.YAML = text
	}
	p := &Proxy{config: config, recorder: recorder, name: name}
	if err := p.compile([]byte(config.YAML)); err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	conn, err := grpc.NewClient("passthrough:///"+p.processor, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: processorConnectTimeout}))
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	p.conn, p.processorClient = conn, extproc.NewExternalProcessorClient(conn)
	return p, nil
}

// yaml is the configuration that `cranegrade proxy-config` prints for an operator, with the faults of this proxy.
func (c Config) yaml() (string, error) {
	p := envoyconf.Options{Mode: c.Mode, Processor: c.Processor, Retries: c.MaxRetries, Endpoints: c.Endpoints}
	if p.Mode == "" {
		if p.Mode = envoyconf.ByHeader; c.MaxRetries > 0 {
			p.Mode = envoyconf.EveryTry
		}
	}
	p.Settings = envoyconf.ProcessorSettings{DecisionTimeout: c.Timeout - decisionMargin, Retries: p.Mode == envoyconf.EveryTry, RetryHeader: RetryHeader}
	if p.Mode == envoyconf.Fallbacks {
		p.Settings.MaxFallbacks = c.MaxRetries
	}
	longest := minLongestDeadline
	for _, class := range c.Classes {
		p.Classes = append(p.Classes, envoyconf.Class{Name: class.Name, Deadline: class.Deadline, Idempotent: class.Effect == fake.Safe})
		longest = max(longest, class.Deadline)
	}
	if len(p.Classes) == 0 {
		p.Classes = []envoyconf.Class{{Name: "any", Deadline: longest}}
	}
	text, err := envoyconf.Build(p)
	out := string(text)
	if c.RetryEverything {
		out = strings.Replace(out, "retry_on: retriable-headers", `retry_on: "retriable-headers,5xx,reset,connect-failure"`, 1)
	}
	return out, err
}

// DropResponses has the next n responses lost on their way to the proxy's clients.
func (p *Proxy) DropResponses(n int64) { p.toDrop.Store(n) }

// Close closes the connection to the processor.
func (p *Proxy) Close() { _ = p.conn.Close() }

// NewID returns an id that no other request has.
func (p *Proxy) NewID() string { return p.name + "-" + strconv.FormatUint(p.lastID.Add(1), 36) }

// Do carries one request of a client and records what the client saw.
func (p *Proxy) Do(ctx context.Context, s fake.Stream) fake.Exchange {
	return p.DoWithID(ctx, s, p.NewID())
}

// DoWithID is Do of a request with a given id.
func (p *Proxy) DoWithID(ctx context.Context, s fake.Stream, id string) fake.Exchange {
	return p.DoWithHeaders(ctx, s, id, nil)
}

// DoWithHeaders is DoWithID of a client that sends further headers.
func (p *Proxy) DoWithHeaders(ctx context.Context, s fake.Stream, id string, extra map[string]string) fake.Exchange {
	x := p.newExchange(s, id)
	r := newRequest(requestHeaders(s, x), requestBody(s), x)
	for name, v := range extra {
		r.headers.set(strings.ToLower(name), v)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Class.Deadline)
	defer cancel()
	resp := p.downstream.serve(ctx, r)
	x.Status, x.RetryAfter = resp.status(), len(resp.headers["retry-after"]) > 0
	x.ForeignBody = x.Status == http.StatusOK && resp.body != fake.ResponseBody(id)
	x.AnsweredAt = p.recorder.Now()
	if p.toDrop.Add(-1) >= 0 {
		x.Status, x.Err = 0, errors.New("the response was dropped")
	}
	p.recorder.RecordExchange(*x)
	return *x
}

func (p *Proxy) newExchange(s fake.Stream, id string) *fake.Exchange {
	name := s.Name
	if name == "" {
		name = s.Class.Name
	}
	x := &fake.Exchange{ID: id, Class: s.Class.Name, Stream: name, SentAt: p.recorder.Now(), Connected: true}
	x.Deadline = x.SentAt + s.Class.Deadline
	if s.Class.Effect == fake.Keyed {
		x.Key = "k-" + id
	}
	return x
}

// requestHeaders are the headers that a client sends.
func requestHeaders(s fake.Stream, x *fake.Exchange) headers {
	h := headers{
		":method": {http.MethodPost}, ":scheme": {"http"}, ":authority": {s.Host}, ":path": {"/" + s.Class.Name + "/" + x.ID},
		"x-correlation-id": {x.ID},
	}
	if s.Class.Effect == fake.Safe {
		h.set(":method", http.MethodGet)
	}
	if s.Account != "" {
		h.set("x-account", s.Account)
	}
	if x.Key != "" {
		h.set("idempotency-key", x.Key)
	}
	return h
}

func requestBody(s fake.Stream) string {
	if s.Class.Effect == fake.Safe {
		return ""
	}
	return strings.Repeat("x", s.BodyBytes)
}

// Run sends the requests of the streams through the proxies in turn, and returns once all of them have ended.
func Run(ctx context.Context, proxies []*Proxy, seed uint64, streams ...fake.Stream) {
	var next atomic.Uint64
	fake.RunStreams(ctx, seed, func(s fake.Stream) {
		proxies[int(next.Add(1))%len(proxies)].Do(ctx, s)
	}, func(fake.Stream) {}, streams...)
}
