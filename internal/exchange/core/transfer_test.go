package core

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// follower is an address that does not lead.
func (f *fleet) follower() string {
	for _, a := range f.addrs() {
		if !f.nodes[a].c.Leads() {
			return a
		}
	}
	return ""
}

// changes has the leader agree on so many changes, some at once.
func (f *fleet) changes(n int) {
	for i := range n {
		if l := f.leader(); l != nil {
			l.c.Propose(f.now, fmt.Append(nil, "change ", i, " with some words"))
			if i%10 == 9 {
				f.turn(l.self.Addr)
				f.run(f.step)
			}
		}
	}
	f.write("after the changes")
}

// bulk is the state that a snapshot of so many bytes has.
func bulk(size int) []byte { return bytes.Repeat([]byte("state "), size/6+1)[:size] }

// cutOff has a follower miss so many changes, and all others compact their logs, keeping so many entries. It returns its address.
func (f *fleet) cutOff(changes, keep, size int) string {
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		n.c.cfg.Keep, n.keep, n.c.cfg.Chunk, n.chunk = keep, keep, 1<<10, 1<<10
	}
	lags := f.follower()
	f.cut[lags] = true
	f.changes(changes)
	for a, n := range f.nodes {
		if a != lags {
			n.compact(bulk(size))
		}
	}
	return lags
}

// A member that was away for 1,000 changes needs no snapshot while the log is kept, and one that was away for more gets it once,
// in chunks, of which no more than the window is under way.
func TestAwayForAThousandChanges(t *testing.T) {
	for _, x := range []struct{ keep, chunks int }{{4096, 0}, {100, 200}} {
		f := newFleet(t, 51, "a", "b", "c")
		lags := f.cutOff(1000, x.keep, x.chunks<<10)
		chunks := 0
		f.sent = func(to string, m Message) {
			if to == lags {
				assert.Assert(t, m.Kind != Install)
				if m.Kind == Chunk {
					chunks++
				}
			}
		}
		delete(f.cut, lags)
		f.changes(20)
		f.run(4 * time.Second)
		f.whole("a", "b", "c")
		assert.Equal(t, chunks, x.chunks)
	}
}

// On a link that loses a fifth of what is said a snapshot arrives all the same, and heartbeats go on beside it.
func TestLossyLink(t *testing.T) {
	f := newFleet(t, 52, "a", "b", "c")
	lags := f.cutOff(50, 0, 100<<10)
	beat, under := f.now, 0
	f.sent = func(to string, m Message) {
		if to == lags && m.Kind == Append && m.From == f.leader().self.ID {
			assert.Assert(t, f.now-beat <= beatT+2*f.step, "%v without a heartbeat", f.now-beat)
			beat = f.now
		}
		if to == lags && m.Kind == Chunk {
			p := f.leader().c.peers.get(m.To)
			if p.transfer != nil {
				under = max(under, int(p.transfer.sent-p.transfer.acked))
			}
		}
	}
	f.loss = 0.2
	delete(f.cut, lags)
	assert.Assert(t, f.within(30*time.Second, func() bool { return f.nodes[lags].snap.Index > 40 }))
	assert.Assert(t, under <= chunkWindow<<10, "%d bytes under way", under)
	f.loss = 0
	f.whole("a", "b", "c")
}

// within lets time pass until something holds.
func (f *fleet) within(d time.Duration, holds func() bool) bool {
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
		f := newFleet(t, uint64(60+tenth), "a", "b", "c")
		lags := f.cutOff(50, 0, 100<<10)
		delete(f.cut, lags)
		at := func() int {
			if a := f.nodes[lags].c.assembly; a != nil {
				return len(a.data)
			}
			return 0
		}
		assert.Assert(t, f.within(5*time.Second, func() bool { return at() >= 10<<10*tenth }))
		old := f.leader()
		f.cut[old.self.Addr] = true
		f.run(3 * time.Second)
		old.now = f.now
		old.start()
		delete(f.cut, old.self.Addr)
		f.run(2 * time.Second)
		f.write("after it")
		f.whole("a", "b", "c")
	}
}

