package drill

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/fake"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testfleet"
	"cranegrade/internal/xds/resource"
)

// planeGroup is a group of servers whose list a control plane tells.
type planeGroup struct {
	*serverGroup
	r     *environment
	plane *fakexds.ControlPlane

	mu      sync.Mutex // guards all below; held over a change of the plane, so that a write finds it noted
	states  map[string]corev3.HealthStatus
	removed map[string]bool
	pending map[string][]fake.ListUpdate // by the version that tells it
	newest  int                          // of the versions noted
}

// planeGroup starts servers that a control plane lists as a cluster.
func (r *environment) planeGroup(plane *fakexds.ControlPlane, name, host string, servers ...fake.ServerConfig) (*planeGroup, error) {
	g := &planeGroup{
		serverGroup: &serverGroup{name: name, host: host}, r: r, plane: plane, states: map[string]corev3.HealthStatus{},
		removed: map[string]bool{}, pending: map[string][]fake.ListUpdate{},
	}
	r.groups = append(r.groups, g.serverGroup)
	g.serverGroup.list = func(s *fake.Server, state fake.ListState) {
		g.change(func() []*fake.Server {
			g.removed[s.ID()] = state == "DELETED"
			g.states[s.ID()] = map[fake.ListState]corev3.HealthStatus{"SERVING": corev3.HealthStatus_HEALTHY, "DRAINING": corev3.HealthStatus_DRAINING}[state]
			return []*fake.Server{s}
		})
	}
	for i, cfg := range servers {
		cfg.ID = fmt.Sprintf("%s-%d", name, i)
		s, err := fake.NewServer(cfg, r.records, r.keys)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	g.setCluster()
	g.change(func() []*fake.Server { return nil })
	return g, nil
}

// setCluster has the control plane tell the group's cluster.
func (g *planeGroup) setCluster() {
	g.plane.Set(resource.ClusterURL, map[string]proto.Message{g.name: clusterByADS(g.name)})
}

// clusterByADS is a cluster whose endpoints are told by the stream that tells the cluster.
func clusterByADS(name string) *clusterv3.Cluster {
	source := &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}
	return &clusterv3.Cluster{
		Name:                 name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: source},
	}
}

// change has the control plane tell the servers' states after f, and notes which are news.
func (g *planeGroup) change(f func() []*fake.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var told []fake.ListUpdate
	for _, s := range f() {
		boot, _ := s.Incarnation()
		told = append(told, fake.ListUpdate{
			List: g.host, Server: s.ID(), Incarnation: boot,
			Withdrawn: g.removed[s.ID()] || g.states[s.ID()] == corev3.HealthStatus_DRAINING,
		})
	}
	version := g.plane.Set(resource.EndpointURL, map[string]proto.Message{g.name: g.assignment()})
	if told != nil {
		g.pending[version] = append(g.pending[version], told...)
	}
}

// written notes that a version is on its way to the node: its news and all older ones are told.
func (g *planeGroup) written(version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var n int
	fmt.Sscan(version, &n)
	var due []int
	for v := range g.pending {
		var k int
		if fmt.Sscan(v, &k); k <= n {
			due = append(due, k)
		}
	}
	slices.Sort(due)
	for _, k := range due {
		v := fmt.Sprint(k)
		g.r.records.RecordUpdates(g.pending[v]...)
		delete(g.pending, v)
	}
}

func (g *planeGroup) assignment() *endpointv3.ClusterLoadAssignment {
	by := map[string]*endpointv3.LocalityLbEndpoints{}
	a := &endpointv3.ClusterLoadAssignment{ClusterName: g.name}
	for _, s := range g.servers {
		cfg := s.Config()
		if g.removed[cfg.ID] {
			continue
		}
		l := by[cfg.Zone]
		if l == nil {
			l = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: cfg.Zone}}
			by[cfg.Zone] = l
			a.Endpoints = append(a.Endpoints, l)
		}
		_, ms := s.Incarnation()
		l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{
			HealthStatus:   g.states[cfg.ID],
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: resource.Address(s.Addr())}},
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{resource.MetadataNamespace: {Fields: map[string]*structpb.Value{
				"uid": structpb.NewStringValue(cfg.ID), "cell": structpb.NewNumberValue(float64(cfg.Cell)), "boot_ms": structpb.NewNumberValue(ms),
			}}}},
		})
	}
	return a
}

// xdsText is the operator's file's part that names control planes.
func xdsText(delta bool, planes ...*fakexds.ControlPlane) string {
	variant := map[bool]string{true: "delta", false: "sotw"}[delta]
	text := fmt.Sprintf("\n[xds]\nvariant = %q\nempty_grace = \"5s\"\nservers = [", variant)
	for _, p := range planes {
		text += fmt.Sprintf("%q, ", p.Addr())
	}
	return text + "]\n"
}

// watchWrites has every write of a control plane noted by the groups it lists.
func watchWrites(plane *fakexds.ControlPlane, groups ...*planeGroup) {
	plane.OnWrite(func(typeURL, version string) {
		if typeURL == resource.EndpointURL {
			for _, g := range groups {
				g.written(version)
			}
		}
	})
}

const (
	xdsServers = 10_000
	xdsCopies  = 50 // of which the node is one: it draws from its part of the servers
	drainEvery = 50 * time.Millisecond
	drainFor   = 1500 * time.Millisecond
)

