package raft

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A former leader that comes back with many conflicting entries catches up within a few heartbeats rather than after one attempt per
// entry. Until then it has no quorum contact, although it hears the leader.
func TestCatchUpAfterConflictingEntries(t *testing.T) {
	model := modelWithLeader(t, 3)
	old := model.nodes[0]
	for n := range 300 { // the others hear nothing of these
		old.raft.Propose(old.now, []byte{byte(n)})
	}
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	isolateFirst(t, model)
	deliverAllExcept(t, model, 1)
	lead := model.nodes[1]
	assert.Assert(t, lead.raft.IsLeader())
	for n := range 300 {
		lead.raft.Propose(lead.now, []byte{byte(n), 'b'})
	}
	assert.NilError(t, model.processReady(1, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 1)
	// The first hears again. A heartbeat is all that starts each attempt.
	isBehind := func() bool { return old.raft.log.committed < lead.raft.log.committed }
	rounds := 0
	for ; isBehind(); rounds++ {
		assert.Assert(t, rounds <= 8, "it has %d of %d entries", old.raft.log.committed, lead.raft.log.committed)
		for _, n := range model.nodes {
			n.now += testHeartbeatInterval
		}
		lead.raft.Tick(lead.now)
		assert.NilError(t, model.processReady(1, noCrash, modelFaults{}))
		for len(model.network) > 0 && isBehind() {
			deliverNext(t, model)
			assert.Assert(t, !isBehind() || !old.raft.HasQuorumContact(old.now), "in contact with %d of %d entries",
				old.raft.log.committed, lead.raft.log.committed)
		}
	}
	assert.Assert(t, old.raft.HasQuorumContact(old.now))
	t.Logf("%d heartbeats", rounds)
}

// The log's time never goes back and never runs faster than real time, over all leaders.
func TestLogTime(t *testing.T) {
	sim := newSettledSimulation(t, 5, "a", "b", "c")
	for n := range 5 {
		sim.write(fmt.Sprint(n))
		sim.isolated[sim.leader().self.Addr] = true
		sim.run(3 * time.Second)
		clear(sim.isolated)
		sim.run(time.Second)
	}
	sim.write("last")
	n := sim.leader()
	last := time.Duration(0)
	for _, e := range n.raft.log.entries {
		assert.Assert(t, e.LogTime >= last && e.LogTime <= sim.now)
		last = e.LogTime
	}
}

// No more entries are in flight than the bound, so that a heartbeat does not wait behind a whole log.
func TestInflightEntriesAreBounded(t *testing.T) {
	model := modelWithLeader(t, 3)
	c := model.nodes[0].raft
	for range 100 {
		c.Propose(model.nodes[0].now, make([]byte, 4<<10))
		assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	}
	bytes := 0
	for _, m := range model.network {
		if m.To == 2 {
			bytes += totalEntryBytes(m.Entries)
		}
	}
	assert.Assert(t, bytes >= maxInflightBytes && bytes <= maxInflightBytes+maxBytesPerMessage, "%d", bytes)
	deliverAll(t, model)
	assert.Equal(t, model.nodes[1].raft.log.lastIndex(), c.log.lastIndex())
}

// A leader does not commit by counting what an earlier leader appended: a third that lacks it may still be elected (Raft paper,
// figure 8).
func TestEarlierTermNotCounted(t *testing.T) {
	model := modelWithLeader(t, 3)
	c := model.nodes[0].raft
	c.Propose(model.nodes[0].now, []byte("of the first term"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	model.network = nil
	index := c.log.lastIndex()
	c.changeRole(follower, c.term, 0)
	c.campaign(campaignElection)
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	c.Step(model.nodes[0].now, Message{Kind: VoteResponse, From: 2, To: 1, Term: c.term})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	assert.Assert(t, c.IsLeader() && c.log.lastIndex() == index+1)
	c.Step(model.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: c.term, Index: index})
	assert.Assert(t, c.log.committed < index)
	c.Step(model.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: c.term, Index: index + 1})
	assert.Equal(t, c.log.committed, index+1)
}

// A member starts with the entries that its disk keeps in front of the snapshot, and sends them.
func TestCatchUpEntriesAfterRestart(t *testing.T) {
	sim := newSimulation(t, 56, "a", "b", "c")
	lags := sim.isolateFollower(200, 400, 10)
	sim.onSend = func(to string, m Message) {
		assert.Assert(t, to != lags || m.Kind != SnapshotChunk && m.Kind != InstallSnapshot)
	}
	for _, a := range sim.addrs() {
		if a != lags {
			sim.crash(a, 100*time.Millisecond)
		}
	}
	sim.run(2 * time.Second)
	delete(sim.isolated, lags)
	sim.requireComplete("a", "b", "c")
}
