package resource

import (
	"cmp"
	"fmt"
	"slices"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// Differ turns the assignments of one cluster into list updates for an engine: the first update is
// complete, each further one holds only what changed. The zero value is ready for use.
type Differ struct {
	// AllPriorities lists all healthy and degraded endpoints as ready, with their priorities and the weights
	// of their localities; degraded endpoints get priorities behind those of all healthy ones. Then the
	// engine's user decides which priorities take traffic. Otherwise usableEndpoints decides it here.
	AllPriorities bool

	last      map[string]engine.Listed // the list so far, by id; nil before the first update
	dropShare float64
	version   int
}

// Update returns the update that leads from the assignment before to this one, or nil if nothing has
// changed, and notices for operators. A nil assignment is one that does not exist and has no servers.
func (d *Differ) Update(a *Assignment) (update *engine.ListUpdate, notices []string) {
	if a == nil {
		a = &Assignment{}
	}
	ready, notices := usableEndpoints(a)
	degradedOffset := 0
	if d.AllPriorities {
		degradedOffset = readyAllPriorities(a, ready)
	}
	u := engine.ListUpdate{Full: d.last == nil, DropShare: a.dropShare()}
	next := make(map[string]engine.Listed, len(a.Endpoints))
	for i := range a.Endpoints {
		s := d.server(&a.Endpoints[i], ready[i], degradedOffset)
		next[s.ID] = s
		if last, listed := d.last[s.ID]; !listed || last != s {
			u.Servers = append(u.Servers, s)
		}
	}
	for id, last := range d.last {
		if _, listed := next[id]; !listed {
			last.State = balancer.Gone
			u.Servers = append(u.Servers, last)
		}
	}
	if len(d.last) > 0 && len(next) == 0 {
		notices = append(notices, fmt.Sprintf("all %d servers are gone: the control plane has removed them", len(d.last)))
	}
	changed := u.Full || len(u.Servers) > 0 || u.DropShare != d.dropShare
	d.last, d.dropShare = next, u.DropShare
	if !changed {
		return nil, notices
	}
	slices.SortFunc(u.Servers, func(a, b engine.Listed) int { return cmp.Compare(a.ID, b.ID) })
	d.version++
	u.Version = fmt.Sprint(d.version)
	return &u, notices
}

// server returns an endpoint as the engine lists it.
func (d *Differ) server(e *Endpoint, ready bool, degradedOffset int) engine.Listed {
	s := engine.Listed{Addr: e.Addr, Server: balancer.Server{
		ID:        e.ID,
		Zone:      e.Zone,
		Cell:      e.Cell,
		Size:      e.Weight,
		StartedAt: e.StartedAt,
	}}
	if !ready {
		s.State = balancer.Draining
	}
	if d.AllPriorities {
		s.Priority, s.Weight = e.Priority, e.LocalityWeight
		if e.Health == Degraded {
			s.Priority += degradedOffset
		}
	}
	return s
}

// readyAllPriorities marks every healthy and degraded endpoint as ready and returns what is to be added to
// the priority of the degraded ones, so that they come after all others. Where there is no endpoint of
// either health, ready stays as it is.
func readyAllPriorities(a *Assignment, ready []bool) (degradedOffset int) {
	for i := range a.Endpoints {
		if a.Endpoints[i].Health <= Degraded {
			ready[i] = true
		}
		degradedOffset = max(degradedOffset, a.Endpoints[i].Priority+1)
	}
	return degradedOffset
}
