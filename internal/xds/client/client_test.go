package client

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"cranegrade/balancer"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testkit"
	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/resource"
)

const limit = testkit.Limit

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func plane(t testing.TB) *fakexds.ControlPlane {
	t.Helper()
	p, err := fakexds.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func open(t testing.TB, cfg Config, planes ...*fakexds.ControlPlane) *Client {
	t.Helper()
	for _, p := range planes {
		cfg.Servers = append(cfg.Servers, p.Addr())
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

// follow gives what a cluster's follower is told.
func follow(t testing.TB, c *Client, cluster string) (<-chan resource.Update, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ch := make(chan resource.Update, 10000)
	c.Watch(ctx, cluster, func(u resource.Update) { ch <- u })
	return ch, cancel
}

func cluster(name, service string) proto.Message {
	return &clusterv3.Cluster{
		Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{
			ServiceName: service,
			EdsConfig:   &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}},
		},
	}
}

func endpoints(service string, addrs ...string) proto.Message {
	m := &endpointv3.ClusterLoadAssignment{ClusterName: service}
	l := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
	for _, a := range addrs {
		l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
			Endpoint: &endpointv3.Endpoint{Address: resource.Address(a)},
		}})
	}
	if addrs != nil {
		m.Endpoints = append(m.Endpoints, l)
	}
	return m
}

type set = map[string]proto.Message

// addrs are the addresses of an update; "none" if there is no assignment.
func addrs(u resource.Update) string {
	if u.Assignment == nil {
		return "none"
	}
	var l []string
	for _, e := range u.Assignment.Endpoints {
		l = append(l, e.Addr)
	}
	return strings.Join(l, " ")
}

func expect(t testing.TB, what string, ch <-chan resource.Update, want string) {
	t.Helper()
	if got := addrs(testkit.Wait(t, ch)); got != want {
		t.Errorf("%s: %q, not %q", what, got, want)
	}
}

// both runs a test with each variant.
func both(t *testing.T, f func(t *testing.T, delta bool)) {
	for name, delta := range map[string]bool{"sotw": false, "delta": true} {
		t.Run(name, func(t *testing.T) { f(t, delta) })
	}
}

func TestFollow(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		p := plane(t)
		c := open(t, Config{Delta: delta}, p)
		p.Set(resource.EndpointURL, set{"s": endpoints("s", "10.0.0.1:1")}) // endpoints before clusters
		ch, cancel := follow(t, c, "c")
		testkit.Eventually(t, "nothing is asked for", func() bool { return len(p.Requests()) > 0 })
		p.Set(resource.ClusterURL, set{"c": cluster("c", "s"), "other": cluster("other", "")})
		expect(t, "first", ch, "10.0.0.1:1")
		p.Set(resource.EndpointURL, set{"s": endpoints("s", "10.0.0.1:1", "10.0.0.2:1"), "unwanted": endpoints("unwanted", "10.9.9.9:1")})
		expect(t, "one more", ch, "10.0.0.1:1 10.0.0.2:1")
		p.Set(resource.EndpointURL, set{"s2": endpoints("s2", "10.0.0.3:1")})
		p.Set(resource.ClusterURL, set{"c": cluster("c", "s2")})
		expect(t, "another service", ch, "10.0.0.3:1")
		p.Set(resource.EndpointURL, set{"s2": endpoints("s2")})
		expect(t, "an empty assignment", ch, "")
		p.Set(resource.EndpointURL, set{"s2": endpoints("s2", "10.0.0.4:1")})
		expect(t, "no longer", ch, "10.0.0.4:1")
		p.Set(resource.ClusterURL, set{"c": nil})
		expect(t, "the cluster is removed", ch, "none")
		p.Set(resource.ClusterURL, set{"c": cluster("c", "s2")})
		expect(t, "and added", ch, "10.0.0.4:1")
		cancel()
		for _, r := range p.Requests() {
			if r.SotW.GetErrorDetail() != nil || r.Delta.GetErrorDetail() != nil {
				t.Errorf("refused: %v", r)
			}
		}
	})
}

