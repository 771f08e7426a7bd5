package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// requireMembersAtLeast has the test fail once a leader's configuration has fewer members than there should be.
func (f *simulation) requireMembersAtLeast(than int) {
	f.afterStep = func() {
		for _, a := range f.addrs() {
			if n := f.members[a]; n.raft.IsLeader() && len(n.raft.log.configuration.Members) < than {
				f.t.Fatalf("%s leads %+v at %v", a, n.raft.log.configuration, f.now)
			}
		}
	}
}

// crash has a register start again with its disk after a while.
func (f *simulation) crash(addr string, down time.Duration) {
	n := f.members[addr]
	f.isolated[addr] = true
	f.run(down)
	n.now = f.now
	n.start()
	delete(f.isolated, addr)
}

// A lost member's place is never empty: the learner that has caught up is exchanged for it, at its own address or at another.
func TestExchange(t *testing.T) {
	for _, at := range []string{"c", "d"} {
		f := newSimulation(t, 11, "a", "b", "c")
		f.run(2 * time.Second)
		f.write("one")
		gone := "c"
		if f.leader().self.Addr == "c" {
			gone = "a"
		}
		if at == "c" {
			at = gone
		}
		f.requireMembersAtLeast(3)
		delete(f.members, gone)
		f.run(3 * time.Second)
		f.startEmpty(at, 20)
		f.run(2 * time.Second)
		f.write("two")
		f.requireComplete(f.addrs()...)
		assert.Equal(t, len(f.addrs()), 3)
	}
}

// atEachMomentOfReplacement runs a scenario with a fault at each moment of an exchange, 4 ms apart, from the join on until it is done.
func atEachMomentOfReplacement(t *testing.T, fault func(f *simulation, lead string)) {
	for at := time.Duration(0); at < 400*time.Millisecond; at += 4 * time.Millisecond {
		f := newSimulation(t, uint64(at), "a", "b", "c")
		f.step = 2 * time.Millisecond
		f.run(2 * time.Second)
		f.write("one")
		lead := f.leader().self.Addr
		gone := slices.IndexFunc(f.addrs(), func(a string) bool { return a != lead })
		f.startEmpty(f.addrs()[gone], 20) // its disk is lost
		f.run(at)
		f.requireMembersAtLeast(3)
		fault(f, lead)
		f.run(4 * time.Second)
		f.write("two")
		f.requireComplete("a", "b", "c")
		assert.Assert(t, f.leader().raft.log.configuration.isVoter(f.members[f.addrs()[gone]].self.ID) && !f.leader().raft.log.configuration.isJoint())
	}
}

// The leader is lost at each moment of an exchange; it comes back with its disk.
func TestLeaderLostInExchange(t *testing.T) {
	atEachMomentOfReplacement(t, func(f *simulation, lead string) { f.crash(lead, time.Second) })
}

// The learner is lost at each moment of an exchange, with its disk: another id takes the place.
func TestJoinerLostInExchange(t *testing.T) {
	atEachMomentOfReplacement(t, func(f *simulation, lead string) {
		for a, n := range f.members {
			if n.self.ID == 20 {
				f.startEmpty(a, 30)
			}
		}
	})
}

// The leader's disk is lost right after the exchange of another was committed: nothing that was acknowledged is lost with it.
func TestTwoWipesAroundAnExchange(t *testing.T) {
	for seed := range uint64(50) {
		f := newSimulation(t, 100+seed, "a", "b", "c")
		f.step = 2 * time.Millisecond
		f.run(2 * time.Second)
		f.write("one")
		lead := f.leader()
		gone := slices.IndexFunc(f.addrs(), func(a string) bool { return a != lead.self.Addr })
		f.startEmpty(f.addrs()[gone], 20)
		for range 2000 {
			if lead.raft.log.configuration.isVoter(20) && !lead.raft.log.configuration.isJoint() && lead.raft.log.committed >= lead.raft.log.configuration.Index {
				break
			}
			f.run(f.step)
		}
		f.write("two")
		f.startEmpty(lead.self.Addr, 30)
		f.run(5 * time.Second)
		f.write("three")
		f.requireComplete("a", "b", "c")
	}
}

