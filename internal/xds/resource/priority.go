package resource

import "fmt"

// usableEndpoints says which endpoints may get new requests; ready has the order of a.Endpoints.
//
// The module knows no priorities, so whole priority levels are let in: the healthy endpoints of priority
// after priority, then the degraded ones likewise, until the levels that are in can carry all traffic.
// A level can carry the share of its priority's endpoints that it has, times the overprovisioning factor
// (Envoy's "priority levels"). Where Envoy sends only part of the traffic to the last of these levels,
// here the whole level is in use, and the module spreads the load by what its servers can take.
//
// Unhealthy endpoints are used only if there is no other endpoint at all: a control plane that sees
// everything as unhealthy is more likely to be at fault itself (Envoy's "panic threshold"). Draining ones
// are never used.
func usableEndpoints(a *Assignment) (ready []bool, notices []string) {
	ready = make([]bool, len(a.Endpoints))
	levels := usableLevels(a)
	panicking := 0
	for i := range a.Endpoints {
		e := &a.Endpoints[i]
		switch {
		case e.Health == Draining:
		case len(levels) > 0:
			ready[i] = levels[level{e.Health, e.Priority}]
		default:
			ready[i] = true
			panicking++
		}
	}
	if panicking > 0 {
		notices = append(notices, fmt.Sprintf("no endpoint is healthy, so all %d unhealthy ones are used", panicking))
	}
	return ready, notices
}

// level is the endpoints of one priority that have one health.
type level struct {
	health   Health
	priority int
}

// usableLevels returns the levels that are let in; none if no endpoint is healthy or degraded.
func usableLevels(a *Assignment) map[level]bool {
	priorities := 0
	for i := range a.Endpoints {
		priorities = max(priorities, a.Endpoints[i].Priority+1)
	}
	endpoints := make([]int, priorities) // by priority
	usable := make([][2]int, priorities) // by priority; healthy and degraded
	for i := range a.Endpoints {
		e := &a.Endpoints[i]
		endpoints[e.Priority]++
		if e.Health <= Degraded {
			usable[e.Priority][e.Health]++
		}
	}
	levels := map[level]bool{}
	capacity := 0.0 // of the levels that are in, as a share of the traffic
	for _, health := range []Health{Healthy, Degraded} {
		for priority, total := range endpoints {
			if n := usable[priority][health]; n > 0 && capacity < 1 {
				capacity += min(1, a.OverprovisioningFactor*float64(n)/float64(total))
				levels[level{health, priority}] = true
			}
		}
	}
	return levels
}
