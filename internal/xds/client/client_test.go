package client

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testkit"
	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/resource"
)

func TestWatch(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		plane := newControlPlane(t)
		c := newClient(t, Config{Delta: delta}, plane)
		setAssignment(plane, "s", "10.0.0.1:1") // endpoints before clusters
		updates, cancel := watch(t, c, "c")
		testkit.Eventually(t, "nothing is requested", func() bool { return len(plane.Requests()) > 0 })
		plane.Set(resource.ClusterURL, resources{"c": fakexds.EDSCluster("c", "s"), "other": fakexds.EDSCluster("other", "")})
		expectAddrs(t, "first", updates, "10.0.0.1:1")
		plane.Set(resource.EndpointURL, resources{
			"s":        loadAssignment("s", "10.0.0.1:1", "10.0.0.2:1"),
			"unwanted": loadAssignment("unwanted", "10.9.9.9:1"),
		})
		expectAddrs(t, "one endpoint more", updates, "10.0.0.1:1 10.0.0.2:1")
		setAssignment(plane, "s2", "10.0.0.3:1")
		plane.Set(resource.ClusterURL, resources{"c": fakexds.EDSCluster("c", "s2")})
		expectAddrs(t, "another service", updates, "10.0.0.3:1")
		setAssignment(plane, "s2")
		expectAddrs(t, "an empty assignment", updates, "")
		setAssignment(plane, "s2", "10.0.0.4:1")
		expectAddrs(t, "no longer empty", updates, "10.0.0.4:1")
		plane.Set(resource.ClusterURL, resources{"c": nil})
		expectAddrs(t, "the cluster is removed", updates, "none")
		plane.Set(resource.ClusterURL, resources{"c": fakexds.EDSCluster("c", "s2")})
		expectAddrs(t, "and added", updates, "10.0.0.4:1")
		cancel()
		for _, r := range plane.Requests() {
			if r.SotW.GetErrorDetail() != nil || r.Delta.GetErrorDetail() != nil {
				t.Errorf("rejected: %v", r)
			}
		}
	})
}

// A stream that breaks is opened again and brings what has changed meanwhile. In the incremental variant
// the control plane is sent the versions that the client has.
func TestBrokenStreamIsReopened(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		plane, _, updates := watchFirstAssignment(t, Config{Delta: delta})
		for i := range 5 {
			plane.Down()
			setAssignment(plane, "c", fmt.Sprintf("10.0.1.%d:1", i))
			if err := plane.Up(); err != nil {
				t.Fatal(err)
			}
			expectAddrs(t, "after the stream broke", updates, fmt.Sprintf("10.0.1.%d:1", i))
		}
		if delta {
			versions := 0
			for _, r := range plane.Requests() {
				versions += len(r.Delta.GetInitialResourceVersions())
			}
			if versions < 5 {
				t.Errorf("%d versions sent on new streams", versions)
			}
		}
	})
}

// An invalid resource is rejected by name, and the valid ones beside it apply; its last version stays in
// use.
func TestInvalidResourceIsRejected(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		plane := newControlPlane(t)
		plane.Set(resource.ClusterURL, resources{"a": fakexds.EDSCluster("a", ""), "b": fakexds.EDSCluster("b", "")})
		plane.Set(resource.EndpointURL, resources{"a": loadAssignment("a", "10.0.0.1:1"), "b": loadAssignment("b", "10.0.0.2:1")})
		c := newClient(t, Config{Delta: delta}, plane)
		a, _ := watch(t, c, "a")
		b, _ := watch(t, c, "b")
		expectAddrs(t, "a", a, "10.0.0.1:1")
		expectAddrs(t, "b", b, "10.0.0.2:1")
		plane.Set(resource.EndpointURL, resources{"a": loadAssignment("a", "10.0.0.9:0"), "b": loadAssignment("b", "10.0.0.3:1")})
		expectAddrs(t, "b is applied", b, "10.0.0.3:1")
		testkit.Eventually(t, "no NACK", func() bool {
			return slices.ContainsFunc(plane.Requests(), func(r fakexds.Request) bool {
				return strings.HasPrefix(r.SotW.GetErrorDetail().GetMessage(), "a: ") && r.SotW.VersionInfo == "2" ||
					strings.HasPrefix(r.Delta.GetErrorDetail().GetMessage(), "a: ")
			})
		})
		d := c.Dump()
		dumped := slices.ContainsFunc(d.Resources, func(r ResourceDump) bool {
			return r.Name == "a" && strings.Contains(r.RejectionReason, "no port") && r.Endpoints == 1
		})
		if !dumped || !d.Servers[0].InUse {
			t.Errorf("dump %+v", d)
		}
		var text strings.Builder
		d.Write(&text)
		if !strings.Contains(text.String(), "no port") {
			t.Errorf("dump %s", text.String())
		}
		setAssignment(plane, "a", "10.0.0.4:1")
		expectAddrs(t, "a is valid again", a, "10.0.0.4:1")
	})
}

