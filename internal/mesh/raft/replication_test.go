package raft

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A former leader that reconnects with many conflicting entries catches up within a few heartbeats rather than after one attempt per
// entry. Until then it reports no quorum contact, although it receives the leader's heartbeats.
func TestCatchUpAfterConflictingEntries(t *testing.T) {
	model := modelWithLeader(t, 3)
	old := model.nodes[0]
	for n := range 300 { // the messages with these entries are lost
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
	// The first member is reachable again. Only heartbeats start attempts to find where the logs agree.
	isBehind := func() bool { return old.raft.log.committed < lead.raft.log.committed }
	rounds := 0
	for ; isBehind(); rounds++ {
		assert.Assert(t, rounds <= 8, "after too many heartbeats it has committed %d of %d entries",
			old.raft.log.committed, lead.raft.log.committed)
		for _, n := range model.nodes {
			n.now += testHeartbeatInterval
		}
		lead.raft.Tick(lead.now)
		assert.NilError(t, model.processReady(1, noCrash, modelFaults{}))
		for len(model.network) > 0 && isBehind() {
			deliverNext(t, model)
			assert.Assert(t, !isBehind() || !old.raft.HasQuorumContact(old.now), "quorum contact reported with %d of %d entries committed",
				old.raft.log.committed, lead.raft.log.committed)
		}
	}
	assert.Assert(t, old.raft.HasQuorumContact(old.now))
	t.Logf("%d heartbeats", rounds)
}

// The logical time of the log never goes back and never runs faster than real time, across changes of the leader.
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

// The entries in flight to a peer are limited, so that a heartbeat does not wait behind a whole log.
func TestInflightEntriesAreBounded(t *testing.T) {
	model := modelWithLeader(t, 3)
	leader := model.nodes[0].raft
	for range 100 {
		leader.Propose(model.nodes[0].now, make([]byte, 4<<10))
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
	assert.Equal(t, model.nodes[1].raft.log.lastIndex(), leader.log.lastIndex())
}

// A leader does not commit an entry of an earlier term by counting replicas: a member that lacks the entry may still be elected (Raft
// paper, figure 8).
func TestEarlierTermNotCommittedByCounting(t *testing.T) {
	model := modelWithLeader(t, 3)
	leader := model.nodes[0].raft
	leader.Propose(model.nodes[0].now, []byte("of the first term"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	model.network = nil
	index := leader.log.lastIndex()
	leader.changeRole(follower, leader.term, 0)
	leader.campaign(campaignElection)
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	leader.Step(model.nodes[0].now, Message{Kind: VoteResponse, From: 2, To: 1, Term: leader.term})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	assert.Assert(t, leader.IsLeader() && leader.log.lastIndex() == index+1)
	leader.Step(model.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: leader.term, Index: index})
	assert.Assert(t, leader.log.committed < index)
	leader.Step(model.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: leader.term, Index: index + 1})
	assert.Equal(t, leader.log.committed, index+1)
}

// After a restart a leader sends lagging followers the catch-up entries from its disk, rather than the snapshot.
func TestCatchUpEntriesAfterRestart(t *testing.T) {
	sim := newSimulation(t, 56, "a", "b", "c")
	laggingAddr := sim.isolateFollower(200, 400, 10)
	sim.onSend = func(to string, m Message) {
		assert.Assert(t, to != laggingAddr || m.Kind != SnapshotChunk && m.Kind != InstallSnapshot)
	}
	for _, a := range sim.addrs() {
		if a != laggingAddr {
			sim.crash(a, 100*time.Millisecond)
		}
	}
	sim.run(2 * time.Second)
	delete(sim.isolated, laggingAddr)
	sim.requireComplete("a", "b", "c")
}
