package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Lost members are replaced by new ones at other addresses, the leader as well.
func TestLostMembersReplaced(t *testing.T) {
	sim := newSettledSimulation(t, 1, "a", "b", "c")
	sim.write("one")
	delete(sim.members, "c")
	sim.write("two")
	sim.startEmpty("d", 20)
	sim.run(4 * time.Second)
	sim.requireComplete("a", "b", "d")
	old := sim.leader().self.Addr
	delete(sim.members, old)
	sim.write("three")
	sim.startEmpty("e", 30)
	sim.run(4 * time.Second)
	rest := slices.DeleteFunc([]string{"a", "b", "d"}, func(a string) bool { return a == old })
	sim.requireComplete(append(rest, "e")...)
}

// The leader loses its disk again and again, each time once the previous one has become a member again.
func TestDisksLostInTurn(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSettledSimulation(t, seed, "a", "b", "c")
		for n := range 4 {
			sim.write(fmt.Sprint("write ", n))
			sim.startEmpty(sim.leader().self.Addr, ID(100+n))
			sim.run(4 * time.Second)
		}
		sim.write("last")
		sim.requireComplete("a", "b", "c")
	}
}

// A member that was replaced while it was cut off learns so, and rejoins when the cluster has room again.
func TestRemovedMemberRejoins(t *testing.T) {
	sim := newSettledSimulation(t, 3, "a", "b", "c")
	sim.isolated["c"] = true
	if sim.leader() == nil || sim.leader().self.Addr == "c" {
		sim.run(2 * time.Second)
	}
	sim.write("one")
	sim.startEmpty("d", 20)
	sim.run(4 * time.Second)
	sim.write("two")
	sim.isolated["c"] = false
	sim.run(3 * time.Second)
	sim.requireComplete("a", "b", "d")
	term := sim.leader().raft.Term()
	sim.run(5 * time.Second)
	assert.Equal(t, sim.leader().raft.Term(), term, "a removed member disturbs nobody")
	delete(sim.members, "d")
	sim.run(6 * time.Second)
	sim.requireComplete("a", "b", "c")
}

// A lost member is replaced in one step by a learner that has caught up, at the same address or at another, so that its place is never
// empty.
func TestReplacement(t *testing.T) {
	for _, at := range []string{"c", "d"} {
		sim := newSettledSimulation(t, 11, "a", "b", "c")
		sim.write("one")
		gone := "c"
		if sim.leader().self.Addr == "c" {
			gone = "a"
		}
		if at == "c" {
			at = gone
		}
		sim.requireMembersAtLeast(3)
		delete(sim.members, gone)
		sim.run(3 * time.Second)
		sim.startEmpty(at, 20)
		sim.run(2 * time.Second)
		sim.write("two")
		sim.requireComplete(sim.addrs()...)
		assert.Equal(t, len(sim.addrs()), 3)
	}
}

// atEachMomentOfReplacement runs a scenario with a fault at each moment of a replacement, 4 ms apart, from the join on until it is done.
func atEachMomentOfReplacement(t *testing.T, fault func(sim *simulation, lead string)) {
	for at := time.Duration(0); at < 400*time.Millisecond; at += 4 * time.Millisecond {
		sim := newSimulation(t, uint64(at), "a", "b", "c")
		sim.step = 2 * time.Millisecond
		sim.run(2 * time.Second)
		sim.write("one")
		lead, gone := sim.leader().self.Addr, sim.follower()
		sim.startEmpty(gone, 20) // its disk is lost
		sim.run(at)
		sim.requireMembersAtLeast(3)
		fault(sim, lead)
		sim.run(4 * time.Second)
		sim.write("two")
		sim.requireComplete("a", "b", "c")
		configuration := sim.leader().raft.log.configuration
		assert.Assert(t, configuration.isVoter(sim.members[gone].self.ID) && !configuration.isJoint())
	}
}

// The leader is lost at each moment of a replacement; it comes back with its disk.
func TestLeaderLostDuringReplacement(t *testing.T) {
	atEachMomentOfReplacement(t, func(sim *simulation, lead string) { sim.crash(lead, time.Second) })
}

// The learner is lost at each moment of a replacement, with its disk: another ID takes the place.
func TestLearnerLostDuringReplacement(t *testing.T) {
	atEachMomentOfReplacement(t, func(sim *simulation, lead string) {
		for a, n := range sim.members {
			if n.self.ID == 20 {
				sim.startEmpty(a, 30)
			}
		}
	})
}

