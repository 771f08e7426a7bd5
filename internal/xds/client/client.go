// Package client is an xDS client: the shell round the state machines of package ads and the joining of
// resources in package resource.
//
// A Client owns its connections and streams. One goroutine (run) owns all state; each stream has
// goroutines of its own, which post what happens to run and touch nothing else. New starts the client,
// Close ends it and waits for all of its goroutines. The methods may be called from any goroutine, but
// not from a watcher.
//
// The specifications are Envoy's "xDS REST and gRPC protocol" and, for load reports, the comments of
// envoy.service.load_stats.v3.
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
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/resource"
)

// Config holds the settings of a client.
type Config struct {
	Servers            []string // control planes, host:port, in order of priority; at least one
	Delta              bool     // speak the incremental variant instead of SotW
	Node               *corev3.Node
	ResourceTimeout    time.Duration // after which a requested resource is taken not to exist; 0 means 15 s
	Clusters           resource.ClustersConfig
	Failover           ads.FailoverConfig // its number of servers is set from Servers
	MaxResponseBytes   int                // a longer response breaks the stream; 0 means 16 MiB
	LoadReportInterval time.Duration      // shortest time between two load reports; 0 means load is not reported
}

const (
	defaultMaxResponseBytes = 16 << 20
	// A control plane whose machine vanishes sends nothing, not even a reset. HTTP/2 pings detect it.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
	// minConnectTimeout bounds one attempt to connect. The failover does the waiting between attempts, so
	// the connection must not wait for longer on its own.
	minConnectTimeout = time.Second
	// idleWakeup is how long run sleeps when no deadline is set.
	idleWakeup = time.Hour
	// maxQueuedEvents bounds the events that wait for run; then those who post them wait.
	maxQueuedEvents = 64
	// maxNotices bounds the notices that a dump shows.
	maxNotices = 100
	// noServer is the machine's server before it had a stream.
	noServer = -1
)

// Client watches clusters of control planes. See the package comment for its goroutines.
type Client struct {
	cfg    Config
	start  time.Time
	conns  []*grpc.ClientConn // by the index of the server
	loads  *loadReporter      // nil if load is not reported
	events chan func()        // to be called by run
	timer  *time.Timer        // of the next deadline

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	done   chan struct{}  // closed when run has returned
	work   sync.WaitGroup // all goroutines

	// Owned by run.
	machine       *ads.Machine
	machineServer int // the server of the stream that the machine was last attached to, or noServer
	failover      *ads.Failover
	clusters      *resource.Clusters
	watchers      map[string][]*watcher // by cluster
	streams       map[int]*stream       // by the index of the server
	lastErrors    []string              // why streams failed, by the index of the server; "" since a response came
	notices       []Notice
}

// watcher is one call of Watch.
type watcher struct {
	cluster string
	notify  func(resource.ClusterUpdate)
}

// Notice is a message for operators.
type Notice struct {
	At   time.Time
	Text string
}

// New returns a client that connects at once and subscribes to what is watched.
func New(cfg Config) (*Client, error) {
	if len(cfg.Servers) == 0 {
		return nil, errors.New("xds: no control plane")
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultMaxResponseBytes
	}
	cfg.Failover.Servers = len(cfg.Servers)
	conns, err := connect(cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		cfg:    cfg,
		start:  time.Now(),
		conns:  conns,
		events: make(chan func(), maxQueuedEvents),
		timer:  time.NewTimer(idleWakeup),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		machine: ads.New(ads.Config{
			Delta:           cfg.Delta,
			Node:            cfg.Node,
			Types:           resource.Types(),
			ResourceTimeout: cfg.ResourceTimeout,
		}),
		machineServer: noServer,
		failover:      ads.NewFailover(cfg.Failover, rand.Uint64()),
		clusters:      resource.NewClusters(cfg.Clusters),
		watchers:      map[string][]*watcher{},
		streams:       map[int]*stream{},
		lastErrors:    make([]string, len(cfg.Servers)),
	}
	if cfg.LoadReportInterval > 0 {
		c.loads = newLoadReporter(c)
	}
	c.work.Go(c.run)
	c.post(func() { c.execute(c.failover.Start(c.now())) })
	return c, nil
}

