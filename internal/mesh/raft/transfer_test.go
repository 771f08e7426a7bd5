package raft

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// follower is an address that does not lead.
func (f *simulation) follower() string {
	for _, a := range f.addrs() {
		if !f.members[a].raft.IsLeader() {
			return a
		}
	}
	return ""
}

// proposeMany has the leader agree on so many changes, some at once.
func (f *simulation) proposeMany(n int) {
	for i := range n {
		if l := f.leader(); l != nil {
			l.raft.Propose(f.now, fmt.Append(nil, "change ", i, " with some words"))
			if i%10 == 9 {
				f.processReady(l.self.Addr)
				f.run(f.step)
			}
		}
	}
	f.write("after the changes")
}

// snapshotOfSize is the state that a snapshot of so many bytes has.
func snapshotOfSize(size int) []byte { return bytes.Repeat([]byte("state "), size/6+1)[:size] }

// isolateFollower has a follower miss so many changes, and all others compact their logs, keeping so many entries. It returns its address.
func (f *simulation) isolateFollower(changes, keep, size int) string {
	f.run(2 * time.Second)
	for _, n := range f.members {
		n.raft.config.MaxCatchUpEntries, n.maxCatchUpEntries, n.raft.config.SnapshotChunkBytes, n.snapshotChunkBytes = keep, keep, 1<<10, 1<<10
	}
	lags := f.follower()
	f.isolated[lags] = true
	f.proposeMany(changes)
	for a, n := range f.members {
		if a != lags {
			n.compact(snapshotOfSize(size))
		}
	}
	return lags
}

// A member that was away for 1,000 changes needs no snapshot while the log is kept, and one that was away for more gets it once,
// in chunks, of which no more than the window is under way.
func TestAwayForAThousandChanges(t *testing.T) {
	for _, x := range []struct{ keep, chunks int }{{4096, 0}, {100, 200}} {
		f := newSimulation(t, 51, "a", "b", "c")
		lags := f.isolateFollower(1000, x.keep, x.chunks<<10)
		chunks := 0
		f.onSend = func(to string, m Message) {
			if to == lags {
				assert.Assert(t, m.Kind != InstallSnapshot)
				if m.Kind == SnapshotChunk {
					chunks++
				}
			}
		}
		delete(f.isolated, lags)
		f.proposeMany(20)
		f.run(4 * time.Second)
		f.requireComplete("a", "b", "c")
		assert.Equal(t, chunks, x.chunks)
	}
}

// On a link that loses a fifth of what is said a snapshot arrives all the same, and heartbeats go on beside it.
func TestLossyLink(t *testing.T) {
	f := newSimulation(t, 52, "a", "b", "c")
	lags := f.isolateFollower(50, 0, 100<<10)
	beat, under := f.now, 0
	f.onSend = func(to string, m Message) {
		if to == lags && m.Kind == AppendEntries && m.From == f.leader().self.ID {
			assert.Assert(t, f.now-beat <= testHeartbeatInterval+2*f.step, "%v without a heartbeat", f.now-beat)
			beat = f.now
		}
		if to == lags && m.Kind == SnapshotChunk {
			p := f.leader().raft.peers.get(m.To)
			if p.transfer != nil {
				under = max(under, int(p.transfer.sentBytes-p.transfer.ackedBytes))
			}
		}
	}
	f.loss = 0.2
	delete(f.isolated, lags)
	assert.Assert(t, f.runUntil(30*time.Second, func() bool { return f.members[lags].snapshot.Index > 40 }))
	assert.Assert(t, under <= maxInflightChunks<<10, "%d bytes under way", under)
	f.loss = 0
	f.requireComplete("a", "b", "c")
}

// runUntil lets time pass until something holds.
func (f *simulation) runUntil(d time.Duration, holds func() bool) bool {
	for end := f.now + d; f.now < end; f.run(f.step) {
		if holds() {
			return true
		}
	}
	return holds()
}

