package sidecar

import (
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/routing"
)

// priorityAndTimeout returns the priority and time-out of a route to a service: those of the effective policy, if there is one.
func priorityAndTimeout(r *routing.Route, service string) (priority int, timeout time.Duration) {
	if effective := r.PolicyDecision(service); effective != nil {
		return effective.Priority, effective.Timeout
	}
	return r.Priority, r.Timeout
}

// moduleClasses returns the routes to a service as classes of the decision module. Classes above the lowest priority
// are marked First, so that the module does not hold them back: work that was already admitted may depend on them.
func moduleClasses(service string, routes []*routing.Route) (classes []balancer.Class) {
	lowest := 0
	for _, r := range routes {
		priority, _ := priorityAndTimeout(r, service)
		lowest = max(lowest, priority)
	}
	for _, r := range routes {
		class := moduleClass(service, r)
		priority, _ := priorityAndTimeout(r, service)
		class.First = priority < lowest
		classes = append(classes, class)
	}
	return classes
}

func moduleClass(service string, r *routing.Route) balancer.Class {
	priority, timeout := priorityAndTimeout(r, service)
	target := min(r.LatencyTarget, timeout)
	class := balancer.Class{
		Name:      r.Name,
		Aim:       target,
		Deadline:  timeout,
		LateShare: 1,
		Worth:     1 / float64(1+priority),
		Typical:   target / 2,
	}
	if r.Kind.IsIdempotent() {
		class.Effect = balancer.Idempotent
	}
	return class
}
