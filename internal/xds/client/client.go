// Package client is the shell round the xDS state machines: one goroutine owns them, streams run on
// goroutines of their own and post what came of them.
package client

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/resource"
)

// Config is what a client is made of.
type Config struct {
	Servers  []string // control planes, host:port, in order of priority
	Delta    bool     // the incremental variant
	Node     *corev3.Node
	Timeout  time.Duration // for a resource that does not come; 0: 15 s
	Clusters resource.ClustersConfig
	Failover ads.FailoverConfig // Servers is set from the above
	MaxBytes int                // of a response; 0: 16 MiB
	Reports  time.Duration      // how often load is reported at the least; 0: never
}

const (
	defaultMaxBytes = 16 << 20
	// A control plane's machine that vanishes says nothing: pings find out.
	pingAfter  = 10 * time.Second
	pingWithin = 5 * time.Second
)

// Client follows clusters at the control planes. Its methods may be called from any goroutine.
type Client struct {
	cfg    Config
	events chan func()
	done   chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
	start  time.Time
	wakeup *time.Timer
	work   sync.WaitGroup
	loads  *loads

	// Owned by the goroutine of run.
	machine  *ads.Machine
	failover *ads.Failover
	clusters *resource.Clusters
	watchers map[string][]*watcher
	streams  map[int]*stream
	used     int // the control plane of the last stream that the machine saw; -1: none
	conns    []*grpc.ClientConn
	reports  []Report
	problems []string // of the control planes, by index
}

// watcher is one call of Watch.
type watcher struct {
	cluster string
	f       func(resource.Update)
}

// Report is something that an operator should hear of.
type Report struct {
	At   time.Time
	Text string
}

// maxReports bounds the reports that a dump shows.
const maxReports = 100

// New returns a client that dials at once and asks for what is watched.
func New(cfg Config) (*Client, error) {
	if len(cfg.Servers) == 0 {
		return nil, errors.New("xds: no control plane")
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	cfg.Failover.Servers = len(cfg.Servers)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		cfg: cfg, events: make(chan func(), 64), done: make(chan struct{}), ctx: ctx, cancel: cancel,
		start: time.Now(), wakeup: time.NewTimer(time.Hour), used: -1,
		machine:  ads.New(ads.Config{Delta: cfg.Delta, Node: cfg.Node, Types: resource.Types(), ResourceTimeout: cfg.Timeout}),
		failover: ads.NewFailover(cfg.Failover, rand.Uint64()), clusters: resource.NewClusters(cfg.Clusters),
		watchers: map[string][]*watcher{}, streams: map[int]*stream{}, problems: make([]string, len(cfg.Servers)),
	}
	for _, addr := range cfg.Servers {
		conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(cfg.MaxBytes)),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingWithin}),
			// The failover waits; the connection must not wait for longer behind its back.
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
		if err != nil {
			cancel()
			return nil, fmt.Errorf("xds: control plane %s: %w", addr, err)
		}
		c.conns = append(c.conns, conn)
	}
	if cfg.Reports > 0 {
		c.loads = newLoads(c)
	}
	c.work.Go(c.run)
	c.do(func() { c.steps(c.failover.Start(c.now())) })
	return c, nil
}

// Close ends the client and waits for its goroutines.
func (c *Client) Close() {
	c.cancel()
	<-c.done
	for _, conn := range c.conns {
		conn.Close()
	}
	c.work.Wait()
}

// Watch has f told of a cluster's assignments, the present one first, if there is any, on the client's
// goroutine: it must not wait for long, nor call the client. The end of ctx ends it.
func (c *Client) Watch(ctx context.Context, cluster string, f func(resource.Update)) {
	w := &watcher{cluster, f}
	c.do(func() {
		c.watchers[cluster] = append(c.watchers[cluster], w)
		// All who follow the cluster are told anew: it is the same to them.
		c.tell(c.clusters.Follow(cluster))
		c.want()
	})
	context.AfterFunc(ctx, func() {
		c.do(func() {
			c.watchers[cluster] = slices.DeleteFunc(c.watchers[cluster], func(x *watcher) bool { return x == w })
			if len(c.watchers[cluster]) == 0 {
				delete(c.watchers, cluster)
				c.clusters.Unfollow(cluster)
				c.want()
			}
		})
	})
}

