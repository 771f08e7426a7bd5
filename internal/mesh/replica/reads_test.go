package replica

import (
	"encoding/binary"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
)

// TestIsolatedLeaderServesNoRead checks that a leader that is partitioned from a majority confirms no read.
func TestIsolatedLeaderServesNoRead(t *testing.T) {
	c, old := newSettledCluster(t)
	c.isolate(old)
	answers := 0
	old.call(func(r *Replica) {
		r.Fetch(c.now, func(fetched FetchResult) {
			answers++
			assert.Assert(t, !fetched.Confirmed)
		})
	})
	c.awaitLeader(t, old)
	c.heal()
	c.run(2 * time.Second)
	assert.Equal(t, answers, 1)
}

// TestReadWaitsForItsIndex checks that a read at a follower waits until the entry at the index that the leader returned is applied.
func TestReadWaitsForItsIndex(t *testing.T) {
	r, env := newRecordedReplicaA(t)
	receiveHeartbeat(r, 0, "b", 2)
	answers := 0
	r.LinearizableRead(time.Millisecond, func(confirmed bool) {
		answers++
		assert.Assert(t, confirmed)
	})
	env.callbacks[0](Reply{Status: http.StatusOK, Body: binary.BigEndian.AppendUint64(nil, 3)})
	receiveHeartbeat(r, 2*time.Millisecond, "b", 2)
	assert.Equal(t, answers, 0)
	receiveAppend(r, 3*time.Millisecond, "b", 2, 1, 1, 2, raft.Entry{Index: 2, Term: 2}, raft.Entry{Index: 3, Term: 2})
	r.ProcessReady()
	assert.Equal(t, answers, 0)
	receiveAppend(r, 4*time.Millisecond, "b", 2, 3, 2, 3)
	r.ProcessReady()
	assert.Equal(t, answers, 1)
}
