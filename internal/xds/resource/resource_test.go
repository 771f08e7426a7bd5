package resource

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/xds/ads"
)

func wire(t testing.TB, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func eds(name, service string) *clusterv3.Cluster {
	return &clusterv3.Cluster{
		Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{
			ServiceName: service,
			EdsConfig:   &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}},
		},
	}
}

func lb(addr string, health corev3.HealthStatus) *endpointv3.LbEndpoint {
	return &endpointv3.LbEndpoint{HealthStatus: health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
		Endpoint: &endpointv3.Endpoint{Address: Address(addr)},
	}}
}

func meta(ep *endpointv3.LbEndpoint, fields map[string]any) *endpointv3.LbEndpoint {
	s, err := structpb.NewStruct(fields)
	if err != nil {
		panic(err)
	}
	ep.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{Metadata: s}}
	return ep
}

func group(zone string, priority uint32, l ...*endpointv3.LbEndpoint) *endpointv3.LocalityLbEndpoints {
	return &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: zone}, Priority: priority, LbEndpoints: l}
}

func cla(name string, l ...*endpointv3.LocalityLbEndpoints) *endpointv3.ClusterLoadAssignment {
	return &endpointv3.ClusterLoadAssignment{ClusterName: name, Endpoints: l}
}

const (
	unknown   = corev3.HealthStatus_UNKNOWN
	healthy   = corev3.HealthStatus_HEALTHY
	unhealthy = corev3.HealthStatus_UNHEALTHY
	drains    = corev3.HealthStatus_DRAINING
	timedOut  = corev3.HealthStatus_TIMEOUT
	degraded  = corev3.HealthStatus_DEGRADED
)

