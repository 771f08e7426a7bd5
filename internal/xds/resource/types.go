package resource

import (
	"google.golang.org/protobuf/types/known/anypb"

	"cranegrade/internal/xds/ads"
)

// Type URLs of the resources.
const (
	ClusterURL  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// Types returns the types that a client subscribes to, clusters first. The values that they decode are
// *Cluster and *Assignment.
func Types() []ads.Type {
	return []ads.Type{
		{
			URL:                        ClusterURL,
			AllResourcesRequiredInSotW: true,
			Decode: func(a *anypb.Any, _ any) (string, any, error) {
				name, cluster, err := ParseCluster(a.GetValue())
				if err != nil {
					return name, nil, err
				}
				return name, cluster, nil
			},
		},
		{
			URL:          EndpointURL,
			ResourceName: func(a *anypb.Any) string { return assignmentName(a.GetValue()) },
			Decode: func(a *anypb.Any, prev any) (string, any, error) {
				previous, _ := prev.(*Assignment)
				name, assignment, err := ParseAssignment(a.GetValue(), previous)
				if err != nil {
					return name, nil, err
				}
				return name, assignment, nil
			},
		},
	}
}
