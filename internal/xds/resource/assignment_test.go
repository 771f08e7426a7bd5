package resource

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func TestParseAssignment(t *testing.T) {
	first := withMetadata(lbEndpoint("127.0.0.1:80", statusDegraded), map[string]any{
		"uid":     "s-1",
		"cell":    3,
		"boot_ms": 1500,
	})
	first.LoadBalancingWeight = wrapperspb.UInt32(7)
	first.GetEndpoint().Hostname = "h"
	message := loadAssignment("c", localityEndpoints("z", 0, first, lbEndpoint("[::1]:81", statusUnknown)),
		&endpointv3.LocalityLbEndpoints{
			Locality:            &corev3.Locality{Region: "r", Zone: "z", SubZone: "q"},
			LoadBalancingWeight: wrapperspb.UInt32(3),
			LbEndpoints: []*endpointv3.LbEndpoint{
				withMetadata(lbEndpoint("10.0.0.1:1", statusHealthy), map[string]any{"boot_ms": "1700000000000"}),
			},
		})
	message.Policy = &endpointv3.ClusterLoadAssignment_Policy{
		OverprovisioningFactor: wrapperspb.UInt32(200),
		EndpointStaleAfter:     durationpb.New(time.Second),
		DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
			{Category: "a", DropPercentage: &typev3.FractionalPercent{Numerator: 50}},
			{Category: "b", DropPercentage: &typev3.FractionalPercent{Numerator: 500_000, Denominator: typev3.FractionalPercent_MILLION}},
		},
	}
	name, a, err := ParseAssignment(marshal(t, message), nil)
	if err != nil || name != "c" {
		t.Fatal(err)
	}
	if want := (Endpoint{
		ID:        "s-1",
		Addr:      "127.0.0.1:80",
		Zone:      "z",
		Locality:  Locality{Zone: "z"},
		Weight:    7,
		Health:    Degraded,
		Cell:      3,
		StartedAt: 1500 * time.Millisecond,
	}); a.Endpoints[0] != want {
		t.Errorf("%+v", a.Endpoints[0])
	}
	if e := a.Endpoints[1]; e.ID != "[::1]:81" || e.Weight != 1 || e.Health != Healthy {
		t.Errorf("%+v", e)
	}
	if e := a.Endpoints[2]; e.Zone != "r/z" || e.StartedAt != 1700000000*time.Second {
		t.Errorf("%+v", e)
	}
	if a.OverprovisioningFactor != 2 || a.dropShare() != 0.75 {
		t.Errorf("overprovisioning factor %v, drops %v", a.OverprovisioningFactor, a.dropShare())
	}
	want := []string{"endpoint.hostname", "endpoints.load_balancing_weight", "policy.endpoint_stale_after"}
	if !slices.Equal(a.IgnoredFields, want) {
		t.Errorf("ignored %v", a.IgnoredFields)
	}
}

