package scale

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// measurement is one whose idle phase uses 0.1 cores a sidecar and 0.2 at the leader, and whose claims use more.
func measurement(size int) Measurement {
	idle := Phase{Name: PhaseIdle, Seconds: 5, Events: 100, Roles: map[string]Load{
		RoleSidecar:  {Processor: 0.1, Heard: map[string]float64{"records": 50 * float64(size)}},
		RoleLeader:   {Processor: 0.2, Said: map[string]float64{"core": 100, "records": 7}},
		RoleFollower: {Processor: 0.1},
	}}
	claims := Phase{Name: PhaseClaims, Seconds: 5, Events: 1000, Roles: map[string]Load{
		RoleSidecar: {Processor: 0.3, Said: map[string]float64{"ask": 10}, Heard: map[string]float64{"told": 20}},
		RoleLeader:  {Processor: 0.7, Said: map[string]float64{"core": 700, "told": 400, "records": 9000}},
	}}
	return Measurement{Size: size, Full: 10, Services: 3, Routes: 6, Phases: []Phase{idle, claims}}
}

func TestAnEventCostsWhatIsBeyondIdle(t *testing.T) {
	m := measurement(30)
	for name, want := range map[string]float64{
		leaderPerClaim:    0.5 * 5 / 1000,
		sidecarPerClaim:   0.2 * 5 / 100, // each of ten sidecars makes 100 of them
		leaderClaimBytes:  (600 + 400) * 5.0 / 1000,
		sidecarClaimBytes: 30 * 5.0 / 100,
		sidecarHeardIdle:  1500,
	} {
		got, ok := metricNamed(name).of(m)
		assert.Assert(t, ok, name)
		near(t, got, want, 1e-9)
	}
}

func TestWhatTheMachineLimitedIsLeftOut(t *testing.T) {
	m := measurement(30)
	m.Phases[1].Bound = "machine"
	_, ok := metricNamed(leaderPerClaim).of(m)
	assert.Assert(t, !ok)
	m.Phases[1].Kept = true
	_, ok = metricNamed(leaderPerClaim).of(m)
	assert.Assert(t, ok, "a trial keeps it")
	m.Phases[0].LeaderChanged = true
	_, ok = metricNamed(leaderPerClaim).of(m)
	assert.Assert(t, !ok, "another member's idle is not this one's")
	m = measurement(30)
	m.Phases[1].Refused = 51
	_, ok = metricNamed(leaderPerClaim).of(m)
	assert.Assert(t, !ok, "what was refused costs something else")
	m.Phases[1].Refused = 50
	_, ok = metricNamed(leaderPerClaim).of(m)
	assert.Assert(t, ok)
}

func TestVariedMeasurementsAreNoSizes(t *testing.T) {
	varied := measurement(30)
	varied.Varied, varied.Routes = true, 600
	r := Results{Experiment: Experiment{Services: 3}, Measurements: []Measurement{measurement(30), measurement(100), varied}}
	g := Grow(metricNamed(sidecarHeardIdle), []Results{r})
	assert.Equal(t, len(g.Points), 2)
	near(t, g.Fit.Exponent, 1, 1e-9)
}

func TestFitsAreOfTheLargestSizes(t *testing.T) {
	l := []Point{{10, 1}, {30, 2}, {30, 3}, {100, 4}, {300, 5}, {300, 6}}
	assert.DeepEqual(t, largestSizes(l), l[1:])
	assert.DeepEqual(t, largestSizes(l[:3]), l[:3])
	assert.Equal(t, len(largestSizes(nil)), 0)
}

func TestAFigureThatDoesNotGrowIsTheMedian(t *testing.T) {
	var all []Measurement
	for i, p := range []float64{0.2, 0.7, 0.8, 30} { // a leader's processor in claims, beside 0.2 idle
		m := measurement(30 + i)
		m.Phases[1].Roles[RoleLeader] = Load{Processor: p}
		all = append(all, m)
	}
	b := basis{all: []Results{{Measurements: all}}}
	y, _ := b.median(leaderPerClaim)
	near(t, y, 0.55*5/1000, 1e-9)
}

func TestWhatASidecarIsToldCountsAlsoWhereItLags(t *testing.T) {
	m := measurement(30)
	m.Phases[0].Told = 2000 // of which it reads 1500
	got, _ := metricNamed(sidecarHeardIdle).of(m)
	near(t, got, 2000, 1e-9)
	m.Phases[1].Told, m.Phases[1].Roles[RoleSidecar].Heard["records"] = 1000, 1000
	near(t, m.behind(), 500.0/3000, 1e-9)
	r := remarks(Results{Measurements: []Measurement{m}})
	assert.Equal(t, len(r), 1)
	assert.Assert(t, strings.Contains(r[0], "read 83 % of the records"), r[0])
	m.Phases[1].Roles[RoleSidecar].Heard["records"] = 1500 // what came late in the phase before
	assert.Equal(t, len(remarks(Results{Measurements: []Measurement{m}})), 0)
}

func TestAComparisonIsOfAllMembers(t *testing.T) {
	m := measurement(3)
	m.Phases[0].Roles[RoleFollower] = Load{Processor: 0.1, Said: map[string]float64{"core": 10}}
	m.Phases[1].Roles[RoleFollower] = Load{Processor: 0.4, Said: map[string]float64{"core": 60}}
	c := Comparison{Count: 3, Members: 3, Real: m, Alone: m, Hollow: m}
	got := map[string]compared{}
	for _, x := range comparedFigures(c) {
		got[x.name] = x
	}
	near(t, got["control plane: processor, idle"].real, 0.2+2*0.1, 1e-9)
	near(t, got["control plane: processor of a claim"].hollow, (0.5+2*0.3)*5/1000, 1e-9)
	near(t, got["control plane: bytes said of a claim"].alone, (600+400+2*50)*5.0/1000, 1e-9)
}
