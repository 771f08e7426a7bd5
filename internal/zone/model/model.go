// Package model is a discrete-event simulation of servers in several zones. It measures where routing policies send the load
// of a zone that fails, slows down or recovers, and how that affects the other zones.
//
// It is used for tests only, and is deterministic: it must never read a clock, start a goroutine or do I/O, and equal seeds
// give equal results. It does not use the decision module: servers are queues, and a node picks the less loaded of two
// random servers in the zone that its policy chooses.
package model

import (
	"math/rand/v2"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/eventqueue"
)

// Policy chooses the zone of each request at the node of one zone. Zones are numbered from 0.
type Policy interface {
	Choose(now time.Duration) int
	AttemptStarted(now time.Duration, zone int)
	AttemptEnded(now time.Duration, zone int, ending balancer.Ending, took time.Duration)
	// UpdateHealth reports how many of the serversPerZone servers in each zone are listed as healthy.
	UpdateHealth(now time.Duration, healthy []int, serversPerZone int)
}

// Fault is the kind of fault of the first zone.
type Fault int

// The kinds of faults.
const (
	Outage        Fault = iota // all servers refuse connections
	Brownout                   // all servers are slower by brownoutFactor, but listed as healthy
	PartialOutage              // one in outageDivisor servers refuses connections
	GradualReturn              // all servers refuse connections, and recover in returnSteps steps
)

// String returns the name of the fault.
func (f Fault) String() string {
	switch f {
	case Outage:
		return "outage"
	case Brownout:
		return "brownout"
	case PartialOutage:
		return "partial outage"
	case GradualReturn:
		return "gradual return"
	}
	return "invalid"
}

// Config configures a simulation.
type Config struct {
	Zones            int
	ServersPerZone   int
	MeanServiceTime  time.Duration // of a request; exponentially distributed
	Load             float64       // offered in each zone, as a share of its capacity
	CrossZoneLatency time.Duration // of the round trip to another zone
	QueueLimit       int           // maximum number of requests at a server; further ones are rejected
	LatencyTarget    time.Duration
	Timeout          time.Duration // of a request
	Duration         time.Duration // until the last arrival
	FaultStart       time.Duration
	FaultEnd         time.Duration // for GradualReturn, when servers begin to recover
	DetectionDelay   time.Duration // until the server list shows a failure or recovery
	Fault            Fault
	Seed             uint64
}

// DefaultConfig returns a simulation of 40 seconds with a fault of 15 seconds.
func DefaultConfig(zones int, fault Fault, seed uint64) Config {
	return Config{
		Zones:            zones,
		ServersPerZone:   10,
		MeanServiceTime:  20 * time.Millisecond,
		Load:             0.55,
		CrossZoneLatency: 5 * time.Millisecond,
		QueueLimit:       30,
		LatencyTarget:    200 * time.Millisecond,
		Timeout:          time.Second,
		Duration:         40 * time.Second,
		FaultStart:       10 * time.Second,
		FaultEnd:         25 * time.Second,
		DetectionDelay:   time.Second,
		Fault:            fault,
		Seed:             seed,
	}
}

const (
	localLatency   = 200 * time.Microsecond // of the round trip within a zone
	maxRetries     = 2                      // of a request
	brownoutFactor = 3
	outageDivisor  = 3  // one in this many servers fails in a PartialOutage
	returnSteps    = 10 // of GradualReturn, one per second

	randomStream = 0x20de // second half of the seed; keeps the generator independent of others with the same first half
)

// server is a server with a queue.
type server struct {
	up, listed bool
	busyUntil  time.Duration // when its queue will be empty
	slowdown   float64       // factor of the service time
	queued     int
}

// simulation is a run in progress.
type simulation struct {
	config   Config
	random   *rand.Rand
	events   eventqueue.Queue
	now      time.Duration
	zones    [][]*server
	inFlight [][][]int // calls by node, zone and server
	policies []Policy  // of the node of each zone
	counts   counts
}

// Run runs a simulation in which each zone has one node with its own policy.
func Run(config Config, newPolicy func(home int) Policy) Result {
	s := &simulation{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, randomStream)),
		counts: newCounts(config.Duration),
	}
	for range config.Zones {
		var servers []*server
		for range config.ServersPerZone {
			servers = append(servers, &server{up: true, listed: true, slowdown: 1})
		}
		s.zones = append(s.zones, servers)
	}
	for home := range config.Zones {
		var inFlight [][]int
		for range config.Zones {
			inFlight = append(inFlight, make([]int, config.ServersPerZone))
		}
		s.inFlight = append(s.inFlight, inFlight)
		s.policies = append(s.policies, newPolicy(home))
	}
	s.publishHealth()
	for home := range config.Zones {
		s.scheduleArrival(home)
	}
	s.scheduleFault()
	for event, ok := s.events.Next(); ok; event, ok = s.events.Next() {
		s.now = event.At
		event.Run()
	}
	return s.counts.result()
}

