package zone

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranegrade/balancer"
)

// StepInterval is how often the limits of localities are adjusted at most.
const StepInterval = 100 * time.Millisecond

// defaultLatencyTarget is for classes without a latency target.
const defaultLatencyTarget = time.Second

// selectorStream is the second half of the seed of a Selector's generator, which keeps its draws apart from those of others
// that have the same seed.
const selectorStream = 0x20e5

// Selector decides which localities requests go to. Its owner tells it of the servers, and of the start and the end of each
// attempt. It belongs to one goroutine. Times are durations since an origin of the owner's choice.
type Selector struct {
	config     Config
	random     *rand.Rand
	now        time.Duration // of the latest event; never goes back
	nextStep   time.Duration
	states     map[Locality]*localityState
	localities []Locality            // those that have servers, by priority and zone
	orders     map[string][]Locality // by the zone that requests come from; made when needed
	servers    map[string]knownServer
	weighted   bool            // some locality has had a weight
	configured map[string]bool // zones that Config.Costs names; made when needed
}

// knownServer is what a Selector keeps of a ready server.
type knownServer struct {
	locality  Locality
	size      float64
	startedAt time.Duration
}

// NewSelector returns a Selector that knows no servers. Equal seeds and events give equal decisions.
func NewSelector(config Config, seed uint64) *Selector {
	config.Nodes = max(1, config.Nodes)
	if config.InitialLimit == 0 {
		config.InitialLimit = defaultInitialLimit
	}
	return &Selector{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, selectorStream)),
		states:  map[Locality]*localityState{},
		orders:  map[string][]Locality{},
		servers: map[string]knownServer{},
	}
}

// Server is an entry of the endpoint list.
type Server struct {
	ID             string
	Locality       Locality
	Size           float64       // relative to other servers; 0 counts as 1
	StartedAt      time.Duration // of its latest start; 0 if that is long ago
	Ready          bool
	LocalityWeight float64 // of its zone among those of its priority, by the control plane; 0 if it sent none
}

// UpdateServers applies an update of the endpoint list: all servers if it is full, else those that changed.
func (s *Selector) UpdateServers(now time.Duration, full bool, servers []Server) {
	s.Advance(now)
	changed := map[*localityState]bool{}
	if full {
		for id := range s.servers {
			s.removeServer(id, changed)
		}
	}
	for _, server := range servers {
		s.removeServer(server.ID, changed)
		if server.Ready {
			s.addServer(server, changed)
		}
	}
	for state := range changed {
		s.updateCapacity(state)
	}
	s.updateLocalities()
}

// removeServer removes a server, and notes that the capacity of its locality has changed.
func (s *Selector) removeServer(id string, changed map[*localityState]bool) {
	server, known := s.servers[id]
	if !known {
		return
	}
	state := s.states[server.locality]
	delete(state.servers, id)
	delete(s.servers, id)
	changed[state] = true
}

// addServer adds a ready server, and notes that the capacity of its locality has changed.
func (s *Selector) addServer(server Server, changed map[*localityState]bool) {
	state := s.stateOf(server.Locality)
	state.servers[server.ID] = struct{}{}
	state.weight = server.LocalityWeight
	if server.LocalityWeight > 0 {
		s.weighted = true
	}
	size := max(server.Size, 0)
	if server.Size == 0 {
		size = 1
	}
	s.servers[server.ID] = knownServer{locality: state.locality, size: size, startedAt: server.StartedAt}
	changed[state] = true
}

// updateLocalities lists the localities that have servers. What was learned of one without servers is kept for its return,
// as long as there are few.
func (s *Selector) updateLocalities() {
	s.localities = s.localities[:0]
	for locality, state := range s.states {
		if len(state.servers) > 0 {
			s.localities = append(s.localities, locality)
		} else if state.inFlight == 0 && len(s.states) > MaxZones/2 {
			delete(s.states, locality)
		}
	}
	slices.SortFunc(s.localities, compareLocalities)
	clear(s.orders)
}

// stateOf finds or makes the state of a locality. Beyond MaxZones it is that of servers without a zone.
func (s *Selector) stateOf(locality Locality) *localityState {
	if state := s.states[locality]; state != nil {
		return state
	}
	if len(s.states) >= MaxZones && locality.Zone != "" {
		return s.stateOf(Locality{Priority: locality.Priority})
	}
	state := &localityState{
		locality:       locality,
		servers:        map[string]struct{}{},
		meanLogLatency: map[string]*float64{},
		home:           locality.Zone == s.config.Home || locality.Zone == "" && s.config.UnknownZones == UnknownZoneAsHome,
	}
	state.callsPerUnit = s.config.InitialLimit / float64(s.config.Nodes)
	if !state.home {
		state.callsPerUnit *= awayInitialShare
	}
	s.states[locality] = state
	return state
}