// The leader is lost at each tenth of a transfer: the next leader brings the member up to date. Where its snapshot is the same
// the transfer goes on, and does not begin again.
func TestLeaderLostInTransfer(t *testing.T) {
	for tenth := range 10 {
		f := newSimulation(t, uint64(60+tenth), "a", "b", "c")
		lags := f.isolateFollower(50, 0, 100<<10)
		delete(f.isolated, lags)
		at := func() int {
			if a := f.members[lags].raft.incoming; a != nil {
				return len(a.data)
			}
			return 0
		}
		assert.Assert(t, f.runUntil(5*time.Second, func() bool { return at() >= 10<<10*tenth }))
		old := f.leader()
		f.isolated[old.self.Addr] = true
		f.run(3 * time.Second)
		old.now = f.now
		old.start()
		delete(f.isolated, old.self.Addr)
		f.run(2 * time.Second)
		f.write("after it")
		f.requireComplete("a", "b", "c")
	}
}

// The state at the sender is compacted again and again while a slow transfer goes on: it goes on with the snapshot that it
// began with, and the rest comes from the log.
func TestCompactedWhileSending(t *testing.T) {
	f := newSimulation(t, 53, "a", "b", "c")
	lags := f.isolateFollower(50, 0, 100<<10)
	indexes := map[uint64]bool{}
	f.onSend = func(to string, m Message) {
		if to == lags && m.Kind == SnapshotChunk {
			indexes[m.Snapshot.Index] = true
		}
	}
	delete(f.isolated, lags)
	for range 20 {
		f.proposeMany(10)
		f.leader().compact(snapshotOfSize(100 << 10))
	}
	f.requireComplete("a", "b", "c")
	assert.Equal(t, len(indexes), 1)
}

// A receiver that restarts in the middle of a transfer begins it again.
func TestReceiverRestarts(t *testing.T) {
	f := newSimulation(t, 54, "a", "b", "c")
	lags := f.isolateFollower(50, 0, 100<<10)
	delete(f.isolated, lags)
	for range 3 {
		f.run(60 * time.Millisecond)
		f.crash(lags, 100*time.Millisecond)
	}
	f.run(3 * time.Second)
	f.requireComplete("a", "b", "c")
}

// A member of the first build gets the snapshot in one message, and not at every heartbeat.
func TestSnapshotForFirstBuild(t *testing.T) {
	f := newSimulation(t, 55, "a", "b", "c")
	lags := f.isolateFollower(50, 0, 100<<10)
	n := f.members[lags]
	n.legacyProtocol, n.now = true, f.now
	n.start()
	installs := 0
	f.onSend = func(to string, m Message) {
		if to == lags && m.Kind == InstallSnapshot {
			installs++
		}
	}
	f.drop = func(m Message) bool { return m.Kind == InstallSnapshot } // as on a link that is too slow for it
	delete(f.isolated, lags)
	f.run(2 * time.Second)
	assert.Equal(t, installs, 1)
	f.drop = nil
	f.run(3 * time.Second)
	f.requireComplete("a", "b", "c")
}

// A member that voted in a term, and comes back with a log that is older than its vote, votes for nobody else in that term,
// does not lead with what it has, and catches up.
func TestOlderThanItsVote(t *testing.T) {
	w := modelWithLeader(t, 3)
	third := w.nodes[2]
	log := third.log
	w.nodes[0].raft.Propose(w.nodes[0].now, []byte("x"))
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, w)
	third.hardState, third.log = HardState{Term: 4, Vote: 2}, log[:0]
	third.now += 3 * testElectionTimeout
	third.start()
	third.raft.Step(third.now, Message{Kind: RequestVote, From: 1, To: 3, Term: 4, Index: 9, LogTerm: 3})
	r := third.raft.Ready()
	assert.Assert(t, len(r.MessagesAfterSave) == 1 && r.MessagesAfterSave[0].Reject, "it has voted for 2")
	for range 3 { // it asks, and nobody lets it lead
		third.now += 3 * testElectionTimeout
		third.raft.Tick(third.now)
		assert.NilError(t, w.processReady(2, noCrash, modelFaults{}))
		deliverAll(t, w)
		assert.Assert(t, !third.raft.IsLeader())
	}
	for range 20 {
		for i, n := range w.nodes {
			n.now += testHeartbeatInterval
			n.raft.Tick(n.now)
			assert.NilError(t, w.processReady(i, noCrash, modelFaults{}))
			deliverAll(t, w)
		}
	}
	assert.Assert(t, third.raft.AppliedIndex() >= w.acknowledgedIndex && third.raft.log.lastTerm() == w.nodes[0].raft.log.lastTerm())
}

