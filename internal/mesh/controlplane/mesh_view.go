package controlplane

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/transport/wire"
)

const maxWaitsNamed = 3 // of the sidecars that an order waits for

// meshView returns the mesh as the input of a plan. The machine of the order except does not count as in maintenance.
func (c *maintenanceController) meshView(except string) maintenance.View {
	state := c.replica.State()
	view := maintenance.View{Contracts: c.currentContracts(), Parameters: c.drainParameters(), Load: map[string]float64{}}
	c.addSidecars(&view)
	c.addMembers(&view)
	for _, order := range state.Maintenance.Orders.Open() {
		if order.Step != maintenance.StepWaiting && order.ID != except {
			view.InMaintenance = append(view.InMaintenance, order.CurrentMachine())
		}
	}
	for _, route := range routing.NewTable(state.Items).Routes() {
		planned := maintenance.Route{Name: route.Name, Timeout: route.Timeout, Download: route.Kind == routing.Download}
		for _, part := range route.Destinations {
			planned.Services = append(planned.Services, part.Service)
		}
		view.Routes = append(view.Routes, planned)
	}
	sort.Slice(view.Routes, func(i, j int) bool { return view.Routes[i].Name < view.Routes[j].Name })
	return view
}

func (c *maintenanceController) drainParameters() maintenance.Parameters {
	set := c.settings.Load()
	return maintenance.Parameters{
		DrainTimeout:      set.Bounds.DrainS.Duration(),
		DownloadAllowance: downloadAllowance,
		WarmUp:            warmUpTime,
		Margin:            maintenanceMargin,
		FaultTolerance:    set.FaultTolerance.Machines,
	}
}

// addSidecars adds the machines of sidecars, and the load of services as their sidecars measure it.
func (c *maintenanceController) addSidecars(view *maintenance.View) {
	owners := config.NewPolicySet(config.Table{}, c.replica.State().Items)
	for _, record := range c.replica.Records().All() {
		status := c.survey.status[record.Addr]
		view.Machines = append(view.Machines, maintenance.Machine{
			Addr:       record.Addr,
			Name:       record.Node,
			Zone:       record.Zone,
			Service:    record.Service,
			Namespaces: owners.OwnersOfService(record.Service),
			Slots:      int(record.Slots),
			Ready:      record.State == directory.ServerReady && !record.Leaving && status != nil && status.Ready,
		})
		if status != nil {
			view.Load[record.Service] += float64(status.OpenRequests)
		}
	}
}

// addMembers adds the machines of control-plane members.
func (c *maintenanceController) addMembers(view *maintenance.View) {
	members, _ := c.replica.Members()
	for _, member := range members {
		machine := maintenance.Machine{Addr: member.Addr, Name: member.Addr, ControlPlane: true, Ready: c.replica.HearsFrom(member.ID)}
		if status := c.survey.status[member.Addr]; status != nil {
			machine.Name, machine.Zone = status.Name, status.Zone
			machine.Ready = machine.Ready && status.Fault == ""
		}
		view.Machines = append(view.Machines, machine)
	}
}

// observe returns what the latest survey found out about the current machine of an order.
func (c *maintenanceController) observe(order maintenance.Order) maintenance.Observation {
	address := order.CurrentMachine()
	status := c.survey.status[address]
	if status == nil {
		delete(c.readySince, address)
		return maintenance.Observation{}
	}
	seen := maintenance.Observation{
		Reachable:         true,
		Cordoned:          status.InMaintenance,
		ServerRequests:    int(status.OpenRequests),
		CallerRequests:    int(status.DownstreamRequests),
		CallersMoved:      !status.Ready,
		KeysHandedOver:    status.HandedOverOrder == order.ID,
		WorkText:          describeWork(status),
		ControlPlane:      status.ControlPlane,
		FollowingSidecars: len(status.Sidecars),
		IsLeader:          status.IsLeader,
	}
	if status.ControlPlane {
		seen.Ready = !status.InMaintenance && status.QuorumContact && !status.IsNonMember
	} else {
		record, _ := c.replica.Records().Get(address)
		seen.Ready = !status.InMaintenance && status.Ready && (status.ServerId == "" || record.State == directory.ServerReady)
		senders := c.stillSending(address)
		seen.Senders, seen.SendersText = len(senders), strings.Join(senders[:min(maxWaitsNamed, len(senders))], ", ")
	}
	seen.Warm = c.isWarm(address, seen.Ready)
	return seen
}

// stillSending names the sidecars that may still send to the machine at an address, and why each may.
func (c *maintenanceController) stillSending(address string) (senders []string) {
	now := c.clock.now()
	for _, record := range c.replica.Records().All() {
		if record.Addr == address {
			continue
		}
		status := c.survey.status[record.Addr]
		switch {
		case status == nil && now-c.survey.lastHeard[record.Addr] > silenceTimeout:
			// The machine itself rejects what a sidecar sends that is out of contact for so long.
		case status == nil:
			senders = append(senders, record.Node+" does not answer")
		case status.MaintenanceIndex < c.replica.State().Maintenance.Index:
			senders = append(senders, record.Node+" has not heard of it")
		case slices.Contains(status.UpstreamAddrs, address):
			senders = append(senders, record.Node+" still has requests there")
		}
	}
	return senders
}

// isWarm reports whether a machine has been ready without a break for warmUpTime.
func (c *maintenanceController) isWarm(address string, ready bool) bool {
	if !ready {
		delete(c.readySince, address)
		return false
	}
	since, known := c.readySince[address]
	if known {
		return c.clock.now()-since >= warmUpTime
	}
	if c.readySince == nil {
		c.readySince = map[string]time.Duration{}
	}
	c.readySince[address] = c.clock.now()
	return false
}

// describeWork describes for operators what runs at a sidecar's server, and how earlier requests there have ended.
func describeWork(status *wire.StatusT) string {
	var open, ended []string
	for _, work := range status.Work {
		if work.Open > 0 {
			open = append(open, fmt.Sprintf("%d %s", work.Open, work.Kind))
		}
		for _, ending := range []struct {
			count int64
			how   string
		}{{work.Answered, "answered"}, {work.Rejected, "turned away"}, {work.Broken, "broken off"}} {
			if ending.count > 0 {
				ended = append(ended, fmt.Sprintf("%d %s %s", ending.count, work.Kind, ending.how))
			}
		}
	}
	if len(open) == 0 {
		open = []string{"none"}
	}
	if len(ended) == 0 {
		ended = []string{"nothing"}
	}
	return "in flight " + strings.Join(open, ", ") + "; ended since: " + strings.Join(ended, ", ")
}
