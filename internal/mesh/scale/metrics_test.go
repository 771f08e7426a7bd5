package scale

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// newTestMeasurement returns a measurement whose idle phase uses 0.1 cores a sidecar and 0.2 at the leader, and whose leases use more.
func newTestMeasurement(size int) Measurement {
	idle := Phase{Name: PhaseIdle, Seconds: 5, Events: 100, Roles: map[string]Load{
		RoleSidecar:  {Processor: 0.1, Received: map[string]float64{trafficRecords: 50 * float64(size)}},
		RoleLeader:   {Processor: 0.2, Sent: map[string]float64{trafficRaft: 100, trafficRecords: 7}},
		RoleFollower: {Processor: 0.1},
	}}
	leases := Phase{Name: PhaseLeases, Seconds: 5, Events: 1000, Roles: map[string]Load{
		RoleSidecar: {Processor: 0.3, Sent: map[string]float64{trafficCall: 10}, Received: map[string]float64{trafficReply: 20}},
		RoleLeader:  {Processor: 0.7, Sent: map[string]float64{trafficRaft: 700, trafficReply: 400, trafficRecords: 9000}},
	}}
	return Measurement{Size: size, Full: 10, Services: 3, Routes: 6, Phases: []Phase{idle, leases}}
}

// TestEventCostExcludesIdle shows that an event costs what a phase uses beyond the idle phase.
func TestEventCostExcludesIdle(t *testing.T) {
	m := newTestMeasurement(30)
	for name, want := range map[string]float64{
		leaderPerLease:      0.5 * 5 / 1000,
		sidecarPerLease:     0.2 * 5 / 100, // each of ten sidecars makes 100 of them
		leaderLeaseBytes:    (600 + 400) * 5.0 / 1000,
		sidecarLeaseBytes:   30 * 5.0 / 100,
		sidecarReceivedIdle: 1500,
	} {
		got, ok := metricNamed(name).of(m)
		assert.Assert(t, ok, name)
		assertNear(t, got, want, 1e-9)
	}
}

// TestPhasesLeftOutOfFits shows that phases that the machine limited, in which the leader changed, or with too many rejected events do not
// count.
func TestPhasesLeftOutOfFits(t *testing.T) {
	m := newTestMeasurement(30)
	m.Phases[1].Bound = "machine"
	_, ok := metricNamed(leaderPerLease).of(m)
	assert.Assert(t, !ok)
	m.Phases[1].Kept = true
	_, ok = metricNamed(leaderPerLease).of(m)
	assert.Assert(t, ok, "a trial keeps it")
	m.Phases[0].LeaderChanged = true
	_, ok = metricNamed(leaderPerLease).of(m)
	assert.Assert(t, !ok, "another member's idle is not this one's")
	m = newTestMeasurement(30)
	m.Phases[1].Rejected = 51
	_, ok = metricNamed(leaderPerLease).of(m)
	assert.Assert(t, !ok, "what was refused costs something else")
	m.Phases[1].Rejected = 50
	_, ok = metricNamed(leaderPerLease).of(m)
	assert.Assert(t, ok)
}

// TestGrowLeavesOutVariedMeasurements shows that growth with sidecars is not mixed with that with services and routes.
func TestGrowLeavesOutVariedMeasurements(t *testing.T) {
	varied := newTestMeasurement(30)
	varied.Varied, varied.Routes = true, 600
	r := Results{Experiment: Experiment{Services: 3}, Measurements: []Measurement{newTestMeasurement(30), newTestMeasurement(100), varied}}
	g := Grow(metricNamed(sidecarReceivedIdle), []Results{r})
	assert.Equal(t, len(g.Points), 2)
	assertNear(t, g.Fit.Exponent, 1, 1e-9)
}

// TestLargestSizes shows that a fit is made of the three largest sizes, with all their points.
func TestLargestSizes(t *testing.T) {
	l := []Point{{10, 1}, {30, 2}, {30, 3}, {100, 4}, {300, 5}, {300, 6}}
	assert.DeepEqual(t, largestSizes(l), l[1:])
	assert.DeepEqual(t, largestSizes(l[:3]), l[:3])
	assert.Equal(t, len(largestSizes(nil)), 0)
}

// TestMedianEstimate shows that one outlier does not change the estimate of a figure that does not grow.
func TestMedianEstimate(t *testing.T) {
	var all []Measurement
	for i, p := range []float64{0.2, 0.7, 0.8, 30} { // a leader's processor in claims, beside 0.2 idle
		m := newTestMeasurement(30 + i)
		m.Phases[1].Roles[RoleLeader] = Load{Processor: p}
		all = append(all, m)
	}
	b := basis{all: []Results{{Measurements: all}}}
	assertNear(t, b.median(leaderPerLease).value, 0.55*5/1000, 1e-9)
}

// TestReceivedIdleCountsRecordsSent shows that records count which a sidecar was sent and has not read, and that this is remarked on.
func TestReceivedIdleCountsRecordsSent(t *testing.T) {
	m := newTestMeasurement(30)
	m.Phases[0].RecordsSent = 2000 // of which it reads 1500
	got, _ := metricNamed(sidecarReceivedIdle).of(m)
	assertNear(t, got, 2000, 1e-9)
	m.Phases[1].RecordsSent, m.Phases[1].Roles[RoleSidecar].Received[trafficRecords] = 1000, 1000
	assertNear(t, m.unreadShare(), 500.0/3000, 1e-9)
	r := remarks(Results{Measurements: []Measurement{m}})
	assert.Equal(t, len(r), 1)
	assert.Assert(t, strings.Contains(r[0], "read 83 % of the records"), r[0])
	m.Phases[1].Roles[RoleSidecar].Received[trafficRecords] = 1500 // what came late in the phase before
	assert.Equal(t, len(remarks(Results{Measurements: []Measurement{m}})), 0)
}

// TestComparisonSumsAllMembers shows that the members of the control plane are compared together.
func TestComparisonSumsAllMembers(t *testing.T) {
	m := newTestMeasurement(3)
	m.Phases[0].Roles[RoleFollower] = Load{Processor: 0.1, Sent: map[string]float64{trafficRaft: 10}}
	m.Phases[1].Roles[RoleFollower] = Load{Processor: 0.4, Sent: map[string]float64{trafficRaft: 60}}
	c := Comparison{Count: 3, Members: 3, Real: m, Separate: m, Hollow: m}
	got := map[string]comparedFigure{}
	for _, figure := range c.figures() {
		got[figure.name] = figure
	}
	assertNear(t, got["control plane: processor, idle"].real, 0.2+2*0.1, 1e-9)
	assertNear(t, got["control plane: processor of a key lease"].hollow, (0.5+2*0.3)*5/1000, 1e-9)
	assertNear(t, got["control plane: bytes sent for a key lease"].separate, (600+400+2*50)*5.0/1000, 1e-9)
}
