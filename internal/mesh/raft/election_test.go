package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After a power failure all members start within 0.3 s of each other, in any order. They must soon elect a leader, although the first
// messages of a member are lost if their receiver has not started yet, and although one member may lack entries.
func TestMembersStartTogether(t *testing.T) {
	const step, spread = 10 * time.Millisecond, 300 * time.Millisecond
	var elapsed []time.Duration
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		sim := newSimulation(t, seed, "a", "b", "c")
		sim.run(3 * time.Second)
		lead := sim.leaderAddr()
		behind := sim.addrs()[rng.IntN(3)]
		sim.isolated[behind] = behind != lead
		sim.members[lead].raft.Propose(sim.now, []byte("x"))
		sim.processReady(lead)
		sim.run(50 * time.Millisecond)
		start := map[string]time.Duration{}
		for _, a := range sim.addrs() {
			sim.isolated[a] = true
			start[a] = sim.now + time.Duration(rng.Int64N(int64(spread)))
		}
		sim.queue = nil
		last := sim.now
		for _, at := range start {
			last = max(last, at)
		}
		for sim.leaderAddr() == "" || sim.now < last {
			sim.run(step)
			for a, at := range start {
				if sim.isolated[a] && sim.now >= at {
					sim.isolated[a] = false
					sim.members[a].now = sim.now
					sim.members[a].start()
				}
			}
			if sim.now > last+2*testElectionTimeout {
				t.Fatalf("seed %d: no leader", seed)
			}
		}
		elapsed = append(elapsed, sim.now-last)
	}
	slices.Sort(elapsed)
	assert.Assert(t, elapsed[len(elapsed)/2] < testElectionTimeout/4, "in the median %v after the last start", elapsed[len(elapsed)/2])
	t.Logf("a leader %v after the last start (median), at most %v", elapsed[len(elapsed)/2], elapsed[len(elapsed)-1])
}

// Once the exit of the leader's process is reported, another member leads long before the election timeout, whatever the order of the
// members, even if the first candidate lacks entries. Without the report no member leads before the election timeout.
func TestExitedLeaderIsReplacedSoon(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		for _, isReported := range []bool{true, false} {
			sim := newSimulation(t, seed, "a", "b", "c")
			sim.run(3 * time.Second)
			old := sim.leaderAddr()
			assert.Assert(t, old != "")
			behind := sim.addrs()[seed%3]
			sim.cutLinks[[2]string{old, behind}] = behind != old && seed%2 == 0
			_, _, ok := sim.members[old].raft.Propose(sim.now, []byte("x"))
			assert.Assert(t, ok)
			sim.processReady(old)
			sim.run(30 * time.Millisecond)
			sim.endProcess(old, isReported)
			sim.run(300 * time.Millisecond)
			if now := sim.leaderAddr(); (now != "") != isReported {
				t.Fatalf("seed %d: exit reported: %v; 300 ms after the exit of leader %[4]q the leader is %[3]q", seed, isReported, now, old)
			}
			sim.run(3 * time.Second)
			assert.Assert(t, sim.leaderAddr() != "")
		}
	}
}

// The first pre-vote may be rejected because the other member has not learned of the leader's exit. If the other member lacks entries, it
// can't be elected, and its own pre-vote must make the first member ask again at once.
func TestLeaderExitReportedLate(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		sim := newSimulation(t, seed, "a", "b", "c")
		sim.run(3 * time.Second)
		old := sim.leaderAddr()
		id := sim.members[old].self.ID
		first, second := "a", "b"
		switch old {
		case "a":
			first, second = "b", "c"
		case "b":
			second = "c"
		}
		sim.cutLinks[[2]string{old, second}] = true
		_, _, ok := sim.members[old].raft.Propose(sim.now, []byte("x"))
		assert.Assert(t, ok)
		sim.processReady(old)
		sim.run(30 * time.Millisecond)
		sim.endProcess(old, false)
		sim.members[first].raft.ReportLeaderExited(sim.now, id)
		sim.run(30 * time.Millisecond)
		sim.members[second].raft.ReportLeaderExited(sim.now, id)
		sim.run(150 * time.Millisecond)
		assert.Equal(t, sim.leaderAddr(), first, "seed %d", seed)
	}
}

// A wrong report that the leader has exited does no harm: a running leader keeps its term as long as a majority receives its heartbeats.
func TestLeaderExitReportedWrongly(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newSimulation(t, seed, "a", "b", "c")
		sim.run(3 * time.Second)
		old := sim.leaderAddr()
		term := sim.members[old].raft.Term()
		for round := range 30 {
			for i, a := range sim.addrs() {
				if i == round%3 && a != old {
					sim.members[a].raft.ReportLeaderExited(sim.now, sim.members[old].self.ID)
				}
			}
			sim.run(150 * time.Millisecond)
		}
		assert.Equal(t, sim.leaderAddr(), old)
		assert.Equal(t, sim.members[old].raft.Term(), term)
	}
}

