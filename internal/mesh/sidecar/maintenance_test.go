package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// The orders of the latest log entry count, whichever message brings them. A successor is remembered after its order has ended.
func TestMaintenanceOrders(t *testing.T) {
	s, _, _ := newFollowingSidecar(t)
	m := s.maintenance
	m.apply(&wire.MachinesInMaintenanceT{Index: 7, List: []*wire.MachineInMaintenanceT{
		{Addr: s.Addr(), OrderId: "o-1", DrainCallers: true},
		{Addr: "other:1", OrderId: "o-1", Successor: "next:1"},
	}})
	assert.Assert(t, m.isOut(s.Addr()) && m.isOut("other:1") && !m.isOut("next:1"))
	assert.Assert(t, s.localServer.status().held && s.readiness.draining.Load())
	assert.Equal(t, m.successorOf("other:1"), "next:1")
	m.apply(&wire.MachinesInMaintenanceT{Index: 6}) // late
	assert.Assert(t, m.isOut("other:1"))
	m.apply(&wire.MachinesInMaintenanceT{Index: 8})
	assert.Assert(t, !m.isOut(s.Addr()) && !m.isOut("other:1"))
	assert.Assert(t, !s.localServer.status().held && !s.readiness.draining.Load())
	assert.Equal(t, m.successorOf("other:1"), "next:1")
	assert.Equal(t, m.successorOf(s.Addr()), "")
}
