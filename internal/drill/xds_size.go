package drill

import (
	"context"
	"errors"
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
	sizeClusters       = 200
	sizeEndpoints      = 50 // of each
	sizeRate           = 50 // changes a second
	sizeSettleTime     = time.Second
	sizeTakeTimeout    = 20 * time.Second // until the program has taken the first assignments
	sizeChangesTimeout = 10 * time.Second // until it has acknowledged all changes
	sizeMemorySlackKB  = 8 << 10
)

// xdsSize has 200 pools follow 200 clusters with 10,000 endpoints in all, of which 50 change each second, without any traffic. It measures
// what a change costs, and whether memory stays flat.
func xdsSize(ctx context.Context, env *environment) error {
	env.measuresOnly = true
	controlPlane, err := fakexds.New()
	if err != nil {
		return err
	}
	defer controlPlane.Close()
	assignments, err := env.startManyClusters(controlPlane)
	if err != nil {
		return err
	}
	acknowledged := func() int { return env.countAcknowledgements(controlPlane) }
	if !testfleet.Await(sizeTakeTimeout, func() bool { return acknowledged() > 0 }) {
		return errors.New("the program does not take the assignments")
	}
	idleCPU := env.measureIdleCPU()
	before, cpuBefore, start := acknowledged(), env.node.CPUTime(), time.Now()
	_, residentStart := env.node.Resources()
	changes, err := env.changeEndpoints(ctx, controlPlane, assignments, start)
	if err != nil {
		return err
	}
	if !testfleet.Await(sizeChangesTimeout, func() bool { return acknowledged()-before >= changes }) {
		env.failf("%d changes, and %d acknowledged", changes, acknowledged()-before)
	}
	idleShare := idleCPU.Seconds() / sizeSettleTime.Seconds()
	cpuOfChanges := env.node.CPUTime() - cpuBefore - time.Duration(idleShare*float64(time.Since(start)))
	_, residentEnd := env.node.Resources()
	env.addFigure("clusters", sizeClusters, fmt.Sprintf("each a pool of %d endpoints", sizeEndpoints))
	env.addFigure("changes", changes, "of one endpoint each")
	env.addFigure("cpu_us_per_change", float64(cpuOfChanges.Microseconds())/float64(max(1, changes)), "of the program, beyond what it costs idle")
	env.addFigure("cpu_idle_share", idleShare, "of one core, with 200 pools and no changes")
	env.addFigure("resident_start_kb", residentStart, "with the lists taken")
	env.addFigure("resident_end_kb", residentEnd, "after the changes")
	if residentEnd > residentStart+residentStart/2+sizeMemorySlackKB {
		env.failf("memory grows: %d kB, then %d kB", residentStart, residentEnd)
	}
	return nil
}

// measureIdleCPU lets the program settle, and returns the processor time that it uses in sizeSettleTime without changes.
func (env *environment) measureIdleCPU() time.Duration {
	time.Sleep(sizeSettleTime)
	before := env.node.CPUTime()
	time.Sleep(sizeSettleTime)
	return env.node.CPUTime() - before
}

// startManyClusters has the control plane serve all clusters, starts the program with a pool for each, and returns the assignments by the
// clusters' numbers.
func (env *environment) startManyClusters(controlPlane *fakexds.ControlPlane) ([]*endpointv3.ClusterLoadAssignment, error) {
	config := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1, memory_mb = 192, descriptors = 4096 }\n" +
		xdsConfig(env.usesDelta(), controlPlane)
	routes := ""
	assignments := make([]*endpointv3.ClusterLoadAssignment, sizeClusters)
	clusterMessages, assignmentMessages := map[string]proto.Message{}, map[string]proto.Message{}
	for i := range sizeClusters {
		name := fmt.Sprintf("c%d", i)
		assignments[i] = numberedAssignment(name, i)
		clusterMessages[name], assignmentMessages[name] = clusterByADS(name), assignments[i]
		config += testfleet.PoolConfig(name, fmt.Sprintf("xds = %q", name))
		routes += route(name+".example.org", name)
	}
	controlPlane.Set(resource.ClusterURL, clusterMessages)
	controlPlane.Set(resource.EndpointURL, assignmentMessages)
	return assignments, env.startProgram(config + routes)
}

// numberedAssignment is the assignment of a cluster whose endpoints' addresses come from its number.
func numberedAssignment(name string, number int) *endpointv3.ClusterLoadAssignment {
	locality := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
	for i := range sizeEndpoints {
		address := resource.Address(fmt.Sprintf("127.%d.%d.1:1", 1+number, i))
		locality.LbEndpoints = append(locality.LbEndpoints, &endpointv3.LbEndpoint{
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: address}},
		})
	}
	return &endpointv3.ClusterLoadAssignment{ClusterName: name, Endpoints: []*endpointv3.LocalityLbEndpoints{locality}}
}

// countAcknowledgements counts the acknowledged assignments. A rejected one is a failure of the drill.
func (env *environment) countAcknowledgements(controlPlane *fakexds.ControlPlane) (count int) {
	for _, r := range controlPlane.Requests() {
		acknowledgesSotW := r.SotW.GetTypeUrl() == resource.EndpointURL && r.SotW.GetResponseNonce() != ""
		acknowledgesDelta := r.Delta.GetTypeUrl() == resource.EndpointURL && r.Delta.GetResponseNonce() != ""
		if acknowledgesSotW || acknowledgesDelta {
			count++
		}
		if r.SotW.GetErrorDetail() != nil || r.Delta.GetErrorDetail() != nil {
			env.failf("the program rejects: %v", r)
		}
	}
	return count
}

// changeEndpoints drains an endpoint, or brings it back, at sizeRate for the drill's length from start on, and returns how often.
func (env *environment) changeEndpoints(
	ctx context.Context, controlPlane *fakexds.ControlPlane, assignments []*endpointv3.ClusterLoadAssignment, start time.Time,
) (changes int, err error) {
	tick := time.NewTicker(time.Second / sizeRate)
	defer tick.Stop()
	for time.Since(start) < env.length {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return changes, ctx.Err()
		}
		i := env.rng.IntN(sizeClusters)
		assignments[i] = withChangedEndpoint(assignments[i], env.rng.IntN(sizeEndpoints))
		controlPlane.Set(resource.EndpointURL, map[string]proto.Message{assignments[i].ClusterName: assignments[i]})
		changes++
	}
	return changes, nil
}

// withChangedEndpoint returns a copy of an assignment in which an endpoint drains, or serves again.
func withChangedEndpoint(a *endpointv3.ClusterLoadAssignment, endpoint int) *endpointv3.ClusterLoadAssignment {
	changed := proto.CloneOf(a)
	e := changed.Endpoints[0].LbEndpoints[endpoint]
	if e.HealthStatus == corev3.HealthStatus_DRAINING {
		e.HealthStatus = corev3.HealthStatus_HEALTHY
	} else {
		e.HealthStatus = corev3.HealthStatus_DRAINING
	}
	return changed
}
