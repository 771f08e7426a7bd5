package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	rigs "cranegrade/internal/rig"
	"cranegrade/internal/standin"
	standinxds "cranegrade/internal/standin/xds"
	"cranegrade/internal/xds/resource"
)

// planeGroup is a group of servers whose list a control plane tells.
type planeGroup struct {
	*group
	r     *rig
	plane *standinxds.Plane

	mu      sync.Mutex // guards all below; held over a change of the plane, so that a write finds it noted
	states  map[string]corev3.HealthStatus
	removed map[string]bool
	pending map[string][]standin.Told // by the version that tells it
	newest  int                       // of the versions noted
}

// planeGroup starts servers that a control plane lists as a cluster.
func (r *rig) planeGroup(plane *standinxds.Plane, name, host string, servers ...standin.ServerConfig) (*planeGroup, error) {
	g := &planeGroup{group: &group{name: name, host: host}, r: r, plane: plane, states: map[string]corev3.HealthStatus{},
		removed: map[string]bool{}, pending: map[string][]standin.Told{}}
	r.groups = append(r.groups, g.group)
	g.group.list = func(s *standin.Server, state string) {
		g.change(func() []*standin.Server {
			g.removed[s.ID()] = state == "DELETED"
			g.states[s.ID()] = map[string]corev3.HealthStatus{"SERVING": corev3.HealthStatus_HEALTHY, "DRAINING": corev3.HealthStatus_DRAINING}[state]
			return []*standin.Server{s}
		})
	}
	for i, cfg := range servers {
		cfg.ID = fmt.Sprintf("%s-%d", name, i)
		s, err := standin.NewServer(cfg, r.rec, r.keys)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	plane.Set(resource.ClusterURL, map[string]proto.Message{name: &clusterv3.Cluster{Name: name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{
			EdsConfig: &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}})
	g.change(func() []*standin.Server { return nil })
	return g, nil
}

// change has the control plane tell the servers' states after f, and notes which are news.
func (g *planeGroup) change(f func() []*standin.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var told []standin.Told
	for _, s := range f() {
		boot, _ := s.Boot()
		told = append(told, standin.Told{List: g.host, Server: s.ID(), Boot: boot,
			Gone: g.removed[s.ID()] || g.states[s.ID()] == corev3.HealthStatus_DRAINING})
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
		g.r.rec.Tell(g.pending[v]...)
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
		_, ms := s.Boot()
		l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{HealthStatus: g.states[cfg.ID],
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: resource.Address(s.Addr())}},
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{resource.Metadata: {Fields: map[string]*structpb.Value{
				"uid": structpb.NewStringValue(cfg.ID), "cell": structpb.NewNumberValue(float64(cfg.Cell)), "boot_ms": structpb.NewNumberValue(ms)}}}}})
	}
	return a
}

// xdsText is the operator's file's part that names control planes.
func xdsText(delta bool, planes ...*standinxds.Plane) string {
	variant := map[bool]string{true: "delta", false: "sotw"}[delta]
	text := fmt.Sprintf("\n[xds]\nvariant = %q\nempty_grace = \"5s\"\nservers = [", variant)
	for _, p := range planes {
		text += fmt.Sprintf("%q, ", p.Addr())
	}
	return text + "]\n"
}

