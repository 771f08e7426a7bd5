package sidecar

import (
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/routing"
)

// priorityAndTimeout returns the priority and time-out of a route to a service: those of the effective policy, if
// there is one.
func priorityAndTimeout(route *routing.Route, service string) (priority int, timeout time.Duration) {
	if effective := route.PolicyDecision(service); effective != nil {
		return effective.Priority, effective.Timeout
	}
	return route.Priority, route.Timeout
}

// moduleClasses returns the routes to a service as classes of the decision module. Classes above the lowest priority
// are marked First, so that the module does not hold them back: work that was already admitted may depend on them.
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

// moduleClass returns a route to a service as a class of the decision module. A request is worth the less, the lower
// its priority (priority 0 is the highest); half of the latency target counts as its usual latency until any is
// measured.
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
