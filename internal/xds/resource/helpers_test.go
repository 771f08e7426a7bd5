package resource

import (
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
)

const (
	statusUnknown   = corev3.HealthStatus_UNKNOWN
	statusHealthy   = corev3.HealthStatus_HEALTHY
	statusUnhealthy = corev3.HealthStatus_UNHEALTHY
	statusDraining  = corev3.HealthStatus_DRAINING
	statusTimeout   = corev3.HealthStatus_TIMEOUT
	statusDegraded  = corev3.HealthStatus_DEGRADED
)

func marshal(t testing.TB, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func lbEndpoint(addr string, health corev3.HealthStatus) *endpointv3.LbEndpoint {
	return &endpointv3.LbEndpoint{HealthStatus: health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
		Endpoint: &endpointv3.Endpoint{Address: Address(addr)},
	}}
}

// withMetadata adds metadata of our namespace to an endpoint.
func withMetadata(endpoint *endpointv3.LbEndpoint, fields map[string]any) *endpointv3.LbEndpoint {
	s, err := structpb.NewStruct(fields)
	if err != nil {
		panic(err)
	}
	endpoint.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{MetadataNamespace: s}}
	return endpoint
}

func localityEndpoints(zone string, priority uint32, endpoints ...*endpointv3.LbEndpoint) *endpointv3.LocalityLbEndpoints {
	return &endpointv3.LocalityLbEndpoints{
		Locality:    &corev3.Locality{Zone: zone},
		Priority:    priority,
		LbEndpoints: endpoints,
	}
}

func loadAssignment(name string, localities ...*endpointv3.LocalityLbEndpoints) *endpointv3.ClusterLoadAssignment {
	return &endpointv3.ClusterLoadAssignment{ClusterName: name, Endpoints: localities}
}
