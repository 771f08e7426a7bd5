package model

import (
	"fmt"
	"testing"
	"time"
)

// Compares the adaptive policy with spill-over by the number of healthy hosts, for each fault and 3 to 12 zones. The adaptive
// policy must be no worse, and better for a brownout, which the number of healthy hosts doesn't show. The load that it moves
// must not overload the other zones.
func TestAdaptivePolicyIsNoWorseThanHealthyHostCount(t *testing.T) {
	zones := []int{3, 5, 8, 12}
	if testing.Short() {
		zones = zones[:2]
	}
	for _, n := range zones {
		for _, fault := range []Fault{Outage, Brownout, PartialOutage, GradualReturn} {
			t.Run(fmt.Sprintf("%d zones, %v", n, fault), func(t *testing.T) {
				t.Parallel()
				comparePolicies(t, n, fault)
			})
		}
	}
}

// comparePolicies runs both policies with one fault.
func comparePolicies(t *testing.T, zones int, fault Fault) {
	t.Helper()
	config := DefaultConfig(zones, fault, uint64(zones))
	adaptive := Run(config, func(home int) Policy { return NewAdaptivePolicy(home, zones, 1) })
	counted := Run(config, func(home int) Policy { return NewHealthyHostsPolicy(home, 1) })
	logResult(t, zones, fault, "adaptive", adaptive)
	logResult(t, zones, fault, "by count", counted)
	if adaptive.InTarget < counted.InTarget-0.01 {
		t.Errorf("%.4f in target, by count %.4f", adaptive.InTarget, counted.InTarget)
	}
	if fault == Brownout && adaptive.InTarget < counted.InTarget+0.01 {
		t.Errorf("%.4f in target is no better than %.4f by count", adaptive.InTarget, counted.InTarget)
	}
	if adaptive.NeighborInTarget < 0.97 {
		t.Errorf("only %.4f of the other zones' own requests are in target", adaptive.NeighborInTarget)
	}
	if adaptive.Oscillations > 6 {
		t.Errorf("the share of load served at home changed direction %d times, want at most 6", adaptive.Oscillations)
	}
}

func logResult(t *testing.T, zones int, fault Fault, policy string, r Result) {
	t.Helper()
	t.Logf("%2d zones, %-14v %s: in target %.4f served %.4f p99 %4v crossed %.3f oscillations %d others in target %.4f", zones, fault, policy,
		r.InTarget, r.Served, r.P99.Round(time.Millisecond), r.CrossZoneShare, r.Oscillations, r.NeighborInTarget)
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	config := DefaultConfig(3, Outage, 7)
	config.Duration = 15 * time.Second
	run := func() Result {
		return Run(config, func(home int) Policy { return NewAdaptivePolicy(home, 3, 1) })
	}
	if first, second := run(), run(); first != second {
		t.Errorf("%+v and %+v", first, second)
	}
}
