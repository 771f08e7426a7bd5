package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// The list of machines in maintenance with the highest log index applies, even if an older one arrives later. A successor is remembered after its
// order has ended.
func TestLatestMaintenanceListApplies(t *testing.T) {
	s, _, _ := newFollowingSidecar(t)
	m := s.maintenance
	m.apply(&wire.MachinesInMaintenanceT{Index: 7, List: []*wire.MachineInMaintenanceT{
		{Addr: s.Addr(), OrderId: "o-1", DrainCallers: true},
		{Addr: "other:1", OrderId: "o-1", Successor: "next:1"},
	}})
	assert.Assert(t, m.isInMaintenance(s.Addr()) && m.isInMaintenance("other:1") && !m.isInMaintenance("next:1"))
	assert.Assert(t, s.localServer.status().held && s.readiness.draining.Load())
	assert.Equal(t, m.successorOf("other:1"), "next:1")
	m.apply(&wire.MachinesInMaintenanceT{Index: 6}) // out of order
	assert.Assert(t, m.isInMaintenance("other:1"))
	m.apply(&wire.MachinesInMaintenanceT{Index: 8})
	assert.Assert(t, !m.isInMaintenance(s.Addr()) && !m.isInMaintenance("other:1"))
	assert.Assert(t, !s.localServer.status().held && !s.readiness.draining.Load())
	assert.Equal(t, m.successorOf("other:1"), "next:1")
	assert.Equal(t, m.successorOf(s.Addr()), "")
}