func TestReadCluster(t *testing.T) {
	self := eds("c", "")
	self.EdsClusterConfig.EdsConfig.ConfigSourceSpecifier = &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}}
	self.ConnectTimeout = durationpb.New(time.Second)
	self.LbPolicy = clusterv3.Cluster_RING_HASH
	_, c, err := ReadCluster(wire(t, self))
	if err != nil || c.Service != "c" || c.Connect != time.Second || !slices.Equal(c.Ignored, []string{"lb_policy"}) {
		t.Errorf("%+v, %v", c, err)
	}
	if _, c, err := ReadCluster(wire(t, eds("c", "s"))); err != nil || c.Service != "s" || c.Ignored != nil {
		t.Errorf("%+v, %v", c, err)
	}
	static := &clusterv3.Cluster{Name: "c", LoadAssignment: cla("", group("z", 0, lb("127.0.0.1:1", healthy)))}
	if _, c, err := ReadCluster(wire(t, static)); err != nil || c.Static == nil || len(c.Static.Endpoints) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
	change := func(f func(*clusterv3.Cluster)) *clusterv3.Cluster {
		c := eds("c", "")
		f(c)
		return c
	}
	for want, c := range map[string]*clusterv3.Cluster{
		"without a name":   eds("", ""),
		"no config source": change(func(c *clusterv3.Cluster) { c.EdsClusterConfig = nil }),
		"only ads and self": change(func(c *clusterv3.Cluster) {
			c.EdsClusterConfig.EdsConfig.ConfigSourceSpecifier = &corev3.ConfigSource_ApiConfigSource{}
		}),
		"STRICT_DNS": change(func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STRICT_DNS}
		}),
		"cluster type \"other\"": change(func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_ClusterType{ClusterType: &clusterv3.Cluster_CustomClusterType{Name: "other"}}
		}),
		"without load_assignment": {Name: "c"},
		"load_assignment: ":       {Name: "c", LoadAssignment: cla("", group("z", 1))},
		"connect_timeout is -1s":  change(func(c *clusterv3.Cluster) { c.ConnectTimeout = durationpb.New(-time.Second) }),
	} {
		if _, _, err := ReadCluster(wire(t, c)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, _, err := ReadCluster([]byte{0xff}); err == nil {
		t.Error("bytes that are no message pass")
	}
}

func TestReadAssignment(t *testing.T) {
	ep := meta(lb("127.0.0.1:80", degraded), map[string]any{"uid": "s-1", "cell": 3, "boot_ms": 1500})
	ep.LoadBalancingWeight = wrapperspb.UInt32(7)
	ep.GetEndpoint().Hostname = "h"
	m := cla("c", group("z", 0, ep, lb("[::1]:81", unknown)),
		&endpointv3.LocalityLbEndpoints{
			Locality: &corev3.Locality{Region: "r", Zone: "z", SubZone: "q"}, LoadBalancingWeight: wrapperspb.UInt32(3),
			LbEndpoints: []*endpointv3.LbEndpoint{meta(lb("10.0.0.1:1", healthy), map[string]any{"boot_ms": "1700000000000"})},
		})
	m.Policy = &endpointv3.ClusterLoadAssignment_Policy{
		OverprovisioningFactor: wrapperspb.UInt32(200), EndpointStaleAfter: durationpb.New(time.Second),
		DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
			{Category: "a", DropPercentage: &typev3.FractionalPercent{Numerator: 50}},
			{Category: "b", DropPercentage: &typev3.FractionalPercent{Numerator: 500_000, Denominator: typev3.FractionalPercent_MILLION}},
		},
	}
	name, a, err := ReadAssignment(wire(t, m), nil)
	if err != nil || name != "c" {
		t.Fatal(err)
	}
	if want := (Endpoint{
		ID: "s-1", Addr: "127.0.0.1:80", Zone: "z", Locality: Locality{Zone: "z"}, Weight: 7, Health: Degraded, Cell: 3,
		Boot: 1500 * time.Millisecond,
	}); a.Endpoints[0] != want {
		t.Errorf("%+v", a.Endpoints[0])
	}
	if e := a.Endpoints[1]; e.ID != "[::1]:81" || e.Weight != 1 || e.Health != Healthy {
		t.Errorf("%+v", e)
	}
	if e := a.Endpoints[2]; e.Zone != "r/z" || e.Boot != 1700000000*time.Second {
		t.Errorf("%+v", e)
	}
	if a.Overshoot != 2 || a.dropShare() != 0.75 {
		t.Errorf("overshoot %v, drops %v", a.Overshoot, a.dropShare())
	}
	if want := []string{"endpoint.hostname", "endpoints.load_balancing_weight", "policy.endpoint_stale_after"}; !slices.Equal(a.Ignored, want) {
		t.Errorf("ignored %v", a.Ignored)
	}
	one := func(e *endpointv3.LbEndpoint) *endpointv3.ClusterLoadAssignment { return cla("c", group("z", 0, e)) }
	weight0 := lb("127.0.0.1:1", healthy)
	weight0.LoadBalancingWeight = wrapperspb.UInt32(0)
	udp := lb("127.0.0.1:1", healthy)
	udp.GetEndpoint().GetAddress().GetSocketAddress().Protocol = corev3.SocketAddress_UDP
	named := lb("127.0.0.1:1", healthy)
	named.GetEndpoint().GetAddress().GetSocketAddress().Address = "host.test"
	zero := cla("c")
	zero.Policy = &endpointv3.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(0)}
	drop := cla("c")
	drop.Policy = &endpointv3.ClusterLoadAssignment_Policy{DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
		{Category: "x", DropPercentage: &typev3.FractionalPercent{Numerator: 1, Denominator: 77}},
	}}
	for want, m := range map[string]*endpointv3.ClusterLoadAssignment{
		"without a name":                         cla(""),
		"without a socket address":               one(&endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{}}}),
		"only named":                             one(&endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_EndpointName{EndpointName: "x"}}),
		"no port":                                one(lb("127.0.0.1:0", healthy)),
		"no IP address":                          one(named),
		"protocol UDP":                           one(udp),
		"weight of 0":                            one(weight0),
		"health_status 99":                       one(lb("127.0.0.1:1", 99)),
		"metadata's uid":                         one(meta(lb("127.0.0.1:1", healthy), map[string]any{"uid": ""})),
		"metadata's cell":                        one(meta(lb("127.0.0.1:1", healthy), map[string]any{"cell": 1.5})),
		"metadata's boot_ms -1":                  one(meta(lb("127.0.0.1:1", healthy), map[string]any{"boot_ms": -1})),
		"boot_ms \"soon\"":                       one(meta(lb("127.0.0.1:1", healthy), map[string]any{"boot_ms": "soon"})),
		"\"colour\" is not known":                one(meta(lb("127.0.0.1:1", healthy), map[string]any{"colour": "red"})),
		"address 127.0.0.1:1 stands there twice": cla("c", group("a", 0, lb("127.0.0.1:1", healthy)), group("b", 0, lb("127.0.0.1:1", healthy))),
		"uid \"u\" stands there twice": cla("c", group("a", 0, meta(lb("127.0.0.1:1", healthy), map[string]any{"uid": "u"}),
			meta(lb("127.0.0.1:2", healthy), map[string]any{"uid": "u"}))),
		"in priority 0 twice": cla("c", group("a", 0), group("a", 0)),
		"a gap at 0":          cla("c", group("a", 1, lb("127.0.0.1:1", healthy))),
		"priority 129":        cla("c", group("a", 129)),
		"factor of 0":         zero,
		"denominator 77":      drop,
		"LEDS":                cla("c", &endpointv3.LocalityLbEndpoints{LbConfig: &endpointv3.LocalityLbEndpoints_LedsClusterLocalityConfig{LedsClusterLocalityConfig: &endpointv3.LedsClusterLocalityConfig{}}}),
	} {
		if _, _, err := ReadAssignment(wire(t, m), nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Which endpoints are used, by health and priority; a letter each, capital if it is.
func TestUsable(t *testing.T) {
	letters := map[rune]Health{'h': Healthy, 'd': Degraded, 'u': Unhealthy, 'x': Draining}
	for _, c := range []struct{ priorities, want string }{
		{"hhh", "HHH"},
		{"hux", "Hux"},
		{"hhhhh/h", "HHHHH/h"},
		{"hhhhu/hh", "HHHHu/hh"}, // 0.8 x 1.4 suffices
		{"hhuuu/hh", "HHuuu/HH"}, // 0.4 x 1.4 does not: the next level too
		{"huuuu/huuuu/h", "Huuuu/Huuuu/H"},
		{"uu/hh/hh", "uu/HH/hh"},
		{"hddd", "HDDD"},
		{"hhhd", "HHHd"},
		{"dd/h", "dd/H"},
		{"du/uu", "Du/uu"},
		{"uu", "UU"},
		{"ux", "Ux"},
		{"xx", "xx"},
		{"uu/ux", "UU/Ux"},
		{"", ""},
	} {
		a := &Assignment{Overshoot: 1.4}
		for p, l := range strings.Split(c.priorities, "/") {
			for _, r := range l {
				a.Endpoints = append(a.Endpoints, Endpoint{Priority: p, Health: letters[r]})
			}
		}
		ready, reports := usable(a)
		got := []byte(c.priorities)
		k := 0
		for i := range got {
			if got[i] == '/' {
				continue
			}
			if ready[k] {
				got[i] -= 'a' - 'A'
			}
			k++
		}
		if string(got) != c.want {
			t.Errorf("%s: %s, not %s", c.priorities, got, c.want)
		}
		if rescued := strings.Contains(c.want, "U"); rescued != (reports != nil) {
			t.Errorf("%s: reports %v", c.priorities, reports)
		}
	}
}

// TestListerProperty: applying the news in turn gives what the last assignment says, and news name
// nothing that did not change.
func TestListerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lister
		held := map[string]engine.Listed{}
		for i := range rapid.IntRange(1, 8).Draw(t, "updates") {
			a := &Assignment{Overshoot: 1.4}
			for id := range 6 {
				if rapid.Bool().Draw(t, "there") {
					a.Endpoints = append(a.Endpoints, Endpoint{
						ID: fmt.Sprint(id), Addr: fmt.Sprint("a", rapid.IntRange(0, 1).Draw(t, "addr")),
						Health: Health(rapid.IntRange(0, 3).Draw(t, "health")), Boot: time.Duration(rapid.IntRange(0, 1).Draw(t, "boot")),
					})
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "none") == 0 {
				a = nil
			}
			before := len(held)
			n, reports := l.News(a)
			if n != nil {
				if n.Full != (i == 0) {
					t.Fatalf("update %d: full %v", i, n.Full)
				}
				for _, s := range n.Servers {
					if was, is := held[s.ID]; is && was == s {
						t.Fatalf("%s is named and did not change", s.ID)
					}
					if s.State == balancer.Gone {
						delete(held, s.ID)
					} else {
						held[s.ID] = s
					}
				}
			} else if i == 0 {
				t.Fatal("nothing told at first")
			}
			if a == nil {
				a = &Assignment{}
			}
			ready, _ := usable(a)
			if len(held) != len(a.Endpoints) {
				t.Fatalf("%d held of %d", len(held), len(a.Endpoints))
			}
			for k, ep := range a.Endpoints {
				if s := held[ep.ID]; s.Addr != ep.Addr || s.StartedAt != ep.Boot || (s.State == balancer.Ready) != ready[k] {
					t.Fatalf("%+v is held as %+v", ep, s)
				}
			}
			if gone := before > 0 && len(held) == 0; gone != slices.ContainsFunc(reports, func(r string) bool { return strings.Contains(r, "are gone") }) {
				t.Fatalf("all gone: %v, reports %q", gone, reports)
			}
		}
	})
}

