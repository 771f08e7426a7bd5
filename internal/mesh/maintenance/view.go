package maintenance

import (
	"slices"
	"sort"
	"time"
)

// Machine is a machine that may be taken out. It runs either a sidecar and a server or a control-plane member.
type Machine struct {
	Addr         string // of its sidecar, or of the control-plane member
	Name         string // for display
	Zone         string
	Service      string   // of its server; empty for a control-plane member
	Namespaces   []string // the one that owns its service, and those that this one is nested in
	Slots        int      // requests that its server runs concurrently
	Ready        bool     // its server receives requests, or its control-plane member is a follower or the leader
	ControlPlane bool     // it runs a control-plane member
}

// Route is the part of a route that plans depend on.
type Route struct {
	Name     string
	Services []string
	Timeout  time.Duration
	Download bool
}

// Parameters are the times and limits that plans use.
type Parameters struct {
	DrainTimeout      time.Duration // for the other sidecars to stop sending, once the machine's own sidecar knows of the order
	DownloadAllowance time.Duration // by how much a download may exceed its route's time-out
	WarmUp            time.Duration // of a server that comes back
	Margin            time.Duration // reserved before the end of a window
	FaultTolerance    int           // how many further control-plane members may fail at once
}

// View is the state of the mesh that a plan is based on.
type View struct {
	Machines      []Machine
	Routes        []Route
	Contracts     []Contract
	InMaintenance []string           // addresses of machines that other orders have taken out or are about to take out
	Load          map[string]float64 // measured busy slots by service; a service without an entry is not checked
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

// isCovered reports whether a contract covers a machine because the machine carries traffic in the contract's scope.
// All traffic depends on the control plane, so every contract covers its members.
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

// TransitionTime returns an upper bound for draining a machine and returning it to service, without the maintenance itself.
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

// successor returns the address of the sidecar that takes over the idempotency keys of another: the first ready one of
// its service, preferably in its zone. It returns "" if there is none.
func (v View) successor(addr string) string {
	leaving, exists := v.machine(addr)
	if !exists {
		return ""
	}
	best, sameZone := "", false
	for _, m := range v.Machines {
		if m.ControlPlane || m.Addr == addr || m.Service != leaving.Service || !m.Ready || v.isInMaintenance(m.Addr) {
			continue
		}
		if best == "" || m.Zone == leaving.Zone && !sameZone {
			best = m.Addr
			sameZone = m.Zone == leaving.Zone
		}
	}
	return best
}

// Sequence sorts machines into the order in which they are taken out one after the other: the services with the most
// ready slots first, within a service by zone and address, and control-plane members last, with the leader at the end.
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
