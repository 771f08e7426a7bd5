package routing

import (
	"slices"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
)

// Kind is the execution guarantee of a route's requests.
type Kind uint8

// Kinds of routes.
const (
	AtMostOnce Kind = iota // each attempt runs at most once
	Keyed                  // all requests with one idempotency key run at most once together
	Idempotent             // a request may run any number of times
	Download               // like Idempotent, with large responses
)

// kindNames are the kinds as the configuration names them (config.RouteSpec.RouteType).
var kindNames = [...]string{
	AtMostOnce: config.RouteTypeNonIdempotent,
	Keyed:      config.RouteTypeKeyed,
	Idempotent: config.RouteTypeIdempotent,
	Download:   config.RouteTypeDownload,
}

// String returns the kind as the configuration names it.
func (k Kind) String() string { return kindNames[min(k, Download)] }

// kindOf returns the kind of a route type. An unknown one is AtMostOnce, which is always safe.
func kindOf(routeType string) Kind {
	return Kind(max(0, slices.Index(kindNames[:], routeType)))
}

// IsIdempotent reports whether a request may run more than once.
func (k Kind) IsIdempotent() bool { return k >= Idempotent }

// Route is one route of a table. It is immutable.
type Route struct {
	Name          string
	Host          string // of requests, in any case of letters
	Prefix        string // of requests' paths; begins and ends with a slash
	Version       int64  // of the configuration item
	Kind          Kind
	Destinations  []config.WeightedService // their weights sum to more than 0
	Timeout       time.Duration            // for a request with all its attempts
	LatencyTarget time.Duration            // at most Timeout
	MaxAttempts   int                      // servers that a request may be sent to, the first one included
	Priority      int                      // 0 is the highest

	totalWeight float64
	policies    map[string]*policy.Decision // by destination
}

// newRoute returns the route of an item, without policies, or nil if the item's content can't be decoded.
func newRoute(item config.Item) *Route {
	spec := item.RouteSpec()
	if spec == nil {
		return nil
	}
	route := &Route{
		Name:          spec.Name,
		Host:          item.Host,
		Prefix:        spec.MatchCriteria.PathPrefix,
		Version:       item.Version,
		Kind:          kindOf(spec.RouteType),
		Destinations:  spec.Destinations(),
		Timeout:       spec.ForwardAction.TimeoutS.Duration(),
		LatencyTarget: spec.TargetLatencyS.Duration(),
		MaxAttempts:   spec.ForwardAction.RetryCount,
		Priority:      spec.Priority,
	}
	if route.LatencyTarget <= 0 || route.LatencyTarget > route.Timeout {
		route.LatencyTarget = route.Timeout
	}
	for _, destination := range route.Destinations {
		route.totalWeight += destination.Weight
	}
	return route
}

// PolicyDecision returns the merged policies for requests of this route to a destination. It is nil if no policy applies to them,
// so that the route's own values apply.
func (r *Route) PolicyDecision(service string) *policy.Decision { return r.policies[service] }

// bindPolicies sets the policies that apply to the calls of one service, the caller.
func (r *Route) bindPolicies(set *policy.Set, caller string) {
	governed, known := set.Route(r.Name)
	if !known {
		return
	}
	for _, destination := range r.Destinations {
		clauses, apply := set.ClausesFor(governed, destination.Service, caller)
		if !apply {
			continue
		}
		if r.policies == nil {
			r.policies = map[string]*policy.Decision{}
		}
		r.policies[destination.Service] = clauses.Decide(governed, caller)
	}
}

// HasDestination reports whether requests may go to a service. With a weight of 0 they may not.
func (r *Route) HasDestination(service string) bool {
	return slices.ContainsFunc(r.Destinations, func(destination config.WeightedService) bool {
		return destination.Service == service && destination.Weight > 0
	})
}

// PickService picks a destination by weight. draw is uniformly distributed in [0, 1).
func (r *Route) PickService(draw float64) string {
	left := draw * r.totalWeight
	picked := ""
	for _, destination := range r.Destinations {
		if destination.Weight <= 0 {
			continue
		}
		if picked = destination.Service; left < destination.Weight {
			return picked
		}
		left -= destination.Weight
	}
	return picked // rounding errors can exhaust the weights before the last service
}
