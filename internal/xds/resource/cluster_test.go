package resource

import (
	"slices"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	fakexds "cranegrade/internal/fake/xds"
)

func TestParseCluster(t *testing.T) {
	self := fakexds.EDSCluster("c", "")
	self.EdsClusterConfig.EdsConfig.ConfigSourceSpecifier = &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}}
	self.ConnectTimeout = durationpb.New(time.Second)
	self.LbPolicy = clusterv3.Cluster_RING_HASH
	_, c, err := ParseCluster(marshal(t, self))
	if err != nil || c.EDSServiceName != "c" || c.ConnectTimeout != time.Second || !slices.Equal(c.IgnoredFields, []string{"lb_policy"}) {
		t.Errorf("%+v, %v", c, err)
	}
	if _, c, err := ParseCluster(marshal(t, fakexds.EDSCluster("c", "s"))); err != nil || c.EDSServiceName != "s" || c.IgnoredFields != nil {
		t.Errorf("%+v, %v", c, err)
	}
	static := &clusterv3.Cluster{
		Name:           "c",
		LoadAssignment: loadAssignment("", localityEndpoints("z", 0, lbEndpoint("127.0.0.1:1", statusHealthy))),
	}
	if _, c, err := ParseCluster(marshal(t, static)); err != nil || c.StaticAssignment == nil || len(c.StaticAssignment.Endpoints) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestParseClusterRejects(t *testing.T) {
	changed := func(change func(*clusterv3.Cluster)) *clusterv3.Cluster {
		c := fakexds.EDSCluster("c", "")
		change(c)
		return c
	}
	for want, c := range map[string]*clusterv3.Cluster{
		"without a name":   fakexds.EDSCluster("", ""),
		"no config source": changed(func(c *clusterv3.Cluster) { c.EdsClusterConfig = nil }),
		"only ads and self": changed(func(c *clusterv3.Cluster) {
			c.EdsClusterConfig.EdsConfig.ConfigSourceSpecifier = &corev3.ConfigSource_ApiConfigSource{}
		}),
		"STRICT_DNS": changed(func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STRICT_DNS}
		}),
		"cluster type \"other\"": changed(func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_ClusterType{ClusterType: &clusterv3.Cluster_CustomClusterType{Name: "other"}}
		}),
		"without load_assignment": {Name: "c"},
		"load_assignment: ":       {Name: "c", LoadAssignment: loadAssignment("", localityEndpoints("z", 1))},
		"connect_timeout is -1s":  changed(func(c *clusterv3.Cluster) { c.ConnectTimeout = durationpb.New(-time.Second) }),
	} {
		t.Run(want, func(t *testing.T) {
			if _, _, err := ParseCluster(marshal(t, c)); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got %v", err)
			}
		})
	}
	if _, _, err := ParseCluster([]byte{0xff}); err == nil {
		t.Error("bytes that are no message are accepted")
	}
}

// FuzzParseCluster: what is accepted has a name and exactly one source of endpoints.
func FuzzParseCluster(f *testing.F) {
	f.Add(marshal(f, fakexds.EDSCluster("c", "s")))
	f.Add(marshal(f, &clusterv3.Cluster{
		Name:           "c",
		LoadAssignment: loadAssignment("", localityEndpoints("z", 0, lbEndpoint("127.0.0.1:1", statusHealthy))),
	}))
	f.Fuzz(func(t *testing.T, text []byte) {
		name, c, err := ParseCluster(text)
		if err == nil && (name == "" || c.Name != name || (c.EDSServiceName == "") != (c.StaticAssignment != nil)) {
			t.Fatalf("%+v", c)
		}
	})
}
