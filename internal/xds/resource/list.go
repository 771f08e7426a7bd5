package resource

import (
	"cmp"
	"fmt"
	"slices"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// Lister turns a cluster's assignments into news for an engine: the first whole, then what changed, at
// the cost of the assignment and with news at the cost of the change.
type Lister struct {
	// Levels has all healthy and degraded endpoints told as ready, with their priorities, degraded ones after the
	// healthy of all levels, and the weights of their localities: something beyond decides which levels are used.
	Levels bool

	last map[string]engine.Listed // what was told; nil: nothing yet
	drop float64
	n    int
}

// News is the news that leads from the assignment before to this one; nil if there is none. reports say
// what an operator should hear of. A nil assignment is one that does not exist: no server at all.
func (l *Lister) News(a *Assignment) (news *engine.ListUpdate, reports []string) {
	if a == nil {
		a = &Assignment{}
	}
	ready, reports := usable(a)
	degraded := 0
	if l.Levels {
		degraded = levels(a, ready)
	}
	n := engine.ListUpdate{Full: l.last == nil, DropShare: a.dropShare()}
	next := make(map[string]engine.Listed, len(a.Endpoints))
	for i, ep := range a.Endpoints {
		s := engine.Listed{Addr: ep.Addr, Server: balancer.Server{ID: ep.ID, Zone: ep.Zone, Cell: ep.Cell, Size: ep.Weight, StartedAt: ep.Boot}}
		if !ready[i] {
			s.State = balancer.Draining
		}
		if l.Levels {
			if s.Priority, s.Weight = ep.Priority, ep.Share; ep.Health == Degraded {
				s.Priority += degraded
			}
		}
		next[ep.ID] = s
		if was, is := l.last[ep.ID]; !is || was != s {
			n.Servers = append(n.Servers, s)
		}
	}
	for id, was := range l.last {
		if _, is := next[id]; !is {
			was.State = balancer.Gone
			n.Servers = append(n.Servers, was)
		}
	}
	if len(l.last) > 0 && len(next) == 0 {
		reports = append(reports, fmt.Sprintf("all %d servers are gone by the control plane's word", len(l.last)))
	}
	changed := n.Full || len(n.Servers) > 0 || n.DropShare != l.drop
	l.last, l.drop = next, n.DropShare
	if !changed {
		return nil, reports
	}
	slices.SortFunc(n.Servers, func(x, y engine.Listed) int { return cmp.Compare(x.ID, y.ID) })
	l.n++
	n.Version = fmt.Sprint(l.n)
	return &n, reports
}

// levels marks every healthy and degraded endpoint as ready; degraded ones have priorities from the one that it gives
// on. Where there is none of either, ready stays what it is.
func levels(a *Assignment, ready []bool) (degraded int) {
	for i, ep := range a.Endpoints {
		if ep.Health <= Degraded {
			ready[i] = true
		}
		degraded = max(degraded, ep.Priority+1)
	}
	return degraded
}

// dropShare is the share of requests that the categories drop together, one after the other.
func (a *Assignment) dropShare() float64 {
	pass := 1.0
	for _, d := range a.Drops {
		pass *= 1 - d.Share
	}
	return 1 - pass
}

// usable says which endpoints may be drawn for something new. The module knows no priorities, so whole
// levels are let in: the healthy ones of priority after priority, then the degraded ones likewise,
// until those let in are trusted to carry all, which a level is to the share of its endpoints that it
// has times the overprovisioning factor (Envoy's "priority levels"). Where Envoy sends a part of the
// traffic to the next level, this lets all of it in: the module spreads by what servers can take.
//
// Unhealthy ones are used only if nothing else is there at all, for a control plane that finds
// everything ill is likelier ill itself; draining ones never.
func usable(a *Assignment) (ready []bool, reports []string) {
	ready = make([]bool, len(a.Endpoints))
	top := 0
	for _, ep := range a.Endpoints {
		top = max(top, ep.Priority)
	}
	all := make([]int, top+1)
	of := make([][2]int, top+1) // healthy and degraded
	for _, ep := range a.Endpoints {
		all[ep.Priority]++
		if ep.Health <= Degraded {
			of[ep.Priority][ep.Health]++
		}
	}
	in := map[[2]int]bool{} // levels: health and priority
	carried, any := 0.0, false
	for _, h := range []Health{Healthy, Degraded} {
		for p := range all {
			if n := of[p][h]; n > 0 && carried < 1 {
				carried += min(1, a.Overshoot*float64(n)/float64(all[p]))
				in[[2]int{int(h), p}], any = true, true
			}
		}
	}
	rescued := 0
	for i, ep := range a.Endpoints {
		switch {
		case ep.Health == Draining:
		case any:
			ready[i] = in[[2]int{int(ep.Health), ep.Priority}]
		default:
			ready[i] = true
			rescued++
		}
	}
	if rescued > 0 {
		reports = append(reports, fmt.Sprintf("no endpoint is healthy, so all %d unhealthy ones are used", rescued))
	}
	return ready, reports
}