// A leader that asks for pre-votes must have restarted, so its followers grant them without waiting for the election timeout.
func TestPreVoteOfLeaderShowsRestart(t *testing.T) {
	sim := newSimulation(t, 1, "a", "b", "c")
	sim.run(3 * time.Second)
	old := sim.leaderAddr()
	other := sim.members["a"]
	if old == "a" {
		other = sim.members["b"]
	}
	id, last := sim.members[old].self.ID, other.raft.log.lastIndex()
	request := Message{Kind: PreVote, From: id, To: other.self.ID, Index: last, LogTerm: other.raft.log.lastTerm()}
	request.Term = other.raft.Term() // a delayed request from before it became leader
	other.raft.Step(sim.now, request)
	assert.Equal(t, other.raft.Leader(), id)
	request.Term++
	other.raft.Step(sim.now, request)
	ready := other.raft.Ready()
	assert.Equal(t, other.raft.Leader(), ID(0))
	response := ready.MessagesAfterSave[len(ready.MessagesAfterSave)-1]
	assert.Assert(t, response.Kind == PreVoteResponse && !response.Reject)
}

// A leader or follower that stalls for less than the election timeout, for example on a slow disk or without processor time, must not
// cause an election.
func TestShortStallCausesNoElection(t *testing.T) {
	// The last heartbeat may be almost an interval old when the stall begins, and the next one takes up to 20 ms to arrive.
	const stall = testElectionTimeout - testHeartbeatInterval - 20*time.Millisecond
	for seed := uint64(1); seed <= 40; seed++ {
		sim := newSimulation(t, seed, "a", "b", "c")
		sim.run(3*time.Second + time.Duration(seed)*testHeartbeatInterval) // so that other random delays are drawn
		old := sim.leaderAddr()
		term := sim.members[old].raft.Term()
		for _, a := range sim.addrs() {
			sim.isolated[a] = true
			sim.run(stall)
			delete(sim.isolated, a)
			sim.run(2 * testHeartbeatInterval)
		}
		assert.Equal(t, sim.leaderAddr(), old, "seed %d", seed)
		assert.Equal(t, sim.members[old].raft.Term(), term)
	}
}

// Members that lose contact with the leader at the same time campaign in the order of their rank, so that the first election succeeds
// within a bounded time.
func TestSilentLeaderIsReplacedInOneElection(t *testing.T) {
	// The election timeout of the member with the lowest rank, and time for its ticks and messages.
	const bound = testElectionTimeout + testElectionTimeout/5
	for seed := uint64(1); seed <= 40; seed++ {
		sim := newSimulation(t, seed, "a", "b", "c")
		sim.run(3*time.Second + time.Duration(seed)*testHeartbeatInterval) // so that other random delays are drawn
		old := sim.leaderAddr()
		term := sim.members[old].raft.Term()
		sim.isolated[old] = true
		sim.run(bound)
		now := sim.leaderAddr()
		assert.Assert(t, now != "", "seed %d: no leader after %v", seed, bound)
		assert.Equal(t, sim.members[now].raft.Term(), term+1, "seed %d", seed)
	}
}

// A leader that receives no messages, although its own arrive, steps down and reports no quorum contact.
func TestLeaderWithoutQuorumContactStepsDown(t *testing.T) {
	sim := newSettledSimulation(t, 4, "a", "b", "c")
	leader := sim.leader()
	for _, a := range sim.addrs() {
		sim.cutLinks[[2]string{a, leader.self.Addr}] = true
	}
	assert.Assert(t, leader.raft.ReadIndex(sim.now, 7))
	sim.run(3 * time.Second)
	assert.Assert(t, !leader.raft.IsLeader() && !leader.raft.HasQuorumContact(sim.now))
	clear(sim.cutLinks)
	sim.write("on")
	sim.requireComplete("a", "b", "c")
}

// A leader that is about to stop transfers leadership well before its silence would be noticed.
func TestTransferLeadership(t *testing.T) {
	sim := newSettledSimulation(t, 7, "a", "b", "c")
	sim.write("one")
	leader := sim.leader()
	leader.raft.TransferLeadership(sim.now)
	sim.processReady(leader.self.Addr)
	sim.run(100 * time.Millisecond)
	assert.Assert(t, sim.leader() != nil && sim.leader() != leader && !leader.raft.IsLeader())
	sim.write("two")
	sim.requireComplete("a", "b", "c")
}

// A member that restarts with its vote but an older log, as after a partial loss of its disk, votes for no other member in the same term,
// is not elected with that log, and catches up.
func TestVoterRestartsWithOlderLog(t *testing.T) {
	model := modelWithLeader(t, 3)
	third := model.nodes[2]
	log := third.log
	model.nodes[0].raft.Propose(model.nodes[0].now, []byte("x"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, model)
	third.hardState, third.log = HardState{Term: 4, Vote: 2}, log[:0]
	third.now += 3 * testElectionTimeout
	third.start()
	third.raft.Step(third.now, Message{Kind: RequestVote, From: 1, To: 3, Term: 4, Index: 9, LogTerm: 3})
	ready := third.raft.Ready()
	assert.Assert(t, len(ready.MessagesAfterSave) == 1 && ready.MessagesAfterSave[0].Reject, "it has already voted for member 2 in this term")
	for range 3 { // it campaigns, and no member votes for it
		model.expireElectionTimeout(t, 2)
		deliverAll(t, model)
		assert.Assert(t, !third.raft.IsLeader())
	}
	for range 20 {
		for i, n := range model.nodes {
			n.now += testHeartbeatInterval
			n.raft.Tick(n.now)
			assert.NilError(t, model.processReady(i, noCrash, modelFaults{}))
			deliverAll(t, model)
		}
	}
	assert.Assert(t, third.raft.AppliedIndex() >= model.acknowledgedIndex)
	assert.Equal(t, third.raft.log.lastTerm(), model.nodes[0].raft.log.lastTerm())
}
