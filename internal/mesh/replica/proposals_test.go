package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOvertakenProposalIsUnknown shows that what a leader which is cut off has proposed is not known to be committed, also where another
// leader's entry comes to stand at its index.
func TestOvertakenProposalIsUnknown(t *testing.T) {
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
