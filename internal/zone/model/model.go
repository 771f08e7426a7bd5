// Package model plays zones of servers in simulated time, to measure where policies send the load of a zone that
// fails, slows down or heals. It is part of the rig: seeded, without clock or I/O, and knows nothing of the module;
// servers are queues, and a node draws the less loaded of two servers of the zone that its policy names.
package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/zone"
)

// Policy decides for one node which zone a request goes to.
type Policy interface {
	Choose(now time.Duration) int
	Began(now time.Duration, zone int)
	Ended(now time.Duration, zone int, e balancer.Ending, took time.Duration)
	// Health tells how many servers of each zone are listed, of how many there are.
	Health(now time.Duration, healthy []int, all int)
}

// Trouble is what befalls the first zone.
type Trouble int

// Troubles.
const (
	Outage   Trouble = iota // all its servers refuse
	BrownOut                // all take three times as long, and look healthy
	Third                   // a third of them refuse
	Return                  // all refuse, and come back a tenth at a time
)

// String names a trouble.
func (t Trouble) String() string { return [...]string{"outage", "brown-out", "a third", "return"}[t] }

// Config is a play.
type Config struct {
	Zones   int
	Servers int           // a zone
	Work    time.Duration // mean of a request, exponential
	Load    float64       // share of a zone's capacity that comes to each
	Cross   time.Duration // of a call to another zone, there and back
	Queue   int           // requests that wait at a server; more are turned away
	Aim     time.Duration
	Limit   time.Duration // how long an answer is waited for
	Length  time.Duration
	From    time.Duration // the trouble begins
	Until   time.Duration // and is over, or with Return begins to be
	Notice  time.Duration // until the list says that a server is gone or back
	Trouble Trouble
	Seed    uint64
}

// Default is a play of a minute.
func Default(zones int, t Trouble, seed uint64) Config {
	return Config{
		Zones: zones, Servers: 10, Work: 20 * time.Millisecond, Load: 0.55, Cross: 5 * time.Millisecond, Queue: 30,
		Aim: 200 * time.Millisecond, Limit: time.Second, Length: 40 * time.Second, From: 10 * time.Second, Until: 25 * time.Second,
		Notice: time.Second, Trouble: t, Seed: seed,
	}
}

// Result is what came of a play, from the beginning of the trouble on.
type Result struct {
	InTime  float64       // share of requests answered within the aim
	Served  float64       // and within the limit
	Worst   time.Duration // 99th percentile of answers
	Crossed float64       // share of attempts that crossed
	Swings  int           // times that the first zone's share of its own load turned by a fifth and more
	Pushed  float64       // share of the other zones' own requests answered within the aim
}

type server struct {
	up, listed bool
	free       time.Duration // when it has worked off what it has
	slow       float64
	waiting    int
}

type event struct {
	at   time.Duration
	do   func(now time.Duration)
	turn uint64
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].turn < q[j].turn
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	l := *q
	x := l[len(l)-1]
	*q = l[:len(l)-1]
	return x
}

type play struct {
	okd     map[int][2]int
	cfg     Config
	rng     *rand.Rand
	q       queue
	turn    uint64
	zones   [][]*server
	calls   [][][]int // own calls, by node, zone and server
	nodes   []Policy
	all, ok int
	served  int
	ownAll  int
	ownOK   int
	tries   int
	crossed int
	took    []float64
	home    []int // attempts of the first zone's load that stay, by second
	load    []int // and all of them
}

// Play plays a configuration, each zone with one node of its own policy.
func Play(cfg Config, policy func(home int) Policy) Result {
	p := &play{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x20de))}
	seconds := int(cfg.Length/time.Second) + 5
	p.home, p.load = make([]int, seconds), make([]int, seconds)
	for range cfg.Zones {
		var z []*server
		for range cfg.Servers {
			z = append(z, &server{up: true, listed: true, slow: 1})
		}
		p.zones = append(p.zones, z)
	}
	for home := range cfg.Zones {
		var calls [][]int
		for range cfg.Zones {
			calls = append(calls, make([]int, cfg.Servers))
		}
		p.calls = append(p.calls, calls)
		p.nodes = append(p.nodes, policy(home))
	}
	p.tell(0)
	for home := range cfg.Zones {
		p.arrive(0, home)
	}
	p.trouble()
	for p.q.Len() > 0 {
		e := heap.Pop(&p.q).(event)
		e.do(e.at)
	}
	return p.result()
}

func (p *play) at(t time.Duration, do func(now time.Duration)) {
	p.turn++
	heap.Push(&p.q, event{t, do, p.turn})
}