// A stream that breaks is opened again, and what changed meanwhile is told; with the incremental
// variant the control plane is told what there is.
func TestBrokenStream(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		p := plane(t)
		p.Set(resource.ClusterURL, set{"c": cluster("c", "")})
		p.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.1:1")})
		c := open(t, Config{Delta: delta}, p)
		ch, _ := follow(t, c, "c")
		expect(t, "first", ch, "10.0.0.1:1")
		for i := range 5 {
			p.Down()
			p.Set(resource.EndpointURL, set{"c": endpoints("c", fmt.Sprintf("10.0.1.%d:1", i))})
			if err := p.Up(); err != nil {
				t.Fatal(err)
			}
			expect(t, "after a break", ch, fmt.Sprintf("10.0.1.%d:1", i))
		}
		if delta {
			have := 0
			for _, r := range p.Requests() {
				have += len(r.Delta.GetInitialResourceVersions())
			}
			if have < 5 {
				t.Errorf("%d versions told on new streams", have)
			}
		}
	})
}

// One bad resource is refused by name, and the good ones beside it apply; what was there stays.
func TestRefusal(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		p := plane(t)
		p.Set(resource.ClusterURL, set{"a": cluster("a", ""), "b": cluster("b", "")})
		p.Set(resource.EndpointURL, set{"a": endpoints("a", "10.0.0.1:1"), "b": endpoints("b", "10.0.0.2:1")})
		c := open(t, Config{Delta: delta}, p)
		a, _ := follow(t, c, "a")
		b, _ := follow(t, c, "b")
		expect(t, "a", a, "10.0.0.1:1")
		expect(t, "b", b, "10.0.0.2:1")
		p.Set(resource.EndpointURL, set{"a": endpoints("a", "10.0.0.9:0"), "b": endpoints("b", "10.0.0.3:1")})
		expect(t, "b applies", b, "10.0.0.3:1")
		testkit.Eventually(t, "no refusal", func() bool {
			for _, r := range p.Requests() {
				if d := r.SotW.GetErrorDetail(); d != nil && strings.HasPrefix(d.Message, "a: ") && r.SotW.VersionInfo == "2" {
					return true
				}
				if d := r.Delta.GetErrorDetail(); d != nil && strings.HasPrefix(d.Message, "a: ") {
					return true
				}
			}
			return false
		})
		found := false
		d := c.Dump()
		for _, r := range d.Resources {
			found = found || r.Name == "a" && strings.Contains(r.Refused, "no port") && r.Endpoints == 1
		}
		if !found || !d.Servers[0].InUse {
			t.Errorf("dump %+v", d)
		}
		var text strings.Builder
		d.Write(&text)
		if !strings.Contains(text.String(), "no port") {
			t.Errorf("dump %s", text.String())
		}
		p.Set(resource.EndpointURL, set{"a": endpoints("a", "10.0.0.4:1")})
		expect(t, "a is good again", a, "10.0.0.4:1")
	})
}

