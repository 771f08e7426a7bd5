package client

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
)

// Backoff between two streams of load reports.
const (
	minLoadReportBackoff = time.Second
	maxLoadReportBackoff = time.Minute
)

// loadReporter reports the load of all clusters to the control plane in use
// (envoy.service.load_stats.v3, LRS). Its goroutine belongs to the client.
type loadReporter struct {
	client *Client

	mu       sync.Mutex // guards clusters
	clusters map[string]*ClusterLoad
}

// newLoadReporter starts the load reports of a client.
func newLoadReporter(c *Client) *loadReporter {
	r := &loadReporter{client: c, clusters: map[string]*ClusterLoad{}}
	c.work.Go(r.run)
	return r
}

// ClusterLoad returns the counters of a cluster's load; nil if load is not reported.
func (c *Client) ClusterLoad(cluster string) *ClusterLoad {
	if c.loads == nil {
		return nil
	}
	return c.loads.clusterLoad(cluster)
}

func (r *loadReporter) clusterLoad(cluster string) *ClusterLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := r.clusters[cluster]
	if load == nil {
		load = newClusterLoad(cluster)
		r.clusters[cluster] = load
	}
	return load
}

// selectedClusters returns the clusters that a control plane wants to hear of, sorted by name.
func (r *loadReporter) selectedClusters(wanted *loadstats.LoadStatsResponse) []*ClusterLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := make([]*ClusterLoad, 0, len(r.clusters))
	for name, load := range r.clusters {
		if wanted.GetSendAllClusters() || slices.Contains(wanted.GetClusters(), name) {
			selected = append(selected, load)
		}
	}
	slices.SortFunc(selected, compareClusters)
	return selected
}

// takeReport returns the report of the clusters that a control plane wants to hear of.
func (r *loadReporter) takeReport(wanted *loadstats.LoadStatsResponse) *loadstats.LoadStatsRequest {
	request := &loadstats.LoadStatsRequest{}
	now := time.Now()
	for _, load := range r.selectedClusters(wanted) {
		if stats := load.takeReport(now, wanted.GetReportEndpointGranularity()); stats != nil {
			request.ClusterStats = append(request.ClusterStats, stats)
		}
	}
	return request
}

// run keeps a stream to the control plane in use, and opens another when it ends.
func (r *loadReporter) run() {
	c := r.client
	backoff := minLoadReportBackoff
	for c.ctx.Err() == nil {
		started := time.Now()
		if err := r.runStream(); err != nil && c.ctx.Err() == nil {
			text := fmt.Sprintf("load reports: %v; again in %v", err, backoff)
			c.post(func() { c.notice(text) })
		}
		if time.Since(started) > backoff {
			backoff = minLoadReportBackoff
		}
		select {
		case <-time.After(backoff):
		case <-c.ctx.Done():
		}
		backoff = min(2*backoff, maxLoadReportBackoff)
	}
}

// activeServer asks run for the control plane in use; false if the client has ended.
func (r *loadReporter) activeServer() (server int, ok bool) {
	c := r.client
	active := make(chan int, 1)
	c.post(func() { active <- max(0, c.failover.Active()) })
	select {
	case server = <-active:
		return server, true
	case <-c.done:
		return 0, false
	}
}

// runStream reports over one stream until it ends; nil if the client has ended.
func (r *loadReporter) runStream() error {
	c := r.client
	server, ok := r.activeServer()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stream, err := loadstats.NewLoadReportingServiceClient(c.conns[server]).StreamLoadStats(ctx)
	if err != nil {
		return fmt.Errorf("opening a stream: %w", err)
	}
	if err := stream.Send(&loadstats.LoadStatsRequest{Node: c.cfg.Node}); err != nil {
		return fmt.Errorf("the first request: %w", err)
	}
	responses, failed := make(chan *loadstats.LoadStatsResponse), make(chan error, 1)
	c.work.Go(func() {
		failed <- receiveLoadResponses(ctx, stream, responses)
	})
	var wanted *loadstats.LoadStatsResponse // nil means the control plane has not asked for reports
	ticker := time.NewTicker(c.cfg.LoadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case wanted = <-responses:
			// The control plane chooses the interval, but not below that of the settings.
			ticker.Reset(max(wanted.GetLoadReportingInterval().AsDuration(), c.cfg.LoadReportInterval))
		case <-ticker.C:
			if wanted == nil {
				continue
			}
			if err := stream.Send(r.takeReport(wanted)); err != nil {
				return fmt.Errorf("a report: %w", err)
			}
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// loadStatsReceiver is the receiving side of a stream of load reports.
type loadStatsReceiver interface {
	Recv() (*loadstats.LoadStatsResponse, error)
}

// receiveLoadResponses passes on what the control plane asks for, at first and whenever that changes,
// until the stream or ctx ends.
func receiveLoadResponses(ctx context.Context, stream loadStatsReceiver, responses chan<- *loadstats.LoadStatsResponse) error {
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case responses <- response:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
