package zone

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cranegrade/balancer"
)

const ms = time.Millisecond

func mayAlwaysCross(string) bool { return true }

func mayNeverCross(string) bool { return false }

// readyServers are n ready servers of a zone.
func readyServers(zone string, n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: fmt.Sprint(zone, i), Locality: Locality{Zone: zone}, Ready: true})
	}
	return servers
}

// firstZone is the zone that a request is sent to first; "-" if it may go nowhere.
func firstZone(s *Selector, now time.Duration, from string) string {
	if localities := s.Choose(now, from, "", mayAlwaysCross); len(localities) > 0 {
		return localities[0].Zone
	}
	return "-"
}

func TestSelectorSpillsOnlyTheExcess(t *testing.T) {
	s := NewSelector(Config{Home: "a", InitialLimit: 2}, 1)
	s.UpdateServers(0, true, append(readyServers("a", 5), readyServers("b", 5)...))
	for i := range 10 { // 2 calls for each of 5 servers
		if zone := firstZone(s, 0, "a"); zone != "a" {
			t.Fatalf("call %d goes to %s", i, zone)
		}
		s.AttemptStarted(0, Locality{Zone: "a"})
	}
	if zone := firstZone(s, 0, "a"); zone != "b" {
		t.Errorf("the excess goes to %s", zone)
	}
	s.AttemptEnded(ms, Locality{Zone: "a"}, "", balancer.Success, ms)
	if zone := firstZone(s, ms, "a"); zone != "a" {
		t.Errorf("once home has room again calls go to %s", zone)
	}
}

// Zones would displace each other's load in a ring if the excess went to zones that are no faster.
func TestEqualLatencyIsNotBetter(t *testing.T) {
	s := NewSelector(Config{Home: "a", InitialLimit: 1}, 1)
	s.UpdateServers(0, true, append(readyServers("a", 1), readyServers("b", 9)...))
	for _, zone := range []string{"a", "b"} {
		s.AttemptStarted(0, Locality{Zone: zone})
		s.AttemptEnded(100*ms, Locality{Zone: zone}, "", balancer.Success, 100*ms)
	}
	s.AttemptStarted(100*ms, Locality{Zone: "a"})
	if zone := firstZone(s, 100*ms, "a"); zone != "b" && zone != "a" {
		t.Fatalf("goes to %s", zone)
	}
	if other := s.states[Locality{Zone: "b"}]; other.betterThan(s.states[Locality{Zone: "a"}], "") {
		t.Error("an equal latency counts as better")
	}
}

// A zone whose servers refuse at once gets a few trial calls in each step and nothing else. When it recovers it gets its load back
// within seconds.
func TestUnhealthyZoneIsTriedAndRecovers(t *testing.T) {
	s := NewSelector(Config{Home: "a"}, 1)
	s.UpdateServers(0, true, append(readyServers("a", 10), readyServers("b", 10)...))
	tried := 0
	for now := time.Duration(0); now < 5*time.Second; now += ms {
		zone := firstZone(s, now, "a")
		locality := Locality{Zone: zone}
		s.AttemptStarted(now, locality)
		if zone == "a" {
			s.AttemptEnded(now, locality, "", balancer.Unreachable, ms)
			if now > time.Second {
				tried++
			}
		} else {
			s.AttemptEnded(now, locality, "", balancer.Success, ms)
		}
	}
	if tried == 0 || tried > 100 {
		t.Errorf("%d of 4,000 requests were sent to a zone that refuses", tried)
	}
	if !s.ZoneFailed("a") || s.ZoneFailed("b") {
		t.Error("the wrong zone counts as failed")
	}
	returned := 0
	for now := 5 * time.Second; now < 15*time.Second; now += ms {
		zone := firstZone(s, now, "a")
		s.AttemptStarted(now, Locality{Zone: zone})
		s.AttemptEnded(now, Locality{Zone: zone}, "", balancer.Success, ms)
		if now > 14*time.Second && zone == "a" {
			returned++
		}
	}
	if returned < 900 {
		t.Errorf("after the recovery %d of 1,000 requests stay at home", returned)
	}
}

// After a deployment of a whole zone some of its load goes elsewhere, and comes back as its servers warm up.
func TestLimitRisesWithSlowStart(t *testing.T) {
	s := NewSelector(Config{Home: "a", SlowStartShare: 0.25, SlowStartWindow: 10 * time.Second, InitialLimit: 4}, 1)
	servers := append(readyServers("a", 4), readyServers("b", 4)...)
	for i := range 4 {
		servers[i].StartedAt = time.Minute
	}
	s.UpdateServers(time.Minute, true, servers)
	limitAt := func(now time.Duration) float64 {
		s.Advance(now)
		return s.states[Locality{Zone: "a"}].limit()
	}
	started, half, warm := limitAt(time.Minute), limitAt(time.Minute+5*time.Second), limitAt(time.Minute+11*time.Second)
	if math.Abs(started-4) > 0.1 || math.Abs(half-10) > 0.3 || warm != 16 {
		t.Errorf("limits %v, %v and %v of 4 servers at 4 calls each: at their start, half through slow start, and after it", started, half, warm)
	}
}

