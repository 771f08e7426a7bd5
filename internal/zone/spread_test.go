package zone

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegrade/balancer"
)

const ms = time.Millisecond

func free(string) bool { return true }

// servers are n ready ones of a zone.
func servers(zone string, n int) (l []Server) {
	for i := range n {
		l = append(l, Server{ID: fmt.Sprint(zone, i), Place: Place{Zone: zone}, Ready: true})
	}
	return l
}

func first(s *Spreader, now time.Duration, from string) string {
	if l := s.Choose(now, from, "", free); len(l) > 0 {
		return l[0].Zone
	}
	return "-"
}

func TestOrder(t *testing.T) {
	inf := math.Inf(1)
	for _, c := range []struct {
		name    string
		cfg     Config
		places  []Place
		from    string
		want    string
		without func(string) bool
	}{
		{"home first", Config{Home: "b"}, []Place{{Zone: "a"}, {Zone: "b"}}, "b", "[{b 0} {a 0}]", nil},
		{
			"by price",
			Config{Home: "a", Costs: map[Pair]Cost{{"a", "b"}: {Price: 2}, {"a", "c"}: {Price: 1}}},
			[]Place{{Zone: "a"}, {Zone: "b"}, {Zone: "c"}},
			"a", "[{a 0} {c 0} {b 0}]", nil,
		},
		{
			"a price of zero",
			Config{Home: "a", Costs: map[Pair]Cost{{"a", "b"}: {}, {"a", "c"}: {Price: 1}}, Default: Cost{Price: 5}},
			[]Place{{Zone: "b"}, {Zone: "c"}, {Zone: "d"}},
			"a", "[{b 0} {c 0} {d 0}]", nil,
		},
		{
			"a price of infinity",
			Config{Home: "a", Costs: map[Pair]Cost{{"a", "b"}: {Price: inf}}},
			[]Place{{Zone: "b"}, {Zone: "c"}},
			"a", "[{c 0}]", nil,
		},
		{
			"latency has a price",
			Config{Home: "a", Second: 10, Costs: map[Pair]Cost{{"a", "b"}: {Latency: time.Second}, {"a", "c"}: {Price: 9}}},
			[]Place{{Zone: "b"}, {Zone: "c"}},
			"a", "[{c 0} {b 0}]", nil,
		},
		{"priorities before cost", Config{Home: "a"}, []Place{{Zone: "a", Priority: 1}, {Zone: "b"}}, "a", "[{b 0} {a 1}]", nil},
		{"unknown last", Config{Home: "a", Default: Cost{Price: 1e9}}, []Place{{}, {Zone: "z"}}, "a", "[{z 0} { 0}]", nil},
		{"unknown never", Config{Home: "a", Unknown: Never}, []Place{{}, {Zone: "z"}}, "a", "[{z 0}]", nil},
		{"unknown as home", Config{Home: "a", Unknown: AsHome}, []Place{{}, {Zone: "z"}}, "a", "[{ 0} {z 0}]", nil},
	} {
		if got := fmt.Sprint(c.cfg.order(c.from, c.places)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Home keeps its load while it has room, and only what does not fit goes on, to where it is quicker.
func TestSpillIsTheExcess(t *testing.T) {
	s := NewSpreader(Config{Home: "a", Start: 2}, 1)
	s.Servers(0, true, append(servers("a", 5), servers("b", 5)...))
	for i := range 10 { // 2 calls a server
		if z := first(s, 0, "a"); z != "a" {
			t.Fatalf("call %d goes to %s", i, z)
		}
		s.Began(0, Place{Zone: "a"})
	}
	if z := first(s, 0, "a"); z != "b" {
		t.Errorf("what does not fit goes to %s", z)
	}
	s.Ended(ms, Place{Zone: "a"}, "", balancer.Success, ms)
	if z := first(s, ms, "a"); z != "a" {
		t.Errorf("with room again it goes to %s", z)
	}
}

// No better place elsewhere: a crowd at home stays there, or zones would displace each other's load in a ring.
func TestNoSpillToWhereItIsNoBetter(t *testing.T) {
	s := NewSpreader(Config{Home: "a", Start: 1}, 1)
	s.Servers(0, true, append(servers("a", 1), servers("b", 9)...))
	for _, z := range []string{"a", "b"} {
		s.Began(0, Place{Zone: z})
		s.Ended(100*ms, Place{Zone: z}, "", balancer.Success, 100*ms)
	}
	s.Began(100*ms, Place{Zone: "a"})
	if z := first(s, 100*ms, "a"); z != "b" && z != "a" {
		t.Fatal(z)
	} else if a := s.areas[Place{Zone: "b"}]; a.better(s.areas[Place{Zone: "a"}], "") {
		t.Error("an equal latency counts as better")
	}
}

// A zone whose servers refuse at once gets a few trials a step, and nothing else of the load.
func TestSickPlaceIsTried(t *testing.T) {
	s := NewSpreader(Config{Home: "a"}, 1)
	s.Servers(0, true, append(servers("a", 10), servers("b", 10)...))
	at := 0
	for now := time.Duration(0); now < 5*time.Second; now += ms {
		z := first(s, now, "a")
		p := Place{Zone: z}
		s.Began(now, p)
		if z == "a" {
			s.Ended(now, p, "", balancer.Unreachable, ms)
			if now > time.Second {
				at++
			}
		} else {
			s.Ended(now, p, "", balancer.Success, ms)
		}
	}
	if at == 0 || at > 100 {
		t.Errorf("%d of 4,000 requests were tried at a zone that refuses", at)
	}
	if !s.Out("a") || s.Out("b") {
		t.Error("the wrong zone is out")
	}
	// It heals, and has its load back within seconds.
	back := 0
	for now := 5 * time.Second; now < 15*time.Second; now += ms {
		z := first(s, now, "a")
		s.Began(now, Place{Zone: z})
		s.Ended(now, Place{Zone: z}, "", balancer.Success, ms)
		if now > 14*time.Second && z == "a" {
			back++
		}
	}
	if back < 900 {
		t.Errorf("after it healed it has %d of 1,000 requests", back)
	}
}

// Cold servers count by what they can do: after a deploy of a whole zone some of its load goes elsewhere, and comes
// back as they warm up.
func TestColdZone(t *testing.T) {
	s := NewSpreader(Config{Home: "a", Cold: 0.25, Warm: 10 * time.Second, Start: 4}, 1)
	l := append(servers("a", 4), servers("b", 4)...)
	for i := range 4 {
		l[i].Boot = time.Minute
	}
	s.Servers(time.Minute, true, l)
	limit := func(now time.Duration) float64 { s.Advance(now); return s.areas[Place{Zone: "a"}].limit() }
	cold, half, warm := limit(time.Minute), limit(time.Minute+5*time.Second), limit(time.Minute+11*time.Second)
	if math.Abs(cold-4) > 0.1 || math.Abs(half-10) > 0.3 || warm != 16 {
		t.Errorf("limits %v, %v and %v of 4 cold, half warm and warm servers at 4 calls each", cold, half, warm)
	}
}

// Two zones fail into a third that can take one: it is kept at what it takes, and the rest is the module's to refuse.
func TestTwoFailIntoOne(t *testing.T) {
	s := NewSpreader(Config{Home: "a"}, 1)
	s.Servers(0, true, servers("c", 10))
	c := Place{Zone: "c"}
	rng := rand.New(rand.NewPCG(1, 1))
	var ends []time.Duration
	most := 0
	for now := time.Duration(0); now < 20*time.Second; now += ms {
		for len(ends) > 0 && ends[0] <= now {
			took := time.Duration(len(ends)) * 10 * ms // the more are out, the longer
			s.Ended(now, c, "", balancer.Success, took)
			ends = ends[1:]
		}
		if l := s.Choose(now, "a", "", free); len(l) == 0 {
			t.Fatal("nowhere to go though a zone has servers")
		}
		if a := s.areas[c]; a.room() { // what the module would let in
			s.Began(now, c)
			ends = append(ends, now+time.Duration(len(ends)+1)*time.Duration(rng.Float64()*float64(10*ms)))
			if now > 10*time.Second {
				most = max(most, a.out)
			}
		}
	}
	if most > 60 {
		t.Errorf("a zone that is crowded at 30 calls has %d", most)
	}
}

func TestWeightsOfTheControlPlane(t *testing.T) {
	s := NewSpreader(Config{Home: "a", Start: 1e6}, 1)
	l := append(servers("a", 1), servers("b", 1)...)
	l[0].Weight, l[1].Weight = 1, 3
	s.Servers(0, true, l)
	n := 0
	for range 10000 {
		if first(s, 0, "a") == "b" {
			n++
		}
	}
	if n < 7300 || n > 7700 {
		t.Errorf("a zone with 3 of 4 weights gets %d of 10,000", n)
	}
}

func TestNowhere(t *testing.T) {
	s := NewSpreader(Config{Home: "a"}, 1)
	if l := s.Choose(0, "a", "", free); l == nil || len(l) != 0 {
		t.Errorf("without servers: %v", l)
	}
	s.Servers(0, true, servers("b", 3))
	if l := s.Choose(0, "a", "", func(string) bool { return false }); l == nil || len(l) != 0 {
		t.Errorf("beyond the budget: %v", l)
	}
}

// A server that the list moves to another zone counts there from then on; calls out at it end where they began.
func TestZoneChanges(t *testing.T) {
	s := NewSpreader(Config{Home: "a"}, 1)
	s.Servers(0, true, servers("a", 1))
	s.Began(0, Place{Zone: "a"})
	moved := servers("a", 1)
	moved[0].Place.Zone = "b"
	s.Servers(ms, false, moved)
	if z := first(s, ms, "a"); z != "b" {
		t.Errorf("goes to %q", z)
	}
	s.Ended(2*ms, Place{Zone: "a"}, "", balancer.Success, 2*ms)
	if a := s.areas[Place{Zone: "b"}]; a.out != 0 {
		t.Errorf("%d calls are out at the new zone", a.out)
	}
}

func TestBoundedZones(t *testing.T) {
	s := NewSpreader(Config{Home: "a"}, 1)
	var l []Server
	for i := range 10 * MaxZones {
		l = append(l, Server{ID: fmt.Sprint(i), Place: Place{Zone: fmt.Sprint("z", i)}, Ready: true})
	}
	s.Servers(0, true, l)
	if n := len(s.areas); n > MaxZones+1 {
		t.Errorf("%d zones are told apart", n)
	}
	if s.Knows("made up") || !s.Knows("z1") {
		t.Error("knows what is made up, or not what has servers")
	}
}

// TestSpreadProperty: whatever happens, calls are counted, limits change no faster than stated, what is chosen has
// servers, and no place is chosen beyond its limit while one before it in order has room.
func TestSpreadProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSpreader(Config{
			Home: "a", Nodes: rapid.IntRange(1, 4).Draw(t, "nodes"), Cold: 0.3, Warm: time.Second,
			Unknown: Unknown(rapid.IntRange(0, 2).Draw(t, "unknown")),
		}, 1)
		zone := rapid.SampledFrom([]string{"", "a", "b", "c"})
		now := time.Duration(0)
		type call struct{ p Place }
		var out []call
		n := map[Place]int{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				full := rapid.Bool().Draw(t, "full")
				var l []Server
				for range rapid.IntRange(0, 6).Draw(t, "n") {
					l = append(l, Server{
						ID: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")), Ready: rapid.Bool().Draw(t, "ready"),
						Place: Place{Zone: zone.Draw(t, "zone"), Priority: rapid.IntRange(0, 1).Draw(t, "priority")},
						Boot:  rapid.SampledFrom([]time.Duration{0, now}).Draw(t, "boot"), Size: float64(rapid.IntRange(0, 2).Draw(t, "size")),
						Weight: float64(rapid.IntRange(0, 1).Draw(t, "weight")),
					})
				}
				s.Servers(now, full, l)
			},
			"time": func(t *rapid.T) {
				before := map[Place]float64{}
				for p, a := range s.areas {
					before[p] = a.each
				}
				now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms
				s.Advance(now)
				for p, a := range s.areas {
					if was := before[p]; a.each < was*fallSick-1e-9 || a.each > max(was*riseHome, was+riseHome-1, leastEach) {
						t.Fatalf("%v changed from %v to %v in a step", p, was, a.each)
					}
				}
			},
			"call": func(t *rapid.T) {
				l := s.Choose(now, zone.Draw(t, "from"), "", free)
				if len(l) == 0 {
					return
				}
				a := s.areas[l[0]]
				if a == nil || len(a.hosts) == 0 {
					t.Fatalf("%v has no servers", l[0])
				}
				if !a.room() {
					for p, o := range s.areas {
						if len(o.hosts) > 0 && o.room() && !math.IsInf(s.cfg.cost("a", p.Zone), 1) && o.better(a, "") && p.Priority <= l[0].Priority && !s.weigh {
							t.Fatalf("%v is chosen beyond what it takes, though %v has room and is quicker", l[0], p)
						}
					}
				}
				s.Began(now, l[0])
				out = append(out, call{l[0]})
				n[l[0]]++
			},
			"end": func(t *rapid.T) {
				if len(out) == 0 {
					t.Skip("nothing out")
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				c := out[i]
				out = append(out[:i], out[i+1:]...)
				n[c.p]--
				s.Ended(now, c.p, "", balancer.Ending(rapid.IntRange(0, 7).Draw(t, "ending")), time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*ms)
			},
			"": func(t *rapid.T) {
				for p, a := range s.areas {
					if a.out != n[p] {
						t.Fatalf("%v has %d calls out, counted %d", p, n[p], a.out)
					}
					if a.each <= 0 || math.IsNaN(a.each) || a.units < 0 {
						t.Fatalf("%v: %+v", p, a)
					}
				}
				for _, v := range s.Views() {
					if v.Servers == 0 {
						t.Fatalf("%+v is no place", v)
					}
				}
			},
		})
	})
}

