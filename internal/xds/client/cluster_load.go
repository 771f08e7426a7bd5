package client

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"cranegrade/balancer"
	"cranegrade/internal/xds/resource"
)

// ClusterLoad counts the attempts at a cluster's endpoints since the last load report. It may be used by
// many goroutines. The methods of a nil ClusterLoad, of a client that does not report load, do nothing.
type ClusterLoad struct {
	cluster string

	mu        sync.Mutex // guards all below
	endpoints map[string]*endpointLoad
	locations map[string]endpointLocation // of the endpoints of the present assignment, by id
	dropped   uint64
	since     time.Time // of the last report
}

// endpointLocation is where an endpoint is. The counters keep a copy, since the assignment may have
// changed by the time of the report.
type endpointLocation struct {
	locality resource.Locality
	addr     string
	priority int
}

// endpointLoad is the load of one endpoint.
type endpointLoad struct {
	endpointLocation
	issued, succeeded, failed uint64 // since the last report
	inProgress                uint64
}

func newClusterLoad(cluster string) *ClusterLoad {
	return &ClusterLoad{
		cluster:   cluster,
		endpoints: map[string]*endpointLoad{},
		locations: map[string]endpointLocation{},
		since:     time.Now(),
	}
}

// SetAssignment sets where the endpoints are; nil if there are none.
func (l *ClusterLoad) SetAssignment(a *resource.Assignment) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.locations)
	if a == nil {
		return
	}
	for _, e := range a.Endpoints {
		l.locations[e.ID] = endpointLocation{e.Locality, e.Addr, e.Priority}
	}
}

// AttemptStarted counts the start of an attempt at the endpoint of this id.
func (l *ClusterLoad) AttemptStarted(id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[id]
	if e == nil {
		e = &endpointLoad{endpointLocation: l.locations[id]}
		l.endpoints[id] = e
	}
	e.issued++
	e.inProgress++
}

// AttemptEnded counts the end of an attempt.
func (l *ClusterLoad) AttemptEnded(id string, ending balancer.Ending) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[id]
	if e == nil {
		return
	}
	e.inProgress--
	switch ending {
	case balancer.Success:
		e.succeeded++
	case balancer.NeverSent, balancer.Canceled: // no error of the endpoint
	default:
		e.failed++
	}
}

// RequestDropped counts a request that was rejected by the assignment's drop_overloads.
func (l *ClusterLoad) RequestDropped() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped++
}

// localityKey is what the endpoint loads of a report are grouped by.
type localityKey struct {
	resource.Locality
	priority int
}

// takeReport returns the report since the last one and starts the next; nil if there is nothing to
// report. Endpoints without an attempt in progress are forgotten, so that memory does not grow with every
// endpoint ever seen.
func (l *ClusterLoad) takeReport(now time.Time, byEndpoint bool) *endpointv3.ClusterStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	localities := l.takeLocalityStats(byEndpoint)
	if len(localities) == 0 && l.dropped == 0 {
		return nil
	}
	stats := &endpointv3.ClusterStats{
		ClusterName:           l.cluster,
		TotalDroppedRequests:  l.dropped,
		LoadReportInterval:    durationpb.New(now.Sub(l.since)),
		UpstreamLocalityStats: localities,
	}
	l.dropped, l.since = 0, now
	return stats
}

// takeLocalityStats returns the loads by locality and priority, in the order of the endpoints' ids, and
// resets the counters. The caller holds mu.
func (l *ClusterLoad) takeLocalityStats(byEndpoint bool) (stats []*endpointv3.UpstreamLocalityStats) {
	byLocality := map[localityKey]*endpointv3.UpstreamLocalityStats{}
	for _, id := range slices.Sorted(maps.Keys(l.endpoints)) {
		e := l.endpoints[id]
		key := localityKey{e.locality, e.priority}
		s := byLocality[key]
		if s == nil {
			s = &endpointv3.UpstreamLocalityStats{
				Priority: uint32(e.priority),
				Locality: &corev3.Locality{
					Region:  e.locality.Region,
					Zone:    e.locality.Zone,
					SubZone: e.locality.SubZone,
				},
			}
			byLocality[key] = s
			stats = append(stats, s)
		}
		s.TotalIssuedRequests += e.issued
		s.TotalSuccessfulRequests += e.succeeded
		s.TotalErrorRequests += e.failed
		s.TotalRequestsInProgress += e.inProgress
		if byEndpoint {
			s.UpstreamEndpointStats = append(s.UpstreamEndpointStats, &endpointv3.UpstreamEndpointStats{
				Address:                 resource.Address(e.addr),
				TotalIssuedRequests:     e.issued,
				TotalSuccessfulRequests: e.succeeded,
				TotalErrorRequests:      e.failed,
				TotalRequestsInProgress: e.inProgress,
			})
		}
		e.issued, e.succeeded, e.failed = 0, 0, 0
		if e.inProgress == 0 {
			delete(l.endpoints, id)
		}
	}
	return stats
}

func compareClusters(a, b *ClusterLoad) int { return cmp.Compare(a.cluster, b.cluster) }
