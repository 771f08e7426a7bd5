package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Lost members, including the leader, are replaced by new ones at other addresses.
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

// The leader of the moment loses its disk four times in a row, each time after the previous one has become a member again.
func TestRepeatedDiskLossOfLeader(t *testing.T) {
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

// A member that was replaced while it was isolated learns of its removal, and rejoins once another member is lost.
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
	assert.Equal(t, sim.leader().raft.Term(), term, "the removed member caused an election")
	delete(sim.members, "d")
	sim.run(6 * time.Second)
	sim.requireComplete("a", "b", "c")
}

// A lost member is replaced in one step by a learner that has caught up, at the same address or at another, so that the configuration
// always has three members.
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

// atEachMomentOfReplacement runs the replacement of a member once for each moment of a fault: 0 to 400 ms after the new member starts, in
// steps of 4 ms.
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

// The leader crashes at any moment of a replacement, and restarts with its disk.
func TestLeaderLostDuringReplacement(t *testing.T) {
	atEachMomentOfReplacement(t, func(sim *simulation, lead string) { sim.crash(lead, time.Second) })
}

// The learner loses its disk at any moment of a replacement. It comes back with another ID and becomes the replacement instead.
func TestLearnerLostDuringReplacement(t *testing.T) {
	atEachMomentOfReplacement(t, func(sim *simulation, lead string) {
		for a, n := range sim.members {
			if n.self.ID == 20 {
				sim.startEmpty(a, 30)
			}
		}
	})
}

// The leader's disk is lost right after the replacement of another member was committed. No acknowledged entry may be lost with it.
func TestLeaderDiskLostAfterReplacement(t *testing.T) {
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

// A member votes for a new member that is not in its own configuration yet. Otherwise two of three members, with the third down, could
// never elect a leader.
func TestVoteForUnknownMember(t *testing.T) {
	model := modelWithLeader(t, 3)
	n := &testMember{self: Member{4, "r4"}}
	n.start()
	model.nodes = append(model.nodes, n)
	// The first member replaces 3 with 4; the second member does not receive the entry.
	model.nodes[0].raft.handleJoinRequest(Message{Kind: JoinRequest, From: 4, Addr: "r4"})
	model.nodes[0].raft.appendAsLeader(Entry{Kind: EntryConfiguration, Members: []Member{{1, "r1"}, {2, "r2"}, {4, "r4"}}})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 2, 3)
	assert.Assert(t, n.raft.log.configuration.isVoter(4) && !model.nodes[1].raft.log.configuration.isVoter(4))
	// The first member is gone, and 4 has the entry that the second lacks.
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

// A leader that is being removed does not count itself towards the majority of the new members, and steps down once the change is
// committed.
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
	assert.Assert(t, old.log.committed < old.log.configuration.Index, "committed with one of the three new members and the removed leader")
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

// In a cluster with members of both protocol versions, a lost member is replaced in a way that all members support, whichever member
// leads. Once all members speak the current version, it is replaced by a joint change.
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
		for _, addr := range sim.addrs() { // all members are upgraded to the current version
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
