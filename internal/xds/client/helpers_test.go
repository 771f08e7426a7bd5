package client

import (
	"context"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testkit"
	"cranegrade/internal/xds/resource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newControlPlane(t testing.TB) *fakexds.ControlPlane {
	t.Helper()
	plane, err := fakexds.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(plane.Close)
	return plane
}

// newClient starts a client of the control planes that retries fast.
func newClient(t testing.TB, cfg Config, planes ...*fakexds.ControlPlane) *Client {
	t.Helper()
	for _, plane := range planes {
		cfg.Servers = append(cfg.Servers, plane.Addr())
	}
	cfg.Node = &corev3.Node{Id: "me"}
	cfg.Failover.BaseDelay = 5 * time.Millisecond
	cfg.Failover.MaxDelay = 50 * time.Millisecond
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// watch returns the updates of a watcher.
func watch(t testing.TB, c *Client, cluster string) (<-chan resource.ClusterUpdate, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	updates := make(chan resource.ClusterUpdate, 10000) // more than any test makes: a watcher must not block
	c.Watch(ctx, cluster, func(u resource.ClusterUpdate) { updates <- u })
	return updates, cancel
}

// watchFirstAssignment starts a control plane that serves the cluster c with one endpoint, 10.0.0.1:1, and a client of it, and returns them
// with the updates of a watcher that has received that.
func watchFirstAssignment(t testing.TB, cfg Config) (*fakexds.ControlPlane, *Client, <-chan resource.ClusterUpdate) {
	t.Helper()
	plane := newControlPlane(t)
	setCluster(plane, "c", "10.0.0.1:1")
	c := newClient(t, cfg, plane)
	updates, _ := watch(t, c, "c")
	expectAddrs(t, "first", updates, "10.0.0.1:1")
	return plane, c, updates
}

// resources are what a control plane is told to serve, by name; nil removes one.
type resources = map[string]proto.Message

func loadAssignment(service string, addrs ...string) proto.Message {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: service}
	locality := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
	for _, addr := range addrs {
		locality.LbEndpoints = append(locality.LbEndpoints, &endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
			Endpoint: &endpointv3.Endpoint{Address: resource.Address(addr)},
		}})
	}
	if addrs != nil {
		assignment.Endpoints = append(assignment.Endpoints, locality)
	}
	return assignment
}

// setAssignment has a control plane serve an assignment.
func setAssignment(plane *fakexds.ControlPlane, service string, addrs ...string) {
	plane.Set(resource.EndpointURL, resources{service: loadAssignment(service, addrs...)})
}

// setCluster has a control plane serve a cluster and its assignment.
func setCluster(plane *fakexds.ControlPlane, name string, addrs ...string) {
	plane.Set(resource.ClusterURL, resources{name: fakexds.EDSCluster(name, "")})
	setAssignment(plane, name, addrs...)
}

// addrsOf returns the addresses of an update; "none" if there is no assignment.
func addrsOf(u resource.ClusterUpdate) string {
	if u.Assignment == nil {
		return "none"
	}
	var addrs []string
	for _, e := range u.Assignment.Endpoints {
		addrs = append(addrs, e.Addr)
	}
	return strings.Join(addrs, " ")
}

func expectAddrs(t testing.TB, what string, updates <-chan resource.ClusterUpdate, want string) {
	t.Helper()
	if got := addrsOf(testkit.Wait(t, updates)); got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// forBothVariants runs a test with each variant.
func forBothVariants(t *testing.T, f func(t *testing.T, delta bool)) {
	t.Helper()
	for name, delta := range map[string]bool{"sotw": false, "delta": true} {
		t.Run(name, func(t *testing.T) { f(t, delta) })
	}
}
