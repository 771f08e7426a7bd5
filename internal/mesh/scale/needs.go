package scale

import (
	"fmt"
	"math"
)

// Roles of needs.
const (
	needsOfSidecar = "sidecar"
	needsOfLeader  = "leader"
	needsOfMember  = "member" // of the control plane, with its share of the sidecars
	needsOfMesh    = "mesh"
)

// times returns the estimate of a figure that is a multiple of this one.
func (e estimate) times(factor float64, explanation string) estimate {
	return estimate{e.value * factor, e.factor, e.from + explanation}
}

// withoutError drops the fit's error, for needs that follow from more than the fit.
func (e estimate) withoutError() estimate {
	e.factor = math.NaN()
	return e
}

func newNeed(role, what string, unit Unit, e estimate, budget float64, assumed string) Need {
	return Need{
		Role:    role,
		What:    what,
		Unit:    unit,
		Value:   e.value,
		Factor:  e.factor,
		Budget:  budget,
		From:    e.from,
		Assumed: assumed,
	}
}

func (b *basis) sidecarNeeds() []Need {
	needs := b.sidecarTraffic()
	needs = append(needs, b.sidecarProcessor()...)
	needs = append(needs, b.sidecarLeases()...)
	return append(needs, b.sidecarMemory())
}

// sidecarTraffic is the bytes of a sidecar's control side.
func (b *basis) sidecarTraffic() []Need {
	const role = needsOfSidecar
	received, sent := b.extrapolate(sidecarReceivedIdle), b.extrapolate(sidecarSentIdle)
	changes := b.median(sidecarChangeBytes).times(targetChangesPS, fmt.Sprintf(" × %.2f changes a second", targetChangesPS))
	restarts := b.median(sidecarRestartBytes).times(targetRestartsPS, fmt.Sprintf(" × %.3f a second", targetRestartsPS))
	return []Need{
		newNeed(role, "bytes received with no event: records of all others", BytesPerSecond, received, budgetBytes, ""),
		newNeed(role, "bytes sent with no event", BytesPerSecond, sent, budgetBytes, ""),
		newNeed(role, "bytes of changes, every one to every node", BytesPerSecond, changes, budgetBytes, ""),
		newNeed(role, "bytes of restarts of servers", BytesPerSecond, restarts, budgetBytes, ""),
	}
}

// sidecarProcessor is the processor time of a sidecar's control side.
func (b *basis) sidecarProcessor() []Need {
	const role = needsOfSidecar
	idle := b.extrapolate(sidecarProcessorIdle)
	service := b.varied(sidecarProcessorIdle, byService)
	services := estimate{service.slope * targetServices, math.NaN(), service.from + fmt.Sprintf(" × %d", targetServices)}
	most := b.maxServices()
	together := estimate{
		idle.value * targetServices / most, math.NaN(),
		fmt.Sprintf("the row of no event × %d / %.0f services", targetServices, most),
	}
	route := b.varied(sidecarPerChange, byRoute)
	changes := estimate{
		(route.intercept + route.slope*assumedRoutes) * targetChangesPS, math.NaN(),
		route.from + fmt.Sprintf(" × %d routes × %.2f changes a second", assumedRoutes, targetChangesPS),
	}
	heartbeat := b.median(sidecarPerHeartbeat)
	heartbeats := estimate{
		heartbeat.value / assumedHeartbeat, math.NaN(), heartbeat.from + fmt.Sprintf(", every %.1f s", assumedHeartbeat),
	}
	const ofServices = "processor of services with as few sidecars as were measured: an engine for each, and its list at each record"
	return []Need{
		newNeed(role, "processor with no event: merging all records", Cores, idle, budgetProcessor, ""),
		newNeed(role, ofServices, Cores, services, budgetProcessor, ""),
		newNeed(role, "processor with no event, sidecars and services together", Cores, together, budgetProcessor, "that the two multiply"),
		newNeed(role, "processor of changes: a routing table of all routes for each", Cores, changes, budgetProcessor, "routes"),
		newNeed(role, "processor of its server's heartbeats", Cores, heartbeats, budgetProcessor, "period"),
	}
}

// sidecarLeases is what a sidecar's own key leases cost it.
func (b *basis) sidecarLeases() []Need {
	const role, assumed, rate = needsOfSidecar, "share of keyed calls", leasesPerSecond / targetNodes
	explanation := fmt.Sprintf(" × %.1f key leases a second", rate)
	processorTime := b.median(sidecarPerLease).times(rate, explanation)
	traffic := b.median(sidecarLeaseBytes).times(rate, explanation)
	return []Need{
		newNeed(role, "processor of its own key leases", Cores, processorTime, budgetProcessor, assumed),
		newNeed(role, "bytes of its own key leases", BytesPerSecond, traffic, budgetBytes, assumed),
	}
}

