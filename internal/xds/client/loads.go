package client

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"cranegrade/balancer"
	"cranegrade/internal/xds/resource"
)

// loads counts what became of attempts and reports it to the control plane in use
// (envoy.service.load_stats.v3).
type loads struct {
	client *Client

	mu       sync.Mutex // guards clusters
	clusters map[string]*Load
}

// Load is what became of a cluster's requests since the last report. It may be used by many goroutines;
// a nil one counts nothing.
type Load struct {
	cluster string

	mu        sync.Mutex // guards all below
	endpoints map[string]*endpointLoad
	places    map[string]place // of the endpoints that the list names
	dropped   uint64
	since     time.Time
}

// place is where an endpoint is, kept with the counts, since the list may have changed by the report.
type place struct {
	locality resource.Locality
	addr     string
	priority int
}

type endpointLoad struct {
	place
	issued, succeeded, failed, out uint64
}

func newLoads(c *Client) *loads {
	l := &loads{client: c, clusters: map[string]*Load{}}
	c.work.Go(l.run)
	return l
}

// Load is where a cluster's attempts are counted; nil if load is not reported.
func (c *Client) Load(cluster string) *Load {
	if c.loads == nil {
		return nil
	}
	c.loads.mu.Lock()
	defer c.loads.mu.Unlock()
	l := c.loads.clusters[cluster]
	if l == nil {
		l = &Load{cluster: cluster, endpoints: map[string]*endpointLoad{}, places: map[string]place{}, since: time.Now()}
		c.loads.clusters[cluster] = l
	}
	return l
}

// List says where the endpoints are.
func (l *Load) List(a *resource.Assignment) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.places)
	if a == nil {
		return
	}
	for _, ep := range a.Endpoints {
		l.places[ep.ID] = place{ep.Locality, ep.Addr, ep.Priority}
	}
}

// Began counts an attempt at an endpoint.
func (l *Load) Began(id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[id]
	if e == nil {
		e = &endpointLoad{place: l.places[id]}
		l.endpoints[id] = e
	}
	e.issued++
	e.out++
}

// Ended counts its end.
func (l *Load) Ended(id string, ending balancer.Ending) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[id]
	if e == nil {
		return
	}
	e.out--
	switch ending {
	case balancer.Success:
		e.succeeded++
	case balancer.NeverSent, balancer.Canceled: // never sent, or called off: no error of the endpoint's
	default:
		e.failed++
	}
}

// Dropped counts a request that was refused by the assignment's drops.
func (l *Load) Dropped() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped++
}

// take is the report since the last one; nil if nothing happened. Endpoints with nothing out are
// forgotten, so that memory does not grow with every endpoint ever seen.
func (l *Load) take(now time.Time, endpoints bool) *endpointv3.ClusterStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	type key struct {
		resource.Locality
		priority int
	}
	by := map[key]*endpointv3.UpstreamLocalityStats{}
	var order []key
	ids := make([]string, 0, len(l.endpoints))
	for id := range l.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e := l.endpoints[id]
		k := key{e.locality, e.priority}
		s := by[k]
		if s == nil {
			s = &endpointv3.UpstreamLocalityStats{
				Priority: uint32(e.priority),
				Locality: &corev3.Locality{Region: e.locality.Region, Zone: e.locality.Zone, SubZone: e.locality.SubZone},
			}
			by[k] = s
			order = append(order, k)
		}
		s.TotalIssuedRequests += e.issued
		s.TotalSuccessfulRequests += e.succeeded
		s.TotalErrorRequests += e.failed
		s.TotalRequestsInProgress += e.out
		if endpoints {
			s.UpstreamEndpointStats = append(s.UpstreamEndpointStats, &endpointv3.UpstreamEndpointStats{
				Address: resource.Address(e.addr), TotalIssuedRequests: e.issued, TotalSuccessfulRequests: e.succeeded,
				TotalErrorRequests: e.failed, TotalRequestsInProgress: e.out,
			})
		}
		if e.issued, e.succeeded, e.failed = 0, 0, 0; e.out == 0 {
			delete(l.endpoints, id)
		}
	}
	if len(by) == 0 && l.dropped == 0 {
		return nil
	}
	stats := &endpointv3.ClusterStats{
		ClusterName: l.cluster, TotalDroppedRequests: l.dropped,
		LoadReportInterval: durationpb.New(now.Sub(l.since)),
	}
	for _, k := range order {
		stats.UpstreamLocalityStats = append(stats.UpstreamLocalityStats, by[k])
	}
	l.dropped, l.since = 0, now
	return stats
}

// report is that of the clusters named, or of all.
func (l *loads) report(all bool, names []string, endpoints bool) *loadstats.LoadStatsRequest {
	l.mu.Lock()
	clusters := make([]*Load, 0, len(l.clusters))
	for name, c := range l.clusters {
		if all || slices.Contains(names, name) {
			clusters = append(clusters, c)
		}
	}
	l.mu.Unlock()
	slices.SortFunc(clusters, func(a, b *Load) int {
		if a.cluster < b.cluster {
			return -1
		}
		return 1
	})
	r := &loadstats.LoadStatsRequest{}
	now := time.Now()
	for _, c := range clusters {
		if s := c.take(now, endpoints); s != nil {
			r.ClusterStats = append(r.ClusterStats, s)
		}
	}
	return r
}

// run keeps a stream to the control plane in use, and opens another when that breaks.
func (l *loads) run() {
	c := l.client
	wait := time.Second
	for c.ctx.Err() == nil {
		began := time.Now()
		if err := l.stream(); err != nil && c.ctx.Err() == nil {
			c.do(func() { c.report(fmt.Sprintf("load reports: %v; again in %v", err, wait)) })
		}
		if time.Since(began) > wait {
			wait = time.Second
		}
		select {
		case <-time.After(wait):
		case <-c.ctx.Done():
		}
		wait = min(2*wait, time.Minute)
	}
}

func (l *loads) stream() error {
	c := l.client
	active := make(chan int, 1)
	c.do(func() { active <- max(0, c.failover.Active()) })
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	var server int
	select {
	case server = <-active:
	case <-c.done:
		return nil
	}
	st, err := loadstats.NewLoadReportingServiceClient(c.conns[server]).StreamLoadStats(ctx)
	if err != nil {
		return fmt.Errorf("opening a stream: %w", err)
	}
	if err := st.Send(&loadstats.LoadStatsRequest{Node: c.cfg.Node}); err != nil {
		return fmt.Errorf("the first request: %w", err)
	}
	// The control plane says what it wants, at first and whenever it changes its mind.
	wishes, failed := make(chan *loadstats.LoadStatsResponse), make(chan error, 1)
	c.work.Go(func() {
		for {
			r, err := st.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case wishes <- r:
			case <-ctx.Done():
				return
			}
		}
	})
	var wish *loadstats.LoadStatsResponse
	tick := time.NewTicker(c.cfg.Reports)
	defer tick.Stop()
	for {
		select {
		case wish = <-wishes:
			// Never more often than the file allows.
			tick.Reset(max(wish.GetLoadReportingInterval().AsDuration(), c.cfg.Reports))
		case <-tick.C:
			if wish == nil {
				continue
			}
			r := l.report(wish.GetSendAllClusters(), wish.GetClusters(), wish.GetReportEndpointGranularity())
			if err := st.Send(r); err != nil {
				return fmt.Errorf("a report: %w", err)
			}
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}