func (p *play) tell(now time.Duration) {
	healthy := make([]int, len(p.zones))
	for i, z := range p.zones {
		for _, s := range z {
			if s.listed {
				healthy[i]++
			}
		}
	}
	for _, n := range p.nodes {
		n.Health(now, healthy, p.cfg.Servers)
	}
}

func (p *play) trouble() {
	set := func(at time.Duration, f func(i int, s *server)) {
		p.at(at, func(time.Duration) {
			for i, s := range p.zones[0] {
				f(i, s)
			}
		})
		p.at(at+p.cfg.Notice, func(now time.Duration) {
			for _, s := range p.zones[0] {
				s.listed = s.up
			}
			p.tell(now)
		})
	}
	switch c := p.cfg; c.Trouble {
	case Outage:
		set(c.From, func(_ int, s *server) { s.up = false })
		set(c.Until, func(_ int, s *server) { s.up, s.free = true, 0 })
	case BrownOut:
		set(c.From, func(_ int, s *server) { s.slow = 3 })
		set(c.Until, func(_ int, s *server) { s.slow = 1 })
	case Third:
		set(c.From, func(i int, s *server) { s.up = i%3 != 0 })
		set(c.Until, func(_ int, s *server) { s.up = true })
	case Return:
		set(c.From, func(_ int, s *server) { s.up = false })
		for k := range 10 {
			set(c.Until+time.Duration(k)*time.Second, func(i int, s *server) { s.up = i*10 < (k+1)*c.Servers })
		}
	}
}

func (p *play) arrive(now time.Duration, home int) {
	rate := p.cfg.Load * float64(p.cfg.Servers) / p.cfg.Work.Seconds()
	next := now + time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second))
	if next > p.cfg.Length {
		return
	}
	p.at(next, func(now time.Duration) {
		p.request(now, now, home, 0)
		p.arrive(now, home)
	})
}

// request makes an attempt; one that is refused is tried again, twice at the most.
func (p *play) request(began, now time.Duration, home, tries int) {
	n := p.nodes[home]
	to := n.Choose(now)
	s, i := p.draw(home, to)
	if s == nil {
		p.answer(began, now, home, false)
		return
	}
	p.count(now, home, to)
	n.Began(now, to)
	p.calls[home][to][i]++
	end := func(now time.Duration, e balancer.Ending) {
		p.calls[home][to][i]--
		n.Ended(now, to, e, now-began)
		switch {
		case e == balancer.Success:
			p.answer(began, now, home, true)
		case e != balancer.TimedOut && tries < 2:
			p.request(began, now, home, tries+1)
		default:
			p.answer(began, now, home, false)
		}
	}
	way := 200 * time.Microsecond
	if to != home {
		way = p.cfg.Cross
	}
	switch {
	case !s.up:
		p.at(now+way, func(now time.Duration) { end(now, balancer.Unreachable) })
		return
	case s.waiting >= p.cfg.Queue:
		p.at(now+way, func(now time.Duration) { end(now, balancer.Overloaded) })
		return
	}
	work := time.Duration(p.rng.ExpFloat64() * s.slow * float64(p.cfg.Work))
	s.free = max(s.free, now) + work
	s.waiting++
	p.at(s.free, func(time.Duration) { s.waiting-- })
	if done := s.free + way; done-began > p.cfg.Limit {
		p.at(began+p.cfg.Limit, func(now time.Duration) { end(now, balancer.TimedOut) })
	} else {
		p.at(done, func(now time.Duration) { end(now, balancer.Success) })
	}
}

// draw takes the less loaded of two listed servers, by own calls.
func (p *play) draw(home, to int) (*server, int) {
	var l []int
	for i, s := range p.zones[to] {
		if s.listed {
			l = append(l, i)
		}
	}
	if len(l) == 0 {
		return nil, 0
	}
	x, y := l[p.rng.IntN(len(l))], l[p.rng.IntN(len(l))]
	if p.calls[home][to][y] < p.calls[home][to][x] {
		x = y
	}
	return p.zones[to][x], x
}

func (p *play) count(now time.Duration, home, to int) {
	if now < p.cfg.From {
		return
	}
	p.tries++
	if to != home {
		p.crossed++
	}
	if second := int(now / time.Second); home == 0 && second < len(p.load) {
		p.load[second]++
		if to == home {
			p.home[second]++
		}
	}
}

func (p *play) answer(began, now time.Duration, home int, served bool) {
	if began < p.cfg.From {
		return
	}
	p.all++
	if home != 0 {
		p.ownAll++
	}
	if !served {
		return
	}
	p.served++
	p.took = append(p.took, (now - began).Seconds())
	if now-began <= p.cfg.Aim {
		p.ok++
		if home != 0 {
			p.ownOK++
		}
	}
}

