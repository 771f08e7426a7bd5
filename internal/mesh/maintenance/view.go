package maintenance

import (
	"slices"
	"sort"
	"time"
)

// Machine is one that may be taken out: it runs a sidecar and a server, or a control-plane member.
type Machine struct {
	Addr, Name, Zone, Service string
	Namespaces                []string // that own its service, and those that they are nested in
	Slots                     int      // requests that its server takes at once
	Ready                     bool     // its server is sent to; of a control-plane member: it follows or leads
	ControlPlane              bool
}

// Route is what a plan has to know of a route.
type Route struct {
	Name     string
	Services []string
	Timeout  time.Duration
	Download bool
}

// Parameters are the figures that a drain goes by.
type Parameters struct {
	DrainTimeout      time.Duration // in which the other sidecars stop sending, once the machine's own is told
	DownloadAllowance time.Duration // the longest that a download may take beyond its route's timeout
	WarmUp            time.Duration // that a server needs when it comes back
	Margin            time.Duration // that stays before a window ends
	FaultTolerance    int           // control-plane members that may be lost at once
}

// View is the mesh when a plan is asked for.
type View struct {
	Machines      []Machine
	Routes        []Route
	Contracts     []Contract
	InMaintenance []string           // addresses of machines that other orders have out, or are about to take out
	Load          map[string]float64 // slots at work by service, as measured; of a service that is missing nothing is known
	Parameters    Parameters
}

func (v View) machine(addr string) (Machine, bool) {
	i := slices.IndexFunc(v.Machines, func(m Machine) bool { return m.Addr == addr })
	if i < 0 {
		return Machine{}, false
	}
	return v.Machines[i], true
}

func (v View) isInMaintenance(addr string) bool { return slices.Contains(v.InMaintenance, addr) }

// isCovered says that a contract's traffic runs over a machine. Over a control-plane member runs all traffic, so every
// contract covers it.
func (v View) isCovered(c Contract, m Machine) bool {
	scope := c.Covers
	switch {
	case m.ControlPlane, scope.isEmpty():
		return true
	case slices.Contains(scope.Services, m.Service), slices.Contains(scope.Zones, m.Zone):
		return true
	case slices.ContainsFunc(m.Namespaces, func(name string) bool { return slices.Contains(scope.Namespaces, name) }):
		return true
	}
	return slices.ContainsFunc(v.Routes, func(r Route) bool {
		return slices.Contains(scope.Routes, r.Name) && slices.Contains(r.Services, m.Service)
	})
}

// TransitionTime is how long a machine takes to go out and to come back at the most, the maintenance itself not counted.
func (v View) TransitionTime(m Machine) time.Duration {
	if m.ControlPlane {
		return v.Parameters.DrainTimeout
	}
	longest := time.Duration(0)
	for _, r := range v.Routes {
		timeout := r.Timeout
		if r.Download {
			timeout += v.Parameters.DownloadAllowance
		}
		longest = max(longest, timeout)
	}
	return v.Parameters.DrainTimeout + longest + v.Parameters.WarmUp
}

// successor is the sidecar that takes over the idempotency keys of another: the first of its service that is ready, of its own
// zone if there is one; "" means that there is none.
func (v View) successor(addr string) string {
	leaving, known := v.machine(addr)
	if !known {
		return ""
	}
	best, sameZone := "", false
	for _, m := range v.Machines {
		if m.ControlPlane || m.Addr == addr || m.Service != leaving.Service || !m.Ready || v.isInMaintenance(m.Addr) {
			continue
		}
		if best == "" || m.Zone == leaving.Zone && !sameZone {
			best, sameZone = m.Addr, m.Zone == leaving.Zone
		}
	}
	return best
}

// Sequence puts machines in the order in which they may come out one after the other: services with the most ready slots
// first, within a service by zone and address; control-plane members last, and the leader the very last of them.
func (v View) Sequence(addrs []string, leader string) []string {
	readySlots := map[string]int{}
	machines := map[string]Machine{}
	for _, m := range v.Machines {
		machines[m.Addr] = m
		if m.Ready {
			readySlots[m.Service] += m.Slots
		}
	}
	sequence := slices.Clone(addrs)
	sort.SliceStable(sequence, func(i, j int) bool {
		a, b := machines[sequence[i]], machines[sequence[j]]
		switch {
		case a.ControlPlane != b.ControlPlane:
			return b.ControlPlane
		case a.ControlPlane:
			return a.Addr != leader && (b.Addr == leader || a.Addr < b.Addr)
		case readySlots[a.Service] != readySlots[b.Service]:
			return readySlots[a.Service] > readySlots[b.Service]
		case a.Service != b.Service:
			return a.Service < b.Service
		case a.Zone != b.Zone:
			return a.Zone < b.Zone
		}
		return a.Addr < b.Addr
	})
	return sequence
}