// Whatever a control plane sends, the client goes on: bytes that are no resource, types nobody asked
// for, nonces that make no sense, a response over the limit.
func TestNonsense(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		p := plane(t)
		p.Set(resource.ClusterURL, set{"c": cluster("c", "")})
		p.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.1:1")})
		c := open(t, Config{Delta: delta, MaxBytes: 1 << 20}, p)
		ch, _ := follow(t, c, "c")
		expect(t, "first", ch, "10.0.0.1:1")
		huge := &anypb.Any{TypeUrl: resource.EndpointURL, Value: make([]byte, 50<<20)}
		for _, bad := range []*anypb.Any{{TypeUrl: resource.EndpointURL, Value: []byte{0xff, 0xff}}, {TypeUrl: "nothing"}, {}, huge} {
			for _, url := range []string{resource.EndpointURL, resource.ClusterURL, "type.googleapis.com/unknown", ""} {
				p.Send(&discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: "x", Resources: []*anypb.Any{bad}}, false)
				p.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: url, Resources: []*discovery.Resource{{Name: "c", Resource: bad}, {}}}, false)
			}
		}
		p.Send(&discovery.DiscoveryResponse{TypeUrl: resource.EndpointURL, VersionInfo: "x"}, true)
		p.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: resource.EndpointURL, RemovedResources: []string{"c"}}, true) // without a nonce
		testkit.Eventually(t, "the stream over the limit does not break", func() bool { return p.StreamsOpened() > 1 })
		p.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.2:1")})
		for got := addrs(testkit.Wait(t, ch)); got != "10.0.0.2:1"; got = addrs(testkit.Wait(t, ch)) {
			if got != "10.0.0.1:1" {
				t.Fatalf("told %q", got)
			}
		}
	})
}

// The next control plane is used while the first is down, and the first again once it works; another
// one's versions are not told to it.
func TestSeveralControlPlanes(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		one, two := plane(t), plane(t)
		for i, p := range []*fakexds.ControlPlane{one, two} {
			p.Set(resource.ClusterURL, set{"c": cluster("c", "")})
			p.Set(resource.EndpointURL, set{"c": endpoints("c", fmt.Sprintf("10.0.0.%d:1", i+1))})
		}
		one.Down()
		c := open(t, Config{Delta: delta}, one, two)
		ch, _ := follow(t, c, "c")
		expect(t, "the second serves", ch, "10.0.0.2:1")
		if err := one.Up(); err != nil {
			t.Fatal(err)
		}
		expect(t, "back to the first", ch, "10.0.0.1:1")
		testkit.Eventually(t, "the second's stream goes on", func() bool { return two.BreakStreams() == 0 })
		for _, r := range one.Requests() {
			if r.SotW.GetResponseNonce() == "" && r.SotW.GetVersionInfo() != "" || len(r.Delta.GetInitialResourceVersions()) > 0 {
				t.Errorf("the first is told the second's version: %v", r)
			}
		}
		two.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.9:1")})
		one.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.3:1")})
		expect(t, "the first counts", ch, "10.0.0.3:1")
		one.Down()
		expect(t, "the second again", ch, "10.0.0.9:1")
	})
}

// A control plane that hangs with the stream open is not waited for alone.
func TestSilentControlPlane(t *testing.T) {
	one, two := plane(t), plane(t)
	one.SetSilent(true)
	two.Set(resource.ClusterURL, set{"c": cluster("c", "")})
	two.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.2:1")})
	c := open(t, Config{Failover: ads.FailoverConfig{FirstResponseTimeout: 50 * time.Millisecond}}, one, two)
	ch, _ := follow(t, c, "c")
	expect(t, "the second", ch, "10.0.0.2:1")
}

// A resource that does not come does not exist; what a pool had before stays until then.
func TestMissing(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		p := plane(t)
		p.Set(resource.ClusterURL, set{"c": cluster("c", "s")})
		c := open(t, Config{Delta: delta, Timeout: 50 * time.Millisecond}, p)
		ch, _ := follow(t, c, "c")
		testkit.Eventually(t, "it is not found missing", func() bool {
			for _, x := range c.Dump().Clusters {
				if strings.Contains(x.State, "s does not exist") {
					return true
				}
			}
			return false
		})
		if len(ch) > 0 {
			t.Errorf("told %q", addrs(<-ch))
		}
		p.Set(resource.EndpointURL, set{"s": endpoints("s", "10.0.0.1:1")})
		expect(t, "late", ch, "10.0.0.1:1")
	})
}

