package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTruncatedProposalIsUnknown checks that a partitioned leader does not report its proposals as committed when the next leader's entries
// have replaced them at the same indexes.
func TestTruncatedProposalIsUnknown(t *testing.T) {
	c, old := newSettledCluster(t)
	c.isolate(old)
	answers := 0
	old.call(func(r *Replica) {
		for range 3 {
			assert.Assert(t, r.Propose(c.now, leaseRequestChange("old", time.Hour), func(result ProposalResult) {
				answers++
				assert.Assert(t, !result.Known)
			}))
		}
	})
	next := c.awaitLeader(t, old)
	next.call(func(r *Replica) {
		for range 3 {
			assert.Assert(t, r.Propose(c.now, leaseRequestChange("next", time.Hour), func(result ProposalResult) {
				assert.Assert(t, result.Known)
			}))
		}
	})
	c.run(time.Second)
	c.heal()
	c.run(2 * time.Second)
	assert.Assert(t, answers > 0)
	assert.Equal(t, old.replica.State().KeyLeases.Leases()[0].Holder, "next")
}
