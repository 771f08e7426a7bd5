package sidecar

import (
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/routing"
)

// priorityAndTimeout returns the priority and time-out of a route to a service. Those of the effective policy, if there
// is one, take precedence over those of the route.
func priorityAndTimeout(route *routing.Route, service string) (priority int, timeout time.Duration) {
	if effective := route.PolicyDecision(service); effective != nil {
		return effective.Priority, effective.Timeout
	}
	return route.Priority, route.Timeout
}

// moduleClasses returns the decision module's request classes for the routes to a service. Classes above the lowest
// priority are marked First, so that the module does not delay them: requests that were already admitted may depend on
// them.
func moduleClasses(service string, routes []*routing.Route) (classes []balancer.Class) {
	lowest := 0
	for _, route := range routes {
		priority, _ := priorityAndTimeout(route, service)
		lowest = max(lowest, priority)
	}
	for _, route := range routes {
		class := moduleClass(service, route)
		priority, _ := priorityAndTimeout(route, service)
		class.First = priority < lowest
		classes = append(classes, class)
	}
	return classes
}

// moduleClass returns the decision module's request class for a route to a service. The worth of a request decreases
// with its priority number (0 is the highest priority). Half of the latency target serves as the typical latency until
// latencies have been measured.
func moduleClass(service string, route *routing.Route) balancer.Class {
	priority, timeout := priorityAndTimeout(route, service)
	target := min(route.LatencyTarget, timeout)
	class := balancer.Class{
		Name:      route.Name,
		Aim:       target,
		Deadline:  timeout,
		LateShare: 1,
		Worth:     1 / float64(1+priority),
		Typical:   target / 2,
	}
	if route.Kind.IsIdempotent() {
		class.Effect = balancer.Idempotent
	}
	return class
}
