package node

import (
	"fmt"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/fake"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/operator"
	sourcexds "cranegrade/internal/source/xds"
	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/client"
	"cranegrade/internal/xds/resource"
)

// xdsEnv is a testEnv with a fake control plane.
type xdsEnv struct {
	*testEnv
	plane *fakexds.ControlPlane
	node  *Node
}

// openXDS opens the client as the program does, with shorter backoff.
func openXDS(x operator.XDS) (XDSClient, error) {
	return sourcexds.Open(client.Config{
		Servers: x.Servers, Delta: x.Delta, ResourceTimeout: x.Timeout, MaxResponseBytes: int(x.MaxResponse),
		Clusters: resource.ClustersConfig{KeepOnRemoval: x.KeepOnRemoval, EmptyGrace: x.EmptyGrace}, LoadReportInterval: x.LoadReports,
		Node:     &corev3.Node{Id: x.NodeID},
		Failover: ads.FailoverConfig{BaseDelay: 5 * time.Millisecond, MaxDelay: 50 * time.Millisecond},
	})
}

func newXDSEnv(t *testing.T) *xdsEnv {
	t.Helper()
	p, err := fakexds.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return &xdsEnv{testEnv: newTestEnv(t), plane: p}
}

// xdsPlan returns a plan whose pools follow clusters of the control plane, by state of the world or incrementally (delta).
func (env *xdsEnv) xdsPlan(delta bool, more string, pools ...string) operator.Plan {
	variant := "sotw"
	if delta {
		variant = "delta"
	}
	return planOf(env.t, fmt.Sprintf("[xds]\nservers = [%q]\nvariant = %q\nempty_grace = \"0s\"\n%s\n", env.plane.Addr(), variant, more), pools...)
}

// start runs a node until the test ends.
func (env *xdsEnv) start(plan operator.Plan) {
	env.t.Helper()
	env.node = env.runWith(plan, Options{XDS: openXDS})
}

// xdsEntry is a server as the control plane lists it.
type xdsEntry struct {
	*fake.Server
	health corev3.HealthStatus
}

// cluster sets a cluster of the control plane.
func (env *xdsEnv) cluster(name string) {
	env.plane.Set(resource.ClusterURL, map[string]proto.Message{name: fakexds.EDSCluster(name, "")})
}

// list sets the endpoints of a cluster, and the percentage of requests to drop.
func (env *xdsEnv) list(name string, drop uint32, entries ...xdsEntry) {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	l := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
	for _, e := range entries {
		_, ms := e.Incarnation()
		l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{
			HealthStatus:   e.health,
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: resource.Address(e.Addr())}},
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{resource.MetadataNamespace: {Fields: map[string]*structpb.Value{
				"uid": structpb.NewStringValue(e.ID()), "boot_ms": structpb.NewNumberValue(ms),
			}}}},
		})
	}
	if entries != nil {
		a.Endpoints = append(a.Endpoints, l)
	}
	if drop > 0 {
		a.Policy = &endpointv3.ClusterLoadAssignment_Policy{DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
			{Category: "all", DropPercentage: &typev3.FractionalPercent{Numerator: drop}},
		}}
	}
	env.plane.Set(resource.EndpointURL, map[string]proto.Message{name: a})
}

// bothVariants runs a test with each variant of xDS.
func bothVariants(t *testing.T, test func(t *testing.T, env *xdsEnv, delta bool)) {
	for name, delta := range map[string]bool{"sotw": false, "delta": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, newXDSEnv(t), delta)
		})
	}
}