// The state at the sender is compacted again and again while a slow transfer goes on: it goes on with the snapshot that it
// began with, and the rest comes from the log.
func TestCompactedWhileSending(t *testing.T) {
	f := newFleet(t, 53, "a", "b", "c")
	lags := f.cutOff(50, 0, 100<<10)
	indexes := map[uint64]bool{}
	f.sent = func(to string, m Message) {
		if to == lags && m.Kind == Chunk {
			indexes[m.Snapshot.Index] = true
		}
	}
	delete(f.cut, lags)
	for range 20 {
		f.changes(10)
		f.leader().compact(bulk(100 << 10))
	}
	f.whole("a", "b", "c")
	assert.Equal(t, len(indexes), 1)
}

// A receiver that restarts in the middle of a transfer begins it again.
func TestReceiverRestarts(t *testing.T) {
	f := newFleet(t, 54, "a", "b", "c")
	lags := f.cutOff(50, 0, 100<<10)
	delete(f.cut, lags)
	for range 3 {
		f.run(60 * time.Millisecond)
		f.crash(lags, 100*time.Millisecond)
	}
	f.run(3 * time.Second)
	f.whole("a", "b", "c")
}

// A member of the first build gets the snapshot in one message, and not at every heartbeat.
func TestSnapshotForFirstBuild(t *testing.T) {
	f := newFleet(t, 55, "a", "b", "c")
	lags := f.cutOff(50, 0, 100<<10)
	n := f.nodes[lags]
	n.first, n.now = true, f.now
	n.start()
	installs := 0
	f.sent = func(to string, m Message) {
		if to == lags && m.Kind == Install {
			installs++
		}
	}
	f.drop = func(m Message) bool { return m.Kind == Install } // as on a link that is too slow for it
	delete(f.cut, lags)
	f.run(2 * time.Second)
	assert.Equal(t, installs, 1)
	f.drop = nil
	f.run(3 * time.Second)
	f.whole("a", "b", "c")
}

// A member that voted in a term, and comes back with a log that is older than its vote, votes for nobody else in that term,
// does not lead with what it has, and catches up.
func TestOlderThanItsVote(t *testing.T) {
	w := led(t, 3)
	third := w.nodes[2]
	log := third.log
	w.nodes[0].c.Propose(w.nodes[0].now, []byte("x"))
	assert.NilError(t, w.turn(0, whole, plant{}))
	settle(t, w)
	third.hard, third.log = Hard{Term: 4, Vote: 2}, log[:0]
	third.now += 3 * electionT
	third.start()
	third.c.Step(third.now, Message{Kind: Elect, From: 1, To: 3, Term: 4, Index: 9, LogTerm: 3})
	r := third.c.Ready()
	assert.Assert(t, len(r.After) == 1 && r.After[0].Reject, "it has voted for 2")
	for range 3 { // it asks, and nobody lets it lead
		third.now += 3 * electionT
		third.c.Tick(third.now)
		assert.NilError(t, w.turn(2, whole, plant{}))
		settle(t, w)
		assert.Assert(t, !third.c.Leads())
	}
	for range 20 {
		for i, n := range w.nodes {
			n.now += beatT
			n.c.Tick(n.now)
			assert.NilError(t, w.turn(i, whole, plant{}))
			settle(t, w)
		}
	}
	assert.Assert(t, third.c.Applied() >= w.acked && third.c.lastTerm() == w.nodes[0].c.lastTerm())
}

