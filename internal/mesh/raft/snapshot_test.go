package raft

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A follower that lags behind the start of a compacted log is sent the snapshot.
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

// A member that was away for 1,000 commands needs no snapshot while the log is kept. One that was away for more gets it once, in
// chunks.
func TestAwayForAThousandCommands(t *testing.T) {
	for _, test := range []struct{ keep, chunks int }{{DefaultCatchUpEntries, 0}, {100, 200}} {
		sim := newSimulation(t, 51, "a", "b", "c")
		lags := sim.isolateFollower(1000, test.keep, test.chunks<<10)
		chunks := 0
		sim.onSend = func(to string, m Message) {
			if to == lags {
				assert.Assert(t, m.Kind != InstallSnapshot)
				if m.Kind == SnapshotChunk {
					chunks++
				}
			}
		}
		delete(sim.isolated, lags)
		sim.proposeMany(20)
		sim.run(4 * time.Second)
		sim.requireComplete("a", "b", "c")
		assert.Equal(t, chunks, test.chunks)
	}
}

// On a link that loses a fifth of the messages a snapshot still arrives, with no more chunks in flight than the bound, and heartbeats
// continue meanwhile.
func TestSnapshotOverLossyLink(t *testing.T) {
	sim := newSimulation(t, 52, "a", "b", "c")
	lags := sim.isolateFollower(50, 0, 100<<10)
	lastHeartbeat, maxInflight := sim.now, 0
	sim.onSend = func(to string, m Message) {
		if to == lags && m.Kind == AppendEntries && m.From == sim.leader().self.ID {
			assert.Assert(t, sim.now-lastHeartbeat <= testHeartbeatInterval+2*sim.step, "%v without a heartbeat", sim.now-lastHeartbeat)
			lastHeartbeat = sim.now
		}
		if to == lags && m.Kind == SnapshotChunk {
			p := sim.leader().raft.peers.get(m.To)
			if p.transfer != nil {
				maxInflight = max(maxInflight, int(p.transfer.sentBytes-p.transfer.ackedBytes))
			}
		}
	}
	sim.loss = 0.2
	delete(sim.isolated, lags)
	assert.Assert(t, sim.runUntil(30*time.Second, func() bool { return sim.members[lags].snapshot.Index > 40 }))
	assert.Assert(t, maxInflight <= maxInflightChunks<<10, "%d bytes in flight", maxInflight)
	sim.loss = 0
	sim.requireComplete("a", "b", "c")
}

// The leader is lost at each tenth of a transfer, and the next leader brings the member up to date. If its snapshot is the same the
// transfer continues rather than starting again.
func TestLeaderLostDuringTransfer(t *testing.T) {
	for tenth := range 10 {
		sim := newSimulation(t, uint64(60+tenth), "a", "b", "c")
		lags := sim.isolateFollower(50, 0, 100<<10)
		delete(sim.isolated, lags)
		received := func() int {
			if incoming := sim.members[lags].raft.incoming; incoming != nil {
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

// The sender compacts its log again and again during a slow transfer. The transfer continues with the snapshot that it began with, and
// the rest comes from the log.
func TestCompactionDuringTransfer(t *testing.T) {
	sim := newSimulation(t, 53, "a", "b", "c")
	lags := sim.isolateFollower(50, 0, 100<<10)
	indexes := map[uint64]bool{}
	sim.onSend = func(to string, m Message) {
		if to == lags && m.Kind == SnapshotChunk {
			indexes[m.Snapshot.Index] = true
		}
	}
	delete(sim.isolated, lags)
	for range 20 {
		sim.proposeMany(10)
		sim.leader().compact(snapshotOfSize(100 << 10))
	}
	sim.requireComplete("a", "b", "c")
	assert.Equal(t, len(indexes), 1)
}

// A receiver that restarts in the middle of a transfer begins it again.
func TestReceiverRestartsDuringTransfer(t *testing.T) {
	sim := newSimulation(t, 54, "a", "b", "c")
	lags := sim.isolateFollower(50, 0, 100<<10)
	delete(sim.isolated, lags)
	for range 3 {
		sim.run(60 * time.Millisecond)
		sim.crash(lags, 100*time.Millisecond)
	}
	sim.run(3 * time.Second)
	sim.requireComplete("a", "b", "c")
}

// A member of protocol version 0 gets the snapshot in one message, and not with every heartbeat.
func TestSnapshotForLegacyMember(t *testing.T) {
	sim := newSimulation(t, 55, "a", "b", "c")
	lags := sim.isolateFollower(50, 0, 100<<10)
	n := sim.members[lags]
	n.legacyProtocol, n.now = true, sim.now
	n.start()
	installs := 0
	sim.onSend = func(to string, m Message) {
		if to == lags && m.Kind == InstallSnapshot {
			installs++
		}
	}
	sim.drop = func(m Message) bool { return m.Kind == InstallSnapshot } // as on a link that is too slow for it
	delete(sim.isolated, lags)
	sim.run(2 * time.Second)
	assert.Equal(t, installs, 1)
	sim.drop = nil
	sim.run(3 * time.Second)
	sim.requireComplete("a", "b", "c")
}

// A snapshot that would undo what is committed, or has no members, is rejected; so is one whose bytes were changed.
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
	c, now := model.nodes[1].raft, model.nodes[1].now
	commit, last := c.log.committed, c.LastIndex()
	assert.Assert(t, commit > 2)
	for _, s := range []Snapshot{
		{Index: commit - 1, Term: 1, ConfigurationIndex: 1, Members: c.log.configuration.Members, Data: []byte("old")},
		{Index: 100, Term: 1, ConfigurationIndex: 1, Data: []byte("of nobody")},
	} {
		m := Message{From: 1, To: 2, Term: c.term, Snapshot: &s, TotalBytes: uint64(len(s.Data))}
		for _, m.Kind = range []MessageKind{InstallSnapshot, SnapshotChunk} {
			c.Step(now, m)
			ready := c.Ready()
			assert.Assert(t, ready.Snapshot == nil && c.LastIndex() == last && c.log.committed == commit)
			assert.Equal(t, len(c.log.configuration.Members), 3)
		}
	}
	s := Snapshot{Index: 100, Term: 1, ConfigurationIndex: 1, Members: c.log.configuration.Members, Data: []byte("changed")}
	c.Step(now, Message{Kind: SnapshotChunk, From: 1, To: 2, Term: c.term, Snapshot: &s, TotalBytes: 7, Checksum: 1})
	ready := c.Ready()
	assert.Assert(t, ready.Snapshot == nil && len(ready.MessagesAfterSave) == 1)
	reply := ready.MessagesAfterSave[0]
	assert.Assert(t, reply.Kind == SnapshotChunkResponse && reply.Reject && reply.Offset == 0)
}

// A snapshot replaces a log with another entry at its index, including the entries after that, since they follow one that was never
// committed.
func TestSnapshotReplacesConflictingLog(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	for range 3 { // nobody hears of these
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
