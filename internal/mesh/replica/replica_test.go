package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHasQuorumContact checks that a replica whose owner has stalled does not report contact with a quorum.
func TestHasQuorumContact(t *testing.T) {
	assert.Assert(t, !HasQuorumContact(0, 0))
	assert.Assert(t, HasQuorumContact(time.Second, time.Second+stallTimeout-1))
	assert.Assert(t, !HasQuorumContact(time.Second, time.Second+stallTimeout))
}

// TestMaintenanceEndsQuorumContact checks that a replica whose machine a maintenance order has taken out of service transfers leadership
// and reports no quorum contact, until the machine returns to service.
func TestMaintenanceEndsQuorumContact(t *testing.T) {
	c, leader := newSettledCluster(t)
	commit := func(kind MaintenanceKind, text string) {
		t.Helper()
		data := EncodeMaintenanceChange(kind, []byte(text))
		c.leader().call(func(r *Replica) {
			assert.Assert(t, r.Propose(c.now, data, func(result ProposalResult) {
				assert.Assert(t, result.Known)
				assert.NilError(t, result.Outcome.Err)
			}))
		})
		c.run(time.Second)
	}
	assert.Assert(t, leader.replica.QuorumContact() > 0)
	commit(MaintenanceOrder, fmt.Sprintf(`{"id":"o","machines":[%q],"by":"ana"}`, leader.address))
	assert.Assert(t, !leader.replica.InMaintenance())
	commit(MaintenanceUpdate, `{"id":"o","step":"draining","text":"-"}`)
	assert.Assert(t, leader.replica.InMaintenance())
	assert.Equal(t, leader.replica.QuorumContact(), time.Duration(0))
	assert.Assert(t, c.leader() != leader)
	assert.Equal(t, leader.replica.State().Maintenance.MachinesMessage().List[0].Addr, leader.address)
	commit(MaintenanceUpdate, `{"id":"o","step":"returning","text":"-"}`)
	assert.Assert(t, !leader.replica.InMaintenance())
	assert.Assert(t, leader.replica.QuorumContact() > 0)
}