func (c *Client) now() time.Duration { return time.Since(c.start) + 1 }

// do posts f to the client's goroutine.
func (c *Client) do(f func()) {
	select {
	case c.events <- f:
	case <-c.done:
	}
}

func (c *Client) run() {
	defer close(c.done)
	defer func() {
		for _, s := range c.streams {
			s.cancel()
		}
	}()
	for {
		c.wait()
		select {
		case f := <-c.events:
			f()
		case <-c.wakeup.C:
			now := c.now()
			c.steps(c.failover.Advance(now))
			c.actions(c.machine.Advance(now))
			updates, reports := c.clusters.Advance(now, c.machine.Resources(resource.ClusterURL))
			c.report(reports...)
			c.tell(updates)
			c.want()
		case <-c.ctx.Done():
			return
		}
	}
}

// wait sets the timer to what comes due first.
func (c *Client) wait() {
	next := time.Hour
	for _, f := range []func() (time.Duration, bool){c.failover.NextDeadline, c.machine.NextDeadline, c.clusters.Next} {
		if at, ok := f(); ok {
			next = min(next, max(0, at-c.now()))
		}
	}
	c.wakeup.Reset(next)
}

func (c *Client) report(texts ...string) {
	for _, t := range texts {
		log.Printf("xds: %s", t)
		c.reports = append(c.reports, Report{time.Now(), t})
	}
	if n := len(c.reports) - maxReports; n > 0 {
		c.reports = slices.Delete(c.reports, 0, n)
	}
}

// want asks for what is followed, and for the assignments that its clusters lead to.
func (c *Client) want() {
	now := c.now()
	clusters, services := c.clusters.Wanted()
	c.actions(c.machine.SetSubscription(now, resource.ClusterURL, false, clusters))
	c.actions(c.machine.SetSubscription(now, resource.EndpointURL, false, services))
}

func (c *Client) tell(updates []resource.Update) {
	for _, u := range updates {
		for _, w := range c.watchers[u.Cluster] {
			w.f(u)
		}
	}
}

// actions carries out what the machine says.
func (c *Client) actions(l []ads.Action) {
	for _, a := range l {
		switch a := a.(type) {
		case ads.SendRequest:
			if s := c.streams[c.used]; s != nil && !s.probe {
				s.send(a)
			}
		case ads.ResourceUpdate:
			updates, reports := c.clusters.Change(c.now(), a)
			c.report(reports...)
			c.tell(updates)
			if a.TypeURL == resource.ClusterURL {
				c.want()
			}
		case ads.Notice:
			c.report(a.Text)
		}
	}
}

// steps carries out what the failover says.
func (c *Client) steps(l []ads.Step) {
	for _, s := range l {
		switch s.Kind {
		case ads.OpenStream:
			c.open(s.Server)
		case ads.CloseStream:
			if st := c.streams[s.Server]; st != nil {
				st.cancel()
				delete(c.streams, s.Server)
			}
		case ads.UseServer: // up sees to it
		}
	}
}

// stream is one stream to a control plane.
type stream struct {
	server int
	cancel context.CancelFunc
	out    chan ads.SendRequest
	probe  bool // not for the machine: it was sent a request of its own, to see whether it answers
}

func (s *stream) send(a ads.SendRequest) {
	select {
	case s.out <- a:
	default:
		// The control plane does not read: its stream is of no use any more.
		s.cancel()
	}
}

// maxOut bounds the requests that wait to be written.
const maxOut = 1024

// open opens a stream. Until it has answered the machine knows nothing of it, unless no other is in use.
func (c *Client) open(i int) {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &stream{server: i, cancel: cancel, out: make(chan ads.SendRequest, maxOut)}
	c.streams[i] = s
	c.work.Go(func() {
		defer cancel()
		err := c.talk(ctx, s)
		c.do(func() { c.down(s, err) })
	})
}

// down notes that a stream has ended.
func (c *Client) down(s *stream, err error) {
	if c.streams[s.server] != s {
		return // hung up
	}
	delete(c.streams, s.server)
	if text := err.Error(); c.problems[s.server] != text {
		c.problems[s.server] = text
		c.report(fmt.Sprintf("control plane %s: %v", c.cfg.Servers[s.server], err))
	}
	if c.used == s.server && !s.probe {
		c.machine.StreamClosed()
	}
	c.steps(c.failover.StreamEnded(c.now(), s.server))
}

