// Package proxy is a stand-in for a proxy that asks an external processor where requests should go
// (envoy.service.ext_proc.v3, and the endpoint picker's conventions). It is made of layers in the order of the
// real one: a connection manager cleans headers, chooses a route and runs its filters; the router adds and takes
// off headers, chooses a host of its cluster and tries again as its policy says; only then the cluster's own
// filters run (layers.go). It takes the same YAML, of which it models a part and refuses the rest (compile.go).
//
// Requests are carried to stand-in servers over HTTP/1.1; it records what its clients saw, and can be told to
// misbehave.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/fake"
)

// Config is what a proxy is made of.
type Config struct {
	Processor       string         // host:port
	Timeout         time.Duration  // message_timeout; 0: 200 ms
	Mode            envoyconf.Mode // "": header, or with Retries every-try
	YAML            string         // its configuration; "": envoyconf.Build's for the mode
	Endpoints       []string       // that it knows, in the modes that need that
	Classes         []fake.Class   // safe ones may be tried again in mode fallbacks
	MaxRetries      int            // further tries, in the modes that have any
	RetryEverything bool           // it also tries again by itself whatever failed, as a careless one does
	IgnoreDecisions bool           // it sends requests elsewhere than it is told
	OtherServer     func(told string) string
	DropStream      func() bool // asked for each request: drop the side channel while the request is at its server
}

// Proxy is a proxy.
type Proxy struct {
	cfg             Config
	recorder        *fake.Recorder
	conn            *grpc.ClientConn
	processorClient extproc.ExternalProcessorClient
	lastID          atomic.Uint64
	name            string

	downstream        *connectionManager
	internalListeners map[string]*connectionManager
	clusters          map[string]*cluster
	processorFilters  []*processorFilter
	processor         string

	toDrop atomic.Int64

	Decisions          atomic.Int64 // that named a server
	ImmediateResponses atomic.Int64 // that answered at once
	MessageTimeouts    atomic.Int64 // questions that got no word in time
	UpstreamRequests   atomic.Int64 // tries that went to a server
	DecisionsFollowed  atomic.Int64 // and to one that the processor had named for it
	Waits              struct {
		sync.Mutex
		L []time.Duration // for each word
	}
}

