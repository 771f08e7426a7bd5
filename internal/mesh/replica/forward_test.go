package replica

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// TestForwardedCallsFailWhenTheLeaderChanges checks that a call that was forwarded to a leader that hangs is answered exactly once, as soon
// as another replica leads, and that sidecars are notified at once that the replica has regained contact with a quorum.
func TestForwardedCallsFailWhenTheLeaderChanges(t *testing.T) {
	r, env := newRecordedReplicaA(t)
	receiveHeartbeat(r, 0, "b", 2)
	var replies []Reply
	requestLease := func(now time.Duration) {
		r.HandleCall(now, codec.CallLeaseKeys, nil, FromSidecar, func(reply Reply) { replies = append(replies, reply) })
		r.ProcessReady()
	}
	requestLease(time.Millisecond)
	requestLease(2 * time.Millisecond)
	env.callbacks[0](Reply{Status: http.StatusOK})
	assert.Equal(t, len(replies), 1)
	for now := time.Duration(0); now < 2*time.Second; now += TickInterval { // b hangs
		r.Tick(now)
		r.ProcessReady()
	}
	assert.Equal(t, r.QuorumContact(), time.Duration(0))
	env.broadcasts = nil
	receiveHeartbeat(r, 2*time.Second, "c", 9)
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, replies[1].Status, http.StatusServiceUnavailable)
	env.callbacks[1](Reply{Status: http.StatusOK}) // a late reply is ignored
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, len(env.broadcasts), 1)
	assert.Assert(t, env.broadcasts[0].(*wire.HeartbeatT).QuorumContact)
	requestLease(2 * time.Second)
	assert.DeepEqual(t, env.calledAddresses, []string{"b", "b", "c"})
}

// TestPeerExited checks that only the exit of the leader's process leads to an election, and that the election then begins with a Tick that
// is due soon.
func TestPeerExited(t *testing.T) {
	r, env := newRecordedReplicaA(t)
	receiveHeartbeat(r, 0, "b", 2)
	_, isLeader := r.PeerExited(time.Millisecond, "c")
	assert.Assert(t, !isLeader)
	_, isLeader = r.PeerExited(time.Millisecond, "")
	assert.Assert(t, !isLeader)
	wait, isLeader := r.PeerExited(time.Millisecond, "b")
	assert.Assert(t, isLeader && wait < electionTimeout/2)
	env.sent = nil
	r.Tick(time.Millisecond + wait)
	r.ProcessReady()
	assert.Assert(t, len(env.sent) > 0 && env.sent[0].Kind == raft.PreVote)
}