// What a snapshot would undo, or that says nothing of members, is refused; so is one whose bytes were changed.
func TestSnapshotRefused(t *testing.T) {
	w := modelWithLeader(t, 3)
	for range 3 {
		w.nodes[0].raft.Propose(w.nodes[0].now, []byte("x"))
	}
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, w)
	w.nodes[0].raft.BroadcastCommit(w.nodes[0].now)
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, w)
	c := w.nodes[1].raft
	commit, last := c.log.committed, c.log.lastIndex()
	assert.Assert(t, commit > 2)
	for _, s := range []Snapshot{
		{Index: commit - 1, Term: 1, ConfigurationIndex: 1, Members: c.log.configuration.Members, Data: []byte("old")},
		{Index: 100, Term: 1, ConfigurationIndex: 1, Data: []byte("of nobody")},
	} {
		m := Message{From: 1, To: 2, Term: c.term, Snapshot: &s, TotalBytes: uint64(len(s.Data))}
		for _, m.Kind = range []MessageKind{InstallSnapshot, SnapshotChunk} {
			c.Step(w.nodes[1].now, m)
			r := c.Ready()
			assert.Assert(t, r.Snapshot == nil && c.log.lastIndex() == last && c.log.committed == commit && len(c.log.configuration.Members) == 3)
		}
	}
	s := Snapshot{Index: 100, Term: 1, ConfigurationIndex: 1, Members: c.log.configuration.Members, Data: []byte("changed")}
	c.Step(w.nodes[1].now, Message{Kind: SnapshotChunk, From: 1, To: 2, Term: c.term, Snapshot: &s, TotalBytes: 7, Checksum: 1})
	r := c.Ready()
	assert.Assert(t, r.Snapshot == nil && len(r.MessagesAfterSave) == 1 && r.MessagesAfterSave[0].Kind == SnapshotChunkResponse && r.MessagesAfterSave[0].Reject && r.MessagesAfterSave[0].Offset == 0)
}

// Entries go as far as may be under way, so that a heartbeat does not wait behind a whole log.
func TestEntriesUnderWay(t *testing.T) {
	w := modelWithLeader(t, 3)
	c := w.nodes[0].raft
	for range 100 {
		c.Propose(w.nodes[0].now, make([]byte, 4<<10))
		assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	}
	bytes := 0
	for _, m := range w.network {
		if m.To == 2 {
			bytes += sizeOf(m.Entries)
		}
	}
	assert.Assert(t, bytes >= maxInflightBytes && bytes <= maxInflightBytes+maxBytesPerMessage, "%d", bytes)
	deliverAll(t, w)
	assert.Equal(t, w.nodes[1].raft.log.lastIndex(), c.log.lastIndex())
}

// A leader does not commit by counting what a leader before it added: a third that lacks it may still be elected.
func TestEarlierTermNotCounted(t *testing.T) {
	w := modelWithLeader(t, 3)
	c := w.nodes[0].raft
	c.Propose(w.nodes[0].now, []byte("of the first term"))
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	w.network = nil
	index := c.log.lastIndex()
	c.changeRole(follower, c.term, 0)
	c.campaign(campaignElection)
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	c.Step(w.nodes[0].now, Message{Kind: VoteResponse, From: 2, To: 1, Term: c.term})
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	assert.Assert(t, c.IsLeader() && c.log.lastIndex() == index+1)
	c.Step(w.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: c.term, Index: index})
	assert.Assert(t, c.log.committed < index)
	c.Step(w.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: c.term, Index: index + 1})
	assert.Equal(t, c.log.committed, index+1)
}

// A core starts with the log that its disk keeps in front of the snapshot, and sends it.
func TestTailAfterRestart(t *testing.T) {
	f := newSimulation(t, 56, "a", "b", "c")
	lags := f.isolateFollower(200, 400, 10)
	f.onSend = func(to string, m Message) {
		assert.Assert(t, to != lags || m.Kind != SnapshotChunk && m.Kind != InstallSnapshot)
	}
	for _, a := range f.addrs() {
		if a != lags {
			f.crash(a, 100*time.Millisecond)
		}
	}
	f.run(2 * time.Second)
	delete(f.isolated, lags)
	f.requireComplete("a", "b", "c")
}
