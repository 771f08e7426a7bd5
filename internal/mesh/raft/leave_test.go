package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A leaving member is granted leave only once the remaining members have everything that is committed on disk, so that the loss of another
// disk 50 ms later loses nothing. Either the leader or a follower leaves, and the third member lagged before.
func TestLeaveThenDiskLoss(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, 300+seed, "a", "b", "c")
		sim.step = 2 * time.Millisecond
		sim.run(2 * time.Second)
		sim.write("one")
		lead := sim.leader().self.Addr
		others := sim.othersThan(lead)
		laggingAddr, leavingAddr, stayingAddr := others[0], others[1], lead
		if seed%2 == 0 {
			leavingAddr, stayingAddr = lead, others[1]
		}
		sim.isolated[laggingAddr] = true
		for n := range 5 {
			sim.write(fmt.Sprint("while it lags ", n))
		}
		assert.Assert(t, !sim.leave(leavingAddr, 300*time.Millisecond), "granted leave while only one other disk has the latest entries")
		delete(sim.isolated, laggingAddr)
		assert.Assert(t, sim.leave(leavingAddr, 3*time.Second))
		assert.Assert(t, sim.storesAcknowledged(laggingAddr) && sim.storesAcknowledged(stayingAddr))
		gone := sim.members[leavingAddr]
		delete(sim.members, leavingAddr)
		sim.run(50 * time.Millisecond)
		sim.write("without it")
		sim.startEmpty(stayingAddr, 20) // the other member that never lagged loses its disk
		sim.run(100 * time.Millisecond)
		assert.Assert(t, sim.storesAcknowledged(laggingAddr))
		sim.members[leavingAddr], gone.now = gone, sim.now
		gone.start()
		sim.run(4 * time.Second)
		sim.write("after it")
		sim.requireComplete("a", "b", "c")
	}
}

// After a member was granted leave, no entry is committed by counting its acknowledgements, although it still runs.
func TestMemberGrantedLeaveDoesNotCount(t *testing.T) {
	sim := newSettledSimulation(t, 41, "a", "b", "c")
	sim.write("one")
	leader := sim.leader()
	leavingAddr, stayingAddr := "b", "c"
	if leader.self.Addr != "a" {
		leavingAddr, stayingAddr = "a", map[string]string{"b": "c", "c": "b"}[leader.self.Addr]
	}
	assert.Assert(t, sim.leave(leavingAddr, time.Second))
	sim.isolated[stayingAddr] = true
	index, _, ok := leader.raft.Propose(sim.now, []byte("two"))
	assert.Assert(t, ok)
	sim.processReady(leader.self.Addr)
	sim.run(700 * time.Millisecond) // less than the check-quorum timeout
	assert.Assert(t, leader.raft.log.committed < index)
	delete(sim.isolated, stayingAddr)
	sim.run(time.Second)
	assert.Assert(t, sim.members[stayingAddr].raft.log.committed >= index)
}

// A member does not wait for permission to leave that it can never get.
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

// If a learner has caught up, a leaving member is first replaced by it, so that after the loss of another disk 50 ms later only one vote is
// missing. Either the leader or a follower leaves.
func TestLeaveWithReadyLearner(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulationWithLearner(t, 400+seed, 20)
		lead := sim.leader().self.Addr
		assert.Assert(t, !sim.leader().raft.log.configuration.isVoter(20), "the learner became a voter although the cluster has its full size")
		others := sim.othersThan(lead, "d")
		leavingAddr, lost := others[0], others[1]
		if seed%2 == 0 {
			leavingAddr = lead
		}
		sim.requireMembersAtLeast(3)
		assert.Assert(t, sim.leave(leavingAddr, time.Second))
		delete(sim.members, leavingAddr)
		sim.run(50 * time.Millisecond)
		sim.startEmpty(lost, 30)
		sim.run(4 * time.Second)
		sim.write("after it")
		sim.requireComplete(sim.addrs()...)
		configuration := sim.leader().raft.log.configuration
		assert.Assert(t, configuration.isVoter(20) && configuration.isVoter(30))
	}
}

// A learner that the leader cannot reach does not keep a member from leaving.
func TestLeaveWithUnreachableLearner(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSettledSimulation(t, 500+seed, "a", "b", "c")
		sim.write("one")
		lead := sim.leader().self.Addr
		sim.startEmpty("d", 20)
		sim.cutLinks[[2]string{lead, "d"}] = true // its JoinRequest arrives, but no response does
		sim.run(200 * time.Millisecond)
		leavingAddr := lead
		if seed%2 == 0 {
			leavingAddr = sim.follower()
		}
		assert.Assert(t, sim.leave(leavingAddr, 4*testElectionTimeout))
	}
}

// A leader or follower that leaves permanently is replaced by a learner that has caught up. 50 ms after it began to leave, another member
// loses its disk; the remaining members must still form a majority.
func TestLeavingMemberReplacedByLearner(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulationWithLearner(t, 700+seed, 10)
		sim.write("two")
		lead := sim.leader().self.Addr
		others := sim.othersThan(lead, "d")
		leavingAddr, lost, stayingAddr := lead, others[0], others[1]
		if seed%2 == 0 {
			leavingAddr, lost = others[0], lead
		}
		sim.members[leavingAddr].raft.BeginLeave(sim.now)
		sim.processReady(leavingAddr)
		sim.run(50 * time.Millisecond)
		sim.startEmpty(lost, 20)
		sim.runUntil(1500*time.Millisecond, sim.members[leavingAddr].raft.MayLeave)
		delete(sim.members, leavingAddr)
		sim.run(6 * time.Second)
		sim.write("after it")
		left := []string{stayingAddr, lost, "d"}
		slices.Sort(left)
		sim.requireComplete(left...)
	}
}

// A learner that lags or is silent does not delay a leaving member.
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
		leavingAddr := sim.leader().self.Addr
		if seed%2 == 0 {
			leavingAddr = sim.othersThan(leavingAddr, "d")[0]
		}
		assert.Assert(t, sim.leave(leavingAddr, time.Second), "seed %d", seed)
	}
}
