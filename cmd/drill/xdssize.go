package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	rigs "cranegrade/internal/rig"
	standinxds "cranegrade/internal/standin/xds"
	"cranegrade/internal/xds/resource"
)

const (
	sizeClusters  = 200
	sizeEndpoints = 50 // of each
	sizeRate      = 50 // changes a second
)

// xdsSize has 200 pools follow 200 clusters with 10,000 endpoints in all, of which 50 change each second,
// without any traffic: what does a change cost, and does memory stay flat?
func xdsSize(ctx context.Context, r *rig) error {
	r.unjudged = true
	plane, err := standinxds.New()
	if err != nil {
		return err
	}
	defer plane.Close()
	file := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1, memory_mb = 192, descriptors = 4096 }\n" + xdsText(r.seed%2 == 1, plane)
	routes := ""
	assignments := make([]*endpointv3.ClusterLoadAssignment, sizeClusters)
	clusters, lists := map[string]proto.Message{}, map[string]proto.Message{}
	for i := range sizeClusters {
		name := fmt.Sprintf("c%d", i)
		l := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
		for k := range sizeEndpoints {
			l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
				Endpoint: &endpointv3.Endpoint{Address: resource.Address(fmt.Sprintf("127.%d.%d.1:1", 1+i, k))}}})
		}
		assignments[i] = &endpointv3.ClusterLoadAssignment{ClusterName: name, Endpoints: []*endpointv3.LocalityLbEndpoints{l}}
		clusters[name] = &clusterv3.Cluster{Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
			EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{
				EdsConfig: &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}
		lists[name] = assignments[i]
		file += poolText(name, fmt.Sprintf("xds = %q", name))
		routes += fmt.Sprintf("\n[[routes]]\nhost = \"%s.example.org\"\npool = %q\n", name, name)
	}
	plane.Set(resource.ClusterURL, clusters)
	plane.Set(resource.EndpointURL, lists)
	if err := r.start(file + routes); err != nil {
		return err
	}
	acks := func() (n int) {
		for _, q := range plane.Requests() {
			if q.SotW.GetTypeUrl() == resource.EndpointURL && q.SotW.GetResponseNonce() != "" ||
				q.Delta.GetTypeUrl() == resource.EndpointURL && q.Delta.GetResponseNonce() != "" {
				n++
			}
			if q.SotW.GetErrorDetail() != nil || q.Delta.GetErrorDetail() != nil {
				r.failf("refused: %v", q)
			}
		}
		return n
	}
	if !rigs.Await(20*time.Second, func() bool { return acks() > 0 }) {
		return fmt.Errorf("the assignments are not taken")
	}
	settled := time.Second
	time.Sleep(settled)
	idle := r.node.CPU()
	time.Sleep(settled)
	idle = r.node.CPU() - idle // what the program costs a second without changes
	before, cpu, start := acks(), r.node.CPU(), time.Now()
	_, early := r.node.Resources()
	changes := 0
	tick := time.NewTicker(time.Second / sizeRate)
	defer tick.Stop()
	for time.Since(start) < r.length {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		a := assignments[r.rng.IntN(sizeClusters)]
		a = proto.Clone(a).(*endpointv3.ClusterLoadAssignment)
		e := a.Endpoints[0].LbEndpoints[r.rng.IntN(sizeEndpoints)]
		if e.HealthStatus == corev3.HealthStatus_DRAINING {
			e.HealthStatus = corev3.HealthStatus_HEALTHY
		} else {
			e.HealthStatus = corev3.HealthStatus_DRAINING
		}
		var i int
		fmt.Sscanf(strings.TrimPrefix(a.ClusterName, "c"), "%d", &i)
		assignments[i] = a
		plane.Set(resource.EndpointURL, map[string]proto.Message{a.ClusterName: a})
		changes++
	}
	if !rigs.Await(10*time.Second, func() bool { return acks()-before >= changes }) {
		r.failf("%d changes, and %d acknowledged", changes, acks()-before)
	}
	used := r.node.CPU() - cpu - time.Duration(time.Since(start).Seconds()*float64(idle)/settled.Seconds())
	_, late := r.node.Resources()
	r.figure("clusters", sizeClusters, fmt.Sprintf("each a pool of %d endpoints", sizeEndpoints))
	r.figure("changes", changes, "of one endpoint each")
	r.figure("cpu_us_per_change", float64(used.Microseconds())/float64(max(1, changes)), "of the program, beyond what it costs idle")
	r.figure("cpu_idle_share", idle.Seconds()/settled.Seconds(), "of one core, with 200 pools and no changes")
	r.figure("resident_start_kb", early, "with the lists taken")
	r.figure("resident_end_kb", late, "after the changes")
	if late > early+early/2+8<<10 {
		r.failf("memory grows: %d kB, then %d kB", early, late)
	}
	return nil
}