func (p *play) result() Result {
	r := Result{InTime: share(p.ok, p.all), Served: share(p.served, p.all), Crossed: share(p.crossed, p.tries), Pushed: share(p.ownOK, p.ownAll)}
	slices.Sort(p.took)
	if n := len(p.took); n > 0 {
		r.Worst = time.Duration(p.took[n*99/100] * float64(time.Second))
	}
	// A swing is a turn of the share that stays, by a fifth from its last extreme.
	last, dir := math.NaN(), 0.0
	for i, n := range p.load {
		if n < 20 {
			continue
		}
		x := share(p.home[i], n)
		switch {
		case math.IsNaN(last):
			last = x
		case math.Abs(x-last) >= 0.2:
			if d := math.Copysign(1, x-last); d != dir {
				dir = d
				r.Swings++
			}
			last = x
		case dir != 0 && (x-last)*dir > 0:
			last = x
		}
	}
	return r
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Measured is the policy of package zone.
type Measured struct {
	s     *zone.Spreader
	home  string
	index map[string]int
	names []string
}

// NewMeasured returns it for a node of a zone.
func NewMeasured(home, zones int, seed uint64) *Measured {
	m := &Measured{index: map[string]int{}}
	for i := range zones {
		m.names = append(m.names, string(rune('a'+i)))
		m.index[m.names[i]] = i
	}
	m.home = m.names[home]
	costs := map[zone.Pair]zone.Cost{}
	for i := range zones { // as on a ring: each zone has its own nearest one
		costs[zone.Pair{From: m.home, To: m.names[i]}] = zone.Cost{Price: float64((i - home + zones) % zones)}
	}
	m.s = zone.NewSpreader(zone.Config{Home: m.home, Costs: costs, Nodes: 1, Aims: map[string]time.Duration{"": 200 * time.Millisecond}}, seed)
	return m
}

// Choose, Began, Ended and Health are Policy's.
func (m *Measured) Choose(now time.Duration) int {
	if l := m.s.Choose(now, m.home, "", func(string) bool { return true }); len(l) > 0 {
		return m.index[l[0].Zone]
	}
	return m.index[m.home]
}

// Began notes an attempt.
func (m *Measured) Began(now time.Duration, z int) { m.s.Began(now, zone.Place{Zone: m.names[z]}) }

// Ended notes its end.
func (m *Measured) Ended(now time.Duration, z int, e balancer.Ending, took time.Duration) {
	m.s.Ended(now, zone.Place{Zone: m.names[z]}, "", e, took)
}

// Health tells the list.
func (m *Measured) Health(now time.Duration, healthy []int, all int) {
	var l []zone.Server
	for z, n := range healthy {
		for i := range n {
			l = append(l, zone.Server{ID: m.names[z] + string(rune('0'+i)), Place: zone.Place{Zone: m.names[z]}, Ready: true})
		}
	}
	m.s.Servers(now, true, l)
}

// Counted is spill-over by the count of healthy hosts, as Envoy's specification words it: home is the level of
// priority 0, the other zones together are that of priority 1.
type Counted struct {
	home   int
	rng    *rand.Rand
	shares []float64
}

// NewCounted returns it for a node of a zone.
func NewCounted(home int, seed uint64) *Counted {
	return &Counted{home: home, rng: rand.New(rand.NewPCG(seed, uint64(home)))}
}

// Choose draws a zone by the shares.
func (c *Counted) Choose(time.Duration) int {
	x := c.rng.Float64()
	for z, s := range c.shares {
		if x -= s; x < 0 {
			return z
		}
	}
	return c.home
}

// Began and Ended tell it nothing.
func (c *Counted) Began(time.Duration, int) {}

// Ended tells it nothing.
func (c *Counted) Ended(time.Duration, int, balancer.Ending, time.Duration) {}

// Health reckons the shares.
func (c *Counted) Health(_ time.Duration, healthy []int, all int) {
	away := zone.Health{}
	for z, n := range healthy {
		if z != c.home {
			away.Healthy += n
			away.All += all
		}
	}
	loads := zone.PriorityLoads([]zone.Health{{Healthy: healthy[c.home], All: all}, away}, zone.Overprovisioning)
	c.shares = make([]float64, len(healthy))
	c.shares[c.home] = loads[0]
	for z, n := range healthy {
		if z != c.home && away.Healthy > 0 {
			c.shares[z] = loads[1] * float64(n) / float64(away.Healthy)
		}
	}
}