func TestClusters(t *testing.T) {
	cluster := func(name, service string) *ads.Resource {
		return &ads.Resource{Name: name, Value: &Cluster{Name: name, Service: service}}
	}
	assignment := func(name string) *ads.Resource { return &ads.Resource{Name: name, Value: &Assignment{Name: name}} }
	updated := func(url string, l ...*ads.Resource) ads.Changed { return ads.Changed{Type: url, Updated: l} }
	removed := func(url string, names ...string) ads.Changed { return ads.Changed{Type: url, Removed: names} }
	words := func(l []Update) (s string) {
		for _, u := range l {
			if u.Assignment == nil {
				s += u.Cluster + ":none "
			} else {
				s += u.Cluster + ":" + u.Assignment.Name + " "
			}
		}
		return s
	}
	check := func(what string, l []Update, want string) {
		t.Helper()
		if w := words(l); w != want {
			t.Errorf("%s: %q, not %q", what, w, want)
		}
	}
	change := func(c *Clusters, n ads.Changed) []Update {
		u, _ := c.Change(0, n)
		c.Wanted()
		return u
	}
	c := NewClusters(ClustersConfig{})
	check("nothing known", c.Follow("a"), "")
	check("the cluster", change(c, updated(ClusterURL, cluster("a", "s"))), "")
	if _, services := c.Wanted(); !slices.Equal(services, []string{"s"}) {
		t.Errorf("wants %v", services)
	}
	check("its assignment", change(c, updated(EndpointURL, assignment("s"))), "a:s ")
	check("a second follower is told too", c.Follow("a"), "a:s ")
	check("another service: the old one until it comes", change(c, updated(ClusterURL, cluster("a", "s2"))), "")
	check("it comes", change(c, updated(EndpointURL, assignment("s2"))), "a:s2 ")
	check("the assignment is gone", change(c, removed(EndpointURL, "s2")), "a:none ")
	check("and back", change(c, updated(EndpointURL, assignment("s2"))), "a:s2 ")
	check("the cluster is gone", change(c, removed(ClusterURL, "a")), "a:none ")
	check("and back: its assignment has to come anew", change(c, updated(ClusterURL, cluster("a", "s2"))), "")
	check("it comes", change(c, updated(EndpointURL, assignment("s2"))), "a:s2 ")
	check("static", change(c, updated(ClusterURL, &ads.Resource{Name: "a", Value: &Cluster{Name: "a", Static: &Assignment{Name: "static"}}})), "a:static ")
	check("two with one service", c.Follow("b"), "")
	check("", change(c, updated(ClusterURL, cluster("a", "s"), cluster("b", "s"))), "")
	check("both are told", change(c, updated(EndpointURL, assignment("s"))), "a:s b:s ")
	c.Unfollow("a")
	check("one no more", change(c, updated(EndpointURL, assignment("s"))), "b:s ")

	keep := NewClusters(ClustersConfig{Keep: true})
	keep.Follow("a")
	change(keep, updated(ClusterURL, cluster("a", "s")))
	change(keep, updated(EndpointURL, assignment("s")))
	check("kept", change(keep, removed(ClusterURL, "a")), "")
	check("kept", change(keep, updated(ClusterURL, cluster("a", "s"))), "")
	check("told anew", change(keep, updated(EndpointURL, assignment("s"))), "a:s ")

	// A control plane that comes back empty takes nothing away at once.
	g := NewClusters(ClustersConfig{Grace: 10 * time.Second})
	g.Follow("a")
	g.Follow("b")
	change(g, updated(ClusterURL, cluster("a", "s"), cluster("b", "s")))
	change(g, updated(EndpointURL, assignment("s")))
	u, reports := g.Change(time.Second, removed(ClusterURL, "a", "b"))
	check("in grace", u, "")
	if len(reports) != 1 || !strings.Contains(reports[0], "all 2 clusters at once") || !strings.Contains(g.State("a"), "grace") {
		t.Errorf("reports %q, state %q", reports, g.State("a"))
	}
	if at, ok := g.Next(); !ok || at != 11*time.Second {
		t.Errorf("next at %v", at)
	}
	u, _ = g.Advance(10*time.Second, nil)
	check("not yet", u, "")
	u, _ = g.Advance(11*time.Second, map[string]*ads.Resource{"a": {Status: ads.Received}})
	check("over, and one is there again", u, "b:none ")
	u, reports = g.Change(12*time.Second, removed(ClusterURL, "a"))
	if check("the last one", u, ""); len(reports) != 1 {
		t.Errorf("reports %q", reports)
	}
}

