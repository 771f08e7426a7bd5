package zone

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranegrade/balancer"
)

// Step is how often what a place takes is reckoned anew, at the most.
const Step = 100 * time.Millisecond

// The bounds on how fast what is sent to a place may change, and what makes it. A rise by more than riseHome a step
// comes only from servers that join or warm up, a fall by more than fallSick only from servers that leave.
const (
	fallSick  = 0.7   // by a step in which most calls ended badly
	fallFull  = 0.9   // by one in which servers were crowded or turned calls away
	riseHome  = 1.05  // by one in which all that is let was used, and answered in good time
	riseAway  = 1.025 // the same for another zone: its own load must have time to show
	crowdHome = 0.4   // mean latency over the aim that is a crowd, at home
	crowdAway = 0.3   // and elsewhere: the zone's own load goes on where ours must not
	easeHome  = 0.3   // under which more is let
	easeAway  = 0.2
	used      = 0.8 // share of what is let that counts as all
	sickLoad  = 16  // what a call to a sick place counts where there is room nowhere
	sickShare = 0.5 // share of calls that end badly at which a place is sick,
	wellShare = 0.2 // and at which it is well again
	turnShare = 0.1 // share of calls turned away that is a crowd
	enough    = 8   // endings that tell something,
	patience  = 10  // or steps after which fewer do
	startAway = 0.2 // of what is let at home at the start, in other zones
	startEach = 5.0 // calls a server at the start
	mostEach  = 1000.0
	leastEach = 2.0  // what is let at the least, by all instances together, unless it is sick:
	leastSick = 0.02 // then it is let show that it is well
	margin    = 0.2  // of logs of latency, by which another place must be better than home
	paceMemo  = 0.02 // weight of an answer in the mean latency
)

// Spreader decides where requests go, place by place. Its owner tells it of the servers, of each attempt and of how
// it ended. Not safe for concurrent use.
type Spreader struct {
	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	next   time.Duration // when the next step ends
	areas  map[Place]*area
	places []Place            // of areas with servers
	orders map[string][]Place // by the zone that asks, made when needed
	hosts  map[string]host    // by id
	weigh  bool               // some place has a weight
	known  map[string]bool    // zones that Costs tells of
}

// host is a server as a Spreader needs it.
type host struct {
	place Place
	size  float64
	boot  time.Duration
}

// NewSpreader returns a Spreader that knows no servers.
func NewSpreader(cfg Config, seed uint64) *Spreader {
	cfg.Nodes = max(1, cfg.Nodes)
	if cfg.Start == 0 {
		cfg.Start = startEach
	}
	return &Spreader{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x20e5)), areas: map[Place]*area{},
		orders: map[string][]Place{}, hosts: map[string]host{},
	}
}

// Server is a server as the list tells it.
type Server struct {
	ID     string
	Place  Place
	Size   float64       // against others'; 0: as 1
	Boot   time.Duration // clock time of its last start; 0: long ago
	Ready  bool
	Weight float64 // of its zone among those of its priority, by the control plane; 0: not told
}

// Servers takes news of the servers: all of them if full, else those that changed.
func (s *Spreader) Servers(now time.Duration, full bool, l []Server) {
	s.Advance(now)
	touched := map[*area]bool{}
	leave := func(id string) {
		if h, is := s.hosts[id]; is {
			a := s.areas[h.place]
			delete(a.hosts, id)
			delete(s.hosts, id)
			touched[a] = true
		}
	}
	if full {
		for id := range s.hosts {
			leave(id)
		}
	}
	for _, x := range l {
		if leave(x.ID); !x.Ready {
			continue
		}
		a := s.area(x.Place)
		a.hosts[x.ID] = struct{}{}
		if a.weight = x.Weight; x.Weight > 0 {
			s.weigh = true
		}
		s.hosts[x.ID] = host{a.place, max(x.Size, 0), x.Boot}
		if x.Size == 0 {
			s.hosts[x.ID] = host{a.place, 1, x.Boot}
		}
		touched[a] = true
	}
	for a := range touched {
		s.count(a)
	}
	s.places = s.places[:0]
	for p, a := range s.areas {
		if len(a.hosts) > 0 {
			s.places = append(s.places, p)
		} else if a.out == 0 && len(s.areas) > MaxZones/2 {
			delete(s.areas, p) // else what was learned of it is kept for when it comes back
		}
	}
	slices.SortFunc(s.places, func(x, y Place) int { return compare(x, y) })
	clear(s.orders)
}

