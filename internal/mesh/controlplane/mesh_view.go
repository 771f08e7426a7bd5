package controlplane

import (
	"sort"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/routing"
)

// meshView returns the mesh as the input of a plan. The machine of the order with the ID excludedOrder does not count as in
// maintenance.
func (c *maintenanceController) meshView(excludedOrder string) maintenance.View {
	state := c.replica.State()
	view := maintenance.View{
		Contracts:  c.currentContracts(),
		Parameters: c.drainParameters(),
		Load:       map[string]float64{},
	}
	c.addSidecars(&view)
	c.addMembers(&view)
	for _, order := range state.Maintenance.Orders.Open() {
		if order.Step != maintenance.StepWaiting && order.ID != excludedOrder {
			view.InMaintenance = append(view.InMaintenance, order.CurrentMachine())
		}
	}
	for _, route := range routing.NewTable(state.Items).Routes() {
		planned := maintenance.Route{
			Name:     route.Name,
			Timeout:  route.Timeout,
			Download: route.Kind == routing.Download,
		}
		for _, part := range route.Destinations {
			planned.Services = append(planned.Services, part.Service)
		}
		view.Routes = append(view.Routes, planned)
	}
	sort.Slice(view.Routes, func(i, j int) bool { return view.Routes[i].Name < view.Routes[j].Name })
	return view
}

// drainParameters returns the settings that a plan depends on.
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
		machine := maintenance.Machine{
			Addr:         member.Addr,
			Name:         member.Addr,
			ControlPlane: true,
			Ready:        c.replica.IsRecentlyActive(member.ID),
		}
		if status := c.survey.status[member.Addr]; status != nil {
			machine.Name, machine.Zone = status.Name, status.Zone
			machine.Ready = machine.Ready && status.Fault == ""
		}
		view.Machines = append(view.Machines, machine)
	}
}
