package zone

import (
	"fmt"
	"testing"
)

// The examples from Envoy's documentation of priority levels, and levels without hosts.
func TestPriorityLoads(t *testing.T) {
	for _, c := range []struct {
		levels []HostCount
		want   string
	}{
		{[]HostCount{{100, 100}, {100, 100}}, "[1.00 0.00]"},
		{[]HostCount{{72, 100}, {72, 100}}, "[1.00 0.00]"},
		{[]HostCount{{71, 100}, {71, 100}}, "[0.99 0.01]"},
		{[]HostCount{{50, 100}, {50, 100}}, "[0.70 0.30]"},
		{[]HostCount{{25, 100}, {100, 100}}, "[0.35 0.65]"},
		{[]HostCount{{25, 100}, {25, 100}}, "[0.50 0.50]"},
		{[]HostCount{{0, 100}, {100, 100}}, "[0.00 1.00]"},
		{[]HostCount{{0, 100}, {0, 100}}, "[0.00 0.00]"},
		{[]HostCount{{0, 0}, {1, 1}}, "[0.00 1.00]"},
	} {
		if got := fmt.Sprintf("%.2f", PriorityLoads(c.levels, OverprovisioningFactor)); got != c.want {
			t.Errorf("%v: got %s, want %s", c.levels, got, c.want)
		}
	}
}

func TestLocalityLoads(t *testing.T) {
	hosts := []HostCount{{100, 100}, {50, 100}}
	if got := fmt.Sprintf("%.2f", LocalityLoads([]float64{1, 2}, hosts, 1.4)); got != "[0.42 0.58]" {
		t.Errorf("weights 1 and 2, half of the second locality's hosts healthy: %s", got)
	}
}

func TestAwareLoads(t *testing.T) {
	if got := fmt.Sprintf("%.2f", AwareLoads(0, []float64{0.5, 0.3, 0.2}, []int{4, 4, 4})); got != "[0.67 0.07 0.27]" {
		t.Errorf("half of the load with a third of the hosts: %s", got)
	}
	if got := fmt.Sprint(AwareLoads(0, []float64{0, 0}, []int{1, 1})); got != "[0 0]" {
		t.Errorf("no load: %s", got)
	}
}