// area finds or makes the place's; beyond MaxZones those of no known zone.
func (s *Spreader) area(p Place) *area {
	if a := s.areas[p]; a != nil {
		return a
	}
	if len(s.areas) >= MaxZones && p.Zone != "" {
		return s.area(Place{Priority: p.Priority})
	}
	a := &area{
		place: p, hosts: map[string]struct{}{}, paces: map[string]*float64{},
		home: p.Zone == s.cfg.Home || p.Zone == "" && s.cfg.Unknown == AsHome,
	}
	a.each = s.cfg.Start / float64(s.cfg.Nodes)
	if !a.home {
		a.each *= startAway
	}
	s.areas[p] = a
	return a
}

// count adds up a place's servers, cold ones by what they can do now.
func (s *Spreader) count(a *area) {
	a.units = 0
	for id := range a.hosts {
		h := s.hosts[id]
		w := 1.0
		if age := s.now - h.boot; s.cfg.Cold > 0 && h.boot > 0 && age < s.cfg.Warm {
			w = s.cfg.Cold + (1-s.cfg.Cold)*max(0, float64(age)/float64(s.cfg.Warm))
		}
		a.units += w * h.size
	}
}

// Advance lets time pass: at most one step's change, however much has passed, since nothing was seen meanwhile.
func (s *Spreader) Advance(now time.Duration) {
	if s.now = max(s.now, now); s.now < s.next {
		return
	}
	s.next = s.now + Step
	for _, a := range s.areas {
		if s.cfg.Cold > 0 {
			s.count(a)
		}
		a.reckon(leastEach / float64(s.cfg.Nodes))
	}
}

// Began notes an attempt at a place, and Ended how it ended and how long it took. A place that has lost its last
// server meanwhile learns nothing.
func (s *Spreader) Began(now time.Duration, p Place) {
	s.Advance(now)
	if a := s.areas[p]; a != nil {
		a.out++
		a.began++
		a.peak = max(a.peak, a.out)
	}
}

// Ended notes the end of an attempt that Began told of.
func (s *Spreader) Ended(now time.Duration, p Place, class string, e balancer.Ending, took time.Duration) {
	s.Advance(now)
	a := s.areas[p]
	if a == nil {
		return
	}
	a.out = max(0, a.out-1)
	switch e {
	case balancer.Success:
		a.good++
		a.offs += a.pace(class, took) - math.Log(float64(s.aim(class)))
	case balancer.Overloaded:
		a.turned++
	case balancer.TimedOut, balancer.Broken, balancer.Unreachable, balancer.Failure:
		a.bad++
	}
}

// defaultAim is for classes of which no aim is told.
const defaultAim = time.Second

// maxClasses bounds the classes whose latency is told apart in a place.
const maxClasses = 64

// aim is within what a class wants its answers.
func (s *Spreader) aim(class string) time.Duration {
	if d := s.cfg.Aims[class]; d > 0 {
		return d
	}
	return defaultAim
}

// View is what a Spreader holds of a place, for reports.
type View struct {
	Place   Place
	Home    bool
	Servers int
	Units   float64 // of servers, cold ones by their share
	Limit   float64 // own calls that it gets at a time
	Out     int     // own calls there
	Sick    bool
}

// Views are the places in order of priority and name.
func (s *Spreader) Views() (l []View) {
	for _, p := range s.places {
		a := s.areas[p]
		l = append(l, View{p, a.home, len(a.hosts), a.units, a.limit(), a.out, a.sick})
	}
	return l
}

// Knows says that a zone is home, has servers, or is told of by the operator. Others that callers name are made up.
func (s *Spreader) Knows(zone string) bool {
	if zone == "" || zone == s.cfg.Home {
		return zone != ""
	}
	if s.known == nil {
		s.known = map[string]bool{}
		for p := range s.cfg.Costs {
			s.known[p.From], s.known[p.To] = true, true
		}
	}
	if s.known[zone] {
		return true
	}
	return slices.ContainsFunc(s.places, func(p Place) bool { return p.Zone == zone })
}