// watchWrites has every write of a control plane noted by the groups it lists.
func watchWrites(plane *standinxds.Plane, groups ...*planeGroup) {
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
func xds(ctx context.Context, r *rig) error {
	plane, err := standinxds.New()
	if err != nil {
		return err
	}
	defer plane.Close()
	cfgs := make([]standin.ServerConfig, r.size(xdsServers))
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
	if !rigs.Await(20*time.Second, func() bool {
		x := r.callers.Do(standin.Stream{Host: host, Class: readClass})
		return x.Status == 200
	}) {
		return fmt.Errorf("nothing is served by the control plane's list")
	}
	cpu := r.node.CPU()
	var faults sync.WaitGroup
	changes := 0
	playing, over := context.WithTimeout(ctx, r.length)
	defer over()
	faults.Go(func() {
		type back struct {
			at time.Time
			s  *standin.Server
		}
		var drained []back
		out := map[string]bool{}
		byID := map[string]*standin.Server{}
		for _, s := range g.servers {
			byID[s.ID()] = s
		}
		for {
			select {
			case <-time.After(drainEvery):
			case <-playing.Done():
				return
			}
			recent := r.rec.Recent(3)
			g.change(func() (news []*standin.Server) {
				for _, a := range recent {
					if s := byID[a.Server]; !out[a.Server] {
						out[a.Server] = true
						if r.rng.IntN(2) == 0 {
							g.states[a.Server] = corev3.HealthStatus_DRAINING
						} else {
							g.removed[a.Server] = true
						}
						drained = append(drained, back{time.Now().Add(drainFor), s})
						news = append(news, s)
					}
				}
				for len(drained) > 0 && time.Now().After(drained[0].at) {
					s := drained[0].s
					drained = drained[1:]
					g.states[s.ID()], g.removed[s.ID()], out[s.ID()] = corev3.HealthStatus_HEALTHY, false, false
					news = append(news, s)
				}
				changes++
				return news
			})
		}
	})
	if err := r.play(ctx, &faults, standin.Stream{Host: host, Class: readClass, Rate: 150}, standin.Stream{Host: host, Class: sendClass, Rate: 100, Body: 100},
		standin.Stream{Host: host, Class: orderClass, Rate: 50, Body: 100}); err != nil {
		return err
	}
	_, resident := r.node.Resources()
	v := r.rec.View()
	after := afterDrains(v)
	r.figure("variant", map[bool]string{true: "delta", false: "state of the world"}[delta], "")
	r.figure("endpoints", len(g.servers), "in the assignment")
	r.figure("updates", changes, "of it, while requests ran")
	r.figure("drains", len(after), "servers drained or removed")
	r.figure("after_drain_max_ms", quantile(after, 1), "from the write to the last first byte at the server; 250 is allowed")
	r.figure("after_drain_p99_ms", quantile(after, 0.99), "")
	r.figure("cpu_share", (r.node.CPU()-cpu).Seconds()/r.length.Seconds(), "of one core, by the program")
	r.figure("resident_start_kb", residentBefore, "of the program, before the list")
	r.figure("resident_end_kb", resident, "")
	if len(after) == 0 && r.plant == "" {
		r.failf("no server was drained")
	}
	r.tables = append(r.tables, streamTable(v))
	return nil
}

// size is a number of servers, fewer for a short form.
func (r *rig) size(n int) int {
	if r.length < 4*time.Second {
		return n / 20
	}
	return n
}

// afterDrains is, for each time that a server was told to be gone, how long after that the last request
// reached it, sorted; 0 for none.
func afterDrains(v standin.View) []time.Duration {
	type span struct{ from, to time.Duration }
	spans := map[string][]span{}
	for _, t := range v.Told {
		l := spans[t.Server]
		open := len(l) > 0 && l[len(l)-1].to == 0
		switch {
		case t.Gone && !open:
			spans[t.Server] = append(l, span{from: t.At})
		case !t.Gone && open:
			l[len(l)-1].to = t.At
		}
	}
	last := map[string][]time.Duration{}
	for s, l := range spans {
		last[s] = make([]time.Duration, len(l))
	}
	for _, a := range v.Arrivals {
		for i, s := range spans[a.Server] {
			if a.First >= s.from && (s.to == 0 || a.First < s.to) {
				last[a.Server][i] = max(last[a.Server][i], a.First-s.from)
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

// xdsChaos has two control planes do all that control planes do wrong, one thing after the other, while
// three services go on.
func xdsChaos(ctx context.Context, r *rig) error {
	one, err := standinxds.New()
	if err != nil {
		return err
	}
	defer one.Close()
	two, err := standinxds.New()
	if err != nil {
		return err
	}
	defer two.Close()
	var groups []*planeGroup
	file := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1 }\n" + xdsText(r.seed%2 == 1, one, two)
	routes := ""
	for _, name := range []string{"a", "b", "c"} {
		g, err := r.planeGroup(one, name, name+".example.org", inCell(usual, 1), inCell(usual, 1), inCell(usual, 2), inCell(usual, 2))
		if err != nil {
			return err
		}
		groups = append(groups, g)
		// What the control plane told last, in the file: the control plane may be down at the start.
		source := fmt.Sprintf("xds = %q\nservers = [", name)
		for _, s := range g.servers {
			source += fmt.Sprintf("{ id = %q, address = %q, zone = \"a\", cell = %d }, ", s.ID(), s.Addr(), s.Config().Cell)
		}
		file += poolText(name, source+"]")
		routes += fmt.Sprintf("\n[[routes]]\nhost = \"%s.example.org\"\npool = %q\n", name, name)
	}
	watchWrites(one, groups...)
	one.Down()
	two.Down()
	if err := r.start(file + routes); err != nil {
		return err
	}
	refill := func() { // the whole truth again
		for _, g := range groups {
			one.Set(resource.ClusterURL, map[string]proto.Message{g.name: &clusterv3.Cluster{Name: g.name,
				ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
				EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{
					EdsConfig: &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}})
			g.change(func() []*standin.Server { return nil })
		}
	}
	deeds := []struct {
		name string
		do   func()
	}{
		{"up", func() { one.Up() }},
		{"flap", func() {
			for range 8 {
				time.Sleep(100 * time.Millisecond)
				one.Break()
			}
		}},
		{"drain", func() {
			g := groups[r.rng.IntN(3)]
			g.list(g.servers[0], "DRAINING")
			time.Sleep(600 * time.Millisecond)
			g.list(g.servers[0], "SERVING")
		}},
		{"remove", func() {
			g := groups[r.rng.IntN(3)]
			g.list(g.servers[1], "DELETED")
			time.Sleep(100 * time.Millisecond)
			g.list(g.servers[1], "SERVING")
		}},
		{"storm", func() {
			for range 400 {
				groups[0].change(func() []*standin.Server { return nil })
				time.Sleep(time.Millisecond)
			}
		}},
		{"nonsense", func() {
			for _, url := range []string{resource.EndpointURL, resource.ClusterURL, "type.googleapis.com/nothing"} {
				bad := &anypb.Any{TypeUrl: url, Value: []byte("\xff\xfenonsense")}
				one.Send(&discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: "nonsense", Resources: []*anypb.Any{bad}}, false)
				one.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: url, Resources: []*discovery.Resource{{Name: "a", Resource: bad}}}, false)
			}
			one.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: resource.EndpointURL, RemovedResources: []string{"never"}}, false)
		}},
		{"empty", func() { // it dies and comes back with nothing, within the grace
			one.Down()
			one.Clear()
			one.Up()
			time.Sleep(500 * time.Millisecond)
			refill()
		}},
		{"restart", func() {
			g := groups[r.rng.IntN(3)]
			s := g.servers[2]
			g.list(s, "DELETED")
			s.Crash()
			time.Sleep(80 * time.Millisecond)
			if s.Restart() == nil {
				g.list(s, "SERVING") // under another boot time
			}
		}},
		{"silent", func() {
			one.SetSilent(true)
			one.Break()
			time.Sleep(400 * time.Millisecond)
			one.SetSilent(false)
			one.Break()
		}},
		{"down", func() {
			one.Down()
			time.Sleep(400 * time.Millisecond)
			one.Up()
		}},
	}
	var faults sync.WaitGroup
	playing, over := context.WithTimeout(ctx, r.length)
	defer over()
	done := map[string]int{}
	faults.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-time.After(r.length / time.Duration(3*len(deeds))):
			case <-playing.Done():
				return
			}
			d := deeds[0]
			if i > 0 {
				d = deeds[1+(i-1+int(r.seed))%(len(deeds)-1)]
			}
			if r.plant != "" && i > 0 {
				return // the breach alone
			}
			d.do()
			done[d.name]++
		}
	})
	var streams []standin.Stream
	for _, g := range groups {
		for _, c := range []standin.Class{readClass, sendClass, cellClass, orderClass} {
			streams = append(streams, standin.Stream{Name: g.name, Host: g.host, Class: c, Rate: 25, Body: 100})
		}
	}
	if err := r.play(ctx, &faults, streams...); err != nil {
		return err
	}
	total := 0
	for _, n := range done {
		total += n
	}
	v := r.rec.View()
	r.figure("deeds", total, fmt.Sprint("of the control plane: ", done))
	r.figure("streams", one.Opened(), "that the program opened to it")
	r.figure("after_drain_max_ms", quantile(afterDrains(v), 1), "")
	served := 0
	for _, x := range v.Exchanges {
		if x.Status == 200 {
			served++
		}
	}
	if r.plant == "" && served < len(v.Exchanges)*9/10 {
		r.failf("%d of %d requests served, though the servers worked", served, len(v.Exchanges))
	}
	r.tables = append(r.tables, streamTable(v), serverTable(v))
	return nil
}
