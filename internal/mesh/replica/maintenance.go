package replica

import (
	"encoding/json"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// Kinds of changes of the maintenance state. They are stored in the log.
const (
	MaintenanceOrder  byte = 1 // a new order: maintenance.Order
	MaintenanceUpdate byte = 2 // a change of one: maintenance.OrderChange
	MaintenanceClock  byte = 3 // the agreed time of day: maintenance.Clock
)

// Maintenance is the replicated state of maintenance: the orders and the time of day. Its JSON is part of snapshots.
type Maintenance struct {
	Orders    maintenance.OrderTable `json:"book"`
	Clock     maintenance.Clock      `json:"clock"`
	ClockTerm uint64                 `json:"term"`  // of the entry that set the clock
	Index     uint64                 `json:"index"` // of the latest entry that changed an order
}

// apply applies a committed change.
func (m *Maintenance) apply(entry raft.Entry, kind byte, text []byte) error {
	now := m.Clock.Now(entry.LogTime)
	switch kind {
	case MaintenanceOrder:
		var order maintenance.Order
		if err := json.Unmarshal(text, &order); err != nil {
			return err
		}
		orders, err := m.Orders.Place(order, now)
		if err != nil {
			return err
		}
		m.Orders = orders
	case MaintenanceUpdate:
		var change maintenance.OrderChange
		if err := json.Unmarshal(text, &change); err != nil {
			return err
		}
		orders, err := m.Orders.Apply(change, now)
		if err != nil {
			return err
		}
		m.Orders = orders
	case MaintenanceClock:
		var clock maintenance.Clock
		if err := json.Unmarshal(text, &clock); err != nil {
			return err
		}
		m.Clock, m.ClockTerm = clock, entry.Term
		return nil
	}
	m.Index = entry.Index
	return nil
}

// MachinesMessage returns the machines in maintenance, as a message for sidecars and replicas.
func (m *Maintenance) MachinesMessage() *wire.MachinesInMaintenanceT {
	message := &wire.MachinesInMaintenanceT{Index: m.Index}
	for _, order := range m.Orders.Open() {
		if !order.Step.IsCordoned() {
			continue
		}
		message.List = append(message.List, &wire.MachineInMaintenanceT{
			Addr:         order.CurrentMachine(),
			OrderId:      order.ID,
			DrainCallers: order.Step != maintenance.StepDraining,
			Successor:    order.Successor,
		})
	}
	return message
}