// updateCapacity adds up the capacity of a locality's servers, as far as their slow start lets it be used now.
func (s *Selector) updateCapacity(state *localityState) {
	state.capacity = 0
	for id := range state.servers {
		server := s.servers[id]
		state.capacity += s.slowStartFactor(server) * server.size
	}
}

// slowStartFactor is the share of its capacity that a server has now: it rises linearly over the slow start window.
func (s *Selector) slowStartFactor(server knownServer) float64 {
	age := s.now - server.startedAt
	if s.config.SlowStartShare <= 0 || server.startedAt <= 0 || age >= s.config.SlowStartWindow {
		return 1
	}
	return s.config.SlowStartShare + (1-s.config.SlowStartShare)*max(0, float64(age)/float64(s.config.SlowStartWindow))
}

// Advance lets time pass. However much has passed, limits are adjusted by one step at most, since nothing was observed in
// between.
func (s *Selector) Advance(now time.Duration) {
	s.now = max(s.now, now)
	if s.now < s.nextStep {
		return
	}
	s.nextStep = s.now + StepInterval
	for _, state := range s.states {
		if s.config.SlowStartShare > 0 {
			s.updateCapacity(state)
		}
		state.adjust(minCallsPerUnit / float64(s.config.Nodes))
	}
}

// AttemptStarted records that an attempt was sent to a locality. One that has lost its last server in the meantime learns
// nothing.
func (s *Selector) AttemptStarted(now time.Duration, locality Locality) {
	s.Advance(now)
	state := s.states[locality]
	if state == nil {
		return
	}
	state.inFlight++
	state.window.started++
	state.window.peak = max(state.window.peak, state.inFlight)
}

// AttemptEnded records the end of an attempt that AttemptStarted was told of.
func (s *Selector) AttemptEnded(now time.Duration, locality Locality, class string, ending balancer.Ending, took time.Duration) {
	s.Advance(now)
	state := s.states[locality]
	if state == nil {
		return
	}
	state.inFlight = max(0, state.inFlight-1)
	switch ending {
	case balancer.Success:
		state.window.succeeded++
		state.window.logLatencyRatio += state.observeLatency(class, took) - math.Log(float64(s.latencyTarget(class)))
	case balancer.Overloaded:
		state.window.rejected++
	case balancer.TimedOut, balancer.Broken, balancer.Unreachable, balancer.Failure:
		state.window.failed++
	case balancer.Canceled, balancer.NeverSent: // they say nothing of the locality
	}
}

// latencyTarget returns the latency target of a class.
func (s *Selector) latencyTarget(class string) time.Duration {
	if target := s.config.LatencyTargets[class]; target > 0 {
		return target
	}
	return defaultLatencyTarget
}

// LocalityStatus is the state of a locality for reports.
type LocalityStatus struct {
	Locality  Locality
	Home      bool
	Servers   int
	Capacity  float64 // sum of the servers' sizes, reduced during their slow start
	Limit     float64 // on this node's calls in flight there
	InFlight  int     // this node's calls there
	Unhealthy bool
}

// Localities are the localities that have servers, by priority and zone.
func (s *Selector) Localities() []LocalityStatus {
	var statuses []LocalityStatus
	for _, locality := range s.localities {
		state := s.states[locality]
		statuses = append(statuses, LocalityStatus{
			Locality:  locality,
			Home:      state.home,
			Servers:   len(state.servers),
			Capacity:  state.capacity,
			Limit:     state.limit(),
			InFlight:  state.inFlight,
			Unhealthy: state.unhealthy,
		})
	}
	return statuses
}

// KnowsZone reports whether a zone is the home zone, is configured, or has servers. Other zones that clients name are made up.
func (s *Selector) KnowsZone(zone string) bool {
	if zone == "" || zone == s.config.Home {
		return zone != ""
	}
	if s.configured == nil {
		s.configured = map[string]bool{}
		for pair := range s.config.Costs {
			s.configured[pair.From] = true
			s.configured[pair.To] = true
		}
	}
	if s.configured[zone] {
		return true
	}
	return slices.ContainsFunc(s.localities, func(l Locality) bool { return l.Zone == zone })
}

// ZoneFailed reports whether a zone has lost most of its capacity: it has no servers while other zones do, or is unhealthy
// at each of its priorities.
func (s *Selector) ZoneFailed(zone string) bool {
	hasServers := false
	for _, locality := range s.localities {
		if locality.Zone == zone {
			hasServers = true
			if !s.states[locality].unhealthy {
				return false
			}
		}
	}
	return hasServers || len(s.localities) > 0
}
