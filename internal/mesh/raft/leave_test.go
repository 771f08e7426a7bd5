package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A member that leaves is granted that only once the members that stay hold everything that it holds. 50 ms later another disk is lost.
// Either the leader or a follower leaves, and the third member lagged before.
func TestLeaveThenDiskLoss(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, 300+seed, "a", "b", "c")
		sim.step = 2 * time.Millisecond
		sim.run(2 * time.Second)
		sim.write("one")
		lead := sim.leader().self.Addr
		others := sim.othersThan(lead)
		lags, leaves, stays := others[0], others[1], lead
		if seed%2 == 0 {
			leaves, stays = lead, others[1]
		}
		sim.isolated[lags] = true
		for n := range 5 {
			sim.write(fmt.Sprint("while it lags ", n))
		}
		assert.Assert(t, !sim.leave(leaves, 300*time.Millisecond), "what it holds is on one other disk")
		delete(sim.isolated, lags)
		assert.Assert(t, sim.leave(leaves, 3*time.Second))
		assert.Assert(t, sim.holdsAcknowledged(lags) && sim.holdsAcknowledged(stays))
		gone := sim.members[leaves]
		delete(sim.members, leaves)
		sim.run(50 * time.Millisecond)
		sim.write("without it")
		sim.startEmpty(stays, 20) // the disk of the one that had the other copy is lost
		sim.run(100 * time.Millisecond)
		assert.Assert(t, sim.holdsAcknowledged(lags))
		sim.members[leaves], gone.now = gone, sim.now
		gone.start()
		sim.run(4 * time.Second)
		sim.write("after it")
		sim.requireComplete("a", "b", "c")
	}
}

// Nothing that is acknowledged after a member was granted leave depends on it, although it still runs.
func TestNothingRestsOnMemberWithLeave(t *testing.T) {
	sim := newSettledSimulation(t, 41, "a", "b", "c")
	sim.write("one")
	leader := sim.leader()
	leaves, stays := "b", "c"
	if leader.self.Addr != "a" {
		leaves, stays = "a", map[string]string{"b": "c", "c": "b"}[leader.self.Addr]
	}
	assert.Assert(t, sim.leave(leaves, time.Second))
	sim.isolated[stays] = true
	index, _, ok := leader.raft.Propose(sim.now, []byte("two"))
	assert.Assert(t, ok)
	sim.processReady(leader.self.Addr)
	sim.run(700 * time.Millisecond) // less than it takes to miss a majority
	assert.Assert(t, leader.raft.log.committed < index)
	delete(sim.isolated, stays)
	sim.run(time.Second)
	assert.Assert(t, sim.members[stays].raft.log.committed >= index)
}

// A member does not wait for leave that it can never be granted.
func TestLeaveWithoutWaiting(t *testing.T) {
	t.Run("a sole voter", func(t *testing.T) {
		sim := newSettledSimulation(t, 42, "a")
		assert.Assert(t, sim.leave("a", time.Millisecond))
	})
	t.Run("a leader of protocol version 0", leaveLegacyLeader)
	t.Run("all leave together", leaveTogether)
}

func leaveLegacyLeader(t *testing.T) {
	sim := newSimulation(t, 43, "a", "b", "c")
	sim.startLegacy(0b011)
	sim.run(2 * time.Second)
	if sim.leader().self.Addr == "c" {
		sim.crash("c", time.Second)
		sim.run(time.Second)
	}
	assert.Assert(t, sim.leave("c", time.Millisecond))
}

func leaveTogether(t *testing.T) {
	sim := newSettledSimulation(t, 44, "a", "b", "c")
	sim.write("one")
	for _, a := range sim.addrs() {
		sim.members[a].raft.BeginLeave(sim.now)
		sim.processReady(a)
	}
	sim.run(time.Second)
	for _, a := range sim.addrs() {
		assert.Assert(t, sim.members[a].raft.MayLeave(), a)
	}
}

// A member that leaves while a learner is ready is replaced by the learner first, so that after the loss of another disk 50 ms later
// only one vote is missing. Either the leader or a follower leaves.
func TestLeaveWithReadyLearner(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulationWithLearner(t, 400+seed, 20)
		lead := sim.leader().self.Addr
		assert.Assert(t, !sim.leader().raft.log.configuration.isVoter(20), "there are as many members as there should be")
		others := sim.othersThan(lead, "d")
		leaves, lost := others[0], others[1]
		if seed%2 == 0 {
			leaves = lead
		}
		sim.requireMembersAtLeast(3)
		assert.Assert(t, sim.leave(leaves, time.Second))
		delete(sim.members, leaves)
		sim.run(50 * time.Millisecond)
		sim.startEmpty(lost, 30)
		sim.run(4 * time.Second)
		sim.write("after it")
		sim.requireComplete(sim.addrs()...)
		configuration := sim.leader().raft.log.configuration
		assert.Assert(t, configuration.isVoter(20) && configuration.isVoter(30))
	}
}

// A learner that has joined and is then cut off does not keep a member from leaving.
func TestLeaveWithUnreachableLearner(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSettledSimulation(t, 500+seed, "a", "b", "c")
		sim.write("one")
		lead := sim.leader().self.Addr
		sim.startEmpty("d", 20)
		sim.cutLinks[[2]string{lead, "d"}] = true // it asks, and hears nothing
		sim.run(200 * time.Millisecond)
		leaves := lead
		if seed%2 == 0 {
			leaves = sim.follower()
		}
		assert.Assert(t, sim.leave(leaves, 4*testElectionTimeout))
	}
}

// A member that leaves for good, leader or follower, is replaced by a learner that is ready. 50 ms after it began to leave another
// member loses its disk; the remaining members are still a majority.
func TestLeaveGivesPlaceToLearner(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulationWithLearner(t, 700+seed, 10)
		sim.write("two")
		lead := sim.leader().self.Addr
		others := sim.othersThan(lead, "d")
		leaves, lost, stays := lead, others[0], others[1]
		if seed%2 == 0 {
			leaves, lost = others[0], lead
		}
		sim.members[leaves].raft.BeginLeave(sim.now)
		sim.processReady(leaves)
		sim.run(50 * time.Millisecond)
		sim.startEmpty(lost, 20)
		sim.runUntil(1500*time.Millisecond, sim.members[leaves].raft.MayLeave)
		delete(sim.members, leaves)
		sim.run(6 * time.Second)
		sim.write("after it")
		left := []string{stays, lost, "d"}
		slices.Sort(left)
		sim.requireComplete(left...)
	}
}

// A learner that lags or is silent does not delay a member that leaves.
func TestLeaveDoesNotWaitForLaggingLearner(t *testing.T) {
	for seed := range uint64(8) {
		sim := newSettledSimulation(t, 760+seed, "a", "b", "c")
		sim.startEmpty("d", 10)
		sim.run(time.Second)
		if sim.isolated["d"] = seed%4 < 2; !sim.isolated["d"] {
			for _, a := range []string{"a", "b", "c"} {
				sim.cutLinks[[2]string{a, "d"}] = true
			}
		}
		sim.write("without the learner")
		sim.run(time.Second)
		leaves := sim.leader().self.Addr
		if seed%2 == 0 {
			leaves = sim.othersThan(leaves, "d")[0]
		}
		assert.Assert(t, sim.leave(leaves, time.Second), "seed %d", seed)
	}
}