func FuzzCluster(f *testing.F) {
	f.Add(wire(f, eds("c", "s")))
	f.Add(wire(f, &clusterv3.Cluster{Name: "c", LoadAssignment: cla("", group("z", 0, lb("127.0.0.1:1", healthy)))}))
	f.Fuzz(func(t *testing.T, text []byte) {
		if name, c, err := ReadCluster(text); err == nil && (name == "" || c.Name != name || (c.Service == "") != (c.Static != nil)) {
			t.Fatalf("%+v", c)
		}
	})
}

func FuzzAssignment(f *testing.F) {
	f.Add(wire(f, cla("c", group("z", 0, meta(lb("127.0.0.1:80", degraded), map[string]any{"uid": "s-1", "cell": 3, "boot_ms": 1500})))))
	f.Add(wire(f, cla("c", group("a", 0, lb("[::1]:1", timedOut), lb("[::1]:2", drains)), group("b", 1, lb("[::1]:3", unhealthy)))))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, a, err := ReadAssignment(text, nil)
		if err != nil {
			return
		}
		if _, again, err := ReadAssignment(text, a); err != nil || !reflect.DeepEqual(a, again) {
			t.Fatalf("read with itself before it: %+v, %v, not %+v", again, err, a)
		}
		var l Lister
		n, _ := l.News(a)
		if n == nil || len(n.Servers) != len(a.Endpoints) || !(n.DropShare >= 0 && n.DropShare <= 1) {
			t.Fatalf("%+v becomes %+v", a, n)
		}
		for _, s := range n.Servers {
			if s.ID == "" || s.Addr == "" || !(s.Size > 0) || s.StartedAt < 0 {
				t.Fatalf("%+v", s)
			}
		}
	})
}

