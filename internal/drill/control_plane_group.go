package drill

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/fake"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/xds/resource"
)

// controlPlaneGroup is a group of servers that a control plane lists as a cluster.
type controlPlaneGroup struct {
	*serverGroup
	recorder     *fake.Recorder
	controlPlane *fakexds.ControlPlane

	// mu guards the fields below. It is held while the resources change, so that a write finds its version among the pending ones.
	mu      sync.Mutex
	health  map[string]corev3.HealthStatus // by server
	removed map[string]bool                // by server
	pending map[int][]fake.ListUpdate      // updates that were not written yet, by the version of the resources
}

// startControlPlaneGroup starts servers that a control plane lists.
func (env *environment) startControlPlaneGroup(
	controlPlane *fakexds.ControlPlane, name, host string, configs ...fake.ServerConfig,
) (*controlPlaneGroup, error) {
	g := &controlPlaneGroup{
		serverGroup: &serverGroup{name: name, host: host}, recorder: env.recorder, controlPlane: controlPlane,
		health: map[string]corev3.HealthStatus{}, removed: map[string]bool{}, pending: map[int][]fake.ListUpdate{},
	}
	env.groups = append(env.groups, g.serverGroup)
	g.setState = g.setServerState
	for _, config := range configs {
		if _, err := env.startServer(g.serverGroup, config); err != nil {
			return nil, err
		}
	}
	g.setCluster()
	g.republish()
	return g, nil
}

// setServerState lists a server in a state.
func (g *controlPlaneGroup) setServerState(s *fake.Server, state fake.ListState) {
	g.change(func() []*fake.Server {
		g.removed[s.ID()] = state == fake.ListDeleted
		g.health[s.ID()] = map[fake.ListState]corev3.HealthStatus{
			fake.ListServing: corev3.HealthStatus_HEALTHY, fake.ListDraining: corev3.HealthStatus_DRAINING,
		}[state]
		return []*fake.Server{s}
	})
}

// setCluster has the control plane serve the group's cluster.
func (g *controlPlaneGroup) setCluster() {
	g.controlPlane.Set(resource.ClusterURL, map[string]proto.Message{g.name: clusterByADS(g.name)})
}

// clusterByADS is a cluster whose endpoints come by the same stream as the cluster itself.
func clusterByADS(name string) *clusterv3.Cluster {
	source := &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}
	return &clusterv3.Cluster{
		Name:                 name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: source},
	}
}

// republish has the control plane serve the group's assignment in a new version, without a change.
func (g *controlPlaneGroup) republish() { g.change(func() []*fake.Server { return nil }) }

// change has the control plane serve the assignment as it is after f, which returns the servers whose state changed.
func (g *controlPlaneGroup) change(f func() []*fake.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var updates []fake.ListUpdate
	for _, s := range f() {
		incarnation, _ := s.Incarnation()
		updates = append(updates, fake.ListUpdate{
			List: g.host, Server: s.ID(), Incarnation: incarnation,
			Withdrawn: g.removed[s.ID()] || g.health[s.ID()] == corev3.HealthStatus_DRAINING,
		})
	}
	version := g.controlPlane.Set(resource.EndpointURL, map[string]proto.Message{g.name: g.assignment()})
	if updates != nil {
		number := versionNumber(version)
		g.pending[number] = append(g.pending[number], updates...)
	}
}

// versionNumber is the number of a version of the fake control plane; 0 for one that a drill made up.
func versionNumber(version string) int {
	n, err := strconv.Atoi(version)
	if err != nil {
		return 0
	}
	return n
}

// recordWrite records that a version is being written to the program, which tells it the pending updates of this version and of all older
// ones.
func (g *controlPlaneGroup) recordWrite(version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	written := versionNumber(version)
	for _, number := range slices.Sorted(maps.Keys(g.pending)) {
		if number <= written {
			g.recorder.RecordUpdates(g.pending[number]...)
			delete(g.pending, number)
		}
	}
}

// assignment is the group's endpoints by zone. The caller holds mu.
func (g *controlPlaneGroup) assignment() *endpointv3.ClusterLoadAssignment {
	localities := map[string]*endpointv3.LocalityLbEndpoints{}
	a := &endpointv3.ClusterLoadAssignment{ClusterName: g.name}
	for _, s := range g.servers {
		if g.removed[s.ID()] {
			continue
		}
		zone := s.Config().Zone
		locality := localities[zone]
		if locality == nil {
			locality = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: zone}}
			localities[zone] = locality
			a.Endpoints = append(a.Endpoints, locality)
		}
		locality.LbEndpoints = append(locality.LbEndpoints, g.endpoint(s))
	}
	return a
}

// endpoint is a server as it is listed. The caller holds mu.
func (g *controlPlaneGroup) endpoint(s *fake.Server) *endpointv3.LbEndpoint {
	config := s.Config()
	_, startedUnixMillis := s.Incarnation()
	metadata := &structpb.Struct{Fields: map[string]*structpb.Value{
		"uid": structpb.NewStringValue(config.ID), "cell": structpb.NewNumberValue(float64(config.Cell)),
		"boot_ms": structpb.NewNumberValue(startedUnixMillis),
	}}
	return &endpointv3.LbEndpoint{
		HealthStatus:   g.health[config.ID],
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: resource.Address(s.Addr())}},
		Metadata:       &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{resource.MetadataNamespace: metadata}},
	}
}

// xdsConfig is the section of the operator's file that names control planes.
func xdsConfig(delta bool, controlPlanes ...*fakexds.ControlPlane) string {
	variant := "sotw"
	if delta {
		variant = "delta"
	}
	text := fmt.Sprintf("\n[xds]\nvariant = %q\nempty_grace = \"5s\"\nservers = [", variant)
	for _, p := range controlPlanes {
		text += fmt.Sprintf("%q, ", p.Addr())
	}
	return text + "]\n"
}

// usesDelta reports whether the drill uses the incremental variant; the seed decides.
func (env *environment) usesDelta() bool { return env.seed%2 == 1 }

// recordWrites has every assignment that a control plane writes recorded by the groups that it lists.
func recordWrites(controlPlane *fakexds.ControlPlane, groups ...*controlPlaneGroup) {
	controlPlane.OnWrite(func(typeURL, version string) {
		if typeURL != resource.EndpointURL {
			return
		}
		for _, g := range groups {
			g.recordWrite(version)
		}
	})
}
