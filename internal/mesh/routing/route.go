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
	Keyed                  // of all requests with the same idempotency key at most one runs
	Idempotent             // a request may run any number of times
	Download               // like Idempotent, with large responses
)

// kindNames are the names of the kinds in the configuration (config.RouteSpec.RouteType).
var kindNames = [...]string{
	AtMostOnce: config.RouteTypeNonIdempotent,
	Keyed:      config.RouteTypeKeyed,
	Idempotent: config.RouteTypeIdempotent,
	Download:   config.RouteTypeDownload,
}

// String returns the name of the kind in the configuration.
func (k Kind) String() string { return kindNames[min(k, Download)] }

// kindOf returns the kind of a route type. An unknown route type is treated as AtMostOnce, which is always safe.
func kindOf(routeType string) Kind {
	return Kind(max(0, slices.Index(kindNames[:], routeType)))
}

// IsIdempotent reports whether a request may run more than once.
func (k Kind) IsIdempotent() bool { return k >= Idempotent }

// Route is one route of a table. It is immutable.
type Route struct {
	Name          string
	Host          string // of requests; letter case is ignored
	Prefix        string // of the paths of requests; begins and ends with a slash
	Version       int64  // of the configuration item
	Kind          Kind
	Destinations  []config.WeightedService // their weights sum to more than 0
	Timeout       time.Duration            // for a request including all its attempts
	LatencyTarget time.Duration            // at most Timeout
	MaxAttempts   int                      // servers that a request may be sent to, including the first one
	Priority      int                      // 0 is the highest

	totalWeight float64
	policies    map[string]*policy.Decision // by destination service
}

// newRoute returns the route that an item configures, without policies, or nil if the item cannot be decoded.
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

// PolicyDecision returns the merged policies for requests of this route to a destination. It returns nil if no policy applies, in
// which case the values of the route apply.
func (r *Route) PolicyDecision(service string) *policy.Decision { return r.policies[service] }

// bindPolicies sets the policies that apply to requests from the service caller.
func (r *Route) bindPolicies(set *policy.Set, caller string) {
	policyRoute, found := set.Route(r.Name)
	if !found {
		return
	}
	for _, destination := range r.Destinations {
		clauses, applies := set.ClausesFor(policyRoute, destination.Service, caller)
		if !applies {
			continue
		}
		if r.policies == nil {
			r.policies = map[string]*policy.Decision{}
		}
		r.policies[destination.Service] = clauses.Decide(policyRoute, caller)
	}
}

// HasDestination reports whether requests may be sent to a service, that is, whether it is a destination with a weight above 0.
func (r *Route) HasDestination(service string) bool {
	return slices.ContainsFunc(r.Destinations, func(destination config.WeightedService) bool {
		return destination.Service == service && destination.Weight > 0
	})
}

// PickService selects a destination by weight. draw is a random number, uniformly distributed in [0, 1).
func (r *Route) PickService(draw float64) string {
	remaining := draw * r.totalWeight
	picked := ""
	for _, destination := range r.Destinations {
		if destination.Weight <= 0 {
			continue
		}
		if picked = destination.Service; remaining < destination.Weight {
			return picked
		}
		remaining -= destination.Weight
	}
	return picked // rounding errors can exhaust the weights before the last service
}