// A member that an exchange put in is voted for by one that has not heard of the exchange: else the two that are left, of three
// of which one is down, would never have a leader.
func TestVoteForOneUnknown(t *testing.T) {
	w := modelWithLeader(t, 3)
	n := &testMember{self: Member{4, "r4"}}
	n.start()
	w.nodes = append(w.nodes, n)
	// The first has 4 take the place of 3; the second hears nothing of it.
	w.nodes[0].raft.handleJoinRequest(Message{Kind: JoinRequest, From: 4, Addr: "r4"})
	w.nodes[0].raft.appendAsLeader(Entry{Kind: EntryConfiguration, Members: []Member{{1, "r1"}, {2, "r2"}, {4, "r4"}}})
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, w, 2, 3)
	assert.Assert(t, n.raft.log.configuration.isVoter(4) && !w.nodes[1].raft.log.configuration.isVoter(4))
	// The first is gone, and 4 has what the second lacks.
	for range 4 {
		if n.raft.IsLeader() {
			break
		}
		n.now += 3 * testElectionTimeout
		w.nodes[1].now += 3 * testElectionTimeout
		n.raft.Tick(n.now)
		assert.NilError(t, w.processReady(3, noCrash, modelFaults{}))
		deliverAllExcept(t, w, 1, 3)
	}
	assert.Assert(t, n.raft.IsLeader())
}

// A leader that a change takes out does not count itself for the new members, and gives up once the change is committed.
func TestLeaderTakenOut(t *testing.T) {
	w := modelWithLeader(t, 3)
	for _, m := range []Member{{4, "r4"}, {5, "r5"}} {
		n := &testMember{self: m}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	old := w.nodes[0].raft
	old.appendAsLeader(Entry{Kind: EntryConfiguration, Members: []Member{{2, "r2"}, {4, "r4"}, {5, "r5"}}, Outgoing: old.log.configuration.Members, ProtocolVersion: ProtocolVersion})
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, w, 4, 5)
	assert.Assert(t, old.log.committed < old.log.configuration.Index, "of the new members it has the second alone, and itself is none")
	for range 6 {
		for _, n := range w.nodes {
			n.now += testHeartbeatInterval
		}
		old.Tick(w.nodes[0].now)
		assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
		deliverAll(t, w)
	}
	assert.Assert(t, !old.IsLeader() && old.IsNonMember())
	assert.Assert(t, slices.ContainsFunc(w.nodes[1:], func(n *testMember) bool { return n.raft.IsLeader() && !n.raft.log.configuration.isJoint() }))
}

// Registers of the first build beside those of this one, either leading: a lost member is replaced the way that all know, and
// once all are of this build by an exchange.
func TestBothBuilds(t *testing.T) {
	for first := range 8 {
		f := newSimulation(t, uint64(first), "a", "b", "c")
		for i, a := range f.addrs() {
			if f.members[a].legacyProtocol = first>>i&1 == 1; f.members[a].legacyProtocol {
				f.members[a].start()
			}
		}
		f.run(2 * time.Second)
		for n := range 4 {
			f.write(fmt.Sprint("write ", n))
			lost := f.addrs()[n%3]
			f.members[lost] = &testMember{self: Member{ID(100 + n), lost}, now: f.now, legacyProtocol: n < 2 && f.members[lost].legacyProtocol}
			f.members[lost].start()
			f.run(4 * time.Second)
		}
		f.write("last")
		f.requireComplete("a", "b", "c")
		for _, a := range f.addrs() { // all are of this build now
			if n := f.members[a]; n.legacyProtocol {
				n.legacyProtocol, n.now = false, f.now
				n.start()
			}
		}
		f.run(2 * time.Second)
		f.requireMembersAtLeast(3)
		f.startEmpty("b", 200)
		f.run(4 * time.Second)
		f.requireComplete("a", "b", "c")
	}
}
