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
	"cranegrade/internal/standin"
)

// Config is what a proxy is made of.
type Config struct {
	Processor string          // host:port
	Timeout   time.Duration   // message_timeout; 0: 200 ms
	Mode      envoyconf.Mode  // "": header, or with Retries every-try
	YAML      string          // its configuration; "": envoyconf.Build's for the mode
	Endpoints []string        // that it knows, in the modes that need that
	Classes   []standin.Class // safe ones may be tried again in mode fallbacks
	Retries   int             // further tries, in the modes that have any
	Greedy    bool            // it also tries again by itself whatever failed, as a careless one does
	Deaf      bool            // it sends requests elsewhere than it is told
	Elsewhere func(told string) string
	Drop      func() bool // asked for each request: drop the side channel while the request is at its server
}

// Proxy is a proxy.
type Proxy struct {
	cfg  Config
	rec  *standin.Records
	conn *grpc.ClientConn
	svc  extproc.ExternalProcessorClient
	next atomic.Uint64
	name string

	entry     *manager
	inner     map[string]*manager
	clusters  map[string]*cluster
	askers    []*asker
	processor string

	lose atomic.Int64

	Decisions  atomic.Int64 // that named a server
	Immediate  atomic.Int64 // that answered at once
	Unanswered atomic.Int64 // questions that got no word in time
	Sent       atomic.Int64 // tries that went to a server
	Heeded     atomic.Int64 // and to one that the processor had named for it
	Waits      struct {
		sync.Mutex
		L []time.Duration // for each word
	}
}

// New returns a proxy with a side channel of its own.
func New(name string, rec *standin.Records, cfg Config) (*Proxy, error) {
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
	p := &Proxy{cfg: cfg, rec: rec, name: name}
	if err := p.compile([]byte(cfg.YAML)); err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	conn, err := grpc.NewClient("passthrough:///"+p.processor, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	p.conn, p.svc = conn, extproc.NewExternalProcessorClient(conn)
	return p, nil
}

// RetryHeader is the header by which the processor allows another try, by default.
const RetryHeader = "x-cranegrade-retry"

// yaml is what an operator would have of cranegrade proxy-config.
func (c Config) yaml() (string, error) {
	p := envoyconf.Options{Mode: c.Mode, Processor: c.Processor, Retries: c.Retries, Endpoints: c.Endpoints}
	if p.Mode == "" {
		if p.Mode = envoyconf.ByHeader; c.Retries > 0 {
			p.Mode = envoyconf.EveryTry
		}
	}
	p.Settings = envoyconf.ProcessorSettings{DecisionTimeout: c.Timeout - 50*time.Millisecond, Retries: p.Mode == envoyconf.EveryTry, RetryHeader: RetryHeader}
	if p.Mode == envoyconf.Fallbacks {
		p.Settings.MaxFallbacks = c.Retries
	}
	longest := 5 * time.Second
	for _, k := range c.Classes {
		p.Classes = append(p.Classes, envoyconf.Class{Name: k.Name, Deadline: k.Deadline, Idempotent: k.Effect == standin.Safe})
		longest = max(longest, k.Deadline)
	}
	if len(p.Classes) == 0 {
		p.Classes = []envoyconf.Class{{Name: "any", Deadline: longest}}
	}
	text, err := envoyconf.Build(p)
	out := string(text)
	if c.Greedy {
		out = strings.Replace(out, "retry_on: retriable-headers", `retry_on: "retriable-headers,5xx,reset,connect-failure"`, 1)
	}
	return out, err
}

// Lose has the next n answers lost on their way to the proxy's clients.
func (p *Proxy) Lose(n int64) { p.lose.Store(n) }

// Close ends its side channel.
func (p *Proxy) Close() { p.conn.Close() }

// NewID names a request as no other.
func (p *Proxy) NewID() string { return p.name + "-" + strconv.FormatUint(p.next.Add(1), 36) }

// Do carries one request of a client and records what the client saw.
func (p *Proxy) Do(ctx context.Context, s standin.Stream) standin.Exchange {
	return p.DoID(ctx, s, p.NewID())
}

// DoID is Do of a request with this id.
func (p *Proxy) DoID(ctx context.Context, s standin.Stream, id string) standin.Exchange {
	return p.DoWith(ctx, s, id, nil)
}

// DoWith is DoID of a client that sends further headers.
func (p *Proxy) DoWith(ctx context.Context, s standin.Stream, id string, more map[string]string) standin.Exchange {
	name := s.Name
	if name == "" {
		name = s.Class.Name
	}
	x := standin.Exchange{ID: id, Class: s.Class.Name, Stream: name, Sent: p.rec.Now(), Connected: true}
	x.Deadline = x.Sent + s.Class.Deadline
	r := &request{x: &x, meta: map[string]*structpb.Struct{}, sides: map[*asker]*side{}, head: header{
		":method": {method(s.Class)}, ":scheme": {"http"},
		":authority": {s.Host}, ":path": {"/" + s.Class.Name + "/" + id}, "x-correlation-id": {id},
	}}
	if s.Account != "" {
		r.head.set("x-account", s.Account)
	}
	if s.Class.Effect == standin.Keyed {
		x.Key = "k-" + id
		r.head.set("idempotency-key", x.Key)
	}
	if s.Class.Effect != standin.Safe {
		r.body = strings.Repeat("x", s.Body)
	}
	for k, v := range more {
		r.head.set(strings.ToLower(k), v)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Class.Deadline)
	defer cancel()
	resp := p.entry.serve(ctx, r)
	x.Status, x.RetryAfter = resp.status(), len(resp.head["retry-after"]) > 0
	x.Foreign = x.Status == 200 && resp.body != standin.Body(id)
	x.Answered = p.rec.Now()
	if p.lose.Add(-1) >= 0 {
		x.Status, x.Err = 0, errors.New("lost on its way")
	}
	p.rec.Exchange(x)
	return x
}

// method of a class.
func method(c standin.Class) string {
	if c.Effect == standin.Safe {
		return "GET"
	}
	return "POST"
}

var errTimeout = errors.New("no word within the message time-out")

// receive waits for the processor's next message.
func receive(st extproc.ExternalProcessor_ProcessClient, wait time.Duration) (*extproc.ProcessingResponse, error) {
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
		return nil, errTimeout
	}
}

// Run sends the streams' requests through the proxies in turn and returns once all have ended.
func Run(ctx context.Context, proxies []*Proxy, seed uint64, streams ...standin.Stream) {
	n := atomic.Uint64{}
	standin.Drive(ctx, seed, func(s standin.Stream) {
		proxies[int(n.Add(1))%len(proxies)].Do(ctx, s)
	}, func(standin.Stream) {}, streams...)
}