// Whatever a control plane sends, the client goes on: bytes that are no resource, types that were not
// requested, unknown nonces, a response over the size limit.
func TestMalformedResponses(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		plane, _, updates := watchFirstAssignment(t, Config{Delta: delta, MaxResponseBytes: 1 << 20})
		huge := &anypb.Any{TypeUrl: resource.EndpointURL, Value: make([]byte, 50<<20)}
		for _, bad := range []*anypb.Any{{TypeUrl: resource.EndpointURL, Value: []byte{0xff, 0xff}}, {TypeUrl: "nothing"}, {}, huge} {
			for _, url := range []string{resource.EndpointURL, resource.ClusterURL, "type.googleapis.com/unknown", ""} {
				plane.Send(&discovery.DiscoveryResponse{
					TypeUrl:     url,
					VersionInfo: "x",
					Resources:   []*anypb.Any{bad},
				}, false)
				plane.Send(&discovery.DeltaDiscoveryResponse{
					TypeUrl:   url,
					Resources: []*discovery.Resource{{Name: "c", Resource: bad}, {}},
				}, false)
			}
		}
		plane.Send(&discovery.DiscoveryResponse{TypeUrl: resource.EndpointURL, VersionInfo: "x"}, true)
		plane.Send(&discovery.DeltaDiscoveryResponse{
			TypeUrl:          resource.EndpointURL,
			RemovedResources: []string{"c"},
		}, true) // without a nonce
		testkit.Eventually(t, "the stream over the limit does not break", func() bool { return plane.StreamsOpened() > 1 })
		setAssignment(plane, "c", "10.0.0.2:1")
		for got := addrsOf(testkit.Wait(t, updates)); got != "10.0.0.2:1"; got = addrsOf(testkit.Wait(t, updates)) {
			if got != "10.0.0.1:1" {
				t.Fatalf("an update with %q", got)
			}
		}
	})
}

// The second control plane is used while the first is down, and the first again once it works. It is not
// sent the versions of the other.
func TestFailover(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		one, two := newControlPlane(t), newControlPlane(t)
		for i, plane := range []*fakexds.ControlPlane{one, two} {
			setCluster(plane, "c", fmt.Sprintf("10.0.0.%d:1", i+1))
		}
		one.Down()
		c := newClient(t, Config{Delta: delta}, one, two)
		updates, _ := watch(t, c, "c")
		expectAddrs(t, "the second is in use", updates, "10.0.0.2:1")
		if err := one.Up(); err != nil {
			t.Fatal(err)
		}
		expectAddrs(t, "back to the first", updates, "10.0.0.1:1")
		testkit.Eventually(t, "the stream to the second is not closed", func() bool { return two.BreakStreams() == 0 })
		for _, r := range one.Requests() {
			if r.SotW.GetResponseNonce() == "" && r.SotW.GetVersionInfo() != "" || len(r.Delta.GetInitialResourceVersions()) > 0 {
				t.Errorf("the first is sent a version of the second: %v", r)
			}
		}
		setAssignment(two, "c", "10.0.0.9:1")
		setAssignment(one, "c", "10.0.0.3:1")
		expectAddrs(t, "the first is in use", updates, "10.0.0.3:1")
		one.Down()
		expectAddrs(t, "the second again", updates, "10.0.0.9:1")
	})
}

// A control plane that does not respond on an open stream does not keep the next from being tried.
func TestSilentControlPlane(t *testing.T) {
	one, two := newControlPlane(t), newControlPlane(t)
	one.SetSilent(true)
	setCluster(two, "c", "10.0.0.2:1")
	c := newClient(t, Config{Failover: ads.FailoverConfig{FirstResponseTimeout: 50 * time.Millisecond}}, one, two)
	updates, _ := watch(t, c, "c")
	expectAddrs(t, "the second", updates, "10.0.0.2:1")
}

// A resource that does not come in time does not exist. A watcher that had no update gets none.
func TestResourceDoesNotExist(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		plane := newControlPlane(t)
		plane.Set(resource.ClusterURL, resources{"c": fakexds.EDSCluster("c", "s")})
		c := newClient(t, Config{Delta: delta, ResourceTimeout: 50 * time.Millisecond}, plane)
		updates, _ := watch(t, c, "c")
		testkit.Eventually(t, "it is not taken not to exist", func() bool {
			return slices.ContainsFunc(
				c.Dump().Clusters,
				func(d ClusterDump) bool { return strings.Contains(d.State, "s does not exist") },
			)
		})
		if len(updates) > 0 {
			t.Errorf("an update with %q", addrsOf(<-updates))
		}
		setAssignment(plane, "s", "10.0.0.1:1")
		expectAddrs(t, "received late", updates, "10.0.0.1:1")
	})
}

// A control plane that restarts without its data removes nothing during the grace.
func TestEmptyGrace(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		plane, c, updates := watchFirstAssignment(t, Config{Delta: delta, Clusters: resource.ClustersConfig{EmptyGrace: testkit.Limit}})
		plane.Set(resource.ClusterURL, resources{"c": nil})
		testkit.Eventually(t, "the grace does not begin", func() bool {
			return strings.Contains(c.Dump().Clusters[0].State, "grace")
		})
		setCluster(plane, "c", "10.0.0.2:1")
		expectAddrs(t, "it is filled again", updates, "10.0.0.2:1")
	})
}

// An update that changes nothing notifies nobody, however often it comes; and nothing is lost while the
// streams of a control plane flap.
func TestUpdateStormAndFlapping(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		plane, _, updates := watchFirstAssignment(t, Config{Delta: delta})
		for range 1000 {
			setAssignment(plane, "c", "10.0.0.1:1")
		}
		setAssignment(plane, "c", "10.0.0.2:1")
		expectAddrs(t, "the next update is the next change", updates, "10.0.0.2:1")
		for i := range 20 {
			plane.BreakStreams()
			setAssignment(plane, "c", fmt.Sprintf("10.0.1.%d:1", i))
		}
		for got := ""; got != "10.0.1.19:1"; got = addrsOf(testkit.Wait(t, updates)) {
		}
	})
}
