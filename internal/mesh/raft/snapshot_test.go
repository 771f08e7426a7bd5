package raft

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A follower that lacks entries which the leader has compacted is sent the snapshot.
func TestFollowerCatchesUpBySnapshot(t *testing.T) {
	sim := newSettledSimulation(t, 6, "a", "b", "c")
	sim.isolated["c"] = true
	sim.run(3 * time.Second)
	for n := range 10 {
		sim.write(fmt.Sprint(n))
	}
	leader := sim.leader()
	leader.compact([]byte("state"))
	assert.Assert(t, leader.snapshot.Index > 1 && leader.raft.EntriesSinceSnapshot() == 0)
	sim.isolated["c"] = false
	sim.run(2 * time.Second)
	sim.write("behind it")
	sim.requireComplete("a", "b", "c")
}

// A member that has missed 1,000 commands needs no snapshot if the leader has kept these as catch-up entries. If it has kept only 100, the
// member is sent the snapshot once, in chunks.
func TestCatchUpEntriesAvoidSnapshot(t *testing.T) {
	for _, test := range []struct{ keep, chunks int }{{DefaultCatchUpEntries, 0}, {100, 200}} {
		sim := newSimulation(t, 51, "a", "b", "c")
		laggingAddr := sim.isolateFollower(1000, test.keep, test.chunks<<10)
		chunks := 0
		sim.onSend = func(to string, m Message) {
			if to == laggingAddr {
				assert.Assert(t, m.Kind != InstallSnapshot)
				if m.Kind == SnapshotChunk {
					chunks++
				}
			}
		}
		delete(sim.isolated, laggingAddr)
		sim.proposeMany(20)
		sim.run(4 * time.Second)
		sim.requireComplete("a", "b", "c")
		assert.Equal(t, chunks, test.chunks)
	}
}

// On a link that loses a fifth of the messages a snapshot still arrives. No more chunks than the limit are in flight, and heartbeats
// continue meanwhile.
func TestSnapshotOverLossyLink(t *testing.T) {
	sim := newSimulation(t, 52, "a", "b", "c")
	laggingAddr := sim.isolateFollower(50, 0, 100<<10)
	lastHeartbeat, maxInflight := sim.now, 0
	sim.onSend = func(to string, m Message) {
		if to == laggingAddr && m.Kind == AppendEntries && m.From == sim.leader().self.ID {
			assert.Assert(t, sim.now-lastHeartbeat <= testHeartbeatInterval+2*sim.step, "%v without a heartbeat", sim.now-lastHeartbeat)
			lastHeartbeat = sim.now
		}
		if to == laggingAddr && m.Kind == SnapshotChunk {
			p := sim.leader().raft.peers.get(m.To)
			if p.transfer != nil {
				maxInflight = max(maxInflight, int(p.transfer.sentBytes-p.transfer.ackedBytes))
			}
		}
	}
	sim.loss = 0.2
	delete(sim.isolated, laggingAddr)
	assert.Assert(t, sim.runUntil(30*time.Second, func() bool { return sim.members[laggingAddr].snapshot.Index > 40 }))
	assert.Assert(t, maxInflight <= maxInflightChunks<<10, "%d bytes in flight", maxInflight)
	sim.loss = 0
	sim.requireComplete("a", "b", "c")
}

// The leader is lost after each tenth of a snapshot transfer, and the next leader brings the member up to date. If the next leader has the
// same snapshot, the transfer continues instead of starting again.
func TestLeaderLostDuringTransfer(t *testing.T) {
	for tenth := range 10 {
		sim := newSimulation(t, uint64(60+tenth), "a", "b", "c")
		laggingAddr := sim.isolateFollower(50, 0, 100<<10)
		delete(sim.isolated, laggingAddr)
		received := func() int {
			if incoming := sim.members[laggingAddr].raft.incoming; incoming != nil {
				return len(incoming.data)
			}
			return 0
		}
		assert.Assert(t, sim.runUntil(5*time.Second, func() bool { return received() >= 10<<10*tenth }))
		old := sim.leader()
		sim.isolated[old.self.Addr] = true
		sim.run(3 * time.Second)
		old.now = sim.now
		old.start()
		delete(sim.isolated, old.self.Addr)
		sim.run(2 * time.Second)
		sim.write("after it")
		sim.requireComplete("a", "b", "c")
	}
}