// xds drains servers out of an assignment of 10,000, ten a second and more, under load: those that have
// just been sent to, so that it matters.
func xds(ctx context.Context, r *environment) error {
	plane, err := fakexds.New()
	if err != nil {
		return err
	}
	defer plane.Close()
	cfgs := make([]fake.ServerConfig, r.size(xdsServers))
	for i := range cfgs {
		cfgs[i] = inCell(usual, i/100)
		cfgs[i].Zone = fmt.Sprintf("z%d", i%3)
	}
	const host = "xds.example.org"
	g, err := r.planeGroup(plane, "xds", host, cfgs...)
	if err != nil {
		return err
	}
	watchWrites(plane, g)
	delta := r.seed%2 == 1
	file := fmt.Sprintf("listen = [\"127.0.0.1:0\"]\nnodes = %d\ndefault = \"xds\"\nlimits = { cores = 1, descriptors = 4096 }\n", xdsCopies) +
		xdsText(delta, plane) + poolText("xds", `xds = "xds"`)
	if err := r.start(file); err != nil {
		return err
	}
	_, residentBefore := r.node.Resources()
	if !testfleet.Await(20*time.Second, func() bool {
		x := r.callers.Do(fake.Stream{Host: host, Class: readClass})
		return x.Status == 200
	}) {
		return fmt.Errorf("nothing is served by the control plane's list")
	}
	cpu := r.node.CPUTime()
	var faults sync.WaitGroup
	changes := 0
	playing, over := context.WithTimeout(ctx, r.length)
	defer over()
	faults.Go(func() { changes = r.drainRecentlyUsed(playing, g) })
	if err := r.play(ctx, &faults, fake.Stream{Host: host, Class: readClass, Rate: 150},
		fake.Stream{Host: host, Class: sendClass, Rate: 100, BodyBytes: 100},
		fake.Stream{Host: host, Class: orderClass, Rate: 50, BodyBytes: 100}); err != nil {
		return err
	}
	_, resident := r.node.Resources()
	v := r.records.History()
	after := afterDrains(v)
	r.addFigure("variant", map[bool]string{true: "delta", false: "state of the world"}[delta], "")
	r.addFigure("endpoints", len(g.servers), "in the assignment")
	r.addFigure("updates", changes, "of it, while requests ran")
	r.addFigure("drains", len(after), "servers drained or removed")
	r.addFigure("after_drain_max_ms", quantile(after, 1), "from the write to the last first byte at the server; 250 is allowed")
	r.addFigure("after_drain_p99_ms", quantile(after, 0.99), "")
	r.addFigure("cpu_share", (r.node.CPUTime()-cpu).Seconds()/r.length.Seconds(), "of one core, by the program")
	r.addFigure("resident_start_kb", residentBefore, "of the program, before the list")
	r.addFigure("resident_end_kb", resident, "")
	if len(after) == 0 && r.violation == "" {
		r.failf("no server was drained")
	}
	r.tables = append(r.tables, streamTable(v))
	return nil
}

// drainRecentlyUsed drains or removes servers that have just been sent to, and brings each back after a while, until ctx
// ends. It returns the number of changes of the assignment.
func (r *environment) drainRecentlyUsed(ctx context.Context, g *planeGroup) (changes int) {
	type drained struct {
		until  time.Time
		server *fake.Server
	}
	var queue []drained
	out := map[string]bool{}
	byID := map[string]*fake.Server{}
	for _, s := range g.servers {
		byID[s.ID()] = s
	}
	for {
		select {
		case <-time.After(drainEvery):
		case <-ctx.Done():
			return changes
		}
		recent := r.records.RecentArrivals(3)
		g.change(func() (news []*fake.Server) {
			for _, a := range recent {
				if s := byID[a.Server]; !out[a.Server] {
					out[a.Server] = true
					if r.rng.IntN(2) == 0 {
						g.states[a.Server] = corev3.HealthStatus_DRAINING
					} else {
						g.removed[a.Server] = true
					}
					queue = append(queue, drained{time.Now().Add(drainFor), s})
					news = append(news, s)
				}
			}
			for len(queue) > 0 && time.Now().After(queue[0].until) {
				s := queue[0].server
				queue = queue[1:]
				g.states[s.ID()], g.removed[s.ID()], out[s.ID()] = corev3.HealthStatus_HEALTHY, false, false
				news = append(news, s)
			}
			changes++
			return news
		})
	}
}

// size is a number of servers, fewer for a short form.
func (r *environment) size(n int) int {
	if r.length < 4*time.Second {
		return n / 20
	}
	return n
}

// afterDrains is, for each time that a server was told to be gone, how long after that the last request
// reached it, sorted; 0 for none.
func afterDrains(v fake.History) []time.Duration {
	type span struct{ from, to time.Duration }
	spans := map[string][]span{}
	for _, t := range v.Updates {
		l := spans[t.Server]
		open := len(l) > 0 && l[len(l)-1].to == 0
		switch {
		case t.Withdrawn && !open:
			spans[t.Server] = append(l, span{from: t.At})
		case !t.Withdrawn && open:
			l[len(l)-1].to = t.At
		}
	}
	last := map[string][]time.Duration{}
	for s, l := range spans {
		last[s] = make([]time.Duration, len(l))
	}
	for _, a := range v.Arrivals {
		for i, s := range spans[a.Server] {
			if a.FirstByteAt >= s.from && (s.to == 0 || a.FirstByteAt < s.to) {
				last[a.Server][i] = max(last[a.Server][i], a.FirstByteAt-s.from)
			}
		}
	}
	var all []time.Duration
	for _, l := range last {
		all = append(all, l...)
	}
	slices.Sort(all)
	return all
}