// Two zones have failed into a third that has the capacity for one of them. It is kept at what it can take, and the rest is the
// decision module's to reject.
func TestLimitProtectsTheLastZone(t *testing.T) {
	s := NewSelector(Config{Home: "a"}, 1)
	s.UpdateServers(0, true, readyServers("c", 10))
	last := Locality{Zone: "c"}
	random := rand.New(rand.NewPCG(1, 1))
	var ends []time.Duration
	peak := 0
	for now := time.Duration(0); now < 20*time.Second; now += ms {
		for len(ends) > 0 && ends[0] <= now {
			took := time.Duration(len(ends)) * 10 * ms // rises with the calls in flight
			s.AttemptEnded(now, last, "", balancer.Success, took)
			ends = ends[1:]
		}
		if localities := s.Choose(now, "a", "", mayAlwaysCross); len(localities) == 0 {
			t.Fatal("nowhere to go though a zone has servers")
		}
		if state := s.states[last]; state.hasRoom() { // what the decision module would admit
			s.AttemptStarted(now, last)
			ends = append(ends, now+time.Duration(len(ends)+1)*time.Duration(random.Float64()*float64(10*ms)))
			if now > 10*time.Second {
				peak = max(peak, state.inFlight)
			}
		}
	}
	if peak > 60 {
		t.Errorf("a zone that is crowded at 30 calls has %d", peak)
	}
}

func TestLocalityWeightsDivideTheLoad(t *testing.T) {
	s := NewSelector(Config{Home: "a", InitialLimit: 1e6}, 1)
	servers := append(readyServers("a", 1), readyServers("b", 1)...)
	servers[0].LocalityWeight, servers[1].LocalityWeight = 1, 3
	s.UpdateServers(0, true, servers)
	away := 0
	for range 10000 {
		if firstZone(s, 0, "a") == "b" {
			away++
		}
	}
	if away < 7300 || away > 7700 {
		t.Errorf("a zone with 3 of 4 weights gets %d of 10,000 requests", away)
	}
}

// An empty result is not nil: to the decision module nil localities mean that zones are not told apart.
func TestChooseIsEmptyWithoutServersOrBudget(t *testing.T) {
	s := NewSelector(Config{Home: "a"}, 1)
	if localities := s.Choose(0, "a", "", mayAlwaysCross); localities == nil || len(localities) != 0 {
		t.Errorf("without servers: %v", localities)
	}
	s.UpdateServers(0, true, readyServers("b", 3))
	if localities := s.Choose(0, "a", "", mayNeverCross); localities == nil || len(localities) != 0 {
		t.Errorf("beyond the budget: %v", localities)
	}
}

// A server that the list moves to another zone counts there from then on. Calls in flight at it end where they began.
func TestServerMovesToAnotherZone(t *testing.T) {
	s := NewSelector(Config{Home: "a"}, 1)
	s.UpdateServers(0, true, readyServers("a", 1))
	s.AttemptStarted(0, Locality{Zone: "a"})
	moved := readyServers("a", 1)
	moved[0].Locality.Zone = "b"
	s.UpdateServers(ms, false, moved)
	if zone := firstZone(s, ms, "a"); zone != "b" {
		t.Errorf("goes to %q", zone)
	}
	s.AttemptEnded(2*ms, Locality{Zone: "a"}, "", balancer.Success, 2*ms)
	if state := s.states[Locality{Zone: "b"}]; state.inFlight != 0 {
		t.Errorf("%d calls are in flight at the new zone", state.inFlight)
	}
}

func TestNumberOfZonesIsBounded(t *testing.T) {
	s := NewSelector(Config{Home: "a"}, 1)
	var servers []Server
	for i := range 10 * MaxZones {
		servers = append(servers, Server{ID: fmt.Sprint(i), Locality: Locality{Zone: fmt.Sprint("z", i)}, Ready: true})
	}
	s.UpdateServers(0, true, servers)
	if n := len(s.states); n > MaxZones+1 {
		t.Errorf("%d zones are told apart", n)
	}
	if s.KnowsZone("made up") || !s.KnowsZone("z1") {
		t.Error("knows a zone that is made up, or not one that has servers")
	}
}
