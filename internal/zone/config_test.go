package zone

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestOrderOfLocalities(t *testing.T) {
	for _, c := range []struct {
		name       string
		config     Config
		localities []Locality
		want       string
	}{
		{"the home zone first", Config{Home: "b"}, []Locality{{Zone: "a"}, {Zone: "b"}}, "[{b 0} {a 0}]"},
		{
			"by price",
			Config{Home: "a", Costs: map[Pair]Cost{{"a", "b"}: {Price: 2}, {"a", "c"}: {Price: 1}}},
			[]Locality{{Zone: "a"}, {Zone: "b"}, {Zone: "c"}},
			"[{a 0} {c 0} {b 0}]",
		},
		{
			"a price of zero is not the default",
			Config{Home: "a", Costs: map[Pair]Cost{{"a", "b"}: {}, {"a", "c"}: {Price: 1}}, DefaultCost: Cost{Price: 5}},
			[]Locality{{Zone: "b"}, {Zone: "c"}, {Zone: "d"}},
			"[{b 0} {c 0} {d 0}]",
		},
		{
			"an infinite price excludes",
			Config{Home: "a", Costs: map[Pair]Cost{{"a", "b"}: {Price: math.Inf(1)}}},
			[]Locality{{Zone: "b"}, {Zone: "c"}},
			"[{c 0}]",
		},
		{
			"latency has a price",
			Config{Home: "a", LatencyWeight: 10, Costs: map[Pair]Cost{{"a", "b"}: {Latency: time.Second}, {"a", "c"}: {Price: 9}}},
			[]Locality{{Zone: "b"}, {Zone: "c"}},
			"[{c 0} {b 0}]",
		},
		{"priority before cost", Config{Home: "a"}, []Locality{{Zone: "a", Priority: 1}, {Zone: "b"}}, "[{b 0} {a 1}]"},
		{"unknown zone last", Config{Home: "a", DefaultCost: Cost{Price: 1e9}}, []Locality{{}, {Zone: "z"}}, "[{z 0} { 0}]"},
		{"unknown zone never", Config{Home: "a", UnknownZones: UnknownZoneNever}, []Locality{{}, {Zone: "z"}}, "[{z 0}]"},
		{"unknown zone as home", Config{Home: "a", UnknownZones: UnknownZoneAsHome}, []Locality{{}, {Zone: "z"}}, "[{ 0} {z 0}]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := fmt.Sprint(c.config.order(c.config.Home, c.localities)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestUnknownZonePolicyNames(t *testing.T) {
	for policy, want := range map[UnknownZonePolicy]string{
		UnknownZoneLast: "last", UnknownZoneAsHome: "home", UnknownZoneNever: "never", UnknownZonePolicy(9): "invalid",
	} {
		if got := policy.String(); got != want {
			t.Errorf("policy %d has the name %q, want %q", int(policy), got, want)
		}
	}
}