// A control plane that comes back empty takes nothing away within the grace, and all after it.
func TestComesBackEmpty(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		p := plane(t)
		fill := func(addr string) {
			p.Set(resource.ClusterURL, set{"c": cluster("c", "")})
			p.Set(resource.EndpointURL, set{"c": endpoints("c", addr)})
		}
		fill("10.0.0.1:1")
		c := open(t, Config{Delta: delta, Clusters: resource.ClustersConfig{Grace: limit}}, p)
		ch, _ := follow(t, c, "c")
		expect(t, "first", ch, "10.0.0.1:1")
		p.Set(resource.ClusterURL, set{"c": nil})
		testkit.Eventually(t, "the grace does not begin", func() bool {
			return strings.Contains(c.Dump().Clusters[0].State, "grace")
		})
		fill("10.0.0.2:1")
		expect(t, "it is back", ch, "10.0.0.2:1")
	})
}

// The same update a thousand times costs no news; a flapping control plane loses nothing.
func TestStorms(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		p := plane(t)
		p.Set(resource.ClusterURL, set{"c": cluster("c", "")})
		p.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.1:1")})
		c := open(t, Config{Delta: delta}, p)
		ch, _ := follow(t, c, "c")
		expect(t, "first", ch, "10.0.0.1:1")
		for range 1000 {
			p.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.1:1")})
		}
		p.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.2:1")})
		expect(t, "the next news is the next change", ch, "10.0.0.2:1")
		for i := range 20 {
			p.BreakStreams()
			p.Set(resource.EndpointURL, set{"c": endpoints("c", fmt.Sprintf("10.0.1.%d:1", i))})
		}
		for got := ""; got != "10.0.1.19:1"; got = addrs(testkit.Wait(t, ch)) {
		}
	})
}

func TestLoadReports(t *testing.T) {
	p := plane(t)
	p.SetLoadReportRequest(&loadstats.LoadStatsResponse{SendAllClusters: true, LoadReportingInterval: durationpb.New(time.Millisecond), ReportEndpointGranularity: true})
	p.Set(resource.ClusterURL, set{"c": cluster("c", "")})
	p.Set(resource.EndpointURL, set{"c": endpoints("c", "10.0.0.1:1", "10.0.0.2:1")})
	c := open(t, Config{Reports: 10 * time.Millisecond}, p)
	ch, _ := follow(t, c, "c")
	l := c.Load("c")
	l.List(testkit.Wait(t, ch).Assignment)
	for range 3 {
		l.Began("10.0.0.1:1")
	}
	l.Began("10.0.0.2:1")
	l.Ended("10.0.0.1:1", balancer.Success)
	l.Ended("10.0.0.1:1", balancer.Failure)
	l.Dropped()
	var issued, ok, failed, dropped uint64
	var out uint64
	testkit.Eventually(t, "the load is not reported", func() bool {
		issued, ok, failed, dropped = 0, 0, 0, 0
		for _, r := range p.LoadReports() {
			for _, s := range r.ClusterStats {
				if s.ClusterName != "c" || s.LoadReportInterval.AsDuration() <= 0 {
					t.Errorf("%v", s)
				}
				dropped += s.TotalDroppedRequests
				for _, u := range s.UpstreamLocalityStats {
					if u.Locality.Zone != "z" || len(u.UpstreamEndpointStats) == 0 {
						t.Errorf("%v", u)
					}
					issued += u.TotalIssuedRequests
					ok += u.TotalSuccessfulRequests
					failed += u.TotalErrorRequests
					out = u.TotalRequestsInProgress
				}
			}
		}
		return issued == 4 && ok == 1 && failed == 1 && dropped == 1
	})
	if out != 2 {
		t.Errorf("%d in progress", out)
	}
	if p.LoadReports()[0].Node.GetId() != "me" {
		t.Error("the first report does not say who we are")
	}
	var none *Load
	none.Began("x")
	none.Ended("x", balancer.Success)
	none.List(nil)
	none.Dropped()
}