func TestParseAssignmentRejects(t *testing.T) {
	of := func(e *endpointv3.LbEndpoint) *endpointv3.ClusterLoadAssignment {
		return loadAssignment("c", localityEndpoints("z", 0, e))
	}
	ofMetadata := func(field string, value any) *endpointv3.ClusterLoadAssignment {
		return of(withMetadata(lbEndpoint("127.0.0.1:1", statusHealthy), map[string]any{field: value}))
	}
	withPolicy := func(policy *endpointv3.ClusterLoadAssignment_Policy) *endpointv3.ClusterLoadAssignment {
		m := loadAssignment("c")
		m.Policy = policy
		return m
	}
	zeroWeight := lbEndpoint("127.0.0.1:1", statusHealthy)
	zeroWeight.LoadBalancingWeight = wrapperspb.UInt32(0)
	udp := lbEndpoint("127.0.0.1:1", statusHealthy)
	udp.GetEndpoint().GetAddress().GetSocketAddress().Protocol = corev3.SocketAddress_UDP
	hostName := lbEndpoint("127.0.0.1:1", statusHealthy)
	hostName.GetEndpoint().GetAddress().GetSocketAddress().Address = "host.test"
	leds := &endpointv3.LocalityLbEndpoints{LbConfig: &endpointv3.LocalityLbEndpoints_LedsClusterLocalityConfig{
		LedsClusterLocalityConfig: &endpointv3.LedsClusterLocalityConfig{},
	}}
	for want, m := range map[string]*endpointv3.ClusterLoadAssignment{
		"without a name":           loadAssignment(""),
		"without a socket address": of(&endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{}}}),
		"only named":               of(&endpointv3.LbEndpoint{HostIdentifier: &endpointv3.LbEndpoint_EndpointName{EndpointName: "x"}}),
		"no port":                  of(lbEndpoint("127.0.0.1:0", statusHealthy)),
		"no IP address":            of(hostName),
		"protocol UDP":             of(udp),
		"weight of 0":              of(zeroWeight),
		"health_status 99":         of(lbEndpoint("127.0.0.1:1", 99)),
		"metadata's uid":           ofMetadata("uid", ""),
		"metadata's cell":          ofMetadata("cell", 1.5),
		"metadata's boot_ms -1":    ofMetadata("boot_ms", -1),
		"boot_ms \"soon\"":         ofMetadata("boot_ms", "soon"),
		"\"colour\" is not known":  ofMetadata("colour", "red"),
		"address 127.0.0.1:1 stands there twice": loadAssignment("c",
			localityEndpoints("a", 0, lbEndpoint("127.0.0.1:1", statusHealthy)),
			localityEndpoints("b", 0, lbEndpoint("127.0.0.1:1", statusHealthy))),
		"uid \"u\" stands there twice": loadAssignment("c", localityEndpoints("a", 0,
			withMetadata(lbEndpoint("127.0.0.1:1", statusHealthy), map[string]any{"uid": "u"}),
			withMetadata(lbEndpoint("127.0.0.1:2", statusHealthy), map[string]any{"uid": "u"}))),
		"in priority 0 twice": loadAssignment("c", localityEndpoints("a", 0), localityEndpoints("a", 0)),
		"a gap at 0":          loadAssignment("c", localityEndpoints("a", 1, lbEndpoint("127.0.0.1:1", statusHealthy))),
		"priority 129":        loadAssignment("c", localityEndpoints("a", 129)),
		"factor of 0":         withPolicy(&endpointv3.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(0)}),
		"denominator 77": withPolicy(&endpointv3.ClusterLoadAssignment_Policy{
			DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
				{Category: "x", DropPercentage: &typev3.FractionalPercent{Numerator: 1, Denominator: 77}},
			},
		}),
		"LEDS": loadAssignment("c", leds),
	} {
		t.Run(want, func(t *testing.T) {
			if _, _, err := ParseAssignment(marshal(t, m), nil); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// What is taken over from the previous assignment equals what would be parsed.
func TestParseAssignmentReusesUnchangedEndpoints(t *testing.T) {
	healthy := func(addr string) *endpointv3.LbEndpoint { return lbEndpoint(addr, statusHealthy) }
	before := loadAssignment("c",
		localityEndpoints("a", 0, healthy("127.0.0.1:1"), healthy("127.0.0.1:2")), localityEndpoints("b", 1, healthy("127.0.0.1:3")))
	// The first endpoint has the same bytes in another locality; one has changed, one is gone, one is new.
	after := loadAssignment("c",
		localityEndpoints("b", 0, healthy("127.0.0.1:1"), lbEndpoint("127.0.0.1:2", statusDraining)),
		localityEndpoints("d", 1, healthy("127.0.0.1:4")))
	_, previous, err := ParseAssignment(marshal(t, before), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, got, err := ParseAssignment(marshal(t, after), previous)
	_, want, errWithout := ParseAssignment(marshal(t, after), nil)
	if err != nil || errWithout != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v, %v", got, err, want, errWithout)
	}
	if e := got.Endpoints[0]; e.Zone != "b" || previous.Endpoints[0].Zone != "a" {
		t.Errorf("zones %s and %s", e.Zone, previous.Endpoints[0].Zone)
	}
	raw := marshal(t, healthy("127.0.0.1:1"))
	if got.parsed[string(raw)] != previous.parsed[string(raw)] {
		t.Error("an unchanged endpoint was parsed again")
	}
}

// FuzzParseAssignment: what is accepted parses to the same with itself as the previous assignment, and
// makes a list in which every server is usable.
func FuzzParseAssignment(f *testing.F) {
	f.Add(marshal(f, loadAssignment("c", localityEndpoints("z", 0,
		withMetadata(lbEndpoint("127.0.0.1:80", statusDegraded), map[string]any{
			"uid":     "s-1",
			"cell":    3,
			"boot_ms": 1500,
		})))))
	f.Add(marshal(f, loadAssignment("c",
		localityEndpoints("a", 0, lbEndpoint("[::1]:1", statusTimeout), lbEndpoint("[::1]:2", statusDraining)),
		localityEndpoints("b", 1, lbEndpoint("[::1]:3", statusUnhealthy)))))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, a, err := ParseAssignment(text, nil)
		if err != nil {
			return
		}
		if _, again, err := ParseAssignment(text, a); err != nil || !reflect.DeepEqual(a, again) {
			t.Fatalf("with itself as the previous assignment: %+v, %v, not %+v", again, err, a)
		}
		var d Differ
		update, _ := d.Update(a)
		if update == nil || len(update.Servers) != len(a.Endpoints) || !(update.DropShare >= 0 && update.DropShare <= 1) {
			t.Fatalf("%+v becomes %+v", a, update)
		}
		for _, s := range update.Servers {
			if s.ID == "" || s.Addr == "" || !(s.Size > 0) || s.StartedAt < 0 {
				t.Fatalf("%+v", s)
			}
		}
	})
}

// BenchmarkAssignmentUpdate parses an assignment in which one of the endpoints changes, and makes the
// list update.
func BenchmarkAssignmentUpdate(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var endpoints []*endpointv3.LbEndpoint
			for i := range n {
				endpoints = append(endpoints, lbEndpoint(fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), statusHealthy))
			}
			texts := [2][]byte{marshal(b, loadAssignment("c", localityEndpoints("z", 0, endpoints...)))}
			endpoints[n/2].HealthStatus = statusDraining
			texts[1] = marshal(b, loadAssignment("c", localityEndpoints("z", 0, endpoints...)))
			var differ Differ
			var a *Assignment
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				var err error
				_, a, err = ParseAssignment(texts[i%2], a)
				if err != nil {
					b.Fatal(err)
				}
				if update, _ := differ.Update(a); i > 0 && len(update.Servers) != 1 {
					b.Fatalf("%d servers in the update", len(update.Servers))
				}
			}
		})
	}
}
