package drill

import (
	"context"
	"fmt"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"

	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testfleet"
	"cranegrade/internal/xds/resource"
)

const (
	sizeClusters  = 200
	sizeEndpoints = 50 // of each
	sizeRate      = 50 // changes a second
)

// xdsSize has 200 pools follow 200 clusters with 10,000 endpoints in all, of which 50 change each second,
// without any traffic: what does a change cost, and does memory stay flat?
func xdsSize(ctx context.Context, r *environment) error {
	r.unjudged = true
	plane, err := fakexds.New()
	if err != nil {
		return err
	}
	defer plane.Close()
	assignments, err := r.startManyClusters(plane)
	if err != nil {
		return err
	}
	acknowledged := func() int { return r.acknowledgements(plane) }
	if !testfleet.Await(20*time.Second, func() bool { return acknowledged() > 0 }) {
		return fmt.Errorf("the assignments are not taken")
	}
	const settled = time.Second
	time.Sleep(settled)
	idle := r.node.CPUTime()
	time.Sleep(settled)
	idle = r.node.CPUTime() - idle // what the program costs a second without changes
	before, cpu, start := acknowledged(), r.node.CPUTime(), time.Now()
	_, early := r.node.Resources()
	changes, err := r.changeEndpoints(ctx, plane, assignments, start)
	if err != nil {
		return err
	}
	if !testfleet.Await(10*time.Second, func() bool { return acknowledged()-before >= changes }) {
		r.failf("%d changes, and %d acknowledged", changes, acknowledged()-before)
	}
	used := r.node.CPUTime() - cpu - time.Duration(time.Since(start).Seconds()*float64(idle)/settled.Seconds())
	_, late := r.node.Resources()
	r.addFigure("clusters", sizeClusters, fmt.Sprintf("each a pool of %d endpoints", sizeEndpoints))
	r.addFigure("changes", changes, "of one endpoint each")
	r.addFigure("cpu_us_per_change", float64(used.Microseconds())/float64(max(1, changes)), "of the program, beyond what it costs idle")
	r.addFigure("cpu_idle_share", idle.Seconds()/settled.Seconds(), "of one core, with 200 pools and no changes")
	r.addFigure("resident_start_kb", early, "with the lists taken")
	r.addFigure("resident_end_kb", late, "after the changes")
	if late > early+early/2+8<<10 {
		r.failf("memory grows: %d kB, then %d kB", early, late)
	}
	return nil
}

// startManyClusters has the control plane tell all clusters, starts the program with a pool for each, and returns the
// assignments by the clusters' numbers.
func (r *environment) startManyClusters(plane *fakexds.ControlPlane) ([]*endpointv3.ClusterLoadAssignment, error) {
	file := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1, memory_mb = 192, descriptors = 4096 }\n" + xdsText(r.seed%2 == 1, plane)
	routes := ""
	assignments := make([]*endpointv3.ClusterLoadAssignment, sizeClusters)
	clusters, lists := map[string]proto.Message{}, map[string]proto.Message{}
	for i := range sizeClusters {
		name := fmt.Sprintf("c%d", i)
		assignments[i] = numberedAssignment(name, i)
		clusters[name], lists[name] = clusterByADS(name), assignments[i]
		file += poolText(name, fmt.Sprintf("xds = %q", name))
		routes += fmt.Sprintf("\n[[routes]]\nhost = \"%s.example.org\"\npool = %q\n", name, name)
	}
	plane.Set(resource.ClusterURL, clusters)
	plane.Set(resource.EndpointURL, lists)
	return assignments, r.start(file + routes)
}

// numberedAssignment is the assignment of a cluster whose endpoints' addresses come from its number.
func numberedAssignment(name string, i int) *endpointv3.ClusterLoadAssignment {
	l := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
	for k := range sizeEndpoints {
		l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
			Endpoint: &endpointv3.Endpoint{Address: resource.Address(fmt.Sprintf("127.%d.%d.1:1", 1+i, k))},
		}})
	}
	return &endpointv3.ClusterLoadAssignment{ClusterName: name, Endpoints: []*endpointv3.LocalityLbEndpoints{l}}
}

// acknowledgements counts the assignments' acknowledgements; a rejection is a failure of the drill.
func (r *environment) acknowledgements(plane *fakexds.ControlPlane) (n int) {
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

// changeEndpoints drains an endpoint, or brings it back, at sizeRate for the drill's length, and returns how often.
func (r *environment) changeEndpoints(ctx context.Context, plane *fakexds.ControlPlane, assignments []*endpointv3.ClusterLoadAssignment,
	start time.Time,
) (changes int, err error) {
	tick := time.NewTicker(time.Second / sizeRate)
	defer tick.Stop()
	for time.Since(start) < r.length {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return changes, ctx.Err()
		}
		i := r.rng.IntN(sizeClusters)
		a := proto.Clone(assignments[i]).(*endpointv3.ClusterLoadAssignment)
		e := a.Endpoints[0].LbEndpoints[r.rng.IntN(sizeEndpoints)]
		if e.HealthStatus == corev3.HealthStatus_DRAINING {
			e.HealthStatus = corev3.HealthStatus_HEALTHY
		} else {
			e.HealthStatus = corev3.HealthStatus_DRAINING
		}
		assignments[i] = a
		plane.Set(resource.EndpointURL, map[string]proto.Message{a.ClusterName: a})
		changes++
	}
	return changes, nil
}