// With levels all that is healthy or degraded is told, degraded ones after the healthy of all levels, and draining ones
// as such; the weights of localities come along.
func TestLevels(t *testing.T) {
	first := group("a", 0, lb("127.0.0.1:1", healthy), lb("127.0.0.1:2", degraded), lb("127.0.0.1:3", drains))
	first.LoadBalancingWeight = wrapperspb.UInt32(7)
	_, a, err := ReadAssignment(wire(t, cla("c", first, group("b", 1, lb("127.0.0.1:4", healthy), lb("127.0.0.1:5", unhealthy)))), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, _ := (&Lister{Levels: true}).News(a)
	got := ""
	for _, s := range n.Servers {
		got += fmt.Sprintf("%s:%d:%d:%v ", s.ID[len(s.ID)-1:], s.State, s.Priority, s.Weight)
	}
	if want := "1:0:0:7 2:0:2:7 3:1:0:7 4:0:1:0 5:1:1:0 "; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if n, _ := (&Lister{}).News(a); n.Servers[3].Priority != 0 {
		t.Errorf("without levels %+v", n.Servers[3])
	}
}

// What is taken over from the assignment before is what would be read.
func TestReadChanged(t *testing.T) {
	one := cla("c", group("a", 0, lb("127.0.0.1:1", healthy), lb("127.0.0.1:2", healthy)), group("b", 1, lb("127.0.0.1:3", healthy)))
	// The same bytes in another locality, one changed, one gone, one new.
	two := cla("c", group("b", 0, lb("127.0.0.1:1", healthy), lb("127.0.0.1:2", drains)), group("d", 1, lb("127.0.0.1:4", healthy)))
	_, a, err := ReadAssignment(wire(t, one), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, got, err := ReadAssignment(wire(t, two), a)
	_, want, err2 := ReadAssignment(wire(t, two), nil)
	if err != nil || err2 != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v, %v", got, err, want, err2)
	}
	if e := got.Endpoints[0]; e.Zone != "b" || a.Endpoints[0].Zone != "a" {
		t.Errorf("zones %s and %s", e.Zone, a.Endpoints[0].Zone)
	}
	if got.read[string(wire(t, lb("127.0.0.1:1", healthy)))] != a.read[string(wire(t, lb("127.0.0.1:1", healthy)))] {
		t.Error("what did not change was read again")
	}
}

// BenchmarkUpdate is an assignment of 10,000 endpoints of which one changes: reading it and telling the
// change.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var l []*endpointv3.LbEndpoint
			for i := range n {
				l = append(l, lb(fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), healthy))
			}
			texts := [2][]byte{wire(b, cla("c", group("z", 0, l...)))}
			l[n/2].HealthStatus = drains
			texts[1] = wire(b, cla("c", group("z", 0, l...)))
			var list Lister
			var a *Assignment
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				var err error
				_, a, err = ReadAssignment(texts[i%2], a)
				if err != nil {
					b.Fatal(err)
				}
				if news, _ := list.News(a); i > 0 && len(news.Servers) != 1 {
					b.Fatalf("%d servers in the news", len(news.Servers))
				}
			}
		})
	}
}