// What a snapshot would undo, or that says nothing of members, is refused; so is one whose bytes were changed.
func TestSnapshotRefused(t *testing.T) {
	w := led(t, 3)
	for range 3 {
		w.nodes[0].c.Propose(w.nodes[0].now, []byte("x"))
	}
	assert.NilError(t, w.turn(0, whole, plant{}))
	settle(t, w)
	w.nodes[0].c.Tell(w.nodes[0].now)
	assert.NilError(t, w.turn(0, whole, plant{}))
	settle(t, w)
	c := w.nodes[1].c
	commit, last := c.commit, c.last()
	assert.Assert(t, commit > 2)
	for _, s := range []Snapshot{
		{Index: commit - 1, Term: 1, View: 1, Members: c.config.Members, Data: []byte("old")},
		{Index: 100, Term: 1, View: 1, Data: []byte("of nobody")},
	} {
		m := Message{From: 1, To: 2, Term: c.term, Snapshot: &s, Total: uint64(len(s.Data))}
		for _, m.Kind = range []MessageKind{Install, Chunk} {
			c.Step(w.nodes[1].now, m)
			r := c.Ready()
			assert.Assert(t, r.Snapshot == nil && c.last() == last && c.commit == commit && len(c.config.Members) == 3)
		}
	}
	s := Snapshot{Index: 100, Term: 1, View: 1, Members: c.config.Members, Data: []byte("changed")}
	c.Step(w.nodes[1].now, Message{Kind: Chunk, From: 1, To: 2, Term: c.term, Snapshot: &s, Total: 7, Sum: 1})
	r := c.Ready()
	assert.Assert(t, r.Snapshot == nil && len(r.After) == 1 && r.After[0].Kind == Chunked && r.After[0].Reject && r.After[0].Offset == 0)
}

// Entries go as far as may be under way, so that a heartbeat does not wait behind a whole log.
func TestEntriesUnderWay(t *testing.T) {
	w := led(t, 3)
	c := w.nodes[0].c
	for range 100 {
		c.Propose(w.nodes[0].now, make([]byte, 4<<10))
		assert.NilError(t, w.turn(0, whole, plant{}))
	}
	bytes := 0
	for _, m := range w.net {
		if m.To == 2 {
			bytes += size(m.Entries)
		}
	}
	assert.Assert(t, bytes >= mostUnderWay && bytes <= mostUnderWay+mostBytes, "%d", bytes)
	settle(t, w)
	assert.Equal(t, w.nodes[1].c.last(), c.last())
}

// A leader does not commit by counting what a leader before it added: a third that lacks it may still be elected.
func TestEarlierTermNotCounted(t *testing.T) {
	w := led(t, 3)
	c := w.nodes[0].c
	c.Propose(w.nodes[0].now, []byte("of the first term"))
	assert.NilError(t, w.turn(0, whole, plant{}))
	w.net = nil
	index := c.last()
	c.become(follower, c.term, 0)
	c.campaign(candidate)
	assert.NilError(t, w.turn(0, whole, plant{}))
	c.Step(w.nodes[0].now, Message{Kind: Elected, From: 2, To: 1, Term: c.term})
	assert.NilError(t, w.turn(0, whole, plant{}))
	assert.Assert(t, c.Leads() && c.last() == index+1)
	c.Step(w.nodes[0].now, Message{Kind: Appended, From: 2, To: 1, Term: c.term, Index: index})
	assert.Assert(t, c.commit < index)
	c.Step(w.nodes[0].now, Message{Kind: Appended, From: 2, To: 1, Term: c.term, Index: index + 1})
	assert.Equal(t, c.commit, index+1)
}

// A core starts with the log that its disk keeps in front of the snapshot, and sends it.
func TestTailAfterRestart(t *testing.T) {
	f := newFleet(t, 56, "a", "b", "c")
	lags := f.cutOff(200, 400, 10)
	f.sent = func(to string, m Message) { assert.Assert(t, to != lags || m.Kind != Chunk && m.Kind != Install) }
	for _, a := range f.addrs() {
		if a != lags {
			f.crash(a, 100*time.Millisecond)
		}
	}
	f.run(2 * time.Second)
	delete(f.cut, lags)
	f.whole("a", "b", "c")
}
