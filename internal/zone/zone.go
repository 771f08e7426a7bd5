// Package zone decides in which zone a request is served, and accounts and budgets what crosses zones. It is pure:
// events and the time go in, decisions come out; it does no I/O, reads no clock and starts no goroutine.
//
// A Spreader says where the load of a zone goes: to its own servers as long as these take it, then to the cheapest
// zone that has room. What a zone takes is measured by what becomes of the calls there, not by how many of its
// servers look healthy. Book holds the budgets of pairs of zones, Account what went between them. Module joins
// them: it stands between an engine and its decision module, as a trace does, and names in each request the places
// that it may go to. Which server of a place it is stays the module's to decide.
//
// Priorities and locality weights follow the specification of Envoy's EDS (priority levels, overprovisioning,
// locality weighted load balancing); priority.go has its arithmetic, docs/design/zones.md where we differ.
package zone

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranegrade/balancer"
)

// Place is what a Spreader chooses among: a zone's servers of one priority.
type Place = balancer.Place

// Pair is a direction between zones: of whoever asks, and of the server.
type Pair struct{ From, To string }

// Cost is what a call between two zones costs. The unit of Price is the operator's; +Inf: never.
type Cost struct {
	Latency time.Duration // added to a call, there and back
	Price   float64       // of a request
}

// Unknown says what becomes of servers whose zone the list does not tell.
type Unknown int

// Rules for such servers. They are accounted under the zone "" whatever the rule.
const (
	Last   Unknown = iota // after all known zones
	AsHome                // as the home zone's
	Never                 // not used
)

// Config is what a Spreader is made of.
type Config struct {
	Home    string
	Costs   map[Pair]Cost
	Default Cost                     // of pairs that Costs does not tell
	Second  float64                  // what a second of latency is worth, in the unit of Price
	Unknown Unknown                  // servers without a zone
	Nodes   int                      // instances that share the servers; 0: one
	Aims    map[string]time.Duration // within which answers are wanted, by class
	Tries   int                      // attempts of a request at the most; 0: one
	Start   float64                  // calls that a server takes at once, as far as is known; 0: 5
	Cold    float64                  // share of its capacity that a server has that just started; 0: all
	Warm    time.Duration            // until it has all
}

// cost is what a call costs, in the unit of prices; within a zone nothing.
func (c *Config) cost(from, to string) float64 {
	if from == to || to == "" && c.Unknown == AsHome && from == c.Home {
		return 0
	}
	x, told := c.Costs[Pair{from, to}]
	if !told {
		x = c.Default
	}
	if to == "" {
		switch c.Unknown {
		case Never:
			return math.Inf(1)
		case Last:
			return math.MaxFloat64
		}
	}
	return x.Price + c.Second*x.Latency.Seconds()
}

// MaxZones bounds the zones that are told apart; servers of further ones count as of no known zone.
const MaxZones = 64

// order sorts places as a zone's load takes them: by priority, then by cost, home first; those that cost
// infinitely are left out.
func (c *Config) order(from string, places []Place) []Place {
	l := slices.DeleteFunc(slices.Clone(places), func(p Place) bool { return math.IsInf(c.cost(from, p.Zone), 1) })
	slices.SortFunc(l, func(x, y Place) int {
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), -compareBool(x.Zone == from, y.Zone == from), cmp.Compare(c.cost(from, x.Zone), c.cost(from, y.Zone)),
			cmp.Compare(x.Zone, y.Zone))
	})
	return l
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}