var errEnded = errors.New("the control plane ended the stream")

// discoveryStream is what both variants' streams have in common.
type discoveryStream interface {
	CloseSend() error
	Context() context.Context
}

// talk runs a stream until it ends, and says why, never nil.
func (c *Client) talk(ctx context.Context, s *stream) error {
	svc := discovery.NewAggregatedDiscoveryServiceClient(c.conns[s.server])
	if c.cfg.Delta {
		st, err := svc.DeltaAggregatedResources(ctx)
		if err != nil {
			return fmt.Errorf("opening a stream: %w", err)
		}
		return c.pump(s, st, func(a ads.SendRequest) error { return st.Send(a.Delta) }, func() (func(), error) {
			r, err := st.Recv()
			return func() { c.actions(c.machine.HandleDeltaResponse(c.now(), r)) }, err
		})
	}
	st, err := svc.StreamAggregatedResources(ctx)
	if err != nil {
		return fmt.Errorf("opening a stream: %w", err)
	}
	return c.pump(s, st, func(a ads.SendRequest) error { return st.Send(a.SotW) }, func() (func(), error) {
		r, err := st.Recv()
		return func() { c.actions(c.machine.HandleResponse(c.now(), r)) }, err
	})
}

// pump writes what the machine sends and reads what comes, one response after the other: the next is
// read once the one before has been dealt with, so that a control plane that floods fills its own
// window and not our memory.
func (c *Client) pump(s *stream, st discoveryStream, send func(ads.SendRequest) error, receive func() (func(), error)) error {
	ctx := st.Context()
	writing := make(chan struct{})
	defer func() { <-writing }()
	defer s.cancel()
	go func() {
		defer close(writing)
		for {
			select {
			case a := <-s.out:
				if send(a) != nil {
					return // receive tells why
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	c.do(func() { c.begin(s) })
	for {
		handle, err := receive()
		if err != nil {
			if context.Cause(ctx) == context.Canceled && c.ctx.Err() == nil {
				return errEnded
			}
			return err
		}
		dealt := make(chan struct{})
		c.do(func() {
			defer close(dealt)
			if c.streams[s.server] != s {
				return // hung up
			}
			if c.up(s) {
				handle()
			}
		})
		select {
		case <-dealt:
		case <-c.done:
			return errEnded
		}
	}
}

// begin asks for everything on a stream that is open. While another is in use this one is only probed.
func (c *Client) begin(s *stream) {
	if c.streams[s.server] != s {
		return
	}
	if a := c.failover.Active(); a >= 0 && a != s.server && c.streams[a] != nil {
		s.probe = true
		clusters, _ := c.clusters.Wanted()
		if c.cfg.Delta {
			s.send(ads.SendRequest{Delta: &discovery.DeltaDiscoveryRequest{Node: c.cfg.Node, TypeUrl: resource.ClusterURL, ResourceNamesSubscribe: clusters}})
		} else {
			s.send(ads.SendRequest{SotW: &discovery.DiscoveryRequest{Node: c.cfg.Node, TypeUrl: resource.ClusterURL, ResourceNames: clusters}})
		}
		return
	}
	c.enter(s)
}

// enter has the machine speak over a stream.
func (c *Client) enter(s *stream) {
	same := c.used == s.server
	if c.used >= 0 {
		c.machine.StreamClosed()
	}
	c.used, s.probe = s.server, false
	for _, a := range c.machine.StreamOpened(c.now(), same) {
		if send, is := a.(ads.SendRequest); is {
			s.send(send)
		} else {
			c.actions([]ads.Action{a})
		}
	}
}

// up notes that a stream has answered; false if what it answered is not for the machine.
func (c *Client) up(s *stream) bool {
	c.problems[s.server] = ""
	before := c.failover.Active()
	c.steps(c.failover.StreamResponded(c.now(), s.server))
	if before != s.server && c.failover.Active() == s.server {
		c.report(fmt.Sprintf("control plane %s is in use", c.cfg.Servers[s.server]))
	}
	if !s.probe && c.used == s.server {
		return true
	}
	// It was a probe, or the machine has gone over to another meanwhile: the machine begins on a stream
	// of its own, where nothing has been asked before.
	s.cancel()
	c.open(s.server)
	return false
}
