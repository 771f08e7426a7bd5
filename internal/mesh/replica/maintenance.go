package replica

import (
	"encoding/json"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// MaintenanceKind is the kind of a change of the maintenance state. Its values are stored in the log, so they must not change.
type MaintenanceKind byte

// Kinds of changes of the maintenance state, with the type whose JSON the change contains.
const (
	MaintenanceOrder  MaintenanceKind = 1 // adds an order: maintenance.Order
	MaintenanceUpdate MaintenanceKind = 2 // changes an order: maintenance.OrderChange
	MaintenanceClock  MaintenanceKind = 3 // sets the agreed time of day: maintenance.Clock
)

// EncodeMaintenanceChange encodes a change of the maintenance state as the data of an entry. changeJSON encodes the type that belongs to
// the kind.
func EncodeMaintenanceChange(kind MaintenanceKind, changeJSON []byte) []byte {
	return EncodeChange(ChangeMaintenance, &wire.MaintenanceChangeT{Kind: byte(kind), Json: changeJSON})
}

// Maintenance is the replicated maintenance state: the orders, and the time of day that the members agreed on. Its JSON is part of
// snapshots.
type Maintenance struct {
	Orders    maintenance.OrderTable `json:"book"`
	Clock     maintenance.Clock      `json:"clock"`
	ClockTerm uint64                 `json:"term"`  // term of the entry that set Clock
	Index     uint64                 `json:"index"` // index of the latest entry that changed an order
}

// apply applies a committed change. It returns an error if the change was rejected; the state is then unchanged, on every member.
func (m *Maintenance) apply(entry raft.Entry, kind MaintenanceKind, changeJSON []byte) (err error) {
	switch kind {
	case MaintenanceOrder:
		err = m.placeOrder(entry, changeJSON)
	case MaintenanceUpdate:
		err = m.changeOrder(entry, changeJSON)
	case MaintenanceClock:
		return m.setClock(entry, changeJSON) // changes no order, so Index stays
	}
	if err != nil {
		return err
	}
	m.Index = entry.Index
	return nil
}

// placeOrder adds an operator's order.
func (m *Maintenance) placeOrder(entry raft.Entry, orderJSON []byte) error {
	var order maintenance.Order
	if err := json.Unmarshal(orderJSON, &order); err != nil {
		return err
	}
	orders, err := m.Orders.Place(order, m.Clock.Now(entry.LogTime))
	if err != nil {
		return err
	}
	m.Orders = orders
	return nil
}

// changeOrder applies a change of an order: an operator's, or the next step that the leader decided on.
func (m *Maintenance) changeOrder(entry raft.Entry, changeJSON []byte) error {
	var change maintenance.OrderChange
	if err := json.Unmarshal(changeJSON, &change); err != nil {
		return err
	}
	orders, err := m.Orders.Apply(change, m.Clock.Now(entry.LogTime))
	if err != nil {
		return err
	}
	m.Orders = orders
	return nil
}

// setClock sets the time of day that the members agreed on.
func (m *Maintenance) setClock(entry raft.Entry, clockJSON []byte) error {
	var clock maintenance.Clock
	if err := json.Unmarshal(clockJSON, &clock); err != nil {
		return err
	}
	m.Clock, m.ClockTerm = clock, entry.Term
	return nil
}

// MachinesMessage returns a message for sidecars that lists the machines in maintenance.
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