// sidecarMemory is the memory of a sidecar: for each sidecar that it knows, each service and each route.
func (b *basis) sidecarMemory() Need {
	peer, ok := FitLine(Grow(metricNamed(sidecarHeap), b.all).Points)
	if !ok {
		b.unmeasured(sidecarHeap)
	}
	service, route := b.varied(sidecarHeap, byService), b.varied(sidecarHeap, byRoute)
	heap := max(0, peer.At(targetNodes)) + service.slope*targetServices + route.slope*assumedRoutes
	from := fmt.Sprintf("heap of %s a sidecar known, %s a service, %s a route; × %.1f, and %s of the process", format(peer.Slope, Bytes),
		format(service.slope, Bytes), format(route.slope, Bytes), assumedGarbage, format(codeSidecarBase, Bytes))
	memory := estimate{codeSidecarBase + assumedGarbage*heap, math.NaN(), from}
	return newNeed(needsOfSidecar, "memory: directory, services, routes", Bytes, memory, budgetMemory, "routes, share of garbage, process")
}

func (b *basis) leaderNeeds() []Need {
	const role = needsOfLeader
	rate := fmt.Sprintf(" × %.0f a second", leasesPerSecond)
	leases := b.median(leaderPerLease).times(leasesPerSecond, rate)
	traffic := b.median(leaderLeaseBytes).times(leasesPerSecond, rate)
	keys := estimate{
		leasesPerSecond * assumedKeyWindow, math.NaN(), fmt.Sprintf("%.0f key leases a second × %.0f s", leasesPerSecond, assumedKeyWindow),
	}
	changes := b.extrapolate(leaderPerChange).times(targetChangesPS, fmt.Sprintf(" × %.2f a second", targetChangesPS))
	const ofLeases = "processor of key leases, all at one leader"
	return []Need{
		newNeed(role, ofLeases, Cores, leases, assumedMemberCores, "share of keyed calls; cores of a machine"),
		newNeed(role, "bytes sent for key leases", BytesPerSecond, traffic, assumedMemberLink, "share of keyed calls; link of a machine"),
		newNeed(role, "keys leased, of which the code bounds the number", Count, keys, codeMaxLeases, "all"),
		newNeed(role, "processor of changes", Cores, changes, assumedMemberCores, "cores of a machine"),
	}
}

// memberNeeds are those of a control-plane member that serves its share of the sidecars. The records that it sends grow with the product
// of all sidecars and those that it serves, so its processor time is worked out for each record sent.
func (b *basis) memberNeeds() (needs []Need) {
	const role = needsOfMember
	received, record := b.extrapolate(sidecarReceivedIdle).withoutError(), b.processorPerRecord()
	for _, members := range []float64{codeServingMembers, targetMachines} {
		sidecars := targetNodes / members
		with := fmt.Sprintf("with %.0f members of %.0f sidecars each", members, sidecars)
		records := targetNodes / codeRecordRefresh * sidecars
		traffic := received.times(sidecars, fmt.Sprintf(" × %.0f", sidecars))
		processorTime := record.times(records, fmt.Sprintf(" × %.3g records a second", records))
		needs = append(needs,
			newNeed(role, "bytes sent with no event, "+with, BytesPerSecond, traffic, assumedMemberLink, "link of a machine"),
			newNeed(role, "processor with no event, "+with, Cores, processorTime, assumedMemberCores, "cores of a machine"))
	}
	fit, ok := FitLine(Grow(metricNamed(followerResident), b.all).Points)
	if !ok {
		b.unmeasured(followerResident)
	}
	memory := estimate{
		fit.At(targetNodes), math.NaN(),
		fmt.Sprintf("%s a sidecar of the mesh, with a third of them connected here", format(fit.Slope, Bytes)),
	}
	return append(needs, newNeed(role, "memory, with no keys", Bytes, memory, assumedMemberMemory, "memory of a machine"))
}

// processorPerRecord returns a follower's processor time for each record that it sends to one sidecar, by the line through the points of
// all sizes: records per second against processor.
func (b *basis) processorPerRecord() estimate {
	var points []Point
	for _, r := range b.all {
		for _, m := range r.Measurements {
			if value, ok := metricNamed(followerProcessorIdle).of(m); ok && !m.Varied {
				size := float64(m.Size)
				points = append(points, Point{size / codeRecordRefresh * size / float64(r.Experiment.Members), value})
			}
		}
	}
	fit, ok := FitLine(points)
	if !ok {
		return b.unmeasured(followerProcessorIdle)
	}
	return estimate{max(0, fit.Slope), math.NaN(), fmt.Sprintf("%s, %s a record", followerProcessorIdle, format(fit.Slope, CoreSeconds))}
}

func (b *basis) delayNeeds() []Need {
	const role = needsOfMesh
	const keyedCall, keyedCallAssumed = "a keyed call's wait for its key lease, 99 in 100, on loopback", "that the whole budget is the lease's"
	inForce := b.extrapolate(delayInForce)
	inForce.value /= 1000 // the metric is in milliseconds
	granted, out, start := b.median(delayGranted), b.median(crashUntilKnown), b.extrapolate(startOfAll)
	out.from += ", at the runs' heartbeat; three heartbeats and 0.5 s of it are the code's"
	return []Need{
		newNeed(role, "change in force everywhere, longest", Seconds, inForce, budgetInForce, ""),
		newNeed(role, keyedCall, Milliseconds, granted, budgetAdded, keyedCallAssumed),
		newNeed(role, "a crashed server known everywhere", Seconds, out, 0, ""),
		newNeed(role, "start of all at once", Seconds, start, 0, ""),
	}
}
