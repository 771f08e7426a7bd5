package replica

import (
	"encoding/json"
	"time"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

// Kinds of changes of the maintenance state.
const (
	MaintenanceOrder  byte = iota + 1 // an order, night.Order
	MaintenanceUpdate                 // a word on one, night.Change
	MaintenanceClock                  // the time agreed on, night.Clock
)

// Maintenance is what is agreed on of maintenance: the orders and the time of day.
type Maintenance struct {
	Orders    maintenance.OrderTable `json:"book"`
	Clock     maintenance.Clock      `json:"clock"`
	ClockTerm uint64                 `json:"term"` // of the leader whose entry the clock is of
	Index     uint64                 `json:"index"`
}

// apply takes a committed change.
func (m *Maintenance) apply(e raft.Entry, kind byte, text []byte) error {
	now := m.Clock.Now(e.LogTime)
	switch kind {
	case MaintenanceOrder:
		var o maintenance.Order
		if err := json.Unmarshal(text, &o); err != nil {
			return err
		}
		b, err := m.Orders.Place(o, now)
		if err != nil {
			return err
		}
		m.Orders = b
	case MaintenanceUpdate:
		var c maintenance.OrderChange
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		b, err := m.Orders.Apply(c, now)
		if err != nil {
			return err
		}
		m.Orders = b
	case MaintenanceClock:
		var c maintenance.Clock
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		m.Clock, m.ClockTerm = c, e.Term
		return nil
	}
	m.Index = e.Index
	return nil
}

// MachinesMessage are the machines that orders have out, for sidecars and replicas.
func (m *Maintenance) MachinesMessage() *wire.MachinesInMaintenanceT {
	t := &wire.MachinesInMaintenanceT{Index: m.Index}
	for _, o := range m.Orders.Open() {
		if o.Step.IsCordoned() {
			t.List = append(t.List, &wire.MachineInMaintenanceT{Addr: o.CurrentMachine(), OrderId: o.ID, DrainCallers: o.Step != maintenance.StepDraining, Successor: o.Successor})
		}
	}
	return t
}

// leaderGap is for how long nobody led since the last agreed time, as this replica knows from its own steady clock: log time
// stands still then.
type leaderGap struct {
	duration  time.Duration // night.GapUnknown: the replica did not live through it
	term      uint64        // of the latest entry
	logTime   time.Duration // the same
	appliedAt time.Duration // when that was applied; 0: none was
}

// observe notes an entry that is applied; agreed: it holds a new agreed time.
func (l *leaderGap) observe(e raft.Entry, now time.Duration, agreed bool) {
	switch {
	case l.appliedAt == 0:
		l.duration = maintenance.LeaderlessUnknown
	case e.Term != l.term && l.duration >= 0:
		l.duration += max(0, (now-l.appliedAt)-(e.LogTime-l.logTime))
	}
	l.term, l.logTime, l.appliedAt = e.Term, e.LogTime, max(1, now)
	if agreed {
		l.duration = 0
	}
}