// connect makes a connection to each control plane. gRPC dials when the first stream is opened.
func connect(cfg Config) ([]*grpc.ClientConn, error) {
	var conns []*grpc.ClientConn
	for _, addr := range cfg.Servers {
		conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(cfg.MaxResponseBytes)),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout}))
		if err != nil {
			closeAll(conns)
			return nil, fmt.Errorf("xds: control plane %s: %w", addr, err)
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

func closeAll(conns []*grpc.ClientConn) {
	for _, conn := range conns {
		_ = conn.Close() // it fails only if it was closed before
	}
}

// Close ends the client and waits for its goroutines.
func (c *Client) Close() {
	c.cancel()
	<-c.done
	closeAll(c.conns)
	c.work.Wait()
}

// Watch has notify called with a cluster's assignments, the present one first if there is any, until ctx
// ends. notify runs on the client's goroutine: it must not block, nor call the client.
func (c *Client) Watch(ctx context.Context, cluster string, notify func(resource.ClusterUpdate)) {
	w := &watcher{cluster, notify}
	c.post(func() {
		c.watchers[cluster] = append(c.watchers[cluster], w)
		c.notifyWatchers(c.clusters.Watch(cluster))
		c.updateSubscriptions()
	})
	context.AfterFunc(ctx, func() {
		c.post(func() { c.removeWatcher(w) })
	})
}

func (c *Client) removeWatcher(w *watcher) {
	c.watchers[w.cluster] = slices.DeleteFunc(c.watchers[w.cluster], func(other *watcher) bool { return other == w })
	if len(c.watchers[w.cluster]) == 0 {
		delete(c.watchers, w.cluster)
		c.clusters.Unwatch(w.cluster)
		c.updateSubscriptions()
	}
}

// now is the time of the state machines, for which 0 means "none".
func (c *Client) now() time.Duration { return time.Since(c.start) + 1 }

// post has run call f, unless the client has ended.
func (c *Client) post(f func()) {
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
		c.resetTimer()
		select {
		case f := <-c.events:
			f()
		case <-c.timer.C:
			c.advance()
		case <-c.ctx.Done():
			return
		}
	}
}

// resetTimer sets the timer to the earliest deadline.
func (c *Client) resetTimer() {
	wait := idleWakeup
	nextDeadlines := [...]func() (time.Duration, bool){
		c.failover.NextDeadline,
		c.machine.NextDeadline,
		c.clusters.NextDeadline,
	}
	for _, nextDeadline := range nextDeadlines {
		if at, ok := nextDeadline(); ok {
			wait = min(wait, max(0, at-c.now()))
		}
	}
	c.timer.Reset(wait)
}

// advance does what is due.
func (c *Client) advance() {
	now := c.now()
	c.execute(c.failover.Advance(now))
	c.perform(c.machine.Advance(now))
	updates, notices := c.clusters.Advance(now, c.machine.Resources(resource.ClusterURL))
	c.notice(notices...)
	c.notifyWatchers(updates)
	c.updateSubscriptions()
}

// notice logs messages for operators and keeps the latest for a dump.
func (c *Client) notice(texts ...string) {
	for _, text := range texts {
		log.Printf("xds: %s", text)
		c.notices = append(c.notices, Notice{time.Now(), text})
	}
	if surplus := len(c.notices) - maxNotices; surplus > 0 {
		c.notices = slices.Delete(c.notices, 0, surplus)
	}
}

// updateSubscriptions subscribes to the watched clusters and to the assignments that they lead to.
func (c *Client) updateSubscriptions() {
	now := c.now()
	clusters, assignments := c.clusters.Subscriptions()
	c.perform(c.machine.SetSubscription(now, resource.ClusterURL, false, clusters))
	c.perform(c.machine.SetSubscription(now, resource.EndpointURL, false, assignments))
}

func (c *Client) notifyWatchers(updates []resource.ClusterUpdate) {
	for _, u := range updates {
		for _, w := range c.watchers[u.Cluster] {
			w.notify(u)
		}
	}
}

// perform carries out the machine's actions.
func (c *Client) perform(actions []ads.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ads.SendRequest:
			if s := c.streams[c.machineServer]; s != nil && !s.probe {
				s.send(a)
			}
		case ads.ResourceUpdate:
			updates, notices := c.clusters.HandleUpdate(c.now(), a)
			c.notice(notices...)
			c.notifyWatchers(updates)
			if a.TypeURL == resource.ClusterURL {
				c.updateSubscriptions()
			}
		case ads.Notice:
			c.notice(a.Text)
		}
	}
}

// execute carries out the failover's steps.
func (c *Client) execute(steps []ads.Step) {
	for _, step := range steps {
		switch step.Kind {
		case ads.OpenStream:
			c.openStream(step.Server)
		case ads.CloseStream:
			if s := c.streams[step.Server]; s != nil {
				s.cancel()
				delete(c.streams, step.Server)
			}
		case ads.UseServer: // streamResponded sees to it
		}
	}
}
