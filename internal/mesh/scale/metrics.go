package scale

// Metric is one figure of a measurement whose growth with the number of sidecars is fitted.
type Metric struct {
	Name string // on the page
	Unit Unit
	of   figure
}

// Unit says how a figure is written.
type Unit string

// Units of figures.
const (
	BytesPerSecond Unit = "B/s"
	Bytes          Unit = "B"
	Cores          Unit = "cores"
	CoreSeconds    Unit = "core-s" // processor time of one event
	Milliseconds   Unit = "ms"
	Seconds        Unit = "s"
	Count          Unit = ""
)

// Names of the metrics.
const (
	sidecarReceivedIdle   = "sidecar: bytes received, idle"
	sidecarSentIdle       = "sidecar: bytes sent, idle"
	sidecarProcessorIdle  = "sidecar: processor, idle"
	sidecarHeap           = "sidecar: heap"
	sidecarPerHeartbeat   = "sidecar: processor of a heartbeat"
	sidecarPerChange      = "sidecar: processor of a change"
	sidecarChangeBytes    = "sidecar: bytes received for a change"
	sidecarPerRestart     = "sidecar: processor of a server's restart"
	sidecarRestartBytes   = "sidecar: bytes received for a server's restart"
	sidecarPerLease       = "sidecar: processor of a key lease of its own"
	sidecarLeaseBytes     = "sidecar: bytes sent and received for a key lease of its own"
	leaderProcessorIdle   = "leader: processor, idle"
	leaderPerLease        = "leader: processor of a key lease"
	leaderLeaseBytes      = "leader: bytes sent for a key lease"
	leaderPerChange       = "leader: processor of a change"
	leaderChangeBytes     = "leader: bytes sent for a change"
	leaderResident        = "leader: memory, idle"
	followerProcessorIdle = "follower: processor, idle"
	followerSentIdle      = "follower: bytes sent, idle"
	followerResident      = "follower: memory, idle"
	delayAcknowledged     = "change acknowledged, 99 in 100"
	delayInForce          = "change in force at the last sidecar after its acknowledgement, longest"
	delayGranted          = "key lease granted, 99 in 100"
	crashUntilKnown       = "server's crash until it is known everywhere"
	startOfAll            = "start of all sidecars at once"
	startOfOne            = "start of one sidecar more"
)

// costAt says over which sidecars the cost of an event is counted.
type costAt uint8

const (
	costAtEach   costAt = iota // of the sidecars, each of which takes part in every event
	costAtItsOwn               // the one sidecar that causes the event
)

// Metrics returns all metrics, in the order of the report.
func Metrics() []Metric {
	return append(sidecarMetrics(), append(memberMetrics(), delayMetrics()...)...)
}

func sidecarMetrics() []Metric {
	return []Metric{
		{sidecarReceivedIdle, BytesPerSecond, inPhase(PhaseIdle, receivedIdle)},
		{sidecarSentIdle, BytesPerSecond, inPhase(PhaseIdle, sentBy(RoleSidecar))},
		{sidecarProcessorIdle, Cores, processorIdle(RoleSidecar)},
		{sidecarHeap, Bytes, func(m Measurement) (float64, bool) { return float64(m.Heap), m.Heap > 0 }},
		{sidecarPerHeartbeat, CoreSeconds, processorPerHeartbeat},
		{sidecarPerChange, CoreSeconds, processorPerEvent(PhaseChanges, RoleSidecar, costAtEach)},
		{sidecarChangeBytes, Bytes, inPhase(PhaseChanges, func(p Phase) float64 {
			return p.Roles[RoleSidecar].Received[trafficItems] * p.Seconds / p.Events
		})},
		{sidecarPerRestart, CoreSeconds, processorPerEvent(PhaseRestarts, RoleSidecar, costAtEach)},
		{sidecarRestartBytes, Bytes, recordBytesPerRestart},
		{sidecarPerLease, CoreSeconds, processorPerEvent(PhaseLeases, RoleSidecar, costAtItsOwn)},
		{sidecarLeaseBytes, Bytes, bytesPerLease},
	}
}

func memberMetrics() []Metric {
	return []Metric{
		{leaderProcessorIdle, Cores, processorIdle(RoleLeader)},
		{leaderPerLease, CoreSeconds, processorPerEvent(PhaseLeases, RoleLeader, costAtEach)},
		{leaderLeaseBytes, Bytes, sentPerEvent(PhaseLeases, RoleLeader, trafficRaft, trafficReply)},
		{leaderPerChange, CoreSeconds, processorPerEvent(PhaseChanges, RoleLeader, costAtEach)},
		{leaderChangeBytes, Bytes, sentPerEvent(PhaseChanges, RoleLeader, trafficRaft, trafficItems)},
		{leaderResident, Bytes, resident(RoleLeader)},
		{followerProcessorIdle, Cores, processorIdle(RoleFollower)},
		{followerSentIdle, BytesPerSecond, inPhase(PhaseIdle, sentBy(RoleFollower))},
		{followerResident, Bytes, resident(RoleFollower)},
	}
}

func delayMetrics() []Metric {
	p99 := func(q Quantiles) float64 { return q.P99 }
	longest := func(q Quantiles) float64 { return q.Max }
	return []Metric{
		{delayAcknowledged, Milliseconds, delay(PhaseChanges, DelayAcknowledged, p99)},
		{delayInForce, Milliseconds, delay(PhaseChanges, DelayInForce, longest)},
		{delayGranted, Milliseconds, delay(PhaseLeases, DelayGranted, p99)},
		{crashUntilKnown, Seconds, func(m Measurement) (float64, bool) { return m.CrashS, m.CrashS > 0 }},
		{startOfAll, Seconds, func(m Measurement) (float64, bool) { return m.StartAllS, m.StartAllS > 0 && m.Failed == "" }},
		{startOfOne, Seconds, func(m Measurement) (float64, bool) { return m.StartOneS, m.StartOneS > 0 }},
	}
}

// metricNamed returns the metric with a name, which must be one of the names above.
func metricNamed(name string) Metric {
	for _, m := range Metrics() {
		if m.Name == name {
			return m
		}
	}
	panic("scale: no metric " + name)
}