// The leader's disk is lost right after the replacement of another was committed: nothing that was acknowledged is lost with it.
func TestTwoDisksLostAroundReplacement(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(t, 100+seed, "a", "b", "c")
		sim.step = 2 * time.Millisecond
		sim.run(2 * time.Second)
		sim.write("one")
		lead := sim.leader()
		sim.startEmpty(sim.follower(), 20)
		sim.runUntil(2000*sim.step, func() bool {
			return lead.raft.log.configuration.isVoter(20) && lead.raft.log.isConfigurationCommitted()
		})
		sim.write("two")
		sim.startEmpty(lead.self.Addr, 30)
		sim.run(5 * time.Second)
		sim.write("three")
		sim.requireComplete("a", "b", "c")
	}
}

// A member votes for a new member that it does not know yet. Otherwise two of three members, with the third down, could never elect a
// leader.
func TestVoteForUnknownMember(t *testing.T) {
	model := modelWithLeader(t, 3)
	n := &testMember{self: Member{4, "r4"}}
	n.start()
	model.nodes = append(model.nodes, n)
	// The first has 4 take the place of 3; the second hears nothing of it.
	model.nodes[0].raft.handleJoinRequest(Message{Kind: JoinRequest, From: 4, Addr: "r4"})
	model.nodes[0].raft.appendAsLeader(Entry{Kind: EntryConfiguration, Members: []Member{{1, "r1"}, {2, "r2"}, {4, "r4"}}})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 2, 3)
	assert.Assert(t, n.raft.log.configuration.isVoter(4) && !model.nodes[1].raft.log.configuration.isVoter(4))
	// The first is gone, and 4 has what the second lacks.
	for range 4 {
		if n.raft.IsLeader() {
			break
		}
		n.now += 3 * testElectionTimeout
		model.nodes[1].now += 3 * testElectionTimeout
		n.raft.Tick(n.now)
		assert.NilError(t, model.processReady(3, noCrash, modelFaults{}))
		deliverAllExcept(t, model, 1, 3)
	}
	assert.Assert(t, n.raft.IsLeader())
}

// A leader that is removed does not count itself for the new members, and steps down once the change is committed.
func TestLeaderRemoved(t *testing.T) {
	model := modelWithLeader(t, 3)
	for _, m := range []Member{{4, "r4"}, {5, "r5"}} {
		n := &testMember{self: m}
		n.start()
		model.nodes = append(model.nodes, n)
	}
	old := model.nodes[0].raft
	old.appendAsLeader(Entry{
		Kind:            EntryConfiguration,
		Members:         []Member{{2, "r2"}, {4, "r4"}, {5, "r5"}},
		Outgoing:        old.log.configuration.Members,
		ProtocolVersion: ProtocolVersion,
	})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 4, 5)
	assert.Assert(t, old.log.committed < old.log.configuration.Index, "of the new members it has the second alone, and itself is none")
	for range 6 {
		for _, n := range model.nodes {
			n.now += testHeartbeatInterval
		}
		old.Tick(model.nodes[0].now)
		assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
		deliverAll(t, model)
	}
	assert.Assert(t, !old.IsLeader() && old.IsNonMember())
	assert.Assert(t, slices.ContainsFunc(model.nodes[1:], func(n *testMember) bool {
		return n.raft.IsLeader() && !n.raft.log.configuration.isJoint()
	}))
}

// In a cluster of both protocol versions, whichever leads, a lost member is replaced in the way that all support. Once all speak the
// present version that is a joint change.
func TestMixedProtocolVersions(t *testing.T) {
	for mask := range 8 {
		sim := newSimulation(t, uint64(mask), "a", "b", "c")
		sim.startLegacy(mask)
		sim.run(2 * time.Second)
		for n := range 4 {
			sim.write(fmt.Sprint("write ", n))
			lost := sim.addrs()[n%3]
			isLegacy := n < 2 && sim.members[lost].legacyProtocol
			sim.members[lost] = &testMember{self: Member{ID(100 + n), lost}, now: sim.now, legacyProtocol: isLegacy}
			sim.members[lost].start()
			sim.run(4 * time.Second)
		}
		sim.write("last")
		sim.requireComplete("a", "b", "c")
		for _, addr := range sim.addrs() { // all speak the present version now
			if n := sim.members[addr]; n.legacyProtocol {
				n.legacyProtocol, n.now = false, sim.now
				n.start()
			}
		}
		sim.run(2 * time.Second)
		sim.requireMembersAtLeast(3)
		sim.startEmpty("b", 200)
		sim.run(4 * time.Second)
		sim.requireComplete("a", "b", "c")
	}
}