func TestPriorityLoads(t *testing.T) {
	for _, c := range []struct {
		levels []Health
		want   string
	}{ // the examples of Envoy's page on priority levels
		{[]Health{{100, 100}, {100, 100}}, "[1.00 0.00]"},
		{[]Health{{72, 100}, {72, 100}}, "[1.00 0.00]"},
		{[]Health{{71, 100}, {71, 100}}, "[0.99 0.01]"},
		{[]Health{{50, 100}, {50, 100}}, "[0.70 0.30]"},
		{[]Health{{25, 100}, {100, 100}}, "[0.35 0.65]"},
		{[]Health{{25, 100}, {25, 100}}, "[0.50 0.50]"},
		{[]Health{{0, 100}, {100, 100}}, "[0.00 1.00]"},
		{[]Health{{0, 100}, {0, 100}}, "[0.00 0.00]"},
		{[]Health{{0, 0}, {1, 1}}, "[0.00 1.00]"},
	} {
		if got := fmt.Sprintf("%.2f", PriorityLoads(c.levels, Overprovisioning)); got != c.want {
			t.Errorf("%v: %s, want %s", c.levels, got, c.want)
		}
	}
	if got := fmt.Sprintf("%.2f", LocalityLoads([]float64{1, 2}, []Health{{100, 100}, {50, 100}}, 1.4)); got != "[0.42 0.58]" {
		t.Errorf("locality weights 1 and 2, the second half healthy: %s", got)
	}
	if got := fmt.Sprintf("%.2f", ZoneAware(0, []float64{0.5, 0.3, 0.2}, []int{4, 4, 4})); got != "[0.67 0.07 0.27]" {
		t.Errorf("zone aware: %s", got)
	}
	if got := fmt.Sprint(ZoneAware(0, []float64{0, 0}, []int{1, 1})); got != "[0 0]" {
		t.Errorf("no load: %s", got)
	}
}
