package zone

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegrade/balancer"
)

// selectorMachine drives a Selector with random events, and independently counts calls.
type selectorMachine struct {
	selector *Selector
	zones    *rapid.Generator[string]
	now      time.Duration
	calls    []Locality // in flight
	counts   map[Locality]int
}

// For any sequence of events: calls are counted correctly, limits change no faster than documented, and a chosen locality has
// servers and is not beyond its limit while a better locality has room.
func TestSelectorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &selectorMachine{
			selector: NewSelector(Config{
				Home: "a", Nodes: rapid.IntRange(1, 4).Draw(t, "nodes"), SlowStartShare: 0.3, SlowStartWindow: time.Second,
				UnknownZones: UnknownZonePolicy(rapid.IntRange(0, 2).Draw(t, "unknown")),
			}, 1),
			zones:  rapid.SampledFrom([]string{"", "a", "b", "c"}),
			counts: map[Locality]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": m.updateServers, "time": m.passTime, "call": m.startCall, "end": m.endCall, "": m.check,
		})
	})
}

func (m *selectorMachine) updateServers(t *rapid.T) {
	full := rapid.Bool().Draw(t, "full")
	var servers []Server
	for range rapid.IntRange(0, 6).Draw(t, "n") {
		servers = append(servers, Server{
			ID: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")), Ready: rapid.Bool().Draw(t, "ready"),
			Locality:  Locality{Zone: m.zones.Draw(t, "zone"), Priority: rapid.IntRange(0, 1).Draw(t, "priority")},
			StartedAt: rapid.SampledFrom([]time.Duration{0, m.now}).Draw(t, "boot"), Size: float64(rapid.IntRange(0, 2).Draw(t, "size")),
			LocalityWeight: float64(rapid.IntRange(0, 1).Draw(t, "weight")),
		})
	}
	m.selector.UpdateServers(m.now, full, servers)
}

func (m *selectorMachine) passTime(t *rapid.T) {
	before := map[Locality]float64{}
	for locality, state := range m.selector.states {
		before[locality] = state.callsPerUnit
	}
	m.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms
	m.selector.Advance(m.now)
	for locality, state := range m.selector.states {
		was, increase := before[locality], homeTuning.increase
		if state.callsPerUnit < was*unhealthyDecrease-1e-9 || state.callsPerUnit > max(was*increase, was+increase-1, minCallsPerUnit) {
			t.Fatalf("%v changed from %v to %v in a step", locality, was, state.callsPerUnit)
		}
	}
}

func (m *selectorMachine) startCall(t *rapid.T) {
	s := m.selector
	localities := s.Choose(m.now, m.zones.Draw(t, "from"), "", mayAlwaysCross)
	if len(localities) == 0 {
		return
	}
	first := localities[0]
	chosen := s.states[first]
	if chosen == nil || len(chosen.servers) == 0 {
		t.Fatalf("%v has no servers", first)
	}
	if !chosen.hasRoom() {
		for locality, other := range s.states {
			usable := len(other.servers) > 0 && other.hasRoom() && !math.IsInf(s.config.cost("a", locality.Zone), 1)
			if usable && other.betterThan(chosen, "") && locality.Priority <= first.Priority && !s.weighted {
				t.Fatalf("%v is chosen beyond its limit, though %v has room and is faster", first, locality)
			}
		}
	}
	s.AttemptStarted(m.now, first)
	m.calls = append(m.calls, first)
	m.counts[first]++
}

func (m *selectorMachine) endCall(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no calls are in flight")
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(t, "which")
	locality := m.calls[i]
	m.calls = append(m.calls[:i], m.calls[i+1:]...)
	m.counts[locality]--
	ending := balancer.Ending(rapid.IntRange(0, 7).Draw(t, "ending"))
	m.selector.AttemptEnded(m.now, locality, "", ending, time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*ms)
}

func (m *selectorMachine) check(t *rapid.T) {
	for locality, state := range m.selector.states {
		if state.inFlight != m.counts[locality] {
			t.Fatalf("%v has %d calls in flight, counted %d", locality, state.inFlight, m.counts[locality])
		}
		if state.callsPerUnit <= 0 || math.IsNaN(state.callsPerUnit) || state.capacity < 0 {
			t.Fatalf("%v: %+v", locality, state)
		}
	}
	for _, status := range m.selector.Localities() {
		if status.Servers == 0 {
			t.Fatalf("%+v has no servers", status)
		}
	}
}
