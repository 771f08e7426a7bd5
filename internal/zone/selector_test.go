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

// readyServers returns n ready servers of a zone.
func readyServers(zone string, n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: fmt.Sprint(zone, i), Locality: Locality{Zone: zone}, Ready: true})
	}
	return servers
}

// firstZone returns the zone for the first attempt of a request, or "-" if no zone is permitted.
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

// If excess load went to zones that are no faster, zones would displace each other's load in a ring.
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

// A zone whose servers refuse connections receives only a few probe calls in each step. After its recovery its load returns
// within seconds.
func TestUnhealthyZoneIsProbedAndRecovers(t *testing.T) {
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

// After all servers of a zone restart, its limit is reduced and rises over the slow start, so that load returns gradually.
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

// Two zones have failed, and the third has the capacity for one of them only. The limit keeps the third zone within its
// capacity; the decision module has to reject the rest.
func TestLimitProtectsTheOnlyRemainingZone(t *testing.T) {
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
			t.Fatal("no locality is chosen though a zone has servers")
		}
		if state := s.states[last]; state.hasRoom() { // the decision module would admit the call
			s.AttemptStarted(now, last)
			ends = append(ends, now+time.Duration(len(ends)+1)*time.Duration(random.Float64()*float64(10*ms)))
			if now > 10*time.Second {
				peak = max(peak, state.inFlight)
			}
		}
	}
	if peak > 60 {
		t.Errorf("a zone that is congested at 30 calls has %d in flight", peak)
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

// The empty result must not be nil: nil tells the decision module that zones are not in use.
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

// A server that moves to another zone counts there from then on. Its calls in flight still end in the former zone.
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
		t.Errorf("%d localities are tracked, want at most MaxZones+1", n)
	}
	if s.KnowsZone("made up") || !s.KnowsZone("z1") {
		t.Error("KnowsZone accepts a zone that does not exist, or rejects one that has servers")
	}
}