// publishHealth passes the number of servers listed as healthy in each zone to the policies.
func (s *simulation) publishHealth() {
	healthy := make([]int, len(s.zones))
	for zone, servers := range s.zones {
		for _, server := range servers {
			if server.listed {
				healthy[zone]++
			}
		}
	}
	for _, policy := range s.policies {
		policy.UpdateHealth(s.now, healthy, s.config.ServersPerZone)
	}
}

// scheduleFault schedules the beginning of the fault and its end.
func (s *simulation) scheduleFault() {
	start, end := s.config.FaultStart, s.config.FaultEnd
	switch s.config.Fault {
	case Outage:
		s.changeServers(start, func(_ int, server *server) { server.up = false })
		s.changeServers(end, func(_ int, server *server) {
			server.up = true
			server.busyUntil = 0
		})
	case Brownout:
		s.changeServers(start, func(_ int, server *server) { server.slowdown = brownoutFactor })
		s.changeServers(end, func(_ int, server *server) { server.slowdown = 1 })
	case PartialOutage:
		s.changeServers(start, func(i int, server *server) { server.up = i%outageDivisor != 0 })
		s.changeServers(end, func(_ int, server *server) { server.up = true })
	case GradualReturn:
		s.changeServers(start, func(_ int, server *server) { server.up = false })
		for step := range returnSteps {
			s.changeServers(end+time.Duration(step)*time.Second, func(i int, server *server) {
				server.up = i*returnSteps < (step+1)*s.config.ServersPerZone
			})
		}
	}
}

// changeServers schedules a change of the servers of the first zone. The server list shows it after the detection delay.
func (s *simulation) changeServers(at time.Duration, change func(i int, server *server)) {
	s.events.Schedule(at, func() {
		for i, server := range s.zones[0] {
			change(i, server)
		}
	})
	s.events.Schedule(at+s.config.DetectionDelay, func() {
		for _, server := range s.zones[0] {
			server.listed = server.up
		}
		s.publishHealth()
	})
}

// scheduleArrival schedules the next request of a zone. Arrivals are a Poisson process.
func (s *simulation) scheduleArrival(home int) {
	rate := s.config.Load * float64(s.config.ServersPerZone) / s.config.MeanServiceTime.Seconds()
	next := s.now + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
	if next > s.config.Duration {
		return
	}
	s.events.Schedule(next, func() {
		s.attempt(request{home: home, arrivedAt: s.now})
		s.scheduleArrival(home)
	})
}

// request is a request in progress.
type request struct {
	home      int
	arrivedAt time.Duration
	retries   int
}

// attempt sends a request to a server, which serves, rejects or refuses it.
func (s *simulation) attempt(r request) {
	policy := s.policies[r.home]
	zone := policy.Choose(s.now)
	server, index := s.pickServer(r.home, zone)
	if server == nil {
		s.answer(r, false)
		return
	}
	s.counts.attempt(s.config, s.now, r.home, zone)
	policy.AttemptStarted(s.now, zone)
	s.inFlight[r.home][zone][index]++
	endAt := func(at time.Duration, ending balancer.Ending) {
		s.events.Schedule(at, func() {
			s.inFlight[r.home][zone][index]--
			policy.AttemptEnded(s.now, zone, ending, s.now-r.arrivedAt)
			s.attemptEnded(r, ending)
		})
	}
	latency := localLatency
	if zone != r.home {
		latency = s.config.CrossZoneLatency
	}
	switch {
	case !server.up:
		endAt(s.now+latency, balancer.Unreachable)
		return
	case server.queued >= s.config.QueueLimit:
		endAt(s.now+latency, balancer.Overloaded)
		return
	}
	service := time.Duration(s.random.ExpFloat64() * server.slowdown * float64(s.config.MeanServiceTime))
	server.busyUntil = max(server.busyUntil, s.now) + service
	server.queued++
	s.events.Schedule(server.busyUntil, func() { server.queued-- })
	if done := server.busyUntil + latency; done-r.arrivedAt > s.config.Timeout {
		endAt(r.arrivedAt+s.config.Timeout, balancer.TimedOut)
	} else {
		endAt(done, balancer.Success)
	}
}

// attemptEnded answers a request, or retries it.
func (s *simulation) attemptEnded(r request, ending balancer.Ending) {
	switch {
	case ending == balancer.Success:
		s.answer(r, true)
	case ending != balancer.TimedOut && r.retries < maxRetries:
		r.retries++
		s.attempt(r)
	default:
		s.answer(r, false)
	}
}

// answer records the end of a request.
func (s *simulation) answer(r request, served bool) {
	s.counts.answer(s.config, r, s.now-r.arrivedAt, served)
}

// pickServer picks two random listed servers of a zone and returns the one with fewer calls from the node in zone home. It
// returns nil if no server is listed.
func (s *simulation) pickServer(home, zone int) (*server, int) {
	var listed []int
	for i, server := range s.zones[zone] {
		if server.listed {
			listed = append(listed, i)
		}
	}
	if len(listed) == 0 {
		return nil, 0
	}
	picked := listed[s.random.IntN(len(listed))]
	other := listed[s.random.IntN(len(listed))]
	if s.inFlight[home][zone][other] < s.inFlight[home][zone][picked] {
		picked = other
	}
	return s.zones[zone][picked], picked
}
