package zone

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranegrade/balancer"
)

// Locality identifies the servers of one zone and one priority.
type Locality = balancer.Place

// Pair is a direction between zones: from the zone of the client to the zone of the server.
type Pair struct{ From, To string }

// Cost is the cost of a call between two zones.
type Cost struct {
	Latency time.Duration // added to a call, for the round trip
	Price   float64       // of one request, in any unit used consistently; +Inf excludes the pair
}

// UnknownZonePolicy defines how servers without a known zone are used. Their traffic is always accounted under the zone "".
type UnknownZonePolicy int

// The policies for servers without a zone.
const (
	UnknownZoneLast   UnknownZonePolicy = iota // after all known zones
	UnknownZoneAsHome                          // like servers of the home zone
	UnknownZoneNever                           // not at all
)

// String returns the name of the policy in the configuration file.
func (p UnknownZonePolicy) String() string {
	switch p {
	case UnknownZoneLast:
		return "last"
	case UnknownZoneAsHome:
		return "home"
	case UnknownZoneNever:
		return "never"
	}
	return "invalid"
}

// Config configures a Selector and the Module around it. Only Home is required.
type Config struct {
	Home            string // zone of this node
	Costs           map[Pair]Cost
	DefaultCost     Cost    // of pairs that are missing in Costs
	LatencyWeight   float64 // cost of one second of latency, in the unit of Price
	UnknownZones    UnknownZonePolicy
	Nodes           int                      // load balancer instances that share the servers; 0 counts as 1
	LatencyTargets  map[string]time.Duration // by class; default one second
	MaxAttempts     int                      // of one request; 0 counts as 1
	InitialLimit    float64                  // calls in flight at one server of the home zone at the start; default 5
	SlowStartShare  float64                  // share of its capacity that a server has just after its start, 0 to 1; 0 means all of it
	SlowStartWindow time.Duration            // time from its start until a server has its full capacity
}

// cost returns the cost of one call in the unit of Cost.Price. Calls within a zone are free.
func (c *Config) cost(from, to string) float64 {
	if from == to || to == "" && c.UnknownZones == UnknownZoneAsHome && from == c.Home {
		return 0
	}
	if to == "" {
		switch c.UnknownZones {
		case UnknownZoneNever:
			return math.Inf(1)
		case UnknownZoneLast:
			return math.MaxFloat64
		case UnknownZoneAsHome: // from zones other than home, the cost of the pair applies
		}
	}
	pairCost, configured := c.Costs[Pair{From: from, To: to}]
	if !configured {
		pairCost = c.DefaultCost
	}
	return pairCost.Price + c.LatencyWeight*pairCost.Latency.Seconds()
}

// MaxZones bounds the number of localities that are tracked. Servers of further ones are treated as servers without a zone.
const MaxZones = 64

// order returns the localities that the requests of a zone may use, in order of preference: by priority, then the zone itself,
// then by cost. Localities of infinite cost are omitted.
func (c *Config) order(from string, localities []Locality) []Locality {
	usable := slices.DeleteFunc(slices.Clone(localities), func(l Locality) bool { return math.IsInf(c.cost(from, l.Zone), 1) })
	slices.SortFunc(usable, func(a, b Locality) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			compareTrueFirst(a.Zone == from, b.Zone == from),
			cmp.Compare(c.cost(from, a.Zone), c.cost(from, b.Zone)),
			cmp.Compare(a.Zone, b.Zone),
		)
	})
	return usable
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
