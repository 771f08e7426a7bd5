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

// area is what is known of a place.
type area struct {
	place  Place
	home   bool
	hosts  map[string]struct{}
	weight float64 // the control plane's; 0: none
	units  float64 // of servers, cold ones by their share
	each   float64 // own calls that one unit takes
	out    int     // own calls there

	// Since each was last reckoned:
	peak, good, bad, turned, began int
	offs                           float64 // sum of logs of latency over the aim
	steps                          int
	sick, shaky                    bool                // most calls end badly; some do, or are turned away
	paces                          map[string]*float64 // mean log of latency, by class
}

// NewSpreader returns a Spreader that knows no servers.
func NewSpreader(cfg Config, seed uint64) *Spreader {
	cfg.Nodes = max(1, cfg.Nodes)
	if cfg.Start == 0 {
		cfg.Start = startEach
	}
	return &Spreader{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x20e5)), areas: map[Place]*area{},
		orders: map[string][]Place{}, hosts: map[string]host{}}
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

func compare(x, y Place) int {
	switch {
	case x.Priority != y.Priority:
		return x.Priority - y.Priority
	case x.Zone < y.Zone:
		return -1
	case x.Zone > y.Zone:
		return 1
	}
	return 0
}

// area finds or makes the place's; beyond MaxZones those of no known zone.
func (s *Spreader) area(p Place) *area {
	if a := s.areas[p]; a != nil {
		return a
	}
	if len(s.areas) >= MaxZones && p.Zone != "" {
		return s.area(Place{Priority: p.Priority})
	}
	a := &area{place: p, hosts: map[string]struct{}{}, paces: map[string]*float64{},
		home: p.Zone == s.cfg.Home || p.Zone == "" && s.cfg.Unknown == AsHome}
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

// limit is how many own calls a place gets at a time; one at the least while it has servers at all.
func (a *area) limit() float64 {
	if len(a.hosts) == 0 {
		return 0
	}
	return max(1, a.each*a.units)
}

// room says that a place may have one more call. A sick one gets a few a step, to see whether it is well again:
// calls that fail at once leave it idle, and it would have every request's first attempt.
func (a *area) room() bool {
	return float64(a.out) < a.limit() && (!a.sick || float64(a.began) < max(1, a.limit()/2))
}

// better says that a call in a place is answered sooner than in another one, by a margin, or that this can't be told.
// Without it zones crowd each other out: what one sends to the next displaces that one's own load to a third, and in
// the end all of it is away from home, at places no better than that.
func (a *area) better(than *area, class string) bool {
	p, q := a.paces[class], than.paces[class]
	return than.sick || p == nil || q == nil || *p < *q-margin
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

// reckon adapts what a place gets to what became of its calls.
func (a *area) reckon(least float64) {
	a.steps++
	ended := a.good + a.bad + a.turned
	if ended == 0 || ended < enough && a.steps < patience {
		a.began = 0
		return
	}
	share := func(n int) float64 { return float64(n) / float64(ended) }
	crowd, ease, rise := crowdAway, easeAway, riseAway
	if a.home {
		crowd, ease, rise = crowdHome, easeHome, riseHome
	}
	off := 0.0
	if a.good > 0 {
		off = a.offs / float64(a.good)
	}
	a.shaky = a.bad+a.turned > 0
	if a.sick = share(a.bad) > sickShare || a.sick && share(a.bad) > wellShare; a.sick {
		a.each, least = a.each*fallSick, leastSick*least
	} else if off > math.Log(crowd) || share(a.turned) > turnShare {
		a.each *= fallFull
	} else if off < math.Log(ease) && float64(a.peak) >= used*a.limit() {
		a.each = max(a.each*rise, a.each+(rise-1)/max(1, a.units))
	}
	a.each = min(mostEach, max(a.each, least))
	a.peak, a.good, a.bad, a.turned, a.began, a.offs, a.steps = a.out, 0, 0, 0, 0, 0, 0
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

// pace takes a latency into the mean of its class, and gives that. Single answers say little: work varies.
func (a *area) pace(class string, took time.Duration) float64 {
	if a.paces[class] == nil && len(a.paces) >= maxClasses {
		class = ""
	}
	x := math.Log(max(float64(took), float64(time.Microsecond)))
	p := a.paces[class]
	if p == nil {
		p = &x
		a.paces[class] = p
	}
	*p += paceMemo * (x - *p)
	return *p
}

// aim is within what a class wants its answers.
func (s *Spreader) aim(class string) time.Duration {
	if d := s.cfg.Aims[class]; d > 0 {
		return d
	}
	return defaultAim
}

// Choose says where a request of a zone goes: places in order, the first for its first attempt and the others should
// that have no server for it. may says whether the budget lets it cross to a zone; it is asked once a zone at the
// most. Empty: nowhere, for every place that has servers is beyond the budget or the price.
func (s *Spreader) Choose(now time.Duration, from, class string, may func(to string) bool) []Place {
	s.Advance(now)
	order := s.orderOf(from)
	if len(order) == 0 {
		return []Place{}
	}
	first := -1
	allowed := make([]int8, len(order)) // 1: it may, 2: it may not
	ok := func(i int) bool {
		if allowed[i] == 0 {
			allowed[i] = 2
			if order[i].Zone == from || may(order[i].Zone) {
				allowed[i] = 1
			}
		}
		return allowed[i] == 1
	}
	for i := 0; i < len(order) && first < 0; i++ {
		if a := s.areas[order[i]]; a.room() && (i == 0 || a.better(s.areas[order[0]], class)) && ok(i) {
			first = i
		}
	}
	if first < 0 {
		// Nowhere is room: the place that is least over what it takes, and whether it is held or turned away
		// there is the decision module's. At equal loads the first in order.
		least := math.Inf(1)
		for i, p := range order {
			a := s.areas[p]
			load := float64(a.out+1) / a.limit()
			if a.sick {
				load *= sickLoad
			}
			if load < least*(1-margin) && ok(i) {
				first, least = i, load
			}
		}
	}
	if first < 0 {
		return []Place{}
	}
	l := []Place{order[first]}
	if a := s.areas[order[first]]; len(a.hosts) > 1 && !a.shaky && a.bad+a.turned == 0 {
		return l
	}
	for i, p := range order {
		// One alternative, and only where it may be needed: it costs a reservation of the budget until the request
		// has ended.
		if i != first && !s.areas[p].sick && ok(i) {
			return append(l, p)
		}
	}
	return l
}

// orderOf is the order in which a zone's load takes the places. Where the control plane gives weights to the zones
// of a priority, they are taken in an order drawn by these, as it means, and not by cost.
func (s *Spreader) orderOf(from string) []Place {
	l, known := s.orders[from]
	if !known {
		if len(s.orders) >= MaxZones {
			clear(s.orders)
		}
		l = s.cfg.order(from, s.places)
		s.orders[from] = l
	}
	if !s.weigh {
		return l
	}
	l = slices.Clone(l)
	for i := 0; i < len(l); {
		j := i
		for j < len(l) && l[j].Priority == l[i].Priority {
			j++
		}
		s.drawByWeight(l[i:j])
		i = j
	}
	return l
}

// drawByWeight puts places into an order drawn by their weights, without replacement; those without weight come last
// in their order.
func (s *Spreader) drawByWeight(l []Place) {
	slices.SortStableFunc(l, func(x, y Place) int {
		wx, wy := s.areas[x].weight, s.areas[y].weight
		switch {
		case wx > 0 && wy <= 0:
			return -1
		case wx <= 0 && wy > 0:
			return 1
		}
		return 0
	})
	for i := range l {
		total := 0.0
		for _, p := range l[i:] {
			total += s.areas[p].weight
		}
		if total <= 0 {
			return
		}
		x := s.rng.Float64() * total
		for j := i; j < len(l); j++ {
			if x -= s.areas[l[j]].weight; x < 0 {
				l[i], l[j] = l[j], l[i]
				break
			}
		}
	}
}

// Out says that a zone has lost most of what it takes: it has no servers, or is sick.
func (s *Spreader) Out(zone string) bool {
	any := false
	for _, p := range s.places {
		if p.Zone == zone {
			any = true
			if !s.areas[p].sick {
				return false
			}
		}
	}
	return any || len(s.places) > 0
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
