package zone

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranegrade/balancer"
)

// StepInterval is the minimum time between adjustments of the locality limits.
const StepInterval = 100 * time.Millisecond

// defaultLatencyTarget applies to classes without a configured latency target.
const defaultLatencyTarget = time.Second

// randomStream is the second half of the seed of a Selector's random generator. It makes the generator independent of
// others that have the same first half.
const randomStream = 0x20e5

// Selector chooses the localities of requests. The caller reports server list updates, and the start and end of each
// attempt. It must be used by one goroutine only. Times are durations since any fixed origin.
type Selector struct {
	config     Config
	random     *rand.Rand
	now        time.Duration // time of the latest event; never decreases
	nextStep   time.Duration
	states     map[Locality]*localityState
	localities []Locality            // those with servers, sorted by priority and zone
	orders     map[string][]Locality // preference orders, cached by client zone
	servers    map[string]readyServer
	weighted   bool            // whether any locality has had a weight
	configured map[string]bool // zones that Config.Costs names; computed on first use
}

// readyServer is the data that a Selector stores for a ready server.
type readyServer struct {
	locality  Locality
	size      float64
	startedAt time.Duration
}

// NewSelector returns a Selector without servers. Equal seeds and events give equal decisions.
func NewSelector(config Config, seed uint64) *Selector {
	config.Nodes = max(1, config.Nodes)
	if config.InitialLimit == 0 {
		config.InitialLimit = defaultInitialLimit
	}
	return &Selector{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, randomStream)),
		states:  map[Locality]*localityState{},
		orders:  map[string][]Locality{},
		servers: map[string]readyServer{},
	}
}

// Server is an entry of the endpoint list.
type Server struct {
	ID             string
	Locality       Locality
	Size           float64       // relative to other servers; 0 counts as 1
	StartedAt      time.Duration // time of its latest start; 0 if it needs no slow start
	Ready          bool
	LocalityWeight float64 // weight of its locality within its priority, from the control plane; 0 if unset
}

// UpdateServers applies an update of the endpoint list: all servers if full is set, else only
// those that changed.
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

// removeServer removes a server and marks its locality as changed.
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

// addServer adds a ready server and marks its locality as changed.
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
	s.servers[server.ID] = readyServer{locality: state.locality, size: size, startedAt: server.StartedAt}
	changed[state] = true
}

// updateLocalities rebuilds the list of localities that have servers. The state of a locality without servers is kept in
// case its servers return, and dropped if there are too many states.
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

// stateOf returns the state of a locality, and creates it if needed. Once there are MaxZones states, further localities
// share the state of servers without a zone.
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
		state.callsPerUnit *= remoteInitialShare
	}
	s.states[locality] = state
	return state
}

// updateCapacity recomputes the capacity of a locality: the sum of its servers' sizes, reduced during their slow start.
func (s *Selector) updateCapacity(state *localityState) {
	state.capacity = 0
	for id := range state.servers {
		server := s.servers[id]
		state.capacity += s.slowStartFactor(server) * server.size
	}
}

// slowStartFactor returns the share of its capacity that a server has now. It rises linearly over the slow start window.
func (s *Selector) slowStartFactor(server readyServer) float64 {
	age := s.now - server.startedAt
	if s.config.SlowStartShare <= 0 || server.startedAt <= 0 || age >= s.config.SlowStartWindow {
		return 1
	}
	return s.config.SlowStartShare + (1-s.config.SlowStartShare)*max(0, float64(age)/float64(s.config.SlowStartWindow))
}

// Advance sets the current time and adjusts the limits if a step is due. It makes at most one step, however much time has
// passed, since nothing was observed in between.
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

// AttemptStarted records that an attempt was sent to a locality. It is ignored if the
// locality has no state any more.
func (s *Selector) AttemptStarted(now time.Duration, locality Locality) {
	s.Advance(now)
	state := s.states[locality]
	if state == nil {
		return
	}
	state.inFlight++
	state.window.startedInStep++
	state.window.peak = max(state.window.peak, state.inFlight)
}

// AttemptEnded records the end of an attempt that was passed to AttemptStarted.
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
	case balancer.Canceled, balancer.NeverSent: // no evidence about the locality
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

// Localities returns the status of the localities that have servers, sorted by priority and zone.
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

// KnowsZone reports whether a zone is the home zone, is configured, or has servers. A zone name
// from a client that matches none of these is not trusted.
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
