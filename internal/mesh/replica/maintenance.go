package replica

import (
	"encoding/json"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// MaintenanceKind is what a change of the maintenance state does. Its values are stored in the log, so they must not change.
type MaintenanceKind byte

// Kinds of changes of the maintenance state, with the type whose JSON they carry.
const (
	MaintenanceOrder  MaintenanceKind = 1 // a new order: maintenance.Order
	MaintenanceUpdate MaintenanceKind = 2 // a change of one: maintenance.OrderChange
	MaintenanceClock  MaintenanceKind = 3 // the agreed time of day: maintenance.Clock
)

// EncodeMaintenanceChange encodes a change of the maintenance state as the data of an entry. text is the JSON of the type that belongs
// to the kind.
func EncodeMaintenanceChange(kind MaintenanceKind, text []byte) []byte {
	return EncodeChange(ChangeMaintenance, &wire.MaintenanceChangeT{Kind: byte(kind), Json: text})
}

// Maintenance is the replicated state of maintenance: the orders and the time of day. Its JSON is part of snapshots.
type Maintenance struct {
	Orders    maintenance.OrderTable `json:"book"`
	Clock     maintenance.Clock      `json:"clock"`
	ClockTerm uint64                 `json:"term"`  // of the entry that set the clock
	Index     uint64                 `json:"index"` // of the latest entry that changed an order
}

// apply applies a committed change. The error says why it was rejected; the state is then as before, on every member alike.
func (m *Maintenance) apply(entry raft.Entry, kind MaintenanceKind, text []byte) (err error) {
	switch kind {
	case MaintenanceOrder:
		err = m.placeOrder(entry, text)
	case MaintenanceUpdate:
		err = m.changeOrder(entry, text)
	case MaintenanceClock:
		return m.setClock(entry, text) // no order changes, so Index stays
	}
	if err != nil {
		return err
	}
	m.Index = entry.Index
	return nil
}

// placeOrder adds an operator's order.
func (m *Maintenance) placeOrder(entry raft.Entry, text []byte) error {
	var order maintenance.Order
	if err := json.Unmarshal(text, &order); err != nil {
		return err
	}
	orders, err := m.Orders.Place(order, m.Clock.Now(entry.LogTime))
	if err != nil {
		return err
	}
	m.Orders = orders
	return nil
}

// changeOrder changes an order: an operator's change, or the next step that the leader has decided.
func (m *Maintenance) changeOrder(entry raft.Entry, text []byte) error {
	var change maintenance.OrderChange
	if err := json.Unmarshal(text, &change); err != nil {
		return err
	}
	orders, err := m.Orders.Apply(change, m.Clock.Now(entry.LogTime))
	if err != nil {
		return err
	}
	m.Orders = orders
	return nil
}

// setClock sets the agreed time of day.
func (m *Maintenance) setClock(entry raft.Entry, text []byte) error {
	var clock maintenance.Clock
	if err := json.Unmarshal(text, &clock); err != nil {
		return err
	}
	m.Clock, m.ClockTerm = clock, entry.Term
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
