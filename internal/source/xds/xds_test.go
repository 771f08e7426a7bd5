package xds

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"cranegrade/internal/engine"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testkit"
	"cranegrade/internal/xds/client"
	"cranegrade/internal/xds/resource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// setEndpoints has a control plane serve a cluster's endpoints.
func setEndpoints(plane *fakexds.ControlPlane, cluster string, addrs ...string) {
	locality := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
	for _, addr := range addrs {
		locality.LbEndpoints = append(locality.LbEndpoints, &endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
			Endpoint: &endpointv3.Endpoint{Address: resource.Address(addr)},
		}})
	}
	plane.Set(resource.EndpointURL, map[string]proto.Message{cluster: &endpointv3.ClusterLoadAssignment{
		ClusterName: cluster,
		Endpoints:   []*endpointv3.LocalityLbEndpoints{locality},
	}})
}

// A source passes on the complete list and then what changed, and again the complete list to whoever
// watches it anew.
func TestWatch(t *testing.T) {
	plane, err := fakexds.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(plane.Close)
	plane.Set(resource.ClusterURL, map[string]proto.Message{"c": fakexds.EDSCluster("c", "")})
	setEndpoints(plane, "c", "10.0.0.1:1", "10.0.0.2:1")
	c, err := Open(client.Config{Servers: []string{plane.Addr()}, Delta: true, Node: &corev3.Node{Id: "me"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	source := c.Source("c", false)

	errReplaced := errors.New("replaced")
	watch := func() (<-chan engine.ListUpdate, func()) {
		ctx, cancel := context.WithCancelCause(context.Background())
		updates, ended := make(chan engine.ListUpdate, 10), make(chan error, 1)
		go func() { ended <- source.Watch(ctx, "41", func(n engine.ListUpdate) { updates <- n }) }()
		return updates, func() {
			t.Helper()
			cancel(errReplaced)
			if err := testkit.Wait(t, ended); !errors.Is(err, errReplaced) {
				t.Errorf("Watch ended with %v", err)
			}
		}
	}
	updates, stop := watch()
	if n := testkit.Wait(t, updates); !n.Full || len(n.Servers) != 2 {
		t.Errorf("first update %+v", n)
	}
	setEndpoints(plane, "c", "10.0.0.1:1", "10.0.0.3:1")
	if n := testkit.Wait(t, updates); n.Full || len(n.Servers) != 2 { // one is gone, one is new
		t.Errorf("second update %+v", n)
	}
	stop()
	updates, stop = watch()
	if n := testkit.Wait(t, updates); !n.Full || len(n.Servers) != 2 {
		t.Errorf("first update of another Watch %+v", n)
	}
	var dump bytes.Buffer
	c.Dump(&dump)
	if !strings.Contains(dump.String(), "by the assignment c") {
		t.Errorf("dump %s", dump.String())
	}
	stop()
}