// The sender compacts its log repeatedly during a slow transfer. The transfer continues with the snapshot that it began with, and the
// entries after it are sent from the log.
func TestCompactionDuringTransfer(t *testing.T) {
	sim := newSimulation(t, 53, "a", "b", "c")
	laggingAddr := sim.isolateFollower(50, 0, 100<<10)
	indexes := map[uint64]bool{}
	sim.onSend = func(to string, m Message) {
		if to == laggingAddr && m.Kind == SnapshotChunk {
			indexes[m.Snapshot.Index] = true
		}
	}
	delete(sim.isolated, laggingAddr)
	for range 20 {
		sim.proposeMany(10)
		sim.leader().compact(snapshotOfSize(100 << 10))
	}
	sim.requireComplete("a", "b", "c")
	assert.Equal(t, len(indexes), 1)
}

// A receiver that restarts in the middle of a transfer begins at the first chunk again.
func TestReceiverRestartsDuringTransfer(t *testing.T) {
	sim := newSimulation(t, 54, "a", "b", "c")
	laggingAddr := sim.isolateFollower(50, 0, 100<<10)
	delete(sim.isolated, laggingAddr)
	for range 3 {
		sim.run(60 * time.Millisecond)
		sim.crash(laggingAddr, 100*time.Millisecond)
	}
	sim.run(3 * time.Second)
	sim.requireComplete("a", "b", "c")
}

// A member of protocol version 0 is sent the snapshot in one message, which is not repeated with every heartbeat.
func TestSnapshotForLegacyMember(t *testing.T) {
	sim := newSimulation(t, 55, "a", "b", "c")
	laggingAddr := sim.isolateFollower(50, 0, 100<<10)
	n := sim.members[laggingAddr]
	n.legacyProtocol, n.now = true, sim.now
	n.start()
	installs := 0
	sim.onSend = func(to string, m Message) {
		if to == laggingAddr && m.Kind == InstallSnapshot {
			installs++
		}
	}
	sim.drop = func(m Message) bool { return m.Kind == InstallSnapshot } // as on a link that is too slow for the whole snapshot
	delete(sim.isolated, laggingAddr)
	sim.run(2 * time.Second)
	assert.Equal(t, installs, 1)
	sim.drop = nil
	sim.run(3 * time.Second)
	sim.requireComplete("a", "b", "c")
}

// A snapshot is rejected if it would remove committed entries, has no members, or does not match its checksum.
func TestInvalidSnapshotRejected(t *testing.T) {
	model := modelWithLeader(t, 3)
	for range 3 {
		model.nodes[0].raft.Propose(model.nodes[0].now, []byte("x"))
	}
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, model)
	model.nodes[0].raft.BroadcastCommit(model.nodes[0].now)
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, model)
	follower, now := model.nodes[1].raft, model.nodes[1].now
	commit, last := follower.log.committed, follower.LastIndex()
	assert.Assert(t, commit > 2)
	for _, s := range []Snapshot{
		{Index: commit - 1, Term: 1, ConfigurationIndex: 1, Members: follower.log.configuration.Members, Data: []byte("old")},
		{Index: 100, Term: 1, ConfigurationIndex: 1, Data: []byte("of nobody")},
	} {
		m := Message{From: 1, To: 2, Term: follower.term, Snapshot: &s, TotalBytes: uint64(len(s.Data))}
		for _, m.Kind = range []MessageKind{InstallSnapshot, SnapshotChunk} {
			follower.Step(now, m)
			ready := follower.Ready()
			assert.Assert(t, ready.Snapshot == nil && follower.LastIndex() == last && follower.log.committed == commit)
			assert.Equal(t, len(follower.log.configuration.Members), 3)
		}
	}
	s := Snapshot{Index: 100, Term: 1, ConfigurationIndex: 1, Members: follower.log.configuration.Members, Data: []byte("changed")}
	follower.Step(now, Message{Kind: SnapshotChunk, From: 1, To: 2, Term: follower.term, Snapshot: &s, TotalBytes: 7, Checksum: 1})
	ready := follower.Ready()
	assert.Assert(t, ready.Snapshot == nil && len(ready.MessagesAfterSave) == 1)
	reply := ready.MessagesAfterSave[0]
	assert.Assert(t, reply.Kind == SnapshotChunkResponse && reply.Reject && reply.Offset == 0)
}

// If the log has a conflicting entry at the snapshot's index, the snapshot replaces the whole log, including later entries: they follow an
// entry that was never committed.
func TestSnapshotReplacesConflictingLog(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	for range 3 { // these are not replicated
		first.raft.Propose(first.now, []byte("x"))
	}
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	members, _ := first.raft.Members()
	term, index := first.raft.Term()+1, first.raft.LastIndex()-1
	snapshot := Snapshot{Index: index, Term: term, ConfigurationIndex: 1, Members: members, Data: []byte("state")}
	first.raft.Step(first.now, Message{Kind: InstallSnapshot, From: 2, To: 1, Term: term, Snapshot: &snapshot})
	assert.Assert(t, first.raft.Ready().Snapshot != nil)
	assert.Equal(t, first.raft.LastIndex(), index)
}