// New returns a proxy with a side channel of its own.
func New(name string, rec *fake.Recorder, cfg Config) (*Proxy, error) {
	if cfg.Timeout == 0 {
		cfg.Timeout = 200 * time.Millisecond
	}
	if cfg.YAML == "" {
		text, err := cfg.yaml()
		if err != nil {
			return nil, fmt.Errorf("proxy %s: %w", name, err)
		}
		cfg.YAML = text
	}
	p := &Proxy{cfg: cfg, recorder: rec, name: name}
	if err := p.compile([]byte(cfg.YAML)); err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	conn, err := grpc.NewClient("passthrough:///"+p.processor, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	p.conn, p.processorClient = conn, extproc.NewExternalProcessorClient(conn)
	return p, nil
}

// RetryHeader is the header by which the processor allows another try, by default.
const RetryHeader = "x-cranegrade-retry"

// yaml is what an operator would have of cranegrade proxy-config.
func (c Config) yaml() (string, error) {
	p := envoyconf.Proxy{Mode: c.Mode, Processor: c.Processor, Retries: c.MaxRetries, Endpoints: c.Endpoints}
	if p.Mode == "" {
		if p.Mode = envoyconf.ByHeader; c.MaxRetries > 0 {
			p.Mode = envoyconf.EveryTry
		}
	}
	p.Facts = envoyconf.Facts{DecideWithin: c.Timeout - 50*time.Millisecond, Retries: p.Mode == envoyconf.EveryTry, RetryHeader: RetryHeader}
	if p.Mode == envoyconf.Fallbacks {
		p.Facts.Spares = c.MaxRetries
	}
	longest := 5 * time.Second
	for _, k := range c.Classes {
		p.Classes = append(p.Classes, envoyconf.Class{Name: k.Name, Deadline: k.Deadline, Safe: k.Effect == fake.Safe})
		longest = max(longest, k.Deadline)
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

// Lose has the next n answers lost on their way to the proxy's clients.
func (p *Proxy) DropResponses(n int64) { p.toDrop.Store(n) }

// Close ends its side channel.
func (p *Proxy) Close() { p.conn.Close() }

// NewID names a request as no other.
func (p *Proxy) NewID() string { return p.name + "-" + strconv.FormatUint(p.lastID.Add(1), 36) }

// Do carries one request of a client and records what the client saw.
func (p *Proxy) Do(ctx context.Context, s fake.Stream) fake.Exchange {
	return p.DoWithID(ctx, s, p.NewID())
}

// DoID is Do of a request with this id.
func (p *Proxy) DoWithID(ctx context.Context, s fake.Stream, id string) fake.Exchange {
	return p.DoWithHeaders(ctx, s, id, nil)
}

// DoWith is DoID of a client that sends further headers.
func (p *Proxy) DoWithHeaders(ctx context.Context, s fake.Stream, id string, more map[string]string) fake.Exchange {
	name := s.Name
	if name == "" {
		name = s.Class.Name
	}
	x := fake.Exchange{ID: id, Class: s.Class.Name, Stream: name, SentAt: p.recorder.Now(), Connected: true}
	x.Deadline = x.SentAt + s.Class.Deadline
	r := &request{exchange: &x, metadata: map[string]*structpb.Struct{}, streams: map[*processorFilter]*processorStream{}, headers: headers{
		":method": {methodOf(s.Class)}, ":scheme": {"http"},
		":authority": {s.Host}, ":path": {"/" + s.Class.Name + "/" + id}, "x-correlation-id": {id},
	}}
	if s.Account != "" {
		r.headers.set("x-account", s.Account)
	}
	if s.Class.Effect == fake.Keyed {
		x.Key = "k-" + id
		r.headers.set("idempotency-key", x.Key)
	}
	if s.Class.Effect != fake.Safe {
		r.body = strings.Repeat("x", s.BodyBytes)
	}
	for k, v := range more {
		r.headers.set(strings.ToLower(k), v)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Class.Deadline)
	defer cancel()
	resp := p.downstream.serve(ctx, r)
	x.Status, x.RetryAfter = resp.status(), len(resp.headers["retry-after"]) > 0
	x.ForeignBody = x.Status == 200 && resp.body != fake.ResponseBody(id)
	x.AnsweredAt = p.recorder.Now()
	if p.toDrop.Add(-1) >= 0 {
		x.Status, x.Err = 0, errors.New("lost on its way")
	}
	p.recorder.RecordExchange(x)
	return x
}

// method of a class.
func methodOf(c fake.Class) string {
	if c.Effect == fake.Safe {
		return "GET"
	}
	return "POST"
}

var errMessageTimeout = errors.New("no word within the message time-out")

// receive waits for the processor's next message.
func receiveWithin(st extproc.ExternalProcessor_ProcessClient, wait time.Duration) (*extproc.ProcessingResponse, error) {
	type result struct {
		m   *extproc.ProcessingResponse
		err error
	}
	ch := make(chan result, 1)
	go func() {
		m, err := st.Recv()
		ch <- result{m, err}
	}()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-ch:
		return r.m, r.err
	case <-t.C:
		return nil, errMessageTimeout
	}
}

// Run sends the streams' requests through the proxies in turn and returns once all have ended.
func Run(ctx context.Context, proxies []*Proxy, seed uint64, streams ...fake.Stream) {
	n := atomic.Uint64{}
	fake.RunStreams(ctx, seed, func(s fake.Stream) {
		proxies[int(n.Add(1))%len(proxies)].Do(ctx, s)
	}, func(fake.Stream) {}, streams...)
}
